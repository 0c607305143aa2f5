//! The workers of one pool, as one scheduling pass sees them.

use std::collections::BTreeMap;

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use slotmap::SecondaryMap;

use crate::{
    choice::Candidate,
    engine::Engine,
    job::Step,
    schedule::{
        Ready,
        TICKET_MARGIN, //
    },
    worker::{
        self,
        Phase, //
    },
};

/// A worker that takes new work, as one scheduling pass sees it.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) key: worker::Key,
    pub(crate) boot: u64,
    pub(crate) free: Resources,
    /// What is free less what earlier stages of this pass have asked for.
    pub(crate) open: Resources,
    /// What is free or will be when the stops so far take effect, less what earlier stages of this
    /// pass count on.
    pub(crate) coming: Resources,
    /// What would be free if all that may be preempted for the most urgent work were gone.
    pub(crate) soft: Resources,
    pub(crate) suspect: bool,
    pub(crate) serves: bool,
    pub(crate) fills: bool,
}

/// The workers of one pool.
///
/// A pass comes to hundreds of slots for each of hundreds of stages, so a slot is found by its key.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) slots: Vec<Slot>,
    places: SecondaryMap<worker::Key, usize>,
    pub(crate) capacity_cpu: u64,
    pub(crate) free_cpu: u64,
}

impl Pool {
    fn push(&mut self, slot: Slot) {
        self.places.insert(slot.key, self.slots.len());
        self.slots.push(slot);
    }

    /// Returns the slot of a worker, if the worker takes new work.
    pub(crate) fn slot(&self, key: worker::Key) -> Option<&Slot> {
        self.places.get(key).map(|place| &self.slots[*place])
    }

    /// Returns the slot of a worker for a change, if the worker takes new work.
    pub(crate) fn slot_mut(&mut self, key: worker::Key) -> Option<&mut Slot> {
        let place = *self.places.get(key)?;
        self.slots.get_mut(place)
    }
}

impl Engine {
    pub(crate) fn pools(&self, urgent: u32, now: Millis) -> BTreeMap<Name, Pool> {
        let mut pools: BTreeMap<Name, Pool> = BTreeMap::new();
        for (key, worker) in &self.workers {
            let pool = pools.entry(worker.entry.pool.clone()).or_default();
            if !worker.is_usable(now) {
                continue;
            }
            let mut slot = Slot {
                key,
                boot: worker.entry.boot,
                free: worker.free(),
                open: worker.free(),
                coming: worker.free(),
                soft: worker.free(),
                suspect: !worker.failures.is_empty(),
                serves: false,
                fills: false,
            };
            for run in worker.runs.values() {
                let Some(job) = run.place.and_then(|place| self.jobs.get(place.job)) else {
                    continue;
                };
                let stage = run.place.map_or(0, |place| job.stages[place.stage].step);
                let step = &job.accepted.spec.steps[stage];
                slot.serves |= step.latency_target.is_some();
                slot.fills |= step.best_effort;
                let stops = matches!(run.phase, Phase::Stopping(_));
                if stops {
                    slot.coming = slot.coming.plus(&run.charge);
                }
                if stops || self.may_preempt(run, urgent) {
                    slot.soft = slot.soft.plus(&run.charge);
                }
            }
            pool.capacity_cpu += worker.entry.capacity.cpu_millis;
            pool.free_cpu += slot.free.cpu_millis;
            pool.push(slot);
        }
        pools
    }

    pub(crate) fn has_label(&self, key: worker::Key, step: &Step) -> bool {
        step.label
            .as_ref()
            .is_none_or(|label| self.workers[key].entry.labels.contains(label))
    }

    pub(crate) fn is_far(&self, key: worker::Key, step: &Step) -> bool {
        step.data_rack
            .as_ref()
            .is_some_and(|rack| !self.workers[key].entry.labels.contains(rack))
    }

    /// Returns the workers that may run a stage now and have room for it by `has_room`.
    pub(crate) fn candidates(
        &self,
        entry: Ready,
        step: &Step,
        pool: &Pool,
        advised: bool,
        has_room: impl Fn(&Slot) -> bool,
        now: Millis,
    ) -> Vec<Candidate> {
        let stage = &self.jobs[entry.job].stages[entry.stage];
        let holds = now.after(TICKET_MARGIN);
        let candidate = |slot: &Slot| Candidate {
            key: slot.key,
            free: slot.free,
            far: self.is_far(slot.key, step),
            suspect: slot.suspect,
            disturbs: disturbs(slot, step),
        };
        if !advised {
            let slots = pool.slots.iter();
            return slots
                .filter(|slot| has_room(slot) && self.has_label(slot.key, step))
                .map(candidate)
                .collect();
        }
        let slots = stage.verdicts.keys().filter_map(|key| pool.slot(key));
        slots
            .filter(|slot| has_room(slot))
            .filter(|slot| stage.ticket(slot.key, slot.boot, holds).is_some())
            .filter(|slot| self.has_label(slot.key, step))
            .map(candidate)
            .collect()
    }

    /// Counts the tasks of a stage by the worker that they are on.
    pub(crate) fn members(&self, entry: Ready) -> BTreeMap<worker::Key, u32> {
        let mut counts = BTreeMap::new();
        // A run that was given up in favour of another still counts on its worker.
        for (key, worker) in &self.workers {
            let here = worker.runs.values().filter(|run| {
                run.place
                    .is_some_and(|place| place.job == entry.job && place.stage == entry.stage)
            });
            let count = here.count() as u32;
            if count > 0 {
                counts.insert(key, count);
            }
        }
        counts
    }
}

pub(crate) fn disturbs(slot: &Slot, step: &Step) -> bool {
    (step.best_effort && slot.serves) || (step.latency_target.is_some() && slot.fills)
}

/// Returns how many tasks with `charge` fit into `room`.
pub(crate) fn fit_count(room: &Resources, charge: &Resources) -> usize {
    let part = |room: u64, charge: u64| room.checked_div(charge).unwrap_or(u64::MAX);
    part(room.cpu_millis, charge.cpu_millis)
        .min(part(room.memory_mib, charge.memory_mib))
        .min(part(room.accelerators, charge.accelerators))
        .min(1_000_000) as usize
}

/// Takes what a started task needs off the pool.
pub(crate) fn take(
    pool: &mut Pool,
    candidates: &mut [Candidate],
    key: worker::Key,
    charge: &Resources,
) {
    pool.free_cpu = pool.free_cpu.saturating_sub(charge.cpu_millis);
    if let Some(slot) = pool.slot_mut(key) {
        slot.free = slot.free.minus(charge);
        slot.open = slot.open.minus(charge);
        slot.soft = slot.soft.minus(charge);
        slot.coming = slot.coming.minus(charge);
    }
    for candidate in candidates
        .iter_mut()
        .filter(|candidate| candidate.key == key)
    {
        candidate.free = candidate.free.minus(charge);
    }
}

/// Counts what a stage will likely take of the workers that were asked about, so that later stages
/// of the same pass ask about others.
pub(crate) fn claim(
    pool: &mut Pool,
    asked: &[worker::Key],
    charge: &Resources,
    waiting: usize,
    good_part: f64,
) {
    let good = (asked.len() as f64 * good_part).max(1.0);
    let each = (waiting as f64 / good).ceil() as u64;
    for key in asked {
        if let Some(slot) = pool.slot_mut(*key) {
            let likely = charge.times(each.min(fit_count(&slot.open, charge) as u64));
            slot.open = slot.open.minus(&likely);
        }
    }
}
