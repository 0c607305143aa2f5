//! Keeps the leases of a shard's tasks and hears what has ended.

use std::sync::Arc;

use basilbridge_common::{
    id,
    worker::Worker, //
};
use basilbridge_endpoints::command::{
    Answer,
    Command,
    Lease,
    Phase,
    Renew,
    Report,
    Verb, //
};
use futures_util::future;

use crate::owner::{
    Contact,
    Owner, //
};

/// A lease is renewed so many times before it would lapse.
const RENEWALS_PER_LEASE: u32 = 10;

/// Renews until the owner is dropped.
pub async fn run(owner: Arc<Owner>) {
    loop {
        let workers: Vec<_> = owner.lock().scheduler.workers().cloned().collect();
        future::join_all(workers.iter().map(|worker| renew(&owner, worker))).await;
        owner.wake.notify_one();
        let interval = owner.tools.task_lease / RENEWALS_PER_LEASE;
        owner.tools.timer.sleep(interval).await;
    }
}

async fn renew(owner: &Arc<Owner>, worker: &Worker) {
    let (boot, acknowledged) = match owner.lock().contacts.get(&worker.name) {
        Some(contact) => (contact.boot, contact.acknowledged.clone()),
        None => return,
    };
    let lease = Lease {
        lease: owner.tools.task_lease,
    };
    let verb = match boot {
        None => Verb::Claim(lease),
        Some(_) => Verb::Renew(Renew {
            lease,
            acknowledged: acknowledged.clone(),
        }),
    };
    let command = Command {
        epoch: owner.title.epoch,
        verb,
    };
    let Ok(answer) = owner.tools.endpoints.send(worker, command).await else {
        return;
    };
    let gone = take_note(owner, worker, &answer, &acknowledged);
    for task in gone {
        owner.lost(&task, false);
    }
    for report in answer.tasks {
        hear(owner, worker, report).await;
    }
}

/// Takes note of the worker's boot and returns the tasks that a new boot has lost.
fn take_note(
    owner: &Owner,
    worker: &Worker,
    answer: &Answer,
    acknowledged: &[id::Task],
) -> Vec<id::Task> {
    let mut inner = owner.lock();
    let contact = inner.contacts.entry(worker.name.clone()).or_default();
    let before = contact.boot.replace(answer.boot);
    contact
        .acknowledged
        .retain(|task| !acknowledged.contains(task));
    if before.is_none_or(|before| before == answer.boot) {
        return Vec::new();
    }
    *contact = Contact {
        boot: Some(answer.boot),
        acknowledged: Vec::new(),
    };
    let lost = inner
        .placed
        .iter()
        .filter(|(_, placed)| placed.name == worker.name);
    lost.map(|(task, _)| task.clone()).collect()
}

async fn hear(owner: &Arc<Owner>, worker: &Worker, report: Report) {
    let placed_here = owner
        .lock()
        .placed
        .get(&report.task)
        .is_some_and(|placed| placed.name == worker.name);
    if placed_here {
        owner.report(report).await;
        return;
    }
    if report.phase == Phase::Running {
        // Nobody waits for it any more: its job ended, or its caller was lost with an owner.
        owner.stop(&report.task, worker).await;
    } else if let Some(contact) = owner.lock().contacts.get_mut(&worker.name)
        && !contact.acknowledged.contains(&report.task)
    {
        contact.acknowledged.push(report.task);
    }
}
