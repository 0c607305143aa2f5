//! What workers tell.

use basilbridge_common::{
    id::Name,
    unit::Resources, //
};

use crate::job::TaskId;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The task is done.
    Done,
    /// The task failed, by its own fault or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that a worker holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// The newest checkpoint.
    pub checkpoint: Option<Name>,
    /// How far the run is; a lasting task is at work at 100.
    pub percent: f64,
    /// The tail of response times in milliseconds, or the processor time in use in thousandths.
    pub measurement: f64,
}

/// The end of a run that a worker keeps until it is acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub struct Ended {
    /// The number of the end in this boot of the worker, from one.
    pub sequence: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// How the run ended.
    pub outcome: Outcome,
    /// The newest checkpoint.
    pub checkpoint: Option<Name>,
}

/// All that a worker runs and has ended.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Inventory {
    /// When the worker booted, by its own clock.
    pub boot: u64,
    /// The worker's steady clock, in milliseconds.
    pub clock: u64,
    /// What it runs.
    pub running: Vec<Running>,
    /// The ends that are not acknowledged yet, oldest first.
    pub ended: Vec<Ended>,
}

/// What became of an order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartResult {
    /// The worker runs it.
    Running,
    /// The worker has seen a higher epoch.
    Fenced,
    /// The worker has seen this run, or a later one, end.
    Old,
    /// The lease in the order is over.
    Late,
    /// The worker has no room.
    Full,
    /// The ticket does not hold.
    Ticket,
    /// The worker takes nothing for now.
    Unhealthy,
    /// Another worker answered at the address.
    OtherWorker,
    /// The order can't be read.
    Malformed,
    /// The order did not reach the worker.
    Unsent,
    /// The order may or may not be carried out, now or later.
    Unknown,
}

/// What became of an order to stop a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopResult {
    /// The worker stops the run, and refuses it if it comes later.
    Taken,
    /// The worker has seen a higher epoch.
    Fenced,
    /// The order may or may not be carried out.
    Unknown,
}

/// What a worker says of itself in the list of workers.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// When it booted.
    pub boot: u64,
    /// What it can give.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Name>,
    /// Whether it is about to leave.
    pub leaving: bool,
}
