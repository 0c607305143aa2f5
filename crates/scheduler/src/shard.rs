//! The state of one shard.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use basilbridge_common::{
    id::{
        self,
        Name, //
    },
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
    worker::Worker,
};
use slotmap::SlotMap;

use crate::{
    allotment::Ledger,
    attribution::Attribution,
    estimate::Estimates,
    headroom::Headroom,
    placement::{
        self,
        Index, //
    },
    policy,
    preemption::Victims,
    queue::Queue,
    reservation::{
        self,
        Group,
        Reservation, //
    },
    share::{
        self,
        Shares,
        Team, //
    },
    shed::{
        LoadShedder,
        Refusal, //
    },
    task::{
        self,
        Entry,
        Run, //
        State,
        StopPhase,
    },
};

pub use crate::task::Task;

/// What the owner has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a task on a worker.
    Start {
        /// The task.
        task: id::Task,
        /// The worker.
        worker: Worker,
    },
    /// Give up a task whose deadline passed before it started.
    Expire {
        /// The task.
        task: id::Task,
    },
    /// Have the worker save the progress of a task that is about to be stopped.
    ///
    /// [`Shard::record_checkpoint`] tells when that is done; the stop follows even without.
    Checkpoint {
        /// The task.
        task: id::Task,
        /// The worker.
        worker: Worker,
    },
    /// Stop a task so that another one can start.
    ///
    /// [`Shard::requeue`] tells that it runs no more, [`Shard::remove`] that it ended.
    Stop {
        /// The task.
        task: id::Task,
        /// The worker.
        worker: Worker,
    },
}

/// The state of one shard.
#[derive(Debug, Default)]
pub struct Shard {
    pub(crate) workers: Index,
    pub(crate) capacity: Resources,
    pub(crate) slots: u64,
    /// The most that any one worker has, in each dimension.
    pub(crate) max_worker_capacity: Resources,
    pub(crate) fleet: Option<Resources>,
    pub(crate) queue: Queue,
    pub(crate) shares: Shares,
    pub(crate) headroom: Headroom,
    pub(crate) estimates: Estimates,
    pub(crate) attribution: Attribution,
    pub(crate) load_shedder: LoadShedder,
    /// The workers that take fewer tasks than they have slots.
    pub(crate) restricted: BTreeSet<Name>,
    pub(crate) tasks: SlotMap<task::Key, Entry>,
    pub(crate) task_keys: HashMap<id::Task, task::Key>,
    pub(crate) deadlines: BTreeSet<(Millis, task::Key)>,
    pub(crate) groups: BTreeMap<(Millis, id::Job), Group>,
    pub(crate) reservations: SlotMap<reservation::Key, Reservation>,
    pub(crate) victims: Victims,
    pub(crate) saving: BTreeSet<(Millis, task::Key)>,
    /// The racks of the tasks of each job that is spread over racks.
    pub(crate) racks: HashMap<id::Job, Vec<u32>>,
    pub(crate) running: usize,
    /// Which promised place backfill looks at first.
    pub(crate) turn: usize,
    /// The workers that may be over their size since a task was found to be larger.
    pub(crate) overcommitted: BTreeSet<placement::Key>,
    /// The teams whose tasks wait for want of allotment.
    pub(crate) parked: BTreeSet<share::Key>,
    /// What the teams run here and may run here.
    pub allotments: Ledger,
}

impl Shard {
    /// Adds a worker, or takes note of its change.
    pub fn set_worker(&mut self, worker: Worker) {
        self.workers.set(worker);
        self.count_capacity();
    }

    /// Forgets a worker that is gone, and returns the tasks that ran there.
    ///
    /// The tasks count as running until each is removed or queued again.
    pub fn remove_worker(&mut self, name: &Name) -> Vec<id::Task> {
        let Some(key) = self.workers.find(name) else {
            return Vec::new();
        };
        self.cancel_holds(key);
        self.attribution.forget(name);
        self.restricted.remove(name);
        let removed = self.workers.remove(key);
        self.count_capacity();
        let tasks = removed.into_iter().flat_map(|slot| slot.tasks);
        tasks
            .filter_map(|task| self.tasks.get(task).map(|entry| entry.task.id.clone()))
            .collect()
    }

    /// Sets the teams, with what they have elsewhere, and what the whole fleet has.
    ///
    /// Without this each team has a weight of one and the shard stands for the fleet.
    pub fn set_teams(&mut self, teams: Vec<Team>, fleet: Option<Resources>) {
        self.fleet = fleet;
        self.shares.set_capacity(fleet.unwrap_or(self.capacity));
        for team in teams {
            self.shares.set(team);
        }
        self.update_team_levels();
    }

    /// Returns what each team is counted with.
    pub fn teams(&self) -> impl Iterator<Item = &share::Account> {
        self.shares.iter().map(|(_, account)| account)
    }

    /// Returns the lowest level of a team that waits, as a part of the mean of such teams.
    pub fn nearness(&self) -> Option<f64> {
        self.shares.nearness()
    }

