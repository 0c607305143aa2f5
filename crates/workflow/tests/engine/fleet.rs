//! Workers that keep the workers' contract, on a manual clock.

use std::collections::BTreeMap;

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_workflow::{
    job::TaskId,
    order::{
        Poll,
        Start,
        Stop, //
    },
    report::{
        self,
        Ended,
        Outcome,
        Running,
        StartResult,
        StopResult, //
    },
};

use crate::util::{
    WORKER_CPU,
    cpu, //
};

/// A run on a worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerRun {
    pub(crate) run: u32,
    pub(crate) begun: Millis,
    pub(crate) ends: Millis,
    pub(crate) outcome: Outcome,
    pub(crate) resources: Resources,
}

/// A worker. Its clock starts at its boot and runs at the speed of the manual clock.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) boot: u64,
    pub(crate) booted: Millis,
    pub(crate) reachable: bool,
    /// Factor by which tasks that start now take longer, in percent.
    pub(crate) slowness: u64,
    /// Processor capacity in thousandths of a core.
    pub(crate) cpu_millis: u64,
    /// Time when a task that it has started crashes it.
    pub(crate) crashes_at: Option<Millis>,
    epoch: u64,
    lease_end: u64,
    pub(crate) running: BTreeMap<TaskId, WorkerRun>,
    highest: BTreeMap<TaskId, u32>,
    pub(crate) ended: Vec<Ended>,
    sequence: u64,
    /// Times of the ends, by their number.
    ended_at: BTreeMap<u64, Millis>,
    /// Latest time at which no lease was valid.
    lapsed_at: Millis,
}

/// Behaviour of a run, given its task and run number: its duration in milliseconds, its outcome and
/// the processor capacity that it uses in thousandths of a core.
pub(crate) type Behaviour = fn(&TaskId, u32) -> (u64, Outcome, u64);

/// Time after its start at which a deadly task crashes its worker.
const CRASH_DELAY: u64 = 10;

/// Number of ends that a worker lists at once.
const LISTED_ENDS: usize = 500;

/// Time for which a crashed worker is down.
pub(crate) const CRASH_TIME: u64 = 3300;

/// A crash of a worker.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) worker: Name,
    /// Boot of the worker.
    pub(crate) boot: u64,
    pub(crate) at: Millis,
    /// Tasks that the worker ran.
    pub(crate) tasks: Vec<TaskId>,
    /// Worker that serves at the address of the crashed one, once it does.
    pub(crate) successor: Option<Name>,
}

/// All workers, and a record of what happened on them.
pub(crate) struct Fleet {
    pub(crate) workers: BTreeMap<Name, Worker>,
    pub(crate) behaviour: Behaviour,
    /// All starts in order: time, task, run number and worker.
    pub(crate) starts: Vec<(Millis, TaskId, u32, Name)>,
    /// Tasks whose completion was acknowledged.
    pub(crate) done: Vec<TaskId>,
    /// Violated invariants.
    pub(crate) violations: Vec<String>,
    /// Whether a task crashes each worker that starts it.
    pub(crate) is_deadly: fn(&TaskId) -> bool,
    /// Checkpoint that all runs report.
    pub(crate) checkpoint: Option<Name>,
    /// Whether a crashed worker returns under its name; otherwise another one takes its address.
    pub(crate) keeps_name: bool,
    /// All crashes in order.
    pub(crate) crashes: Vec<Crash>,
}

impl Fleet {
    pub(crate) fn new(names: &[&str], behaviour: Behaviour) -> Self {
        let workers = names.iter().map(|name| ((*name).into(), Worker::new(1)));
        Self {
            workers: workers.collect(),
            behaviour,
            starts: Vec::new(),
            done: Vec::new(),
            violations: Vec::new(),
            is_deadly: |_| false,
            checkpoint: None,
            keeps_name: false,
            crashes: Vec::new(),
        }
    }

    /// Crashes a worker, which loses all that it has and returns [`CRASH_TIME`] later.
    pub(crate) fn crash(&mut self, name: &Name, now: Millis) {
        let Some(worker) = self.workers.remove(name) else {
            return;
        };
        self.crashes.push(Crash {
            worker: name.clone(),
            boot: worker.boot,
            at: now,
            tasks: worker.running.into_keys().collect(),
            successor: None,
        });
    }

