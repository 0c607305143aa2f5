//! Whether a task may start on a worker that is in doubt.
//!
//! A failure has two possible causes, and nobody tells which it was: the worker fails whatever it
//! starts, or the job fails wherever it runs. A retry elsewhere tells them apart, so a task that
//! has failed on a worker goes to another one, and the last attempt of a task is not made on a
//! worker where jobs have failed. If no other worker can run the task, or none becomes free in
//! time, it returns. See `docs/design/waiting.md`.

use std::time::Duration;

/// Time for which a task waits for a worker that is not in doubt. It is a third of the 3 s within
/// which the users' rules require work to start that has room.
pub const MAX_WAIT: Duration = Duration::from_millis(1000);

/// A start that is considered, of one task on one worker.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Whether a run of the task has failed on the worker.
    pub failed_here: bool,
    /// Whether jobs have failed on the worker since its last success.
    pub suspect: bool,
    /// Whether the worker has turned slow.
    pub slow: bool,
    /// Whether the job fails if this run fails.
    pub is_last: bool,
    /// Whether the task runs until its job is cancelled. The number of its runs is not limited.
    pub long_running: bool,
    /// Time for which the task has waited.
    pub waited: Duration,
}

/// Returns whether the start may be made. `alternative` says whether another worker, which is not
/// in doubt, may run the task, although it has no free capacity at the moment.
pub fn admits(attempt: &Attempt, alternative: bool) -> bool {
    let doubtful = attempt.failed_here || attempt.slow || (attempt.suspect && attempt.is_last);
    !doubtful || attempt.long_running || !alternative || attempt.waited >= MAX_WAIT
}
