//! The scheduling state of one shard.

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
        Gang,
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
        Run,
        State,
        StopPhase, //
    },
};

pub use crate::task::Task;

/// An action that [`Shard::decide`] asks the shard's owner to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a waiting task on a worker.
    Start {
        /// The task to start.
        task: id::Task,
        /// The worker to start it on.
        worker: Worker,
    },
    /// Fail a task whose deadline passed before it started.
    Expire {
        /// The expired task, which the shard no longer tracks.
        task: id::Task,
    },
    /// Ask the worker to checkpoint a task that is about to be stopped.
    ///
    /// The owner reports the checkpoint with [`Shard::record_checkpoint`]. Without a report, the
    /// stop follows after a grace period.
    Checkpoint {
        /// The task to checkpoint.
        task: id::Task,
        /// The worker that runs it.
        worker: Worker,
    },
    /// Stop a running task, for example to free its capacity for another task.
    ///
    /// The owner then calls [`Shard::requeue`] once the task no longer runs, or [`Shard::remove`]
    /// if it ended.
    Stop {
        /// The task to stop.
        task: id::Task,
        /// The worker that runs it.
        worker: Worker,
    },
}

/// The workers, tasks and teams of one shard, with the indexes that decisions need.
#[derive(Debug, Default)]
pub struct Shard {
    pub(crate) workers: Index,
    pub(crate) capacity: Resources,
    pub(crate) total_slots: u64,
    /// The largest capacity of any single worker, per dimension.
    pub(crate) max_worker_capacity: Resources,
    pub(crate) fleet: Option<Resources>,
    pub(crate) queue: Queue,
    pub(crate) shares: Shares,
    pub(crate) headroom: Headroom,
    pub(crate) estimates: Estimates,
    pub(crate) attribution: Attribution,
    pub(crate) load_shedder: LoadShedder,
    /// Workers that may run fewer tasks than they have slots, because tasks failed on them.
    pub(crate) restricted: BTreeSet<Name>,
    pub(crate) tasks: SlotMap<task::Key, Entry>,
    pub(crate) task_keys: HashMap<id::Task, task::Key>,
    pub(crate) deadlines: BTreeSet<(Millis, task::Key)>,
    pub(crate) gangs: BTreeMap<(Millis, id::Job), Gang>,
    pub(crate) reservations: SlotMap<reservation::Key, Reservation>,
    pub(crate) victims: Victims,
    pub(crate) checkpointing: BTreeSet<(Millis, task::Key)>,
    /// For each job whose tasks are spread over racks, the racks of its running tasks.
    pub(crate) racks_by_job: HashMap<id::Job, Vec<u32>>,
    pub(crate) running: usize,
    /// Counter that selects the reserved worker at which backfill starts its search.
    pub(crate) backfill_rotation: usize,
    /// Workers that may exceed their capacity since the charge of one of their tasks was raised.
    pub(crate) overcommitted: BTreeSet<placement::Key>,
    /// Teams with tasks that wait because the team's allotment is used up.
    pub(crate) parked_teams: BTreeSet<share::Key>,
    /// The resources that each team uses in this shard, and the allotments of limited teams.
    pub allotments: Ledger,
}

impl Shard {
    /// Adds a worker, or updates one that is already known.
    pub fn set_worker(&mut self, worker: Worker) {
        self.workers.upsert(worker);
        self.update_capacity();
    }

    /// Removes a worker and returns the tasks that ran on it.
    ///
    /// These tasks still count as running until each is removed or requeued.
    pub fn remove_worker(&mut self, name: &Name) -> Vec<id::Task> {
        let Some(key) = self.workers.find(name) else {
            return Vec::new();
        };
        self.cancel_holds(key);
        self.attribution.forget(name);
        self.restricted.remove(name);
        let removed = self.workers.remove(key);
        self.update_capacity();
        let tasks = removed.into_iter().flat_map(|load| load.tasks);
        tasks
            .filter_map(|task| self.tasks.get(task).map(|entry| entry.task.id.clone()))
            .collect()
    }

    /// Sets the teams, including their usage in other shards, and the capacity of the whole fleet.
    ///
    /// Teams that were never set have a weight of one. With `fleet` unset, the capacity of this
    /// shard is used in place of the fleet's.
    pub fn set_teams(&mut self, teams: Vec<Team>, fleet: Option<Resources>) {
        self.fleet = fleet;
        self.shares.set_capacity(fleet.unwrap_or(self.capacity));
        for team in teams {
            self.shares.set(team);
        }
        self.update_team_levels();
    }

    /// Returns the usage account of each team.
    pub fn teams(&self) -> impl Iterator<Item = &share::Account> {
        self.shares.iter().map(|(_, account)| account)
    }

