//! Detection of stalls of an owner.

use std::time::Duration;

use basilbridge_cell::stall::{
    MAX_GAP,
    StallDetector, //
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn an_owner_that_was_suspended_finds_a_gap_until_its_next_turn() {
    let detector = StallDetector::new(seconds(100));

    assert_eq!(detector.gap(seconds(100) + MAX_GAP), None);
    assert_eq!(detector.gap(seconds(104)), Some(seconds(4)));

    detector.record_turn(seconds(104));
    assert_eq!(detector.gap(seconds(104)), None);
}

#[test]
fn a_clock_that_reads_less_than_before_makes_no_gap() {
    let detector = StallDetector::new(seconds(100));

    assert_eq!(detector.gap(seconds(99)), None);
}
