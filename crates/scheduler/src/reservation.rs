//! Reservations of resources for tasks that have yet to start.
//!
//! The tasks of a gang must all start at once, when there is capacity for all of them. The oldest
//! gang that has waited for long reserves capacity as it becomes free. When its reservation
//! expires, it releases everything, and its next reservation lasts twice as long. Short tasks are
//! backfilled into reserved capacity until the gang needs it. `docs/design/backfill.md` compares
//! the alternatives.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use basilbridge_common::{
    id,
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
};
use slotmap::new_key_type;

use crate::{
    decision::DecisionContext,
    placement::{
        self,
        SearchResult, //
    },
    policy,
    queue::Head,
    shard::Shard,
    task::{
        self,
        Entry,
        State, //
    },
};

new_key_type! {
    /// The key of a reservation in a shard.
    pub(crate) struct Key;
}

/// The maximum number of gangs, oldest first, that one decision considers.
const GANGS_PER_DECISION: usize = 16;

/// The lifetime of the first reservation of a gang.
const INITIAL_RESERVATION_TIME: Duration = Duration::from_secs(60);

/// The maximum number of times that the lifetime of a reservation doubles.
const MAX_DOUBLINGS: u32 = 6;

/// The maximum number of reserved workers examined to backfill one task.
const BACKFILL_WORKERS_EXAMINED: usize = 16;

/// The maximum number of tasks of one kind that one decision backfills.
const MAX_BACKFILL_STARTS: usize = 64;

/// The waiting tasks of a job that must all start at once.
#[derive(Debug, Default)]
pub(crate) struct Gang {
    pub(crate) tasks: BTreeSet<task::Key>,
    /// Whether the gang did not fit at the last attempt and no capacity has been freed since.
    pub(crate) blocked: bool,
    reservation: Option<Key>,
    reservations: u32,
    /// The earliest time of the next reservation.
    next_reservation_at: Millis,
}

/// Resources reserved for the tasks of a gang, or for a single task by preemption.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) holds: Vec<Hold>,
    /// Tasks that no worker was found for yet.
    pending: Vec<task::Key>,
    pub(crate) expires: Millis,
    gang: Option<(Millis, id::Job)>,
}

/// Resources reserved on one worker for one task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hold {
    pub(crate) task: task::Key,
    pub(crate) worker: placement::Key,
    need: Resources,
    /// Whether the hold is for a single task that waits for running tasks to stop.
    preemptive: bool,
}

/// Returns whether a task may run in reserved capacity until that is needed.
fn can_backfill(entry: &Entry) -> bool {
    let policy = policy::of(entry.task.kind);
    let may_stop =
        (policy.preemptible)(&entry.task) && entry.task.preemptions < policy::MAX_PREEMPTIONS;
    policy.may_backfill && (may_stop || policy.short_lived)
}

impl Shard {
    /// Starts the gangs that fit into free capacity.
    pub(crate) fn start_gangs(&mut self, below_entitlement: bool, context: &mut DecisionContext) {
        let oldest = self.gangs.iter().take(GANGS_PER_DECISION);
        let ready = oldest.filter(|(_, gang)| !gang.blocked && gang.reservation.is_none());
        let mut keys: Vec<_> = ready
            .filter_map(|(gang_key, gang)| {
                let team = self.tasks[*gang.tasks.first()?].team;
                Some((self.shares.level(team).to_bits(), gang_key.clone(), team))
            })
            .collect();
        keys.sort();
        for (_, gang_key, team) in keys {
            if below_entitlement && !self.shares.is_below_entitlement(team) {
                continue;
            }
            if !self.start_gang(&gang_key, context)
                && let Some(gang) = self.gangs.get_mut(&gang_key)
            {
                gang.blocked = true;
            }
        }
    }

    /// Starts all tasks of a gang, or none. Returns whether they were started.
    fn start_gang(&mut self, gang_key: &(Millis, id::Job), context: &mut DecisionContext) -> bool {
        let tasks: Vec<_> = self.gangs[gang_key].tasks.iter().copied().collect();
        let need = self.total_charge(&tasks);
        let count = tasks.len() as u64;
        if !self.leaves_headroom(&need, count, context) || !self.check_allotment(tasks[0], &need) {
            return false;
        }
        let reservation = self.open_reservation(tasks, context.now, Some(gang_key.clone()));
        self.fill_reservation(reservation, context);
        if self.reservations[reservation].pending.is_empty() {
            self.start_reserved(reservation, context);
            return true;
        }
        self.cancel_reservation(reservation);
        false
    }

