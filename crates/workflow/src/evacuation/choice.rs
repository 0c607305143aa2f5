//! The choice of the runs that move away from evacuated data centres.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use basilbridge_common::unit::Millis;

use crate::{
    engine::Engine,
    event::Event,
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
        TaskPosition, //
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
pub(super) struct Move {
    /// Time that the longest of them would take there.
    remaining: Duration,
    pub(super) job: worker::JobKey,
    pub(super) stage: usize,
    pub(super) members: Vec<(worker::Key, TaskId)>,
}

impl Engine {
    /// Returns the runs that should move, those first that would stay longest, and reports those
    /// that can't.
    pub(super) fn choose_moves(&mut self, now: Millis) -> Vec<Move> {
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
                // The others of a gang that is being stopped or started have no worker.
                if step.gang && members.len() < self.jobs[job].stages[stage].tasks.len() {
                    continue;
                }
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
    pub(super) fn may_be_away(&self, candidate: &Move, now: Millis) -> bool {
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
