//! Orders of the engine, which its caller carries out.

use std::time::Duration;

use basilbridge_common::id::Name;

use crate::{
    advice::Assignment,
    job::TaskId,
    policy::AdviceSettings,
    rank::Rank,
    worker, //
};

/// The worker that an order is for.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Key of the worker in the engine.
    pub key: worker::Key,
    /// Name of the worker.
    pub name: Name,
    /// Address of the worker.
    pub address: Name,
}

/// Order to start a task.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// Worker that receives the order.
    pub target: Target,
    /// Boot that the run and the end of the lease are meant for. The order is sent only on a
    /// connection on which this boot has answered: it ends with the boot.
    pub boot: u64,
    /// Name of the task.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Opaque text that the worker receives.
    pub payload: Name,
    /// End of the lease by the worker's clock, in milliseconds.
    pub lease_end: u64,
    /// Ticket of the advice service, if the step needs one.
    pub ticket: Option<Name>,
    /// Checkpoint from which the run continues.
    pub checkpoint: Option<Name>,
}

/// Order to stop a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Stop {
    /// Worker that receives the order.
    pub target: Target,
    /// Name of the task.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
}

/// Order to change the speed of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Throttle {
    /// Worker that receives the order.
    pub target: Target,
    /// Name of the task.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Allowed speed, in percent of the full speed.
    pub percent: u32,
}

/// Request to the advice service: which of these workers may run a step?
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceRequest {
    /// Name of the job.
    pub job: Name,
    /// Index of the occurrence of the step.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Names of the workers.
    pub workers: Vec<Name>,
    /// Settings of the service for the queue of the job.
    pub advice: AdviceSettings,
    /// Rank of the step among waiting work.
    pub rank: Rank,
    /// VM that makes the call.
    pub assignment: Assignment,
    /// Whether advice about the step was requested before.
    pub repeated: bool,
    /// Time for which the request has waited for a VM.
    pub deferred: Duration,
}

impl AdviceRequest {
    /// Returns the expected duration of the call.
    pub fn cost(&self) -> Duration {
        self.advice.cost(self.workers.len())
    }
}

/// An order of the engine.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Change the speed of a run.
    Throttle(Throttle),
    /// Call the advice service.
    RequestAdvice(AdviceRequest),
}

/// A poll of a worker, which also renews the leases of all its runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Poll {
    /// Worker that receives the order.
    pub target: Target,
    /// New end of the leases by the worker's clock, in milliseconds; `None` until the clock is
    /// known, and for polls that extend none.
    pub lease_end: Option<u64>,
    /// Sequence number up to which ends are stored, so that the worker may discard them.
    pub acknowledged: u64,
    /// Boot that the end of the leases and the sequence number belong to. A later one has another
    /// clock, and would discard ends that it has not reported. So both are sent only on a connection
    /// on which this boot has answered: it ends with the boot.
    pub boot: Option<u64>,
    /// Whether it is sent beside another poll that the worker holds back. Such a poll extends and
    /// acknowledges nothing.
    pub is_immediate: bool,
    /// Maximum time for which the worker may hold the answer back until a run ends.
    pub max_wait: Duration,
}
