//! Stand-ins for workers.

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
    machine::{
        Machine,
        Running, //
    },
    observations::{
        Counts,
        Observations,
        Violations, //
    },
    program::Program,
};

/// What a test does to a worker.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct FaultSettings {
    /// Fails every task that it starts.
    pub fail_all: bool,
    /// Answers nothing and carries out nothing.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// Carries out so many of the next commands without an answer.
    pub lose_answers: u32,
}

/// Stand-in workers that share one observations; clones share one fleet.
#[derive(Clone)]
pub struct Fleet {
    machines: Arc<Mutex<HashMap<Name, Machine>>>,
    observations: Arc<Mutex<Observations>>,
    timer: timer::Service,
}

impl Fleet {
    /// Makes a fleet of these workers.
    pub fn new(timer: timer::Service, workers: impl IntoIterator<Item = worker::Worker>) -> Self {
        let machines = workers
            .into_iter()
            .map(|worker| (worker.name.clone(), Machine::new(worker, Boot(1))))
            .collect();
        Self {
            machines: Arc::new(Mutex::new(machines)),
            observations: Arc::default(),
            timer,
        }
    }

    /// Returns the timer service that the workers run by.
    pub fn timer(&self) -> timer::Service {
        self.timer.clone()
    }

    /// Returns a client that calls these workers in the same process.
    pub fn client(&self) -> Client {
        let fleet = self.clone();
        Client::new(Arc::new(move |worker, command| {
            let fleet = fleet.clone();
            async move { fleet.handle(&worker.name, command).await }.boxed()
        }))
    }

    /// Returns what must never happen.
    pub fn violations(&self) -> Violations {
        lock(&self.observations).violations
    }

    /// Returns what the workers have counted.
    pub fn counts(&self) -> Counts {
        lock(&self.observations).counts
    }

    /// Returns what tasks have now, on all workers together.
    pub fn used(&self) -> Resources {
        lock(&self.observations).used
    }

