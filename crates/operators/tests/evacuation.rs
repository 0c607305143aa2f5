//! Tests of evacuations in the configuration: old documents, races between operators, and plans made
//! before an evacuation.

use std::collections::BTreeSet;

use basilbridge_common::{
    error::Kind,
    id::Version,
    unit::Millis, //
};
use basilbridge_operators::{
    audit::Entry,
    change::Item,
    configuration::{
        Configuration,
        TeamSettings, //
    },
    intent::{
        DesiredTeam,
        Intent, //
    },
    key::Hash,
    plan::{
        Plan,
        Request, //
    },
};

/// Returns an intent file with one team of this share that evacuates these data centres.
fn request(name: &str, share: u32, evacuate: &[&str]) -> Request {
    let settings = TeamSettings { share, limit: None };
    Request {
        name: name.to_owned(),
        intent: Intent {
            teams: vec![DesiredTeam {
                name: "a".into(),
                settings,
            }],
            evacuate: names(evacuate),
            ..Intent::default()
        },
    }
}

fn names(names: &[&str]) -> BTreeSet<basilbridge_common::id::Name> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Returns a configuration with one team of share 1 that evacuates these data centres.
fn configuration(evacuated: &[&str]) -> Configuration {
    let request = request("first", 1, evacuated);
    request.intent.applied_to(&Configuration::default())
}

#[test]
fn a_configuration_and_an_intent_without_the_field_are_read_as_nothing_evacuated() {
    let stored = r#"{"version":3,"teams":[{"name":"a","share":1,"keys":[]}],"queues":[],"operator_keys":[]}"#;
    let sent = r#"{"teams":[],"queues":[],"workloads":[]}"#;

    let configuration: Configuration = serde_json::from_str(stored).unwrap();
    let intent: Intent = serde_json::from_str(sent).unwrap();

    assert_eq!(configuration.evacuated, names(&[]));
    assert_eq!(intent.evacuate, names(&[]));
    assert_eq!(serde_json::to_string(&configuration).unwrap(), stored);
}

#[test]
fn a_stored_plan_without_data_centres_is_read() {
    let plan = Plan::new(&request("i", 2, &[]), &configuration(&[])).unwrap();
    let stored = serde_json::to_string(&plan).unwrap();

    let read: Plan = serde_json::from_str(&stored).unwrap();

    assert!(!stored.contains("data_centres"), "{stored}");
    assert_eq!(read, plan);
}

#[test]
fn each_data_centre_is_a_change_of_its_own_and_the_trail_replays_it() {
    let before = configuration(&["b", "c"]);
    let plan = Plan::new(&request("i", 1, &["b", "d"]), &before).unwrap();
    let mut applied = before.clone();
    let changes = applied.apply(&plan.edit).unwrap();
    let entry = Entry {
        sequence: Version(1),
        at: Millis(0),
        operator: String::new(),
        id: "id".into(),
        intent: String::new(),
        changes: changes.clone(),
        previous: Hash::zero(),
        hash: Hash::zero(),
    };

    let mut replayed = before.clone();
    replayed.apply_entry(&entry);

    let keys: Vec<_> = changes.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["evacuate/c", "evacuate/d"]);
    assert_eq!(changes[0].before, Some(Item::Evacuation("c".into())));
    assert_eq!(changes[0].after, None);
    assert_eq!(changes[1].after, Some(Item::Evacuation("d".into())));
    assert_eq!(applied.evacuated, names(&["b", "d"]));
    assert_eq!(replayed.evacuated, applied.evacuated);
}

/// Guards against two evacuations that together leave no capacity, although each plan showed that
/// the other data centre is in use.
#[test]
fn of_two_operators_who_evacuate_different_data_centres_the_second_conflicts() {
    let mut current = configuration(&[]);
    let first = Plan::new(&request("first", 1, &["b"]), &current).unwrap();
    let second = Plan::new(&request("second", 1, &["c"]), &current).unwrap();
    current.apply(&first.edit).unwrap();

    let conflict = current.apply(&second.edit).unwrap_err();

    assert_eq!(conflict.kind, Kind::Conflict);
    let message = r#"evacuate: expected [], but there is now ["b"]; the edit sets ["c"]"#;
    assert_eq!(conflict.message, message);
    assert_eq!(current.evacuated, names(&["b"]));
}

#[test]
fn of_an_evacuation_and_its_end_planned_from_one_state_the_second_conflicts() {
    let mut current = configuration(&["b"]);
    let end = Plan::new(&request("end", 1, &[]), &current).unwrap();
    let more = Plan::new(&request("more", 1, &["b", "c"]), &current).unwrap();
    current.apply(&more.edit).unwrap();

    let conflict = current.apply(&end.edit).unwrap_err();

    assert_eq!(conflict.kind, Kind::Conflict);
    assert_eq!(current.evacuated, names(&["b", "c"]));
}

/// Guards against a plan of other items that ends an evacuation which it did not show.
#[test]
fn a_plan_made_before_an_evacuation_and_confirmed_after_it_leaves_it_in_force() {
    let mut current = configuration(&[]);
    let before = Plan::new(&request("share", 2, &[]), &current).unwrap();
    let evacuation = Plan::new(&request("evacuation", 1, &["b"]), &current).unwrap();
    current.apply(&evacuation.edit).unwrap();

    let changes = current.apply(&before.edit).unwrap();

    let keys: Vec<_> = changes.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["team/a"]);
    assert_eq!(current.evacuated, names(&["b"]));
}

#[test]
fn a_document_that_replaces_the_configuration_sets_the_evacuations() {
    let current = configuration(&["b"]);
    let mut next = current.clone();
    next.evacuated = names(&["c"]);

    let mut applied = current.clone();
    applied.apply(&current.edit_to("id".into(), &next)).unwrap();

    assert_eq!(applied, next);
}
