//! Decisions of the engine, for logs and metrics.

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

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The job is cancelled or has failed.
    JobOver,
    /// It is unknown whether the worker received the start.
    Unanswered,
    /// Another run of the task is the current one, or the task is done.
    Superseded,
    /// The job is unknown.
    Unknown,
    /// Another member of the gang could not start.
    Gang,
    /// More urgent work needs the capacity.
    Preempted,
    /// The run makes no progress.
    Stalled,
    /// The worker has turned slow, and the task ends earlier elsewhere.
    Slow,
    /// The data centre of the worker is evacuated, and the task goes on elsewhere.
    Evacuated,
}

/// A decision about a job, or a change of the status of a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A task was sent to a worker.
    Start {
        /// Name of the task.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Name of the worker.
        worker: Name,
        /// Time for which the task waited.
        waited: Duration,
    },
    /// A worker refused a start or did not answer it.
    Refused {
        /// Name of the task.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Name of the worker.
        worker: Name,
        /// Result of the start order.
        answer: StartResult,
    },
    /// A run was ordered to stop.
    Stop {
        /// Name of the task.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Name of the worker.
        worker: Name,
        /// Reason for the stop.
        cause: Cause,
    },
    /// A worker has reported the end of a run.
    End {
        /// Name of the task.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Name of the worker.
        worker: Name,
        /// How the run ended.
        outcome: Outcome,
        /// Time since the run was started or first seen; zero if the run was not known.
        ran: Duration,
    },
    /// A run has ended without a reported end.
    Lost {
        /// Name of the task.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Name of the worker.
        worker: Name,
        /// What shows that the run has ended.
        evidence: &'static str,
        /// Time since the run was started or first seen.
        ran: Duration,
        /// Number of other runs that the worker still had.
        beside: usize,
    },
    /// A task may have crashed its worker.
    Blamed {
        /// Name of the task.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Name of the worker.
        worker: Name,
        /// Number of crashes that the task was blamed for.
        crashes: usize,
        /// Whether nothing else on the worker can have been the cause.
        is_clear: bool,
        /// Whether the job fails for it.
        is_given_up: bool,
    },
    /// A run that an earlier owner started was found.
    Adopted {
        /// Name of the task.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Name of the worker.
        worker: Name,
    },
    /// Inherited work waits no longer for workers that may run it.
    Settled {
        /// Time since this owner started.
        waited: Duration,
        /// What shows that nothing else of an earlier owner runs.
        evidence: &'static str,
    },
    /// A worker that has not answered is not waited for any longer.
    Abandoned {
        /// Name of the worker.
        worker: Name,
        /// What shows that nothing of an earlier owner runs there.
        evidence: &'static str,
        /// Time since this owner started.
        waited: Duration,
        /// Time since most workers had answered this owner; `None` if they have not.
        since_majority: Option<Duration>,
    },
    /// A job has reached its final state.
    Final {
        /// Name of the job.
        job: Name,
        /// Final state.
        state: State,
        /// Time since the job was accepted.
        elapsed: Duration,
        /// Time within which the job would have been on time.
        objective: Duration,
    },
    /// An operator has evacuated a data centre, or has revoked that.
    DataCentre {
        /// Name of the data centre.
        name: Name,
        /// Whether it is evacuated now.
        evacuated: bool,
        /// Number of its workers.
        workers: usize,
        /// Number of runs there.
        runs: usize,
    },
    /// The last run in an evacuated data centre has ended.
    DataCentreEmpty {
        /// Name of the data centre.
        name: Name,
    },
    /// A run in an evacuated data centre ends only with its job.
    Staying {
        /// Name of the task.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Name of the worker.
        worker: Name,
        /// Name of the data centre.
        data_centre: Name,
    },
    /// The status of a worker has changed.
    Worker {
        /// Name of the worker.
        worker: Name,
        /// Address of the worker, at which a later worker may answer.
        address: Name,
        /// New status.
        status: &'static str,
    },
}
