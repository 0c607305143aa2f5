//! Tests of the table in `docs/OUTAGES.md`: which work continues, waits or is refused while the
//! store is down.

use std::time::Duration;

use basilbridge_common::{
    call::Verb,
    error::{
        Kind as ErrorKind,
        Ran,
        Result, //
    },
    id::Shard,
    job::{
        Kind,
        Request,
        State,
        Status, //
    },
};
use basilbridge_standins::store;

use crate::{
    cell::Cell,
    work::{
        self,
        payload,
        request, //
    },
};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a cell of one entry VM and two workers.
async fn start_cell(seed: u64) -> Cell {
    let cell = Cell::new(seed, 2).await;
    cell.start_vm();
    cell.wait_until_recovered().await;
    cell
}

fn set_store_down(cell: &Cell, down: bool) {
    cell.store.set_faults(store::FaultSettings {
        down,
        ..store::FaultSettings::default()
    });
}

async fn submit(cell: &Cell, request: Request) -> Result<Status> {
    let shard = Shard {
        data_centre: "local".into(),
        number: 0,
    };
    let verb = Verb::Submit(shard, Box::new(request));
    work::call(cell, verb, TIMEOUT).await
}

#[tokio::test(start_paused = true)]
async fn a_check_that_may_be_repeated_goes_on_through_a_long_outage() {
    let cell = start_cell(1).await;
    set_store_down(&cell, true);
    cell.timer.sleep(Duration::from_secs(600)).await;

    let status = submit(&cell, request(Kind::Interactive, "glue")).await;

    assert_eq!(status.unwrap().outputs[0].text, "glue");
}

#[tokio::test(start_paused = true)]
async fn what_needs_a_record_is_refused_at_once_and_does_not_run() {
    let cell = start_cell(2).await;
    set_store_down(&cell, true);
    let batch = request(Kind::Batch, "batch");
    let once = Request {
        repeatable: false,
        ..request(Kind::Interactive, "once")
    };
    let keyed = Request {
        idempotency_key: Some("key".into()),
        ..request(Kind::Interactive, "keyed")
    };
    let gang = request(Kind::Gang, "gang");
    let begin = cell.timer.now();

    for request in [batch, once, keyed, gang] {
        let error = submit(&cell, request.clone()).await.unwrap_err();

        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
        assert_eq!(error.kind.properties().ran, Ran::No);
        assert!(cell.fleet.starts(&request.payload).is_empty());
    }

    assert!(cell.timer.now().since(begin) < Duration::from_secs(1));
    set_store_down(&cell, false);
    cell.timer.sleep(TIMEOUT).await;
    assert_eq!(cell.fleet.counts().starts, 0);
}

#[tokio::test(start_paused = true)]
async fn accepted_work_that_may_be_repeated_starts_and_its_end_waits() {
    let cell = start_cell(3).await;
    let long = payload("long", 5000);
    let mut jobs = Vec::new();
    for _ in 0..8 {
        jobs.push(submit(&cell, request(Kind::Batch, &long)).await.unwrap().id);
    }
    set_store_down(&cell, true);
    cell.timer.sleep(Duration::from_secs(4)).await;
    assert_eq!(
        cell.fleet.starts(&long).len(),
        6,
        "one task runs in each slot"
    );

    cell.timer.sleep(Duration::from_secs(60)).await;
    let waiting = work::call(&cell, Verb::Status(jobs[0].clone()), TIMEOUT).await;

    assert_eq!(waiting.unwrap().state, State::Running);
    set_store_down(&cell, false);
    for job in &jobs {
        let end = work::final_state(&cell, job, TIMEOUT).await.unwrap();
        assert_eq!(end.state, State::Succeeded);
    }
    assert_eq!(cell.fleet.starts(&long).len(), 8);
}

