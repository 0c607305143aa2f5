//! The usable workers of a pool during one scheduling pass.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use slotmap::SecondaryMap;

use crate::{
    crash::Colocation,
    engine::Engine,
    job::Step,
    pace,
    schedule::{
        Ready,
        TICKET_MARGIN, //
    },
    selection::Candidate,
    stage::Verdict,
    worker, //
};

/// A worker that accepts new work.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) key: worker::Key,
    pub(crate) boot: u64,
    /// Free capacity.
    pub(crate) free: Resources,
    /// Free capacity less what earlier stages of this pass have requested advice for.
    pub(crate) unclaimed: Resources,
    /// What its runs reserve, except those that are stopping, with what earlier stages of this pass
    /// count on. It exceeds the capacity if that has shrunk.
    pub(crate) expected_use: Resources,
    /// Free capacity if all runs that may be preempted for the most urgent work were gone.
    pub(crate) reclaimable: Resources,
    /// Total capacity.
    pub(crate) capacity: Resources,
    /// Whether a job has failed there since the last success.
    pub(crate) suspect: bool,
    /// Whether its tasks take much longer than elsewhere.
    pub(crate) slow: bool,
    /// Class of its pace; less is faster.
    pub(crate) pace: i32,
    /// Whether jobs have failed there, one after the other, so that it gets only work that no other
    /// worker may run.
    pub(crate) quarantined: bool,
    /// Whether it runs a task with a latency target.
    pub(crate) serving: bool,
    /// Whether it runs a best-effort task.
    pub(crate) best_effort: bool,
    /// Its runs.
    pub(crate) colocation: Colocation,
}

impl Slot {
    /// Returns what will be free once all stops have taken effect.
    pub(crate) fn expected_free(&self) -> Resources {
        self.capacity.minus(&self.expected_use)
    }

    /// Returns whether nothing speaks against the worker.
    pub(crate) fn is_trusted(&self) -> bool {
        !self.suspect && !self.quarantined && !self.slow
    }
}

/// The usable workers of a pool.
///
/// A pass accesses hundreds of slots for each of hundreds of stages, so slots are looked up by key.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) slots: Vec<Slot>,
    indexes: SecondaryMap<worker::Key, usize>,
    /// Capacity of all usable workers.
    pub(crate) capacity: Resources,
    /// Free part of it.
    pub(crate) free: Resources,
    /// Whether one of the workers is quarantined.
    has_quarantined: bool,
    /// Priority of the most urgent queue of the pool.
    pub(crate) urgent: u32,
    /// Number of tasks that wait under which a single worker has crashed.
    pub(crate) waiting_suspects: usize,
}

impl Pool {
    fn push(&mut self, slot: Slot) {
        self.indexes.insert(slot.key, self.slots.len());
        self.slots.push(slot);
    }

    /// Treats no worker as slow if so many are that the workers are not the cause.
    fn ignore_slowness_of_many(&mut self) {
        let slow = self.slots.iter().filter(|slot| slot.slow).count();
        if slow as f64 > self.slots.len() as f64 * pace::MAX_SLOW_FRACTION {
            for slot in &mut self.slots {
                slot.slow = false;
            }
        }
    }

    /// Returns the slot of a worker, if the worker accepts new work.
    pub(crate) fn slot(&self, key: worker::Key) -> Option<&Slot> {
        self.indexes.get(key).map(|index| &self.slots[*index])
    }

    /// Returns the mutable slot of a worker, if the worker accepts new work.
    pub(crate) fn slot_mut(&mut self, key: worker::Key) -> Option<&mut Slot> {
        let index = *self.indexes.get(key)?;
        self.slots.get_mut(index)
    }
}

