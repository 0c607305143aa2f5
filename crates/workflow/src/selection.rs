//! The choice of the worker for a task.

use basilbridge_common::unit::Resources;

use crate::{
    crash::Colocation,
    worker, //
};

/// A worker that may run a task.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Key of the worker.
    pub key: worker::Key,
    /// Free capacity of the worker.
    pub free: Resources,
    /// Whether the task would be slower there because its data is in another rack.
    pub remote_data: bool,
    /// Whether a run of the task has failed there, or jobs have failed there since the last
    /// success.
    pub suspect: bool,
    /// Whether its tasks take much longer than elsewhere.
    pub slow: bool,
    /// Preference by the pace of the worker; less is better. Urgent work prefers fast workers, and
    /// other work leaves them to it.
    pub pace: i32,
    /// Whether the worker would run both serving and best-effort tasks.
    pub interferes: bool,
    /// Other runs there, which a crash of the worker would cost.
    pub colocation: Colocation,
}

/// Returns the best candidate for a task that needs `demand`, or `None` if it fits on none.
///
/// Among otherwise equal candidates the one with the least free capacity is chosen, which keeps
/// large gaps free for large tasks. Accelerators come first, since a task may need all of those of
/// a worker.
pub fn best_fit(
    candidates: impl IntoIterator<Item = Candidate>,
    demand: &Resources,
) -> Option<worker::Key> {
    candidates
        .into_iter()
        .filter(|candidate| demand.fits(&candidate.free))
        .min_by_key(|candidate| {
            (
                candidate.suspect,
                candidate.slow,
                candidate.colocation.unproven_suspect,
                candidate.colocation.suspect,
                candidate.interferes,
                candidate.remote_data,
                candidate.pace,
                candidate.free.accelerators,
                candidate.free.cpu_millis,
                candidate.free.memory_mib,
                candidate.key,
            )
        })
        .map(|candidate| candidate.key)
}

/// Returns the best candidate for a task that may crash its worker, or `None` if it fits on none.
///
/// The fewer runs a crash would cost and the fewer of them could be its cause, the better.
pub fn most_isolated(
    candidates: impl IntoIterator<Item = Candidate>,
    demand: &Resources,
) -> Option<worker::Key> {
    candidates
        .into_iter()
        .filter(|candidate| demand.fits(&candidate.free))
        .min_by_key(|candidate| {
            (
                candidate.suspect,
                candidate.slow,
                candidate.colocation,
                candidate.interferes,
                candidate.remote_data,
                candidate.key,
            )
        })
        .map(|candidate| candidate.key)
}