    /// Boots the crashed workers that are due. Returns the names of the new workers.
    pub(crate) fn boot_due(&mut self, now: Millis) -> Vec<Name> {
        let mut booted = Vec::new();
        for (index, crash) in self.crashes.iter_mut().enumerate() {
            if crash.successor.is_some() || now.since(crash.at).as_millis() < CRASH_TIME.into() {
                continue;
            }
            let name: Name = if self.keeps_name {
                crash.worker.clone()
            } else {
                format!("{}-{index}", crash.worker).into()
            };
            let mut worker = Worker::new(index as u64 + 2);
            worker.booted = now;
            self.workers.insert(name.clone(), worker);
            crash.successor = Some(name.clone());
            booted.push(name);
        }
        booted
    }

    /// Returns whether another worker serves at the address of a crashed one.
    pub(crate) fn is_replaced(&self, name: &Name) -> bool {
        let crashes = self.crashes.iter();
        let mut of_worker = crashes.filter(|crash| crash.worker == *name);
        !self.workers.contains_key(name) && of_worker.any(|crash| crash.successor.is_some())
    }

    /// Returns the worker that runs a task.
    pub(crate) fn worker_of(&self, task: &TaskId) -> Option<Name> {
        let mut workers = self.workers.iter();
        let found = workers.find(|(_, worker)| worker.running.contains_key(task));
        found.map(|(name, _)| name.clone())
    }

    /// Returns how many workers have crashed under a task.
    pub(crate) fn crashes_under(&self, task: &TaskId) -> usize {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| crash.tasks.contains(task)).count()
    }

    fn worker(&mut self, name: &Name) -> &mut Worker {
        self.workers.get_mut(name).expect("the test made it")
    }

    /// Advances all workers to `now`.
    pub(crate) fn advance(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            worker.advance(now);
        }
        let crashing = self.workers.iter();
        let crashing = crashing.filter(|(_, worker)| worker.crashes_at.is_some_and(|at| at <= now));
        let crashing: Vec<Name> = crashing.map(|(name, _)| name.clone()).collect();
        for name in crashing {
            self.crash(&name, now);
        }
    }

    /// Reboots a worker, which loses its runs. Returns the new boot.
    pub(crate) fn reboot(&mut self, name: &Name, now: Millis) -> u64 {
        let worker = self.worker(name);
        let boot = worker.boot + 1;
        *worker = Worker::new(boot);
        worker.booted = now;
        boot
    }

    pub(crate) fn poll(
        &mut self,
        epoch: u64,
        poll: &Poll,
        now: Millis,
    ) -> Option<report::Inventory> {
        let worker = self.workers.get_mut(&poll.target.name)?;
        worker.advance(now);
        if epoch < worker.epoch {
            return None;
        }
        worker.epoch = epoch;
        // The client holds back what was meant for an earlier boot.
        let (lease_end, acknowledged_up_to) = match poll.boot == Some(worker.boot) {
            true => (poll.lease_end, poll.acknowledged),
            false => (None, 0),
        };
        worker.extend(lease_end, now);
        let acknowledged = worker
            .ended
            .iter()
            .filter(|end| end.sequence <= acknowledged_up_to);
        // An end counts only if the worker has held a lease since.
        let done = acknowledged.filter(|end| {
            end.outcome == Outcome::Done && worker.lapsed_at < worker.ended_at[&end.sequence]
        });
        for end in done {
            let ended_at = worker.ended_at[&end.sequence];
            let later = self.starts.iter().find(|(at, task, run, name)| {
                *at > ended_at && *task == end.task && (*run, name) != (end.run, &poll.target.name)
            });
            if let Some((_, task, run, name)) = later {
                self.violations
                    .push(format!("{task} was done before run {run} on {name}"));
            }
            self.done.push(end.task.clone());
        }
        worker.ended.retain(|end| end.sequence > acknowledged_up_to);
        Some(report::Inventory {
            boot: worker.boot,
            clock: now.since(worker.booted).as_millis() as u64,
            running: worker
                .running
                .iter()
                .map(|(task, run)| Running {
                    task: task.clone(),
                    run: run.run,
                    checkpoint: self.checkpoint.clone(),
                    percent: run.percent(now),
                    measurement: 0.0,
                })
                .collect(),
            ended: worker.ended.iter().take(LISTED_ENDS).cloned().collect(),
        })
    }

    pub(crate) fn start(&mut self, epoch: u64, order: &Start, now: Millis) -> StartResult {
        let (duration, outcome, cpu_millis) = (self.behaviour)(&order.task, order.run);
        let elsewhere: Vec<Name> = self
            .workers
            .iter()
            .filter(|(name, worker)| {
                **name != order.target.name && worker.running.contains_key(&order.task)
            })
            .map(|(name, _)| name.clone())
            .collect();
        let is_done = self.done.contains(&order.task);
        let is_deadly = (self.is_deadly)(&order.task);
        let worker = self.worker(&order.target.name);
        worker.advance(now);
        if epoch < worker.epoch {
            return StartResult::Fenced;
        }
        worker.epoch = epoch;
        // The client holds back what was meant for an earlier boot.
        if order.boot != worker.boot {
            return StartResult::Unsent;
        }
        worker.extend(Some(order.lease_end), now);
        if order.lease_end <= now.since(worker.booted).as_millis() as u64 {
            return StartResult::Late;
        }
        if worker.running.get(&order.task).map(|run| run.run) == Some(order.run) {
            return StartResult::Running;
        }
        let highest = worker.highest.get(&order.task).copied().unwrap_or(0);
        if order.run <= highest {
            return StartResult::Old;
        }
        worker.highest.insert(order.task.clone(), order.run);
        worker.running.insert(
            order.task.clone(),
            WorkerRun {
                run: order.run,
                begun: now,
                ends: Millis(now.0 + duration * worker.slowness / 100),
                outcome,
                resources: cpu(cpu_millis),
            },
        );
        if is_deadly {
            worker.crashes_at.get_or_insert(Millis(now.0 + CRASH_DELAY));
        }
        let capacity = worker.cpu_millis;
        let used: u64 = worker
            .running
            .values()
            .map(|run| run.resources.cpu_millis)
            .sum();
        let (task, name) = (order.task.clone(), order.target.name.clone());
        self.starts.push((now, task, order.run, name.clone()));
        if !elsewhere.is_empty() {
            self.violations.push(format!(
                "{} runs on {name} and on {elsewhere:?}",
                order.task
            ));
        }
        if is_done {
            self.violations
                .push(format!("{} was done before", order.task));
        }
        if used > capacity {
            self.violations.push(format!("{name} runs {used}"));
        }
        StartResult::Running
    }

    pub(crate) fn stop(&mut self, epoch: u64, order: &Stop, now: Millis) -> StopResult {
        let worker = self.worker(&order.target.name);
        worker.advance(now);
        if epoch < worker.epoch {
            return StopResult::Fenced;
        }
        worker.epoch = epoch;
        let highest = worker.highest.entry(order.task.clone()).or_default();
        *highest = (*highest).max(order.run);
        if let Some(run) = worker.running.get_mut(&order.task)
            && run.run == order.run
        {
            run.ends = run.ends.min(Millis(now.0 + 300));
            run.outcome = Outcome::Stopped;
        }
        StopResult::Taken
    }
}

