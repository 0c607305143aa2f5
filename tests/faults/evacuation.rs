//! Tests that nothing starts in an evacuated data centre, whatever its owners were about to do.

use std::time::Duration;

use basilbridge::{
    commit,
    embedded, //
};
use basilbridge_common::{
    call::Verb,
    id::{
        Job,
        Shard, //
    },
    job::{
        Kind,
        Request,
        State, //
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

/// Time within which a change of the configuration is in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);

/// Time for which starts are watched for, longer than all timers of an owner.
const WATCH_TIME: Duration = Duration::from_secs(60);

/// Starts a cell of one entry VM and two workers in one data centre, `local`.
async fn start_cell(seed: u64) -> Cell {
    let cell = Cell::new(seed, 2).await;
    cell.start_vm();
    cell.wait_until_recovered().await;
    cell
}

/// Evacuates the data centre of all workers, or ends its evacuation.
async fn set_evacuated(cell: &Cell, evacuated: bool) {
    let mut next = embedded::initial_configuration();
    if evacuated {
        next.evacuated.insert("local".into());
    }
    commit::replace(cell.store.platform(), cell.timer.clone(), &next)
        .await
        .unwrap();
}

async fn submit(cell: &Cell, request: Request) -> Job {
    let shard = Shard {
        data_centre: "local".into(),
        number: 0,
    };
    let verb = Verb::Submit(shard, Box::new(request));
    work::call(cell, verb, TIMEOUT).await.unwrap().id
}

async fn end_of(cell: &Cell, job: &Job) -> State {
    work::final_state(cell, job, TIMEOUT).await.unwrap().state
}

/// Guards against an owner that goes on starting its queue, and against one that stops what runs.
#[tokio::test(start_paused = true)]
async fn what_runs_goes_on_and_what_waits_starts_after_the_evacuation() {
    let cell = start_cell(41).await;
    let running = payload("running", 30_000);
    let waiting = payload("waiting", 100);
    let mut jobs = Vec::new();
    for _ in 0..6 {
        jobs.push(submit(&cell, request(Kind::Batch, &running)).await);
    }
    cell.wait_until(|cell| cell.fleet.starts(&running).len() == 6)
        .await;
    set_evacuated(&cell, true).await;
    cell.timer.sleep(IN_FORCE_LIMIT).await;
    for _ in 0..4 {
        jobs.push(submit(&cell, request(Kind::Batch, &waiting)).await);
    }

    cell.timer.sleep(WATCH_TIME).await;

    let starts = cell.fleet.counts().starts;
    assert_eq!(starts, 6, "nothing starts in the data centre");
    for job in &jobs[..6] {
        assert_eq!(end_of(&cell, job).await, State::Succeeded);
    }
    set_evacuated(&cell, false).await;
    for job in &jobs[6..] {
        assert_eq!(end_of(&cell, job).await, State::Succeeded);
    }
    assert_eq!(cell.fleet.violations(), Default::default());
}

/// Guards against a new owner that starts what it inherits before it knows of the evacuation.
#[tokio::test(start_paused = true)]
async fn an_owner_that_takes_over_starts_nothing_that_it_inherits() {
    let cell = start_cell(42).await;
    set_evacuated(&cell, true).await;
    cell.timer.sleep(IN_FORCE_LIMIT).await;
    let waiting = payload("waiting", 100);
    let job = submit(&cell, request(Kind::Batch, &waiting)).await;
    for address in cell.addresses() {
        cell.kill_vm(address);
    }
    cell.start_vm();
    cell.wait_until_recovered().await;

    cell.timer.sleep(WATCH_TIME).await;

    assert_eq!(cell.fleet.counts().starts, 0);
    set_evacuated(&cell, false).await;
    assert_eq!(end_of(&cell, &job).await, State::Succeeded);
}

/// Guards against a start that is sent although its data centre was evacuated between the decision
/// and the answer of the journal.
#[tokio::test(start_paused = true)]
async fn a_start_that_was_placed_and_not_sent_is_taken_back() {
    let cell = start_cell(43).await;
    let once = Request {
        repeatable: false,
        ..request(Kind::Batch, &payload("once", 100))
    };
    let slow = store::FaultSettings {
        delay: Duration::from_millis(1200),
        ..store::FaultSettings::default()
    };
    cell.store.set_faults(slow);
    let job = submit(&cell, once.clone()).await;
    // The record of the start has been sent and takes as long as that of the job.
    cell.timer.sleep(Duration::from_millis(20)).await;
    cell.store.set_faults(store::FaultSettings::default());
    assert!(cell.owners()[0].load().1 == 1, "the task is placed");
    set_evacuated(&cell, true).await;

    cell.timer.sleep(WATCH_TIME).await;

    assert!(cell.fleet.starts(&once.payload).is_empty());
    set_evacuated(&cell, false).await;
    assert_eq!(end_of(&cell, &job).await, State::Succeeded);
    assert_eq!(cell.fleet.starts(&once.payload).len(), 1);
    assert_eq!(cell.fleet.violations(), Default::default());
}

/// Guards against an owner that remembers the first evacuation, or its end.
#[tokio::test(start_paused = true)]
async fn an_evacuation_that_is_requested_again_holds_again() {
    let cell = start_cell(44).await;
    for round in 0..3 {
        set_evacuated(&cell, true).await;
        cell.timer.sleep(IN_FORCE_LIMIT).await;
        let job = submit(&cell, request(Kind::Batch, &payload("again", 100))).await;
        cell.timer.sleep(IN_FORCE_LIMIT).await;
        assert_eq!(cell.fleet.counts().starts, round);

        set_evacuated(&cell, false).await;

        assert_eq!(end_of(&cell, &job).await, State::Succeeded);
    }
}

/// Guards against an owner that does not hear of an evacuation, because the store is down for it and
/// a peer that could tell is silent, and goes on starting tasks.
#[tokio::test(start_paused = true)]
async fn an_owner_that_may_have_missed_an_evacuation_starts_nothing() {
    let cell = start_cell(45).await;
    cell.start_vm();
    cell.timer.sleep(IN_FORCE_LIMIT).await;
    let is_peer = |address| {
        cell.node(address)
            .is_some_and(|node| node.owners().is_empty())
    };
    let peer = cell.addresses().into_iter().find(|peer| is_peer(*peer));
    let set_down = |down| {
        cell.store.set_faults(store::FaultSettings {
            down,
            ..store::FaultSettings::default()
        });
    };
    set_down(true);
    cell.kill_vm(peer.expect("one of the VMs does not own the shard"));
    cell.timer.sleep(IN_FORCE_LIMIT).await;
    let check = request(Kind::Interactive, "check");
    let caller = tokio::spawn({
        let (cell, check) = (cell.clone(), check.clone());
        async move { submit(&cell, check).await }
    });

    cell.timer.sleep(TIMEOUT / 2).await;

    assert_eq!(cell.fleet.counts().starts, 0);
    set_down(false);
    let job = caller.await.unwrap();
    assert_eq!(end_of(&cell, &job).await, State::Succeeded);
}
