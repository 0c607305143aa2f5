//! The state of one stand-in worker.

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

/// A task that runs, that has ended and is not yet acknowledged, or that must not start.
pub(crate) struct TaskRecord {
    pub(crate) report: Report,
    /// When the lease lapses.
    pub(crate) lease_until: Millis,
    /// Set to true when the task ends.
    pub(crate) done: watch::Sender<bool>,
    /// Whether a reply to the owner has reported the end.
    pub(crate) is_reported: bool,
}

/// A stand-in worker.
pub(crate) struct SimulatedWorker {
    pub(crate) info: worker::Worker,
    pub(crate) boot: Boot,
    pub(crate) epoch: Epoch,
    pub(crate) tasks: BTreeMap<Task, TaskRecord>,
    /// The latest attempt of each task that was stopped under this epoch before it had started.
    pub(crate) rejected: BTreeMap<Task, Attempt>,
    /// Notifies the renewals that wait for a task to end.
    pub(crate) ends: Arc<Notify>,
    /// The number of tasks started, over all boots.
    pub(crate) starts: u64,
    pub(crate) faults: FaultSettings,
}

impl SimulatedWorker {
    pub(crate) fn new(info: worker::Worker, boot: Boot) -> Self {
        Self {
            info,
            boot,
            epoch: Epoch(0),
            tasks: BTreeMap::new(),
            rejected: BTreeMap::new(),
            ends: Arc::default(),
            starts: 0,
            faults: FaultSettings::default(),
        }
    }

    pub(crate) fn extend_leases(&mut self, until: Millis) {
        for record in self.tasks.values_mut() {
            record.lease_until = record.lease_until.max(until);
        }
    }

    /// Records an attempt that has not started, so that its start command is ignored if it arrives
    /// later.
    pub(crate) fn reject_later_start(&mut self, attempt: &Attempt) {
        if self.has_seen(attempt) || self.runs(&attempt.task) {
            return;
        }
        let never_started = TaskRecord {
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
            is_reported: true,
        };
        self.tasks.insert(attempt.task.clone(), never_started);
        self.rejected.insert(attempt.task.clone(), attempt.clone());
    }

    /// Drops the records of attempts that never started.
    ///
    /// Called when the epoch rises: start commands for these attempts are then rejected by their
    /// epoch.
    pub(crate) fn forget_never_started(&mut self) {
        self.tasks
            .retain(|_, record| record.report.phase != Phase::NeverStarted);
        self.rejected.clear();
    }

    /// Returns whether this attempt, or a later one of its task, has started or was rejected.
    pub(crate) fn has_seen(&self, attempt: &Attempt) -> bool {
        self.tasks
            .get(&attempt.task)
            .is_some_and(|record| record.report.attempt() >= *attempt)
            || self
                .rejected
                .get(&attempt.task)
                .is_some_and(|rejected| rejected >= attempt)
    }

    /// Returns whether the recorded attempt of the task is this one or an earlier one.
    pub(crate) fn is_latest(&self, attempt: &Attempt) -> bool {
        self.tasks
            .get(&attempt.task)
            .is_some_and(|record| record.report.attempt() <= *attempt)
    }

    pub(crate) fn runs(&self, task: &Task) -> bool {
        self.tasks
            .get(task)
            .is_some_and(|record| record.report.phase == Phase::Running)
    }

    pub(crate) fn forget(&mut self, attempts: &[Attempt]) {
        for attempt in attempts {
            if self.is_latest(attempt) && !self.runs(&attempt.task) {
                self.tasks.remove(&attempt.task);
            }
        }
    }

    pub(crate) fn reply(&self) -> Reply {
        Reply {
            boot: self.boot,
            tasks: self
                .tasks
                .values()
                .map(|record| record.report.clone())
                .collect(),
        }
    }

    pub(crate) fn has_unreported_end(&self) -> bool {
        self.tasks
            .values()
            .any(|record| record.report.phase != Phase::Running && !record.is_reported)
    }

    /// Returns the reply to a renewal: the tasks that have ended and, if `list` is set, those that
    /// run.
    pub(crate) fn renewal_reply(&mut self, list: bool) -> Reply {
        let mut tasks = Vec::new();
        for record in self.tasks.values_mut() {
            let ended = record.report.phase != Phase::Running;
            if ended || list {
                record.is_reported = ended;
                tasks.push(record.report.clone());
            }
        }
        Reply {
            boot: self.boot,
            tasks,
        }
    }

    pub(crate) fn reply_for(&self, task: &Task) -> Result<Reply> {
        let record = self
            .tasks
            .get(task)
            .ok_or_else(|| Error::new(Kind::NotFound, format!("task {task} does not exist")))?;
        Ok(Reply {
            boot: self.boot,
            tasks: vec![record.report.clone()],
        })
    }
}
