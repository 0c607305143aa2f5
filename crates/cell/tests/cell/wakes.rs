//! Gaps in which an owner had no turn.

use std::time::Duration;

use basilbridge_cell::wake::{
    LONGEST_GAP,
    Watch, //
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn an_owner_that_was_suspended_finds_a_gap_until_its_next_turn() {
    let watch = Watch::new(seconds(100));

    assert_eq!(watch.gap(seconds(100) + LONGEST_GAP), None);
    assert_eq!(watch.gap(seconds(104)), Some(seconds(4)));

    watch.turn(seconds(104));
    assert_eq!(watch.gap(seconds(104)), None);
}

#[test]
fn a_clock_that_reads_less_than_before_makes_no_gap() {
    let watch = Watch::new(seconds(100));

    assert_eq!(watch.gap(seconds(99)), None);
}
