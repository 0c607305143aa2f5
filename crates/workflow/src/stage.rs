//! One occurrence of a step, and its tasks.

use std::collections::BTreeSet;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use slotmap::SecondaryMap;

use crate::{
    progress,
    worker, //
};

/// A permission to run a step on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket {
    /// What the worker is shown.
    pub text: Name,
    /// The boot of the worker for which it holds.
    pub boot: u64,
    /// When it ends.
    pub until: Millis,
}

/// What the advice service has said of a worker; it does not change, only tickets end.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The worker may run the step, with this ticket.
    Good(Ticket),
    /// The worker may not.
    Bad,
}

/// A task and its latest run.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// The highest run that was ordered or seen.
    pub run: u32,
    /// Where that run is, or may be.
    pub placed: Option<worker::Key>,
    /// Whether a run has ended well.
    pub done: bool,
    /// The runs that failed; workers may tell of them in any order, and more than once.
    pub failed: BTreeSet<u32>,
    /// The newest checkpoint.
    pub checkpoint: Option<Name>,
    /// The run that told the checkpoint.
    pub checkpoint_run: u32,
    /// Since when the task waits for a worker.
    pub waiting: Millis,
    /// Workers on which a run of this task failed.
    pub failed_on: Vec<worker::Key>,
}

impl Task {
    /// Says whether the task has to be started.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.placed.is_none()
    }
}

/// One occurrence of a step.
#[derive(Debug, Clone, Default)]
pub struct Stage {
    /// The number of the occurrence.
    pub occurrence: u32,
    /// The number of the step.
    pub step: usize,
    /// When it is due; zero stands for at once.
    pub due: Millis,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// How many tasks are done.
    pub done: u32,
    /// What the advice service has said of workers. A pass goes through these for each stage that
    /// waits, so they are found by their place instead of a hash.
    pub verdicts: SecondaryMap<worker::Key, Verdict>,
    /// The workers that the advice service is asked about now.
    pub asked: Vec<worker::Key>,
    /// When the advice service may be asked again.
    pub ask_after: Millis,
}

impl Stage {
    /// Makes a stage of `count` tasks of which none has run.
    pub fn new(occurrence: u32, step: usize, count: u32, due: Millis, now: Millis) -> Self {
        let task = Task {
            waiting: now,
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

    /// Says whether all tasks are done.
    pub fn is_complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns how many tasks have to be started.
    pub fn waiting(&self) -> usize {
        self.tasks.iter().filter(|task| task.is_waiting()).count()
    }

    /// Takes note that a task is done.
    pub fn finish(&mut self, index: usize) {
        let task = &mut self.tasks[index];
        if !task.done {
            task.done = true;
            self.done += 1;
        }
    }

    /// Returns the ticket for `worker` in its boot, if it still holds at `now`.
    pub fn ticket(&self, worker: worker::Key, boot: u64, now: Millis) -> Option<&Ticket> {
        match self.verdicts.get(worker)? {
            Verdict::Good(ticket) => (ticket.boot == boot && ticket.until > now).then_some(ticket),
            Verdict::Bad => None,
        }
    }

    /// Takes note that a worker did not take its ticket, so that it is asked about again.
    pub fn end_ticket(&mut self, worker: worker::Key) {
        if let Some(Verdict::Good(ticket)) = self.verdicts.get_mut(worker) {
            ticket.until = Millis(0);
        }
    }

    /// Returns what is stored of the stage, if anything is to be.
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
            } else if !task.failed.is_empty() || task.checkpoint.is_some() {
                let entry = progress::Task {
                    failed: task.failed.iter().copied().collect(),
                    checkpoint: task.checkpoint.clone(),
                };
                stored.tasks.insert(index, entry);
            }
        }
        (stored != progress::Stage::default()).then_some(stored)
    }

    /// Takes in what was stored of the stage.
    pub fn restore(&mut self, stored: &progress::Stage) {
        for index in 0..self.tasks.len() {
            if stored.complete || stored.done.contains(&(index as u32)) {
                self.finish(index);
            }
        }
        for (index, entry) in &stored.tasks {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.failed = entry.failed.iter().copied().collect();
                task.checkpoint = entry.checkpoint.clone();
            }
        }
    }
}
