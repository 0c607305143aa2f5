//! What client accounts may have running on workers that have not answered.
//!
//! A new owner learns what runs from the workers. Until a worker has answered, or its leases are
//! over, what it may still run counts against the caps of client accounts like what is known to
//! run. The load that this answers: an account at its cap submits more work right after a change of
//! the owner, while a worker is silent. See `docs/design/caps.md`.

use std::collections::{
    HashMap,
    HashSet, //
};

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    active::Job,
    engine::Engine,
    job::Step,
    stage::Task,
    takeover::UNKNOWN,
    worker::TaskPosition, //
};

/// A step, and what its tasks may use that may be running unseen.
#[derive(Debug, Clone, Copy)]
pub struct Unseen<'a> {
    /// What they use together.
    pub resources: Resources,
    /// Indexes of the earlier steps that have to be done first.
    pub after: &'a [usize],
}

/// Returns the most that unseen tasks of these steps may use at one time, or a little more: a step
/// never runs beside one that has to be done first.
pub fn at_one_time(steps: &[Unseen<'_>]) -> Resources {
    let mut highest: Vec<Resources> = Vec::with_capacity(steps.len());
    let mut is_last = vec![true; steps.len()];
    for step in steps {
        let mut before = Resources::default();
        for index in step.after {
            if let Some(resources) = highest.get(*index) {
                before = before.plus(resources);
                is_last[*index] = false;
            }
        }
        highest.push(step.resources.max(&before));
    }
    let last = highest.iter().zip(is_last).filter(|(_, is_last)| *is_last);
    last.fold(Resources::default(), |sum, (resources, _)| {
        sum.plus(resources)
    })
}

/// Uses of one client account.
#[derive(Debug, Clone, Copy, Default)]
struct Use {
    /// What reserves capacity of workers.
    reserved: Resources,
    /// What runs on the capacity that other tasks leave unused.
    best_effort: Resources,
}

impl Engine {
    /// Returns what a client account has running, or may have.
    pub(crate) fn team_use(&self, team: &Name) -> Resources {
        let known = self.team_usage.get(team).copied().unwrap_or_default();
        let possible = self.possible_use.get(team).copied();
        known.plus(&possible.unwrap_or_default())
    }

    /// Determines what client accounts may have running that is not known.
    pub(crate) fn update_possible_use(&mut self, now: Millis) {
        self.possible_use.clear();
        if self.is_settled() && self.held.is_empty() {
            return;
        }
        let recorded = self.recorded_runs();
        let capacity = self.unseen_capacity();
        let mut possible: HashMap<Name, Resources> = HashMap::new();
        for (team, unseen) in self.unseen_uses(&recorded, now) {
            let reserved = match &capacity {
                Some(capacity) => unseen.reserved.min(capacity),
                None => unseen.reserved,
            };
            possible.insert(team, reserved.plus(&unseen.best_effort));
        }
        for position in recorded {
            let job = &self.jobs[position.job];
            if let Some(team) = &job.accepted.team {
                let resources = &job.step_of(position.stage).resources;
                let used = possible.entry(team.clone()).or_default();
                *used = used.plus(resources);
            }
        }
        self.possible_use = possible;
    }

    /// Returns the tasks that a worker may run by a record of an earlier owner, and that are not
    /// known to run elsewhere. Those that wait for a stored start count already.
    fn recorded_runs(&self) -> HashSet<TaskPosition> {
        let tasks = self.held.values().flat_map(|held| &held.running);
        let positions = tasks.filter(|task| !self.awaits_start(task));
        let positions = positions.filter_map(|task| self.position(task));
        let is_unplaced =
            |position: &TaskPosition| self.task(*position).is_some_and(Task::is_unplaced);
        positions.filter(is_unplaced).collect()
    }

    /// Returns what each client account with a cap may have running on workers of which it is not
    /// known what they run. `recorded` are left out.
    fn unseen_uses(&self, recorded: &HashSet<TaskPosition>, now: Millis) -> HashMap<Name, Use> {
        let mut uses: HashMap<Name, Use> = HashMap::new();
        if self.is_settled() {
            return uses;
        }
        for (key, job) in self.jobs.iter().filter(|(_, job)| job.inherited) {
            let team = job.accepted.team.as_ref();
            let Some(team) = team.and_then(|team| self.policy.teams.get(team)) else {
                continue;
            };
            if team.cap == Resources::default() {
                continue;
            }
            let used = uses.entry(team.name.clone()).or_default();
            let steps = job.accepted.spec.steps.len();
            for first in (0..job.stages.len()).step_by(steps.max(1)) {
                let unseen_tasks = |stage: usize| {
                    let tasks = job.stages[stage].tasks.iter().enumerate();
                    let unseen = tasks.filter(|(index, task)| {
                        let position = TaskPosition {
                            job: key,
                            stage,
                            index: *index,
                        };
                        task.is_unplaced() && !recorded.contains(&position)
                    });
                    unseen.count() as u64
                };
                let stages = first..first + steps;
                let of_kind = |is_best_effort: bool| {
                    let unseen: Vec<Unseen<'_>> = stages
                        .clone()
                        .map(|stage| job.unseen(stage, is_best_effort, unseen_tasks, now))
                        .collect();
                    at_one_time(&unseen)
                };
                used.reserved = used.reserved.plus(&of_kind(false));
                used.best_effort = used.best_effort.plus(&of_kind(true));
            }
        }
        uses
    }

    /// Returns the capacity of the workers of which it is not known what they run, or `None` if it
    /// is not known which these are. Each counts as the largest worker, since some have shrunk and
    /// some are not listed.
    fn unseen_capacity(&self) -> Option<Resources> {
        let names = self.unconfirmed.as_ref()?;
        if names.contains(UNKNOWN) {
            return None;
        }
        let capacities = self.workers.values().map(|worker| worker.info.capacity);
        let largest = capacities.reduce(|largest, capacity| largest.max(&capacity))?;
        Some(largest.times(names.len() as u64))
    }
}

impl Job {
    fn step_of(&self, stage: usize) -> &Step {
        &self.accepted.spec.steps[self.stages[stage].step]
    }

    /// Returns what tasks of a stage may use that run unseen, of which there are `unseen_tasks`.
    fn unseen(
        &self,
        stage: usize,
        is_best_effort: bool,
        unseen_tasks: impl Fn(usize) -> u64,
        now: Millis,
    ) -> Unseen<'_> {
        let step = self.step_of(stage);
        let first = stage - self.stages[stage].step;
        // What an earlier step is known to run shows that this one has not begun.
        let is_running = |index: &usize| {
            let mut tasks = self.stages[first + index].tasks.iter();
            tasks.any(|task| !task.done && task.worker.is_some())
        };
        let may_have_begun = self.stages[stage].due <= now && !step.after.iter().any(is_running);
        // Stored starts tell where those run.
        let is_stored = step.long_running && self.starts_are_stored;
        let counts = may_have_begun && !is_stored && step.best_effort == is_best_effort;
        let tasks = if counts { unseen_tasks(stage) } else { 0 };
        Unseen {
            resources: step.resources.times(tasks),
            after: &step.after,
        }
    }
}
