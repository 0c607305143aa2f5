//! What client accounts may have running on workers that have not answered.
//!
//! A new owner learns what runs from the workers. Until a worker has answered, or its leases are
//! over, what it may still run counts against the caps of client accounts like what is known to
//! run. The load that this answers: an account at its cap submits more work right after a change of
//! the owner, while a worker is silent. See `docs/design/caps.md`.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    ops::Range, //
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
    worker::{
        JobKey,
        TaskPosition, //
    },
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
            for stages in job.occurrences() {
                let at_one_time = |is_best_effort: bool| {
                    let unseen = stages.clone().map(|stage| {
                        let step = job.step_of(stage);
                        let tasks = match step.best_effort == is_best_effort {
                            true => job.unseen_tasks(key, stage, recorded, now),
                            false => 0,
                        };
                        Unseen {
                            resources: step.resources.times(tasks),
                            after: &step.after,
                        }
                    });
                    at_one_time(&unseen.collect::<Vec<_>>())
                };
                used.reserved = used.reserved.plus(&at_one_time(false));
                used.best_effort = used.best_effort.plus(&at_one_time(true));
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

    /// Returns the stages of each occurrence.
    fn occurrences(&self) -> impl Iterator<Item = Range<usize>> {
        let steps = self.accepted.spec.steps.len().max(1);
        let firsts = (0..self.stages.len()).step_by(steps);
        firsts.map(move |first| first..first + steps)
    }

    /// Returns how many tasks of a stage may run unseen. `recorded` are left out.
    fn unseen_tasks(
        &self,
        job: JobKey,
        stage: usize,
        recorded: &HashSet<TaskPosition>,
        now: Millis,
    ) -> u64 {
        let step = self.step_of(stage);
        let first = stage - self.stages[stage].step;
        // What an earlier step is known to run shows that this one has not begun.
        let is_running = |index: &usize| {
            let mut tasks = self.stages[first + index].tasks.iter();
            tasks.any(|task| !task.done && task.worker.is_some())
        };
        // Stored starts tell where those run.
        let is_stored = step.long_running && self.starts_are_stored;
        if self.stages[stage].due > now || is_stored || step.after.iter().any(is_running) {
            return 0;
        }
        let tasks = self.stages[stage].tasks.iter().enumerate();
        let unseen = tasks.filter(|(index, task)| {
            let position = TaskPosition {
                job,
                stage,
                index: *index,
            };
            task.is_unplaced() && !recorded.contains(&position)
        });
        unseen.count() as u64
    }
}
