//! Workers that keep the promises of the workers' contract, on a manual clock.

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
pub(crate) struct HeldRun {
    pub(crate) run: u32,
    pub(crate) begun: Millis,
    pub(crate) ends: Millis,
    pub(crate) outcome: Outcome,
    pub(crate) room: Resources,
}

/// One worker; its clock runs like the test's.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) boot: u64,
    pub(crate) booted: Millis,
    pub(crate) reachable: bool,
    epoch: u64,
    until: u64,
    pub(crate) running: BTreeMap<TaskId, HeldRun>,
    highest: BTreeMap<TaskId, u32>,
    pub(crate) ended: Vec<Ended>,
    number: u64,
}

/// What a run does: how long it takes, how it ends and what it takes up.
pub(crate) type Behaviour = fn(&TaskId, u32) -> (u64, Outcome, u64);

/// All workers, and what they saw.
pub(crate) struct Fleet {
    pub(crate) workers: BTreeMap<Name, Worker>,
    pub(crate) behaviour: Behaviour,
    /// Every start, in order, with its moment.
    pub(crate) starts: Vec<(Millis, TaskId, u32, Name)>,
    /// Tasks with an end that is done and that was acknowledged.
    pub(crate) done: Vec<TaskId>,
    /// What must not have happened.
    pub(crate) violations: Vec<String>,
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
        }
    }

    fn worker(&mut self, name: &Name) -> &mut Worker {
        self.workers.get_mut(name).expect("the test made it")
    }

    /// Lets time pass on all workers.
    pub(crate) fn advance(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            worker.advance(now);
        }
    }

    /// Kills what a worker runs and lets it boot again.
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
        worker.extend(poll.lease_end, now);
        let forgotten = worker
            .ended
            .iter()
            .filter(|end| end.sequence <= poll.acknowledged);
        let done = forgotten.filter(|end| end.outcome == Outcome::Done);
        self.done.extend(done.map(|end| end.task.clone()));
        worker.ended.retain(|end| end.sequence > poll.acknowledged);
        Some(report::Inventory {
            boot: worker.boot,
            clock: now.since(worker.booted).as_millis() as u64,
            running: worker
                .running
                .iter()
                .map(|(task, held)| Running {
                    task: task.clone(),
                    run: held.run,
                    checkpoint: None,
                    percent: held.percent(now),
                    measurement: 0.0,
                })
                .collect(),
            ended: worker.ended.clone(),
        })
    }

    pub(crate) fn start(&mut self, epoch: u64, order: &Start, now: Millis) -> StartResult {
        let (takes, outcome, room) = (self.behaviour)(&order.task, order.run);
        let elsewhere: Vec<Name> = self
            .workers
            .iter()
            .filter(|(name, worker)| {
                **name != order.target.name && worker.running.contains_key(&order.task)
            })
            .map(|(name, _)| name.clone())
            .collect();
        let is_done = self.done.contains(&order.task);
        let worker = self.worker(&order.target.name);
        worker.advance(now);
        if epoch < worker.epoch {
            return StartResult::Fenced;
        }
        worker.epoch = epoch;
        worker.extend(Some(order.lease_end), now);
        if order.lease_end <= now.since(worker.booted).as_millis() as u64 {
            return StartResult::Late;
        }
        if worker.running.get(&order.task).map(|held| held.run) == Some(order.run) {
            return StartResult::Running;
        }
        let highest = worker.highest.get(&order.task).copied().unwrap_or(0);
        if order.run <= highest {
            return StartResult::Old;
        }
        worker.highest.insert(order.task.clone(), order.run);
        worker.running.insert(
            order.task.clone(),
            HeldRun {
                run: order.run,
                begun: now,
                ends: Millis(now.0 + takes),
                outcome,
                room: cpu(room),
            },
        );
        let used: u64 = worker
            .running
            .values()
            .map(|held| held.room.cpu_millis)
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
        if used > WORKER_CPU {
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
        if let Some(held) = worker.running.get_mut(&order.task)
            && held.run == order.run
        {
            held.ends = held.ends.min(Millis(now.0 + 300));
            held.outcome = Outcome::Stopped;
        }
        StopResult::Taken
    }
}

impl HeldRun {
    fn percent(&self, now: Millis) -> f64 {
        let whole = self.ends.since(self.begun).as_millis().max(1) as f64;
        (now.since(self.begun).as_millis() as f64 / whole * 100.0).min(99.0)
    }
}

impl Worker {
    fn new(boot: u64) -> Self {
        Self {
            boot,
            booted: Millis(0),
            reachable: true,
            epoch: 0,
            until: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
        }
    }

    fn extend(&mut self, until: Option<u64>, now: Millis) {
        let clock = now.since(self.booted).as_millis() as u64;
        let until = until.unwrap_or(0).min(clock + 6000);
        self.until = self.until.max(until);
    }

    fn advance(&mut self, now: Millis) {
        let clock = now.since(self.booted).as_millis() as u64;
        let lapsed = clock >= self.until;
        let over: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, held)| lapsed || held.ends <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in over {
            let Some(held) = self.running.remove(&task) else {
                continue;
            };
            let in_time = held.ends <= Millis(self.booted.0 + self.until);
            let outcome = if in_time {
                held.outcome
            } else {
                Outcome::Lapsed
            };
            self.number += 1;
            self.ended.push(Ended {
                sequence: self.number,
                task,
                run: held.run,
                outcome,
                checkpoint: None,
            });
        }
    }
}
