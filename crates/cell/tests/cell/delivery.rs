//! Jobs from the feed wait until this VM is known to have held the claim.

use basilbridge_cell::delivery::Delivery;
use basilbridge_common::id::Version;
use basilbridge_platform::table::Row;

fn row(version: u64) -> Row {
    Row {
        table: "jobs/0".into(),
        key: format!("j{version}"),
        version: Version(version),
        value: Some("{}".to_owned()),
    }
}

fn versions(rows: &[Row]) -> Vec<u64> {
    rows.iter().map(|row| row.version.0).collect()
}

/// An owner that was replaced without noticing took jobs from the feed. Its successor had to wait
/// for every worker before it could start them.
#[test]
fn a_job_is_not_taken_from_the_feed_before_a_later_write_shows_the_claim() {
    let mut delivery = Delivery::default();

    let at_once = delivery.deliver(vec![row(7), row(9)]);
    let after_first = delivery.confirm(Version(8));
    let is_waiting = !delivery.is_empty();
    let after_second = delivery.confirm(Version(12));
    let known = delivery.deliver(vec![row(11), row(13)]);

    assert_eq!(versions(&at_once), Vec::<u64>::new());
    assert_eq!(versions(&after_first), [7]);
    assert!(is_waiting);
    assert_eq!(versions(&after_second), [9]);
    assert_eq!(versions(&known), [11]);
}
