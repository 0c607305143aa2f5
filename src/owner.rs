//! The owner of one shard.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use basilbridge_common::{
    call::{
        Call,
        Verb, //
    },
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        self,
        Boot,
        Name, //
    },
    job::{
        self,
        Output,
        Request,
        State,
        Status, //
    },
    timer,
    unit::Millis,
    worker::Worker,
};
use basilbridge_endpoints::Client;
use basilbridge_scheduler::shard;
use slog::Logger;
use tokio::sync::{
    Notify,
    watch, //
};

use crate::journal::{
    self,
    Accepted,
    Journal,
    Record,
    Title, //
};

/// What an owner works with.
#[derive(Clone)]
pub struct Tools {
    /// The timer service.
    pub timer: timer::Service,
    /// The client of the workers.
    pub endpoints: Client,
    /// The journal of the shard.
    pub journal: Journal,
    /// Where to log.
    pub log: Logger,
    /// How long a task goes on without word from its owner.
    pub task_lease: std::time::Duration,
}

/// A job of the shard.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) team: Name,
    pub(crate) accepted: Millis,
    pub(crate) request: Request,
    /// Whether each task has ended, by the number of the task.
    pub(crate) ended: Vec<Option<State>>,
    pub(crate) status: watch::Sender<Status>,
}

/// A worker as the owner knows it.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    /// The boot that answered the claim; nothing is sent before.
    pub(crate) boot: Option<Boot>,
    /// Ended tasks that the worker may forget.
    pub(crate) acknowledged: Vec<id::Task>,
}

/// What changes under the lock of the shard.
#[derive(Default)]
pub(crate) struct Inner {
    pub(crate) scheduler: shard::Shard,
    pub(crate) jobs: HashMap<id::Job, Job>,
    pub(crate) placed: HashMap<id::Task, Worker>,
    pub(crate) contacts: HashMap<Name, Contact>,
    next_job: u64,
}

/// The owner of one shard under one epoch.
pub struct Owner {
    /// The claim that this owner stands on.
    pub title: Title,
    pub(crate) tools: Tools,
    inner: Mutex<Inner>,
    pub(crate) wake: Notify,
}

impl Owner {
    /// Makes the owner of a shard that was just claimed.
    pub fn new(title: Title, tools: Tools, workers: Vec<Worker>) -> Arc<Self> {
        let owner = Self {
            title,
            tools,
            inner: Mutex::default(),
            wake: Notify::new(),
        };
        owner.set_workers(workers);
        Arc::new(owner)
    }

    /// Takes note of the workers on the platform's list.
    pub fn set_workers(&self, workers: Vec<Worker>) {
        let mut inner = self.lock();
        for worker in workers {
            inner.contacts.entry(worker.name.clone()).or_default();
            inner.scheduler.set_worker(worker);
        }
    }

