//! What a worker is told and what it answers.

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

/// One attempt to run a task; a later one has the higher epoch, or the higher number in it.
///
/// Answers and commands that were long under way name the attempt that they mean, so that they
/// never hit a later one of the same task.
#[data]
#[derive(Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// The task.
    pub task: Task,
    /// The epoch of the owner that made the attempt.
    pub epoch: Epoch,
    /// The number of the attempt among all of this owner.
    pub number: u64,
}

/// A command to a worker.
#[data]
pub struct Command {
    /// The epoch of the shard's owner; a worker refuses one lower than it has seen.
    pub epoch: Epoch,
    /// What to do.
    pub verb: Verb,
}

/// What to do.
#[data]
pub enum Verb {
    /// Take commands from this epoch on, and tell what runs.
    Claim(Lease),
    /// Start a task.
    Run(Run),
    /// Extend the leases of all tasks and tell what has ended.
    Renew(Renew),
    /// Save the progress of a task.
    Checkpoint(Task),
    /// Hold a task to a part of its processor time.
    Throttle(Throttle),
    /// Stop an attempt, and start it no more under this epoch if the command to start it is still
    /// under way, also after a later attempt has ended and was acknowledged.
    Stop(Attempt),
}

/// How long tasks go on without word from the owner.
#[data]
pub struct Lease {
    /// The time from the arrival of the command.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    pub lease: Duration,
}

/// A task to start.
#[data]
pub struct Run {
    /// The task.
    pub task: Task,
    /// The number of the attempt; the worker carries out each one at most once.
    pub attempt: u64,
    /// The boot on which the task may start; another boot refuses it.
    pub boot: Boot,
    /// What the task may use.
    pub resources: Resources,
    /// Whether the task may be run again.
    pub repeatable: bool,
    /// What the program gets.
    pub payload: String,
    /// How long the task goes on without word from the owner.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    pub lease: Duration,
    /// The time after which the caller has no more use for the answer.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "deadline_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<Duration>,
    /// Whether the worker answers when the task has ended, not when it has started.
    pub wait: bool,
    /// Names the request in the logs of all who handle it.
    #[serde(default)]
    pub request_id: Name,
}

/// An extension of all leases.
#[data]
pub struct Renew {
    /// The new lease.
    pub lease: Lease,
    /// Attempts whose end the owner has noted, so that the worker may forget them.
    ///
    /// An attempt that never started is not among them: its note must outlive the command.
    pub acknowledged: Vec<Attempt>,
    /// How long the worker may hold its answer back while it has no end to tell that it has not
    /// told before.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_ms")]
    pub max_wait: Duration,
    /// Whether the answer lists the tasks that run, beside those that have ended.
    pub list: bool,
}

/// A limit on a task's processor time.
#[data]
pub struct Throttle {
    /// The task.
    pub task: Task,
    /// The most processor time, in thousandths of a core.
    pub cpu_millis: u64,
}

/// What a worker answers.
#[data]
pub struct Reply {
    /// The boot that answers.
    pub boot: Boot,
    /// The tasks that run, and those that ended and were not acknowledged.
    ///
    /// The answer to [`Verb::Run`] holds just the task concerned, and that to [`Verb::Renew`]
    /// lists the tasks that run only where it was asked to.
    pub tasks: Vec<Report>,
}

/// What a worker tells about a task.
#[data]
pub struct Report {
    /// The task.
    pub task: Task,
    /// Where it stands.
    pub phase: Phase,
    /// What the task may use.
    pub resources: Resources,
    /// What the task uses, as of some time ago.
    pub usage: Resources,
    /// What the program returned, if it has ended.
    pub output: String,
    /// The epoch of the command that started it.
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

/// Where a task on a worker stands.
#[kind]
pub enum Phase {
    /// The task runs.
    Running,
    /// The task ended well.
    Succeeded,
    /// The task failed.
    Failed,
    /// The task was stopped by command.
    Stopped,
    /// The task was stopped because its lease lapsed.
    Lapsed,
    /// The task was stopped by command before it had started, and will not start.
    NeverStarted,
}
