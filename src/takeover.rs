//! Brings a shard that was just claimed back to where its last owner left it.

use std::sync::Arc;

use basilbridge_common::{
    error::Result,
    id,
    job::State,
    unit::Millis,
    worker::Worker, //
};
use basilbridge_endpoints::command::{
    Attempt,
    Phase,
    Reply,
    Report, //
};
use basilbridge_platform::Platform;

use crate::{
    journal::{
        Accepted,
        Ended,
        Record, //
    },
    owner::{
        self,
        Inner,
        Owner, //
        WorkerState,
    },
    snapshot,
};

/// Replays the journal; the workers are claimed afterwards.
///
/// Nothing of the last owner's starts before each worker of the shard has been claimed or is
/// gone, because one that is neither may still run it.
pub async fn replay(owner: &Owner, platform: &Platform) -> Result<()> {
    let kept = snapshot::read(platform, &owner.ownership.shard).await?;
    owner.services.journal.set_rows(kept.rows.len());
    let mut inner = owner.lock();
    // What came in while the journal was read is queued already.
    let earlier = |record: &Record| {
        let job = record.job();
        job.is_none_or(|job| job.epoch < owner.ownership.epoch)
    };
    let now = owner.services.timer.now();
    for record in kept.records.into_iter().filter(earlier) {
        inner.restore(record, now);
    }
    // Who has left and is not listed again holds up nothing.
    inner
        .workers
        .retain(|_, contact| contact.recorded || contact.unlisted.is_none());
    inner.phase = owner::Phase::Claiming;
    inner.finish_recovery();
    drop(inner);
    owner.wake.notify_one();
    Ok(())
}

impl Inner {
    fn restore(&mut self, record: Record, now: Millis) {
        match record {
            Record::Accepted(accepted) => self.restore_job(*accepted),
            Record::Started(started) => {
                if let Some(job) = self.jobs.get_mut(&started.task.job) {
                    job.sent += 1;
                }
                self.started.insert(started.task.clone(), started);
            }
            Record::Ended(ended) => {
                self.end_task(&ended.task, ended.state, ended.output, ended.at);
            }
            Record::Closed(closed) => {
                self.finish_job(&closed.job, closed.state, closed.error, closed.at);
            }
            Record::Joined(worker) => {
                let contact = self.workers.entry(worker.name.clone());
                let contact = contact.or_insert_with(|| WorkerState {
                    unlisted: Some(now),
                    ..WorkerState::new(*worker)
                });
                contact.recorded = true;
            }
            Record::Left(name) => {
                if let Some(contact) = self.workers.get_mut(&name) {
                    contact.recorded = false;
                }
            }
        }
    }

    fn restore_job(&mut self, accepted: Accepted) {
        for task in owner::tasks_of(&accepted) {
            self.inherited.insert(task.id.clone(), task);
        }
        let id = accepted.job.clone();
        // Starts of work that may be repeated leave no record.
        let sent = u32::from(accepted.request.repeatable);
        let _ = self.add_job(accepted);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.sent = sent;
        }
    }

    /// Puts inherited work on the worker that runs it, or has ended it and needs no room.
    fn adopt(&mut self, worker: &Worker, attempt: Attempt, runs: bool) {
        let Some(task) = self.inherited.remove(&attempt.task) else {
            return;
        };
        self.started.remove(&attempt.task);
        if runs {
            self.scheduler.adopt(task, &worker.name);
        }
        let placed = owner::Placement {
            worker: worker.clone(),
            attempt: attempt.clone(),
            ending: false,
        };
        self.placements.insert(attempt.task, placed);
    }

    /// Says whether a worker's report decides what became of an inherited task.
    ///
    /// A stop or a lapse does not where the task may be repeated: a later attempt may run on
    /// another worker.
    fn is_decisive(&self, report: &Report) -> bool {
        let Some(task) = self.inherited.get(&report.task) else {
            return false;
        };
        match report.phase {
            Phase::Running | Phase::Succeeded | Phase::Failed => true,
            Phase::Stopped | Phase::Lapsed => !task.repeatable,
            Phase::NeverStarted => false,
        }
    }

    /// Takes away the starts on a worker that a reboot has made unknowable.
    ///
    /// A start that the worker does not tell of under the same boot never came to it: what has
    /// ended is told until its end is in the journal.
    fn take_lost_starts(&mut self, worker: &Worker, answer: &Reply) -> Vec<id::Task> {
        let lost: Vec<_> = self
            .started
            .values()
            .filter(|started| started.worker == worker.name && started.boot != answer.boot)
            .map(|started| started.task.clone())
            .collect();
        for task in &lost {
            self.started.remove(task);
            self.inherited.remove(task);
        }
        lost
    }
}

/// Takes in what a claimed worker tells; returns what is to be stopped before it takes new work.
pub(crate) fn take_in(owner: &Arc<Owner>, worker: &Worker, answer: Reply) -> Vec<Attempt> {
    let mut inner = owner.lock();
    inner.scheduler.set_worker(Worker {
        leaving: true,
        ..worker.clone()
    });
    for task in inner.take_lost_starts(worker, &answer) {
        tokio::spawn(end_unknown(Arc::clone(owner), task));
    }
    let mut foreign = Vec::new();
    for report in answer.tasks {
        if report.phase == Phase::NeverStarted {
            // Only who sent the stop knows which boot it was meant for.
            continue;
        }
        let attempt = report.attempt();
        if inner.is_decisive(&report) {
            inner.adopt(worker, attempt.clone(), report.phase == Phase::Running);
        }
        if inner.is_placed(&attempt) {
            let (owner, worker) = (Arc::clone(owner), worker.clone());
            tokio::spawn(async move { owner.report(&worker, report).await });
        } else if report.phase == Phase::Running {
            foreign.push(attempt);
        } else if let Some(contact) = inner.workers.get_mut(&worker.name) {
            contact.acknowledged.push(attempt);
        }
    }
    // What is left never came to this worker, so a later boot of it has lost nothing of it.
    inner
        .started
        .retain(|_, started| started.worker != worker.name);
    foreign
}

/// Ends a task that must not be repeated and of which nobody can tell any more.
pub(crate) async fn end_unknown(owner: Arc<Owner>, task: id::Task) {
    let at = owner.services.timer.now();
    let record = Record::Ended(Ended {
        task: task.clone(),
        state: State::Unknown,
        output: String::new(),
        at,
    });
    if owner.append_for_good(record).await {
        let mut inner = owner.lock();
        inner.end_task(&task, State::Unknown, String::new(), at);
    }
}