    /// Opens a reservation for the oldest gang that has waited long enough, unless another gang has
    /// one.
    pub(crate) fn reserve(&mut self, context: &mut DecisionContext) {
        let after = policy::of(Kind::Gang).reserve_after.unwrap_or_default();
        if self
            .reservations
            .values()
            .any(|reservation| reservation.gang.is_some())
        {
            return;
        }
        let next = self.gangs.iter().find(|((accepted, _), gang)| {
            context.now.since(*accepted) >= after && gang.next_reservation_at <= context.now
        });
        let Some((gang_key, gang)) = next else {
            return;
        };
        let (gang_key, doublings) = (gang_key.clone(), gang.reservations.min(MAX_DOUBLINGS));
        let tasks: Vec<_> = gang.tasks.iter().copied().collect();
        let need = self.total_charge(&tasks);
        if let Some(gang) = self.gangs.get_mut(&gang_key) {
            gang.reservations += 1;
            gang.next_reservation_at = context.now.after(after);
        }
        let can_fit = need.fits(&self.capacity) && tasks.len() as u64 <= self.total_slots;
        if !can_fit || !self.check_allotment(tasks[0], &need) {
            return;
        }
        let expires = context
            .now
            .after(INITIAL_RESERVATION_TIME * 2_u32.pow(doublings));
        let reservation = self.open_reservation(tasks, expires, Some(gang_key));
        self.fill_reservation(reservation, context);
    }

    /// Starts the reservations that are ready, extends the others, and cancels those that are
    /// invalid or have expired.
    pub(crate) fn advance_reservations(&mut self, context: &mut DecisionContext) {
        let keys: Vec<_> = self.reservations.keys().collect();
        for key in keys {
            if self.is_invalid(key) {
                self.cancel_reservation(key);
                continue;
            }
            self.fill_reservation(key, context);
            if self.is_ready(key) {
                self.start_reserved(key, context);
            } else if self.reservations[key].expires <= context.now {
                self.cancel_reservation(key);
            } else if self.reservations[key].pending.is_empty() {
                self.stop_backfill(key, context);
            }
        }
    }

    /// Reserves resources on `worker` for a single waiting task, for which running tasks are
    /// stopped.
    pub(crate) fn hold_preemptively(
        &mut self,
        task: task::Key,
        worker: placement::Key,
        expires: Millis,
    ) {
        let key = self.open_reservation(vec![task], expires, None);
        self.reservations[key].pending.clear();
        self.add_hold(key, task, worker);
    }

    /// Returns the number of single tasks with a preemptive hold.
    pub(crate) fn preemptive_hold_count(&self) -> usize {
        let reservations = self.reservations.values();
        reservations
            .filter(|reservation| reservation.gang.is_none())
            .count()
    }

    /// Removes a task from its reservation; the holds of other tasks remain.
    pub(crate) fn leave_reservation(&mut self, key: Key, task: task::Key) {
        let Some(reservation) = self.reservations.get_mut(key) else {
            return;
        };
        reservation.pending.retain(|other| *other != task);
        let index = reservation.holds.iter().position(|hold| hold.task == task);
        let hold = index.map(|index| reservation.holds.swap_remove(index));
        if reservation.pending.is_empty() && reservation.holds.is_empty() {
            self.delete_reservation(key);
        }
        if let Some(hold) = hold {
            self.release_hold(&hold);
        }
    }

    /// Adds a task to its gang, and to the gang's reservation if there is one.
    pub(crate) fn join_gang(&mut self, gang_key: (Millis, id::Job), task: task::Key) {
        let gang = self.gangs.entry(gang_key).or_default();
        gang.tasks.insert(task);
        gang.blocked = false;
        self.tasks[task].state = State::InGang;
        if let Some(key) = gang.reservation
            && let Some(reservation) = self.reservations.get_mut(key)
        {
            reservation.pending.push(task);
            self.tasks[task].state = State::Reserved(key);
        }
    }

    /// Removes a waiting task from its gang. Does nothing for tasks of other kinds.
    pub(crate) fn leave_gang(&mut self, task: task::Key) {
        let entry = &self.tasks[task];
        if entry.task.kind != Kind::Gang {
            return;
        }
        let gang_key = (entry.task.accepted, entry.task.id.job.clone());
        if let Some(gang) = self.gangs.get_mut(&gang_key) {
            gang.tasks.remove(&task);
            gang.blocked = false;
            if gang.tasks.is_empty() {
                self.gangs.remove(&gang_key);
            }
        }
    }

