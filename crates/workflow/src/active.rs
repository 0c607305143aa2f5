//! A job that an owner works on.

use std::time::Duration;

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Millis, //
};

use crate::{
    job::{
        Accepted,
        State,
        TaskId, //
    },
    policy::Queue,
    progress::Progress,
    stage::Stage, //
};

/// How many workers the objective of the users' queues counts in a call for advice.
const ADVISED_WORKERS: usize = 30;

/// A job that was accepted.
#[derive(Debug)]
pub struct Job {
    /// Its name.
    pub id: Name,
    /// What was accepted.
    pub accepted: Accepted,
    /// The steps of all occurrences, by occurrence and step.
    pub stages: Vec<Stage>,
    /// Where it stands for good, if it does.
    pub over: Option<State>,
    /// Whether a task has started.
    pub begun: bool,
    /// The version of its stored progress.
    pub version: Version,
    /// Whether its progress is to be stored.
    pub dirty: bool,
    /// Whether its end is stored.
    pub final_stored: bool,
    /// Whether an earlier owner may have started its tasks.
    pub inherited: bool,
    /// Whether it lies beyond what its team is owed.
    pub excess: bool,
}

impl Job {
    /// Returns where the job stands.
    pub fn state(&self) -> State {
        match (self.over, self.begun) {
            (Some(state), _) => state,
            (None, true) => State::Running,
            (None, false) => State::Queued,
        }
    }

    /// Returns what is stored of it.
    pub fn progress(&self) -> Progress {
        let stages = if self.over.is_some() {
            Default::default()
        } else {
            let stages = self.stages.iter().enumerate();
            stages
                .filter_map(|(index, stage)| Some((index, stage.progress()?)))
                .collect()
        };
        Progress {
            state: self.state(),
            stages,
        }
    }

    /// Says whether all steps that a stage waits for are done.
    pub fn is_ready(&self, stage: usize, now: Millis) -> bool {
        let steps = self.accepted.spec.steps.len();
        let first = stage / steps * steps;
        let after = &self.accepted.spec.steps[stage % steps].after;
        self.stages[stage].due <= now
            && after
                .iter()
                .all(|before| self.stages[first + before].is_complete())
    }

    /// Returns the longest chain of estimated work in the occurrences that are not done.
    pub fn left(&self) -> Duration {
        let spec = &self.accepted.spec;
        let mut longest = Duration::ZERO;
        for stages in self.stages.chunks(spec.steps.len().max(1)) {
            let mut ends: Vec<Duration> = Vec::with_capacity(stages.len());
            for (stage, step) in stages.iter().zip(&spec.steps) {
                let before = step.after.iter().filter_map(|index| ends.get(*index)).max();
                let start = before.copied().unwrap_or_default();
                let takes = if stage.is_complete() {
                    Duration::ZERO
                } else {
                    step.estimate
                };
                ends.push(start + takes);
            }
            longest = longest.max(ends.into_iter().max().unwrap_or_default());
        }
        longest
    }

    /// Returns the name of a task.
    pub fn task(&self, stage: usize, index: usize) -> TaskId {
        TaskId {
            job: self.id.clone(),
            occurrence: self.stages[stage].occurrence,
            step: self.stages[stage].step as u32,
            index: index as u32,
        }
    }
}

/// Returns how long a job on `queue` may take and be on time.
pub fn objective(queue: &Queue, accepted: &Accepted) -> Duration {
    let overhead = queue
        .advice
        .map(|advice| advice.cost(ADVISED_WORKERS))
        .unwrap_or_default();
    accepted
        .spec
        .critical_path(overhead)
        .mul_f64(queue.stretch.max(0.0))
        + queue.slack
}

/// Returns the stages of all occurrences, with what is stored of them.
pub(crate) fn stages(accepted: &Accepted, progress: &Progress, now: Millis) -> Vec<Stage> {
    let spec = &accepted.spec;
    let mut stages = Vec::new();
    for occurrence in 0..spec.occurrences() {
        let due = spec.schedule.as_ref().map_or(Millis(0), |schedule| {
            schedule.first.after(schedule.interval * occurrence)
        });
        for (number, step) in spec.steps.iter().enumerate() {
            let mut stage = Stage::new(occurrence, number, step.count, due, now.max(due));
            if let Some(stored) = progress.stages.get(&stages.len()) {
                stage.restore(stored);
            }
            stages.push(stage);
        }
    }
    stages
}