    /// Returns when tasks with this payload were started.
    pub fn starts(&self, payload: &str) -> Vec<Millis> {
        let observations = lock(&self.observations);
        observations
            .starts
            .get(payload)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns how many tasks a worker has started.
    pub fn starts_on(&self, name: &Name) -> u64 {
        lock(&self.machines)
            .get(name)
            .map_or(0, |machine| machine.starts)
    }

    /// Returns the tasks that run, in the order of their names.
    pub fn running(&self) -> Vec<Task> {
        let mut tasks: Vec<_> = lock(&self.observations).running.keys().cloned().collect();
        tasks.sort();
        tasks
    }

    /// Sets what a worker does wrong.
    pub fn set_faults(&self, name: &Name, faults: FaultSettings) {
        if let Some(machine) = lock(&self.machines).get_mut(name) {
            machine.faults = faults;
        }
    }

    /// Returns the workers.
    pub fn workers(&self) -> Vec<worker::Worker> {
        let machines = lock(&self.machines);
        let mut workers: Vec<_> = machines
            .values()
            .map(|machine| machine.worker.clone())
            .collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        workers
    }

    /// Says whether a worker's connections have gone silent.
    pub fn is_unresponsive(&self, name: &Name) -> bool {
        lock(&self.machines)
            .get(name)
            .is_some_and(|machine| machine.faults.unresponsive)
    }

    /// Boots a worker anew: all that it ran is gone.
    pub fn reboot(&self, name: &Name) {
        let mut machines = lock(&self.machines);
        let Some(machine) = machines.get_mut(name) else {
            return;
        };
        let boot = Boot(machine.boot.0 + 1);
        let fresh = Machine::new(machine.worker.clone(), boot);
        let old = std::mem::replace(machine, fresh);
        machine.starts = old.starts;
        old.ends.notify_waiters();
        let mut observations = lock(&self.observations);
        for (task, running) in old.tasks {
            if running.report.phase == Phase::Running {
                observations.leave(&task, &running.report.resources);
            }
        }
    }

    /// Carries out a command on the worker of this name.
    pub async fn handle(&self, name: &Name, command: Command) -> Result<Reply> {
        let (result, lost) = {
            let mut machines = lock(&self.machines);
            let machine = machines
                .get_mut(name)
                .ok_or_else(|| Error::new(Kind::Unreachable, format!("no worker {name}")))?;
            lock(&self.observations).counts.commands += 1;
            if machine.faults.unresponsive {
                (None, true)
            } else {
                let lost = machine.faults.lose_answers > 0;
                machine.faults.lose_answers -= u32::from(lost);
                (Some(self.carry_out(machine, &command)), lost)
            }
        };
        if lost {
            return Err(Error::new(Kind::OutcomeUnknown, "the answer was lost"));
        }
        let Some(result) = result else {
            return Err(Error::new(Kind::OutcomeUnknown, "the worker is silent"));
        };
        let answer = result?;
        match &command.verb {
            Verb::Run(run) if run.wait => self.wait(name, &run.task).await,
            Verb::Renew(renew) => self.wait_for_end(name, command.epoch, renew).await,
            _ => Ok(answer),
        }
    }

    fn carry_out(&self, machine: &mut Machine, command: &Command) -> Result<Reply> {
        if command.epoch < machine.epoch {
            lock(&self.observations).counts.stale += 1;
            let message = format!("the worker has seen epoch {}", machine.epoch.0);
            return Err(Error::new(Kind::StaleEpoch, message));
        }
        if machine.epoch < command.epoch {
            machine.epoch = command.epoch;
            machine.forget_never_started();
        }
        let now = self.timer.now();
        match &command.verb {
            Verb::Claim(lease) => {
                machine.extend_leases(now.after(lease.lease));
                Ok(machine.answer())
            }
            Verb::Run(run) => self.start(machine, command.epoch, run),
            Verb::Renew(renew) => {
                machine.extend_leases(now.after(renew.lease.lease));
                machine.forget(&renew.acknowledged);
                Ok(Reply {
                    boot: machine.boot,
                    tasks: Vec::new(),
                })
            }
            Verb::Checkpoint(task) => machine.answer_one(task),
            Verb::Throttle(throttle) => machine.answer_one(&throttle.task),
            Verb::Stop(attempt) => {
                machine.refuse_later_start(attempt);
                if machine.is_latest(attempt) {
                    self.end(machine, &attempt.task, Phase::Stopped, String::new());
                }
                machine.answer_one(&attempt.task)
            }
        }
    }

    fn start(&self, machine: &mut Machine, epoch: Epoch, run: &Run) -> Result<Reply> {
        let mut observations = lock(&self.observations);
        if run.boot != machine.boot {
            observations.counts.stale += 1;
            return Err(Error::new(Kind::StaleEpoch, "the worker has booted since"));
        }
        let attempt = Attempt {
            task: run.task.clone(),
            epoch,
            number: run.attempt,
        };
        if machine.has_seen(&attempt) {
            // The same command came twice or was stopped before it came.
            return machine.answer_one(&run.task);
        }
        observations.counts.starts += 1;
        observations.check_start(machine, run);
        machine.starts += 1;
        let starts = observations.starts.entry(run.payload.clone()).or_default();
        starts.push(self.timer.now());
        drop(observations);
        let program = Program::parse(&run.payload);
        let running = Running {
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
            told: false,
        };
        machine.tasks.insert(run.task.clone(), running);
        let fail = program.fail || machine.faults.fail_all;
        tokio::spawn(self.clone().play(
            machine.worker.name.clone(),
            machine.boot,
            run.task.clone(),
            Program { fail, ..program },
        ));
        machine.answer_one(&run.task)
    }

    /// Ends a task when its program ends or its lease lapses, whichever is first.
    async fn play(self, name: Name, boot: Boot, task: Task, program: Program) {
        let ends = program.run.map(|run| self.timer.now().after(run));
        loop {
            let now = self.timer.now();
            let wait = {
                let mut machines = lock(&self.machines);
                let Some(machine) = machines.get_mut(&name) else {
                    return;
                };
                let Some(running) = machine.tasks.get(&task) else {
                    return;
                };
                if machine.boot != boot || running.report.phase != Phase::Running {
                    return;
                }
                if ends.is_some_and(|ends| ends <= now) {
                    let phase = if program.fail {
                        Phase::Failed
                    } else {
                        Phase::Succeeded
                    };
                    self.end(machine, &task, phase, program.output);
                    return;
                }
                if running.lease_until <= now {
                    self.end(machine, &task, Phase::Lapsed, String::new());
                    return;
                }
                let until = ends.unwrap_or(running.lease_until).min(running.lease_until);
                until.since(now)
            };
            self.timer.sleep(wait.max(Duration::from_millis(1))).await;
        }
    }

    fn end(&self, machine: &mut Machine, task: &Task, phase: Phase, output: String) {
        let Some(running) = machine.tasks.get_mut(task) else {
            return;
        };
        if running.report.phase != Phase::Running {
            return;
        }
        running.report.phase = phase;
        running.report.output = output;
        running.done.send_replace(true);
        machine.ends.notify_waiters();
        let need = running.report.resources;
        lock(&self.observations).leave(task, &need);
    }

    /// Answers a renewal once there is an end that was not told yet, or the wait is over.
    async fn wait_for_end(&self, name: &Name, epoch: Epoch, renew: &Renew) -> Result<Reply> {
        let gone = || Error::new(Kind::OutcomeUnknown, "the worker is gone");
        let (ends, untold) = {
            let machines = lock(&self.machines);
            let machine = machines.get(name).ok_or_else(gone)?;
            let ends = Arc::clone(&machine.ends).notified_owned();
            (ends, machine.has_untold_end())
        };
        if !untold {
            self.timer.timeout(renew.max_wait, ends).await;
        }
        let mut machines = lock(&self.machines);
        let machine = machines.get_mut(name).ok_or_else(gone)?;
        if machine.faults.unresponsive {
            return Err(Error::new(Kind::OutcomeUnknown, "the worker is silent"));
        }
        if epoch < machine.epoch {
            let message = format!("the worker has seen epoch {}", machine.epoch.0);
            return Err(Error::new(Kind::StaleEpoch, message));
        }
        Ok(machine.answer_renewal(renew.list))
    }

    async fn wait(&self, name: &Name, task: &Task) -> Result<Reply> {
        let gone = || Error::new(Kind::OutcomeUnknown, "the worker has booted since");
        let mut done = lock(&self.machines)
            .get(name)
            .and_then(|machine| machine.tasks.get(task))
            .map(|running| running.done.subscribe())
            .ok_or_else(gone)?;
        done.wait_for(|done| *done).await.map_err(|_| gone())?;
        lock(&self.machines)
            .get(name)
            .ok_or_else(gone)?
            .answer_one(task)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
