//! Stops of runs in favour of more urgent work, and of stalled runs.

use std::time::Duration;

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    engine::Engine,
    event::Cause,
    job::{
        Step,
        TaskId, //
    },
    pool::{
        Pool,
        Slot,
        fit_count, //
    },
    schedule::Ready,
    worker::{
        self,
        Phase,
        Run, //
    },
};

/// Time without progress after which a run counts as stalled: two polls of a second each.
const STALL_LIMIT: Duration = Duration::from_millis(2200);

/// Time for which a worker gets no new work after a run has stalled there.
const STALL_BACKOFF: Duration = Duration::from_secs(4);

/// Progress from which a run is not preempted: it ends about as soon as a stop would take effect.
const NEAR_END_PERCENT: f64 = 85.0;

impl Engine {
    /// Stops less urgent runs on workers that would then have the capacity for waiting tasks of a
    /// stage. Returns the number of tasks for which there will be no capacity.
    pub(crate) fn preempt(
        &mut self,
        ready: Ready,
        step: &Step,
        waiting: usize,
        pool: &mut Pool,
        advised: bool,
        now: Millis,
    ) -> usize {
        let demand = step.demand();
        let mut missing = waiting;
        // Without this filter a pass would visit the runs of every worker for every stage.
        let may_have_capacity = |slot: &Slot| demand.fits(&slot.reclaimable);
        let candidates = self.candidates(ready, step, pool, advised, may_have_capacity, now);
        let max_per_worker = step.max_per_worker.unwrap_or(u32::MAX) as usize;
        let on_worker = self.stage_tasks_by_worker(ready);
        let allowed = |key: worker::Key| {
            max_per_worker.saturating_sub(on_worker.get(&key).copied().unwrap_or(0))
        };
        if step.gang {
            let possible = candidates.iter().filter_map(|candidate| {
                let slot = pool.slot(candidate.key)?;
                Some(fit_count(&slot.reclaimable, &demand).min(allowed(candidate.key)))
            });
            // Stopping runs for a part of the gang would only waste them.
            if possible.sum::<usize>() < waiting {
                return waiting;
            }
        }
        let urgent = pool.urgent;
        for candidate in candidates {
            let Some(slot) = pool.slot_mut(candidate.key) else {
                continue;
            };
            let mut left = allowed(candidate.key);
            while missing > 0
                && left > 0
                && (demand.fits(&slot.expected_free())
                    || self.free_capacity(slot, &demand, urgent, now))
            {
                slot.expected_use = slot.expected_use.plus(&demand);
                missing -= 1;
                left -= 1;
            }
        }
        missing
    }

    /// Stops as many less urgent runs of a worker as `demand` needs. Returns whether it fits then;
    /// if not, nothing is stopped.
    pub(crate) fn free_capacity(
        &mut self,
        slot: &mut Slot,
        demand: &Resources,
        urgent: u32,
        now: Millis,
    ) -> bool {
        let mut victims: Vec<(Millis, TaskId, Resources)> = self.workers[slot.key]
            .runs
            .iter()
            .filter(|(_, run)| self.may_preempt(run, urgent))
            .map(|(task, run)| (run.started_at, task.clone(), run.demand))
            .collect();
        // The youngest run loses the least work.
        victims.sort_by_key(|victim| std::cmp::Reverse(victim.0));
        let mut remaining = slot.expected_use;
        let fits = |remaining: &Resources| demand.fits(&slot.capacity.minus(remaining));
        let mut chosen = Vec::new();
        for (_, task, freed) in victims {
            if fits(&remaining) {
                break;
            }
            remaining = remaining.minus(&freed);
            chosen.push(task);
        }
        if !fits(&remaining) {
            return false;
        }
        slot.expected_use = remaining;
        for task in chosen {
            self.stop(slot.key, &task, Cause::Preempted, now);
        }
        true
    }

    /// Stops less urgent runs of a team that is at its cap, so that `resources` for its urgent work
    /// fit.
    pub(crate) fn preempt_own_team(
        &mut self,
        team: &Name,
        resources: &Resources,
        urgent: u32,
        now: Millis,
    ) {
        let Some(cap) = self.policy.teams.get(team).map(|team| team.cap) else {
            return;
        };
        let used = self.team_usage.get(team).copied().unwrap_or_default();
        let mut missing = used.plus(resources).minus(&cap);
        let mut victims = Vec::new();
        for (key, worker) in &self.workers {
            for (task, run) in &worker.runs {
                let Some((_, usage)) = run.team.as_ref().filter(|(name, _)| name == team) else {
                    continue;
                };
                if matches!(run.phase, Phase::Stopping(_)) {
                    missing = missing.minus(usage);
                } else if !worker.evacuated && self.may_preempt(run, urgent) {
                    victims.push((run.started_at, key, task.clone(), *usage));
                }
            }
        }
        let is_over = |missing: &Resources| {
            (cap.cpu_millis > 0 && missing.cpu_millis > 0)
                || (cap.memory_mib > 0 && missing.memory_mib > 0)
                || (cap.accelerators > 0 && missing.accelerators > 0)
        };
        // The youngest run loses the least work.
        victims.sort_by_key(|victim| std::cmp::Reverse(victim.0));
        for (_, key, task, usage) in victims {
            if !is_over(&missing) {
                return;
            }
            missing = missing.minus(&usage);
            self.stop(key, &task, Cause::Preempted, now);
        }
    }

    /// Returns whether a run may be stopped for work of priority `urgent`.
    pub(crate) fn may_preempt(&self, run: &Run, urgent: u32) -> bool {
        let Some((position, job)) = run
            .position
            .and_then(|position| Some((position, self.jobs.get(position.job)?)))
        else {
            return false;
        };
        let step = &job.accepted.spec.steps[job.stages[position.stage].step];
        self.priority(job) > urgent && is_preemptable(step, run)
    }

    /// Stops stalled runs, so that their tasks start elsewhere.
    pub(crate) fn stop_stalled(&mut self, now: Millis) {
        let is_due = |at: Millis| now.since(at) >= STALL_LIMIT;
        let mut stalled = Vec::new();
        for (key, worker) in &self.workers {
            if !self.summary(key).progressed_at.is_some_and(is_due) {
                continue;
            }
            for (task, run) in &worker.runs {
                let Some(job) = run
                    .position
                    .and_then(|position| self.jobs.get(position.job))
                else {
                    continue;
                };
                let step_index = run
                    .position
                    .map_or(0, |position| job.stages[position.stage].step);
                let step = &job.accepted.spec.steps[step_index];
                let responded_since = worker
                    .last_response
                    .is_some_and(|at| at > run.progressed_at);
                if can_stall(step, run) && responded_since && is_due(run.progressed_at) {
                    stalled.push((key, task.clone()));
                }
            }
        }
        for (key, task) in stalled {
            self.stop(key, &task, Cause::Stalled, now);
            let worker = &mut self.workers[key];
            worker.avoid_until = worker.avoid_until.max(now.after(STALL_BACKOFF));
        }
    }
}

/// Returns whether a run without progress counts as stalled.
pub(crate) fn can_stall(step: &Step, run: &Run) -> bool {
    matches!(run.phase, Phase::Confirmed(_))
        && !step.long_running
        && !step.best_effort
        && !step.gang
}

/// Returns whether a run may be preempted. Only runs with checkpoints may, since they continue from
/// there.
pub(crate) fn is_preemptable(step: &Step, run: &Run) -> bool {
    step.checkpoints
        && !step.gang
        && !step.long_running
        && matches!(run.phase, Phase::Confirmed(_))
        && run.percent < NEAR_END_PERCENT
}
