//! Tasks as the scheduler tracks them.

use std::time::Duration;

use basilbridge_common::{
    id::{
        self,
        Name, //
    },
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
};
use slotmap::new_key_type;

use crate::{
    placement,
    queue::QueueKey,
    reservation,
    share, //
};

new_key_type! {
    /// The key of a task in a shard.
    pub struct Key;
}

/// The properties of a task that scheduling depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// The id.
    pub id: id::Task,
    /// The team that the task is charged to.
    pub team: Name,
    /// The kind of work.
    pub kind: Kind,
    /// The resources that the task declares.
    pub resources: Resources,
    /// Whether the task may run more than once.
    pub repeatable: bool,
    /// The family of jobs with similar size and run time.
    pub family: Option<Name>,
    /// The expected run time, if the caller states one.
    pub run_time: Option<Duration>,
    /// When the task was accepted.
    pub accepted: Millis,
    /// When the result stops being useful.
    pub deadline: Option<Millis>,
    /// How many times the task was preempted.
    pub preemptions: u32,
}

/// A task with its scheduling state.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) task: Task,
    pub(crate) team: share::Key,
    /// The resources that the task counts for, at least those it declares.
    pub(crate) charge: Resources,
    pub(crate) state: State,
}

/// The scheduling state of a task.
#[derive(Debug)]
pub(crate) enum State {
    /// In the queue.
    Waiting(QueueKey),
    /// Part of a gang without a reservation; also the transient state of a task that neither waits
    /// nor runs.
    InGang,
    /// Part of a reservation that is not ready yet.
    Reserved(reservation::Key),
    /// Running on a worker.
    Running(Run),
}

/// The run of a task on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) worker: placement::Key,
    pub(crate) rack: u32,
    /// The time of the start or last checkpoint; later progress is lost when the task is stopped.
    pub(crate) last_saved: Millis,
    pub(crate) stop_phase: Option<StopPhase>,
    /// Whether the task runs in capacity that is reserved for a gang.
    pub(crate) backfill: bool,
}

/// The progress of stopping a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum StopPhase {
    /// A checkpoint was requested; the task is stopped at this time even without one.
    Checkpointing(Millis),
    /// The stop was requested.
    Stopping,
}
