//! Job requests and the status of jobs.

use std::{
    fmt,
    time::Duration, //
};

use basilbridge_derives::{
    data,
    kind, //
};
use serde_with::DurationMilliSeconds;

use crate::{
    error::Error,
    id::Name,
    unit::Resources, //
};

/// The kinds of work, each with its own scheduling policy.
#[kind]
pub enum Kind {
    /// A short task whose result is returned in the response to the submission.
    Interactive,
    /// A task that runs until it is stopped.
    Service,
    /// Tasks that may wait and may run in any order.
    Batch,
    /// Tasks that run only if all of them run at the same time.
    Gang,
}

fn default_count() -> u32 {
    1
}

fn default_repeatable() -> bool {
    true
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Writes the serialised name, which is in snake case.
        serde::Serialize::serialize(self, f)
    }
}

/// A request to run work.
#[data]
pub struct Request {
    /// The queue; a queue that is not open to all teams accepts work only from its own team.
    pub queue: Name,
    /// The kind of work.
    pub kind: Kind,
    /// The resources that each task needs.
    pub resources: Resources,
    /// The number of tasks in the job.
    #[serde(default = "default_count")]
    pub count: u32,
    /// Whether a task may be run again after an attempt with unknown outcome.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Makes a repeated submission return the job of the first one; unique within a team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<Name>,
    /// Groups jobs of similar resource usage and run time, so that both can be estimated from
    /// earlier jobs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub family: Option<Name>,
    /// The expected run time of a task.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "run_time_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub run_time: Option<Duration>,
    /// The time from acceptance after which the result is of no use to the caller.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "deadline_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<Duration>,
    /// The input of the program, which the worker passes on without interpreting it.
    #[serde(default)]
    pub payload: String,
}

/// The state of a job.
#[kind]
pub enum State {
    /// No task of the job has started yet.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks succeeded.
    Succeeded,
    /// A task failed and is not retried.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// The job is not repeatable and it is not known whether it completed.
    Unknown,
}

impl State {
    /// Returns whether the job can no longer change its state.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Writes the serialised name, which is in snake case.
        serde::Serialize::serialize(self, f)
    }
}

/// The status of a job, as returned to its caller.
#[data]
pub struct Status {
    /// The id of the job.
    pub id: crate::id::Job,
    /// The team that submitted it.
    pub team: Name,
    /// The state of the job.
    pub state: State,
    /// The output of each task that has ended.
    #[serde(default)]
    pub outputs: Vec<Output>,
    /// The reason for the failure, if the job failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Error>,
}

/// The output of one task.
#[data]
pub struct Output {
    /// The index of the task in its job.
    pub index: u32,
    /// The output of the program.
    pub text: String,
}
