//! Free capacity for runs that move away from evacuated data centres.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    engine::Engine,
    job::{
        Step,
        TaskId, //
    },
    placement,
    pool::{
        Pool,
        Slot,
        deduct,
        interferes, //
    },
    rank::Rank,
    reserve,
    schedule::Ready,
    selection::Candidate,
    stage::Verdict,
    worker::{
        self,
        JobKey,
        Phase, //
    },
};

/// Fraction of the workers of a pool that may be the number of tasks which move at the same time. So
/// a data centre is emptied in steps, and arriving work finds the others free.
const MAX_MOVING_FRACTION: f64 = 1.0 / 8.0;

/// Number of approvals to expect from the workers that a stage has no advice about. With fewer, a
/// task that was stopped might find no worker.
const EXPECTED_APPROVALS: f64 = 2.0;

/// What moving runs may take of each pool.
pub(crate) struct Room {
    pools: BTreeMap<Name, Pool>,
    /// Free capacity less what waiting work needs, by pool; `None` if waiting work lacks capacity.
    spare: BTreeMap<Name, Option<Resources>>,
    /// Number of tasks that move, by pool.
    moving: BTreeMap<Name, usize>,
    /// Teams with work that waits for their caps.
    capped_teams: BTreeSet<Name>,
}

impl Room {
    pub(crate) fn new(engine: &Engine, now: Millis) -> Self {
        let pools = engine.build_pools(now);
        let spare = pools
            .iter()
            .map(|(name, pool)| (name.clone(), Some(pool.free)));
        let mut room = Self {
            spare: spare.collect(),
            pools,
            moving: BTreeMap::new(),
            capped_teams: BTreeSet::new(),
        };
        let ready_stages = engine.ready_stages(false, now);
        let mut waiting: BTreeSet<(JobKey, usize)> = BTreeSet::new();
        for ready in ready_stages {
            waiting.insert((ready.job, ready.stage));
            room.reserve(engine, ready);
        }
        for (id, moving) in &engine.evacuation.moving {
            *room.moving.entry(moving.pool.clone()).or_default() += 1;
            let Some(position) = engine.position(id) else {
                continue;
            };
            let is_ordered = engine
                .task(position)
                .and_then(|task| engine.workers.get(task.worker?)?.runs.get(id))
                .is_some_and(|run| run.phase == Phase::Ordered);
            // A start that was ordered has its capacity.
            if !is_ordered && !waiting.contains(&(position.job, position.stage)) {
                let job = &engine.jobs[position.job];
                let step = &job.accepted.spec.steps[job.stages[position.stage].step];
                room.deduct_spare(&moving.pool, &step.demand());
            }
        }
        room
    }

    /// Reserves what a waiting stage needs.
    fn reserve(&mut self, engine: &Engine, ready: Ready) {
        let job = &engine.jobs[ready.job];
        let Some(queue) = engine.queue(job) else {
            return;
        };
        let (Some(pool), Some(Some(_))) =
            (self.pools.get(&queue.pool), self.spare.get(&queue.pool))
        else {
            return;
        };
        let stage = &job.stages[ready.stage];
        let step = &job.accepted.spec.steps[stage.step];
        let team = job.accepted.team.as_ref();
        let is_urgent = queue.priority == pool.urgent || step.long_running;
        if !engine.team_allows(team, &step.resources, is_urgent) {
            self.capped_teams.extend(team.cloned());
            return;
        }
        let demand = step.demand();
        let may_run = |slot: &Slot| {
            demand.fits(&slot.capacity)
                && engine.has_label(slot.key, step)
                && stage.verdicts.get(slot.key) != Some(&Verdict::Bad)
        };
        if !pool.slots.iter().any(may_run) {
            return;
        }
        let name = queue.pool.clone();
        let has_gap = pool
            .slots
            .iter()
            .any(|slot| demand.fits(&slot.free) && may_run(slot));
        if has_gap {
            self.deduct_spare(&name, &demand.times(stage.waiting_count() as u64));
        } else {
            self.spare.insert(name, None);
        }
    }

    fn deduct_spare(&mut self, pool: &Name, demand: &Resources) {
        if let Some(spare) = self.spare.get_mut(pool) {
            *spare = spare
                .filter(|spare| demand.fits(spare))
                .map(|spare| spare.minus(demand));
        }
    }

