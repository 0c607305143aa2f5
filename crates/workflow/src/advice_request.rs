//! Requests to the advice service and the handling of its replies.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
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
    active::OBJECTIVE_ADVICE_WORKERS,
    advice::{
        self,
        Access,
        Kind, //
    },
    engine::Engine,
    job::TaskId,
    order::{
        AdviceRequest,
        Order,
        Start, //
    },
    policy::AdviceSettings,
    pool::{
        Pool,
        Slot,
        claim_capacity,
        fit_count, //
    },
    rank::{
        Band,
        Rank, //
    },
    reserve,
    retry,
    schedule::{
        Ready,
        TICKET_MARGIN, //
    },
    stage::{
        Stage,
        Ticket,
        Verdict, //
    },
    worker, //
};

/// Delay before the next request after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay before workers are scanned again for a request. Capacity is freed every few milliseconds,
/// and each scan visits all workers for each waiting stage.
const RESCAN_DELAY: Duration = Duration::from_millis(25);

/// Approval of one worker by the advice service.
#[derive(Debug, Clone, PartialEq)]
pub struct Approval {
    /// Name of the worker.
    pub worker: Name,
    /// Token that the worker has to be shown.
    pub ticket: Name,
}

/// Reply of the advice service.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceReply {
    /// Workers that may run the step.
    pub approved: Vec<Approval>,
    /// Time for which the tickets are valid.
    pub ticket_lifetime: Duration,
}

/// A stage whose tasks wait for advice.
#[derive(Debug)]
pub(crate) struct Want {
    ready: Ready,
    /// Number of tasks.
    waiting: usize,
    /// Name of the pool.
    pool: Name,
    is_urgent: bool,
    rank: Rank,
    settings: AdviceSettings,
    kind: Kind,
}

impl Want {
    /// Returns what a stage wants, or `None` if its queue needs no advice.
    pub(crate) fn new(
        engine: &Engine,
        ready: Ready,
        waiting: usize,
        pool: Name,
        is_urgent: bool,
    ) -> Option<Self> {
        let job = &engine.jobs[ready.job];
        let settings = engine.queue(job)?.advice?;
        let step = &job.accepted.spec.steps[job.stages[ready.stage].step];
        Some(Self {
            ready,
            waiting,
            pool,
            is_urgent,
            rank: if step.long_running {
                ready.rank.promoted()
            } else {
                ready.rank
            },
            settings,
            kind: Kind::of(settings.cost(OBJECTIVE_ADVICE_WORKERS)),
        })
    }

    /// Returns whether the stage may preempt less urgent runs.
    fn may_preempt(&self) -> bool {
        self.is_urgent && self.ready.rank.band <= Band::OnTime
    }
}

/// What the requests for advice of a pass will likely use.
#[derive(Debug, Default)]
struct Claims {
    by_pool: HashMap<Name, Resources>,
    by_team: HashMap<Name, Resources>,
    /// Largest capacity of a worker in each dimension, by pool: unclaimed and reclaimable.
    largest: HashMap<Name, (Resources, Resources)>,
}

/// Outcome of an attempt to request advice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    Requested,
    /// No worker or team has capacity that a reply could make use of.
    NoCapacity,
    /// No VM may make the call now.
    NoRelay,
}

/// Kinds of calls that found no VM, and those for which some stage still waits.
type PerKind = [bool; 2];

