//! Evacuation of data centres: which are evacuated, and which runs move away from there.
//!
//! No task starts on a worker of an evacuated data centre; see [`crate::availability`]. What runs
//! there is left to end if it should end soon. Otherwise it is stopped and started elsewhere from
//! its checkpoint, but only where free capacity takes it that no other work waits for. See
//! `docs/design/evacuation.md`.

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
    evacuation_room::Room,
    event::{
        Cause,
        Event, //
    },
    job::{
        Step,
        TaskId, //
    },
    pace::{
        self,
        Reading, //
    },
    worker::{
        self,
        Phase,
        Run,
        TaskPosition,
        Worker, //
    },
};

/// Time that a move costs: a stop takes up to 0.9 s and a restart up to 0.6 s.
const MOVE_TIME: Duration = Duration::from_millis(1500);

/// Factor by which the remaining time of a task has to exceed the cost of its move. Remaining times
/// follow from estimates, which are off by up to this factor.
const CLEAR_FACTOR: u32 = 2;

/// Time after which a long-running task that runs again counts as available, from the users' rules.
const AT_WORK_TIME: Duration = Duration::from_millis(5500);

/// Progress at which a long-running task is at work, in percent.
const AT_WORK_PERCENT: f64 = 100.0;

/// Progress from which the pace of a run tells how long it takes, in percent.
const PACE_PERCENT: f64 = 5.0;

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

/// What becomes of a run in an evacuated data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decision {
    /// It is left to end.
    Leave,
    /// It ends only with its job and can't move.
    Stay,
    /// It moves if there is room. It would take this long there.
    Move(Duration),
}

