//! Messages and owners that come too late.

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
        Weather, //
    },
    work::{
        self,
        payload,
        request, //
    },
};

const PATIENCE: Duration = Duration::from_secs(30);
const ALL_LATE: Weather = Weather {
    lost: 0,
    late: 1000,
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
        work::call(cell, verb, PATIENCE).await.unwrap();
    }
}

/// Lets an owner die whose starts are still under way; returns what the workers saw and refused.
async fn late_starts(seed: u64) -> (Violations, u64) {
    let cell = Cell::new(seed, 2).await;
    let first = cell.start();
    cell.until_settled().await;
    let check = payload("check", 1500);
    for _ in 0..6 {
        let cell = cell.clone();
        let verb = submission(Kind::Interactive, &check);
        tokio::spawn(async move { work::call(&cell, verb, PATIENCE).await });
    }
    cell.until(|cell| cell.fleet.starts(&check).len() == 6)
        .await;
    submit(&cell, 6, Kind::Batch, &payload("late", 20_000)).await;
    cell.start();
    cell.set_weather(ALL_LATE);
    cell.until(|cell| cell.fleet.running().len() < 6).await;
    cell.timer.sleep(Duration::from_millis(30)).await;
    cell.set_weather(Weather::default());

    cell.kill(first);
    cell.timer.sleep(Duration::from_secs(60)).await;

    (cell.fleet.violations(), cell.fleet.counts().stale)
}

#[test]
fn a_start_that_comes_after_the_next_owners_claim_is_refused() {
    let mut refused = 0;
    for seed in 0..20 {
        let (violations, stale) = cell::run(late_starts(seed));
        assert_eq!(violations, Violations::default(), "seed {seed}");
        refused += stale;
    }
    println!("{refused} late starts refused");
    assert!(refused > 0, "no start came late");
}

/// Lets an owner die with checks that run; the next one is given work for the same room.
async fn lost_checks(seed: u64) -> Violations {
    let cell = Cell::new(seed, 2).await;
    let first = cell.start();
    cell.until_settled().await;
    let check = payload("check", 60_000);
    for _ in 0..6 {
        let cell = cell.clone();
        let verb = submission(Kind::Interactive, &check);
        tokio::spawn(async move { work::call(&cell, verb, PATIENCE).await });
    }
    cell.until(|cell| cell.fleet.starts(&check).len() == 6)
        .await;
    let next = payload("next", 100);
    submit(&cell, 6, Kind::Batch, &next).await;

    cell.kill(first);
    cell.start();
    cell.until(|cell| cell.fleet.starts(&next).len() == 6).await;

    cell.fleet.violations()
}

#[test]
fn checks_whose_caller_was_lost_are_stopped_before_their_room_is_given_away() {
    for seed in 0..8 {
        let violations = cell::run(lost_checks(seed));
        assert_eq!(violations, Violations::default(), "seed {seed}");
    }
}
