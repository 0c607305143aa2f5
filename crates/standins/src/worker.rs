//! A fleet of stand-in workers.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Boot,
        Epoch,
        Name,
        Task, //
    },
    timer,
    unit::{
        Millis,
        Resources, //
    },
    worker,
};
use basilbridge_derives::data;
use basilbridge_endpoints::{
    Client,
    command::{
        Attempt,
        Command,
        Phase,
        Renew,
        Reply,
        Report,
        Run,
        Verb, //
    },
};
use futures_util::FutureExt;
use tokio::sync::watch;

use crate::{
    observations::{
        Counts,
        Observations,
        Violations, //
    },
    program::Program,
    simulated_worker::{
        SimulatedWorker,
        TaskRecord, //
    },
};

/// The faults that a worker simulates.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct FaultSettings {
    /// Every task that it starts fails.
    pub fail_all: bool,
    /// It neither executes commands nor replies.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// The number of next commands that it executes without a reply.
    pub lose_answers: u32,
}

/// Stand-in workers that share their observations. Clones refer to the same fleet.
#[derive(Clone)]
pub struct Fleet {
    workers: Arc<Mutex<HashMap<Name, SimulatedWorker>>>,
    observations: Arc<Mutex<Observations>>,
    timer: timer::Service,
}

impl Fleet {
    /// Creates a fleet of the given workers.
    pub fn new(timer: timer::Service, workers: impl IntoIterator<Item = worker::Worker>) -> Self {
        let workers = workers
            .into_iter()
            .map(|worker| (worker.name.clone(), SimulatedWorker::new(worker, Boot(1))))
            .collect();
        Self {
            workers: Arc::new(Mutex::new(workers)),
            observations: Arc::default(),
            timer,
        }
    }

    /// Returns the timer service of the workers.
    pub fn timer(&self) -> timer::Service {
        self.timer.clone()
    }

    /// Returns a client that calls the workers within the process.
    pub fn client(&self) -> Client {
        let fleet = self.clone();
        Client::new(Arc::new(move |worker, command| {
            let fleet = fleet.clone();
            async move { fleet.handle(&worker.name, command).await }.boxed()
        }))
    }

    /// Returns the violations observed so far.
    pub fn violations(&self) -> Violations {
        lock(&self.observations).violations
    }

    /// Returns the counters of the workers.
    pub fn counts(&self) -> Counts {
        lock(&self.observations).counts
    }

    /// Returns the resources of all running tasks, over all workers.
    pub fn used(&self) -> Resources {
        lock(&self.observations).used
    }

