//! Whether the configuration of a VM may be out of date.

use basilbridge_cell::freshness::Freshness;
use basilbridge_common::unit::Millis;

#[test]
fn a_configuration_is_current_until_it_is_doubted() {
    let mut freshness = Freshness::default();
    let before = freshness.is_current(1);

    freshness.doubt(Millis(100));

    assert!(before);
    assert!(!freshness.is_current(1));
}

#[test]
fn an_answer_to_a_read_that_began_before_the_doubt_does_not_end_it() {
    let mut freshness = Freshness::default();
    freshness.doubt(Millis(100));

    freshness.confirm(Millis(99));
    let after_earlier_read = freshness.is_current(1);
    freshness.confirm(Millis(100));

    assert!(!after_earlier_read);
    assert!(freshness.is_current(1));
}

#[test]
fn a_configuration_older_than_the_one_that_a_peer_has_judged_by_is_not_current() {
    let mut freshness = Freshness::default();

    freshness.require(7);
    freshness.require(5);

    assert!(!freshness.is_current(6));
    assert!(freshness.is_current(7));
}
