//! What the journal keeps.

use basilbridge_common::{
    error::Error,
    id::{
        Boot,
        Job,
        Name,
        Task, //
    },
    job::{
        Request,
        State, //
    },
    unit::Millis,
    worker::Worker,
};
use basilbridge_derives::data;

/// What is kept about the jobs of a shard.
#[data]
pub enum Record {
    /// A job was accepted.
    Accepted(Box<Accepted>),
    /// A task that must not be repeated is about to be sent to a worker.
    Started(Started),
    /// A task has ended.
    Ended(Ended),
    /// A job changes no more, whatever its tasks do.
    Closed(Closed),
    /// A worker is about to be given work, so that a later owner asks for it even if the
    /// platform lists it no more.
    Joined(Box<Worker>),
    /// A worker is gone and runs nothing.
    Left(Name),
}

impl Record {
    /// Returns the job that the record is about, if it is about one.
    pub fn job(&self) -> Option<&Job> {
        match self {
            Self::Accepted(accepted) => Some(&accepted.job),
            Self::Started(started) => Some(&started.task.job),
            Self::Ended(ended) => Some(&ended.task.job),
            Self::Closed(closed) => Some(&closed.job),
            Self::Joined(_) | Self::Left(_) => None,
        }
    }
}

/// A job that was accepted.
#[data]
pub struct Accepted {
    /// The job.
    pub job: Job,
    /// The team that submitted it.
    pub team: Name,
    /// When it was accepted.
    pub at: Millis,
    /// Names the request in the logs of all who handle it.
    #[serde(default)]
    pub request_id: Name,
    /// When the work has no more use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Millis>,
    /// What was asked for.
    pub request: Request,
}

/// A task that is about to be sent to a worker.
#[data]
pub struct Started {
    /// The task.
    pub task: Task,
    /// The worker.
    pub worker: Name,
    /// The boot of the worker.
    pub boot: Boot,
}

/// A task that has ended.
#[data]
pub struct Ended {
    /// The task.
    pub task: Task,
    /// How it ended.
    pub state: State,
    /// What the program returned.
    pub output: String,
    /// When it ended.
    pub at: Millis,
}

/// A job that was cancelled or given up.
#[data]
pub struct Closed {
    /// The job.
    pub job: Job,
    /// How it ended.
    pub state: State,
    /// Why it failed, where it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Error>,
    /// When it ended.
    pub at: Millis,
}
