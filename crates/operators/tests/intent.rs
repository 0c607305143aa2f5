//! Intents are read whole, and all their faults are told at once with line and column.

use basilbridge_common::{
    job::Kind,
    unit::Resources, //
};
use basilbridge_operators::{
    configuration::Configuration,
    intent::{
        Format,
        Intent, //
    },
};

const SPINE_AND_LEAF: &str = include_str!("../../../examples/intents/spine-and-leaf.toml");
const VLTAVA: &str = include_str!("../../../examples/intents/vltava.toml");
const VLTAVA_JSON: &str = include_str!("../../../examples/intents/vltava.json");

fn faults(text: &str, format: Format) -> Vec<String> {
    let faults = Intent::parse("intent", text, format).unwrap_err();
    faults.faults.iter().map(ToString::to_string).collect()
}

#[test]
fn the_examples_of_both_deployments_are_read() {
    let spine = Intent::parse("spine-and-leaf.toml", SPINE_AND_LEAF, Format::Toml).unwrap();
    let vltava = Intent::parse("vltava.toml", VLTAVA, Format::Toml).unwrap();

    assert_eq!((spine.teams.len(), spine.queues.len()), (4, 4));
    assert_eq!(spine.workloads.len(), 4);
    assert_eq!(spine.workloads[0].kind, Kind::Service);
    assert_eq!(spine.workloads[0].spread, Some(1));
    assert!(!spine.workloads[3].repeatable);
    let seats = vltava.queues.last().unwrap();
    assert_eq!(seats.open_for.as_deref(), Some("enrolment"));
    let issue = vltava.workloads.last().unwrap();
    let size = Resources {
        cpu_millis: 500,
        memory_mib: 256,
        accelerators: 0,
    };
    assert_eq!(issue.resources, size);
}

#[test]
fn an_intent_in_json_says_the_same_as_in_toml() {
    let toml = Intent::parse("vltava.toml", VLTAVA, Format::of("vltava.toml")).unwrap();
    let json = Intent::parse("vltava.json", VLTAVA_JSON, Format::of("vltava.json")).unwrap();

    assert_eq!(toml, json);
}

#[test]
fn all_faults_are_told_at_once_with_line_and_column() {
    let text = r#"[[team]]
name = "a b"
share = 0
color = "red"

[[queue]]
name = "q"
open_for = "nobody"

[[queue]]
name = "q"

[[workload]]
name = "w"
team = "a"
queue = "p"
kind = "interactive"
cores = "four"
memory = "lots"
count = 1.5
repeatable = "no"
"#;

    let told = faults(text, Format::Toml);

    assert_eq!(
        told,
        [
            "line 2, column 8: a name has 1 to 64 letters, digits, dashes, dots and underscores",
            "line 3, column 9: `share` is a whole number from 1 to 4294967295",
            "line 4, column 1: there is no field `color`, only name, share, limit",
            "line 8, column 12: there is no team `nobody` in this intent",
            "line 11, column 8: the name `q` stands twice",
            "line 17, column 8: `kind` is service, batch or gang",
            "line 18, column 9: `cores` is a number",
            "line 19, column 10: `memory` is a size such as \"512MiB\"",
            "line 20, column 9: `count` is a whole number from 1 to 1000000",
            "line 21, column 14: `repeatable` is true or false",
        ]
    );
}

#[test]
fn faults_of_the_form_do_not_hide_those_of_the_content() {
    let text = "[[team]]\nname = \"a\"\nshare = = 3\n\n[[queue]]\nname = 4\n";

    let told = faults(text, Format::Toml);

    assert!(
        told.iter().any(|fault| fault.starts_with("line 3")),
        "{told:?}"
    );
    let name = "line 6, column 8: `name` is a text".to_owned();
    assert!(told.contains(&name), "{told:?}");
}

#[test]
fn a_json_intent_tells_line_and_column_too() {
    let text = "{\n  \"team\": [{\"name\": \"a\", \"share\": 0}],\n  \"queues\": []\n}\n";

    let told = faults(text, Format::Json);

    assert_eq!(
        told,
        [
            "line 2, column 35: `share` is a whole number from 1 to 4294967295",
            "line 3, column 13: there is no field `queues`, only team, queue, workload",
        ]
    );
}

#[test]
fn columns_count_characters() {
    let text =
        "[[team]]\nname = \"záchrana\"\nshare = 1\n# ž\nlimit = { cores = 1, memory = \"ž\" }\n";

    let told = faults(text, Format::Toml);

    assert!(told[0].starts_with("line 2, column 8"), "{told:?}");
    assert!(told[1].starts_with("line 5, column 31"), "{told:?}");
}

#[test]
fn a_workload_that_names_what_is_not_there_is_refused() {
    let text = r#"[[workload]]
name = "w"
team = "a"
queue = "q"
kind = "batch"
cores = 1
memory = "1GiB"
spread = 2
"#;

    let told = faults(text, Format::Toml);

    assert_eq!(
        told,
        [
            "line 3, column 8: there is no team `a` in this intent",
            "line 4, column 9: there is no queue `q` in this intent",
            "line 8, column 1: `spread` is only for services",
        ]
    );
}

#[test]
fn a_task_over_its_teams_limit_alone_is_refused() {
    let text = r#"[[team]]
name = "a"
share = 1
limit = { cores = 2, memory = "1GiB" }

[[queue]]
name = "q"

[[workload]]
name = "w"
team = "a"
queue = "q"
kind = "batch"
cores = 4
memory = "1GiB"
"#;

    let told = faults(text, Format::Toml);

    assert_eq!(
        told,
        ["line 9, column 1: one task is over the limit of team `a`"]
    );
}

#[test]
fn whatever_is_cut_out_of_an_example_is_told_or_read_but_never_breaks() {
    for text in [SPINE_AND_LEAF, VLTAVA, VLTAVA_JSON] {
        let format = if text.starts_with('{') {
            Format::Json
        } else {
            Format::Toml
        };
        for (start, _) in text.char_indices().step_by(7) {
            let end = text[start..]
                .char_indices()
                .nth(5)
                .map_or(text.len(), |(at, _)| start + at);
            let cut = format!("{}{}", &text[..start], &text[end..]);

            if let Err(faults) = Intent::parse("intent", &cut, format) {
                assert!(
                    faults
                        .faults
                        .iter()
                        .all(|fault| fault.line > 0 && fault.column > 0)
                );
                assert!(!format!("{:?}", miette::Report::new(*faults)).is_empty());
            }
        }
    }
}

#[test]
fn an_intent_that_is_in_force_leads_to_no_edit() {
    for text in [SPINE_AND_LEAF, VLTAVA] {
        let intent = Intent::parse("intent", text, Format::Toml).unwrap();
        let mut configuration = Configuration::default();
        let edit = intent.edit(&configuration, "first".into());
        configuration.apply(&edit).unwrap();

        let again = intent.edit(&configuration, "second".into());

        assert_eq!(again.operations, []);
        assert_eq!(configuration, intent.applied_to(&configuration));
    }
}
