//! Stored starts of long-running tasks, told by one owner to the next.
//!
//! Other starts are not stored, so a new owner waits for all workers before it starts inherited work.
//! A long-running task must not wait that long, and starts seldom. So an owner stores the start of
//! each before it sends the order, and the next owner waits only for the worker in that record. See
//! `docs/design/lasting.md`.

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    active::Job,
    crash::Record,
    engine::Engine,
    evacuation,
    job::{
        Spec,
        TaskId, //
    },
    order::{
        Order,
        Start, //
    },
    progress::{
        Placement,
        Progress, //
    },
    worker::{
        self,
        JobKey,
        Phase,
        TaskPosition, //
    },
};

/// Most long-running tasks of a job whose starts are stored, so that its progress fits into a row of
/// the store. Owners trust each other's records, so all of them have to agree on it.
const MAX_TASKS: u64 = 200;

/// A task that waits for the worker on which an earlier owner may have started it.
#[derive(Debug)]
pub(crate) struct Awaited {
    task: TaskId,
    /// Team whose cap the task counts against, and the resources that count.
    team: Option<(Name, Resources)>,
}

/// Returns whether the starts of the long-running tasks of a job are stored before they are sent.
pub(crate) fn covers(spec: &Spec) -> bool {
    let steps = spec.steps.iter().filter(|step| step.long_running);
    let tasks: u64 = steps.map(|step| u64::from(step.count)).sum();
    tasks.saturating_mul(u64::from(spec.occurrences())) <= MAX_TASKS
}

impl Job {
    /// Returns whether a start of a task of the stage is sent only once it is stored.
    pub(crate) fn stores_starts(&self, stage: usize) -> bool {
        let step = &self.accepted.spec.steps[self.stages[stage].step];
        step.long_running && covers(&self.accepted.spec)
    }
}

impl Engine {
    /// Returns whether all owners that may have started tasks of a job have stored the starts of its
    /// long-running tasks. The row of the job has `version`.
    pub(crate) fn trusts_starts(&self, version: Version, spec: &Spec) -> bool {
        let first = self.settings.lineage.first_version;
        first.is_some_and(|first| version > first) && covers(spec)
    }

    /// Keeps a start back until it is stored.
    pub(crate) fn hold_until_stored(&mut self, position: TaskPosition, start: Start) {
        self.record_start(position, start.target.key, start.run);
        self.mark_dirty(position.job);
        self.unstored_starts.insert(start.task.clone(), start);
    }

    /// Records the latest start of a task, if its job stores them.
    pub(crate) fn record_start(&mut self, position: TaskPosition, key: worker::Key, run: u32) {
        if !self.jobs[position.job].stores_starts(position.stage) {
            return;
        }
        let placement = self.workers[key].placement(run);
        if let Some(task) = self.task_mut(position)
            && task.start.as_ref() != Some(&placement)
        {
            task.start = Some(placement);
            self.mark_dirty(position.job);
        }
    }

    /// Sends the starts of a job that `stored` contains.
    ///
    /// The order of a run that is to stop is not sent any more. Its stop, which was sent, ends it like
    /// any other.
    pub(crate) fn send_stored_starts(&mut self, key: JobKey, stored: &Progress, now: Millis) {
        if self.unstored_starts.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let mut due = Vec::new();
        for (stage_index, stage) in &stored.stages {
            for (index, stored) in &stage.tasks {
                let index = *index as usize;
                let known = job.stages.get(*stage_index);
                let known = known.and_then(|stage| stage.tasks.get(index));
                if stored.start.is_some() && known.is_some_and(|task| task.start == stored.start) {
                    due.push(job.task_id(*stage_index, index));
                }
            }
        }
        for task in due {
            let Some(mut start) = self.unstored_starts.remove(&task) else {
                continue;
            };
            let run = self.workers.get(start.target.key);
            let run = run.and_then(|worker| worker.runs.get(&task));
            if !run.is_some_and(|run| run.run == start.run && run.phase == Phase::Ordered) {
                continue;
            }
            if let Some(lease_end) = self.lease_end(start.target.key, now) {
                start.lease_end = lease_end;
            }
            self.orders.push(Order::Start(start));
        }
    }