    /// Takes the capacity for runs of a stage that move together. Returns whether there is enough;
    /// if not, nothing is taken.
    pub(crate) fn take(
        &mut self,
        engine: &Engine,
        job_key: JobKey,
        stage: usize,
        members: &[(worker::Key, TaskId)],
        now: Millis,
    ) -> bool {
        let job = &engine.jobs[job_key];
        let Some(queue) = engine.queue(job) else {
            return false;
        };
        let is_capped = |team: &Name| self.capped_teams.contains(team);
        if job.accepted.team.as_ref().is_some_and(is_capped) {
            return false;
        }
        let (Some(pool), Some(Some(spare))) =
            (self.pools.get(&queue.pool), self.spare.get(&queue.pool))
        else {
            return false;
        };
        let moving = self.moving.get(&queue.pool).copied().unwrap_or(0);
        let max_moving = (pool.slots.len() as f64 * MAX_MOVING_FRACTION) as usize;
        if moving > 0 && moving + members.len() > max_moving {
            return false;
        }
        let step = &job.accepted.spec.steps[job.stages[stage].step];
        let demand = step.demand();
        // A member that runs elsewhere leaves room for itself.
        let leaves = |key: &worker::Key| pool.slot(*key).is_some();
        let arriving = members.iter().filter(|(key, _)| !leaves(key)).count() as u64;
        let needed = demand.times(arriving);
        let may_use_reserve = queue.priority == pool.urgent || step.long_running;
        if !needed.fits(spare)
            || !(may_use_reserve || reserve::admits(spare, &pool.capacity, &needed))
        {
            return false;
        }
        let ready = Ready {
            rank: Rank::default(),
            is_pressed: false,
            job: job_key,
            stage,
        };
        let candidates = self.candidates(engine, ready, step, pool, members, now);
        let max_per_worker = step.max_per_worker.unwrap_or(u32::MAX);
        let chosen = placement::choose_workers(candidates, &demand, members.len(), max_per_worker);
        let Some(chosen) = chosen else {
            return false;
        };
        let name = queue.pool.clone();
        if let Some(pool) = self.pools.get_mut(&name) {
            for key in chosen {
                deduct(pool, &mut [], key, &demand, 0);
            }
        }
        self.deduct_spare(&name, &needed);
        *self.moving.entry(name).or_default() += members.len();
        true
    }

    /// Returns the workers to which runs of a stage may move.
    fn candidates(
        &self,
        engine: &Engine,
        ready: Ready,
        step: &Step,
        pool: &Pool,
        members: &[(worker::Key, TaskId)],
        now: Millis,
    ) -> Vec<Candidate> {
        let demand = step.demand();
        let job = &engine.jobs[ready.job];
        let stage = &job.stages[ready.stage];
        let has_failed = |key: worker::Key| {
            let mut tasks = stage.tasks.iter();
            tasks.any(|task| task.failed_workers.contains(&key))
        };
        let on_worker = engine.stage_tasks_by_worker(ready);
        let max_per_worker = step.max_per_worker.unwrap_or(u32::MAX) as usize;
        let mut candidates = engine.candidates(ready, step, pool, false, |_| true, now);
        candidates.retain_mut(|candidate| {
            let Some(slot) = pool.slot(candidate.key) else {
                return false;
            };
            let leaving = members
                .iter()
                .filter(|(key, _)| *key == candidate.key)
                .count();
            candidate.free = candidate.free.plus(&demand.times(leaving as u64));
            let remaining = on_worker.get(&candidate.key).copied().unwrap_or(0);
            slot.is_trusted()
                && demand.fits(&candidate.free)
                && !interferes(slot, step)
                && !has_failed(candidate.key)
                && remaining.saturating_sub(leaving) < max_per_worker
                && stage.verdicts.get(candidate.key) != Some(&Verdict::Bad)
        });
        let queue = engine.queue(job);
        if queue.is_none_or(|queue| queue.advice.is_none()) {
            return candidates;
        }
        let (approved, unknown): (Vec<Candidate>, Vec<Candidate>) = candidates
            .into_iter()
            .partition(|candidate| stage.verdicts.contains_key(candidate.key));
        let rate = engine.approvals_of(&job.accepted.queue).rate();
        let expected = unknown.len() as f64 * rate;
        if approved.len() < members.len() && expected >= EXPECTED_APPROVALS * members.len() as f64 {
            return [approved, unknown].concat();
        }
        approved
    }
}
