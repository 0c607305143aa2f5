//! What a claim says of the owners before it.

use std::time::Duration;

use basilbridge_common::{
    id::Version,
    unit::Millis, //
};
use basilbridge_workflow::lineage::{
    Lineage,
    Predecessor, //
};

const LEASE: Duration = Duration::from_millis(5500);
const LONGER_LEASE: Duration = Duration::from_millis(8000);
const MAX_LEASE: Duration = Duration::from_secs(10);
const NOW: Millis = Millis(1_000_000);

/// Returns a predecessor that has claimed the workers `age` ago.
fn predecessor(epoch: u32, lineage: Option<Lineage>, age: Duration) -> Predecessor {
    Predecessor {
        epoch,
        lineage,
        received_at: Millis(NOW.0 - age.as_millis() as u64),
        settled_at: Some(Version(70)),
    }
}

fn after(before: &Predecessor) -> Lineage {
    Lineage::after(before, LEASE, MAX_LEASE, NOW)
}

#[test]
fn nothing_is_assumed_of_an_owner_of_an_earlier_version() {
    let of_the_owner_before_it = Lineage {
        epoch: 3,
        ..Lineage::first(LEASE)
    };
    let silent = predecessor(4, Some(of_the_owner_before_it), Duration::from_secs(600));

    let lineage = after(&silent);
    let next = after(&predecessor(5, Some(lineage.clone()), Duration::ZERO));

    assert_eq!(lineage.first_epoch, 5);
    assert_eq!(lineage.first_version, None);
    assert_eq!(lineage.earlier_lease, MAX_LEASE);
    assert_eq!(next.first_epoch, 5);
    assert_eq!(next.first_version, Some(Version(70)));
    assert_eq!(next.earlier_lease, MAX_LEASE);
}

#[test]
fn a_longer_lease_of_an_earlier_owner_counts_until_it_is_over() {
    let before = Lineage {
        epoch: 4,
        earlier_lease: LONGER_LEASE,
        ..Lineage::first(LEASE)
    };

    let soon = after(&predecessor(4, Some(before.clone()), MAX_LEASE));
    let late = after(&predecessor(4, Some(before), MAX_LEASE * 4));

    assert_eq!(soon.earlier_lease, LONGER_LEASE);
    assert_eq!(late.earlier_lease, LEASE);
    assert_eq!(late.first_version, Some(Version(0)));
}

/// A claim whose answer was lost may never have been acted on, so the owner before it goes on.
#[test]
fn an_owner_that_sent_no_heartbeats_ends_nothing() {
    let before = Lineage {
        epoch: 4,
        first_version: None,
        earlier_lease: LONGER_LEASE,
        ..Lineage::first(LEASE)
    };
    let phantom = Predecessor {
        settled_at: None,
        ..predecessor(4, Some(before), MAX_LEASE * 4)
    };

    let lineage = after(&phantom);

    assert_eq!(lineage.earlier_lease, LONGER_LEASE);
    assert_eq!(lineage.first_version, None);
}
