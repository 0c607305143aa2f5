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
    Command,
    Phase,
    Report,
    Run,
    Verb, //
};
use basilbridge_scheduler::shard::Action;

use crate::{
    journal::{
        Ended,
        Record,
        Started, //
    },
    owner::{
        Owner,
        is_durable, //
    },
};

/// How long to wait before a worker that did not answer is asked again.
const SETTLE_INTERVAL: Duration = Duration::from_millis(250);

/// Decides and carries out until the owner is dropped.
pub async fn run(owner: Arc<Owner>) {
    loop {
        owner.wake.notified().await;
        let now = owner.tools.timer.now();
        let actions = owner.lock().decide(now);
        if owner.lock().scheduler.limits.is_waiting() {
            owner.tools.allotments.notify_one();
        }
        for action in actions {
            match action {
                Action::Start { task, worker } => {
                    tokio::spawn(start(Arc::clone(&owner), task, worker));
                }
                Action::Expire { task } => owner.expire(&task),
            }
        }
    }
}

async fn start(owner: Arc<Owner>, task: id::Task, worker: Worker) {
    let Some(run) = owner.run_of(&task, &worker) else {
        owner.lock().requeue(&task);
        return;
    };
    if !run.repeatable {
        let started = Started {
            task: task.clone(),
            worker: worker.name.clone(),
            boot: run.boot,
        };
        if let Err(error) = owner.tools.journal.append(Record::Started(started)).await {
            slog::warn!(owner.tools.log, "start not kept"; "task" => %task, "error" => %error);
            owner.lock().requeue(&task);
            return;
        }
    }
    let command = Command {
        epoch: owner.title.epoch,
        verb: Verb::Run(run),
    };
    let result = owner.tools.endpoints.send(&worker, command).await;
    let result = result.and_then(|answer| report_of(answer.tasks, &task));
    match result {
        Ok(report) => owner.report(report).await,
        Err(error) if error.kind.answer().ran == Ran::No => {
            owner.lock().requeue(&task);
        }
        Err(error) => {
            slog::warn!(owner.tools.log, "start in doubt"; "task" => %task, "error" => %error);
            owner.settle(&task, &worker).await;
        }
    }
}

fn report_of(reports: Vec<Report>, task: &id::Task) -> Result<Report> {
    reports
        .into_iter()
        .find(|report| report.task == *task)
        .ok_or_else(|| Error::new(Kind::Truncated, "the answer lacks the task"))
}

impl crate::owner::Inner {
    fn decide(&mut self, now: Millis) -> Vec<Action> {
        let actions = self.scheduler.decide(now);
        for action in &actions {
            if let Action::Start { task, worker } = action {
                self.placed.insert(task.clone(), worker.clone());
            }
        }
        actions
    }
}

impl Owner {
    fn run_of(&self, task: &id::Task, worker: &Worker) -> Option<Run> {
        let inner = self.lock();
        let job = inner.jobs.get(&task.job)?;
        let boot = inner.contacts.get(&worker.name)?.boot?;
        let since = self.tools.timer.now().since(job.accepted);
        Some(Run {
            task: task.clone(),
            boot,
            resources: job.request.resources,
            repeatable: job.request.repeatable,
            payload: job.request.payload.clone(),
            lease: self.tools.task_lease,
            deadline: job
                .request
                .deadline
                .map(|deadline| deadline.saturating_sub(since)),
            wait: job.request.kind == job::Kind::Interactive,
        })
    }

    fn expire(&self, task: &id::Task) {
        let error = Error::new(Kind::Expired, "no room came free before the deadline");
        let mut inner = self.lock();
        inner.finish_job(&task.job, State::Failed, Some(error));
    }

    /// Takes note of what a worker tells about a task.
    pub(crate) async fn report(&self, report: Report) {
        let state = match report.phase {
            Phase::Running => {
                self.lock().mark_running(&report.task);
                return;
            }
            Phase::Succeeded => State::Succeeded,
            Phase::Failed => State::Failed,
            Phase::Stopped => State::Cancelled,
            Phase::Lapsed | Phase::NeverStarted => {
                self.lost(&report.task, report.phase == Phase::NeverStarted);
                return;
            }
        };
        self.end(&report.task, state, report.output).await;
    }

    async fn end(&self, task: &id::Task, state: State, output: String) {
        let durable = match self.lock().jobs.get(&task.job) {
            Some(job) => is_durable(&job.request),
            None => return,
        };
        if durable {
            let record = Record::Ended(Ended {
                task: task.clone(),
                state,
                output: output.clone(),
            });
            if let Err(error) = self.tools.journal.append(record).await {
                // The worker keeps the report until it is acknowledged, so it comes again.
                slog::warn!(self.tools.log, "end not kept"; "task" => %task, "error" => %error);
                return;
            }
        }
        let mut inner = self.lock();
        if let Some(worker) = inner.placed.get(task).cloned()
            && let Some(contact) = inner.contacts.get_mut(&worker.name)
        {
            contact.acknowledged.push(task.clone());
        }
        inner.end_task(task, state, output);
        drop(inner);
        self.wake.notify_one();
    }

    /// Takes note of a task that runs no more and has no outcome.
    pub(crate) fn lost(&self, task: &id::Task, never_started: bool) {
        let mut inner = self.lock();
        let repeatable = inner
            .jobs
            .get(&task.job)
            .is_some_and(|job| job.request.repeatable);
        if repeatable || never_started {
            inner.requeue(task);
        } else {
            inner.end_task(task, State::Unknown, String::new());
        }
        drop(inner);
        self.wake.notify_one();
    }

    /// Asks a worker to stop a task until it says what became of it.
    pub(crate) async fn settle(&self, task: &id::Task, worker: &Worker) {
        loop {
            let command = Command {
                epoch: self.title.epoch,
                verb: Verb::Stop(task.clone()),
            };
            let result = self.tools.endpoints.send(worker, command).await;
            match result.and_then(|answer| report_of(answer.tasks, task)) {
                Ok(report) if report.phase == Phase::Stopped => {
                    self.lost(task, false);
                    return;
                }
                Ok(report) => {
                    self.report(report).await;
                    return;
                }
                Err(error) if error.kind == Kind::StaleEpoch => return,
                Err(_) => self.tools.timer.sleep(SETTLE_INTERVAL).await,
            }
        }
    }

    /// Tells a worker to stop a task; a lost command is made up for by the next renewal.
    pub(crate) async fn stop(&self, task: &id::Task, worker: &Worker) {
        let command = Command {
            epoch: self.title.epoch,
            verb: Verb::Stop(task.clone()),
        };
        if let Err(error) = self.tools.endpoints.send(worker, command).await {
            slog::warn!(self.tools.log, "stop not sent"; "task" => %task, "error" => %error);
        }
    }
}
