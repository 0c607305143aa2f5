//! What workers tell of tasks, and what the shard learns from it.

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
    /// Takes in what a task uses, as of some time ago.
    ///
    /// The task is counted with the larger of what it was counted with and what it uses. Where
    /// that puts the worker over its size, the next decision asks the tasks with the least work to
    /// lose to leave, as far as they may be stopped.
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
            self.recharge(key, charge);
            self.overcommitted.insert(worker);
        }
    }

    /// Takes in that a task succeeded, before it is removed.
    pub fn report_success(&mut self, id: &id::Task, now: Millis) {
        let Some((job, worker, slots)) = self.whereabouts(id) else {
            return;
        };
        self.attribution.succeed(&job, &worker, slots);
        self.apply_worker_status(&worker, now);
    }

    /// Takes in that a task failed, before it is queued again or removed.
    pub fn report_failure(&mut self, id: &id::Task, now: Millis) -> Fault {
        let Some((job, worker, _)) = self.whereabouts(id) else {
            return Fault::Unknown;
        };
        let fault = self.attribution.fail(&job, &worker, now);
        self.apply_worker_status(&worker, now);
        if fault == Fault::Job {
            self.apply_worker_statuses(now);
        }
        fault
    }

    /// Lets workers take as many tasks as their standing allows at `now`.
    pub(crate) fn apply_worker_statuses(&mut self, now: Millis) {
        for name in self.restricted.clone() {
            self.apply_worker_status(&name, now);
        }
    }

    fn apply_worker_status(&mut self, worker: &id::Name, now: Millis) {
        let Some(key) = self.workers.find(worker) else {
            return;
        };
        let most = match self.attribution.worker_status(worker, now) {
            WorkerStatus::Trusted => u32::MAX,
            WorkerStatus::Probation(slots) => slots,
            WorkerStatus::Quarantined(_) => 0,
        };
        let slot = self.workers.get(key);
        if slot.is_some_and(|slot| slot.max_tasks != most.min(slot.worker.slots)) {
            self.workers.set_max_tasks(key, most);
        }
        if most == u32::MAX {
            self.restricted.remove(worker);
        } else {
            self.restricted.insert(worker.clone());
        }
    }

    fn whereabouts(&self, id: &id::Task) -> Option<(id::Job, id::Name, u32)> {
        let worker = self.worker_of(id)?;
        Some((id.job.clone(), worker.name.clone(), worker.slots))
    }

    /// Returns what a task is counted with from its start on: the larger of the declared and the
    /// learned size, but never more than the largest worker has.
    ///
    /// A family that is learned to be larger than any worker still gets a worker of its own.
    pub(crate) fn charge_of(&self, task: &Task, now: Millis) -> Resources {
        let learned = task.family.as_ref().map(|family| {
            let size = self.estimates.size(&task.team, family, now);
            size.min(&self.max_worker_capacity)
        });
        task.resources.max(&learned.unwrap_or_default())
    }

    /// Counts a running task with another size.
    fn recharge(&mut self, key: crate::task::Key, charge: Resources) {
        let entry = &mut self.tasks[key];
        let before = std::mem::replace(&mut entry.charge, charge);
        let (team, short_lived) = (entry.team, policy::of(entry.task.kind).short_lived);
        let name = entry.task.team.clone();
        let State::Running(run) = &entry.state else {
            return;
        };
        let leaving = run.stop_phase.is_some();
        self.workers.update(run.worker, |slot| {
            slot.used = slot.used.minus(&before).plus(&charge);
        });
        self.allotments.end(&name, &before);
        self.allotments.start(&name, &charge);
        self.shares.update(team, |account| {
            let swap = |sum: &mut Resources| *sum = sum.minus(&before).plus(&charge);
            swap(&mut account.used);
            if short_lived {
                swap(&mut account.urgent);
            }
            if leaving {
                swap(&mut account.stopping);
            }
        });
        self.update_team_level(team);
    }
}
