//! Cuts the progress of a job into segments, each about a range of its tasks.
//!
//! Answers the load of a job of thousands of tasks whose progress outgrows a row of the store, however
//! dense its form: each segment fits into a row of its own. See `docs/design/segments.md`.

use std::collections::BTreeMap;

use crate::progress::{
    Progress,
    Stage, //
};

/// The first task of a segment. The segment ends before the first task of the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Start {
    /// Index of the stage in the job.
    pub stage: usize,
    /// Index of the task in the stage.
    pub index: u32,
}

/// Cuts `progress` into segments with these first tasks, which are in order; the first one starts at
/// the first task of the job. A stage that is complete belongs to the segment of its first task.
pub fn split(progress: &Progress, starts: &[Start]) -> Vec<Progress> {
    let empty = Progress {
        state: progress.state,
        stages: BTreeMap::new(),
    };
    let mut segments = vec![empty; starts.len()];
    let find = |start: Start| starts.partition_point(|first| *first <= start) - 1;
    for (stage, stored) in &progress.stages {
        let segment_of = |index: u32| {
            find(Start {
                stage: *stage,
                index,
            })
        };
        if stored.complete {
            segments[segment_of(0)]
                .stages
                .insert(*stage, stored.clone());
            continue;
        }
        for index in &stored.done {
            let part = segments[segment_of(*index)].stages.entry(*stage);
            part.or_default().done.push(*index);
        }
        for (index, task) in &stored.tasks {
            let part = segments[segment_of(*index)].stages.entry(*stage);
            part.or_default().tasks.insert(*index, task.clone());
        }
    }
    segments
}

/// Returns the first task of the second half of a segment, or `None` if it holds a single task.
///
/// Counts tasks that are not done, since one that is done takes next to nothing, unless all are.
pub fn middle(segment: &Progress) -> Option<Start> {
    let starts = |stage: usize, indexes: &mut dyn Iterator<Item = u32>| -> Vec<Start> {
        indexes.map(|index| Start { stage, index }).collect()
    };
    let mut open: Vec<Start> = Vec::new();
    let mut done: Vec<Start> = Vec::new();
    for (stage, stored) in &segment.stages {
        open.extend(starts(*stage, &mut stored.tasks.keys().copied()));
        match stored.complete {
            true => done.push(Start {
                stage: *stage,
                index: 0,
            }),
            false => done.extend(starts(*stage, &mut stored.done.iter().copied())),
        }
    }
    let halved = if open.len() > 1 { open } else { done };
    (halved.len() > 1).then(|| halved[halved.len() / 2])
}

/// Puts segments of one job together again.
pub fn merge(segments: impl IntoIterator<Item = Progress>) -> Progress {
    let mut whole = Progress::default();
    for segment in segments {
        whole.state = segment.state;
        for (index, part) in segment.stages {
            let stage: &mut Stage = whole.stages.entry(index).or_default();
            stage.complete |= part.complete;
            stage.done.extend(part.done);
            stage.tasks.extend(part.tasks);
        }
    }
    whole
}