    /// Returns the workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().map(|(_, slot)| &slot.worker)
    }

    /// Returns the workers with what they have left.
    pub fn worker_loads(&self) -> impl Iterator<Item = &placement::WorkerLoad> {
        self.workers.iter().map(|(_, slot)| slot)
    }

    /// Returns how many nodes of the placement index all searches have looked at.
    pub fn nodes_examined(&self) -> u64 {
        self.workers.nodes_examined()
    }

    /// Says whether a decision is due in [`policy::DECISION_INTERVAL`] even if nothing changes.
    pub fn needs_periodic_decision(&self) -> bool {
        self.queued() > 0 || !self.saving.is_empty()
    }

    /// Returns how many tasks wait.
    pub fn queued(&self) -> usize {
        self.tasks.len() - self.running
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Says where a task runs.
    pub fn worker_of(&self, id: &id::Task) -> Option<&Worker> {
        let entry = self.tasks.get(*self.task_keys.get(id)?)?;
        match &entry.state {
            State::Running(run) => self.workers.get(run.worker).map(|slot| &slot.worker),
            _ => None,
        }
    }

    /// Returns what a task is counted with, which is never less than declared.
    pub fn charge(&self, id: &id::Task) -> Option<Resources> {
        let entry = self.tasks.get(*self.task_keys.get(id)?)?;
        Some(entry.charge)
    }

    /// Says whether any worker of the shard could run a task of this size when empty.
    pub fn possible(&self, need: &Resources) -> bool {
        self.workers
            .iter()
            .any(|(_, slot)| need.fits(&slot.worker.capacity))
    }

    /// Refuses a task that would wait in vain; nothing of it has run or will run.
    pub fn admit(&self, kind: Kind, deadline: Option<Millis>, now: Millis) -> Result<(), Refusal> {
        let most = policy::of(kind).most_waiting;
        self.load_shedder.admit(kind, deadline, most, now)
    }

    /// Queues a task; one that is known already stays as it is.
    pub fn submit(&mut self, task: Task) {
        if self.task_keys.contains_key(&task.id) {
            return;
        }
        let team = self.shares.key(&task.team);
        let charge = self.charge_of(&task, task.accepted);
        let id = task.id.clone();
        let key = self.tasks.insert(Entry {
            task,
            team,
            charge,
            state: State::Grouped,
        });
        self.task_keys.insert(id, key);
        self.wait(key);
    }

    /// Counts a task that already runs on a worker of this name.
    ///
    /// Nothing is counted if there is no such worker.
    pub fn adopt(&mut self, task: Task, worker: &Name) {
        let Some(worker) = self.workers.find(worker) else {
            return;
        };
        let saved = task.accepted;
        let id = task.id.clone();
        self.remove(&id);
        self.submit(task);
        let key = self.task_keys[&id];
        self.leave_queue(key);
        self.run(key, worker, saved, false);
        // The task counts against what the last owner may have running, not as a new start.
        let entry = &self.tasks[key];
        self.allotments.end(&entry.task.team, &entry.charge);
        self.allotments
            .add_recovered(&entry.task.team, &entry.charge);
    }

    /// Forgets a task that has ended, was cancelled or has failed to start.
    pub fn remove(&mut self, id: &id::Task) -> Option<Task> {
        let key = self.task_keys.remove(id)?;
        self.leave_queue(key);
        let run = self.leave_worker(key);
        let stopped = run.is_some_and(|run| run.stop_phase.is_some());
        let mut task = self.tasks.remove(key)?.task;
        task.preemptions += u32::from(stopped);
        Some(task)
    }

    /// Puts a task that runs no more back into the queue.
    pub fn requeue(&mut self, id: &id::Task) {
        let Some(key) = self.task_keys.get(id).copied() else {
            return;
        };
        let Some(run) = self.leave_worker(key) else {
            return;
        };
        let entry = &mut self.tasks[key];
        entry.task.preemptions += u32::from(run.stop_phase.is_some());
        let charge = self.charge_of(&self.tasks[key].task, run.saved);
        self.tasks[key].charge = charge;
        self.wait(key);
    }

    /// Takes note that the progress of a task was saved at `now`.
    pub fn record_checkpoint(&mut self, id: &id::Task, now: Millis) {
        let Some(key) = self.task_keys.get(id).copied() else {
            return;
        };
        let entry = &mut self.tasks[key];
        let team = entry.team;
        let State::Running(run) = &mut entry.state else {
            return;
        };
        if self.victims.remove(team, run.saved, key) {
            self.victims.insert(team, now, key);
        }
        run.saved = now;
        if let Some(StopPhase::Checkpointing(until)) = run.stop_phase {
            run.stop_phase = Some(StopPhase::Checkpointing(now));
            self.saving.remove(&(until, key));
            self.saving.insert((now, key));
        }
    }

    /// Puts a task that is nowhere into the queue.
    pub(crate) fn wait(&mut self, key: task::Key) {
        let entry = &mut self.tasks[key];
        let (task, team) = (&entry.task, entry.team);
        if task.kind == Kind::Gang {
            let name = (task.accepted, task.id.job.clone());
            self.join_group(name, key);
        } else {
            let rank = (policy::of(task.kind).rank)(task);
            let ticket = self.queue.push(task.kind, team, &entry.charge, rank, key);
            entry.state = State::Waiting(ticket);
        }
        if let Some(deadline) = self.tasks[key].task.deadline {
            self.deadlines.insert((deadline, key));
        }
        self.load_shedder.enqueue(self.tasks[key].task.kind);
        self.shares.update(team, |account| account.waiting += 1);
        self.update_team_level(team);
    }

    /// Takes a task that does not run out of the queue, or out of its reservation.
    pub(crate) fn leave_queue(&mut self, key: task::Key) {
        let entry = &self.tasks[key];
        let team = entry.team;
        if let Some(deadline) = entry.task.deadline {
            self.deadlines.remove(&(deadline, key));
        }
        match entry.state {
            State::Running(_) => return,
            State::Waiting(ref ticket) => {
                self.queue.remove(ticket);
            }
            State::Reserved(reservation) => self.leave_reservation(reservation, key),
            State::Grouped => {}
        }
        self.leave_group(key);
        self.load_shedder.dequeue(self.tasks[key].task.kind);
        self.shares.update(team, |account| account.waiting -= 1);
    }

    /// Starts a task that has left the queue.
    pub(crate) fn run(
        &mut self,
        key: task::Key,
        worker: placement::Key,
        now: Millis,
        backfill: bool,
    ) {
        let rack = self.workers.get(worker).map_or(0, |slot| slot.worker.rack);
        let entry = &mut self.tasks[key];
        let (team, charge) = (entry.team, entry.charge);
        entry.state = State::Running(Run {
            worker,
            rack,
            saved: now,
            stop_phase: None,
            backfill,
        });
        let policy = policy::of(entry.task.kind);
        // A task in room that is promised to a group makes no room for others when it leaves.
        if !backfill
            && (policy.preemptible)(&entry.task)
            && entry.task.preemptions < policy::MOST_PREEMPTIONS
        {
            self.victims.insert(team, now, key);
        }
        if policy.spread_racks {
            let racks = self.racks.entry(entry.task.id.job.clone()).or_default();
            racks.push(rack);
        }
        if entry.task.kind == Kind::Interactive {
            self.headroom.start(&charge, now);
        }
        self.running += 1;
        self.load_shedder.start(entry.task.kind, now);
        self.allotments.start(&entry.task.team, &charge);
        self.workers.take(worker, key, &charge);
        self.shares.update(team, |account| {
            account.used = account.used.plus(&charge);
            if policy.short_lived {
                account.urgent = account.urgent.plus(&charge);
            }
        });
        self.update_team_level(team);
    }

    /// Takes a task off its worker; the task is nowhere then.
    fn leave_worker(&mut self, key: task::Key) -> Option<Run> {
        let entry = &mut self.tasks[key];
        let (team, charge) = (entry.team, entry.charge);
        let State::Running(run) = std::mem::replace(&mut entry.state, State::Grouped) else {
            return None;
        };
        self.victims.remove(team, run.saved, key);
        if let Some(StopPhase::Checkpointing(until)) = run.stop_phase {
            self.saving.remove(&(until, key));
        }
        let job = &entry.task.id.job;
        if let Some(racks) = self.racks.get_mut(job) {
            let at = racks.iter().position(|rack| *rack == run.rack);
            at.map(|at| racks.swap_remove(at));
            if racks.is_empty() {
                self.racks.remove(job);
            }
        }
        let policy = policy::of(entry.task.kind);
        if policy.short_lived {
            self.headroom.end(&charge);
        }
        self.running -= 1;
        self.allotments.end(&entry.task.team, &charge);
        self.workers.give_back(run.worker, key, &charge);
        self.shares.update(team, |account| {
            account.used = account.used.minus(&charge);
            if policy.short_lived {
                account.urgent = account.urgent.minus(&charge);
            }
            if run.stop_phase.is_some() {
                account.stopping = account.stopping.minus(&charge);
            }
        });
        self.update_team_level(team);
        Some(run)
    }

    pub(crate) fn update_team_level(&mut self, team: share::Key) {
        self.queue.set_level(team, self.shares.level(team));
    }

    fn update_team_levels(&mut self) {
        let levels: Vec<_> = self
            .shares
            .iter()
            .map(|(team, _)| (team, self.shares.level(team)))
            .collect();
        for (team, level) in levels {
            self.queue.set_level(team, level);
        }
    }

    fn count_capacity(&mut self) {
        let workers = self.workers.iter().map(|(_, slot)| &slot.worker);
        let (capacity, slots) = workers.fold((Resources::default(), 0), |(sum, slots), worker| {
            (sum.plus(&worker.capacity), slots + u64::from(worker.slots))
        });
        (self.capacity, self.slots) = (capacity, slots);
        let capacities = self.workers.iter().map(|(_, slot)| slot.worker.capacity);
        self.max_worker_capacity =
            capacities.fold(Resources::default(), |most, next| most.max(&next));
        if self.fleet.is_none() {
            self.shares.set_capacity(capacity);
            self.update_team_levels();
        }
    }
}
