//! Restores the state of a shard that was just claimed.

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
/// No task of an earlier owner is started before every worker of the shard has been claimed or
/// removed, because a worker that is neither may still run it. Fails if the journal can't be read.
pub async fn replay(owner: &Owner, platform: &Platform) -> Result<()> {
    let contents = snapshot::read(platform, &owner.ownership.shard).await?;
    owner.services.journal.add_rows(contents.rows.len());
    let mut inner = owner.lock();
    // Jobs that this owner accepted during the read are queued already.
    let earlier = |record: &Record| {
        let job = record.job();
        job.is_none_or(|job| job.epoch < owner.ownership.epoch)
    };
    let now = owner.services.timer.now();
    for record in contents.records.into_iter().filter(earlier) {
        inner.restore(record, now);
    }
    // A worker that has left and isn't listed again must not delay the takeover.
    inner
        .workers
        .retain(|_, state| state.recorded || state.unlisted_since.is_none());
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
                self.open_starts.insert(started.task.clone(), started);
            }
            Record::Ended(ended) => {
                self.end_task(&ended.task, ended.state, ended.output, ended.at);
            }
            Record::Closed(closed) => {
                self.finish_job(&closed.job, closed.state, closed.error, closed.at);
            }
            Record::Joined(worker) => {
                let state = self.workers.entry(worker.name.clone());
                let state = state.or_insert_with(|| WorkerState {
                    unlisted_since: Some(now),
                    ..WorkerState::new(*worker)
                });
                state.recorded = true;
            }
            Record::Left(name) => {
                if let Some(state) = self.workers.get_mut(&name) {
                    state.recorded = false;
                }
            }
        }
    }

    fn restore_job(&mut self, accepted: Accepted) {
        for task in owner::tasks_of(&accepted) {
            self.inherited.insert(task.id.clone(), task);
        }
        let id = accepted.job.clone();
        // Starts of repeatable work are not recorded, so assume one.
        let sent = u32::from(accepted.request.repeatable);
        let _ = self.add_job(accepted);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.sent = sent;
        }
    }

    /// Assigns an inherited task to the worker that runs it or has ended it; only a task that
    /// `runs` takes up resources.
    fn adopt(&mut self, worker: &Worker, attempt: Attempt, runs: bool, now: Millis) {
        let Some(task) = self.inherited.remove(&attempt.task) else {
            return;
        };
        self.open_starts.remove(&attempt.task);
        if runs {
            self.scheduler.adopt(task, &worker.name);
        }
        let placement = owner::Placement {
            worker: worker.clone(),
            attempt: attempt.clone(),
            started_at: Some(now),
            ending: false,
        };
        self.placements.insert(attempt.task, placement);
    }

    /// Returns whether a worker's report determines the outcome of an inherited task.
    ///
    /// A stop or a lapse doesn't if the task is repeatable, because a later attempt may run on
    /// another worker.
    fn is_conclusive(&self, report: &Report) -> bool {
        let Some(task) = self.inherited.get(&report.task) else {
            return false;
        };
        match report.phase {
            Phase::Running | Phase::Succeeded | Phase::Failed => true,
            Phase::Stopped | Phase::Lapsed => !task.repeatable,
            Phase::NeverStarted => false,
        }
    }

    /// Removes and returns the tasks started on an earlier boot of a worker, whose outcome is lost.
    ///
    /// A start on the current boot that the worker does not report never reached it, because a
    /// worker reports an ended task until its end is in the journal.
    fn remove_lost_starts(&mut self, worker: &Worker, answer: &Reply) -> Vec<id::Task> {
        let lost: Vec<_> = self
            .open_starts
            .values()
            .filter(|started| started.worker == worker.name && started.boot != answer.boot)
            .map(|started| started.task.clone())
            .collect();
        for task in &lost {
            self.open_starts.remove(task);
            self.inherited.remove(task);
        }
        lost
    }
}

/// Applies a worker's answer to a claim; returns the attempts that must be stopped before the
/// worker may accept new work.
pub(crate) fn apply_claim_answer(
    owner: &Arc<Owner>,
    worker: &Worker,
    answer: Reply,
) -> Vec<Attempt> {
    let now = owner.services.timer.now();
    let mut inner = owner.lock();
    inner.scheduler.set_worker(Worker {
        leaving: true,
        ..worker.clone()
    });
    for task in inner.remove_lost_starts(worker, &answer) {
        tokio::spawn(record_unknown_end(Arc::clone(owner), task));
    }
    let mut to_stop = Vec::new();
    for report in answer.tasks {
        if report.phase == Phase::NeverStarted {
            // Only the sender of the stop knows which boot it was meant for.
            continue;
        }
        let attempt = report.attempt();
        if inner.is_conclusive(&report) {
            let runs = report.phase == Phase::Running;
            inner.adopt(worker, attempt.clone(), runs, now);
        }
        if inner.is_placed(&attempt) {
            let (owner, worker) = (Arc::clone(owner), worker.clone());
            tokio::spawn(async move { owner.handle_report(&worker, report).await });
        } else if report.phase == Phase::Running {
            to_stop.push(attempt);
        } else if let Some(state) = inner.workers.get_mut(&worker.name) {
            state.acknowledged.push(attempt);
        }
    }
    // The remaining starts never reached this worker, so a later reboot can't lose them.
    inner
        .open_starts
        .retain(|_, started| started.worker != worker.name);
    to_stop
}

/// Ends a task that must not be repeated and whose outcome can no longer be known.
pub(crate) async fn record_unknown_end(owner: Arc<Owner>, task: id::Task) {
    let at = owner.services.timer.now();
    let record = Record::Ended(Ended {
        task: task.clone(),
        state: State::Unknown,
        output: String::new(),
        at,
    });
    if owner.append_with_retry(record).await {
        let mut inner = owner.lock();
        inner.end_task(&task, State::Unknown, String::new(), at);
    }
}
