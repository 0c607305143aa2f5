//! Claims the workers of a shard, renews the leases of their tasks and receives their reports.
//!
//! Each worker has its own task, so that an unresponsive worker doesn't delay the others. See
//! `docs/design/claim-barrier.md`.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    crash::{
        self,
        Suspect, //
    },
    id::{
        Boot,
        Name,
        Task, //
    },
    job::State,
    unit::Millis,
    worker::Worker,
};
use basilbridge_endpoints::command::{
    Attempt,
    Command,
    Lease,
    Phase,
    Renew,
    Reply,
    Report,
    Verb, //
};
use futures_util::future;
use tokio::task::JoinSet;

use crate::{
    journal::Record,
    owner::{
        CLOCK_DRIFT_DIVISOR,
        Inner,
        MAX_MESSAGE_DELAY,
        Owner, //
    },
    ownership, takeover,
};

/// The number of renewals in the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 10;

/// The delay between an answered renewal and the next, so that tasks that end at about the same
/// time are reported together.
const COALESCE_DELAY: Duration = Duration::from_millis(20);

/// How often a worker lists its running tasks, which reports their usage and reveals attempts that
/// are no longer needed.
const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// The leases of a worker that hasn't answered for a lease divided by this number are no longer
/// extended.
const EXTENSION_DIVISOR: u32 = 3;

/// How long to wait after a failed claim of a worker before the next attempt.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);

/// Supervises all workers until the future is dropped.
pub async fn run(owner: Arc<Owner>) {
    let mut listing_changes = owner.listing_changes.subscribe();
    let mut supervisors = JoinSet::new();
    let mut supervised = BTreeSet::new();
    let interval = owner.services.task_lease / RENEWALS_PER_LEASE;
    loop {
        let known: Vec<_> = owner.lock().workers.keys().cloned().collect();
        for name in known {
            if supervised.insert(name.clone()) {
                supervisors.spawn(supervise(Arc::clone(&owner), name));
            }
        }
        tokio::select! {
            biased;
            Some(Ok(name)) = supervisors.join_next() => {
                supervised.remove(&name);
            }
            _ = listing_changes.changed() => {}
            () = owner.services.timer.sleep(interval) => {}
        }
        let now = owner.services.timer.now();
        owner.lock().forget(now);
        owner.wake.notify_one();
    }
}

/// Claims one worker and renews its leases until it is removed, and returns its name.
async fn supervise(owner: Arc<Owner>, name: Name) -> Name {
    while let Some(worker) = find_worker(&owner, &name) {
        if claim(&owner, &worker).await {
            renew_leases(&owner, &worker).await;
        } else {
            slog::warn!(owner.services.log, "worker removed after its leases lapsed";
                "worker" => &*name);
            remove_worker(&owner, &name);
        }
    }
    name
}

fn find_worker(owner: &Owner, name: &Name) -> Option<Worker> {
    let inner = owner.lock();
    inner.workers.get(name).map(|state| state.worker.clone())
}

/// Claims a worker and adopts the tasks that it runs; returns false if the worker is gone.
async fn claim(owner: &Arc<Owner>, worker: &Worker) -> bool {
    let mut claimed_boot: Option<Boot> = None;
    loop {
        if is_gone(owner, &worker.name) {
            return false;
        }
        let command = Command {
            epoch: owner.ownership.epoch,
            verb: Verb::Claim(Lease {
                lease: owner.services.task_lease,
            }),
        };
        if let Ok(answer) = owner.services.endpoints.send(worker, command).await {
            let boot = answer.boot;
            if claimed_boot
                .replace(boot)
                .is_some_and(|before| before != boot)
            {
                // The tasks of an earlier answer ended with that boot.
                wait_for_ownership(owner).await;
                lose_attempts(owner, &worker.name, true);
            }
            let to_stop = takeover::apply_claim_answer(owner, worker, answer);
            if stop_all(owner, worker, &to_stop).await
                && ownership::is_current(owner).await
                && record_worker(owner, worker).await
            {
                enable(owner, worker, boot);
                return true;
            }
        }
        owner.services.timer.sleep(CLAIM_INTERVAL).await;
    }
}

/// Writes to the journal that the worker may run work of this shard; returns false on failure.
async fn record_worker(owner: &Owner, worker: &Worker) -> bool {
    let recorded = |inner: &Inner| {
        let state = inner.workers.get(&worker.name);
        state.is_some_and(|state| state.recorded)
    };
    if recorded(&owner.lock()) {
        return true;
    }
    let joined = Record::Joined(Box::new(worker.clone()));
    if owner.services.journal.append(joined).await.is_err() {
        return false;
    }
    if let Some(state) = owner.lock().workers.get_mut(&worker.name) {
        state.recorded = true;
    }
    true
}

