//! An altered or cut audit trail is seen.

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
fn a_whole_trail_is_accepted() {
    for length in 0..10 {
        let (entries, head) = trail(length);

        assert_eq!(audit::verify(&entries, &head), Ok(()));
    }
}

#[test]
fn an_altered_entry_is_seen_in_each_position_and_field() {
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
            let plain = audit::verify(&entries, &head);
            let resealed = entries[position].clone().with_hash();
            entries[position] = resealed;

            assert!(plain.is_err(), "field {field} of entry {position}");
            let again = audit::verify(&entries, &head);
            assert!(again.is_err(), "field {field} of sealed entry {position}");
        }
    }
}

#[test]
fn a_cut_is_seen_in_each_position() {
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
fn an_entry_that_is_put_in_or_moved_is_seen() {
    for position in 0..9 {
        let (mut entries, head) = trail(10);
        let doubled = entries[position].clone();
        entries.insert(position, doubled);
        let (mut swapped, _) = trail(10);
        swapped.swap(position, position + 1);

        assert!(audit::verify(&entries, &head).is_err());
        assert!(audit::verify(&swapped, &head).is_err());
    }
}

#[test]
fn a_trail_that_was_written_anew_lacks_the_noted_entry() {
    let (entries, head) = trail(5);
    let noted = format!("3:{}", entries[2].hash);
    let noted: Anchor = noted.parse().unwrap();
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
    assert_eq!(noted.verify(&forged), Err(VerifyError::Anchor(3)));
    assert_eq!(noted.verify(&entries), Ok(()));
}

#[test]
fn what_an_edit_changed_is_told_with_before_and_after() {
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

    let refused = configuration.apply(&edit("second", vec![set(Some(settings(1)), None)]));
    let changes = configuration
        .apply(&edit("third", vec![withdraw, set(Some(settings(1)), None)]))
        .unwrap();

    // A team goes only together with each of its keys.
    assert!(refused.is_err());
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|change| change.before.is_some()));
    assert!(changes.iter().all(|change| change.after.is_none()));
    assert_eq!(configuration.teams, []);
}

#[test]
fn the_last_key_of_an_operator_stays() {
    let mut configuration = Configuration::default();
    let step = |operation| Edit {
        id: "fixture".into(),
        operator: String::new(),
        intent: String::new(),
        base: None,
        operations: vec![operation],
    };
    let give = |key| Operation::GiveKey(Holder::Operator, Hash::of(key));
    let withdraw = |key| Operation::WithdrawKey(Holder::Operator, Hash::of(key));
    configuration.apply(&step(give("first"))).unwrap();

    let refused = configuration.apply(&step(withdraw("first")));
    configuration.apply(&step(give("second"))).unwrap();
    let rotated = configuration.apply(&step(withdraw("first")));

    assert!(refused.is_err());
    assert!(rotated.is_ok());
    assert!(configuration.is_operator_key("second"));
    assert!(!configuration.is_operator_key("first"));
}
