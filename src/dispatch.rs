//! Carries out the decisions of a shard.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Ran,
        Result, //
    },
    id,
    job::{
        self,
        State, //
    },
    unit::Millis,
    worker::Worker,
};
use basilbridge_endpoints::command::{
    Attempt,
    Command,
    Phase,
    Report,
    Run,
    Verb, //
};
use basilbridge_scheduler::{
    policy,
    shard::Action, //
};
use tokio::task::JoinSet;

use crate::{
    journal::{
        Closed,
        Ended,
        Record,
        Started, //
    },
    owner::{
        Inner,
        Owner,
        Placement,
        is_durable, //
    },
};

/// How long to wait before a worker that did not answer is asked again.
const SETTLE_INTERVAL: Duration = Duration::from_millis(250);

/// How long a task waits before it is placed again after a worker has not taken it.
const RETRY_BACK_OFF: Duration = Duration::from_millis(200);

/// How long to wait before a record that the store refused is written again.
const RECORD_BACK_OFF: Duration = Duration::from_secs(1);

/// What a decision asks for.
#[derive(Default)]
struct Decided {
    starts: Vec<Placement>,
    expired: Vec<id::Task>,
    saves: Vec<Placement>,
    stops: Vec<Placement>,
}

/// Decides and carries out until the owner is dropped.
pub async fn run(owner: Arc<Owner>) {
    let mut starts = JoinSet::new();
    loop {
        wait(&owner).await;
        while starts.try_join_next().is_some() {}
        let now = owner.services.timer.now();
        let decided = owner.lock().decide(now, owner.ownership.epoch);
        if owner.lock().scheduler.allotments.is_waiting() {
            owner.services.allotment_requested.notify_one();
        }
        for placed in decided.starts {
            starts.spawn(start(Arc::clone(&owner), placed));
        }
        for task in decided.expired {
            starts.spawn(expire(Arc::clone(&owner), task));
        }
        for placed in decided.saves {
            starts.spawn(save(Arc::clone(&owner), placed));
        }
        for placed in decided.stops {
            starts.spawn(give_way(Arc::clone(&owner), placed));
        }
    }
}

/// Waits for a change, or for the time at which a shard with work in hand is due.
async fn wait(owner: &Owner) {
    let changed = owner.wake.notified();
    if owner.lock().scheduler.needs_periodic_decision() {
        let timer = &owner.services.timer;
        timer.timeout(policy::DECISION_INTERVAL, changed).await;
    } else {
        changed.await;
    }
}

/// Has a worker save the progress of a task that is about to be stopped.
async fn save(owner: Arc<Owner>, placed: Placement) {
    let task = &placed.attempt.task;
    let command = Command {
        epoch: owner.ownership.epoch,
        verb: Verb::Checkpoint(task.clone()),
    };
    match owner.services.endpoints.send(&placed.worker, command).await {
        Ok(_) => {
            let now = owner.services.timer.now();
            owner.lock().scheduler.record_checkpoint(task, now);
            owner.wake.notify_one();
        }
        Err(error) => {
            // The stop follows all the same when the time for the checkpoint is up.
            slog::warn!(owner.services.log, "progress not saved";
                "task" => %task, "error" => %error);
        }
    }
}

/// Stops a task so that another one can start, and queues it again.
async fn give_way(owner: Arc<Owner>, placed: Placement) {
    let boot = {
        let inner = owner.lock();
        let contact = inner.workers.get(&placed.worker.name);
        contact.and_then(|contact| contact.boot)
    };
    // A worker that has no boot is claimed anew, and that tells what became of the task.
    if let Some(boot) = boot {
        owner
            .stop_and_resolve(&placed.attempt, &placed.worker, boot)
            .await;
    }
}

async fn start(owner: Arc<Owner>, placed: Placement) {
    let Placement {
        worker, attempt, ..
    } = placed;
    let Some(run) = owner.run_of(&attempt, &worker) else {
        owner.retry(&attempt).await;
        return;
    };
    if !run.repeatable {
        let started = Started {
            task: attempt.task.clone(),
            worker: worker.name.clone(),
            boot: run.boot,
        };
        if let Err(error) = owner
            .services
            .journal
            .append(Record::Started(started))
            .await
        {
            slog::warn!(owner.services.log, "start not kept";
                "task" => %attempt.task, "error" => %error);
            owner.retry(&attempt).await;
            return;
        }
    }
    if !owner.lock().note_sent(&attempt) {
        owner.retry(&attempt).await;
        return;
    }
    owner.tell_wait(&attempt);
    let boot = run.boot;
    let command = Command {
        epoch: attempt.epoch,
        verb: Verb::Run(run),
    };
    let result = owner.services.endpoints.send(&worker, command).await;
    let result = result.and_then(|answer| report_of(answer.tasks, &attempt));
    match result {
        Ok(report) => owner.report(&worker, report).await,
        Err(error) if error.kind.properties().ran == Ran::No => {
            owner.lock().note_refused(&attempt);
            owner.retry(&attempt).await;
        }
        Err(error) => {
            slog::warn!(owner.services.log, "start in doubt";
                "task" => %attempt.task, "error" => %error);
            owner.stop_and_resolve(&attempt, &worker, boot).await;
        }
    }
}

