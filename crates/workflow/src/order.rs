//! What the engine wants done.

use std::time::Duration;

use basilbridge_common::id::Name;

use crate::{
    job::TaskId,
    policy::AdviceSettings,
    rank::Rank,
    worker, //
};

/// Which worker an order is for.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Its place in the engine.
    pub key: worker::Key,
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: Name,
}

/// A task that is to be started.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The worker.
    pub target: Target,
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// What the worker is handed.
    pub payload: Name,
    /// The end of the lease, by the worker's clock.
    pub lease_end: u64,
    /// The permission of the advice service.
    pub ticket: Option<Name>,
    /// Where the run goes on from.
    pub checkpoint: Option<Name>,
}

/// A run that is to be stopped.
#[derive(Debug, Clone, PartialEq)]
pub struct Stop {
    /// The worker.
    pub target: Target,
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
}

/// A run whose speed is to be changed.
#[derive(Debug, Clone, PartialEq)]
pub struct Throttle {
    /// The worker.
    pub target: Target,
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// The share of its speed, in percent.
    pub percent: u32,
}

/// A question for the advice service: which of these workers may run a step?
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceRequest {
    /// The job.
    pub job: Name,
    /// The occurrence of the step.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The workers.
    pub workers: Vec<Name>,
    /// What the call costs, by the queue.
    pub advice: AdviceSettings,
    /// The place of the step in the order of waiting work.
    pub rank: Rank,
}

impl AdviceRequest {
    /// Returns how long the service thinks about it.
    pub fn cost(&self) -> Duration {
        self.advice.cost(self.workers.len())
    }
}

/// What the engine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Change the speed of a run.
    Throttle(Throttle),
    /// Ask the advice service.
    RequestAdvice(AdviceRequest),
}

/// A look at a worker, which also renews the lease of all that it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Poll {
    /// The worker.
    pub target: Target,
    /// The end of the lease by the worker's clock, once that is known.
    pub lease_end: Option<u64>,
    /// Ends up to this one are stored and may be forgotten.
    pub acknowledged: u64,
    /// For how long the worker may hold the answer back until something ends.
    pub max_wait: Duration,
}
