//! Tests of the claim, hand-over and take-over of shards, and of what they cost.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use basilbridge::membership::Intervals;
use basilbridge_common::{
    call::Verb,
    id::{
        Name,
        Shard, //
    },
    job::{
        Kind,
        Request,
        State, //
    },
};
use basilbridge_platform::vm::Vm;
use basilbridge_standins::{
    store,
    worker, //
};

use crate::{
    cell::Cell,
    work::{
        self,
        payload,
        request, //
    },
};

const TIMEOUT: Duration = Duration::from_secs(60);

/// Target for the time from an owner's death to the first start by its successor.
const MAX_TIME_TO_FIRST_START: Duration = Duration::from_secs(5);

fn shard(number: u32) -> Shard {
    Shard {
        data_centre: "local".into(),
        number,
    }
}

fn submission(number: u32, request: Request) -> Verb {
    Verb::Submit(shard(number), Box::new(request))
}

async fn submit(cell: &Cell, number: u32, request: Request) -> basilbridge_common::id::Job {
    let verb = submission(number, request);
    work::call(cell, verb, TIMEOUT).await.unwrap().id
}

fn set_unresponsive(cell: &Cell, worker: &str, unresponsive: bool) {
    let faults = worker::FaultSettings {
        unresponsive,
        ..worker::FaultSettings::default()
    };
    cell.fleet.set_faults(&Name::from(worker), faults);
}

/// Removes a worker from the platform's list of VMs.
fn remove_from_list(cell: &Cell, gone: &str) {
    let mut workers = cell.fleet.workers();
    workers.retain(|worker| &*worker.name != gone);
    let vms = workers.into_iter().map(Vm::Worker).collect();
    cell.store.set_vms(vms);
}

#[tokio::test(start_paused = true)]
async fn nine_vms_that_start_together_write_no_more_than_a_claim_each_beside_their_sessions() {
    let cell = Cell::new(1, 80).await;
    let before = cell.store.counts();

    for _ in 0..9 {
        cell.start_vm();
    }
    let elapsed = cell.wait_until_recovered().await;
    cell.timer.sleep(Duration::from_secs(10)).await;

    let after = cell.store.counts();
    let writes = after.writes - before.writes;
    let renewals = 9 * (elapsed.as_secs() + 10 + 1);
    println!(
        "40 shards owned after {elapsed:?}, {writes} writes in {:?} more",
        10
    );
    assert!(writes <= renewals + 9 * 2, "{writes} writes");
    assert_eq!(after.over_cap, 0);
}

