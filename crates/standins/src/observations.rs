//! What all stand-in workers of a process saw together.

use std::collections::{
    HashMap,
    HashSet, //
};

use basilbridge_common::{
    id::Task,
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_derives::data;
use basilbridge_endpoints::command::{
    Phase,
    Run, //
};

use crate::machine::Machine;

/// What must never happen, as the workers saw it.
#[data]
#[derive(Copy, Eq, Default)]
pub struct Violations {
    /// Starts that went over the worker's size or slots.
    pub over_capacity: u64,
    /// Starts of a task that ran in another place at that time.
    pub double_runs: u64,
    /// Second starts of a task that must not be repeated.
    pub repeated: u64,
}

/// What the workers have counted.
#[data]
#[derive(Copy, Eq, Default)]
pub struct Counts {
    /// Tasks that were started.
    pub starts: u64,
    /// Commands that were refused for their epoch or boot.
    pub stale: u64,
    /// Commands that came in.
    pub commands: u64,
    /// The most that tasks had at once, on all workers together.
    pub peak: Resources,
}

/// What all workers of a process saw together.
#[derive(Default)]
pub(crate) struct Observations {
    pub(crate) running: HashMap<Task, u32>,
    pub(crate) started_once: HashSet<Task>,
    /// When tasks were started, by their payloads.
    pub(crate) starts: HashMap<String, Vec<Millis>>,
    pub(crate) violations: Violations,
    pub(crate) counts: Counts,
    pub(crate) used: Resources,
}

impl Observations {
    pub(crate) fn check_start(&mut self, machine: &Machine, run: &Run) {
        let running = machine
            .tasks
            .values()
            .filter(|running| running.report.phase == Phase::Running);
        let (count, used) = running.fold((0, run.resources), |(count, used), running| {
            (count + 1, used.plus(&running.report.resources))
        });
        if count >= machine.worker.slots || !used.fits(&machine.worker.capacity) {
            self.violations.over_capacity += 1;
        }
        self.used = self.used.plus(&run.resources);
        self.counts.peak = self.counts.peak.max(&self.used);
        let places = self.running.entry(run.task.clone()).or_default();
        *places += 1;
        if *places > 1 {
            self.violations.double_runs += 1;
        }
        let first = self.started_once.insert(run.task.clone());
        if !first && !run.repeatable {
            self.violations.repeated += 1;
        }
    }

    pub(crate) fn leave(&mut self, task: &Task, need: &Resources) {
        self.used = self.used.minus(need);
        if let Some(places) = self.running.get_mut(task) {
            *places -= 1;
            if *places == 0 {
                self.running.remove(task);
            }
        }
    }
}
