//! One occurrence of a step, and its tasks.

use std::collections::BTreeSet;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use slotmap::SecondaryMap;

use crate::{
    crash,
    progress::{
        self,
        Placement, //
    },
    worker, //
};

/// Permission to run a step on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket {
    /// Token that the worker is shown.
    pub token: Name,
    /// Boot of the worker that the ticket is valid for.
    pub boot: u64,
    /// End of the validity.
    pub valid_until: Millis,
}

/// Decision of the advice service about a worker. It does not change, but tickets expire.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The worker may run the step with this ticket.
    Good(Ticket),
    /// The worker may not run the step.
    Bad,
}

/// A task and its latest run.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Highest run number that was ordered or reported.
    pub run: u32,
    /// Worker that has this run, or may have it.
    pub worker: Option<worker::Key>,
    /// Whether a run has completed the task.
    pub done: bool,
    /// Numbers of the failed runs. Workers may report them in any order and repeatedly.
    pub failed_runs: BTreeSet<u32>,
    /// Newest checkpoint.
    pub checkpoint: Option<Name>,
    /// Number of the run that reported the checkpoint.
    pub checkpoint_run: u32,
    /// Time since when the task waits for a worker.
    pub waiting_since: Millis,
    /// Workers on which a run of the task has failed.
    pub failed_workers: Vec<worker::Key>,
    /// Crashes of its workers.
    pub history: crash::History,
    /// Whether a worker that does not answer may run it, by a record of an earlier owner.
    pub held: bool,
    /// Latest start of a long-running task, unless that run is known to have ended.
    pub start: Option<Placement>,
}

impl Task {
    /// Returns whether the task has to be started.
    pub fn is_waiting(&self) -> bool {
        self.is_unplaced() && !self.held
    }

    /// Returns whether the task is not done and no worker is known to run it.
    pub fn is_unplaced(&self) -> bool {
        !self.done && self.worker.is_none()
    }

    /// Returns the progress to store, or `None` if there is none.
    fn progress(&self) -> Option<progress::Task> {
        let stored = progress::Task {
            failed: self.failed_runs.iter().copied().collect(),
            checkpoint: self.checkpoint.clone(),
            crashes: self.history.crashes.clone(),
            placement: self.history.placement.clone(),
            start: self.start.clone(),
        };
        (stored != progress::Task::default()).then_some(stored)
    }

    /// Applies the progress that an earlier owner has stored.
    fn restore(&mut self, stored: &progress::Task) {
        self.failed_runs = stored.failed.iter().copied().collect();
        self.checkpoint = stored.checkpoint.clone();
        self.history = crash::History {
            crashes: stored.crashes.clone(),
            placement: stored.placement.clone(),
            record: crash::Record::Inherited,
        };
        self.start = stored.start.clone();
        self.run = stored.start.as_ref().map_or(0, |start| start.run);
    }
}

/// One occurrence of a step.
#[derive(Debug, Clone, Default)]
pub struct Stage {
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: usize,
    /// Time when the occurrence is due; zero stands for at once.
    pub due: Millis,
    /// Tasks by index.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Decisions of the advice service about workers. A pass visits them for each waiting stage, so
    /// the map is indexed by slot instead of hashed.
    pub verdicts: SecondaryMap<worker::Key, Verdict>,
    /// Workers in the pending request for advice; empty if there is none.
    pub pending_advice: Vec<worker::Key>,
    /// Earliest time of the next request for advice.
    pub next_request_at: Millis,
    /// Time until which the last of its tickets is valid.
    pub tickets_until: Millis,
    /// Whether advice has been requested.
    pub advised: bool,
    /// Time since when a request for advice waits for a VM that makes the call.
    pub deferred_since: Option<Millis>,
}

impl Stage {
    /// Creates a stage of `count` tasks that have not run.
    pub fn new(occurrence: u32, step: usize, count: u32, due: Millis, now: Millis) -> Self {
        let task = Task {
            waiting_since: now,
            ..Task::default()
        };
        Self {
            occurrence,
            step,
            due,
            tasks: vec![task; count as usize],
            ..Self::default()
        }
    }

    /// Returns whether all tasks are done.
    pub fn is_complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns the number of tasks that have to be started.
    pub fn waiting_count(&self) -> usize {
        self.tasks.iter().filter(|task| task.is_waiting()).count()
    }

    /// Marks a task as done.
    pub fn finish(&mut self, index: usize) {
        let task = &mut self.tasks[index];
        if !task.done {
            task.done = true;
            self.done += 1;
        }
    }

    /// Returns the ticket for this boot of `worker`, if it is valid at `now`.
    pub fn ticket(&self, worker: worker::Key, boot: u64, now: Millis) -> Option<&Ticket> {
        match self.verdicts.get(worker)? {
            Verdict::Good(ticket) => {
                (ticket.boot == boot && ticket.valid_until > now).then_some(ticket)
            }
            Verdict::Bad => None,
        }
    }

    /// Invalidates the ticket for a worker that rejected it, so that a new one is requested.
    pub fn expire_ticket(&mut self, worker: worker::Key) {
        if let Some(Verdict::Good(ticket)) = self.verdicts.get_mut(worker) {
            ticket.valid_until = Millis(0);
        }
    }

    /// Returns the progress to store, or `None` if there is none.
    pub fn progress(&self) -> Option<progress::Stage> {
        if self.is_complete() {
            return Some(progress::Stage {
                complete: true,
                ..progress::Stage::default()
            });
        }
        let mut stored = progress::Stage::default();
        for (index, task) in (0_u32..).zip(&self.tasks) {
            if task.done {
                stored.done.push(index);
            } else if let Some(entry) = task.progress() {
                stored.tasks.insert(index, entry);
            }
        }
        (stored != progress::Stage::default()).then_some(stored)
    }

    /// Applies the stored progress.
    pub fn restore(&mut self, stored: &progress::Stage) {
        for index in 0..self.tasks.len() {
            if stored.complete || stored.done.contains(&(index as u32)) {
                self.finish(index);
            }
        }
        for (index, entry) in &stored.tasks {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.restore(entry);
            }
        }
    }
}
