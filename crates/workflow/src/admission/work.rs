//! Waiting work, and the time in which it is worked off.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::Name,
    unit::Resources, //
};

use crate::{
    active::OBJECTIVE_ADVICE_WORKERS,
    admission::arrivals::Amount,
    advice,
    policy,
    pool::Pool,
    reserve,
    schedule::Ready, //
};

/// Part of a resource that is assumed to be left for late work and work in excess of a rate. Work on
/// time takes all of it only for a short time.
const MIN_LEFT_FRACTION: f64 = 0.05;

/// Longest wait that is published.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Smallest part of the advice service that short or long calls get while there are calls of the
/// other kind.
const MIN_ADVICE_PART: f64 = 0.25;

/// Waiting work of one pool.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PoolWork {
    /// What the waiting tasks need at once.
    demand: Resources,
    /// The same in thousandths of a resource times seconds.
    work: [f64; 3],
}

/// Waiting work up to some rank.
#[derive(Debug, Clone, Default)]
pub(super) struct Work {
    pools: HashMap<Name, PoolWork>,
    /// Time of short and of long calls to the advice service, in seconds.
    advice: [f64; 2],
    /// Bytes of starts.
    start_bytes: f64,
}

/// A resource that can be short.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Resource {
    Pool(Name),
    /// Calls to the advice service, either long or short.
    Advice {
        long: bool,
    },
    OwnerLink,
}

/// The rates at which work is done.
pub(super) struct Rates<'a> {
    pub(super) pools: &'a BTreeMap<Name, Pool>,
    /// Resources of long-running tasks, by pool. They do not become free.
    pub(super) long_running: HashMap<Name, Resources>,
    pub(super) relays: usize,
    /// Part of the calls' time that short and long calls get.
    pub(super) advice_parts: [f64; 2],
    pub(super) link_bytes_per_second: f64,
}

/// A stage that waits, with what it needs.
pub(super) struct Waiting {
    pub(super) ready: Ready,
    pub(super) queue: Name,
    pub(super) count: u64,
    pub(super) demand: Resources,
    pub(super) estimate: Duration,
    pub(super) long_running: bool,
    pub(super) call: Option<Duration>,
    pub(super) start_bytes: f64,
    /// Time for which its first task has waited for capacity or advice alone.
    pub(super) waited: Duration,
}

impl Work {
    /// Adds a stage that waits for `pool`.
    pub(super) fn add(&mut self, waiting: &Waiting, pool: &Name) {
        let of_pool = self.pools.entry(pool.clone()).or_default();
        let total = waiting.demand.times(waiting.count);
        of_pool.demand = of_pool.demand.plus(&total);
        if !waiting.long_running {
            let seconds = waiting.estimate.as_secs_f64();
            for (work, amount) in of_pool.work.iter_mut().zip(amounts(&total)) {
                *work += amount * seconds;
            }
        }
        if let Some(call) = waiting.call {
            self.advice[usize::from(is_long(call))] += call.as_secs_f64();
        }
        self.start_bytes += waiting.start_bytes;
    }

    /// Returns the seconds until the work of a pool is worked off, beside the work `beside` that
    /// arrives in a second and precedes it.
    fn pool_seconds(
        &self,
        name: &Name,
        is_urgent: bool,
        beside: &Amount,
        rates: &Rates<'_>,
    ) -> f64 {
        let (Some(work), Some(pool)) = (self.pools.get(name), rates.pools.get(name)) else {
            return 0.0;
        };
        let long_running = rates.long_running.get(name).copied().unwrap_or_default();
        let total = pool.capacity.minus(&long_running);
        let (total, free) = if is_urgent {
            (total, pool.reclaimable())
        } else {
            let reserved = Resources {
                memory_mib: 0,
                ..pool
                    .capacity
                    .minus(&reserve::unreserved_part(&pool.capacity))
            };
            (total.minus(&reserved), pool.free.minus(&reserved))
        };
        let demand = amounts(&work.demand);
        let (total, free) = (amounts(&total), amounts(&free));
        let mut longest: f64 = 0.0;
        for index in 0..demand.len() {
            // What fits into the free capacity does not wait.
            let missing = (demand[index] - free[index]).max(0.0);
            if missing > 0.0 {
                let seconds = work.work[index] * missing / demand[index];
                let left = total[index] - beside.resources[index];
                let least = (total[index] * MIN_LEFT_FRACTION).max(1.0);
                longest = longest.max(seconds / left.max(least));
            }
        }
        longest
    }

