//! Messages that arrive late, and work of an owner that has died.

use std::time::Duration;

use basilbridge_common::{
    call::Verb,
    id::Shard,
    job::Kind, //
};
use basilbridge_standins::observations::Violations;

use crate::{
    cell::{
        self,
        Cell,
        NetworkFaults, //
    },
    work::{
        self,
        payload,
        request, //
    },
};

const TIMEOUT: Duration = Duration::from_secs(30);
const ALL_LATE: NetworkFaults = NetworkFaults {
    lost_per_mille: 0,
    late_per_mille: 1000,
};

fn submission(kind: Kind, payload: &str) -> Verb {
    let shard = Shard {
        data_centre: "local".into(),
        number: 0,
    };
    Verb::Submit(shard, Box::new(request(kind, payload)))
}

async fn submit(cell: &Cell, count: usize, kind: Kind, payload: &str) {
    for _ in 0..count {
        let verb = submission(kind, payload);
        work::call(cell, verb, TIMEOUT).await.unwrap();
    }
}

/// Kills an owner while its starts are in transit.
///
/// Returns the violations that the workers observed and the number of stale starts they refused.
async fn run_late_starts(seed: u64) -> (Violations, u64) {
    let cell = Cell::new(seed, 2).await;
    let first = cell.start_vm();
    cell.wait_until_recovered().await;
    let check = payload("check", 1500);
    for _ in 0..6 {
        let cell = cell.clone();
        let verb = submission(Kind::Interactive, &check);
        tokio::spawn(async move { work::call(&cell, verb, TIMEOUT).await });
    }
    cell.wait_until(|cell| cell.fleet.starts(&check).len() == 6)
        .await;
    submit(&cell, 6, Kind::Batch, &payload("late", 20_000)).await;
    cell.start_vm();
    cell.set_network_faults(ALL_LATE);
    cell.wait_until(|cell| cell.fleet.running().len() < 6).await;
    cell.timer.sleep(Duration::from_millis(30)).await;
    cell.set_network_faults(NetworkFaults::default());

    cell.kill_vm(first);
    cell.timer.sleep(Duration::from_secs(60)).await;

    (cell.fleet.violations(), cell.fleet.counts().stale)
}

#[test]
fn a_start_that_comes_after_the_next_owners_claim_is_refused() {
    let mut refused = 0;
    for seed in 0..20 {
        let (violations, stale) = cell::run(run_late_starts(seed));
        assert_eq!(violations, Violations::default(), "seed {seed}");
        refused += stale;
    }
    println!("{refused} late starts refused");
    assert!(refused > 0, "no start arrived late");
}

/// Kills an owner while its checks run, and gives the next owner work that needs the same slots.
///
/// Returns the violations that the workers observed.
async fn run_lost_checks(seed: u64) -> Violations {
    let cell = Cell::new(seed, 2).await;
    let first = cell.start_vm();
    cell.wait_until_recovered().await;
    let check = payload("check", 60_000);
    for _ in 0..6 {
        let cell = cell.clone();
        let verb = submission(Kind::Interactive, &check);
        tokio::spawn(async move { work::call(&cell, verb, TIMEOUT).await });
    }
    cell.wait_until(|cell| cell.fleet.starts(&check).len() == 6)
        .await;
    let next = payload("next", 100);
    submit(&cell, 6, Kind::Batch, &next).await;

    cell.kill_vm(first);
    cell.start_vm();
    cell.wait_until(|cell| cell.fleet.starts(&next).len() == 6)
        .await;

    cell.fleet.violations()
}

#[test]
fn checks_whose_caller_was_lost_are_stopped_before_their_room_is_given_away() {
    for seed in 0..8 {
        let violations = cell::run(run_lost_checks(seed));
        assert_eq!(violations, Violations::default(), "seed {seed}");
    }
}
