//! Feedback from workers about tasks: their usage, successes and failures.

use basilbridge_common::{
    id,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    attribution::{
        Fault,
        WorkerStatus, //
    },
    policy,
    shard::Shard,
    task::{
        State,
        Task, //
    },
};

impl Shard {
    /// Records the resources that a task was recently measured to use.
    ///
    /// The task is charged the larger of its current charge and its usage. If the worker is
    /// overcommitted as a result, the next decision stops preemptible tasks, first those that
    /// have the least progress to lose.
    pub fn report_usage(&mut self, id: &id::Task, usage: &Resources, now: Millis) {
        let Some(key) = self.task_keys.get(id).copied() else {
            return;
        };
        let entry = &self.tasks[key];
        let State::Running(run) = &entry.state else {
            return;
        };
        let worker = run.worker;
        if let Some(family) = &entry.task.family {
            let team = &entry.task.team;
            self.estimates.record_usage(team, family, usage, now);
        }
        let charge = entry.charge.max(usage);
        if charge != entry.charge {
            self.set_charge(key, charge);
            self.overcommitted.insert(worker);
        }
    }

    /// Records that a task succeeded. Call this before the task is removed.
    pub fn report_success(&mut self, id: &id::Task, now: Millis) {
        let Some((job, worker, slots)) = self.running_on(id) else {
            return;
        };
        self.attribution.record_success(&job, &worker, slots);
        self.apply_worker_status(&worker, now);
    }

    /// Records that a task failed, and returns what is at fault. Call this before the task is
    /// requeued or removed.
    pub fn report_failure(&mut self, id: &id::Task, now: Millis) -> Fault {
        let Some((job, worker, _)) = self.running_on(id) else {
            return Fault::Unknown;
        };
        let fault = self.attribution.record_failure(&job, &worker, now);
        self.apply_worker_status(&worker, now);
        if fault == Fault::Job {
            self.apply_worker_statuses(now);
        }
        fault
    }

    /// Limits the tasks of restricted workers to what their status allows at `now`.
    pub(crate) fn apply_worker_statuses(&mut self, now: Millis) {
        for name in self.restricted.clone() {
            self.apply_worker_status(&name, now);
        }
    }

    /// Limits the tasks of a worker to what its status allows at `now`.
    fn apply_worker_status(&mut self, worker: &id::Name, now: Millis) {
        let Some(key) = self.workers.find(worker) else {
            return;
        };
        let max_tasks = match self.attribution.worker_status(worker, now) {
            WorkerStatus::Trusted => u32::MAX,
            WorkerStatus::Probation(slots) => slots,
            WorkerStatus::Quarantined(_) => 0,
        };
        let load = self.workers.get(key);
        if load.is_some_and(|load| load.max_tasks != max_tasks.min(load.worker.slots)) {
            self.workers.set_max_tasks(key, max_tasks);
        }
        if max_tasks == u32::MAX {
            self.restricted.remove(worker);
        } else {
            self.restricted.insert(worker.clone());
        }
    }

    /// Returns the job of a running task, and the name and the slots of the task's worker.
    fn running_on(&self, id: &id::Task) -> Option<(id::Job, id::Name, u32)> {
        let worker = self.worker_of(id)?;
        Some((id.job.clone(), worker.name.clone(), worker.slots))
    }

    /// Returns the resources that a task is charged from its start: the larger of its declared and
    /// its estimated size. The estimate is capped at the capacity of the largest worker.
    ///
    /// A family that is estimated to be larger than any worker can still start, alone on a worker.
    pub(crate) fn charge_of(&self, task: &Task, now: Millis) -> Resources {
        let estimate = task.family.as_ref().map(|family| {
            let size = self.estimates.size(&task.team, family, now);
            size.min(&self.max_worker_capacity)
        });
        task.resources.max(&estimate.unwrap_or_default())
    }

    /// Changes the resources that a running task is charged.
    fn set_charge(&mut self, key: crate::task::Key, charge: Resources) {
        let entry = &mut self.tasks[key];
        let old_charge = std::mem::replace(&mut entry.charge, charge);
        let (team, short_lived) = (entry.team, policy::of(entry.task.kind).short_lived);
        let team_name = entry.task.team.clone();
        let State::Running(run) = &entry.state else {
            return;
        };
        let stopping = run.stop_phase.is_some();
        self.workers.update(run.worker, |load| {
            load.used = load.used.minus(&old_charge).plus(&charge);
        });
        self.allotments.end(&team_name, &old_charge);
        self.allotments.start(&team_name, &charge);
        self.shares.update(team, |account| {
            let replace = |sum: &mut Resources| *sum = sum.minus(&old_charge).plus(&charge);
            replace(&mut account.used);
            if short_lived {
                replace(&mut account.urgent);
            }
            if stopping {
                replace(&mut account.stopping);
            }
        });
        self.update_team_level(team);
    }
}
