//! A job that the owner works on.

use std::time::Duration;

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Millis, //
};

use crate::{
    crash::Record,
    job::{
        Accepted,
        State,
        TaskId, //
    },
    policy::Queue,
    progress::Progress,
    stage::Stage, //
};

/// Number of workers per advice call that the users' rules assume in a queue's time objective.
pub(crate) const OBJECTIVE_ADVICE_WORKERS: usize = 30;

/// An accepted job and its progress.
#[derive(Debug)]
pub struct Job {
    /// Name of the job.
    pub id: Name,
    /// The job as it was accepted.
    pub accepted: Accepted,
    /// Stages of all occurrences, ordered by occurrence and step.
    pub stages: Vec<Stage>,
    /// Final state, once the job is finished.
    pub final_state: Option<State>,
    /// Whether a task has started.
    pub started: bool,
    /// Version of the stored progress.
    pub version: Version,
    /// Whether the progress has changed since it was last stored.
    pub dirty: bool,
    /// Whether the final state is stored.
    pub final_state_stored: bool,
    /// Version of its row.
    pub row_version: Version,
    /// Whether an earlier owner may have started tasks of the job.
    pub inherited: bool,
    /// Whether all owners that may have started its long-running tasks have stored these starts.
    pub starts_are_stored: bool,
    /// Whether the job exceeds the rate that its team is entitled to.
    pub over_quota: bool,
}

impl Job {
    /// Returns the state of the job.
    pub fn state(&self) -> State {
        match (self.final_state, self.started) {
            (Some(state), _) => state,
            (None, true) => State::Running,
            (None, false) => State::Queued,
        }
    }

    /// Returns the progress to store.
    pub fn progress(&self) -> Progress {
        let stages = if self.final_state.is_some() {
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

    /// Records that the placements in `stored` are stored.
    pub(crate) fn confirm_placements(&mut self, stored: &Progress) {
        for (stage_index, stage) in &stored.stages {
            for (index, stored) in &stage.tasks {
                let stage = self.stages.get_mut(*stage_index);
                let task = stage.and_then(|stage| stage.tasks.get_mut(*index as usize));
                if let Some(task) = task
                    && stored.placement.is_some()
                    && task.history.placement == stored.placement
                    && task.history.record == Record::Pending
                {
                    task.history.record = Record::Stored;
                }
            }
        }
    }

    /// Returns whether a stage is due and all steps that it depends on are done.
    pub fn is_stage_ready(&self, stage: usize, now: Millis) -> bool {
        let steps = self.accepted.spec.steps.len();
        let first_stage = stage / steps * steps;
        let dependencies = &self.accepted.spec.steps[stage % steps].after;
        self.stages[stage].due <= now
            && dependencies
                .iter()
                .all(|dependency| self.stages[first_stage + dependency].is_complete())
    }

    /// Returns the critical path of the unfinished steps: the longest chain of estimated run times,
    /// over all occurrences.
    pub fn remaining_critical_path(&self) -> Duration {
        let spec = &self.accepted.spec;
        let mut longest = Duration::ZERO;
        for stages in self.stages.chunks(spec.steps.len().max(1)) {
            let mut ends: Vec<Duration> = Vec::with_capacity(stages.len());
            for (stage, step) in stages.iter().zip(&spec.steps) {
                let dependencies_end = step.after.iter().filter_map(|index| ends.get(*index)).max();
                let start = dependencies_end.copied().unwrap_or_default();
                let duration = if stage.is_complete() {
                    Duration::ZERO
                } else {
                    step.estimate
                };
                ends.push(start + duration);
            }
            longest = longest.max(ends.into_iter().max().unwrap_or_default());
        }
        longest
    }

    /// Returns the name of a task.
    pub fn task_id(&self, stage: usize, index: usize) -> TaskId {
        TaskId {
            job: self.id.clone(),
            occurrence: self.stages[stage].occurrence,
            step: self.stages[stage].step as u32,
            index: index as u32,
        }
    }
}

/// Returns the critical path of a whole job on `queue`, with the advice for each of its steps.
pub(crate) fn critical_path(queue: &Queue, accepted: &Accepted) -> Duration {
    let overhead = queue
        .advice
        .map(|advice| advice.cost(OBJECTIVE_ADVICE_WORKERS))
        .unwrap_or_default();
    accepted.spec.critical_path(overhead)
}

/// Returns the time within which a job on `queue` counts as on time.
pub fn objective(queue: &Queue, accepted: &Accepted) -> Duration {
    let path = critical_path(queue, accepted).as_secs_f64();
    let stretched = Duration::try_from_secs_f64(path * queue.stretch.max(0.0));
    stretched
        .unwrap_or(Duration::MAX)
        .saturating_add(queue.slack)
}

/// Creates the stages of all occurrences and restores their stored progress.
pub(crate) fn build_stages(accepted: &Accepted, progress: &Progress, now: Millis) -> Vec<Stage> {
    let spec = &accepted.spec;
    let mut stages = Vec::new();
    for occurrence in 0..spec.occurrences() {
        let due = spec.schedule.as_ref().map_or(Millis(0), |schedule| {
            schedule.first.after(schedule.interval * occurrence)
        });
        for (step_index, step) in spec.steps.iter().enumerate() {
            let mut stage = Stage::new(occurrence, step_index, step.count, due, now.max(due));
            if let Some(stored) = progress.stages.get(&stages.len()) {
                stage.restore(stored);
            }
            stages.push(stage);
        }
    }
    stages
}
