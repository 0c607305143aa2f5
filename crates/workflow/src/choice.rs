//! Which worker a task goes to.

use basilbridge_common::unit::Resources;

use crate::worker;

/// A worker that may run a task.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The worker.
    pub key: worker::Key,
    /// What is free on it.
    pub free: Resources,
    /// Whether the task would be slower there because its data is elsewhere.
    pub far: bool,
    /// Whether a run of the task has failed there, or several jobs did of late.
    pub suspect: bool,
    /// Whether tasks that disturb each other would meet there.
    pub disturbs: bool,
}

/// Returns the candidate that a task with `charge` goes to.
///
/// Of those with room, the tightest fit is taken, which keeps large gaps for large tasks.
pub fn best(
    candidates: impl IntoIterator<Item = Candidate>,
    charge: &Resources,
) -> Option<worker::Key> {
    candidates
        .into_iter()
        .filter(|candidate| charge.fits(&candidate.free))
        .min_by_key(|candidate| {
            (
                candidate.suspect,
                candidate.disturbs,
                candidate.far,
                candidate.free.cpu_millis,
                candidate.free.memory_mib,
                candidate.key,
            )
        })
        .map(|candidate| candidate.key)
}
