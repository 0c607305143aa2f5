//! What the stand-in workers of a process have observed together.

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

use crate::simulated_worker::SimulatedWorker;

/// Violations of the scheduler's guarantees, as observed by the workers.
#[data]
#[derive(Copy, Eq, Default)]
pub struct Violations {
    /// Starts that exceeded the capacity or the slots of the worker.
    pub over_capacity: u64,
    /// Starts of a task that was already running on some worker.
    pub double_runs: u64,
    /// Repeated starts of a task that is not repeatable.
    pub repeated: u64,
}

/// Counters of the workers.
#[data]
#[derive(Copy, Eq, Default)]
pub struct Counts {
    /// Started tasks.
    pub starts: u64,
    /// Commands that were refused because of an old epoch or another boot.
    pub stale: u64,
    /// Received commands.
    pub commands: u64,
    /// The maximum resources of all running tasks at one time, over all workers.
    pub peak: Resources,
}

/// The shared record of all workers of a process.
#[derive(Default)]
pub(crate) struct Observations {
    /// The number of running instances of each task.
    pub(crate) running: HashMap<Task, u32>,
    pub(crate) ever_started: HashSet<Task>,
    /// The start times of tasks, by payload.
    pub(crate) starts: HashMap<String, Vec<Millis>>,
    pub(crate) violations: Violations,
    pub(crate) counts: Counts,
    /// The resources of all running tasks.
    pub(crate) used: Resources,
}

impl Observations {
    /// Records the start of a task and counts the violations that it makes.
    pub(crate) fn record_start(&mut self, worker: &SimulatedWorker, run: &Run) {
        let running = worker
            .tasks
            .values()
            .filter(|running| running.report.phase == Phase::Running);
        let (count, used) = running.fold((0, run.resources), |(count, used), running| {
            (count + 1, used.plus(&running.report.resources))
        });
        if count >= worker.info.slots || !used.fits(&worker.info.capacity) {
            self.violations.over_capacity += 1;
        }
        self.used = self.used.plus(&run.resources);
        self.counts.peak = self.counts.peak.max(&self.used);
        let instances = self.running.entry(run.task.clone()).or_default();
        *instances += 1;
        if *instances > 1 {
            self.violations.double_runs += 1;
        }
        let first = self.ever_started.insert(run.task.clone());
        if !first && !run.repeatable {
            self.violations.repeated += 1;
        }
    }

    /// Records that an instance of a task no longer runs.
    pub(crate) fn record_end(&mut self, task: &Task, resources: &Resources) {
        self.used = self.used.minus(resources);
        if let Some(instances) = self.running.get_mut(task) {
            *instances -= 1;
            if *instances == 0 {
                self.running.remove(task);
            }
        }
    }
}