#[tokio::test(start_paused = true)]
async fn shards_spread_over_vms_that_start_together() {
    let cell = Cell::new(2, 80).await;
    for _ in 0..4 {
        cell.start_vm();
    }

    cell.wait_until_recovered().await;

    for address in cell.addresses() {
        assert!(!cell.node(address).unwrap().owners().is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_start_after_an_owners_death_comes_within_the_target() {
    let cell = Cell::new(3, 4).await;
    let first = cell.start_vm();
    cell.wait_until_recovered().await;
    cell.start_vm();
    cell.timer.sleep(Duration::from_millis(900)).await;
    // The tasks run longer than it takes to submit them all, so some wait when their owner dies.
    let mut job = request(Kind::Batch, &payload("late", 500));
    job.resources.cpu_millis = 3000;
    for number in 0..8 {
        submit(&cell, number % 2, job.clone()).await;
    }

    cell.kill_vm(first);
    // Starts that the dead owner sent arrive during this time and do not count for its successor.
    let message_delay = Duration::from_millis(50);
    cell.timer.sleep(message_delay).await;
    let started = cell.fleet.counts().starts;
    let elapsed = message_delay
        + cell
            .wait_until(|cell| cell.fleet.counts().starts > started)
            .await;

    println!("first start {elapsed:?} after the owner's death");
    assert!(elapsed <= MAX_TIME_TO_FIRST_START, "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn a_shard_that_is_handed_over_is_claimed_at_the_next_poll() {
    let cell = Cell::new(4, 4).await;
    let first = cell.start_vm();
    cell.wait_until_recovered().await;
    cell.start_vm();
    cell.timer.sleep(Duration::from_secs(2)).await;
    let node = cell.node(first).unwrap();

    assert!(node.hand_over().await);
    let elapsed = cell
        .wait_until(|cell| {
            let owners = cell.owners();
            owners.len() == 2 && owners.iter().all(|owner| owner.is_recovered())
        })
        .await;

    println!("recovered {elapsed:?} after the hand-over");
    assert!(elapsed <= Duration::from_secs(1), "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn replacing_all_vms_one_after_another_loses_nothing() {
    let cell = Cell::new(5, 4).await;
    for _ in 0..3 {
        cell.start_vm();
    }
    cell.wait_until_recovered().await;
    let mut jobs = Vec::new();

    for (round, address) in cell.addresses().into_iter().enumerate() {
        for number in 0..8 {
            let text = payload(&format!("{round}-{number}"), 3000);
            jobs.push(submit(&cell, number % 2, request(Kind::Batch, &text)).await);
        }
        cell.start_vm();
        assert!(cell.node(address).unwrap().hand_over().await);
        cell.kill_vm(address);
        cell.wait_until_recovered().await;
    }

    for job in &jobs {
        let end = work::final_state(&cell, job, TIMEOUT).await.unwrap();
        assert_eq!(end.state, State::Succeeded);
        let starts = cell.fleet.starts(&payload(&end.outputs[0].text, 3000));
        assert_eq!(starts.len(), 1, "a hand-over must not repeat tasks");
    }
    assert_eq!(cell.fleet.violations(), Default::default());
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_worker_delays_inherited_work_and_no_other() {
    let cell = Cell::new(6, 2).await;
    let first = cell.start_vm();
    cell.wait_until_recovered().await;
    let old = payload("old", 20_000);
    for _ in 0..8 {
        submit(&cell, 0, request(Kind::Batch, &old)).await;
    }
    let started = cell.fleet.starts(&old).len();
    set_unresponsive(&cell, "local-worker-1", true);
    cell.kill_vm(first);
    cell.start_vm();

    let new = payload("new", 10);
    let job = submit(&cell, 0, request(Kind::Batch, &new)).await;
    cell.timer.sleep(Duration::from_secs(60)).await;

    // The leases of the unresponsive worker's tasks have ended, but nothing confirms that the tasks
    // have stopped, so the other inherited tasks wait.
    let end = work::final_state(&cell, &job, TIMEOUT).await.unwrap();
    assert_eq!(end.state, State::Succeeded);
    assert_eq!(cell.fleet.starts(&old).len(), started);
    set_unresponsive(&cell, "local-worker-1", false);
    cell.wait_until(|cell| cell.fleet.starts(&old).len() > started)
        .await;
    assert_eq!(cell.fleet.violations(), Default::default());
}

#[tokio::test(start_paused = true)]
async fn inherited_work_starts_once_a_silent_worker_has_left_the_list_for_long() {
    let cell = Cell::new(7, 2).await;
    let first = cell.start_vm();
    cell.wait_until_recovered().await;
    let repeatable = payload("repeatable", 40_000);
    let once = payload("once", 40_000);
    let mut jobs = Vec::new();
    for _ in 0..3 {
        submit(&cell, 0, request(Kind::Batch, &repeatable)).await;
        let job = Request {
            repeatable: false,
            ..request(Kind::Batch, &once)
        };
        jobs.push(submit(&cell, 0, job).await);
    }
    cell.timer.sleep(Duration::from_secs(1)).await;
    set_unresponsive(&cell, "local-worker-1", true);
    remove_from_list(&cell, "local-worker-1");
    cell.kill_vm(first);
    cell.start_vm();
    cell.timer.sleep(Duration::from_secs(10)).await;
    assert!(!cell.owners()[0].is_recovered());

    let elapsed = cell
        .wait_until(|cell| cell.owners().iter().all(|owner| owner.is_recovered()))
        .await;

    println!("recovered {elapsed:?} later without the worker");
    let mut states = BTreeSet::new();
    for job in &jobs {
        let end = work::final_state(&cell, job, TIMEOUT).await.unwrap();
        states.insert(end.state);
    }
    assert!(states.contains(&State::Unknown), "{states:?}");
    assert_eq!(cell.fleet.starts(&once).len(), 3);
    assert_eq!(cell.fleet.violations(), Default::default());
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_task_whose_stop_was_lost_is_stopped_later() {
    let cell = Cell::new(8, 2).await;
    cell.start_vm();
    cell.wait_until_recovered().await;
    let job = submit(&cell, 0, request(Kind::Batch, &payload("long", 600_000))).await;
    cell.wait_until(|cell| !cell.fleet.running().is_empty())
        .await;
    for worker in cell.fleet.workers() {
        set_unresponsive(&cell, &worker.name, true);
    }

    let cancelled = work::call(&cell, Verb::Cancel(job), TIMEOUT).await.unwrap();
    cell.timer.sleep(Duration::from_secs(4)).await;
    for worker in cell.fleet.workers() {
        set_unresponsive(&cell, &worker.name, false);
    }
    cell.wait_until(|cell| cell.fleet.running().is_empty())
        .await;

    assert_eq!(cancelled.state, State::Cancelled);
}

#[tokio::test(start_paused = true)]
async fn a_repeated_key_gives_the_first_job_again_from_any_shard() {
    let cell = Cell::new(9, 4).await;
    cell.start_vm();
    cell.wait_until_recovered().await;
    let keyed = Request {
        idempotency_key: Some("invoice-1".into()),
        repeatable: false,
        ..request(Kind::Batch, &payload("invoice", 10))
    };
    let first = submit(&cell, 0, keyed.clone()).await;

    let again = submit(&cell, 0, keyed.clone()).await;
    let elsewhere = submit(&cell, 1, keyed.clone()).await;
    let other = Request {
        payload: "other".to_owned(),
        ..keyed.clone()
    };
    let refused = work::call(&cell, submission(0, other), TIMEOUT).await;

    assert_eq!((again, elsewhere), (first.clone(), first.clone()));
    assert_eq!(
        refused.unwrap_err().kind,
        basilbridge_common::error::Kind::Conflict
    );
    work::final_state(&cell, &first, TIMEOUT).await.unwrap();
    assert_eq!(cell.fleet.starts(&keyed.payload).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn sessions_of_500_vms_stay_within_their_budget() {
    let cell = Cell::new(10, 4).await;
    cell.store.set_faults(store::FaultSettings {
        writes_per_second: u32::MAX,
        reads_per_second: u32::MAX,
        ..store::FaultSettings::default()
    });
    for _ in 0..500 {
        cell.start_vm();
    }
    cell.timer.sleep(Duration::from_secs(10)).await;
    let before = cell.store.counts();

    cell.timer.sleep(Duration::from_secs(20)).await;

    let after = cell.store.counts();
    let writes = (after.writes - before.writes) as f64 / 20.0;
    let reads = (after.reads - before.reads) as f64 / 20.0;
    let intervals = Intervals::new(Duration::from_millis(500), Duration::from_secs(3), 500);
    println!("500 VMs: {writes:.1} writes/s, {reads:.1} reads/s, {intervals:?}");
    assert!(writes <= 300.0 - 180.0, "{writes}");
    assert!(reads <= 1000.0, "{reads}");
}