    /// Returns how many tasks wait and how many run.
    pub fn load(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.scheduler.queued(), inner.scheduler.running())
    }

    /// Says whether the shard could ever run a task of this size.
    pub fn possible(&self, request: &Request) -> bool {
        self.lock().scheduler.possible(&request.resources)
    }

    /// Handles a call.
    pub async fn handle(&self, call: Call) -> Result<Status> {
        match call.verb {
            Verb::Submit(_, ref request) => self.submit(&call, request).await,
            Verb::Status(ref job) => Ok(self.watch(&call.team, job)?.borrow().clone()),
            Verb::Wait(ref job) => {
                let mut status = self.watch(&call.team, job)?;
                let last = self.final_status(&mut status, call.remaining).await;
                Ok(last.unwrap_or_else(|| status.borrow().clone()))
            }
            Verb::Cancel(ref job) => self.cancel(&call.team, job).await,
        }
    }

    async fn submit(&self, call: &Call, request: &Request) -> Result<Status> {
        if request.count == 0 {
            return Err(Error::new(Kind::Malformed, "a job has at least one task"));
        }
        if !self.possible(request) {
            let message = "no worker is large enough for a task of this size";
            return Err(Error::new(Kind::Impossible, message));
        }
        let accepted = Accepted {
            job: self.next_job(),
            team: call.team.clone(),
            at: self.tools.timer.now(),
            request: request.clone(),
        };
        let id = accepted.job.clone();
        if is_durable(request) {
            let unique = request
                .idempotency_key
                .as_ref()
                .map(|key| journal::unique_row(&call.team, key));
            let record = Record::Accepted(Box::new(accepted.clone()));
            self.tools.journal.append_unique(record, unique).await?;
        }
        let deadline = deadline(request, &accepted, call);
        let mut status = self.admit(accepted, deadline);
        self.wake.notify_one();
        if request.kind != job::Kind::Interactive {
            return Ok(status.borrow().clone());
        }
        let last = self.final_status(&mut status, call.remaining).await;
        last.ok_or_else(|| self.give_up(&id))
            .and_then(|status| match status.error.clone() {
                Some(error) => Err(error),
                None => Ok(status),
            })
    }

    /// Ends the wait of an interactive caller, and says whether the work ran.
    fn give_up(&self, id: &id::Job) -> Error {
        let mut inner = self.lock();
        let started = inner.placed.keys().any(|task| task.job == *id);
        if started {
            return Error::new(Kind::OutcomeUnknown, "the work has started, not ended");
        }
        let expired = Error::new(Kind::Expired, "no room came free before the deadline");
        inner.finish_job(id, State::Failed, Some(expired.clone()));
        expired
    }

    fn next_job(&self) -> id::Job {
        let mut inner = self.lock();
        inner.next_job += 1;
        id::Job {
            shard: self.title.shard.clone(),
            epoch: self.title.epoch,
            number: inner.next_job,
        }
    }

    /// Queues the tasks of a job that was accepted.
    pub(crate) fn admit(
        &self,
        accepted: Accepted,
        deadline: Option<Millis>,
    ) -> watch::Receiver<Status> {
        let mut inner = self.lock();
        let (status, receiver) = watch::channel(Status {
            id: accepted.job.clone(),
            team: accepted.team.clone(),
            state: State::Queued,
            outputs: Vec::new(),
            error: None,
        });
        for index in 0..accepted.request.count {
            let task = task(&accepted, index, deadline);
            inner.scheduler.submit(task);
        }
        let job = Job {
            team: accepted.team,
            accepted: accepted.at,
            ended: vec![None; accepted.request.count as usize],
            request: accepted.request,
            status,
        };
        inner.jobs.insert(accepted.job, job);
        receiver
    }

    fn watch(&self, team: &Name, id: &id::Job) -> Result<watch::Receiver<Status>> {
        let inner = self.lock();
        let job = inner
            .jobs
            .get(id)
            .ok_or_else(|| Error::new(Kind::NotFound, format!("there is no job {id}")))?;
        if job.team != *team {
            return Err(Error::new(Kind::Forbidden, "the job is another team's"));
        }
        Ok(job.status.subscribe())
    }

    async fn final_status(
        &self,
        status: &mut watch::Receiver<Status>,
        limit: std::time::Duration,
    ) -> Option<Status> {
        let wait = status.wait_for(|status| status.state.is_final());
        let last = self.tools.timer.timeout(limit, wait).await?;
        last.ok().map(|status| status.clone())
    }

    async fn cancel(&self, team: &Name, id: &id::Job) -> Result<Status> {
        let status = self.watch(team, id)?;
        if status.borrow().state.is_final() {
            return Ok(status.borrow().clone());
        }
        self.tools
            .journal
            .append(Record::Cancelled(id.clone()))
            .await?;
        let stops = self.lock().cancel(id);
        for (task, worker) in stops {
            self.stop(&task, &worker).await;
        }
        self.wake.notify_one();
        let last = status.borrow().clone();
        Ok(last)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Cancels a job and returns its tasks that run, which are to be stopped.
    pub(crate) fn cancel(&mut self, id: &id::Job) -> Vec<(id::Task, Worker)> {
        let stops: Vec<_> = self
            .placed
            .iter()
            .filter(|(task, _)| task.job == *id)
            .map(|(task, worker)| (task.clone(), worker.clone()))
            .collect();
        self.finish_job(id, State::Cancelled, None);
        stops
    }

    /// Ends a job; its tasks that wait are forgotten, those that run keep their room.
    pub(crate) fn finish_job(&mut self, id: &id::Job, state: State, error: Option<Error>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let count = job.ended.len() as u32;
        job.status.send_modify(|status| {
            if !status.state.is_final() {
                status.state = state;
                status.error = error;
            }
        });
        for index in 0..count {
            let task = id::Task {
                job: id.clone(),
                index,
            };
            if !self.placed.contains_key(&task) {
                self.scheduler.remove(&task);
            }
        }
    }

    /// Takes note of the end of a task.
    pub(crate) fn end_task(&mut self, task: &id::Task, state: State, output: String) {
        self.placed.remove(task);
        self.scheduler.remove(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(ended) = job.ended.get_mut(task.index as usize) else {
            return;
        };
        if ended.is_some() {
            return;
        }
        *ended = Some(state);
        let all = job.ended.iter().all(Option::is_some);
        let worst = job.ended.iter().flatten().copied().max();
        job.status.send_modify(|status| {
            status.outputs.push(Output {
                index: task.index,
                text: output,
            });
            if all && !status.state.is_final() {
                let state = worst.unwrap_or(State::Succeeded);
                status.state = state;
                status.error = error_of(state);
            }
        });
    }

    /// Takes note that a task runs.
    pub(crate) fn mark_running(&mut self, task: &id::Task) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        job.status.send_modify(|status| {
            if status.state == State::Queued {
                status.state = State::Running;
            }
        });
    }

    /// Puts a task that does not run back into the queue, if its job still wants it.
    pub(crate) fn requeue(&mut self, task: &id::Task) {
        self.placed.remove(task);
        let Some(removed) = self.scheduler.remove(task) else {
            return;
        };
        let wanted = self
            .jobs
            .get(&task.job)
            .is_some_and(|job| !job.status.borrow().state.is_final());
        if wanted {
            self.scheduler.submit(removed);
        }
    }
}

