//! Decisions, as they are logged.

use std::time::Duration;

use basilbridge_common::id::Name;

use crate::{
    job::{
        State,
        TaskId, //
    },
    report::{
        Outcome,
        StartResult, //
    },
};

/// Why a run is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its job is cancelled or has failed.
    JobOver,
    /// It is not known whether the worker got the start.
    Unanswered,
    /// Another run of the task counts, or the task is done.
    Superseded,
    /// Its job is not known.
    Unknown,
    /// Another member of its gang could not start.
    Gang,
    /// More urgent work needs the room.
    Preempted,
    /// It makes no progress.
    Stalled,
}

/// A decision that touches a job or changes what is believed of a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A task was sent to a worker.
    Start {
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The worker.
        worker: Name,
        /// How long the task waited.
        waited: Duration,
    },
    /// A worker refused a start, or did not answer it.
    Refused {
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The worker.
        worker: Name,
        /// The answer.
        answer: StartResult,
    },
    /// A run has to end.
    Stop {
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The worker.
        worker: Name,
        /// Why.
        cause: Cause,
    },
    /// A worker has listed the end of a run.
    End {
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The worker.
        worker: Name,
        /// How it ended.
        outcome: Outcome,
        /// The time from its start.
        ran: Duration,
    },
    /// A run is gone without an end that was listed.
    Lost {
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The worker.
        worker: Name,
        /// What showed it.
        evidence: &'static str,
    },
    /// A run of an earlier owner was found.
    Adopted {
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The worker.
        worker: Name,
    },
    /// A job changes no more.
    Final {
        /// The job.
        job: Name,
        /// Where it stands.
        state: State,
        /// The time since it was accepted.
        elapsed: Duration,
        /// The time within which it would have been on time.
        objective: Duration,
    },
    /// What is believed of a worker has changed.
    Worker {
        /// The worker.
        worker: Name,
        /// What is believed now.
        status: &'static str,
    },
}
