//! Tests that intent files are parsed completely, and that all errors are reported together with
//! line and column.

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

fn error_messages(text: &str, format: Format) -> Vec<String> {
    let errors = Intent::parse("intent", text, format).unwrap_err();
    errors.errors.iter().map(ToString::to_string).collect()
}

#[test]
fn the_examples_of_both_deployments_are_parsed() {
    let spine = Intent::parse("spine-and-leaf.toml", SPINE_AND_LEAF, Format::Toml).unwrap();
    let vltava = Intent::parse("vltava.toml", VLTAVA, Format::Toml).unwrap();

    assert_eq!((spine.teams.len(), spine.queues.len()), (4, 4));
    assert_eq!(spine.workloads.len(), 4);
    assert_eq!(spine.workloads[0].kind, Kind::Service);
    assert_eq!(spine.workloads[0].spread, Some(1));
    assert!(!spine.workloads[3].repeatable);
    let last_queue = vltava.queues.last().unwrap();
    assert_eq!(last_queue.open_for.as_deref(), Some("enrolment"));
    let last_workload = vltava.workloads.last().unwrap();
    let size = Resources {
        cpu_millis: 500,
        memory_mib: 256,
        accelerators: 0,
    };
    assert_eq!(last_workload.resources, size);
}

#[test]
fn an_intent_in_json_equals_the_same_intent_in_toml() {
    let toml = Intent::parse("vltava.toml", VLTAVA, Format::of("vltava.toml")).unwrap();
    let json = Intent::parse("vltava.json", VLTAVA_JSON, Format::of("vltava.json")).unwrap();

    assert_eq!(toml, json);
}

#[test]
fn all_errors_are_reported_at_once_with_line_and_column() {
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

    let messages = error_messages(text, Format::Toml);

    assert_eq!(
        messages,
        [
            "line 2, column 8: a name must be 1 to 64 letters, digits, dashes, dots or underscores",
            "line 3, column 9: `share` must be an integer from 1 to 4294967295",
            "line 4, column 1: unknown field `color`, expected one of name, share, limit",
            "line 8, column 12: team `nobody` is not defined in this intent",
            "line 11, column 8: duplicate name `q`",
            "line 17, column 8: `kind` must be service, batch or gang",
            "line 18, column 9: `cores` must be a number",
            "line 19, column 10: `memory` must be a size such as \"512MiB\"",
            "line 20, column 9: `count` must be an integer from 1 to 1000000",
            "line 21, column 14: `repeatable` must be true or false",
        ]
    );
}

#[test]
fn syntax_errors_in_toml_do_not_hide_errors_in_values() {
    let text = "[[team]]\nname = \"a\"\nshare = = 3\n\n[[queue]]\nname = 4\n";

    let messages = error_messages(text, Format::Toml);

    assert!(
        messages.iter().any(|error| error.starts_with("line 3")),
        "{messages:?}"
    );
    let name = "line 6, column 8: `name` must be a string".to_owned();
    assert!(messages.contains(&name), "{messages:?}");
}

#[test]
fn errors_in_json_are_reported_with_line_and_column() {
    let text = "{\n  \"team\": [{\"name\": \"a\", \"share\": 0}],\n  \"queues\": []\n}\n";

    let messages = error_messages(text, Format::Json);

    assert_eq!(
        messages,
        [
            "line 2, column 35: `share` must be an integer from 1 to 4294967295",
            "line 3, column 13: unknown field `queues`, expected one of team, queue, workload, evacuate",
        ]
    );
}

#[test]
fn columns_count_characters() {
    let text =
        "[[team]]\nname = \"záchrana\"\nshare = 1\n# ž\nlimit = { cores = 1, memory = \"ž\" }\n";

    let messages = error_messages(text, Format::Toml);

    assert!(messages[0].starts_with("line 2, column 8"), "{messages:?}");
    assert!(messages[1].starts_with("line 5, column 31"), "{messages:?}");
}

#[test]
fn a_workload_with_an_undefined_team_or_queue_is_rejected() {
    let text = r#"[[workload]]
name = "w"
team = "a"
queue = "q"
kind = "batch"
cores = 1
memory = "1GiB"
spread = 2
"#;

    let messages = error_messages(text, Format::Toml);

    assert_eq!(
        messages,
        [
            "line 3, column 8: team `a` is not defined in this intent",
            "line 4, column 9: queue `q` is not defined in this intent",
            "line 8, column 1: `spread` is allowed only for services",
        ]
    );
}

#[test]
fn a_task_that_exceeds_its_teams_limit_is_rejected() {
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

    let messages = error_messages(text, Format::Toml);

    assert_eq!(
        messages,
        ["line 9, column 1: one task exceeds the limit of team `a`"]
    );
}

#[test]
fn an_example_with_a_part_cut_out_is_parsed_or_rejected_without_a_panic() {
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
            let shortened = format!("{}{}", &text[..start], &text[end..]);

            if let Err(errors) = Intent::parse("intent", &shortened, format) {
                assert!(
                    errors
                        .errors
                        .iter()
                        .all(|error| error.line > 0 && error.column > 0)
                );
                assert!(!format!("{:?}", miette::Report::new(*errors)).is_empty());
            }
        }
    }
}

#[test]
fn an_intent_that_is_already_applied_leads_to_an_empty_edit() {
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

#[test]
fn data_centres_to_evacuate_are_read_from_toml_and_json() {
    let toml = Intent::parse("i.toml", "evacuate = [\"north-b\", \"a\"]", Format::Toml).unwrap();
    let json = Intent::parse("i.json", r#"{"evacuate": ["north-b", "a"]}"#, Format::Json).unwrap();

    let names: Vec<_> = toml.evacuate.iter().map(|name| &**name).collect();
    assert_eq!(names, ["a", "north-b"]);
    assert_eq!(toml, json);
}

#[test]
fn wrong_and_duplicate_names_of_data_centres_are_all_reported() {
    let text = "evacuate = [\"a b\", \"c\", 4, \"\", \"c\"]\n";

    let messages = error_messages(text, Format::Toml);
    let no_list = error_messages("evacuate = \"north-b\"\n", Format::Toml);
    let json = error_messages(r#"{"evacuate": ["c", "c"]}"#, Format::Json);

    let name = "a name must be 1 to 64 letters, digits, dashes, dots or underscores";
    assert_eq!(
        messages,
        [
            format!("line 1, column 13: {name}"),
            "line 1, column 25: a name must be a string".to_owned(),
            format!("line 1, column 28: {name}"),
            "line 1, column 32: duplicate name `c`".to_owned(),
        ]
    );
    assert_eq!(
        no_list,
        ["line 1, column 12: `evacuate` must be a list of names"]
    );
    assert_eq!(json, ["line 1, column 20: duplicate name `c`"]);
}

#[test]
fn evacuate_below_a_table_is_an_unknown_field_and_not_ignored() {
    let text = "[[queue]]\nname = \"q\"\nevacuate = [\"north-b\"]\n";

    let messages = error_messages(text, Format::Toml);

    let unknown = "line 3, column 1: unknown field `evacuate`, expected one of name, open_for";
    assert_eq!(messages, [unknown]);
}
