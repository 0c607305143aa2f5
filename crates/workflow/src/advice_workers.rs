//! The choice of the workers that a request for advice names.

use std::{
    cmp::Reverse,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    active::OBJECTIVE_ADVICE_WORKERS,
    advice,
    advice_request::{
        Claims,
        Want, //
    },
    approvals::{
        Approvals,
        sufficient_count, //
    },
    engine::Engine,
    pool::{
        Pool,
        Slot,
        fit_count,
        preferred_pace, //
    },
    reserve,
    retry,
    schedule::TICKET_MARGIN,
    stage::{
        Stage,
        Verdict, //
    },
    worker, //
};

impl Engine {
    /// Returns the workers that a request names, or `None` if its reply would be of no use now.
    pub(crate) fn workers_to_name(
        &self,
        want: &Want,
        pool: &Pool,
        claims: &mut Claims,
        now: Millis,
    ) -> Option<Vec<worker::Key>> {
        let ready = want.ready;
        let job = &self.jobs[ready.job];
        let stage = &job.stages[ready.stage];
        let step = &job.accepted.spec.steps[stage.step];
        let demand = step.demand();
        let may_use_reserve = want.is_urgent || step.long_running;
        let claimed = claims.by_pool.get(&want.pool).copied().unwrap_or_default();
        if !may_use_reserve && !reserve::admits(&pool.free.minus(&claimed), &pool.capacity, &demand)
        {
            return None;
        }
        let team = job.accepted.team.as_ref();
        let claimed = team.and_then(|team| claims.by_team.get(team)).copied();
        let resources = step.resources.plus(&claimed.unwrap_or_default());
        if !self.team_allows(team, &resources, may_use_reserve) {
            return None;
        }
        let available = |slot: &Slot| {
            if want.may_preempt() {
                slot.reclaimable
            } else {
                slot.unclaimed
            }
        };
        let largest = claims
            .largest
            .entry(want.pool.clone())
            .or_insert_with(|| largest_capacities(pool));
        let largest = if want.may_preempt() {
            largest.1
        } else {
            largest.0
        };
        if !demand.fits(&largest) {
            return None;
        }
        let waiting = want.waiting;
        let needed_until = now.after(TICKET_MARGIN);
        let max_per_worker = step.max_per_worker.unwrap_or(u32::MAX) as usize;
        let on_worker = self.stage_tasks_by_worker(ready);
        let allowed_tasks = |slot: &Slot| {
            max_per_worker.saturating_sub(on_worker.get(&slot.key).copied().unwrap_or(0))
        };
        let fitting = |slot: &Slot, available: &Resources| {
            fit_count(available, &demand)
                .min(allowed_tasks(slot))
                .min(waiting)
        };
        let fitting_tasks = |slot: &Slot| fitting(slot, &available(slot));
        // A call takes longer with each worker that it names, so workers in doubt are named only if
        // no other may run the stage, or none has become free in time.
        let waited = waited(stage, now);
        let trusted = self.has_trusted_worker(ready, step, pool, &[]);
        let is_eligible = |slot: &Slot| {
            let is_last_resort = !trusted || (!slot.quarantined && waited >= retry::MAX_WAIT);
            stage.ticket(slot.key, slot.boot, needed_until).is_none()
                && stage.verdicts.get(slot.key) != Some(&Verdict::Bad)
                && (slot.is_trusted() || is_last_resort)
                && allowed_tasks(slot) > 0
                && self.has_label(slot.key, step)
        };
        let mut slots = pool.slots.iter();
        if !slots.any(|slot| fitting_tasks(slot) > 0 && is_eligible(slot)) {
            return None;
        }
        // The members of a gang start together or not at all.
        if step.gang {
            let slots = pool.slots.iter().filter(|slot| {
                stage.verdicts.get(slot.key) != Some(&Verdict::Bad)
                    && self.has_label(slot.key, step)
            });
            if slots.map(fitting_tasks).sum::<usize>() < waiting {
                return None;
            }
        }
        let slots = pool.slots.iter().filter(|slot| is_eligible(slot));
        let mut candidates: Vec<(bool, i32, usize, usize, worker::Key)> = slots
            .map(|slot| {
                (
                    !stage.verdicts.contains_key(slot.key),
                    preferred_pace(slot, step, want.is_urgent),
                    fitting(slot, &slot.unclaimed),
                    fitting_tasks(slot),
                    slot.key,
                )
            })
            .collect();
        let known = candidates.iter().filter(|candidate| !candidate.0);
        if known.map(|candidate| candidate.3).sum::<usize>() >= waiting {
            candidates.retain(|candidate| !candidate.0 && candidate.3 > 0);
        }
        // Workers that were approved before come first, then those with the most free capacity. A
        // worker without free capacity may get some while its ticket is valid.
        let order =
            |(unknown, pace, free, fitting, key): &(bool, i32, usize, usize, worker::Key)| {
                (
                    *unknown,
                    *free == 0,
                    *pace,
                    Reverse(*free),
                    Reverse(*fitting),
                    *key,
                )
            };
        if candidates.len() > advice::MAX_WORKERS {
            candidates.select_nth_unstable_by_key(advice::MAX_WORKERS, order);
            candidates.truncate(advice::MAX_WORKERS);
        }
        candidates.sort_unstable_by_key(order);
        let approvals = self.approvals_of(&job.accepted.queue);
        let workers = candidates
            .iter()
            .map(|(unknown, _, _, fitting, _)| (!unknown, *fitting));
        let needed = sufficient_count(workers, waiting, approvals.rate());
        // More names leave more choice, but take time that other calls need under load.
        let count = if approvals.is_known() && self.relays.is_short() {
            needed
        } else {
            needed.max(OBJECTIVE_ADVICE_WORKERS)
        };
        candidates.truncate(count.min(advice::MAX_WORKERS));
        Some(candidates.iter().map(|candidate| candidate.4).collect())
    }

    /// Returns the recent approvals of a queue.
    pub(crate) fn approvals_of(&self, queue: &Name) -> Approvals {
        self.approvals.get(queue).copied().unwrap_or_default()
    }
}

/// Returns the largest capacity of a worker in each dimension: unclaimed and reclaimable.
fn largest_capacities(pool: &Pool) -> (Resources, Resources) {
    let max = |largest: Resources, other: &Resources| Resources {
        cpu_millis: largest.cpu_millis.max(other.cpu_millis),
        memory_mib: largest.memory_mib.max(other.memory_mib),
        accelerators: largest.accelerators.max(other.accelerators),
    };
    let mut largest = (Resources::default(), Resources::default());
    for slot in &pool.slots {
        largest.0 = max(largest.0, &slot.unclaimed);
        largest.1 = max(largest.1, &slot.reclaimable);
    }
    largest
}

/// Returns the longest time for which a task of the stage has waited.
fn waited(stage: &Stage, now: Millis) -> Duration {
    let waiting = stage.tasks.iter().filter(|task| task.is_waiting());
    let since = waiting.map(|task| task.waiting_since).min();
    since.map_or(Duration::ZERO, |since| now.since(since))
}
