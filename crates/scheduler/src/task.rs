//! Tasks, as far as the decisions need to know them.

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
    queue::Ticket,
    reservation,
    share, //
};

new_key_type! {
    /// A task of a shard.
    pub struct Key;
}

/// A task.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// The task.
    pub id: id::Task,
    /// The team that pays for it.
    pub team: Name,
    /// The kind of work.
    pub kind: Kind,
    /// What the task needs.
    pub resources: Resources,
    /// Whether the task may be run again.
    pub repeatable: bool,
    /// The jobs that this one is alike to in size and run time.
    pub family: Option<Name>,
    /// The expected run time, where the caller states one.
    pub run_time: Option<Duration>,
    /// When the task was accepted.
    pub accepted: Millis,
    /// When the answer has no more use.
    pub deadline: Option<Millis>,
    /// How often the task was stopped for another one.
    pub preemptions: u32,
}

/// A task and where it stands.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) task: Task,
    pub(crate) team: share::Key,
    /// What the task is counted with, which is never less than declared.
    pub(crate) charge: Resources,
    pub(crate) state: State,
}

/// Where a task stands.
#[derive(Debug)]
pub(crate) enum State {
    /// In the queue.
    Waiting(Ticket),
    /// Among the tasks of its job that start all at once, or nowhere for a moment.
    Grouped,
    /// Promised room that has yet to come free.
    Reserved(reservation::Key),
    /// On a worker.
    Running(Run),
}

/// A task on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) worker: placement::Key,
    pub(crate) rack: u32,
    /// The start or the last checkpoint; what came after is lost with a stop.
    pub(crate) saved: Millis,
    pub(crate) stop_phase: Option<StopPhase>,
    /// Whether the task runs in room that is promised to others.
    pub(crate) backfill: bool,
}

/// How far the stop of a task has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum StopPhase {
    /// A checkpoint was asked for; the stop follows at this moment even without one.
    Checkpointing(Millis),
    /// The stop was asked for.
    Stopping,
}
