//! One stand-in worker and what it remembers.

use std::{
    collections::BTreeMap,
    sync::Arc, //
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
        Task, //
    },
    unit::{
        Millis,
        Resources, //
    },
    worker,
};
use basilbridge_endpoints::command::{
    Attempt,
    Phase,
    Reply,
    Report, //
};
use tokio::sync::{
    Notify,
    watch, //
};

use crate::worker::FaultSettings;

/// A task that runs, or has ended and is not acknowledged.
pub(crate) struct Running {
    pub(crate) report: Report,
    pub(crate) lease_until: Millis,
    pub(crate) done: watch::Sender<bool>,
    /// Whether an answer to the owner has told of the end.
    pub(crate) told: bool,
}

/// A stand-in worker.
pub(crate) struct Machine {
    pub(crate) worker: worker::Worker,
    pub(crate) boot: Boot,
    pub(crate) epoch: Epoch,
    pub(crate) tasks: BTreeMap<Task, Running>,
    /// The latest attempt of each task that was stopped before it had started under this epoch.
    pub(crate) refused: BTreeMap<Task, Attempt>,
    /// Wakes the renewals that wait for an end.
    pub(crate) ends: Arc<Notify>,
    /// Counts the tasks that were started, on all boots.
    pub(crate) starts: u64,
    pub(crate) faults: FaultSettings,
}

impl Machine {
    pub(crate) fn new(worker: worker::Worker, boot: Boot) -> Self {
        Self {
            worker,
            boot,
            epoch: Epoch(0),
            tasks: BTreeMap::new(),
            refused: BTreeMap::new(),
            ends: Arc::default(),
            starts: 0,
            faults: FaultSettings::default(),
        }
    }

    pub(crate) fn extend_leases(&mut self, until: Millis) {
        for running in self.tasks.values_mut() {
            running.lease_until = running.lease_until.max(until);
        }
    }

    /// Notes an attempt that never started, so that a start still under way is not carried out.
    pub(crate) fn refuse_later_start(&mut self, attempt: &Attempt) {
        if self.has_seen(attempt) || self.runs(&attempt.task) {
            return;
        }
        let never_started = Running {
            report: Report {
                task: attempt.task.clone(),
                phase: Phase::NeverStarted,
                resources: Resources::default(),
                usage: Resources::default(),
                output: String::new(),
                epoch: attempt.epoch,
                attempt: attempt.number,
            },
            lease_until: Millis::default(),
            done: watch::Sender::new(true),
            told: true,
        };
        self.tasks.insert(attempt.task.clone(), never_started);
        self.refused.insert(attempt.task.clone(), attempt.clone());
    }

    /// Drops the notes of attempts that the epoch alone now keeps from starting.
    pub(crate) fn forget_never_started(&mut self) {
        self.tasks
            .retain(|_, running| running.report.phase != Phase::NeverStarted);
        self.refused.clear();
    }

    pub(crate) fn has_seen(&self, attempt: &Attempt) -> bool {
        self.tasks
            .get(&attempt.task)
            .is_some_and(|running| running.report.attempt() >= *attempt)
            || self
                .refused
                .get(&attempt.task)
                .is_some_and(|refused| refused >= attempt)
    }

    pub(crate) fn is_latest(&self, attempt: &Attempt) -> bool {
        self.tasks
            .get(&attempt.task)
            .is_some_and(|running| running.report.attempt() <= *attempt)
    }

    pub(crate) fn runs(&self, task: &Task) -> bool {
        self.tasks
            .get(task)
            .is_some_and(|running| running.report.phase == Phase::Running)
    }

    pub(crate) fn forget(&mut self, attempts: &[Attempt]) {
        for attempt in attempts {
            if self.is_latest(attempt) && !self.runs(&attempt.task) {
                self.tasks.remove(&attempt.task);
            }
        }
    }

    pub(crate) fn answer(&self) -> Reply {
        Reply {
            boot: self.boot,
            tasks: self
                .tasks
                .values()
                .map(|running| running.report.clone())
                .collect(),
        }
    }

    pub(crate) fn has_untold_end(&self) -> bool {
        self.tasks
            .values()
            .any(|running| running.report.phase != Phase::Running && !running.told)
    }

    /// Tells of the tasks that have ended, and of those that run where `list` asks for them.
    pub(crate) fn answer_renewal(&mut self, list: bool) -> Reply {
        let mut tasks = Vec::new();
        for running in self.tasks.values_mut() {
            let ended = running.report.phase != Phase::Running;
            if ended || list {
                running.told = ended;
                tasks.push(running.report.clone());
            }
        }
        Reply {
            boot: self.boot,
            tasks,
        }
    }

    pub(crate) fn answer_one(&self, task: &Task) -> Result<Reply> {
        let running = self
            .tasks
            .get(task)
            .ok_or_else(|| Error::new(Kind::NotFound, format!("no task {task}")))?;
        Ok(Reply {
            boot: self.boot,
            tasks: vec![running.report.clone()],
        })
    }
}