    fn advice_seconds(&self, long: bool, beside: &Amount, rates: &Rates<'_>) -> f64 {
        let kind = usize::from(long);
        let total = rates.relays as f64 * rates.advice_parts[kind];
        let left = total - beside.advice[kind];
        self.advice[kind] / left.max(total * MIN_LEFT_FRACTION)
    }

    fn link_seconds(&self, rates: &Rates<'_>) -> f64 {
        if rates.link_bytes_per_second == 0.0 {
            return 0.0;
        }
        self.start_bytes / rates.link_bytes_per_second
    }

    /// Returns the seconds until work of a queue that comes after this work can start, for each
    /// resource that it needs.
    pub(super) fn seconds(
        &self,
        queue: &policy::Queue,
        is_urgent: bool,
        beside: &Amount,
        rates: &Rates<'_>,
    ) -> Vec<(Resource, f64)> {
        let mut seconds = vec![
            (
                Resource::Pool(queue.pool.clone()),
                self.pool_seconds(&queue.pool, is_urgent, beside, rates),
            ),
            (Resource::OwnerLink, self.link_seconds(rates)),
        ];
        if let Some(call) = call_time(queue) {
            let long = is_long(call);
            seconds.push((
                Resource::Advice { long },
                self.advice_seconds(long, beside, rates),
            ));
        }
        seconds
    }

    /// Returns the longest of these times.
    pub(super) fn wait(
        &self,
        queue: &policy::Queue,
        is_urgent: bool,
        beside: &Amount,
        rates: &Rates<'_>,
    ) -> Duration {
        let seconds = self.seconds(queue, is_urgent, beside, rates);
        let longest = seconds
            .into_iter()
            .map(|(_, seconds)| seconds)
            .fold(0.0, f64::max);
        Duration::try_from_secs_f64(longest)
            .unwrap_or(MAX_WAIT)
            .min(MAX_WAIT)
    }
}

impl Pool {
    /// Returns the capacity that the most urgent work could use if it preempted all that it may.
    pub(super) fn reclaimable(&self) -> Resources {
        let slots = self.slots.iter().filter(|slot| !slot.quarantined);
        slots.fold(Resources::default(), |sum, slot| {
            sum.plus(&slot.reclaimable)
        })
    }
}

/// Returns the expected time of one call for advice about a step of the queue.
pub(super) fn call_time(queue: &policy::Queue) -> Option<Duration> {
    queue
        .advice
        .map(|advice| advice.cost(OBJECTIVE_ADVICE_WORKERS))
}

pub(super) fn is_long(call: Duration) -> bool {
    call >= advice::LONG_CALL
}

/// Returns the parts of the advice service that short and long calls get: what they ask for, and
/// neither less than [`MIN_ADVICE_PART`] beside calls of the other kind.
pub(super) fn advice_parts(seconds: [f64; 2]) -> [f64; 2] {
    let [short, long] = seconds;
    if short == 0.0 || long == 0.0 {
        return [1.0; 2];
    }
    let part = (short / (short + long)).clamp(MIN_ADVICE_PART, 1.0 - MIN_ADVICE_PART);
    [part, 1.0 - part]
}

pub(super) fn amounts(resources: &Resources) -> [f64; 3] {
    [
        resources.cpu_millis as f64,
        resources.memory_mib as f64,
        resources.accelerators as f64,
    ]
}
