//! What waits for a start or for the answer of a worker, for operators.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::{
    engine::Engine,
    rank::Band, //
};

/// The stages of one queue that have tasks to start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Number of stages.
    pub stages: usize,
    /// Number of them of which other tasks have run or are running.
    pub begun: usize,
    /// Number of them whose jobs can't be on time.
    pub late: usize,
    /// Number of tasks to start.
    pub tasks: usize,
    /// Time for which the first of these tasks has waited.
    pub longest: Duration,
}

/// What waits in a cell.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Load {
    /// The stages that wait, by queue.
    pub queues: BTreeMap<Name, Waiting>,
    /// Number of runs whose start is not answered.
    pub unanswered: usize,
    /// Number of runs that are to stop.
    pub stopping: usize,
    /// Number of workers that did not answer the last poll.
    pub silent: usize,
}

impl Engine {
    /// Returns what waits at `now`.
    pub fn load(&self, now: Millis) -> Load {
        let mut load = Load::default();
        for (key, worker) in &self.workers {
            let summary = self.summary(key);
            load.silent += usize::from(worker.unresponsive);
            load.unanswered += summary.unanswered;
            load.stopping += summary.stopping_count;
        }
        for ready in self.ready_stages(true, now) {
            let job = &self.jobs[ready.job];
            let stage = &job.stages[ready.stage];
            let waiting_tasks = stage.tasks.iter().filter(|task| task.is_waiting());
            let since = waiting_tasks.map(|task| task.waiting_since).min();
            let tasks = stage.waiting_count();
            let waiting = load.queues.entry(job.accepted.queue.clone()).or_default();
            waiting.stages += 1;
            waiting.begun += usize::from(tasks < stage.tasks.len());
            waiting.late += usize::from(ready.rank.band > Band::OnTime);
            waiting.tasks += tasks;
            waiting.longest = waiting
                .longest
                .max(since.map_or(Duration::ZERO, |since| now.since(since)));
        }
        load
    }
}
