//! The names of workers, however many there are, read as they were written.

use basilbridge_cell::{
    call_size,
    roster_rows::{
        self,
        Write, //
    },
};
use basilbridge_common::id::Name;
use basilbridge_workflow::roster::Roster;

const ROW_BYTES: usize = 48 * 1024;

fn roster(workers: u64) -> Roster {
    let name = |number: u64| -> Name {
        format!("i-{:017x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)).into()
    };
    let mut names: Vec<Name> = (0..workers).map(name).collect();
    names.sort_unstable();
    Roster {
        joined: names.iter().step_by(7).cloned().collect(),
        names,
    }
}

fn read(write: &Write) -> Roster {
    let find = |key: &str| {
        let row = write.others.iter().find(|put| put.key == key)?;
        row.value.as_deref()
    };
    let (roster, rows) =
        roster_rows::read(roster_rows::row_count(&write.head), find).expect("it can be read");
    assert_eq!(rows, write.rows);
    roster
}

#[test]
fn the_names_of_the_largest_fleet_fit_into_one_call() {
    let roster = roster(28_000);

    let write = roster_rows::encode(&roster, None, ROW_BYTES).expect("it fits");

    assert!(call_size::fits(&write.others, 2));
    assert_eq!(read(&write), roster);
}

#[test]
fn a_new_worker_changes_one_row() {
    let mut roster = roster(5000);
    let stored = roster_rows::encode(&roster, None, ROW_BYTES).expect("it fits");
    roster.names.push("i-new".into());

    let write = roster_rows::encode(&roster, Some(&stored.rows), ROW_BYTES).expect("it fits");

    // The row of its part, and the empty one of workers that don't count yet.
    assert_eq!(write.others.len(), 2);
    assert_eq!(write.rows.count(), stored.rows.count());
}

#[test]
fn the_names_of_a_small_fleet_stay_in_the_row_that_earlier_versions_read() {
    let roster = roster(100);

    let write = roster_rows::encode(&roster, None, ROW_BYTES).expect("it fits");

    let names: Vec<Name> = serde_json::from_str(&write.head).expect("it is a list of names");
    assert_eq!(names, roster.names);
    assert_eq!(roster_rows::row_count(&write.head), 0);
}
