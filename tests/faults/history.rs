//! Concurrent submissions with the same idempotency key, checked for linearizability.

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
        NetworkFaults, //
    },
    fault,
    work::{
        self,
        CallLog,
        CallRecord, //
    },
};

/// Maximum number of calls in a history. The checker's search grows fast with the number of
/// concurrent calls.
const MAX_HISTORY: usize = 24;

/// A submission with the key, and the job that was returned to it.
#[derive(Debug, Clone)]
struct Submission(Job);

/// The first submission with a key creates the job that is returned to all later ones.
struct OneJob;

impl Specification for OneJob {
    type State = Option<Job>;
    type Operation = Submission;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        let Submission(job) = operation;
        let valid = state.as_ref().is_none_or(|created| created == job);
        (valid, Some(job.clone()))
    }
}

/// Returns the calls and responses with one key in the order of their times.
///
/// A submission of unknown outcome is left out. If it created the job, the first submission that
/// the job was returned to takes its place.
fn to_actions(records: &[&CallRecord]) -> Vec<(usize, Action<Submission>)> {
    let mut events: Vec<(Millis, u8, usize, Action<Submission>)> = Vec::new();
    for (process, record) in records.iter().take(MAX_HISTORY).enumerate() {
        if let Ok(status) = &record.result {
            let operation = Submission(status.id.clone());
            events.push((record.called, 0, process, Action::Call(operation.clone())));
            events.push((record.returned, 1, process, Action::Response(operation)));
        }
    }
    events.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    events
        .into_iter()
        .map(|(_, _, process, action)| (process, action))
        .collect()
}

/// Groups the submissions that have an idempotency key by this key.
fn group_by_key(log: &[CallRecord]) -> BTreeMap<Name, Vec<&CallRecord>> {
    let mut keys: BTreeMap<Name, Vec<&CallRecord>> = BTreeMap::new();
    for record in log {
        if let Some(key) = &record.request.idempotency_key {
            keys.entry(key.clone()).or_default().push(record);
        }
    }
    keys
}

/// Runs callers under all faults and returns their submissions.
async fn run_keyed_calls(seed: u64) -> Vec<CallRecord> {
    let cell = Cell::new(seed, 4).await;
    for _ in 0..3 {
        cell.start_vm();
    }
    cell.wait_until_recovered().await;
    cell.set_network_faults(NetworkFaults {
        lost_per_mille: 5,
        late_per_mille: 20,
    });
    let end = cell.timer.now().after(std::time::Duration::from_secs(15));
    let log = CallLog::default();
    tokio::join!(
        work::run_callers(cell.clone(), end, Arc::clone(&log)),
        fault::inject(cell.clone(), fault::ALL.to_vec(), end),
    );
    let log = log.lock().unwrap();
    log.clone()
}

#[test]
fn submissions_with_one_key_are_linearizable_under_faults() {
    let mut checked = 0;
    for seed in 0..12 {
        let log = cell::run(run_keyed_calls(seed));
        for (key, records) in group_by_key(&log) {
            let actions = to_actions(&records);
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