    /// Returns the lowest level among teams with waiting tasks, divided by the mean level of these
    /// teams.
    pub fn nearness(&self) -> Option<f64> {
        self.shares.nearness()
    }

    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().map(|(_, load)| &load.worker)
    }

    /// Returns all workers with their used and reserved resources.
    pub fn worker_loads(&self) -> impl Iterator<Item = &placement::WorkerLoad> {
        self.workers.iter().map(|(_, load)| load)
    }

    /// Returns the total number of placement index nodes that searches have examined.
    pub fn nodes_examined(&self) -> u64 {
        self.workers.nodes_examined()
    }

    /// Returns whether the next decision is due within [`policy::DECISION_INTERVAL`] even if
    /// nothing changes.
    pub fn needs_periodic_decision(&self) -> bool {
        self.queued() > 0 || !self.checkpointing.is_empty()
    }

    /// Returns the number of waiting tasks.
    pub fn queued(&self) -> usize {
        self.tasks.len() - self.running
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the worker that runs a task.
    pub fn worker_of(&self, id: &id::Task) -> Option<&Worker> {
        let entry = self.tasks.get(*self.task_keys.get(id)?)?;
        match &entry.state {
            State::Running(run) => self.workers.get(run.worker).map(|load| &load.worker),
            _ => None,
        }
    }

    /// Returns the resources that a task is charged with, which are at least those it declares.
    pub fn charge(&self, id: &id::Task) -> Option<Resources> {
        let entry = self.tasks.get(*self.task_keys.get(id)?)?;
        Some(entry.charge)
    }

    /// Returns whether some worker of the shard would have enough capacity for `need` when idle.
    pub fn fits_empty_worker(&self, need: &Resources) -> bool {
        self.workers
            .iter()
            .any(|(_, load)| need.fits(&load.worker.capacity))
    }

    /// Returns a [`Refusal`] if a new task could not start before its deadline, or if too many
    /// tasks of its kind are waiting.
    ///
    /// A refused task has not been queued, so no part of it runs.
    pub fn admit(&self, kind: Kind, deadline: Option<Millis>, now: Millis) -> Result<(), Refusal> {
        let max_waiting = policy::of(kind).max_waiting;
        self.load_shedder.admit(kind, deadline, max_waiting, now)
    }

    /// Queues a task. Does nothing if the shard already tracks a task with this id.
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
            state: State::InGang,
        });
        self.task_keys.insert(id, key);
        self.enqueue(key);
    }

    /// Adds a task that already runs on the named worker, as found when a shard is taken over.
    ///
    /// Does nothing if the worker is unknown.
    pub fn adopt(&mut self, task: Task, worker: &Name) {
        let Some(worker) = self.workers.find(worker) else {
            return;
        };
        let last_saved = task.accepted;
        let id = task.id.clone();
        self.remove(&id);
        self.submit(task);
        let key = self.task_keys[&id];
        self.dequeue(key);
        self.assign_to_worker(key, worker, last_saved, false);
        // The task counts as one that the previous owner started, so it uses up the part of the
        // allotment that is set aside for such tasks.
        let entry = &self.tasks[key];
        self.allotments.end(&entry.task.team, &entry.charge);
        self.allotments
            .add_recovered(&entry.task.team, &entry.charge);
    }

    /// Removes a task that ended, was cancelled or failed to start.
    pub fn remove(&mut self, id: &id::Task) -> Option<Task> {
        let key = self.task_keys.remove(id)?;
        self.dequeue(key);
        let run = self.remove_from_worker(key);
        let stopped = run.is_some_and(|run| run.stop_phase.is_some());
        let mut task = self.tasks.remove(key)?.task;
        task.preemptions += u32::from(stopped);
        Some(task)
    }

    /// Puts a task that no longer runs back into the queue.
    pub fn requeue(&mut self, id: &id::Task) {
        let Some(key) = self.task_keys.get(id).copied() else {
            return;
        };
        let Some(run) = self.remove_from_worker(key) else {
            return;
        };
        let entry = &mut self.tasks[key];
        entry.task.preemptions += u32::from(run.stop_phase.is_some());
        let charge = self.charge_of(&self.tasks[key].task, run.last_saved);
        self.tasks[key].charge = charge;
        self.enqueue(key);
    }

    /// Records that the progress of a task was saved at `now`.
    pub fn record_checkpoint(&mut self, id: &id::Task, now: Millis) {
        let Some(key) = self.task_keys.get(id).copied() else {
            return;
        };
        let entry = &mut self.tasks[key];
        let team = entry.team;
        let State::Running(run) = &mut entry.state else {
            return;
        };
        if self.victims.remove(team, run.last_saved, key) {
            self.victims.insert(team, now, key);
        }
        run.last_saved = now;
        if let Some(StopPhase::Checkpointing(deadline)) = run.stop_phase {
            run.stop_phase = Some(StopPhase::Checkpointing(now));
            self.checkpointing.remove(&(deadline, key));
            self.checkpointing.insert((now, key));
        }
    }

    /// Adds a task to the queue, or to its gang. The task must neither wait nor run.
    pub(crate) fn enqueue(&mut self, key: task::Key) {
        let entry = &mut self.tasks[key];
        let (task, team) = (&entry.task, entry.team);
        if task.kind == Kind::Gang {
            let gang = (task.accepted, task.id.job.clone());
            self.join_gang(gang, key);
        } else {
            let rank = (policy::of(task.kind).rank)(task);
            let queue_key = self.queue.push(task.kind, team, &entry.charge, rank, key);
            entry.state = State::Waiting(queue_key);
        }
        if let Some(deadline) = self.tasks[key].task.deadline {
            self.deadlines.insert((deadline, key));
        }
        self.load_shedder.enqueue(self.tasks[key].task.kind);
        self.shares.update(team, |account| account.waiting += 1);
        self.update_team_level(team);
    }

    /// Removes a waiting task from the queue, or from its gang and reservation. Does nothing for a
    /// running task.
    pub(crate) fn dequeue(&mut self, key: task::Key) {
        let entry = &self.tasks[key];
        let team = entry.team;
        if let Some(deadline) = entry.task.deadline {
            self.deadlines.remove(&(deadline, key));
        }
        match entry.state {
            State::Running(_) => return,
            State::Waiting(ref queue_key) => {
                self.queue.remove(queue_key);
            }
            State::Reserved(reservation) => self.leave_reservation(reservation, key),
            State::InGang => {}
        }
        self.leave_gang(key);
        self.load_shedder.dequeue(self.tasks[key].task.kind);
        self.shares.update(team, |account| account.waiting -= 1);
    }

    /// Marks a dequeued task as running on a worker.
    pub(crate) fn assign_to_worker(
        &mut self,
        key: task::Key,
        worker: placement::Key,
        now: Millis,
        backfill: bool,
    ) {
        let rack = self.workers.get(worker).map_or(0, |load| load.worker.rack);
        let entry = &mut self.tasks[key];
        let (team, charge) = (entry.team, entry.charge);
        entry.state = State::Running(Run {
            worker,
            rack,
            last_saved: now,
            stop_phase: None,
            backfill,
        });
        let policy = policy::of(entry.task.kind);
        // A backfilled task is no candidate for preemption: the capacity it would free is already
        // reserved for a gang.
        if !backfill
            && (policy.preemptible)(&entry.task)
            && entry.task.preemptions < policy::MAX_PREEMPTIONS
        {
            self.victims.insert(team, now, key);
        }
        if policy.spread_racks {
            let racks = self
                .racks_by_job
                .entry(entry.task.id.job.clone())
                .or_default();
            racks.push(rack);
        }
        if entry.task.kind == Kind::Interactive {
            self.headroom.start(&charge, now);
        }
        self.running += 1;
        self.load_shedder.start(entry.task.kind, now);
        self.allotments.start(&entry.task.team, &charge);
        self.workers.assign(worker, key, &charge);
        self.shares.update(team, |account| {
            account.used = account.used.plus(&charge);
            if policy.short_lived {
                account.urgent = account.urgent.plus(&charge);
            }
        });
        self.update_team_level(team);
    }

    /// Removes a task from its worker. Afterwards the task neither waits nor runs.
    fn remove_from_worker(&mut self, key: task::Key) -> Option<Run> {
        let entry = &mut self.tasks[key];
        let (team, charge) = (entry.team, entry.charge);
        let State::Running(run) = std::mem::replace(&mut entry.state, State::InGang) else {
            return None;
        };
        self.victims.remove(team, run.last_saved, key);
        if let Some(StopPhase::Checkpointing(deadline)) = run.stop_phase {
            self.checkpointing.remove(&(deadline, key));
        }
        let job = &entry.task.id.job;
        if let Some(racks) = self.racks_by_job.get_mut(job) {
            let index = racks.iter().position(|rack| *rack == run.rack);
            index.map(|index| racks.swap_remove(index));
            if racks.is_empty() {
                self.racks_by_job.remove(job);
            }
        }
        let policy = policy::of(entry.task.kind);
        if policy.short_lived {
            self.headroom.end(&charge);
        }
        self.running -= 1;
        self.allotments.end(&entry.task.team, &charge);
        self.workers.unassign(run.worker, key, &charge);
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

    fn update_capacity(&mut self) {
        let workers = self.workers.iter().map(|(_, load)| &load.worker);
        let (capacity, slots) = workers.fold((Resources::default(), 0), |(sum, slots), worker| {
            (sum.plus(&worker.capacity), slots + u64::from(worker.slots))
        });
        (self.capacity, self.total_slots) = (capacity, slots);
        let capacities = self.workers.iter().map(|(_, load)| load.worker.capacity);
        self.max_worker_capacity =
            capacities.fold(Resources::default(), |largest, next| largest.max(&next));
        if self.fleet.is_none() {
            self.shares.set_capacity(capacity);
            self.update_team_levels();
        }
    }
}
