//! Tests that alterations of an audit trail are detected, and which changes edits make.

use basilbridge_common::{
    id::Version,
    unit::Millis, //
};
use basilbridge_operators::{
    audit::{
        self,
        Anchor,
        Entry,
        Head, //
        VerifyError,
    },
    change::{
        Change,
        Edit,
        Holder,
        Operation,
        Replacement, //
    },
    configuration::{
        Configuration,
        TeamSettings, //
    },
    key::Hash,
};

fn entry(number: u64, previous: &Entry) -> Entry {
    Entry {
        sequence: Version(number),
        at: Millis(number * 1000),
        operator: "0123456789ab".to_owned(),
        id: format!("edit-{number}").into(),
        intent: "teams.toml".to_owned(),
        changes: changes(number),
        previous: previous.hash.clone(),
        hash: Hash::zero(),
    }
    .with_hash()
}

fn changes(number: u64) -> Vec<Change> {
    let settings = Replacement {
        before: None,
        after: Some(TeamSettings {
            share: number as u32,
            limit: None,
        }),
    };
    let edit = Edit {
        id: "fixture".into(),
        operator: String::new(),
        intent: String::new(),
        base: None,
        operations: vec![Operation::SetTeam("workshop".into(), settings)],
    };
    Configuration::default().apply(&edit).unwrap()
}

fn trail(length: u64) -> (Vec<Entry>, Head) {
    let mut entries: Vec<Entry> = Vec::new();
    let genesis = Entry {
        sequence: Version(0),
        at: Millis(0),
        operator: String::new(),
        id: "".into(),
        intent: String::new(),
        changes: Vec::new(),
        previous: Hash::zero(),
        hash: Hash::zero(),
    };
    for number in 1..=length {
        entries.push(entry(number, entries.last().unwrap_or(&genesis)));
    }
    let head = Head {
        sequence: Version(length),
        hash: entries.last().unwrap_or(&genesis).hash.clone(),
        first: Version(1),
    };
    (entries, head)
}

#[test]
fn an_unaltered_trail_is_accepted() {
    for length in 0..10 {
        let (entries, head) = trail(length);

        assert_eq!(audit::verify(&entries, &head), Ok(()));
    }
}

#[test]
fn an_altered_entry_is_detected_in_each_position_and_field() {
    let alterations: [fn(&mut Entry); 7] = [
        |entry| entry.sequence = Version(entry.sequence.0 + 1),
        |entry| entry.at = Millis(entry.at.0 + 1),
        |entry| entry.operator = "another".to_owned(),
        |entry| entry.id = "another".into(),
        |entry| entry.intent = "another".to_owned(),
        |entry| entry.changes.clear(),
        |entry| entry.previous = Hash::of("another"),
    ];
    for position in 0..10 {
        for (field, alter) in alterations.iter().enumerate() {
            let (mut entries, head) = trail(10);
            alter(&mut entries[position]);
            let result = audit::verify(&entries, &head);
            let rehashed = entries[position].clone().with_hash();
            entries[position] = rehashed;

            assert!(result.is_err(), "field {field} of entry {position}");
            let rehashed_result = audit::verify(&entries, &head);
            assert!(
                rehashed_result.is_err(),
                "field {field} of rehashed entry {position}"
            );
        }
    }
}

#[test]
fn removed_entries_are_detected_in_each_position() {
    for first in 0..10 {
        for last in first..10 {
            let (mut entries, head) = trail(10);
            entries.drain(first..=last);

            let fault = audit::verify(&entries, &head).unwrap_err();

            let position = first as u64 + 1;
            let expected = if last == 9 {
                VerifyError::End {
                    expected: 10,
                    found: first as u64,
                }
            } else {
                VerifyError::Order {
                    expected: position,
                    found: last as u64 + 2,
                }
            };
            assert_eq!(fault, expected);
        }
    }
}

#[test]
fn an_inserted_or_moved_entry_is_detected() {
    for position in 0..9 {
        let (mut entries, head) = trail(10);
        let duplicated = entries[position].clone();
        entries.insert(position, duplicated);
        let (mut swapped, _) = trail(10);
        swapped.swap(position, position + 1);

        assert!(audit::verify(&entries, &head).is_err());
        assert!(audit::verify(&swapped, &head).is_err());
    }
}

#[test]
fn a_forged_trail_with_valid_hashes_lacks_the_entry_of_the_anchor() {
    let (entries, head) = trail(5);
    let anchor = format!("3:{}", entries[2].hash);
    let anchor: Anchor = anchor.parse().unwrap();
    let mut forged: Vec<Entry> = Vec::new();
    for mut entry in entries.clone() {
        entry.operator = "another".to_owned();
        entry.previous = forged.last().map_or(Hash::zero(), |last| last.hash.clone());
        forged.push(entry.with_hash());
    }
    let forged_head = Head {
        hash: forged[4].hash.clone(),
        ..head
    };

    assert_eq!(audit::verify(&forged, &forged_head), Ok(()));
    assert_eq!(anchor.verify(&forged), Err(VerifyError::Anchor(3)));
    assert_eq!(anchor.verify(&entries), Ok(()));
}

#[test]
fn the_changes_of_an_edit_hold_the_values_before_and_after() {
    let mut configuration = Configuration::default();
    let settings = |share| TeamSettings { share, limit: None };
    let set = |before, after| Operation::SetTeam("workshop".into(), Replacement { before, after });
    let edit = |id: &str, operations| Edit {
        id: id.into(),
        operator: String::new(),
        intent: String::new(),
        base: None,
        operations,
    };
    let give = Operation::GiveKey(Holder::Team("workshop".into()), Hash::of("k"));
    configuration
        .apply(&edit("first", vec![set(None, Some(settings(1))), give]))
        .unwrap();

    let withdraw = Operation::WithdrawKey(Holder::Team("workshop".into()), Hash::of("k"));

    let rejected = configuration.apply(&edit("second", vec![set(Some(settings(1)), None)]));
    let changes = configuration
        .apply(&edit("third", vec![withdraw, set(Some(settings(1)), None)]))
        .unwrap();

    // A team can be removed only once all its keys are withdrawn.
    assert!(rejected.is_err());
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|change| change.before.is_some()));
    assert!(changes.iter().all(|change| change.after.is_none()));
    assert_eq!(configuration.teams, []);
}

#[test]
fn the_last_operator_key_can_not_be_withdrawn() {
    let mut configuration = Configuration::default();
    let edit = |operation| Edit {
        id: "fixture".into(),
        operator: String::new(),
        intent: String::new(),
        base: None,
        operations: vec![operation],
    };
    let give = |key| Operation::GiveKey(Holder::Operator, Hash::of(key));
    let withdraw = |key| Operation::WithdrawKey(Holder::Operator, Hash::of(key));
    configuration.apply(&edit(give("first"))).unwrap();

    let rejected = configuration.apply(&edit(withdraw("first")));
    configuration.apply(&edit(give("second"))).unwrap();
    let rotated = configuration.apply(&edit(withdraw("first")));

    assert!(rejected.is_err());
    assert!(rotated.is_ok());
    assert!(configuration.is_operator_key("second"));
    assert!(!configuration.is_operator_key("first"));
}