impl Engine {
    /// Returns the pools by name. Runs that are less urgent than the most urgent queue of their pool
    /// count as reclaimable.
    pub(crate) fn build_pools(&self, now: Millis) -> BTreeMap<Name, Pool> {
        let mut pools: BTreeMap<Name, Pool> = BTreeMap::new();
        for (key, worker) in &self.workers {
            let pool = pools
                .entry(worker.info.pool.clone())
                .or_insert_with_key(|name| Pool {
                    urgent: self.urgent_priority(name),
                    ..Pool::default()
                });
            if !worker.is_usable(now) || !self.trusts_capacities(&worker.info.pool, now) {
                continue;
            }
            let summary = self.summary(key);
            let slot = Slot {
                key,
                boot: worker.info.boot,
                free: worker.free(),
                unclaimed: worker.free(),
                expected_use: worker.used.minus(&summary.stopping),
                reclaimable: worker
                    .info
                    .capacity
                    .minus(&worker.used.minus(&summary.reclaimable)),
                capacity: worker.info.capacity,
                suspect: !worker.failed_jobs.is_empty(),
                slow: worker.slow_until > now,
                pace: worker.pace.class(),
                quarantined: worker.quarantined_until > now,
                serving: summary.serving,
                best_effort: summary.best_effort,
                colocation: Colocation {
                    unproven_suspect: summary.unproven_suspect,
                    suspect: summary.suspect,
                    unproven: summary.unproven,
                    crashes: self
                        .machines
                        .get(&worker.info.address)
                        .map_or(0, |machine| machine.crashes(now)),
                    runs: worker.runs.len() as u32,
                    unproven_suspects: summary.unproven_suspects,
                    repeated_suspect: summary.repeated_suspect,
                },
            };
            if slot.quarantined {
                pool.has_quarantined = true;
            } else {
                pool.capacity = pool.capacity.plus(&worker.info.capacity);
                pool.free = pool.free.plus(&slot.free);
            }
            pool.push(slot);
        }
        for pool in pools.values_mut() {
            pool.ignore_slowness_of_many();
        }
        pools
    }

    /// Returns whether a worker has the label that a step requires, if any.
    pub(crate) fn has_label(&self, key: worker::Key, step: &Step) -> bool {
        step.label
            .as_ref()
            .is_none_or(|label| self.workers[key].info.labels.contains(label))
    }

    /// Returns whether a worker is outside the rack that holds the data of a step.
    pub(crate) fn is_remote_from_data(&self, key: worker::Key, step: &Step) -> bool {
        step.data_rack
            .as_ref()
            .is_some_and(|rack| !self.workers[key].info.labels.contains(rack))
    }

    /// Returns the workers that may run a stage now and for which `has_capacity` returns true.
    pub(crate) fn candidates(
        &self,
        ready: Ready,
        step: &Step,
        pool: &Pool,
        advised: bool,
        has_capacity: impl Fn(&Slot) -> bool,
        now: Millis,
    ) -> Vec<Candidate> {
        let stage = &self.jobs[ready.job].stages[ready.stage];
        let needed_until = now.after(TICKET_MARGIN);
        let may_use_quarantined =
            pool.has_quarantined && !self.has_trusted_worker(ready, step, pool, &[]);
        let has_capacity =
            |slot: &Slot| has_capacity(slot) && (!slot.quarantined || may_use_quarantined);
        let is_urgent = self
            .queue(&self.jobs[ready.job])
            .is_some_and(|queue| queue.priority == pool.urgent && !step.long_running);
        let candidate = |slot: &Slot| Candidate {
            key: slot.key,
            free: slot.free,
            remote_data: self.is_remote_from_data(slot.key, step),
            suspect: slot.suspect,
            slow: slot.slow,
            pace: preferred_pace(slot, step, is_urgent),
            interferes: interferes(slot, step),
            colocation: slot.colocation,
        };
        if !advised {
            let slots = pool.slots.iter();
            return slots
                .filter(|slot| has_capacity(slot) && self.has_label(slot.key, step))
                .map(candidate)
                .collect();
        }
        let slots = stage.verdicts.keys().filter_map(|key| pool.slot(key));
        slots
            .filter(|slot| has_capacity(slot))
            .filter(|slot| stage.ticket(slot.key, slot.boot, needed_until).is_some())
            .filter(|slot| self.has_label(slot.key, step))
            .map(candidate)
            .collect()
    }

    /// Returns whether a worker that is not in doubt may run a stage, now or once it has the
    /// capacity or a ticket. The workers in `failed` do not count.
    pub(crate) fn has_trusted_worker(
        &self,
        ready: Ready,
        step: &Step,
        pool: &Pool,
        failed: &[worker::Key],
    ) -> bool {
        let stage = &self.jobs[ready.job].stages[ready.stage];
        let demand = step.demand();
        pool.slots.iter().any(|slot| {
            slot.is_trusted()
                && demand.fits(&slot.capacity)
                && stage.verdicts.get(slot.key) != Some(&Verdict::Bad)
                && !failed.contains(&slot.key)
                && self.has_label(slot.key, step)
        })
    }

    /// Returns the number of current runs of a stage on each worker. Unlike
    /// [`Engine::tasks_by_worker`], this leaves out runs that were superseded, and does not visit
    /// the runs of all workers.
    pub(crate) fn stage_tasks_by_worker(&self, ready: Ready) -> HashMap<worker::Key, usize> {
        let mut counts = HashMap::new();
        let tasks = &self.jobs[ready.job].stages[ready.stage].tasks;
        for key in tasks.iter().filter_map(|task| task.worker) {
            *counts.entry(key).or_default() += 1;
        }
        counts
    }

