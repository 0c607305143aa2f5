//! The data centres of the workers, and the tasks that are there.

use basilbridge_common::id::Name;
use basilbridge_derives::data;

/// A data centre with the number of its workers and tasks.
///
/// The numbers of tasks come from the owners of its shards and may be seconds old.
#[data]
#[derive(Eq)]
pub struct DataCentre {
    /// The name.
    pub name: Name,
    /// Whether no task may be started there.
    pub evacuated: bool,
    /// The number of workers that the platform lists there.
    pub workers: u64,
    /// The number of tasks that run there.
    pub running: u64,
    /// The number of tasks that were accepted by its shards and wait.
    pub queued: u64,
}

impl DataCentre {
    /// Returns a data centre in use, without workers and tasks.
    pub fn without_workers(name: Name) -> Self {
        Self {
            name,
            evacuated: false,
            workers: 0,
            running: 0,
            queued: 0,
        }
    }
}