fn error_of(state: State) -> Option<Error> {
    match state {
        State::Failed => Some(Error::new(Kind::TaskFailed, "the task failed")),
        State::Unknown => Some(Error::new(
            Kind::OutcomeUnknown,
            "the task must not be repeated, and whether it ended is not known",
        )),
        _ => None,
    }
}

/// Says whether a job is kept in the journal before its caller is answered.
pub(crate) fn is_durable(request: &Request) -> bool {
    request.kind != job::Kind::Interactive
        || !request.repeatable
        || request.idempotency_key.is_some()
}

fn deadline(request: &Request, accepted: &Accepted, call: &Call) -> Option<Millis> {
    let stated = request.deadline.map(|wait| accepted.at.after(wait));
    if request.kind != job::Kind::Interactive {
        return stated;
    }
    let patience = accepted.at.after(call.remaining);
    Some(stated.map_or(patience, |stated| stated.min(patience)))
}

fn task(accepted: &Accepted, index: u32, deadline: Option<Millis>) -> shard::Task {
    shard::Task {
        id: id::Task {
            job: accepted.job.clone(),
            index,
        },
        team: accepted.team.clone(),
        kind: accepted.request.kind,
        resources: accepted.request.resources,
        repeatable: accepted.request.repeatable,
        family: accepted.request.family.clone(),
        run_time: accepted.request.run_time,
        accepted: accepted.at,
        deadline,
    }
}