    /// Returns the start times of the tasks with the given payload.
    pub fn starts(&self, payload: &str) -> Vec<Millis> {
        let observations = lock(&self.observations);
        observations
            .starts
            .get(payload)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the number of tasks that a worker has started.
    pub fn starts_on(&self, name: &Name) -> u64 {
        lock(&self.workers)
            .get(name)
            .map_or(0, |worker| worker.starts)
    }

    /// Returns the running tasks, sorted.
    pub fn running(&self) -> Vec<Task> {
        let mut tasks: Vec<_> = lock(&self.observations).running.keys().cloned().collect();
        tasks.sort();
        tasks
    }

    /// Sets the faults that a worker simulates.
    pub fn set_faults(&self, name: &Name, faults: FaultSettings) {
        if let Some(worker) = lock(&self.workers).get_mut(name) {
            worker.faults = faults;
        }
    }

    /// Returns the workers, sorted by name.
    pub fn workers(&self) -> Vec<worker::Worker> {
        let simulated = lock(&self.workers);
        let mut workers: Vec<_> = simulated
            .values()
            .map(|worker| worker.info.clone())
            .collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        workers
    }

    /// Returns whether a worker is set to be unresponsive.
    pub fn is_unresponsive(&self, name: &Name) -> bool {
        lock(&self.workers)
            .get(name)
            .is_some_and(|worker| worker.faults.unresponsive)
    }

    /// Reboots a worker, which loses all its tasks.
    pub fn reboot(&self, name: &Name) {
        let mut workers = lock(&self.workers);
        let Some(worker) = workers.get_mut(name) else {
            return;
        };
        let boot = Boot(worker.boot.0 + 1);
        let fresh = SimulatedWorker::new(worker.info.clone(), boot);
        let old = std::mem::replace(worker, fresh);
        worker.starts = old.starts;
        old.ends.notify_waiters();
        let mut observations = lock(&self.observations);
        for (task, record) in old.tasks {
            if record.report.phase == Phase::Running {
                observations.record_end(&task, &record.report.resources);
            }
        }
    }

    /// Executes a command on the worker with the given name.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Unreachable`] if there is no such worker, [`Kind::OutcomeUnknown`] if the
    /// worker is unresponsive, reboots meanwhile or loses the reply, [`Kind::StaleEpoch`] if the
    /// epoch or boot is not the current one, and [`Kind::NotFound`] if the task does not exist.
    pub async fn handle(&self, name: &Name, command: Command) -> Result<Reply> {
        let (result, lost) = {
            let mut workers = lock(&self.workers);
            let worker = workers.get_mut(name).ok_or_else(|| {
                Error::new(Kind::Unreachable, format!("worker {name} does not exist"))
            })?;
            lock(&self.observations).counts.commands += 1;
            if worker.faults.unresponsive {
                (None, true)
            } else {
                let lost = worker.faults.lose_answers > 0;
                worker.faults.lose_answers -= u32::from(lost);
                (Some(self.execute(worker, &command)), lost)
            }
        };
        if lost {
            return Err(Error::new(Kind::OutcomeUnknown, "the reply was lost"));
        }
        let Some(result) = result else {
            return Err(Error::new(
                Kind::OutcomeUnknown,
                "the worker does not respond",
            ));
        };
        let reply = result?;
        match &command.verb {
            Verb::Run(run) if run.wait => self.wait_for_task(name, &run.task).await,
            Verb::Renew(renew) => {
                self.wait_for_unreported_end(name, command.epoch, renew)
                    .await
            }
            _ => Ok(reply),
        }
    }

    fn execute(&self, worker: &mut SimulatedWorker, command: &Command) -> Result<Reply> {
        if command.epoch < worker.epoch {
            lock(&self.observations).counts.stale += 1;
            let message = format!("the worker has seen epoch {}", worker.epoch.0);
            return Err(Error::new(Kind::StaleEpoch, message));
        }
        if worker.epoch < command.epoch {
            worker.epoch = command.epoch;
            worker.forget_never_started();
        }
        let now = self.timer.now();
        match &command.verb {
            Verb::Claim(lease) => {
                worker.extend_leases(now.after(lease.lease));
                Ok(worker.reply())
            }
            Verb::Run(run) => self.start_task(worker, command.epoch, run),
            Verb::Renew(renew) => {
                worker.extend_leases(now.after(renew.lease.lease));
                worker.forget(&renew.acknowledged);
                Ok(Reply {
                    boot: worker.boot,
                    tasks: Vec::new(),
                })
            }
            Verb::Checkpoint(task) => worker.reply_for(task),
            Verb::Throttle(throttle) => worker.reply_for(&throttle.task),
            Verb::Stop(attempt) => {
                worker.reject_later_start(attempt);
                if worker.is_latest(attempt) {
                    self.end_task(worker, &attempt.task, Phase::Stopped, String::new());
                }
                worker.reply_for(&attempt.task)
            }
        }
    }

    fn start_task(&self, worker: &mut SimulatedWorker, epoch: Epoch, run: &Run) -> Result<Reply> {
        let mut observations = lock(&self.observations);
        if run.boot != worker.boot {
            observations.counts.stale += 1;
            return Err(Error::new(Kind::StaleEpoch, "the worker has rebooted"));
        }
        let attempt = Attempt {
            task: run.task.clone(),
            epoch,
            number: run.attempt,
        };
        if worker.has_seen(&attempt) {
            // The command is a duplicate, or its attempt was stopped before it arrived.
            return worker.reply_for(&run.task);
        }
        observations.counts.starts += 1;
        observations.record_start(worker, run);
        worker.starts += 1;
        let starts = observations.starts.entry(run.payload.clone()).or_default();
        starts.push(self.timer.now());
        drop(observations);
        let program = Program::parse(&run.payload);
        let record = TaskRecord {
            report: Report {
                task: run.task.clone(),
                phase: Phase::Running,
                resources: run.resources,
                usage: Resources::default(),
                output: String::new(),
                epoch,
                attempt: run.attempt,
            },
            lease_until: self.timer.now().after(run.lease),
            done: watch::Sender::new(false),
            is_reported: false,
        };
        worker.tasks.insert(run.task.clone(), record);
        let fail = program.fail || worker.faults.fail_all;
        tokio::spawn(self.clone().run_program(
            worker.info.name.clone(),
            worker.boot,
            run.task.clone(),
            Program { fail, ..program },
        ));
        worker.reply_for(&run.task)
    }

    /// Waits until the program of a task ends or its lease lapses, whichever is first, and ends it.
    async fn run_program(self, name: Name, boot: Boot, task: Task, program: Program) {
        let end_at = program.run.map(|run| self.timer.now().after(run));
        loop {
            let now = self.timer.now();
            let wait = {
                let mut workers = lock(&self.workers);
                let Some(worker) = workers.get_mut(&name) else {
                    return;
                };
                let Some(record) = worker.tasks.get(&task) else {
                    return;
                };
                if worker.boot != boot || record.report.phase != Phase::Running {
                    return;
                }
                if end_at.is_some_and(|end_at| end_at <= now) {
                    let phase = if program.fail {
                        Phase::Failed
                    } else {
                        Phase::Succeeded
                    };
                    self.end_task(worker, &task, phase, program.output);
                    return;
                }
                if record.lease_until <= now {
                    self.end_task(worker, &task, Phase::Lapsed, String::new());
                    return;
                }
                let until = end_at.unwrap_or(record.lease_until).min(record.lease_until);
                until.since(now)
            };
            self.timer.sleep(wait.max(Duration::from_millis(1))).await;
        }
    }

    fn end_task(&self, worker: &mut SimulatedWorker, task: &Task, phase: Phase, output: String) {
        let Some(record) = worker.tasks.get_mut(task) else {
            return;
        };
        if record.report.phase != Phase::Running {
            return;
        }
        record.report.phase = phase;
        record.report.output = output;
        record.done.send_replace(true);
        worker.ends.notify_waiters();
        let resources = record.report.resources;
        lock(&self.observations).record_end(task, &resources);
    }

    /// Replies to a renewal once a task has an unreported end or `renew.max_wait` is over.
    async fn wait_for_unreported_end(
        &self,
        name: &Name,
        epoch: Epoch,
        renew: &Renew,
    ) -> Result<Reply> {
        let gone = || Error::new(Kind::OutcomeUnknown, "the worker no longer exists");
        let (ends, has_end) = {
            let workers = lock(&self.workers);
            let worker = workers.get(name).ok_or_else(gone)?;
            let ends = Arc::clone(&worker.ends).notified_owned();
            (ends, worker.has_unreported_end())
        };
        if !has_end {
            self.timer.timeout(renew.max_wait, ends).await;
        }
        let mut workers = lock(&self.workers);
        let worker = workers.get_mut(name).ok_or_else(gone)?;
        if worker.faults.unresponsive {
            return Err(Error::new(
                Kind::OutcomeUnknown,
                "the worker does not respond",
            ));
        }
        if epoch < worker.epoch {
            let message = format!("the worker has seen epoch {}", worker.epoch.0);
            return Err(Error::new(Kind::StaleEpoch, message));
        }
        Ok(worker.renewal_reply(renew.list))
    }

    async fn wait_for_task(&self, name: &Name, task: &Task) -> Result<Reply> {
        let gone = || Error::new(Kind::OutcomeUnknown, "the worker has rebooted");
        let mut done = lock(&self.workers)
            .get(name)
            .and_then(|worker| worker.tasks.get(task))
            .map(|record| record.done.subscribe())
            .ok_or_else(gone)?;
        done.wait_for(|done| *done).await.map_err(|_| gone())?;
        lock(&self.workers)
            .get(name)
            .ok_or_else(gone)?
            .reply_for(task)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