impl Engine {
    /// Requests advice for the stages that can use it now, in the order of their ranks and as far
    /// as VMs are free to make the calls.
    ///
    /// Each kind of call first gets its own part of the VMs, and then what the other leaves over.
    /// Work that is worth little or nothing is asked for last.
    pub(crate) fn request_advice(
        &mut self,
        mut wants: Vec<Want>,
        pools: &mut BTreeMap<Name, Pool>,
        now: Millis,
    ) {
        wants.sort_by_key(|want| (want.rank, want.ready.job, want.ready.stage));
        let mut claims = Claims::default();
        let mut due = Vec::new();
        for want in &wants {
            let stage = &self.jobs[want.ready.job].stages[want.ready.stage];
            if stage.pending_advice.is_empty() && stage.next_request_at <= now {
                due.push(want);
            }
        }
        let total = |kind: Kind| {
            let of_kind = due.iter().filter(|want| want.kind == kind);
            of_kind
                .map(|want| want.settings.cost(OBJECTIVE_ADVICE_WORKERS))
                .sum()
        };
        self.relays
            .begin_pass(total(Kind::Short), total(Kind::Long), now);
        let mut is_full = PerKind::default();
        let mut deferred = Vec::new();
        let mut least = Vec::new();
        for want in &wants {
            let stage = &self.jobs[want.ready.job].stages[want.ready.stage];
            let is_due = stage.next_request_at <= now;
            if !stage.pending_advice.is_empty() {
                self.claim(want, None, pools, &mut claims);
            } else if is_due && want.rank.band >= Band::OverQuota {
                least.push(want);
            } else if is_due {
                let attempt = self.try_request(
                    want,
                    Access::Part,
                    &mut is_full,
                    false,
                    pools,
                    &mut claims,
                    now,
                );
                if attempt == Attempt::NoRelay {
                    deferred.push(want);
                }
            }
        }
        let waits = |wants: &[&Want]| {
            let waits = |kind| wants.iter().any(|want| want.kind == kind);
            [waits(Kind::Short), waits(Kind::Long)]
        };
        let waiting = waits(&deferred);
        let mut is_full = PerKind::default();
        deferred.retain(|want| {
            let other_waits = waiting[want.kind.other() as usize];
            let attempt = self.try_request(
                want,
                Access::Spare,
                &mut is_full,
                other_waits,
                pools,
                &mut claims,
                now,
            );
            attempt == Attempt::NoRelay
        });
        let waiting = waits(&deferred);
        let mut is_full = PerKind::default();
        for want in least {
            let other_waits = waiting[want.kind.other() as usize];
            let yields =
                waiting[want.kind as usize] || (want.rank.band == Band::Expired && other_waits);
            let attempt = if yields {
                Attempt::NoRelay
            } else {
                self.try_request(
                    want,
                    Access::Idle,
                    &mut is_full,
                    other_waits,
                    pools,
                    &mut claims,
                    now,
                )
            };
            if attempt == Attempt::NoRelay {
                deferred.push(want);
            }
        }
        for want in deferred {
            let stage = &mut self.jobs[want.ready.job].stages[want.ready.stage];
            stage.deferred_since.get_or_insert(now);
        }
    }

    /// Requests advice for a stage, if a VM may make the call and a reply would be of use now.
    #[expect(clippy::too_many_arguments, reason = "the state of one pass")]
    fn try_request(
        &mut self,
        want: &Want,
        access: Access,
        is_full: &mut PerKind,
        other_waits: bool,
        pools: &mut BTreeMap<Name, Pool>,
        claims: &mut Claims,
        now: Millis,
    ) -> Attempt {
        let kind = want.kind;
        is_full[kind as usize] |= !self.relays.has_room(kind, access, other_waits, now);
        if is_full[kind as usize] {
            return Attempt::NoRelay;
        }
        let workers = pools
            .get(&want.pool)
            .and_then(|pool| self.workers_to_name(want, pool, claims, now));
        let Some(workers) = workers else {
            let stage = &mut self.jobs[want.ready.job].stages[want.ready.stage];
            stage.next_request_at = now.after(RESCAN_DELAY);
            return Attempt::NoCapacity;
        };
        let cost = want.settings.cost(workers.len());
        let Some(assignment) = self.relays.assign(cost, kind, access, other_waits, now) else {
            return Attempt::NoRelay;
        };
        self.claim(want, Some(&workers), pools, claims);
        let names = workers
            .iter()
            .map(|key| self.workers[*key].info.name.clone())
            .collect();
        let job = &mut self.jobs[want.ready.job];
        let stage = &mut job.stages[want.ready.stage];
        stage.pending_advice = workers;
        let deferred_since = stage.deferred_since.take();
        self.orders.push(Order::RequestAdvice(AdviceRequest {
            job: job.id.clone(),
            occurrence: stage.occurrence,
            step: stage.step as u32,
            workers: names,
            advice: want.settings,
            rank: want.rank,
            assignment,
            repeated: std::mem::replace(&mut stage.advised, true),
            deferred: deferred_since.map_or(Duration::ZERO, |since| now.since(since)),
        }));
        Attempt::Requested
    }

    /// Records what a stage will likely use once its request, which names `workers` or is pending,
    /// is answered.
    fn claim(
        &self,
        want: &Want,
        workers: Option<&[worker::Key]>,
        pools: &mut BTreeMap<Name, Pool>,
        claims: &mut Claims,
    ) {
        let job = &self.jobs[want.ready.job];
        let stage = &job.stages[want.ready.stage];
        let step = &job.accepted.spec.steps[stage.step];
        if let Some(pool) = pools.get_mut(&want.pool) {
            claim_capacity(
                pool,
                workers.unwrap_or(&stage.pending_advice),
                step,
                want.waiting,
                self.approvals_of(&job.accepted.queue).rate(),
                want.may_preempt(),
            );
        }
        let used = claims.by_pool.entry(want.pool.clone()).or_default();
        *used = used.plus(&step.demand().times(want.waiting as u64));
        if let Some(team) = &job.accepted.team {
            let used = claims.by_team.entry(team.clone()).or_default();
            *used = used.plus(&step.resources.times(want.waiting as u64));
        }
    }