/// Gives up a job one of whose tasks got no room before its deadline.
async fn expire(owner: Arc<Owner>, task: id::Task) {
    let now = owner.services.timer.now();
    let (durable, sent) = {
        let inner = owner.lock();
        let Some(job) = inner.jobs.get(&task.job) else {
            return;
        };
        (is_durable(&job.request), job.sent > 0)
    };
    let (state, error) = if sent {
        let message = "an earlier attempt has no known outcome";
        (State::Unknown, Error::new(Kind::OutcomeUnknown, message))
    } else {
        let message = "no room came free before the deadline";
        (State::Failed, Error::new(Kind::Expired, message))
    };
    let closed = Closed {
        job: task.job.clone(),
        state,
        error: Some(error.clone()),
        at: now,
    };
    if durable && !owner.append_for_good(Record::Closed(closed)).await {
        return;
    }
    owner.lock().finish_job(&task.job, state, Some(error), now);
}

fn report_of(reports: Vec<Report>, attempt: &Attempt) -> Result<Report> {
    reports
        .into_iter()
        .find(|report| report.task == attempt.task)
        .ok_or_else(|| Error::new(Kind::Truncated, "the answer lacks the task"))
}

impl Inner {
    /// Decides what to start, what is too late and what gives way.
    fn decide(&mut self, now: Millis, epoch: id::Epoch) -> Decided {
        let mut decided = Decided::default();
        for action in self.scheduler.decide(now) {
            match action {
                Action::Start { task, worker } => {
                    self.attempts += 1;
                    let placed = Placement {
                        worker,
                        attempt: Attempt {
                            task: task.clone(),
                            epoch,
                            number: self.attempts,
                        },
                        ending: false,
                    };
                    self.placements.insert(task, placed.clone());
                    decided.starts.push(placed);
                }
                Action::Expire { task } => decided.expired.push(task),
                Action::Checkpoint { task, .. } => {
                    decided.saves.extend(self.placements.get(&task).cloned());
                }
                Action::Stop { task, .. } => {
                    decided.stops.extend(self.placements.get(&task).cloned());
                }
            }
        }
        decided
    }

    /// Takes note that an attempt is about to be sent; says whether it still should be.
    fn note_sent(&mut self, attempt: &Attempt) -> bool {
        let open = self.placements.get(&attempt.task).is_some_and(|placed| {
            let contact = self.workers.get(&placed.worker.name);
            placed.attempt == *attempt && contact.is_some_and(|contact| contact.boot.is_some())
        });
        if !open || !self.is_wanted(&attempt.task.job) {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(&attempt.task.job) {
            job.sent += 1;
        }
        true
    }

    /// Takes note that an attempt that was sent did not run.
    fn note_refused(&mut self, attempt: &Attempt) {
        if let Some(job) = self.jobs.get_mut(&attempt.task.job) {
            job.sent = job.sent.saturating_sub(1);
        }
    }
}

impl Owner {
    fn tell_wait(&self, attempt: &Attempt) {
        let now = self.services.timer.now();
        let inner = self.lock();
        if let Some(job) = inner.jobs.get(&attempt.task.job) {
            let waited = now.since(job.accepted);
            self.services.metrics.record_start(job.request.kind, waited);
        }
    }

    fn run_of(&self, attempt: &Attempt, worker: &Worker) -> Option<Run> {
        let inner = self.lock();
        if !inner.is_placed(attempt) {
            return None;
        }
        let job = inner.jobs.get(&attempt.task.job)?;
        let boot = inner.workers.get(&worker.name)?.boot?;
        let now = self.services.timer.now();
        Some(Run {
            task: attempt.task.clone(),
            attempt: attempt.number,
            boot,
            resources: job.request.resources,
            repeatable: job.request.repeatable,
            payload: job.request.payload.clone(),
            lease: self.services.task_lease,
            deadline: job.deadline.map(|deadline| deadline.since(now)),
            wait: job.request.kind == job::Kind::Interactive,
            request_id: job.request_id.clone(),
        })
    }

    /// Takes note of what a worker tells about an attempt that has room on it.
    pub(crate) async fn report(&self, worker: &Worker, report: Report) {
        let attempt = report.attempt();
        let (placed, wanted) = {
            let inner = self.lock();
            (
                inner.is_placed(&attempt),
                inner.is_wanted(&attempt.task.job),
            )
        };
        if !placed {
            return;
        }
        self.learn(&report);
        match report.phase {
            Phase::Running if wanted => self.lock().mark_running(&attempt.task),
            // The stop that followed the job's end was lost.
            Phase::Running => self.stop(&attempt, worker).await,
            Phase::Succeeded => self.end(&attempt, State::Succeeded, report.output).await,
            Phase::Failed => self.end(&attempt, State::Failed, report.output).await,
            Phase::Stopped if !wanted => {
                self.end(&attempt, State::Cancelled, report.output).await;
            }
            Phase::Stopped | Phase::Lapsed => self.lost(&attempt).await,
            Phase::NeverStarted => {
                self.lock().note_refused(&attempt);
                self.retry(&attempt).await;
            }
        }
    }

