//! The records of the journal.

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

/// A journal record about the jobs and workers of a shard.
#[data]
pub enum Record {
    /// A job was accepted.
    Accepted(Box<Accepted>),
    /// A task that must not be repeated is about to be sent to a worker.
    Started(Started),
    /// A task has ended.
    Ended(Ended),
    /// A job is final, whatever its tasks still report.
    Closed(Closed),
    /// A worker is about to be given work. The record makes a later owner claim the worker even if
    /// the platform no longer lists it.
    Joined(Box<Worker>),
    /// A worker was removed and runs nothing.
    Left(Name),
}

impl Record {
    /// Returns the job that the record concerns; `None` for records about workers.
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
    /// The identifier of the request in the logs of all processes that handle it.
    #[serde(default)]
    pub request_id: Name,
    /// When the result is no longer needed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Millis>,
    /// The request as submitted.
    pub request: Request,
}

/// The start of a task that must not be repeated.
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
    /// The final state of the task.
    pub state: State,
    /// The output of the program.
    pub output: String,
    /// When it ended.
    pub at: Millis,
}

/// A job that was ended by a cancellation or by its deadline.
#[data]
pub struct Closed {
    /// The job.
    pub job: Job,
    /// The final state of the job.
    pub state: State,
    /// The error, if the job failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Error>,
    /// When it ended.
    pub at: Millis,
}