impl WorkerRun {
    fn percent(&self, now: Millis) -> f64 {
        let duration = self.ends.since(self.begun).as_millis().max(1) as f64;
        (now.since(self.begun).as_millis() as f64 / duration * 100.0).min(99.0)
    }
}

impl Worker {
    pub(crate) fn new(boot: u64) -> Self {
        Self {
            boot,
            booted: Millis(0),
            reachable: true,
            slowness: 100,
            cpu_millis: WORKER_CPU,
            crashes_at: None,
            epoch: 0,
            lease_end: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            sequence: 0,
            ended_at: BTreeMap::new(),
            lapsed_at: Millis(0),
        }
    }

    fn extend(&mut self, lease_end: Option<u64>, now: Millis) {
        let clock = now.since(self.booted).as_millis() as u64;
        let lease_end = lease_end.unwrap_or(0).min(clock + 6000);
        self.lease_end = self.lease_end.max(lease_end);
    }

    fn advance(&mut self, now: Millis) {
        let clock = now.since(self.booted).as_millis() as u64;
        let lapsed = clock >= self.lease_end;
        if lapsed {
            self.lapsed_at = now;
        }
        let ended_tasks: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.ends <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in ended_tasks {
            let Some(run) = self.running.remove(&task) else {
                continue;
            };
            let in_time = run.ends <= Millis(self.booted.0 + self.lease_end);
            let outcome = if in_time {
                run.outcome
            } else {
                Outcome::Lapsed
            };
            self.sequence += 1;
            self.ended_at.insert(self.sequence, now.min(run.ends));
            self.ended.push(Ended {
                sequence: self.sequence,
                task,
                run: run.run,
                outcome,
                checkpoint: None,
            });
        }
    }
}