/// Returns whether a worker has been missing from the platform's list for so long that all its
/// leases have lapsed.
fn is_gone(owner: &Owner, name: &Name) -> bool {
    let now = owner.services.timer.now();
    let inner = owner.lock();
    let unlisted = inner
        .workers
        .get(name)
        .and_then(|state| state.unlisted_since);
    unlisted.is_some_and(|since| now.since(since) >= lapse_time(owner))
}

/// Returns the time after its last extension at which a lease is guaranteed to have lapsed.
fn lapse_time(owner: &Owner) -> Duration {
    let lease = owner.services.task_lease;
    lease + lease / CLOCK_DRIFT_DIVISOR + MAX_MESSAGE_DELAY
}

/// Stops attempts that are no longer needed; returns whether all stops were answered. The worker
/// accepts no new work until then, because these attempts still use its resources.
async fn stop_all(owner: &Owner, worker: &Worker, to_stop: &[Attempt]) -> bool {
    let stops = to_stop.iter().map(|attempt| {
        let command = Command {
            epoch: owner.ownership.epoch,
            verb: Verb::Stop(attempt.clone()),
        };
        owner.services.endpoints.send(worker, command)
    });
    let answers = future::join_all(stops).await;
    answers.iter().all(Result::is_ok)
}

/// Lets a claimed worker accept new tasks.
fn enable(owner: &Owner, worker: &Worker, boot: Boot) {
    let mut inner = owner.lock();
    if let Some(state) = inner.workers.get_mut(&worker.name) {
        state.boot = Some(boot);
        state.claimed = true;
        let worker = state.worker.clone();
        inner.schedule_on(worker);
    }
    inner.finish_recovery();
    drop(inner);
    owner.wake.notify_one();
}

/// Keeps a worker from accepting new tasks until it answers again.
fn disable(owner: &Owner, worker: &Worker) {
    let mut inner = owner.lock();
    if let Some(state) = inner.workers.get_mut(&worker.name) {
        state.boot = None;
    }
    inner.scheduler.set_worker(Worker {
        leaving: true,
        ..worker.clone()
    });
}

/// Removes a worker that is gone, and ends the tasks whose outcome is lost with it.
fn remove_worker(owner: &Arc<Owner>, name: &Name) {
    let mut inner = owner.lock();
    if inner
        .workers
        .remove(name)
        .is_some_and(|state| state.recorded)
    {
        let (owner, left) = (Arc::clone(owner), Record::Left(name.clone()));
        tokio::spawn(async move { owner.append_with_retry(left).await });
    }
    inner.scheduler.remove_worker(name);
    let lost: Vec<_> = inner
        .open_starts
        .values()
        .filter(|started| started.worker == *name)
        .map(|started| started.task.clone())
        .collect();
    for task in lost {
        inner.inherited.remove(&task);
        tokio::spawn(takeover::record_unknown_end(Arc::clone(owner), task));
    }
    inner.finish_recovery();
    drop(inner);
    owner.wake.notify_one();
}

/// Renews the leases of a worker until it has rebooted or its leases have lapsed.
async fn renew_leases(owner: &Arc<Owner>, worker: &Worker) {
    let interval = owner.services.task_lease / RENEWALS_PER_LEASE;
    let mut last_answer = owner.services.timer.now();
    let mut last_extension = last_answer;
    let mut last_list = last_answer;
    let mut known_boot = current_boot(owner, worker);
    let has_rebooted = loop {
        let now = owner.services.timer.now();
        let extend = now.since(last_answer) < owner.services.task_lease / EXTENSION_DIVISOR;
        if extend {
            last_extension = now;
        }
        let list = now.since(last_list) >= LIST_INTERVAL;
        match send_renewal(owner, worker, extend, list).await {
            Some(answer) if known_boot.is_some_and(|boot| boot != answer.boot) => {
                break true;
            }
            Some(answer) => {
                last_answer = owner.services.timer.now();
                record_answer(owner, worker, now);
                if list {
                    last_list = now;
                }
                if current_boot(owner, worker).is_none() {
                    enable(owner, worker, answer.boot);
                }
                known_boot = Some(answer.boot);
                handle_reports(owner, worker, answer);
                owner.services.timer.sleep(COALESCE_DELAY).await;
            }
            None => {
                disable(owner, worker);
                owner.services.timer.sleep(interval).await;
                if owner.services.timer.now().since(last_extension) >= lapse_time(owner) {
                    break false;
                }
            }
        }
    };
    disable(owner, worker);
    wait_for_ownership(owner).await;
    lose_attempts(owner, &worker.name, has_rebooted);
}

/// Waits for a proof that this VM owns the shard after the leases of a worker have lapsed or it has
/// rebooted. A later owner may have extended these leases, or may start what was lost itself.
async fn wait_for_ownership(owner: &Owner) {
    while !ownership::is_current(owner).await {
        owner.services.timer.sleep(CLAIM_INTERVAL).await;
    }
}

fn current_boot(owner: &Owner, worker: &Worker) -> Option<Boot> {
    owner.lock().workers.get(&worker.name)?.boot
}

