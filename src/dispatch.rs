//! Carries out the scheduling decisions of a shard.

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
    active_configuration::Suspension,
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

/// How long to wait before a stop that was not answered is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How long a task waits before it is queued again after an attempt has failed to start.
const REQUEUE_DELAY: Duration = Duration::from_millis(200);

/// How long to wait before a record is appended again after the store was unavailable.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The actions of one decision, by kind.
#[derive(Default)]
struct Decisions {
    starts: Vec<Placement>,
    expired: Vec<id::Task>,
    checkpoints: Vec<Placement>,
    stops: Vec<Placement>,
}

/// Makes decisions and carries them out until the future is dropped.
pub async fn run(owner: Arc<Owner>) {
    let mut starts = JoinSet::new();
    loop {
        wait_for_work(&owner).await;
        while starts.try_join_next().is_some() {}
        let now = owner.services.timer.now();
        owner.update_suspension();
        let decisions = owner.lock().decide(now, owner.ownership.epoch);
        if owner.lock().scheduler.allotments.is_waiting() {
            owner.services.allotment_requested.notify_one();
        }
        for placement in decisions.starts {
            starts.spawn(start(Arc::clone(&owner), placement));
        }
        for task in decisions.expired {
            starts.spawn(expire(Arc::clone(&owner), task));
        }
        for placement in decisions.checkpoints {
            starts.spawn(checkpoint(Arc::clone(&owner), placement));
        }
        for placement in decisions.stops {
            starts.spawn(preempt(Arc::clone(&owner), placement));
        }
    }
}

/// Waits for a change, or at most for the decision interval if the scheduler needs periodic
/// decisions.
async fn wait_for_work(owner: &Owner) {
    let changed = owner.wake.notified();
    if owner.lock().scheduler.needs_periodic_decision() {
        let timer = &owner.services.timer;
        timer.timeout(policy::DECISION_INTERVAL, changed).await;
    } else {
        changed.await;
    }
}

/// Asks a worker to checkpoint a task that is about to be stopped.
async fn checkpoint(owner: Arc<Owner>, placement: Placement) {
    let task = &placement.attempt.task;
    let command = Command {
        epoch: owner.ownership.epoch,
        verb: Verb::Checkpoint(task.clone()),
    };
    match owner
        .services
        .endpoints
        .send(&placement.worker, command)
        .await
    {
        Ok(_) => {
            let now = owner.services.timer.now();
            owner.lock().scheduler.record_checkpoint(task, now);
            owner.wake.notify_one();
        }
        Err(error) => {
            // The task is stopped anyway when the time limit for the checkpoint expires.
            slog::warn!(owner.services.log, "checkpoint failed";
                "task" => %task, "error" => %error);
        }
    }
}

/// Stops a task so that another one can start, and queues it again.
async fn preempt(owner: Arc<Owner>, placement: Placement) {
    let boot = {
        let inner = owner.lock();
        let state = inner.workers.get(&placement.worker.name);
        state.and_then(|state| state.boot)
    };
    // A worker without a boot is claimed again, and its answer then reports the task's outcome.
    if let Some(boot) = boot {
        owner
            .stop_and_resolve(&placement.attempt, &placement.worker, boot)
            .await;
    }
}

/// Sends an attempt to its worker; the start of a task that must not be repeated is journaled
/// first.
async fn start(owner: Arc<Owner>, placement: Placement) {
    let Placement {
        worker, attempt, ..
    } = placement;
    let Some(run) = owner.build_run(&attempt, &worker) else {
        owner.requeue_later(&attempt).await;
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
            slog::warn!(owner.services.log, "start not written to the journal";
                "task" => %attempt.task, "error" => %error);
            owner.requeue_later(&attempt).await;
            return;
        }
    }
    // The data centre may have been evacuated since the decision, or while the record was written.
    if owner.suspension().is_some() || !owner.mark_sent(&attempt) {
        owner.requeue_later(&attempt).await;
        return;
    }
    owner.report_wait(&attempt);
    let boot = run.boot;
    let command = Command {
        epoch: attempt.epoch,
        verb: Verb::Run(run),
    };
    let result = owner.services.endpoints.send(&worker, command).await;
    let result = result.and_then(|answer| find_report(answer.tasks, &attempt));
    match result {
        Ok(report) => owner.handle_report(&worker, report).await,
        Err(error) if error.kind.properties().ran == Ran::No => {
            owner.lock().mark_not_run(&attempt);
            owner.requeue_later(&attempt).await;
        }
        Err(error) => {
            slog::warn!(owner.services.log, "outcome of start unknown";
                "task" => %attempt.task, "error" => %error);
            owner.stop_and_resolve(&attempt, &worker, boot).await;
        }
    }
}

