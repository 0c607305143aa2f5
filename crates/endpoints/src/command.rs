//! The commands to workers and their replies.

use std::time::Duration;

use basilbridge_common::{
    id::{
        Boot,
        Epoch,
        Name,
        Task, //
    },
    unit::Resources,
};
use basilbridge_derives::{
    data,
    kind, //
};
use serde_with::DurationMilliSeconds;

/// The id of an attempt to run a task.
///
/// Attempts of a task are ordered by epoch, then by number. Commands and replies name their
/// attempt, so that a delayed one never applies to a later attempt of the same task.
#[data]
#[derive(Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// The task.
    pub task: Task,
    /// The epoch of the owner that started the attempt.
    pub epoch: Epoch,
    /// The number of the attempt among all attempts of this owner.
    pub number: u64,
}

/// A command to a worker.
#[data]
pub struct Command {
    /// The epoch of the shard's owner; a worker refuses an epoch lower than one that it has seen.
    pub epoch: Epoch,
    /// The operation.
    pub verb: Verb,
}

/// An operation on a worker.
#[data]
pub enum Verb {
    /// Accept commands from this epoch on, and report the running tasks.
    Claim(Lease),
    /// Start a task.
    Run(Run),
    /// Extend the leases of all tasks and report the tasks that have ended.
    Renew(Renew),
    /// Save the progress of a task.
    Checkpoint(Task),
    /// Limit the processor time of a task.
    Throttle(Throttle),
    /// Stop an attempt. If the command to start it arrives later, the worker must not start it
    /// under this epoch, even after a later attempt has ended and was acknowledged.
    Stop(Attempt),
}

/// How long tasks continue to run without a message from the owner.
#[data]
pub struct Lease {
    /// The duration from the arrival of the command.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    pub lease: Duration,
}

/// A task to start.
#[data]
pub struct Run {
    /// The task.
    pub task: Task,
    /// The number of the attempt; the worker starts each attempt at most once.
    pub attempt: u64,
    /// The boot on which the task may start; a worker with another boot refuses the command.
    pub boot: Boot,
    /// The resources that the task may use.
    pub resources: Resources,
    /// Whether the task may be run again.
    pub repeatable: bool,
    /// The input of the program.
    pub payload: String,
    /// How long the task continues to run without a message from the owner.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    pub lease: Duration,
    /// The time after which the result is of no use to the caller.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "deadline_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<Duration>,
    /// Whether the worker replies when the task has ended, instead of when it has started.
    pub wait: bool,
    /// The id of the request in the logs of all VMs and workers that handle it.
    #[serde(default)]
    pub request_id: Name,
}

/// Extends all leases.
#[data]
pub struct Renew {
    /// The new lease.
    pub lease: Lease,
    /// Attempts whose end the owner has recorded, so that the worker may remove their reports.
    ///
    /// Attempts that never started are excluded: the worker must keep their reports in case the
    /// command to start them still arrives.
    pub acknowledged: Vec<Attempt>,
    /// The maximum time that the worker may delay its reply while it has no new end to report.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_ms")]
    pub max_wait: Duration,
    /// Whether the reply lists the running tasks, in addition to those that have ended.
    pub list: bool,
}

/// A limit on a task's processor time.
#[data]
pub struct Throttle {
    /// The task.
    pub task: Task,
    /// The maximum processor time, in thousandths of a core.
    pub cpu_millis: u64,
}

/// A worker's reply to a command.
#[data]
pub struct Reply {
    /// The boot of the worker.
    pub boot: Boot,
    /// The running tasks, and the ended ones that have not been acknowledged.
    ///
    /// The reply to [`Verb::Run`] has only the task of the command. The reply to [`Verb::Renew`]
    /// has the running tasks only if [`Renew::list`] is set.
    pub tasks: Vec<Report>,
}

/// A worker's report of a task.
#[data]
pub struct Report {
    /// The task.
    pub task: Task,
    /// The phase of the task.
    pub phase: Phase,
    /// The resources that the task may use.
    pub resources: Resources,
    /// The recently measured usage of the task.
    pub usage: Resources,
    /// The output of the program, if it has ended.
    pub output: String,
    /// The epoch of the command that started the attempt.
    pub epoch: Epoch,
    /// The number of the attempt.
    pub attempt: u64,
}

impl Report {
    /// Returns the attempt that the report is about.
    pub fn attempt(&self) -> Attempt {
        Attempt {
            task: self.task.clone(),
            epoch: self.epoch,
            number: self.attempt,
        }
    }
}

/// The phase of a task on a worker.
#[kind]
pub enum Phase {
    /// The task is running.
    Running,
    /// The task succeeded.
    Succeeded,
    /// The task failed.
    Failed,
    /// The task was stopped by a command.
    Stopped,
    /// The task was stopped because its lease expired.
    Lapsed,
    /// The task was stopped by a command before it had started, and will not start.
    NeverStarted,
}