    fn approvals_of(&self, queue: &Name) -> advice::Approvals {
        self.approvals.get(queue).copied().unwrap_or_default()
    }

    /// Returns the workers that a request names, or `None` if its reply would be of no use now.
    fn workers_to_name(
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
        let mut candidates: Vec<(bool, usize, usize, worker::Key)> = slots
            .map(|slot| {
                (
                    !stage.verdicts.contains_key(slot.key),
                    fitting(slot, &slot.unclaimed),
                    fitting_tasks(slot),
                    slot.key,
                )
            })
            .collect();
        let known = candidates.iter().filter(|candidate| !candidate.0);
        if known.map(|candidate| candidate.2).sum::<usize>() >= waiting {
            candidates.retain(|candidate| !candidate.0 && candidate.2 > 0);
        }
        // Workers that were approved before come first, then those with the most free capacity. A
        // worker without free capacity may get some while its ticket is valid.
        candidates.sort_by_key(|(unknown, free, fitting, key)| {
            (*unknown, Reverse(*free), Reverse(*fitting), *key)
        });
        let approvals = self.approvals_of(&job.accepted.queue);
        let workers = candidates
            .iter()
            .map(|(unknown, _, fitting, _)| (!unknown, *fitting));
        let needed = advice::sufficient_count(workers, waiting, approvals.rate());
        // More names leave more choice, but take time that other calls need under load.
        let count = if approvals.is_known() && self.relays.is_short() {
            needed
        } else {
            needed.max(OBJECTIVE_ADVICE_WORKERS)
        };
        candidates.truncate(count.min(advice::MAX_WORKERS));
        Some(candidates.iter().map(|candidate| candidate.3).collect())
    }

    /// Returns whether the ticket of a start that has waited to be sent is still valid. If not, the
    /// worker would refuse it.
    pub fn is_ticket_valid(&self, start: &Start, now: Millis) -> bool {
        let Some(token) = &start.ticket else {
            return true;
        };
        let (Some(position), Some(worker)) = (
            self.position(&start.task),
            self.workers.get(start.target.key),
        ) else {
            return false;
        };
        let stage = &self.jobs[position.job].stages[position.stage];
        let ticket = stage.ticket(start.target.key, worker.info.boot, now);
        ticket.is_some_and(|ticket| ticket.token == *token)
    }

    /// Handles a reply of the advice service; `None` stands for a failed call.
    pub fn handle_advice(
        &mut self,
        request: &AdviceRequest,
        reply: Option<&AdviceReply>,
        now: Millis,
    ) {
        self.relays
            .finish(request.assignment.call, reply.is_some(), now);
        let task = TaskId {
            job: request.job.clone(),
            occurrence: request.occurrence,
            step: request.step,
            index: 0,
        };
        let Some(position) = self.position(&task) else {
            return;
        };
        let job = &mut self.jobs[position.job];
        let stage = &mut job.stages[position.stage];
        let requested = std::mem::take(&mut stage.pending_advice);
        let Some(reply) = reply else {
            stage.next_request_at = now.after(RETRY_DELAY);
            return;
        };
        stage.tickets_until = stage.tickets_until.max(now.after(reply.ticket_lifetime));
        let mut newly_approved = 0;
        let mut newly_requested = 0;
        for key in &requested {
            let Some(worker) = self.workers.get(*key) else {
                continue;
            };
            let name = &worker.info.name;
            let approval = reply
                .approved
                .iter()
                .find(|approval| approval.worker == *name);
            // A verdict does not change, so only the first one tells how many are approved.
            if !stage.verdicts.contains_key(*key) {
                newly_requested += 1;
                newly_approved += usize::from(approval.is_some());
            }
            match approval {
                Some(approval) => {
                    let ticket = Ticket {
                        token: approval.ticket.clone(),
                        boot: worker.info.boot,
                        valid_until: now.after(reply.ticket_lifetime),
                    };
                    stage.verdicts.insert(*key, Verdict::Good(ticket));
                }
                None => {
                    stage.verdicts.insert(*key, Verdict::Bad);
                }
            }
        }
        let queue = job.accepted.queue.clone();
        self.approvals
            .entry(queue)
            .or_default()
            .record(newly_approved, newly_requested);
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