/// Ends a job because one of its tasks was not placed before the deadline.
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
        let message = "the outcome of an earlier attempt is unknown";
        (State::Unknown, Error::new(Kind::OutcomeUnknown, message))
    } else {
        let message = "no worker had free capacity before the deadline";
        (State::Failed, Error::new(Kind::Expired, message))
    };
    let closed = Closed {
        job: task.job.clone(),
        state,
        error: Some(error.clone()),
        at: now,
    };
    if durable && !owner.append_with_retry(Record::Closed(closed)).await {
        return;
    }
    owner.lock().finish_job(&task.job, state, Some(error), now);
}

fn find_report(reports: Vec<Report>, attempt: &Attempt) -> Result<Report> {
    reports
        .into_iter()
        .find(|report| report.task == attempt.task)
        .ok_or_else(|| {
            Error::new(
                Kind::Truncated,
                "the worker's answer doesn't include the task",
            )
        })
}

impl Inner {
    /// Decides which tasks to start, expire, checkpoint and stop.
    fn decide(&mut self, now: Millis, epoch: id::Epoch) -> Decisions {
        let mut decisions = Decisions::default();
        for action in self.scheduler.decide(now) {
            match action {
                Action::Start { task, worker } => {
                    self.last_attempt += 1;
                    let placement = Placement {
                        worker,
                        attempt: Attempt {
                            task: task.clone(),
                            epoch,
                            number: self.last_attempt,
                        },
                        started_at: None,
                        ending: false,
                    };
                    self.placements.insert(task, placement.clone());
                    decisions.starts.push(placement);
                }
                Action::Expire { task } => decisions.expired.push(task),
                Action::Checkpoint { task, .. } => {
                    decisions
                        .checkpoints
                        .extend(self.placements.get(&task).cloned());
                }
                Action::Stop { task, .. } => {
                    decisions.stops.extend(self.placements.get(&task).cloned());
                }
            }
        }
        decisions
    }

    /// Counts an attempt that is about to be sent; returns false if it should no longer be sent.
    fn mark_sent(&mut self, attempt: &Attempt, now: Millis) -> bool {
        let open = self.placements.get(&attempt.task).is_some_and(|placement| {
            let state = self.workers.get(&placement.worker.name);
            placement.attempt == *attempt && state.is_some_and(|state| state.boot.is_some())
        });
        if !open || !self.is_unfinished(&attempt.task.job) {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(&attempt.task.job) {
            job.sent += 1;
        }
        if let Some(placement) = self.placements.get_mut(&attempt.task) {
            placement.started_at = Some(now);
        }
        true
    }

    /// Takes back the count of an attempt that was sent and did not run.
    fn mark_not_run(&mut self, attempt: &Attempt) {
        if let Some(job) = self.jobs.get_mut(&attempt.task.job) {
            job.sent = job.sent.saturating_sub(1);
        }
    }
}

impl Owner {
    /// Tells the scheduler whether tasks of the shard may be started.
    fn update_suspension(&self) {
        let suspension = self.suspension();
        let (before, running) = {
            let mut inner = self.lock();
            let before = inner.set_suspension(suspension);
            (before, inner.scheduler.running())
        };
        if before == suspension {
            return;
        }
        let data_centre = &*self.ownership.shard.data_centre;
        let message = match (suspension, before) {
            (Some(Suspension::Evacuated), _) => "data centre evacuated",
            (Some(Suspension::OutOfDate), _) => {
                "starts suspended, configuration may be out of date"
            }
            (None, Some(Suspension::Evacuated)) => "data centre back in use",
            (None, _) => "starts resumed",
        };
        slog::info!(self.services.log, "{}", message;
            "data_centre" => data_centre, "running" => running);
    }

    fn mark_sent(&self, attempt: &Attempt) -> bool {
        let now = self.services.timer.now();
        self.lock().mark_sent(attempt, now)
    }

    /// Sends the metric of how long a task waited for its start.
    fn report_wait(&self, attempt: &Attempt) {
        let now = self.services.timer.now();
        let inner = self.lock();
        if let Some(job) = inner.jobs.get(&attempt.task.job) {
            let waited = now.since(job.accepted);
            self.services.metrics.record_start(job.request.kind, waited);
        }
    }