    /// Returns the number of runs of a stage on each of `workers`.
    pub(crate) fn tasks_by_worker(
        &self,
        ready: Ready,
        workers: impl Iterator<Item = worker::Key>,
    ) -> BTreeMap<worker::Key, u32> {
        let mut counts = BTreeMap::new();
        // A run that was superseded by another still occupies its worker.
        for key in workers {
            let runs = self.workers[key].runs.values().filter(|run| {
                run.position.is_some_and(|position| {
                    position.job == ready.job && position.stage == ready.stage
                })
            });
            let count = runs.count() as u32;
            if count > 0 {
                counts.insert(key, count);
            }
        }
        counts
    }
}

/// Returns whether a worker with the tasks of `step` would run both serving and best-effort tasks.
pub(crate) fn interferes(slot: &Slot, step: &Step) -> bool {
    (step.best_effort && slot.serving) || (step.latency_target.is_some() && slot.best_effort)
}

/// Returns the preference for a worker by its pace; less is better.
///
/// Urgent work needs fast workers, and other work leaves them to it. Tasks with accelerators are
/// packed instead, since a task may need all of those of a worker.
pub(crate) fn preferred_pace(slot: &Slot, step: &Step, is_urgent: bool) -> i32 {
    if step.resources.accelerators > 0 {
        0
    } else if is_urgent {
        slot.pace
    } else {
        -slot.pace
    }
}

/// Returns how many tasks that need `demand` fit into `available`, at most 1,000,000.
pub(crate) fn fit_count(available: &Resources, demand: &Resources) -> usize {
    let count = |available: u64, demand: u64| available.checked_div(demand).unwrap_or(u64::MAX);
    count(available.cpu_millis, demand.cpu_millis)
        .min(count(available.memory_mib, demand.memory_mib))
        .min(count(available.accelerators, demand.accelerators))
        .min(1_000_000) as usize
}

/// Deducts the demand of a started task, under which `crashes` workers have crashed, from the pool
/// and from the candidates.
pub(crate) fn deduct(
    pool: &mut Pool,
    candidates: &mut [Candidate],
    key: worker::Key,
    demand: &Resources,
    crashes: usize,
) {
    pool.free = pool.free.minus(demand);
    let join = |colocation: &mut Colocation| {
        if crashes > 0 {
            colocation.add_suspect(crashes);
            colocation.suspect = true;
        }
        colocation.unproven = true;
        colocation.runs += 1;
    };
    if let Some(slot) = pool.slot_mut(key) {
        join(&mut slot.colocation);
        slot.free = slot.free.minus(demand);
        slot.unclaimed = slot.unclaimed.minus(demand);
        slot.reclaimable = slot.reclaimable.minus(demand);
        slot.expected_use = slot.expected_use.plus(demand);
    }
    for candidate in candidates
        .iter_mut()
        .filter(|candidate| candidate.key == key)
    {
        candidate.free = candidate.free.minus(demand);
        join(&mut candidate.colocation);
    }
}

/// Deducts what a stage will likely use of the workers in a request for advice, so that later
/// stages of the same pass request others. `is_urgent` says whether the stage may also use what
/// less urgent runs hold.
pub(crate) fn claim_capacity(
    pool: &mut Pool,
    requested: &[worker::Key],
    step: &Step,
    waiting: usize,
    approval_rate: f64,
    is_urgent: bool,
) {
    let demand = step.demand();
    let max_per_worker = step.max_per_worker.unwrap_or(u32::MAX) as usize;
    let mut remaining = (waiting as f64 / approval_rate).ceil() as usize;
    for key in requested {
        let Some(slot) = pool.slot_mut(*key) else {
            continue;
        };
        let room = fit_count(&slot.unclaimed, &demand);
        let reclaimable = if is_urgent {
            fit_count(&slot.reclaimable, &demand)
        } else {
            0
        };
        let tasks = room.max(reclaimable).min(max_per_worker).min(remaining);
        slot.unclaimed = slot.unclaimed.minus(&demand.times(tasks.min(room) as u64));
        if is_urgent {
            let tasks = tasks.min(reclaimable) as u64;
            slot.reclaimable = slot.reclaimable.minus(&demand.times(tasks));
        }
        remaining -= tasks;
        if remaining == 0 {
            return;
        }
    }
}
