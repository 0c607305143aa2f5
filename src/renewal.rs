//! Claims the workers of a shard, keeps the leases of their tasks and hears what has ended.
//!
//! Each worker is followed on its own, so that a silent one holds up no other. See
//! `docs/design/claim-barrier.md`.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    id::{
        Boot,
        Name, //
    },
    worker::Worker, //
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
        DRIFT_PARTS,
        Inner,
        MESSAGE_LIFE,
        Owner, //
    },
    ownership, takeover,
};

/// A lease is renewed so many times before it would lapse.
const RENEWALS_PER_LEASE: u32 = 10;

/// How long a renewal that has told of an end waits before the next, so that ends that come
/// together are told together.
const COALESCE: Duration = Duration::from_millis(20);

/// How often a worker lists the tasks that run, which tells what they use and finds those that
/// nobody waits for.
const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// A worker that is silent for this part of a lease has its leases extended no more.
const SILENT_PARTS: u32 = 3;

/// How long to wait before a worker that did not answer is claimed again.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);

/// Follows all workers until the owner is dropped.
pub async fn run(owner: Arc<Owner>) {
    let mut listed = owner.listed.subscribe();
    let mut followed = JoinSet::new();
    let mut names = BTreeSet::new();
    let interval = owner.services.task_lease / RENEWALS_PER_LEASE;
    loop {
        let known: Vec<_> = owner.lock().workers.keys().cloned().collect();
        for name in known {
            if names.insert(name.clone()) {
                followed.spawn(follow(Arc::clone(&owner), name));
            }
        }
        tokio::select! {
            biased;
            Some(Ok(name)) = followed.join_next() => {
                names.remove(&name);
            }
            _ = listed.changed() => {}
            () = owner.services.timer.sleep(interval) => {}
        }
        let now = owner.services.timer.now();
        owner.lock().forget(now);
        owner.wake.notify_one();
    }
}

/// Follows one worker until it is gone, and returns its name.
async fn follow(owner: Arc<Owner>, name: Name) -> Name {
    while let Some(worker) = contact(&owner, &name) {
        if claim(&owner, &worker).await {
            keep(&owner, &worker).await;
        } else {
            slog::warn!(owner.services.log, "worker gone"; "worker" => &*name);
            forget(&owner, &name);
        }
    }
    name
}

fn contact(owner: &Owner, name: &Name) -> Option<Worker> {
    let inner = owner.lock();
    inner
        .workers
        .get(name)
        .map(|contact| contact.worker.clone())
}

/// Claims a worker and adopts what it runs; returns false if the worker is gone.
async fn claim(owner: &Arc<Owner>, worker: &Worker) -> bool {
    let mut told: Option<Boot> = None;
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
            if told.replace(boot).is_some_and(|before| before != boot) {
                // What an earlier answer told of has ended with that boot.
                lose_all(owner, &worker.name);
            }
            let foreign = takeover::take_in(owner, worker, answer);
            if stop_all(owner, worker, &foreign).await
                && ownership::is_current(owner).await
                && record(owner, worker).await
            {
                open(owner, worker, boot);
                return true;
            }
        }
        owner.services.timer.sleep(CLAIM_INTERVAL).await;
    }
}

/// Makes it durable that the worker may run work of this shard.
async fn record(owner: &Owner, worker: &Worker) -> bool {
    let recorded = |inner: &Inner| {
        let contact = inner.workers.get(&worker.name);
        contact.is_some_and(|contact| contact.recorded)
    };
    if recorded(&owner.lock()) {
        return true;
    }
    let joined = Record::Joined(Box::new(worker.clone()));
    if owner.services.journal.append(joined).await.is_err() {
        return false;
    }
    if let Some(contact) = owner.lock().workers.get_mut(&worker.name) {
        contact.recorded = true;
    }
    true
}

/// Says whether a worker has been off the platform's list for so long that nothing runs there.
fn is_gone(owner: &Owner, name: &Name) -> bool {
    let now = owner.services.timer.now();
    let inner = owner.lock();
    let unlisted = inner.workers.get(name).and_then(|contact| contact.unlisted);
    unlisted.is_some_and(|since| now.since(since) >= lapse(owner))
}

/// Returns how long after its last extension a lease has lapsed for certain.
fn lapse(owner: &Owner) -> Duration {
    let lease = owner.services.task_lease;
    lease + lease / DRIFT_PARTS + MESSAGE_LIFE
}

/// Stops what nobody waits for any more; its room counts as taken until then.
async fn stop_all(owner: &Owner, worker: &Worker, foreign: &[Attempt]) -> bool {
    let stops = foreign.iter().map(|attempt| {
        let command = Command {
            epoch: owner.ownership.epoch,
            verb: Verb::Stop(attempt.clone()),
        };
        owner.services.endpoints.send(worker, command)
    });
    let answers = future::join_all(stops).await;
    answers.iter().all(Result::is_ok)
}