#[tokio::test(start_paused = true)]
async fn accepted_work_that_must_not_be_repeated_waits_for_the_store() {
    let cell = start_cell(4).await;
    let full = payload("full", 3000);
    for _ in 0..6 {
        submit(&cell, request(Kind::Batch, &full)).await.unwrap();
    }
    let once = Request {
        repeatable: false,
        ..request(Kind::Batch, &payload("once", 10))
    };
    let job = submit(&cell, once.clone()).await.unwrap().id;
    set_store_down(&cell, true);

    cell.timer.sleep(Duration::from_secs(60)).await;

    assert!(cell.fleet.starts(&once.payload).is_empty());
    set_store_down(&cell, false);
    let end = work::final_state(&cell, &job, TIMEOUT).await.unwrap();
    assert_eq!(end.state, State::Succeeded);
    assert_eq!(cell.fleet.starts(&once.payload).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_is_refused_and_the_job_goes_on() {
    let cell = start_cell(5).await;
    let job = submit(&cell, request(Kind::Batch, &payload("long", 5000)));
    let job = job.await.unwrap().id;
    set_store_down(&cell, true);

    let error = work::call(&cell, Verb::Cancel(job.clone()), TIMEOUT).await;

    assert_eq!(error.unwrap_err().kind, ErrorKind::StoreUnavailable);
    set_store_down(&cell, false);
    let end = work::final_state(&cell, &job, TIMEOUT).await.unwrap();
    assert_eq!(end.state, State::Succeeded);
}

#[tokio::test(start_paused = true)]
async fn a_hand_over_is_not_made_and_the_owner_goes_on() {
    let cell = start_cell(6).await;
    set_store_down(&cell, true);
    let node = cell.node(cell.addresses()[0]).unwrap();

    let handed_over = node.hand_over().await;

    assert!(!handed_over);
    let status = submit(&cell, request(Kind::Interactive, "glue")).await;
    assert_eq!(status.unwrap().outputs[0].text, "glue");
}

#[tokio::test(start_paused = true)]
async fn the_shards_of_a_vm_that_dies_wait_for_the_store_and_lose_nothing() {
    let cell = start_cell(7).await;
    let job = submit(&cell, request(Kind::Batch, &payload("long", 60_000)));
    let job = job.await.unwrap().id;
    let before = cell.store.counts();
    set_store_down(&cell, true);
    cell.kill_vm(cell.addresses()[0]);
    cell.start_vm();
    cell.start_vm();

    let refused = submit(&cell, request(Kind::Interactive, "glue")).await;

    assert_eq!(refused.unwrap_err().kind.properties().ran, Ran::No);
    set_store_down(&cell, false);
    let end = work::final_state(&cell, &job, TIMEOUT * 4).await.unwrap();
    assert_eq!(end.state, State::Succeeded);
    assert_eq!(cell.store.counts().over_cap, before.over_cap);
    assert_eq!(cell.fleet.violations(), Default::default());
}

#[tokio::test(start_paused = true)]
async fn the_return_of_the_store_brings_no_calls_above_its_cap() {
    let cell = Cell::new(8, 80).await;
    for _ in 0..9 {
        cell.start_vm();
    }
    cell.wait_until_recovered().await;
    let owners = cell.owners().len();
    set_store_down(&cell, true);
    cell.timer.sleep(Duration::from_secs(120)).await;

    set_store_down(&cell, false);
    cell.timer.sleep(Duration::from_secs(10)).await;

    assert_eq!(cell.store.counts().over_cap, 0);
    assert_eq!(
        cell.owners().len(),
        owners,
        "an outage must not move shards"
    );
}

/// The most starts of a task that crashes its workers, from the users' rules: two after the third.
const MOST_STARTS: usize = 5;

/// Issue 27: a task under which each worker crashes was started without bound.
#[tokio::test(start_paused = true)]
async fn a_task_under_which_its_workers_crash_is_given_up() {
    let cell = start_cell(6).await;
    let deadly = payload("deadly", 600_000);
    let job = submit(&cell, request(Kind::Batch, &deadly));
    let job = job.await.unwrap().id;

    for crashes in 0..20 {
        cell.timer.sleep(Duration::from_secs(30)).await;
        if cell.fleet.starts(&deadly).len() <= crashes {
            break;
        }
        for worker in cell.fleet.workers() {
            cell.fleet.reboot(&worker.name);
        }
    }

    let end = work::final_state(&cell, &job, TIMEOUT).await.unwrap();
    assert_eq!(end.state, State::Failed);
    assert!(cell.fleet.starts(&deadly).len() <= MOST_STARTS);
}
