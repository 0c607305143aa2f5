//! A compact form of the progress of a job of thousands of tasks.
//!
//! Answers the load of a job whose progress, with a number for each task that is done, outgrows a row
//! of the store: it could not be stored, and no end of any worker was acknowledged any more.

use std::collections::BTreeMap;

use basilbridge_derives::data;

use crate::{
    job::State,
    progress::{
        self,
        Progress, //
    },
};

/// Progress of a stage that is not complete.
#[data]
#[derive(Default)]
pub struct Stage {
    /// Indexes of the tasks that are done, as gaps and runs by turns.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Tasks that are not done and have any progress, by index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tasks: BTreeMap<u32, progress::Task>,
}

/// Progress of a job.
#[data]
pub struct Packed {
    /// State of the job.
    pub state: State,
    /// Indexes of the stages that are complete, as gaps and runs by turns.
    pub complete: Vec<u32>,
    /// Other stages with progress, by their index in the job.
    pub stages: BTreeMap<usize, Stage>,
}

impl From<&Progress> for Packed {
    fn from(progress: &Progress) -> Self {
        let complete = progress.stages.iter().filter(|(_, stage)| stage.complete);
        let complete = complete.map(|(index, _)| *index as u32);
        let others = progress.stages.iter().filter(|(_, stage)| !stage.complete);
        let others = others.map(|(index, stage)| {
            let packed = Stage {
                done: pack(stage.done.iter().copied()),
                tasks: stage.tasks.clone(),
            };
            (*index, packed)
        });
        Self {
            state: progress.state,
            complete: pack(complete),
            stages: others.collect(),
        }
    }
}

impl From<Packed> for Progress {
    fn from(packed: Packed) -> Self {
        let others = packed.stages.into_iter().map(|(index, stage)| {
            let stage = progress::Stage {
                complete: false,
                done: unpack(&stage.done).collect(),
                tasks: stage.tasks,
            };
            (index, stage)
        });
        let mut stages: BTreeMap<usize, progress::Stage> = others.collect();
        for index in unpack(&packed.complete) {
            let complete = progress::Stage {
                complete: true,
                ..progress::Stage::default()
            };
            stages.insert(index as usize, complete);
        }
        Self {
            state: packed.state,
            stages,
        }
    }
}

/// Encodes ascending numbers: how many are missing, how many follow one another, and so on.
pub fn pack(numbers: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut lengths: Vec<u32> = Vec::new();
    let mut next = 0;
    for number in numbers {
        match lengths.last_mut() {
            Some(run) if number == next => *run += 1,
            _ => lengths.extend([number - next, 1]),
        }
        next = number + 1;
    }
    lengths
}

/// Decodes what [`pack`] has encoded.
pub fn unpack(lengths: &[u32]) -> impl Iterator<Item = u32> {
    let mut next: u32 = 0;
    lengths.chunks_exact(2).flat_map(move |pair| {
        let first = next.saturating_add(pair[0]);
        next = first.saturating_add(pair[1]);
        first..next
    })
}
