//! Placement of the tasks of a stage.

use std::collections::BTreeMap;

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    budget, crash,
    engine::{
        Engine,
        RUNS_PER_EPOCH,
        worker_target, //
    },
    event::Event,
    job::Step,
    order::{
        Order,
        Start, //
    },
    pace::Reading,
    pool::{
        Pool,
        Slot,
        deduct, //
    },
    reserve,
    retry::{
        self,
        Attempt, //
    },
    schedule::Ready,
    selection::{
        self,
        Candidate, //
    },
    throttle::FULL_SPEED,
    worker::{
        self,
        Phase,
        Run, //
    },
};

impl Engine {
    /// Starts as many waiting tasks of a stage as fit, each on the best worker.
    pub(crate) fn place_tasks(
        &mut self,
        ready: Ready,
        step: &Step,
        pool: &mut Pool,
        advised: bool,
        is_urgent: bool,
        now: Millis,
    ) {
        let demand = step.demand();
        let has_capacity = |slot: &Slot| demand.fits(&slot.free);
        let mut candidates = self.candidates(ready, step, pool, advised, has_capacity, now);
        if candidates.is_empty() {
            return;
        }
        let count = self.jobs[ready.job].stages[ready.stage].tasks.len();
        let max_attempts = self.max_attempts(ready.job);
        let has_slow = candidates.iter().any(|candidate| candidate.slow);
        let may_use_reserve = is_urgent || step.long_running;
        let group = crash::group_size(pool.waiting_suspects, pool.slots.len());
        let mut on_worker = match step.max_per_worker {
            Some(_) => {
                self.tasks_by_worker(ready, candidates.iter().map(|candidate| candidate.key))
            }
            None => BTreeMap::new(),
        };
        for index in 0..count {
            let job = &self.jobs[ready.job];
            let task = &job.stages[ready.stage].tasks[index];
            if !task.is_waiting() {
                continue;
            }
            // The rest is started once some of the starts have been answered.
            if self.start_window == 0 {
                return;
            }
            if !self.team_allows(job.accepted.team.as_ref(), &step.resources, may_use_reserve) {
                return;
            }
            let fits = may_use_reserve || reserve::admits(&pool.free, &pool.capacity, &demand);
            if !fits {
                return;
            }
            // Only then may the task have to look for another worker.
            let has_doubtful = !task.failed_runs.is_empty() || has_slow;
            let alternative =
                has_doubtful && self.has_trusted_worker(ready, step, pool, &task.failed_workers);
            let attempt = Attempt {
                failed_here: false,
                suspect: false,
                slow: false,
                is_last: task.failed_runs.len() + 1 >= max_attempts,
                long_running: step.long_running,
                waited: now.since(task.waiting_since),
            };
            let crashes = task.history.crashes.len();
            let is_suspect = task.history.is_suspect();
            let position = worker::TaskPosition {
                job: ready.job,
                stage: ready.stage,
                index,
            };
            let admits = |candidate: &Candidate| {
                let mut colocation = candidate.colocation;
                self.add_reserved(&mut colocation, candidate.key, position, now);
                crash::admits(
                    colocation,
                    group,
                    crashes,
                    attempt.waited,
                    step.long_running,
                )
            };
            let allowed = candidates
                .iter()
                .filter(|candidate| !is_suspect || admits(candidate))
                .filter(|candidate| {
                    let max_per_worker = step.max_per_worker.unwrap_or(u32::MAX);
                    on_worker.get(&candidate.key).copied().unwrap_or(0) < max_per_worker
                })
                .map(|candidate| Candidate {
                    suspect: candidate.suspect || task.failed_workers.contains(&candidate.key),
                    ..*candidate
                })
                .filter(|candidate| {
                    let attempt = Attempt {
                        failed_here: task.failed_workers.contains(&candidate.key),
                        suspect: candidate.suspect,
                        slow: candidate.slow,
                        ..attempt
                    };
                    retry::admits(&attempt, alternative)
                });
            let epoch_first = self.settings.epoch * RUNS_PER_EPOCH + 1;
            let run = (task.run + 1).max(epoch_first);
            let chosen = if is_suspect {
                let allowed: Vec<Candidate> = allowed.collect();
                let recorded = self.recorded_worker(task, run);
                let recorded = allowed
                    .iter()
                    .copied()
                    .filter(|candidate| recorded == Some(candidate.key));
                selection::most_isolated(recorded, &demand)
                    .or_else(|| selection::most_isolated(allowed, &demand))
            } else {
                selection::best_fit(allowed, &demand)
            };
            let Some(key) = chosen else {
                if alternative || is_suspect {
                    continue;
                }
                return;
            };
            let checkpoint = task.checkpoint.clone();
            if self.must_record_start(position, key, run, now) {
                continue;
            }
            self.start_run(ready, index, key, run, checkpoint, now);
            *on_worker.entry(key).or_default() += 1;
            deduct(pool, &mut candidates, key, &demand, crashes);
        }
    }

