//! Which runs are stopped for more urgent work, or because they stand still.

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
        Slot, //
    },
    schedule::Ready,
    worker::{
        Phase,
        Run, //
    },
};

/// For how long a run may show no progress: two looks of a second each.
const STALL_LIMIT: Duration = Duration::from_millis(2200);

/// For how long a worker on which a run stood still gets nothing new.
const STALL_AVOID: Duration = Duration::from_secs(4);

/// A run that is this far is not stopped for more urgent work: its end comes about as soon as the
/// stop would.
const NEAR_END_PERCENT: f64 = 85.0;

impl Engine {
    /// Stops less urgent runs where that makes room for a stage that has none.
    pub(crate) fn preempt(
        &mut self,
        entry: Ready,
        step: &Step,
        waiting: usize,
        pool: &mut Pool,
        advised: bool,
        now: Millis,
    ) {
        let charge = step.demand();
        let mut missing = waiting;
        // Without this a pass would go through the runs of each worker for each stage.
        let may_have_room = |slot: &Slot| charge.fits(&slot.soft);
        let candidates = self.candidates(entry, step, pool, advised, may_have_room, now);
        for candidate in candidates {
            let Some(slot) = pool.slot_mut(candidate.key) else {
                continue;
            };
            while missing > 0 && (charge.fits(&slot.coming) || self.make_room(slot, &charge, now)) {
                slot.coming = slot.coming.minus(&charge);
                missing -= 1;
            }
        }
    }

    /// Stops as many less urgent runs of a worker as `charge` needs; says whether there were enough.
    pub(crate) fn make_room(&mut self, slot: &mut Slot, charge: &Resources, now: Millis) -> bool {
        let urgent = self.urgent_priority();
        let mut victims: Vec<(Millis, TaskId, Resources)> = self.workers[slot.key]
            .runs
            .iter()
            .filter(|(_, run)| self.may_preempt(run, urgent))
            .map(|(task, run)| (run.since, task.clone(), run.charge))
            .collect();
        // The youngest run has the least work to lose.
        victims.sort_by_key(|victim| std::cmp::Reverse(victim.0));
        let mut room = slot.coming;
        let mut chosen = Vec::new();
        for (_, task, frees) in victims {
            if charge.fits(&room) {
                break;
            }
            room = room.plus(&frees);
            chosen.push(task);
        }
        if !charge.fits(&room) {
            return false;
        }
        slot.coming = room;
        for task in chosen {
            self.stop(slot.key, &task, Cause::Preempted, now);
        }
        true
    }

    /// Stops less urgent runs of a team that is at its cap, so that `room` of its urgent work fits.
    pub(crate) fn preempt_own(&mut self, tenant: &Name, room: &Resources, now: Millis) {
        let Some(cap) = self.policy.teams.get(tenant).map(|tenant| tenant.cap) else {
            return;
        };
        let used = self.used.get(tenant).copied().unwrap_or_default();
        let mut missing = used.plus(room).minus(&cap);
        let urgent = self.urgent_priority();
        let mut victims = Vec::new();
        for (key, worker) in &self.workers {
            for (task, run) in &worker.runs {
                let Some((_, takes)) = run.tenant.as_ref().filter(|(name, _)| name == tenant)
                else {
                    continue;
                };
                if matches!(run.phase, Phase::Stopping(_)) {
                    missing = missing.minus(takes);
                } else if self.may_preempt(run, urgent) {
                    victims.push((run.since, key, task.clone(), *takes));
                }
            }
        }
        let over = |missing: &Resources| {
            (cap.cpu_millis > 0 && missing.cpu_millis > 0)
                || (cap.memory_mib > 0 && missing.memory_mib > 0)
                || (cap.accelerators > 0 && missing.accelerators > 0)
        };
        // The youngest run has the least work to lose.
        victims.sort_by_key(|victim| std::cmp::Reverse(victim.0));
        for (_, key, task, takes) in victims {
            if !over(&missing) {
                return;
            }
            missing = missing.minus(&takes);
            self.stop(key, &task, Cause::Preempted, now);
        }
    }

    pub(crate) fn may_preempt(&self, run: &Run, urgent: u32) -> bool {
        let Some((place, job)) = run
            .place
            .and_then(|place| Some((place, self.jobs.get(place.job)?)))
        else {
            return false;
        };
        let step = &job.accepted.spec.steps[job.stages[place.stage].step];
        self.priority(job) > urgent && is_preemptable(step, run)
    }

    /// Stops runs that stand still, so that they start anew elsewhere.
    pub(crate) fn stop_stalled(&mut self, now: Millis) {
        let mut stalled = Vec::new();
        for (key, worker) in &self.workers {
            for (task, run) in &worker.runs {
                let Some(job) = run.place.and_then(|place| self.jobs.get(place.job)) else {
                    continue;
                };
                let stage = run.place.map_or(0, |place| job.stages[place.stage].step);
                let step = &job.accepted.spec.steps[stage];
                let heard = worker.heard.is_some_and(|heard| heard > run.moved);
                if matches!(run.phase, Phase::Confirmed(_))
                    && !step.long_running
                    && !step.best_effort
                    && !step.gang
                    && heard
                    && now.since(run.moved) >= STALL_LIMIT
                {
                    stalled.push((key, task.clone()));
                }
            }
        }
        for (key, task) in stalled {
            self.stop(key, &task, Cause::Stalled, now);
            let worker = &mut self.workers[key];
            worker.avoid = worker.avoid.max(now.after(STALL_AVOID));
        }
    }
}

/// Says whether a run may be stopped for more urgent work: it goes on later where it was.
pub(crate) fn is_preemptable(step: &Step, run: &Run) -> bool {
    step.checkpoints
        && !step.gang
        && !step.long_running
        && matches!(run.phase, Phase::Confirmed(_))
        && run.percent < NEAR_END_PERCENT
}