    /// Cancels all reservations with a hold on this worker.
    pub(crate) fn cancel_holds(&mut self, worker: placement::Key) {
        let affected =
            |reservation: &Reservation| reservation.holds.iter().any(|hold| hold.worker == worker);
        let reservations = self.reservations.iter();
        let keys: Vec<_> = reservations
            .filter(|(_, reservation)| affected(reservation))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.cancel_reservation(key);
        }
    }

    /// Starts short tasks in capacity that is reserved for a gang and not yet needed.
    pub(crate) fn backfill(&mut self, context: &mut DecisionContext) {
        let is_filling = |reservation: &&Reservation| {
            reservation.gang.is_some() && !reservation.pending.is_empty()
        };
        let Some(reservation) = self.reservations.values().find(is_filling) else {
            return;
        };
        let expires = reservation.expires;
        let mut workers: Vec<_> = reservation.holds.iter().map(|hold| hold.worker).collect();
        workers.dedup();
        let first = self.backfill_rotation % workers.len().max(1);
        self.backfill_rotation = self.backfill_rotation.wrapping_add(1);
        workers.rotate_left(first);
        for kind in policy::ORDER {
            if !policy::of(kind).may_backfill {
                continue;
            }
            for _ in 0..MAX_BACKFILL_STARTS {
                let heads = self.queue.blocked(kind);
                let found = heads.iter().find_map(|head| {
                    Some((
                        head.task,
                        self.backfill_worker(head, &workers, expires, context.now)?,
                    ))
                });
                let Some((task, worker)) = found else {
                    break;
                };
                let charge = self.tasks[task].charge;
                if !self.check_allotment(task, &charge) {
                    break;
                }
                self.start(task, worker, true, context);
            }
        }
    }

    /// Returns a reserved worker where a task would end before the reservation expires.
    fn backfill_worker(
        &self,
        head: &Head,
        workers: &[placement::Key],
        expires: Millis,
        now: Millis,
    ) -> Option<placement::Key> {
        let entry = &self.tasks[head.task];
        let end = now.after(entry.task.run_time.unwrap_or_default());
        if end >= expires || !can_backfill(entry) {
            return None;
        }
        let has_capacity = |key: &&placement::Key| {
            let load = self.workers.get(**key);
            load.is_some_and(|load| load.fits_ignoring_gang_holds(&entry.charge, 1))
        };
        workers
            .iter()
            .take(BACKFILL_WORKERS_EXAMINED)
            .find(has_capacity)
            .copied()
    }

    /// Stops the backfilled tasks on workers where a complete reservation now needs the capacity.
    fn stop_backfill(&mut self, key: Key, context: &mut DecisionContext) {
        let holds = self.reservations[key].holds.clone();
        for hold in holds {
            let Some(load) = self.workers.get(hold.worker) else {
                continue;
            };
            let fits = load.used.plus(&load.held).fits(&load.worker.capacity);
            if fits && load.tasks.len() as u32 + load.hold_count <= load.max_tasks {
                continue;
            }
            let backfilled: Vec<_> = load
                .tasks
                .iter()
                .copied()
                .filter(
                    |task| matches!(&self.tasks[*task].state, State::Running(run) if run.backfill),
                )
                .collect();
            for task in backfilled {
                self.request_checkpoint(task, context);
            }
        }
    }

    /// Returns whether, since the holds were made, a team's allotment was lowered below its usage
    /// or a worker was drained or removed.
    fn is_invalid(&mut self, key: Key) -> bool {
        let holds = self.reservations[key].holds.clone();
        let mut tasks = holds.iter().map(|hold| hold.task);
        let over_allotment = tasks.any(|task| {
            let team = self.tasks[task].task.team.clone();
            !self.allotments.admits(&team, &Resources::default())
        });
        let mut workers = holds.iter().map(|hold| hold.worker);
        over_allotment
            || workers.any(|worker| {
                let load = self.workers.get(worker);
                load.is_none_or(|load| load.worker.leaving)
            })
    }

    fn is_ready(&self, key: Key) -> bool {
        let reservation = &self.reservations[key];
        if !reservation.pending.is_empty() {
            return false;
        }
        let mut holds: Vec<_> = reservation.holds.iter().collect();
        holds.sort_by_key(|hold| hold.worker);
        holds
            .chunk_by(|a, b| a.worker == b.worker)
            .all(|worker_holds| {
                let need = worker_holds
                    .iter()
                    .fold(Resources::default(), |sum, hold| sum.plus(&hold.need));
                let load = self.workers.get(worker_holds[0].worker);
                load.is_some_and(|load| match worker_holds[0].preemptive {
                    true => load.fits_ignoring_preemptive_holds(&need),
                    false => load.fits_ignoring_gang_holds(&need, worker_holds.len() as u32),
                })
            })
    }

    fn start_reserved(&mut self, key: Key, context: &mut DecisionContext) {
        let holds = std::mem::take(&mut self.reservations[key].holds);
        for hold in &holds {
            self.release_hold(hold);
        }
        for hold in holds {
            self.start(hold.task, hold.worker, false, context);
        }
        self.delete_reservation(key);
    }

    /// Creates a reservation for waiting tasks.
    fn open_reservation(
        &mut self,
        tasks: Vec<task::Key>,
        expires: Millis,
        gang: Option<(Millis, id::Job)>,
    ) -> Key {
        let key = self.reservations.insert(Reservation {
            holds: Vec::new(),
            pending: tasks.clone(),
            expires,
            gang: gang.clone(),
        });
        if let Some(gang) = gang.and_then(|gang_key| self.gangs.get_mut(&gang_key)) {
            gang.reservation = Some(key);
        }
        for task in tasks {
            let state = &mut self.tasks[task].state;
            if let State::Waiting(queue_key) = std::mem::replace(state, State::Reserved(key)) {
                self.queue.remove(&queue_key);
            }
        }
        key
    }

    /// Releases all holds of a reservation and returns its tasks to the queue.
    fn cancel_reservation(&mut self, key: Key) {
        let Some(reservation) = self.reservations.get_mut(key) else {
            return;
        };
        let holds = std::mem::take(&mut reservation.holds);
        let pending = std::mem::take(&mut reservation.pending);
        for hold in &holds {
            self.release_hold(hold);
        }
        self.delete_reservation(key);
        let tasks = holds.iter().map(|hold| hold.task).chain(pending);
        for task in tasks {
            let team = self.tasks[task].team;
            self.load_shedder.dequeue(self.tasks[task].task.kind);
            self.shares.update(team, |account| account.waiting -= 1);
            self.enqueue(task);
        }
    }

    fn delete_reservation(&mut self, key: Key) {
        let gang = self
            .reservations
            .remove(key)
            .and_then(|reservation| reservation.gang);
        if let Some(gang) = gang.and_then(|gang_key| self.gangs.get_mut(&gang_key)) {
            gang.reservation = None;
        }
    }

    /// Adds holds for pending tasks until one of them does not fit.
    fn fill_reservation(&mut self, key: Key, context: &DecisionContext) {
        let pending = std::mem::take(&mut self.reservations[key].pending);
        let mut remaining = pending.into_iter();
        for task in remaining.by_ref() {
            let charge = self.tasks[task].charge;
            let allowed =
                self.leaves_headroom(&charge, 1, context) && self.check_allotment(task, &charge);
            match self.find_worker(task) {
                SearchResult::Worker(worker) if allowed => self.add_hold(key, task, worker),
                _ => {
                    self.reservations[key].pending.push(task);
                    break;
                }
            }
        }
        self.reservations[key].pending.extend(remaining);
    }

    fn add_hold(&mut self, key: Key, task: task::Key, worker: placement::Key) {
        let entry = &self.tasks[task];
        let (team, need) = (entry.team, entry.charge);
        let reservation = &mut self.reservations[key];
        let preemptive = reservation.gang.is_none();
        reservation.holds.push(Hold {
            task,
            worker,
            need,
            preemptive,
        });
        self.allotments.start(&self.tasks[task].task.team, &need);
        self.workers.add_hold(worker, &need, preemptive);
        self.shares
            .update(team, |account| account.used = account.used.plus(&need));
        self.update_team_level(team);
    }

    fn release_hold(&mut self, hold: &Hold) {
        let entry = &self.tasks[hold.task];
        let team = entry.team;
        self.allotments.end(&entry.task.team, &hold.need);
        self.workers
            .release_hold(hold.worker, &hold.need, hold.preemptive);
        self.shares.update(team, |account| {
            account.used = account.used.minus(&hold.need)
        });
        self.update_team_level(team);
    }

    fn total_charge(&self, tasks: &[task::Key]) -> Resources {
        let needs = tasks.iter().map(|task| self.tasks[*task].charge);
        needs.fold(Resources::default(), |sum, need| sum.plus(&need))
    }
}
