//! Histories of concurrent submissions with the same key, checked for linearizability.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use basilbridge_common::{
    id::{
        Job,
        Name, //
    },
    unit::Millis,
};
use todc_utils::{
    Action,
    History,
    Specification,
    WGLChecker, //
};

use crate::{
    cell::{
        self,
        Cell,
        Weather, //
    },
    fault,
    work::{
        self,
        Log,
        Told, //
    },
};

/// The searches grow fast with what runs at the same time, so a history is kept short.
const LONGEST_HISTORY: usize = 24;

/// A submission with the key, and the job that it was told.
#[derive(Debug, Clone)]
struct Submission(Job);

/// The first submission with a key makes the job that all later ones are told.
struct OneJob;

impl Specification for OneJob {
    type State = Option<Job>;
    type Operation = Submission;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        let Submission(told) = operation;
        let valid = state.as_ref().is_none_or(|job| job == told);
        (valid, Some(told.clone()))
    }
}

/// Returns the calls and answers with a key in the order of their times.
///
/// A submission of unknown outcome is left out: where it made the job, the first one that was
/// told of the job stands for it.
fn actions(told: &[&Told]) -> Vec<(usize, Action<Submission>)> {
    let mut events: Vec<(Millis, u8, usize, Action<Submission>)> = Vec::new();
    for (process, told) in told.iter().take(LONGEST_HISTORY).enumerate() {
        if let Ok(status) = &told.result {
            let operation = Submission(status.id.clone());
            events.push((told.called, 0, process, Action::Call(operation.clone())));
            events.push((told.returned, 1, process, Action::Response(operation)));
        }
    }
    events.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    events
        .into_iter()
        .map(|(_, _, process, action)| (process, action))
        .collect()
}

fn by_key(log: &[Told]) -> BTreeMap<Name, Vec<&Told>> {
    let mut keys: BTreeMap<Name, Vec<&Told>> = BTreeMap::new();
    for told in log {
        if let Some(key) = &told.request.idempotency_key {
            keys.entry(key.clone()).or_default().push(told);
        }
    }
    keys
}

async fn keyed_log(seed: u64) -> Vec<Told> {
    let cell = Cell::new(seed, 4).await;
    for _ in 0..3 {
        cell.start();
    }
    cell.until_settled().await;
    cell.set_weather(Weather { lost: 5, late: 20 });
    let end = cell.timer.now().after(std::time::Duration::from_secs(15));
    let log = Log::default();
    tokio::join!(
        work::call_until(cell.clone(), end, Arc::clone(&log)),
        fault::bring(cell.clone(), fault::ALL.to_vec(), end),
    );
    let log = log.lock().unwrap();
    log.clone()
}

#[test]
fn submissions_with_one_key_are_linearizable_under_faults() {
    let mut checked = 0;
    for seed in 0..12 {
        let log = cell::run(keyed_log(seed));
        for (key, told) in by_key(&log) {
            let actions = actions(&told);
            if actions.is_empty() {
                continue;
            }
            checked += 1;
            let history = History::from_actions(actions);
            assert!(
                WGLChecker::<OneJob>::is_linearizable(history),
                "seed {seed} {key}"
            );
        }
    }
    println!("{checked} histories");
    assert!(checked >= 12);
}

#[test]
fn two_jobs_of_one_key_are_not_linearizable() {
    let job = |number| Job {
        shard: "local-0".parse().unwrap(),
        epoch: basilbridge_common::id::Epoch(1),
        number,
    };
    let call = |number| Action::Call(Submission(job(number)));
    let response = |number| Action::Response(Submission(job(number)));
    let actions = vec![
        (0, call(1)),
        (1, call(2)),
        (0, response(1)),
        (1, response(2)),
    ];

    let history = History::from_actions(actions);

    assert!(!WGLChecker::<OneJob>::is_linearizable(history));
}
