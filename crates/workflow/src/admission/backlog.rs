//! How long waiting work takes, and whether there is a shortage.
//!
//! The time that a stage waits is estimated as the work that precedes it by rank over the rate at
//! which it is worked off, for each resource that it needs: the pool, the advice service and the
//! link of the owner. A resource is short if work within the rates of teams would wait for it for a
//! large part of its slack. No number of jobs or workers is compared with a constant, so the same
//! rule holds for a cell of any size.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    active::{
        OBJECTIVE_ADVICE_WORKERS,
        objective, //
    },
    admission::{
        arrivals::Amount,
        outlook::{
            Outlook,
            Queue, //
        },
    },
    advice, budget,
    engine::Engine,
    job::Accepted,
    policy,
    pool::Pool,
    rank::{
        self,
        Band, //
    },
    reserve,
    schedule::{
        Ready,
        TICKET_MARGIN, //
    },
};

/// Part of a job's slack that waiting for one resource may use up. The rest is left for errors of
/// estimates and for the other resources.
const SLACK_FRACTION: f64 = 0.5;

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
struct PoolWork {
    /// What the waiting tasks need at once.
    demand: Resources,
    /// The same in thousandths of a resource times seconds.
    work: [f64; 3],
}

/// Waiting work up to some rank.
#[derive(Debug, Clone, Default)]
struct Work {
    pools: HashMap<Name, PoolWork>,
    /// Time of short and of long calls to the advice service, in seconds.
    advice: [f64; 2],
    /// Bytes of starts.
    start_bytes: f64,
}

/// A resource that can be short.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Resource {
    Pool(Name),
    /// Calls to the advice service, either long or short.
    Advice {
        long: bool,
    },
    OwnerLink,
}

/// The rates at which work is done.
struct Rates<'a> {
    pools: &'a BTreeMap<Name, Pool>,
    /// Resources of long-running tasks, by pool. They do not become free.
    long_running: HashMap<Name, Resources>,
    relays: usize,
    /// Part of the calls' time that short and long calls get.
    advice_parts: [f64; 2],
    link_bytes_per_second: f64,
}

/// A stage that waits, with what it needs.
struct Waiting {
    ready: Ready,
    queue: Name,
    count: u64,
    demand: Resources,
    estimate: Duration,
    long_running: bool,
    call: Option<Duration>,
    start_bytes: f64,
}

