//! Evacuation of data centres: which are evacuated, and which runs move away from there.
//!
//! No task starts on a worker of an evacuated data centre; see [`crate::availability`]. What runs
//! there is left to end if it should end soon. Otherwise it is stopped and started elsewhere from
//! its checkpoint, but only where free capacity takes it that no other work waits for. See
//! `docs/design/evacuation.md`.

mod choice;
mod room;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::{
    engine::Engine,
    evacuation::room::Room,
    event::{
        Cause,
        Event, //
    },
    job::TaskId,
    worker::{
        Phase,
        Worker, //
    },
};

/// Time after which a task that was stopped no longer counts as moving. One that finds no worker
/// would else keep others from moving.
const MOVE_LIMIT: Duration = Duration::from_secs(5);

/// Time between two decisions what moves. Each visits all workers and all waiting work.
const MOVE_INTERVAL: Duration = Duration::from_millis(200);

/// Part of the limit of an evacuation that covers what passes before a start is ordered: the feed of
/// the configuration, and a stall of the owner that is too short to be detected.
const ORDER_MARGIN: Duration = Duration::from_millis(1000);

/// Evacuated data centres and what moves away from them.
#[derive(Debug, Default)]
pub(crate) struct Evacuation {
    data_centres: BTreeMap<Name, DataCentre>,
    /// Tasks that were stopped to move and do not run again yet.
    pub(crate) moving: BTreeMap<TaskId, Moving>,
    /// Runs that were reported to stay.
    staying: BTreeSet<(TaskId, u32)>,
    /// Time of the next decision what moves.
    next_move_at: Millis,
}

/// A task that was stopped to move.
#[derive(Debug)]
pub(crate) struct Moving {
    /// Pool of its queue.
    pub(crate) pool: Name,
    /// Time when it was stopped.
    since: Millis,
}

/// What was reported of an evacuated data centre.
#[derive(Debug, Default)]
struct DataCentre {
    /// Whether its evacuation was reported. A new owner does that once it knows the runs there.
    announced: bool,
    /// Whether no run is left there.
    empty: bool,
}

impl Evacuation {
    /// Returns whether a data centre is evacuated.
    pub(crate) fn includes(&self, data_centre: &Name) -> bool {
        self.data_centres.contains_key(data_centre)
    }
}

/// Returns the end of the validity of a start that is ordered now, by the worker's clock, or `None`
/// if the limit of an evacuation does not restrict it.
///
/// A start can be delayed on its way, after its last check. The worker then refuses it.
pub(crate) fn start_end(limit: Option<Duration>, worker: &Worker, now: Millis) -> Option<u64> {
    let limit = limit?;
    let validity = limit.saturating_sub(ORDER_MARGIN).max(limit / 2);
    Some(worker.clock_at(now)? + validity.as_millis() as u64)
}

impl Engine {
    /// Replaces the set of evacuated data centres.
    pub fn set_evacuated(&mut self, names: BTreeSet<Name>, now: Millis) {
        let revoked = self
            .evacuation
            .data_centres
            .extract_if(.., |name, _| !names.contains(name));
        let revoked: Vec<(Name, DataCentre)> = revoked.collect();
        for name in names {
            self.evacuation.data_centres.entry(name).or_default();
        }
        for worker in self.workers.values_mut() {
            worker.evacuated = self.evacuation.includes(&worker.info.data_centre);
        }
        for (name, _) in revoked.into_iter().filter(|(_, known)| known.announced) {
            self.push_data_centre_event(name, false);
        }
        self.announce_evacuations();
        self.next_tick = self.next_tick.min(now);
    }

    /// Reports what has changed in evacuated data centres, and stops runs there that move.
    pub(crate) fn evacuate(&mut self, now: Millis) {
        if self.evacuation.data_centres.is_empty() {
            self.evacuation.moving.clear();
            self.evacuation.staying.clear();
            return;
        }
        self.announce_evacuations();
        self.report_empty();
        // Before that, a stopped task may not start again.
        if !self.is_settled() || now < self.evacuation.next_move_at {
            return;
        }
        self.evacuation.next_move_at = now.after(MOVE_INTERVAL);
        self.forget_moved(now);
        let moves = self.choose_moves(now);
        if moves.is_empty() {
            return;
        }
        let mut room = Room::new(self, now);
        for candidate in moves {
            if self.may_be_away(&candidate, now)
                && room.take(
                    self,
                    candidate.job,
                    candidate.stage,
                    &candidate.members,
                    now,
                )
            {
                let job = &self.jobs[candidate.job];
                let pool = self.queue(job).map(|queue| queue.pool.clone());
                for (key, task) in candidate.members {
                    self.stop(key, &task, Cause::Evacuated, now);
                    let pool = pool.clone().unwrap_or_default();
                    let moving = Moving { pool, since: now };
                    self.evacuation.moving.insert(task, moving);
                }
            }
        }
    }

    fn announce_evacuations(&mut self) {
        if !self.is_settled() {
            return;
        }
        let known = self.evacuation.data_centres.iter();
        let unannounced = known.filter(|(_, known)| !known.announced);
        let unannounced: Vec<Name> = unannounced.map(|(name, _)| name.clone()).collect();
        for name in unannounced {
            let runs = self.push_data_centre_event(name.clone(), true);
            let state = DataCentre {
                announced: true,
                empty: runs == 0,
            };
            self.evacuation.data_centres.insert(name, state);
        }
    }

    /// Reports the state of a data centre. Returns the number of runs there.
    fn push_data_centre_event(&mut self, name: Name, evacuated: bool) -> usize {
        let workers = self.workers.values();
        let workers = workers.filter(|worker| worker.info.data_centre == name);
        let (count, runs) = workers.fold((0, 0), |(count, runs), worker| {
            (count + 1, runs + worker.runs.len())
        });
        self.events.push(Event::DataCentre {
            name,
            evacuated,
            workers: count,
            runs,
        });
        runs
    }

    /// Reports the evacuated data centres in which the last run has ended.
    fn report_empty(&mut self) {
        let mut occupied: BTreeSet<&Name> = BTreeSet::new();
        for worker in self.workers.values().filter(|worker| worker.evacuated) {
            if !worker.runs.is_empty() {
                occupied.insert(&worker.info.data_centre);
            }
        }
        for (name, state) in &mut self.evacuation.data_centres {
            let is_empty = state.announced && !occupied.contains(name);
            if is_empty && !state.empty {
                self.events
                    .push(Event::DataCentreEmpty { name: name.clone() });
            }
            state.empty = is_empty;
        }
    }

    /// Forgets the moves that are over: the task runs again, need not run any more, or waits like
    /// other work does.
    fn forget_moved(&mut self, now: Millis) {
        let mut moving = std::mem::take(&mut self.evacuation.moving);
        moving.retain(|id, moving| {
            if now.since(moving.since) >= MOVE_LIMIT {
                return false;
            }
            let Some(position) = self.position(id) else {
                return false;
            };
            let is_over = self.jobs[position.job].final_state.is_some();
            let Some(task) = self.task(position).filter(|task| !task.done && !is_over) else {
                return false;
            };
            let run = task
                .worker
                .and_then(|key| self.workers.get(key)?.runs.get(id));
            !run.is_some_and(|run| matches!(run.phase, Phase::Confirmed(_)))
        });
        self.evacuation.moving = moving;
    }
}
