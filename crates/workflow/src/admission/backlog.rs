//! Whether there is a shortage, and how long new jobs would wait.
//!
//! The time that a stage waits is estimated as the work that precedes it by rank over the rate at
//! which it is worked off, for each resource that it needs: the pool, the advice service and the
//! link of the owner. A resource is short if work within the rates of teams waits for it for a
//! large part of its slack, or would by that estimate. No number of jobs or workers is compared
//! with a constant, so the same rule holds for a cell of any size.

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
    active::objective,
    admission::{
        arrivals::Amount,
        outlook::{
            Outlook,
            Queue, //
        },
        work::{
            Rates,
            Resource,
            Waiting,
            Work,
            advice_parts,
            amounts,
            call_time,
            is_long, //
        },
    },
    budget,
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
    stage::{
        Stage,
        Verdict, //
    },
    worker::JobKey,
};

/// Part of a job's slack that waiting for one resource may use up. The rest is left for errors of
/// estimates and for the other resources.
pub const SLACK_FRACTION: f64 = 0.5;

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
        // Stages of one job have the same slack, which takes a visit of all its steps.
        let mut slacks: HashMap<JobKey, Duration> = HashMap::new();
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
                let slack = slacks.entry(stage.ready.job);
                let slack = *slack.or_insert_with(|| self.slack(stage));
                let limit = slack.as_secs_f64() * SLACK_FRACTION;
                if stage.waited.as_secs_f64() > limit {
                    short.extend(self.awaited(stage, queue, &pools[&queue.pool]));
                }
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
        let mut used: HashMap<Name, Resources> = HashMap::new();
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
                let used = used
                    .entry(team.name.clone())
                    .or_insert_with(|| self.team_use(&team.name));
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
                waited: if job.inherited && !self.is_settled() {
                    Duration::ZERO
                } else {
                    waited(stage, now)
                },
            });
        }
        stages
    }

    /// Returns what a stage that has waited for long waits for, unless free capacity is only in
    /// pieces that are too small or on workers that advice rules out.
    ///
    /// Estimates of run times are off by several times in some queues, so the time that the work
    /// ahead of a stage needs does not tell all.
    fn awaited(&self, waiting: &Waiting, queue: &policy::Queue, pool: &Pool) -> Option<Resource> {
        let demand = &waiting.demand;
        let is_full = if queue.priority == pool.urgent {
            !demand.fits(&pool.reclaimable())
        } else {
            !reserve::admits(&pool.free, &pool.capacity, demand)
        };
        if is_full {
            return Some(Resource::Pool(queue.pool.clone()));
        }
        let call = waiting.call?;
        let stage = &self.jobs[waiting.ready.job].stages[waiting.ready.stage];
        let may_be_advised = pool.slots.iter().any(|slot| {
            demand.fits(&slot.free) && stage.verdicts.get(slot.key) != Some(&Verdict::Bad)
        });
        may_be_advised.then_some(Resource::Advice {
            long: is_long(call),
        })
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
        for (key, worker) in &self.workers {
            let of_pool = used.entry(worker.info.pool.clone()).or_default();
            *of_pool = of_pool.plus(&self.summary(key).long_running);
        }
        used
    }
}

/// Returns the time for which the first task of a stage has waited for capacity or advice alone. A
/// task that has failed, or crashed a worker, also waits for a worker that it may be retried on.
fn waited(stage: &Stage, now: Millis) -> Duration {
    let waiting = stage.tasks.iter().filter(|task| task.is_waiting());
    let undisturbed =
        waiting.filter(|task| !task.history.is_suspect() && task.failed_workers.is_empty());
    let since = undisturbed.map(|task| task.waiting_since).min();
    since.map_or(Duration::ZERO, |since| now.since(since))
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
