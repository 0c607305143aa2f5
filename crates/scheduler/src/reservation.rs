//! Room that is promised to tasks that have yet to start.
//!
//! A job whose tasks must all run at once starts when there is room for all of them. The oldest
//! one that has waited long gathers room as it comes free, gives all of it back when its time is
//! up, and gathers for twice as long at its next turn. Short work runs in gathered room until
//! that is needed. `docs/design/backfill.md` weighs the ways.

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
    decision::Round,
    placement::{
        self,
        Found, //
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
    /// A reservation of a shard.
    pub(crate) struct Key;
}

/// How many of the oldest groups are looked at in one decision.
const GROUPS_PER_DECISION: usize = 16;

/// How long the first reservation of a group lasts.
const FIRST_HOLD: Duration = Duration::from_secs(60);

/// How often the time of a reservation doubles at most.
const MOST_DOUBLINGS: u32 = 6;

/// How many promised places are looked at for one task that runs in them for the time being.
const BACKFILL_PLACES: usize = 16;

/// How many tasks start in promised room in one decision at most.
const BACKFILL_STARTS: usize = 64;

/// The waiting tasks of a job that start all at once.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) tasks: BTreeSet<task::Key>,
    /// Whether there was no room, and none has come free since.
    pub(crate) tried: bool,
    reservation: Option<Key>,
    reservations: u32,
    /// When the group may gather room again.
    rests_until: Millis,
}

/// Room that is promised to tasks that start all at once.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) holds: Vec<Hold>,
    /// The tasks that no room was found for yet.
    pending: Vec<task::Key>,
    pub(crate) expires: Millis,
    group: Option<(Millis, id::Job)>,
}

/// The place of one task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hold {
    pub(crate) task: task::Key,
    pub(crate) worker: placement::Key,
    need: Resources,
    /// Whether this is a single task, for which others leave.
    single: bool,
}

/// Says whether a task may run in promised room until that is needed.
fn is_guest(entry: &Entry) -> bool {
    let policy = policy::of(entry.task.kind);
    let leaves =
        (policy.preemptible)(&entry.task) && entry.task.preemptions < policy::MOST_PREEMPTIONS;
    policy.backfills && (leaves || policy.short_lived)
}

impl Shard {
    /// Starts the groups that there is room for.
    pub(crate) fn start_groups(&mut self, under: bool, round: &mut Round) {
        let oldest = self.groups.iter().take(GROUPS_PER_DECISION);
        let ready = oldest.filter(|(_, group)| !group.tried && group.reservation.is_none());
        let mut names: Vec<_> = ready
            .filter_map(|(name, group)| {
                let team = self.tasks[*group.tasks.first()?].team;
                Some((self.shares.level(team).to_bits(), name.clone(), team))
            })
            .collect();
        names.sort();
        for (_, name, team) in names {
            if under && !self.shares.is_below_entitlement(team) {
                continue;
            }
            if !self.start_group(&name, round)
                && let Some(group) = self.groups.get_mut(&name)
            {
                group.tried = true;
            }
        }
    }

    /// Starts all tasks of a group, or none.
    fn start_group(&mut self, name: &(Millis, id::Job), round: &mut Round) -> bool {
        let tasks: Vec<_> = self.groups[name].tasks.iter().copied().collect();
        let need = self.sum(&tasks);
        let count = tasks.len() as u64;
        if !self.leaves_headroom(&need, count, round) || !self.admits(tasks[0], &need) {
            return false;
        }
        let reservation = self.open(tasks, round.now, Some(name.clone()));
        self.gather(reservation, round);
        if self.reservations[reservation].pending.is_empty() {
            self.start_reserved(reservation, round);
            return true;
        }
        self.close(reservation);
        false
    }