    /// Lets the decisions learn from a report.
    fn learn(&self, report: &Report) {
        let now = self.services.timer.now();
        let scheduler = &mut self.lock().scheduler;
        match report.phase {
            Phase::Running => scheduler.report_usage(&report.task, &report.usage, now),
            Phase::Succeeded => scheduler.report_success(&report.task, now),
            Phase::Failed => {
                scheduler.report_failure(&report.task, now);
            }
            _ => {}
        }
    }

    /// Keeps the end of a task and lets the worker forget it.
    pub(crate) async fn end(&self, attempt: &Attempt, state: State, output: String) {
        let task = &attempt.task;
        let durable = {
            let mut inner = self.lock();
            let wanted = inner.is_wanted(&task.job);
            let Some(placed) = inner.placements.get_mut(task) else {
                return;
            };
            if placed.attempt != *attempt || std::mem::replace(&mut placed.ending, true) {
                return;
            }
            let job = inner.jobs.get(&task.job);
            wanted && job.is_some_and(|job| is_durable(&job.request))
        };
        let now = self.services.timer.now();
        let ended = Ended {
            task: task.clone(),
            state,
            output: output.clone(),
            at: now,
        };
        if durable && !self.append_for_good(Record::Ended(ended)).await {
            return;
        }
        let mut inner = self.lock();
        if let Some(placed) = inner.placements.get(task).cloned()
            && let Some(contact) = inner.workers.get_mut(&placed.worker.name)
        {
            contact.acknowledged.push(attempt.clone());
        }
        inner.end_task(task, state, output, now);
        drop(inner);
        self.wake.notify_one();
    }

    /// Takes note of an attempt that runs no more and has no outcome.
    pub(crate) async fn lost(&self, attempt: &Attempt) {
        let repeatable = {
            let inner = self.lock();
            let job = inner.jobs.get(&attempt.task.job);
            job.is_some_and(|job| job.request.repeatable)
        };
        if repeatable {
            self.retry(attempt).await;
            return;
        }
        self.end(attempt, State::Unknown, String::new()).await;
    }

    /// Keeps a record however long the store is down; returns false if the shard has moved.
    pub(crate) async fn append_for_good(&self, record: Record) -> bool {
        while !self.is_released() {
            match self.services.journal.append(record.clone()).await {
                Ok(()) => return true,
                Err(error) if error.kind == Kind::StoreUnavailable => {
                    self.services.timer.sleep(RECORD_BACK_OFF).await;
                }
                Err(_) => return false,
            }
        }
        false
    }

    /// Places a task again after a while, if this attempt is still the latest.
    pub(crate) async fn retry(&self, attempt: &Attempt) {
        let task = {
            let mut inner = self.lock();
            // An end that is being kept stands, whatever happens to the worker meanwhile.
            let placed = inner.placements.get(&attempt.task);
            if placed.is_none_or(|placed| placed.attempt != *attempt || placed.ending) {
                return;
            }
            inner.displace(&attempt.task)
        };
        self.wake.notify_one();
        let Some(task) = task else {
            return;
        };
        self.services.timer.sleep(RETRY_BACK_OFF).await;
        self.lock().requeue(task);
        self.wake.notify_one();
    }

    /// Asks a worker to stop an attempt until it says what became of it.
    ///
    /// Only the boot that the attempt was sent to can tell that it never started.
    pub(crate) async fn stop_and_resolve(
        &self,
        attempt: &Attempt,
        worker: &Worker,
        boot: id::Boot,
    ) {
        while self.lock().is_placed(attempt) {
            let command = Command {
                epoch: self.ownership.epoch,
                verb: Verb::Stop(attempt.clone()),
            };
            let answer = match self.services.endpoints.send(worker, command).await {
                Ok(answer) => answer,
                Err(error) if error.kind == Kind::StaleEpoch => return,
                Err(_) => {
                    self.services.timer.sleep(SETTLE_INTERVAL).await;
                    continue;
                }
            };
            if answer.boot != boot {
                self.lost(attempt).await;
                return;
            }
            match report_of(answer.tasks, attempt) {
                Ok(report) if report.attempt() == *attempt => {
                    self.report(worker, report).await;
                    return;
                }
                _ => self.services.timer.sleep(SETTLE_INTERVAL).await,
            }
        }
    }

    /// Tells a worker to stop an attempt; a lost command is made up for by the next renewal.
    pub(crate) async fn stop(&self, attempt: &Attempt, worker: &Worker) {
        let command = Command {
            epoch: self.ownership.epoch,
            verb: Verb::Stop(attempt.clone()),
        };
        if let Err(error) = self.services.endpoints.send(worker, command).await {
            slog::warn!(self.services.log, "stop not sent";
                "task" => %attempt.task, "error" => %error);
        }
    }
}
