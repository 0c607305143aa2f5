//! The load of `admission::tombstones`: a client account cancels unknown jobs as fast as it can.

use std::time::Duration;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_workflow::admission::tombstones::{
    ALWAYS_PER_TEAM,
    MAX_PER_TEAM,
    MAX_ROWS,
    Tombstones, //
};

use crate::util::name;

const LIFETIME: Duration = Duration::from_secs(120);

/// Time between two cancellations of an account.
const INTERVAL_MILLIS: u64 = 10;

/// Lets an account cancel 1,000 jobs from `from` on. Returns how many were admitted.
fn flood(tombstones: &mut Tombstones, team: &Name, from: Millis) -> usize {
    let times = (0..1000).map(|number| Millis(from.0 + number * INTERVAL_MILLIS));
    let admitted = times.filter(|now| tombstones.admit(Some(team), *now).is_ok());
    admitted.count()
}

/// What cancellations of unknown jobs leave in the store grew without bound.
#[test]
fn an_account_leaves_few_rows_and_learns_when_it_may_leave_more() {
    let mut tombstones = Tombstones::new(LIFETIME);
    let begun = Millis(1_000_000);
    let team = name("flooding");

    let admitted = flood(&mut tombstones, &team, begun);
    let now = begun.after(Duration::from_secs(20));
    let refused = tombstones.admit(Some(&team), now);
    let later = tombstones.admit(Some(&team), begun.after(LIFETIME));
    let too_many = tombstones.admit(Some(&team), begun.after(LIFETIME));

    assert_eq!(admitted, MAX_PER_TEAM);
    assert_eq!(refused, Err(Duration::from_secs(100)));
    assert_eq!(later, Ok(()));
    assert_eq!(too_many, Err(Duration::from_millis(INTERVAL_MILLIS)));
}

/// Accounts that flood a VM kept others from cancelling.
#[test]
fn accounts_that_flood_a_vm_keep_no_other_one_from_cancelling() {
    let mut tombstones = Tombstones::new(LIFETIME);
    let begun = Millis(1_000_000);
    for number in 0..100 {
        flood(&mut tombstones, &name(&format!("flooding{number}")), begun);
    }
    let full = tombstones.len();

    let other = flood(&mut tombstones, &name("other"), begun);
    let without_key = tombstones.admit(None, begun);
    let after = begun.after(LIFETIME + Duration::from_secs(10));
    let admitted_later = tombstones.admit(Some(&name("other")), after);

    let flooding = 100 - MAX_ROWS / MAX_PER_TEAM;
    assert_eq!(full, MAX_ROWS + flooding * ALWAYS_PER_TEAM);
    assert_eq!(other, ALWAYS_PER_TEAM);
    assert_eq!(without_key, Ok(()));
    assert_eq!(admitted_later, Ok(()));
    assert_eq!(tombstones.len(), 1);
}