    /// Has the oldest group that has waited long gather room, one group at a time.
    pub(crate) fn reserve(&mut self, round: &mut Round) {
        let after = policy::of(Kind::Gang).reserve_after.unwrap_or_default();
        if self
            .reservations
            .values()
            .any(|known| known.group.is_some())
        {
            return;
        }
        let next = self.groups.iter().find(|((accepted, _), group)| {
            round.now.since(*accepted) >= after && group.rests_until <= round.now
        });
        let Some((name, group)) = next else {
            return;
        };
        let (name, doublings) = (name.clone(), group.reservations.min(MOST_DOUBLINGS));
        let tasks: Vec<_> = group.tasks.iter().copied().collect();
        let need = self.sum(&tasks);
        if let Some(group) = self.groups.get_mut(&name) {
            group.reservations += 1;
            group.rests_until = round.now.after(after);
        }
        let whole = need.fits(&self.capacity) && tasks.len() as u64 <= self.slots;
        if !whole || !self.admits(tasks[0], &need) {
            return;
        }
        let expires = round.now.after(FIRST_HOLD * 2_u32.pow(doublings));
        let reservation = self.open(tasks, expires, Some(name));
        self.gather(reservation, round);
    }

    /// Starts what has its room, gathers more, and gives up what took too long.
    pub(crate) fn advance_reservations(&mut self, round: &mut Round) {
        let keys: Vec<_> = self.reservations.keys().collect();
        for key in keys {
            if self.is_void(key) {
                self.close(key);
                continue;
            }
            self.gather(key, round);
            if self.is_ready(key) {
                self.start_reserved(key, round);
            } else if self.reservations[key].expires <= round.now {
                self.close(key);
            } else if self.reservations[key].pending.is_empty() {
                self.clear_backfill(key, round);
            }
        }
    }

    /// Promises a place on `worker` to a task that waits.
    pub(crate) fn claim(&mut self, task: task::Key, worker: placement::Key, expires: Millis) {
        let key = self.open(vec![task], expires, None);
        self.reservations[key].pending.clear();
        self.hold(key, task, worker);
    }

    /// Returns how many single tasks wait for room on a worker of their own.
    pub(crate) fn claims(&self) -> usize {
        let claims = self.reservations.values();
        claims.filter(|known| known.group.is_none()).count()
    }

    /// Takes a task out of its reservation; the others keep theirs.
    pub(crate) fn leave_reservation(&mut self, key: Key, task: task::Key) {
        let Some(reservation) = self.reservations.get_mut(key) else {
            return;
        };
        reservation.pending.retain(|known| *known != task);
        let at = reservation.holds.iter().position(|hold| hold.task == task);
        let hold = at.map(|at| reservation.holds.swap_remove(at));
        if reservation.pending.is_empty() && reservation.holds.is_empty() {
            self.forget(key);
        }
        if let Some(hold) = hold {
            self.release(&hold);
        }
    }

    /// Adds a task to its group, and to the reservation of the group if there is one.
    pub(crate) fn join_group(&mut self, name: (Millis, id::Job), task: task::Key) {
        let group = self.groups.entry(name).or_default();
        group.tasks.insert(task);
        group.tried = false;
        self.tasks[task].state = State::Grouped;
        if let Some(key) = group.reservation
            && let Some(reservation) = self.reservations.get_mut(key)
        {
            reservation.pending.push(task);
            self.tasks[task].state = State::Reserved(key);
        }
    }

    /// Takes a task that waits out of its group.
    pub(crate) fn leave_group(&mut self, task: task::Key) {
        let entry = &self.tasks[task];
        if entry.task.kind != Kind::Gang {
            return;
        }
        let name = (entry.task.accepted, entry.task.id.job.clone());
        if let Some(group) = self.groups.get_mut(&name) {
            group.tasks.remove(&task);
            group.tried = false;
            if group.tasks.is_empty() {
                self.groups.remove(&name);
            }
        }
    }