    /// Returns the end of the lease of a run that starts now, by the clock of its worker.
    pub(crate) fn lease_end(&mut self, key: worker::Key, now: Millis) -> Option<u64> {
        let base = self.lease_base(now);
        let worker = &mut self.workers[key];
        let lease_end = worker.extend_lease(self.settings.lease, base, now)?;
        let start_end = evacuation::start_end(self.settings.evacuation_limit, worker, now);
        Some(lease_end.min(start_end.unwrap_or(u64::MAX)))
    }

    /// Holds back the tasks that earlier owners may have started on workers which have not answered
    /// this one. All other long-running tasks whose starts are stored run nowhere.
    ///
    /// A worker that is neither expected nor recorded as silent runs nothing: an owner starts nothing
    /// on a worker before the next one is certain to find its name.
    pub(crate) fn await_stored_starts(&mut self) {
        for (position, worker) in self.inherited_starts() {
            if !self.may_run_unknown(&worker) {
                self.forget_start(position);
                continue;
            }
            let job = &mut self.jobs[position.job];
            let resources = job.accepted.spec.steps[job.stages[position.stage].step].resources;
            let awaited = Awaited {
                task: job.task_id(position.stage, position.index),
                team: job.accepted.team.clone().map(|team| (team, resources)),
            };
            job.stages[position.stage].tasks[position.index].held = true;
            if let Some((team, resources)) = &awaited.team {
                let used = self.team_usage.entry(team.clone()).or_default();
                *used = used.plus(resources);
            }
            self.awaited_starts.entry(worker).or_default().push(awaited);
        }
    }

    /// Returns the tasks with a trusted record of their start, and the workers in it.
    fn inherited_starts(&self) -> Vec<(TaskPosition, Name)> {
        let mut inherited = Vec::new();
        let jobs = self.jobs.iter();
        for (key, job) in jobs.filter(|(_, job)| job.starts_are_stored && job.final_state.is_none())
        {
            for (stage_index, stage) in job.stages.iter().enumerate() {
                let tasks = stage.tasks.iter().enumerate();
                let of_stage = tasks.filter(|(_, task)| task.is_unplaced());
                inherited.extend(of_stage.filter_map(|(index, task)| {
                    let position = TaskPosition {
                        job: key,
                        stage: stage_index,
                        index,
                    };
                    Some((position, task.start.as_ref()?.worker.clone()))
                }));
            }
        }
        inherited
    }

    /// Returns whether a task waits for the worker on which an earlier owner may have started it.
    pub(crate) fn awaits_start(&self, task: &TaskId) -> bool {
        let mut awaited = self.awaited_starts.values().flatten();
        awaited.any(|awaited| awaited.task == *task)
    }

    /// Releases the tasks that wait for a worker, whose runs are known or have ended.
    pub(crate) fn release_starts(&mut self, name: &Name, now: Millis) {
        for awaited in self.awaited_starts.remove(name).unwrap_or_default() {
            if let Some((team, resources)) = &awaited.team
                && let Some(used) = self.team_usage.get_mut(team)
            {
                *used = used.minus(resources);
            }
            let is_held = self.held.values().any(|held| held.contains(&awaited.task));
            let Some(position) = self.position(&awaited.task) else {
                continue;
            };
            let Some(task) = self.task_mut(position) else {
                continue;
            };
            task.held = is_held;
            if !task.is_unplaced() {
                continue;
            }
            let placement = task.history.placement.as_ref();
            let is_inherited = task.history.record == Record::Inherited
                && placement.is_some_and(|placement| placement.worker == *name);
            self.forget_start(position);
            // The next start replaces the placement, which may tell of a crash.
            if is_inherited {
                self.resolve_inherited_placement(position, now);
            }
        }
    }

    /// Releases the tasks of all workers that run nothing unknown any more.
    pub(crate) fn release_known_starts(&mut self, now: Millis) {
        let names = self.awaited_starts.keys();
        let known = names.filter(|name| !self.may_run_unknown(name));
        let known: Vec<Name> = known.cloned().collect();
        for name in known {
            self.release_starts(&name, now);
        }
    }

    /// Records that the latest run of a task has ended.
    pub(crate) fn forget_start(&mut self, position: TaskPosition) {
        let Some(job) = self.jobs.get_mut(position.job) else {
            return;
        };
        let start: Option<Placement> = job.stages[position.stage].tasks[position.index]
            .start
            .take();
        if start.is_some() && job.final_state.is_none() {
            self.mark_dirty(position.job);
        }
    }
}
