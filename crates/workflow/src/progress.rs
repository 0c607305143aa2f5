//! The stored progress of an accepted job.

use std::collections::BTreeMap;

use basilbridge_common::id::Name;
use basilbridge_derives::data;

use crate::job::State;

/// Longest checkpoint that is kept, in bytes. Tasks are not resumed from a longer one: a job may have
/// thousands, which an owner holds and stores.
pub const MAX_CHECKPOINT_BYTES: usize = 256;

/// Progress of a task.
#[data]
#[derive(Default)]
pub struct Task {
    /// Numbers of the failed runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<u32>,
    /// Newest checkpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Name>,
    /// Runs that vanished with their workers, and whether each was the only possible cause.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub crashes: BTreeMap<u32, bool>,
    /// Where a run is about to start, or may have crashed its worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// Latest start of a long-running task, unless that run is known to have ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<Placement>,
}

/// A run on a boot of a worker.
#[data]
#[derive(Eq)]
pub struct Placement {
    /// Run number.
    pub run: u32,
    /// Name of the worker.
    pub worker: Name,
    /// Boot of the worker.
    pub boot: u64,
}

/// Progress of a stage, which is one occurrence of a step.
#[data]
#[derive(Default)]
pub struct Stage {
    /// Whether all tasks are done.
    #[serde(default, skip_serializing_if = "is_false")]
    pub complete: bool,
    /// Indexes of the tasks that are done, unless all are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Tasks that are not done and have any progress, by index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tasks: BTreeMap<u32, Task>,
}

/// Progress of a job.
#[data]
#[derive(Default)]
pub struct Progress {
    /// State of the job.
    pub state: State,
    /// Stages with progress, by their index in the job. Empty once the job is finished.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub stages: BTreeMap<usize, Stage>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde's signature")]
fn is_false(flag: &bool) -> bool {
    !flag
}