/// Lets a worker that was claimed take new tasks.
fn open(owner: &Owner, worker: &Worker, boot: Boot) {
    let mut inner = owner.lock();
    if let Some(contact) = inner.workers.get_mut(&worker.name) {
        contact.boot = Some(boot);
        contact.claimed = true;
        let worker = contact.worker.clone();
        inner.scheduler.set_worker(worker);
    }
    inner.finish_recovery();
    drop(inner);
    owner.wake.notify_one();
}

/// Lets a worker take no new tasks until it answers again.
fn close(owner: &Owner, worker: &Worker) {
    let mut inner = owner.lock();
    if let Some(contact) = inner.workers.get_mut(&worker.name) {
        contact.boot = None;
    }
    inner.scheduler.set_worker(Worker {
        leaving: true,
        ..worker.clone()
    });
}

fn forget(owner: &Arc<Owner>, name: &Name) {
    let mut inner = owner.lock();
    if inner
        .workers
        .remove(name)
        .is_some_and(|contact| contact.recorded)
    {
        let (owner, left) = (Arc::clone(owner), Record::Left(name.clone()));
        tokio::spawn(async move { owner.append_for_good(left).await });
    }
    inner.scheduler.remove_worker(name);
    let lost: Vec<_> = inner
        .started
        .values()
        .filter(|started| started.worker == *name)
        .map(|started| started.task.clone())
        .collect();
    for task in lost {
        inner.inherited.remove(&task);
        tokio::spawn(takeover::end_unknown(Arc::clone(owner), task));
    }
    inner.finish_recovery();
    drop(inner);
    owner.wake.notify_one();
}

/// Renews until the worker has booted anew or its leases have lapsed.
async fn keep(owner: &Arc<Owner>, worker: &Worker) {
    let interval = owner.services.task_lease / RENEWALS_PER_LEASE;
    let mut heard = owner.services.timer.now();
    let mut extended = heard;
    let mut listed = heard;
    let mut open_on = contact_boot(owner, worker);
    loop {
        let now = owner.services.timer.now();
        let extend = now.since(heard) < owner.services.task_lease / SILENT_PARTS;
        if extend {
            extended = now;
        }
        let list = now.since(listed) >= LIST_INTERVAL;
        match renew(owner, worker, extend, list).await {
            Some(answer) if open_on.is_some_and(|boot| boot != answer.boot) => {
                break;
            }
            Some(answer) => {
                heard = owner.services.timer.now();
                if list {
                    listed = now;
                }
                if contact_boot(owner, worker).is_none() {
                    open(owner, worker, answer.boot);
                }
                open_on = Some(answer.boot);
                hear_all(owner, worker, answer);
                owner.services.timer.sleep(COALESCE).await;
            }
            None => {
                close(owner, worker);
                owner.services.timer.sleep(interval).await;
                if owner.services.timer.now().since(extended) >= lapse(owner) {
                    break;
                }
            }
        }
    }
    close(owner, worker);
    lose_all(owner, &worker.name);
}

fn contact_boot(owner: &Owner, worker: &Worker) -> Option<Boot> {
    owner.lock().workers.get(&worker.name)?.boot
}

/// Asks a worker what has ended; a lease is only ever made longer by this.
async fn renew(owner: &Owner, worker: &Worker, extend: bool, list: bool) -> Option<Reply> {
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
    let contact = inner.workers.get_mut(&worker.name)?;
    contact
        .acknowledged
        .retain(|attempt| !acknowledged.contains(attempt));
    Some(answer)
}

fn hear_all(owner: &Arc<Owner>, worker: &Worker, answer: Reply) {
    for report in answer.tasks {
        hear(owner, worker, report);
    }
}

fn hear(owner: &Arc<Owner>, worker: &Worker, report: Report) {
    if report.phase == Phase::NeverStarted {
        // Only who sent the stop knows which boot it was meant for.
        return;
    }
    let attempt = report.attempt();
    let mut inner = owner.lock();
    if inner.is_placed(&attempt) {
        let (owner, worker) = (Arc::clone(owner), worker.clone());
        // A slow journal must not hold up the renewal of leases.
        tokio::spawn(async move { owner.report(&worker, report).await });
    } else if report.phase == Phase::Running {
        // Nobody waits for it any more.
        let (owner, worker) = (Arc::clone(owner), worker.clone());
        tokio::spawn(async move { owner.stop(&attempt, &worker).await });
    } else if let Some(contact) = inner.workers.get_mut(&worker.name)
        && !contact.acknowledged.contains(&attempt)
    {
        contact.acknowledged.push(attempt);
    }
}

/// Takes note that nothing runs on a worker any more.
fn lose_all(owner: &Arc<Owner>, name: &Name) {
    let inner = owner.lock();
    let lost = inner.placements.values();
    for placed in lost.filter(|placed| placed.worker.name == *name) {
        let (owner, attempt) = (Arc::clone(owner), placed.attempt.clone());
        tokio::spawn(async move { owner.lost(&attempt).await });
    }
}