    /// Starts all tasks of a gang if they fit, in one rack if that is preferred and possible.
    pub(crate) fn place_gang(
        &mut self,
        ready: Ready,
        step: &Step,
        pool: &mut Pool,
        advised: bool,
        now: Millis,
    ) {
        let demand = step.demand();
        let count = self.jobs[ready.job].stages[ready.stage].tasks.len();
        let team = self.jobs[ready.job].accepted.team.clone();
        if self.start_window == 0
            || !self.team_allows(team.as_ref(), &step.resources.times(count as u64), true)
        {
            return;
        }
        let has_capacity = |slot: &Slot| demand.fits(&slot.free);
        let tasks = &self.jobs[ready.job].stages[ready.stage].tasks;
        let has_failed = |key| tasks.iter().any(|task| task.failed_workers.contains(&key));
        let mut all = self.candidates(ready, step, pool, advised, has_capacity, now);
        let crashes = tasks.iter().map(|task| task.history.crashes.len()).max();
        let crashes = crashes.unwrap_or(0);
        let is_suspect = crashes > 0;
        for candidate in &mut all {
            candidate.suspect |= has_failed(candidate.key);
            candidate.suspect |= is_suspect && candidate.colocation.suspect;
        }
        all.retain(|candidate| !is_suspect || !candidate.colocation.unproven_suspect);
        let mut groups: Vec<Vec<Candidate>> = Vec::new();
        if step.same_rack {
            let mut racks: BTreeMap<Option<Name>, Vec<Candidate>> = BTreeMap::new();
            for candidate in &all {
                let rack = self.workers[candidate.key].rack().cloned();
                racks.entry(rack).or_default().push(*candidate);
            }
            groups.extend(racks.into_values());
        }
        groups.push(all);
        let max_per_worker = step.max_per_worker.unwrap_or(u32::MAX);
        let Some(chosen) = groups
            .into_iter()
            .find_map(|candidates| choose_workers(candidates, &demand, count, max_per_worker))
        else {
            return;
        };
        let tasks = &self.jobs[ready.job].stages[ready.stage].tasks;
        let last_run = tasks.iter().map(|task| task.run).max().unwrap_or(0);
        let run = (last_run + 1).max(self.settings.epoch * RUNS_PER_EPOCH + 1);
        let newest_checkpoint = tasks
            .iter()
            .max_by_key(|task| (task.checkpoint_run, &task.checkpoint))
            .and_then(|task| task.checkpoint.clone());
        for (index, key) in chosen.into_iter().enumerate() {
            self.start_run(ready, index, key, run, newest_checkpoint.clone(), now);
            deduct(pool, &mut [], key, &demand, crashes);
        }
    }

    /// Returns whether a team may use `resources` more. Work without a team is not limited.
    pub(crate) fn team_allows(
        &self,
        team: Option<&Name>,
        resources: &Resources,
        urgent: bool,
    ) -> bool {
        let Some(name) = team else {
            return true;
        };
        let used = self.team_use(name);
        self.policy
            .teams
            .get(name)
            .is_none_or(|team| team.allows(&used.plus(resources), urgent))
    }

    /// Records a run and orders its worker to start it, at once or when the start is stored. Does
    /// nothing if the clock of the worker is unknown.
    pub(crate) fn start_run(
        &mut self,
        ready: Ready,
        index: usize,
        key: worker::Key,
        run: u32,
        checkpoint: Option<Name>,
        now: Millis,
    ) {
        let Some(lease_end) = self.lease_end(key, now) else {
            return;
        };
        let worker = &self.workers[key];
        let boot = worker.info.boot;
        let job = &mut self.jobs[ready.job];
        let task_id = job.task_id(ready.stage, index);
        let stage = &mut job.stages[ready.stage];
        let step = &job.accepted.spec.steps[stage.step];
        let ticket = stage
            .ticket(key, boot, now)
            .map(|ticket| ticket.token.clone());
        let task = &mut stage.tasks[index];
        let waited = now.since(task.waiting_since);
        task.run = run;
        task.worker = Some(key);
        job.started = true;
        let start_bytes = budget::start_bytes(job.accepted.spec.payload.len());
        self.start_window = self.start_window.saturating_sub(start_bytes);
        let team = job.accepted.team.clone().map(|name| (name, step.resources));
        let position = worker::TaskPosition {
            job: ready.job,
            stage: ready.stage,
            index,
        };
        let state = Run {
            run,
            position: Some(position),
            demand: step.demand(),
            pool: worker.info.pool.clone(),
            team,
            over_quota: job.over_quota,
            phase: Phase::Ordered,
            start_bytes,
            whole: checkpoint.is_none(),
            reading: checkpoint.is_none().then_some(Reading {
                percent: 0.0,
                at: now,
            }),
            started_at: now,
            proven_at: None,
            percent: 0.0,
            progressed_at: now,
            measurement: 0.0,
            throttle_percent: Some(FULL_SPEED),
            stop_sent: None,
        };
        let start = Start {
            target: worker_target(key, worker),
            boot: worker.boot.unwrap_or(worker.info.boot),
            task: task_id.clone(),
            run,
            payload: job.accepted.spec.payload.clone(),
            lease_end,
            ticket,
            checkpoint,
        };
        self.events.push(Event::Start {
            task: task_id.clone(),
            run,
            worker: worker.info.name.clone(),
            waited,
        });
        self.add_run(key, task_id, state, now);
        if self.jobs[ready.job].stores_starts(ready.stage) {
            self.hold_until_stored(position, start);
        } else {
            self.orders.push(Order::Start(start));
        }
    }
}

/// Returns a worker for each of `count` tasks, or `None` if not all of them fit.
pub(crate) fn choose_workers(
    mut candidates: Vec<Candidate>,
    demand: &Resources,
    count: usize,
    max_per_worker: u32,
) -> Option<Vec<worker::Key>> {
    let mut chosen: Vec<worker::Key> = Vec::with_capacity(count);
    for _ in 0..count {
        let key = selection::best_fit(candidates.iter().copied(), demand)?;
        chosen.push(key);
        let chosen_here = chosen.iter().filter(|other| **other == key).count() as u32;
        if chosen_here >= max_per_worker {
            candidates.retain(|candidate| candidate.key != key);
        }
        for candidate in candidates
            .iter_mut()
            .filter(|candidate| candidate.key == key)
        {
            candidate.free = candidate.free.minus(demand);
        }
    }
    Some(chosen)
}
