//! The in-memory state of an owner: its jobs, tasks and workers.

use basilbridge_common::{
    error::{
        Error,
        Kind, //
    },
    id,
    job::{
        Output,
        State,
        Status, //
    },
    unit::Millis,
    worker::Worker,
};
use basilbridge_scheduler::shard;
use tokio::sync::watch;

use crate::{
    active_configuration::Suspension,
    journal::Accepted,
    owner::{
        Inner,
        Job,
        Phase,
        Placement,
        WorkerState,
        queued_status, //
    },
    snapshot::{
        MAX_ENDED_JOBS,
        RETENTION, //
    },
};

impl Inner {
    /// Adds or updates a worker that the platform lists.
    pub(crate) fn list_worker(&mut self, worker: Worker) {
        let entry = self
            .workers
            .entry(worker.name.clone())
            .or_insert_with(|| WorkerState::new(worker.clone()));
        entry.worker = worker.clone();
        entry.unlisted_since = None;
        if entry.boot.is_some() {
            self.schedule_on(worker);
        }
    }

    /// Tells the scheduler of a worker that has a boot to start tasks on.
    pub(crate) fn schedule_on(&mut self, worker: Worker) {
        let leaving = worker.leaving || self.suspension.is_some();
        self.scheduler.set_worker(Worker { leaving, ..worker });
    }

    /// Tells the scheduler whether it may start tasks, and returns what it was told before.
    pub(crate) fn set_suspension(&mut self, suspension: Option<Suspension>) -> Option<Suspension> {
        let before = std::mem::replace(&mut self.suspension, suspension);
        if before == suspension {
            return before;
        }
        let states = self.workers.values();
        let enabled: Vec<_> = states
            .filter(|state| state.boot.is_some())
            .map(|state| state.worker.clone())
            .collect();
        for worker in enabled {
            self.schedule_on(worker);
        }
        if suspension.is_some() {
            self.scheduler.cancel_checkpoints();
        }
        before
    }

    /// Adds a job without its tasks.
    pub(crate) fn add_job(&mut self, accepted: Accepted) -> watch::Receiver<Status> {
        let id = accepted.job.clone();
        let status = queued_status(id.clone(), accepted.team.clone());
        let (status, receiver) = watch::channel(status);
        let job = Job {
            team: accepted.team,
            accepted: accepted.at,
            request_id: accepted.request_id,
            deadline: accepted.deadline,
            ended: vec![None; accepted.request.count as usize],
            request: accepted.request,
            sent: 0,
            status,
        };
        self.jobs.insert(id, job);
        receiver
    }

    /// Returns whether a job exists and has not reached a final state.
    pub(crate) fn is_unfinished(&self, id: &id::Job) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|job| !job.status.borrow().state.is_final())
    }

    /// Returns whether an attempt is the current placement of its task.
    pub(crate) fn is_placed(&self, attempt: &basilbridge_endpoints::command::Attempt) -> bool {
        self.placements
            .get(&attempt.task)
            .is_some_and(|placement| placement.attempt == *attempt)
    }

    /// Cancels a job and returns the placements of its tasks, which the caller has to stop.
    pub(crate) fn cancel(&mut self, id: &id::Job, now: Millis) -> Vec<Placement> {
        let stops = self.placements.values();
        let stops = stops.filter(|placement| placement.attempt.task.job == *id);
        let stops = stops.cloned().collect();
        self.finish_job(id, State::Cancelled, None, now);
        stops
    }

    /// Ends a job and removes its queued tasks; tasks that are placed keep their resources.
    pub(crate) fn finish_job(
        &mut self,
        id: &id::Job,
        state: State,
        error: Option<Error>,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let count = job.ended.len() as u32;
        let changed = job.status.send_if_modified(|status| {
            let changed = !status.state.is_final();
            if changed {
                status.state = state;
                status.error = error;
            }
            changed
        });
        if changed {
            self.finished.push_back((now, id.clone()));
        }
        for index in 0..count {
            let task = id::Task {
                job: id.clone(),
                index,
            };
            self.inherited.remove(&task);
            if !self.placements.contains_key(&task) {
                self.scheduler.remove(&task);
            }
        }
    }

    /// Records the end of a task, and the end of its job if it was the last one.
    pub(crate) fn end_task(&mut self, task: &id::Task, state: State, output: String, now: Millis) {
        self.placements.remove(task);
        self.inherited.remove(task);
        self.open_starts.remove(task);
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
        let mut finished = false;
        job.status.send_modify(|status| {
            status.outputs.push(Output {
                index: task.index,
                text: output,
            });
            if all && !status.state.is_final() {
                let state = worst.unwrap_or(State::Succeeded);
                status.state = state;
                status.error = error_for(state);
                finished = true;
            }
        });
        if finished {
            self.finished.push_back((now, task.job.clone()));
        }
    }

    /// Marks the job of a task as running if it is still queued.
    pub(crate) fn mark_running(&mut self, task: &id::Task) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        job.status.send_if_modified(|status| {
            let changed = status.state == State::Queued;
            if changed {
                status.state = State::Running;
            }
            changed
        });
    }

    /// Frees the resources of a task that does not run; returns the task if its job is unfinished.
    pub(crate) fn displace(&mut self, task: &id::Task) -> Option<shard::Task> {
        self.placements.remove(task);
        let removed = self.scheduler.remove(task)?;
        self.is_unfinished(&task.job).then_some(removed)
    }

    /// Queues a task again if its job is unfinished.
    pub(crate) fn requeue(&mut self, task: shard::Task) {
        if self.is_unfinished(&task.id.job) {
            self.scheduler.submit(task);
        }
    }

    /// Queues the remaining inherited tasks once no unclaimed worker is left that may run them.
    pub(crate) fn finish_recovery(&mut self) {
        let unclaimed = self.workers.values().any(|entry| !entry.claimed);
        if self.phase != Phase::Claiming || unclaimed {
            return;
        }
        self.phase = Phase::Recovered;
        self.scheduler.allotments.finish_recovery();
        for task in std::mem::take(&mut self.inherited).into_values() {
            self.requeue(task);
        }
    }

    /// Removes ended jobs that are past their retention or exceed the maximum number.
    pub(crate) fn forget(&mut self, now: Millis) {
        while let Some((ended, _)) = self.finished.front() {
            let surplus = self.finished.len() > MAX_ENDED_JOBS;
            if !surplus && now.since(*ended) < RETENTION {
                return;
            }
            if let Some((_, job)) = self.finished.pop_front() {
                self.jobs.remove(&job);
            }
        }
    }
}

fn error_for(state: State) -> Option<Error> {
    match state {
        State::Failed => Some(Error::new(Kind::TaskFailed, "the task failed")),
        State::Unknown => Some(Error::new(
            Kind::OutcomeUnknown,
            "the task must not be repeated and its outcome is unknown",
        )),
        _ => None,
    }
}
