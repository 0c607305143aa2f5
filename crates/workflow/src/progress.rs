//! What is stored of a job once it was accepted.

use std::collections::BTreeMap;

use basilbridge_common::id::Name;
use basilbridge_derives::data;

use crate::job::State;

/// How far one task is.
#[data]
#[derive(Default)]
pub struct Task {
    /// The runs that failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<u32>,
    /// The newest checkpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Name>,
}

/// How far one occurrence of a step is.
#[data]
#[derive(Default)]
pub struct Stage {
    /// Whether all tasks are done.
    #[serde(default, skip_serializing_if = "is_false")]
    pub complete: bool,
    /// The tasks that are done, if not all are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// The tasks of which a run has ended otherwise.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tasks: BTreeMap<u32, Task>,
}

/// How far a job is.
#[data]
#[derive(Default)]
pub struct Progress {
    /// Where it stands.
    pub state: State,
    /// The stages of which a task has ended.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub stages: BTreeMap<usize, Stage>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde's signature")]
fn is_false(flag: &bool) -> bool {
    !flag
}