impl Work {
    fn add(&mut self, waiting: &Waiting, pool: &Name) {
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
    fn seconds(
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
    fn wait(
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

impl Engine {
    /// Returns the outlook to publish, or `None` while there is no shortage or the jobs have not
    /// been read. `relays` is the number of VMs through which calls to the advice service can go.
    pub fn outlook(&mut self, relays: usize, now: Millis) -> Option<Outlook> {
        self.loaded_at?;
        let queues = self.short_queues(relays, now);
        let published = !queues.is_empty();
        let teams = self.team_rates.teams(&self.policy.teams, published, now);
        published.then_some(Outlook {
            made_at: now,
            epoch: self.settings.epoch,
            teams,
            queues,
        })
    }

    /// Returns the queues for whose jobs something is short.
    fn short_queues(&self, relays: usize, now: Millis) -> BTreeMap<Name, Queue> {
        // What a new owner has inherited waits too. Until workers have reported its runs, their
        // capacity counts as free.
        let ready = self.ready_stages(true, now);
        if ready.is_empty() {
            return BTreeMap::new();
        }
        let pools = self.build_pools(now);
        let waiting = self.waiting_stages(&ready, &pools, now);
        let calls = waiting.iter().filter_map(|waiting| waiting.call);
        let mut call_seconds = [0.0; 2];
        for call in calls {
            call_seconds[usize::from(is_long(call))] += call.as_secs_f64();
        }
        let rates = Rates {
            pools: &pools,
            long_running: self.long_running_use(),
            relays: relays.max(1),
            advice_parts: advice_parts(call_seconds),
            link_bytes_per_second: self.settings.budget.link_bytes_per_second as f64,
        };
        let mut work = Work::default();
        // The work up to the end of each band and priority, in order.
        let mut prefixes: Vec<((Band, u32), Work)> = Vec::new();
        let mut short: BTreeSet<Resource> = BTreeSet::new();
        let mut counts: HashMap<Name, u32> = HashMap::new();
        let (mut last_job, mut last_place) = (None, None);
        for stage in &waiting {
            let Some(queue) = self.policy.queues.get(&stage.queue) else {
                continue;
            };
            let place = (stage.ready.rank.band, stage.ready.rank.priority);
            if last_place != Some(place) {
                prefixes.extend(last_place.map(|last| (last, work.clone())));
                last_place = Some(place);
            }
            if last_job != Some(stage.ready.job) {
                last_job = Some(stage.ready.job);
                *counts.entry(stage.queue.clone()).or_default() += 1;
            }
            let is_within_rate = place.0 <= Band::Late && !stage.long_running;
            if is_within_rate {
                let limit = self.slack(stage).as_secs_f64() * SLACK_FRACTION;
                let is_urgent = queue.priority == pools[&queue.pool].urgent;
                let seconds = work.seconds(queue, is_urgent, &Amount::default(), &rates);
                let exceeding = seconds.into_iter().filter(|(_, seconds)| *seconds > limit);
                short.extend(exceeding.map(|(resource, _)| resource));
            }
            work.add(stage, &queue.pool);
        }
        prefixes.extend(last_place.map(|last| (last, work)));
        let mut queues = BTreeMap::new();
        for queue in self.policy.queues.values() {
            let Some(pool) = pools.get(&queue.pool) else {
                continue;
            };
            let is_urgent = queue.priority == pool.urgent;
            let wait = |band: Band| {
                let place = (band, queue.priority);
                let prefix = prefixes.iter().rev().find(|(last, _)| *last <= place);
                let beside = if band <= Band::OnTime {
                    Amount::default()
                } else {
                    self.arrivals.per_second(&queue.pool, now)
                };
                prefix.map_or(Duration::ZERO, |(_, work)| {
                    work.wait(queue, is_urgent, &beside, &rates)
                })
            };
            let needs = |resource: &Resource| match resource {
                Resource::Pool(name) => *name == queue.pool,
                Resource::Advice { long } => {
                    call_time(queue).is_some_and(|call| is_long(call) == *long)
                }
                Resource::OwnerLink => true,
            };
            let outlook = Queue {
                contended: short.iter().any(needs),
                on_time: wait(Band::OnTime),
                late: wait(Band::Late),
                excess: wait(Band::OverQuota),
                waiting: counts.get(&queue.name).copied().unwrap_or(0),
            };
            // A shorter wait makes no job late beyond use, since objectives include the slack.
            if outlook.contended || outlook.excess > queue.slack * rank::LATE_FACTOR {
                queues.insert(queue.name.clone(), outlook);
            }
        }
        queues
    }

    /// Returns what waits for capacity, advice or the owner, in the order of ranks.
    ///
    /// Work that waits for something else says nothing about a shortage and is left out: tasks
    /// beyond the cap of their team, tasks that no worker of the pool can run, and work that is
    /// worth nothing any more.
    fn waiting_stages(
        &self,
        ready: &[Ready],
        pools: &BTreeMap<Name, Pool>,
        now: Millis,
    ) -> Vec<Waiting> {
        let mut used = self.team_usage.clone();
        let mut stages = Vec::new();
        for ready in ready {
            let job = &self.jobs[ready.job];
            let stage = &job.stages[ready.stage];
            let step = &job.accepted.spec.steps[stage.step];
            let Some(queue) = self.queue(job).filter(|_| ready.rank.band < Band::Expired) else {
                continue;
            };
            let Some(pool) = pools.get(&queue.pool) else {
                continue;
            };
            let demand = step.demand();
            let can_run = pool
                .slots
                .iter()
                .any(|slot| demand.fits(&slot.capacity) && self.has_label(slot.key, step));
            if !can_run {
                continue;
            }
            let mut count = stage.waiting_count() as u64;
            let team = job.accepted.team.as_ref();
            if let Some(team) = team.and_then(|name| self.policy.teams.get(name)) {
                let used = used.entry(team.name.clone()).or_default();
                let may_use_reserve = queue.priority == pool.urgent || step.long_running;
                count = allowed_count(team, used, &step.resources, may_use_reserve, count);
                *used = used.plus(&step.resources.times(count));
            }
            if count == 0 {
                continue;
            }
            let needed_until = now.after(TICKET_MARGIN);
            let has_ticket = || {
                let mut slots = stage.verdicts.keys().filter_map(|key| pool.slot(key));
                slots.any(|slot| stage.ticket(slot.key, slot.boot, needed_until).is_some())
            };
            let call = call_time(queue).filter(|_| !has_ticket());
            let start_bytes = budget::start_bytes(job.accepted.spec.payload.len());
            stages.push(Waiting {
                ready: *ready,
                queue: queue.name.clone(),
                count,
                demand,
                estimate: step.estimate,
                long_running: step.long_running,
                call,
                start_bytes: start_bytes as f64 * count as f64,
            });
        }
        stages
    }

    /// Counts a job within the rate of its team as arriving work.
    pub(crate) fn record_arrival(&mut self, accepted: &Accepted) {
        let Some(queue) = self.policy.queues.get(&accepted.queue) else {
            return;
        };
        let spec = &accepted.spec;
        // A scheduled job arrives with each of its occurrences, long before which nothing waits.
        if spec.schedule.is_some() {
            return;
        }
        let mut amount = Amount::default();
        for step in spec.steps.iter().filter(|step| !step.long_running) {
            let seconds = step.estimate.as_secs_f64() * f64::from(step.count);
            for (sum, demand) in amount.resources.iter_mut().zip(amounts(&step.demand())) {
                *sum += demand * seconds;
            }
            if let Some(call) = call_time(queue) {
                amount.advice[usize::from(is_long(call))] += call.as_secs_f64();
            }
        }
        self.arrivals
            .record(&queue.pool, &amount, accepted.accepted_at);
    }

    /// Returns the time by which the job of a stage may exceed its critical path and be on time.
    fn slack(&self, stage: &Waiting) -> Duration {
        let job = &self.jobs[stage.ready.job];
        let Some(queue) = self.queue(job) else {
            return Duration::MAX;
        };
        let path = job.accepted.spec.critical_path(Duration::ZERO);
        objective(queue, &job.accepted).saturating_sub(path)
    }

    /// Returns the resources of long-running tasks by pool.
    fn long_running_use(&self) -> HashMap<Name, Resources> {
        let mut used: HashMap<Name, Resources> = HashMap::new();
        for worker in self.workers.values() {
            let of_pool = used.entry(worker.info.pool.clone()).or_default();
            for run in worker.runs.values() {
                let is_long_running = run.position.is_some_and(|position| {
                    self.jobs.get(position.job).is_some_and(|job| {
                        let step = job.stages[position.stage].step;
                        job.accepted.spec.steps[step].long_running
                    })
                });
                if is_long_running {
                    *of_pool = of_pool.plus(&run.demand);
                }
            }
        }
        used
    }
}

impl Pool {
    /// Returns the capacity that the most urgent work could use if it preempted all that it may.
    fn reclaimable(&self) -> Resources {
        let slots = self.slots.iter().filter(|slot| !slot.quarantined);
        slots.fold(Resources::default(), |sum, slot| {
            sum.plus(&slot.reclaimable)
        })
    }
}

/// Returns how many of `count` tasks that need `resources` each the cap of a team allows.
fn allowed_count(
    team: &policy::Team,
    used: &Resources,
    resources: &Resources,
    urgent: bool,
    count: u64,
) -> u64 {
    let allows = |count: u64| team.allows(&used.plus(&resources.times(count)), urgent);
    if allows(count) {
        return count;
    }
    let (mut allowed, mut refused) = (0, count);
    while refused - allowed > 1 {
        let middle = allowed + (refused - allowed) / 2;
        if allows(middle) {
            allowed = middle;
        } else {
            refused = middle;
        }
    }
    allowed
}

/// Returns the expected time of one call for advice about a step of the queue.
fn call_time(queue: &policy::Queue) -> Option<Duration> {
    queue
        .advice
        .map(|advice| advice.cost(OBJECTIVE_ADVICE_WORKERS))
}

fn is_long(call: Duration) -> bool {
    call >= advice::LONG_CALL
}

/// Returns the parts of the advice service that short and long calls get: what they ask for, and
/// neither less than [`MIN_ADVICE_PART`] beside calls of the other kind.
fn advice_parts(seconds: [f64; 2]) -> [f64; 2] {
    let [short, long] = seconds;
    if short == 0.0 || long == 0.0 {
        return [1.0; 2];
    }
    let part = (short / (short + long)).clamp(MIN_ADVICE_PART, 1.0 - MIN_ADVICE_PART);
    [part, 1.0 - part]
}

fn amounts(resources: &Resources) -> [f64; 3] {
    [
        resources.cpu_millis as f64,
        resources.memory_mib as f64,
        resources.accelerators as f64,
    ]
}