    /// Gives up each reservation that counts on a worker that is gone.
    pub(crate) fn cancel_holds(&mut self, worker: placement::Key) {
        let gone = |held: &Reservation| held.holds.iter().any(|hold| hold.worker == worker);
        let known = self.reservations.iter();
        let keys: Vec<_> = known
            .filter(|(_, held)| gone(held))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.close(key);
        }
    }

    /// Starts short work in gathered room that is not needed yet.
    pub(crate) fn backfill(&mut self, round: &mut Round) {
        let gathering = |held: &&Reservation| held.group.is_some() && !held.pending.is_empty();
        let Some(reservation) = self.reservations.values().find(gathering) else {
            return;
        };
        let expires = reservation.expires;
        let mut places: Vec<_> = reservation.holds.iter().map(|hold| hold.worker).collect();
        places.dedup();
        let first = self.turn % places.len().max(1);
        self.turn = self.turn.wrapping_add(1);
        places.rotate_left(first);
        for kind in policy::ORDER {
            if !policy::of(kind).backfills {
                continue;
            }
            for _ in 0..BACKFILL_STARTS {
                let heads = self.queue.blocked(kind);
                let found = heads.iter().find_map(|head| {
                    Some((
                        head.task,
                        self.guest_place(head, &places, expires, round.now)?,
                    ))
                });
                let Some((task, place)) = found else {
                    break;
                };
                let charge = self.tasks[task].charge;
                if !self.admits(task, &charge) {
                    break;
                }
                self.start(task, place, true, round);
            }
        }
    }

    /// Returns a promised place where a task may run until it is needed.
    fn guest_place(
        &self,
        head: &Head,
        places: &[placement::Key],
        expires: Millis,
        now: Millis,
    ) -> Option<placement::Key> {
        let entry = &self.tasks[head.task];
        let end = now.after(entry.task.run_time.unwrap_or_default());
        if end >= expires || !is_guest(entry) {
            return None;
        }
        let idle = |key: &&placement::Key| {
            let slot = self.workers.get(**key);
            slot.is_some_and(|slot| slot.could_start_group(&entry.charge, 1))
        };
        places.iter().take(BACKFILL_PLACES).find(idle).copied()
    }

    /// Has the tasks stopped that run in room that a reservation needs now.
    fn clear_backfill(&mut self, key: Key, round: &mut Round) {
        let holds = self.reservations[key].holds.clone();
        for hold in holds {
            let Some(slot) = self.workers.get(hold.worker) else {
                continue;
            };
            let promised = slot.used.plus(&slot.held).fits(&slot.worker.capacity);
            if promised && slot.tasks.len() as u32 + slot.holds <= slot.max_tasks {
                continue;
            }
            let guests: Vec<_> = slot
                .tasks
                .iter()
                .copied()
                .filter(
                    |task| matches!(&self.tasks[*task].state, State::Running(run) if run.backfill),
                )
                .collect();
            for task in guests {
                self.ask_to_leave(task, round);
            }
        }
    }

    /// Says whether a limit was lowered or a worker is leaving since room was promised.
    fn is_void(&mut self, key: Key) -> bool {
        let holds = self.reservations[key].holds.clone();
        let mut tasks = holds.iter().map(|hold| hold.task);
        let over = tasks.any(|task| {
            let team = self.tasks[task].task.team.clone();
            !self.allotments.admits(&team, &Resources::default())
        });
        let mut workers = holds.iter().map(|hold| hold.worker);
        over || workers.any(|worker| {
            let slot = self.workers.get(worker);
            slot.is_none_or(|slot| slot.worker.leaving)
        })
    }

    fn is_ready(&self, key: Key) -> bool {
        let reservation = &self.reservations[key];
        if !reservation.pending.is_empty() {
            return false;
        }
        let mut holds: Vec<_> = reservation.holds.iter().collect();
        holds.sort_by_key(|hold| hold.worker);
        holds.chunk_by(|a, b| a.worker == b.worker).all(|on_one| {
            let need = on_one
                .iter()
                .fold(Resources::default(), |sum, hold| sum.plus(&hold.need));
            let slot = self.workers.get(on_one[0].worker);
            slot.is_some_and(|slot| match on_one[0].single {
                true => slot.could_start_claim(&need),
                false => slot.could_start_group(&need, on_one.len() as u32),
            })
        })
    }

    fn start_reserved(&mut self, key: Key, round: &mut Round) {
        let holds = std::mem::take(&mut self.reservations[key].holds);
        for hold in &holds {
            self.release(hold);
        }
        for hold in holds {
            self.start(hold.task, hold.worker, false, round);
        }
        self.forget(key);
    }

    /// Makes a reservation of tasks that wait.
    fn open(
        &mut self,
        tasks: Vec<task::Key>,
        expires: Millis,
        group: Option<(Millis, id::Job)>,
    ) -> Key {
        let key = self.reservations.insert(Reservation {
            holds: Vec::new(),
            pending: tasks.clone(),
            expires,
            group: group.clone(),
        });
        if let Some(group) = group.and_then(|name| self.groups.get_mut(&name)) {
            group.reservation = Some(key);
        }
        for task in tasks {
            let place = &mut self.tasks[task].state;
            if let State::Waiting(ticket) = std::mem::replace(place, State::Reserved(key)) {
                self.queue.remove(&ticket);
            }
        }
        key
    }

    /// Gives all room of a reservation back; its tasks wait on.
    fn close(&mut self, key: Key) {
        let Some(reservation) = self.reservations.get_mut(key) else {
            return;
        };
        let holds = std::mem::take(&mut reservation.holds);
        let pending = std::mem::take(&mut reservation.pending);
        for hold in &holds {
            self.release(hold);
        }
        self.forget(key);
        let tasks = holds.iter().map(|hold| hold.task).chain(pending);
        for task in tasks {
            let team = self.tasks[task].team;
            self.load_shedder.dequeue(self.tasks[task].task.kind);
            self.shares.update(team, |account| account.waiting -= 1);
            self.wait(task);
        }
    }

    fn forget(&mut self, key: Key) {
        let group = self.reservations.remove(key).and_then(|held| held.group);
        if let Some(group) = group.and_then(|name| self.groups.get_mut(&name)) {
            group.reservation = None;
        }
    }

    /// Finds room for more tasks of a reservation.
    fn gather(&mut self, key: Key, round: &Round) {
        let pending = std::mem::take(&mut self.reservations[key].pending);
        let mut left = pending.into_iter();
        for task in left.by_ref() {
            let charge = self.tasks[task].charge;
            let allowed = self.leaves_headroom(&charge, 1, round) && self.admits(task, &charge);
            match self.choose(task) {
                Found::Worker(worker) if allowed => self.hold(key, task, worker),
                _ => {
                    self.reservations[key].pending.push(task);
                    break;
                }
            }
        }
        self.reservations[key].pending.extend(left);
    }

    fn hold(&mut self, key: Key, task: task::Key, worker: placement::Key) {
        let entry = &self.tasks[task];
        let (team, need) = (entry.team, entry.charge);
        let reservation = &mut self.reservations[key];
        let single = reservation.group.is_none();
        reservation.holds.push(Hold {
            task,
            worker,
            need,
            single,
        });
        self.allotments.start(&self.tasks[task].task.team, &need);
        self.workers.hold(worker, &need, single);
        self.shares
            .update(team, |account| account.used = account.used.plus(&need));
        self.update_team_level(team);
    }

    fn release(&mut self, hold: &Hold) {
        let entry = &self.tasks[hold.task];
        let team = entry.team;
        self.allotments.end(&entry.task.team, &hold.need);
        self.workers.release(hold.worker, &hold.need, hold.single);
        self.shares.update(team, |account| {
            account.used = account.used.minus(&hold.need)
        });
        self.update_team_level(team);
    }

    fn sum(&self, tasks: &[task::Key]) -> Resources {
        let needs = tasks.iter().map(|task| self.tasks[*task].charge);
        needs.fold(Resources::default(), |sum, need| sum.plus(&need))
    }
}