/// Runs that move together: one, or all of a gang.
struct Move {
    remaining: Duration,
    job: worker::JobKey,
    stage: usize,
    members: Vec<(worker::Key, TaskId)>,
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

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &Name) -> bool {
        self.evacuation.includes(data_centre)
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

    /// Returns the runs that should move, those first that would stay longest, and reports those
    /// that can't.
    fn choose_moves(&mut self, now: Millis) -> Vec<Move> {
        let mut gangs: BTreeSet<(worker::JobKey, usize)> = BTreeSet::new();
        let mut staying: BTreeSet<(TaskId, u32)> = BTreeSet::new();
        let mut moves = Vec::new();
        let evacuated = self.workers.iter().filter(|(_, worker)| worker.evacuated);
        for (key, worker) in evacuated {
            for (id, run) in &worker.runs {
                let Some(position) = run.position else {
                    continue;
                };
                let Some(step) = self.step(position) else {
                    continue;
                };
                let (job, stage) = (position.job, position.stage);
                if step.gang && !gangs.insert((job, stage)) {
                    continue;
                }
                let members = if step.gang {
                    self.gang_members(job, stage)
                } else {
                    vec![(key, id.clone())]
                };
                match self.decide(&members, now) {
                    Decision::Leave => {}
                    Decision::Stay => {
                        staying.insert((id.clone(), run.run));
                        if !self.evacuation.staying.contains(&(id.clone(), run.run)) {
                            self.events.push(Event::Staying {
                                task: id.clone(),
                                run: run.run,
                                worker: worker.info.name.clone(),
                                data_centre: worker.info.data_centre.clone(),
                            });
                        }
                    }
                    Decision::Move(remaining) => moves.push(Move {
                        remaining,
                        job,
                        stage,
                        members,
                    }),
                }
            }
        }
        self.evacuation.staying = staying;
        moves.sort_by(|left, right| {
            let by_time = right.remaining.cmp(&left.remaining);
            by_time.then_with(|| left.members[0].1.cmp(&right.members[0].1))
        });
        moves
    }

    fn step(&self, position: TaskPosition) -> Option<&Step> {
        let job = self.jobs.get(position.job)?;
        Some(&job.accepted.spec.steps[job.stages[position.stage].step])
    }

    /// Returns the placed members of a gang.
    fn gang_members(&self, job: worker::JobKey, stage: usize) -> Vec<(worker::Key, TaskId)> {
        let job = &self.jobs[job];
        let tasks = job.stages[stage].tasks.iter().enumerate();
        tasks
            .filter_map(|(index, task)| Some((task.worker?, job.task_id(stage, index))))
            .collect()
    }

    /// Returns what becomes of runs that can only move together.
    fn decide(&self, members: &[(worker::Key, TaskId)], now: Millis) -> Decision {
        let decisions = members
            .iter()
            .map(|(key, id)| self.decide_run(*key, id, now));
        decisions
            .reduce(|all, one| match (all, one) {
                (Decision::Move(all), Decision::Move(one)) => Decision::Move(all.max(one)),
                (Decision::Stay, _) | (_, Decision::Stay) => Decision::Stay,
                _ => Decision::Leave,
            })
            .unwrap_or(Decision::Leave)
    }

    fn decide_run(&self, key: worker::Key, id: &TaskId, now: Millis) -> Decision {
        let Some(worker) = self.workers.get(key) else {
            return Decision::Leave;
        };
        let current = worker.runs.get(id).and_then(|run| {
            let position = run.position?;
            let task = self.task(position)?;
            let is_current = task.worker == Some(key) && task.run == run.run && !task.done;
            let is_wanted = self.jobs[position.job].final_state.is_none();
            (is_current && is_wanted).then_some((run, task, position))
        });
        let Some((run, task, position)) = current else {
            return Decision::Leave;
        };
        let Some(step) = self.step(position) else {
            return Decision::Leave;
        };
        if step.long_running {
            let can_move = match step.max_unavailable {
                Some(count) => count > 0,
                None => step.checkpoints,
            };
            if !can_move {
                return Decision::Stay;
            }
        }
        // An unresponsive worker would not stop the run soon, and a task that may crash workers is
        // not spread to others.
        let may_stop = matches!(run.phase, Phase::Confirmed(_))
            && !worker.unresponsive
            && !task.history.is_suspect();
        if !may_stop {
            return Decision::Leave;
        }
        if step.long_running {
            return Decision::Move(Duration::MAX);
        }
        if !step.checkpoints {
            return Decision::Leave;
        }
        let total = self.total_time(run, step, position, now);
        let remaining = total
            .mul_f64((100.0 - run.percent).max(0.0) / 100.0)
            .saturating_sub(now.since(run.progressed_at));
        let repeated = match &task.checkpoint {
            None => total.saturating_sub(remaining),
            Some(_) if task.checkpoint_run == run.run => Duration::ZERO,
            Some(_) => now.since(run.started_at),
        };
        if remaining > (MOVE_TIME + repeated) * CLEAR_FACTOR {
            Decision::Move(remaining)
        } else {
            Decision::Leave
        }
    }

    /// Returns how long a task takes in all: by its pace so far, or as tasks of its queue usually
    /// do.
    fn total_time(&self, run: &Run, step: &Step, position: TaskPosition, now: Millis) -> Duration {
        let begun = Reading {
            percent: 0.0,
            at: run.started_at,
        };
        let latest = Reading {
            percent: run.percent,
            at: run.progressed_at.min(now),
        };
        let by_pace = (run.whole && run.percent >= PACE_PERCENT)
            .then(|| pace::duration(begun, latest))
            .flatten();
        let queue = &self.jobs[position.job].accepted.queue;
        let usual = self.durations.get(queue).copied().unwrap_or_default();
        by_pace.unwrap_or_else(|| usual.usual(step.estimate))
    }

    /// Returns whether the tasks of a long-running step may be away in addition to those that are.
    fn may_be_away(&self, candidate: &Move, now: Millis) -> bool {
        let job = &self.jobs[candidate.job];
        let stage = &job.stages[candidate.stage];
        let step = &job.accepted.spec.steps[stage.step];
        // Without the field, one task after the other moves.
        let max_away = match step.max_unavailable {
            _ if !step.long_running => return true,
            Some(count) => count as usize,
            None if step.gang => return true,
            None => 1,
        };
        let moves = |id: &TaskId| candidate.members.iter().any(|(_, member)| member == id);
        let tasks = stage.tasks.iter().enumerate();
        let away = tasks.filter(|(index, task)| {
            let id = job.task_id(candidate.stage, *index);
            moves(&id) || !self.is_at_work(task.worker, &id, task.run, now)
        });
        away.count() <= max_away
    }

    /// Returns whether a run of a long-running task has been at work for [`AT_WORK_TIME`].
    fn is_at_work(
        &self,
        worker: Option<worker::Key>,
        id: &TaskId,
        number: u32,
        now: Millis,
    ) -> bool {
        let Some(worker) = worker.and_then(|key| self.workers.get(key)) else {
            return false;
        };
        !worker.unresponsive
            && worker.runs.get(id).is_some_and(|run| {
                run.run == number
                    && matches!(run.phase, Phase::Confirmed(_))
                    && run.percent >= AT_WORK_PERCENT
                    && now.since(run.progressed_at) >= AT_WORK_TIME
            })
    }
}