    /// Returns the run command of an attempt; `None` if the attempt is no longer placed or its
    /// worker takes no new work.
    fn build_run(&self, attempt: &Attempt, worker: &Worker) -> Option<Run> {
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

    /// Handles a worker's report about an attempt that is placed on it.
    pub(crate) async fn handle_report(&self, worker: &Worker, report: Report) {
        let attempt = report.attempt();
        let (placed, unfinished) = {
            let inner = self.lock();
            (
                inner.is_placed(&attempt),
                inner.is_unfinished(&attempt.task.job),
            )
        };
        if !placed {
            return;
        }
        self.inform_scheduler(&report);
        match report.phase {
            Phase::Running if unfinished => self.lock().mark_running(&attempt.task),
            // The stop that followed the end of the job was lost.
            Phase::Running => self.stop(&attempt, worker).await,
            Phase::Succeeded => {
                self.record_end(&attempt, State::Succeeded, report.output)
                    .await
            }
            Phase::Failed => {
                self.record_end(&attempt, State::Failed, report.output)
                    .await
            }
            Phase::Stopped if !unfinished => {
                self.record_end(&attempt, State::Cancelled, report.output)
                    .await;
            }
            Phase::Stopped | Phase::Lapsed => self.handle_lost(&attempt).await,
            Phase::NeverStarted => {
                self.lock().mark_not_run(&attempt);
                self.requeue_later(&attempt).await;
            }
        }
    }

    /// Passes the usage or the end of a task on to the scheduler.
    fn inform_scheduler(&self, report: &Report) {
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

    /// Records the end of a task and lets the worker forget it.
    pub(crate) async fn record_end(&self, attempt: &Attempt, state: State, output: String) {
        let task = &attempt.task;
        let durable = {
            let mut inner = self.lock();
            let unfinished = inner.is_unfinished(&task.job);
            let Some(placement) = inner.placements.get_mut(task) else {
                return;
            };
            if placement.attempt != *attempt || std::mem::replace(&mut placement.ending, true) {
                return;
            }
            let job = inner.jobs.get(&task.job);
            unfinished && job.is_some_and(|job| is_durable(&job.request))
        };
        let now = self.services.timer.now();
        let ended = Ended {
            task: task.clone(),
            state,
            output: output.clone(),
            at: now,
        };
        if durable && !self.append_with_retry(Record::Ended(ended)).await {
            return;
        }
        let mut inner = self.lock();
        if let Some(placement) = inner.placements.get(task).cloned()
            && let Some(state) = inner.workers.get_mut(&placement.worker.name)
        {
            state.acknowledged.push(attempt.clone());
        }
        inner.end_task(task, state, output, now);
        drop(inner);
        self.wake.notify_one();
    }

    /// Handles an attempt that no longer runs and has no outcome: a repeatable task is queued
    /// again, any other ends as unknown.
    pub(crate) async fn handle_lost(&self, attempt: &Attempt) {
        let repeatable = {
            let inner = self.lock();
            let job = inner.jobs.get(&attempt.task.job);
            job.is_some_and(|job| job.request.repeatable)
        };
        if repeatable {
            self.requeue_later(attempt).await;
            return;
        }
        self.record_end(attempt, State::Unknown, String::new())
            .await;
    }

    /// Appends a record, retrying as long as the store is unavailable; returns false if the shard
    /// has moved or the append fails otherwise.
    pub(crate) async fn append_with_retry(&self, record: Record) -> bool {
        while !self.is_released() {
            match self.services.journal.append(record.clone()).await {
                Ok(()) => return true,
                Err(error) if error.kind == Kind::StoreUnavailable => {
                    self.services.timer.sleep(APPEND_RETRY_INTERVAL).await;
                }
                Err(_) => return false,
            }
        }
        false
    }

    /// Queues a task again after a delay, if this attempt is still the latest.
    pub(crate) async fn requeue_later(&self, attempt: &Attempt) {
        let task = {
            let mut inner = self.lock();
            // An end that is being journaled is final, whatever happens to the worker meanwhile.
            let placement = inner.placements.get(&attempt.task);
            if placement.is_none_or(|placement| placement.attempt != *attempt || placement.ending) {
                return;
            }
            inner.displace(&attempt.task)
        };
        self.wake.notify_one();
        let Some(task) = task else {
            return;
        };
        self.services.timer.sleep(REQUEUE_DELAY).await;
        self.lock().requeue(task);
        self.wake.notify_one();
    }

    /// Asks a worker to stop an attempt until the worker reports its outcome.
    ///
    /// Only the boot to which the attempt was sent can report that it never started; an answer from
    /// another boot means that the attempt is lost.
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
                    self.services.timer.sleep(STOP_RETRY_INTERVAL).await;
                    continue;
                }
            };
            if answer.boot != boot {
                self.handle_lost(attempt).await;
                return;
            }
            match find_report(answer.tasks, attempt) {
                Ok(report) if report.attempt() == *attempt => {
                    self.handle_report(worker, report).await;
                    return;
                }
                _ => self.services.timer.sleep(STOP_RETRY_INTERVAL).await,
            }
        }
    }

    /// Sends a worker one command to stop an attempt; if the command is lost, the attempt is
    /// stopped after a later renewal that reports it.
    pub(crate) async fn stop(&self, attempt: &Attempt, worker: &Worker) {
        let command = Command {
            epoch: self.ownership.epoch,
            verb: Verb::Stop(attempt.clone()),
        };
        if let Err(error) = self.services.endpoints.send(worker, command).await {
            slog::warn!(self.services.log, "stop command failed";
                "task" => %attempt.task, "error" => %error);
        }
    }
}