/// Sends a renewal and returns the worker's answer; a renewal never shortens a lease.
async fn send_renewal(owner: &Owner, worker: &Worker, extend: bool, list: bool) -> Option<Reply> {
    let acknowledged = {
        let inner = owner.lock();
        inner.workers.get(&worker.name)?.acknowledged.clone()
    };
    let lease = if extend {
        owner.services.task_lease
    } else {
        Duration::ZERO
    };
    let command = Command {
        epoch: owner.ownership.epoch,
        verb: Verb::Renew(Renew {
            lease: Lease { lease },
            acknowledged: acknowledged.clone(),
            max_wait: owner.services.task_lease / RENEWALS_PER_LEASE,
            list,
        }),
    };
    let answer = owner.services.endpoints.send(worker, command).await.ok()?;
    let mut inner = owner.lock();
    let state = inner.workers.get_mut(&worker.name)?;
    state
        .acknowledged
        .retain(|attempt| !acknowledged.contains(attempt));
    Some(answer)
}

fn handle_reports(owner: &Arc<Owner>, worker: &Worker, answer: Reply) {
    for report in answer.tasks {
        handle_report(owner, worker, report);
    }
}

fn handle_report(owner: &Arc<Owner>, worker: &Worker, report: Report) {
    if report.phase == Phase::NeverStarted {
        // Only the sender of the stop knows which boot it was meant for.
        return;
    }
    let attempt = report.attempt();
    let mut inner = owner.lock();
    if inner.is_placed(&attempt) {
        let (owner, worker) = (Arc::clone(owner), worker.clone());
        // A slow journal must not delay the renewal of leases.
        tokio::spawn(async move { owner.handle_report(&worker, report).await });
    } else if report.phase == Phase::Running {
        // The attempt is no longer needed.
        let (owner, worker) = (Arc::clone(owner), worker.clone());
        tokio::spawn(async move { owner.stop(&attempt, &worker).await });
    } else if let Some(state) = inner.workers.get_mut(&worker.name)
        && !state.acknowledged.contains(&attempt)
    {
        state.acknowledged.push(attempt);
    }
}

/// Records that a worker has answered a renewal that was sent at `sent_at`.
fn record_answer(owner: &Owner, worker: &Worker, sent_at: Millis) {
    if let Some(state) = owner.lock().workers.get_mut(&worker.name) {
        state.answered_at = Some(sent_at);
    }
}

/// Handles the loss of all attempts on a worker, on which nothing runs any more.
///
/// Tasks that have crashed several workers are given up. A worker that has not `rebooted` may only
/// be cut off, which is no crash.
fn lose_attempts(owner: &Arc<Owner>, name: &Name, rebooted: bool) {
    let now = owner.services.timer.now();
    let mut inner = owner.lock();
    let given_up = match rebooted {
        true => inner.record_crash(name, now),
        false => Vec::new(),
    };
    let lost = inner.placements.values();
    for placement in lost.filter(|placement| placement.worker.name == *name) {
        let (owner, attempt) = (Arc::clone(owner), placement.attempt.clone());
        if given_up.contains(&attempt.task) {
            slog::warn!(owner.services.log, "task given up after crashes of its workers";
                "task" => %attempt.task, "worker" => &**name);
            tokio::spawn(async move { owner.give_up(&attempt).await });
        } else {
            tokio::spawn(async move { owner.handle_lost(&attempt).await });
        }
    }
}

impl Inner {
    /// Records that a worker has crashed, and returns the tasks to give up.
    fn record_crash(&mut self, name: &Name, now: Millis) -> Vec<Task> {
        let state = self.workers.get(name);
        if state.is_some_and(|state| state.worker.leaving) {
            return Vec::new();
        }
        let answered_at = state.and_then(|state| state.answered_at);
        let placements = self.placements.values();
        let lost = placements.filter(|placement| placement.worker.name == *name);
        let runs = lost.filter_map(|placement| {
            let started_at = placement.started_at?;
            let outlived_start = started_at.after(crash::PROOF_TIME);
            let proven_at = answered_at
                .is_some_and(|answered_at| answered_at >= outlived_start)
                .then_some(outlived_start);
            let suspect = Suspect {
                crashes: 0,
                started_at,
                proven_at,
            };
            Some((placement.attempt.task.clone(), suspect))
        });
        let runs = runs.collect();
        self.crashes.record(runs, now)
    }
}

impl Owner {
    /// Ends a task under which its workers crash; one that must not be repeated ends as unknown.
    async fn give_up(&self, attempt: &Attempt) {
        let repeatable = {
            let inner = self.lock();
            let job = inner.jobs.get(&attempt.task.job);
            job.is_some_and(|job| job.request.repeatable)
        };
        let state = if repeatable {
            State::Failed
        } else {
            State::Unknown
        };
        let output = "given up, because the workers that ran the task crashed";
        self.record_end(attempt, state, output.to_owned()).await;
    }
}
