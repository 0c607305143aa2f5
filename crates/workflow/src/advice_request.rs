//! Requests to the advice service and the handling of its replies.

use std::{
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
        claim_capacity, //
    },
    rank::{
        Band,
        Rank, //
    },
    schedule::Ready,
    stage::{
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
    pub(crate) ready: Ready,
    /// Number of tasks.
    pub(crate) waiting: usize,
    /// Name of the pool.
    pub(crate) pool: Name,
    pub(crate) is_urgent: bool,
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
    pub(crate) fn may_preempt(&self) -> bool {
        self.is_urgent && self.ready.is_pressed
    }
}

/// What the requests for advice of a pass will likely use.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    pub(crate) by_pool: HashMap<Name, Resources>,
    pub(crate) by_team: HashMap<Name, Resources>,
    /// Largest capacity of a worker in each dimension, by pool: unclaimed and reclaimable.
    pub(crate) largest: HashMap<Name, (Resources, Resources)>,
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

/// One of the rounds in which a pass gives calls to VMs.
#[derive(Debug)]
struct Round {
    access: Access,
    /// Whether stages wait that the rounds before left without a call, by kind.
    waiting: [bool; 2],
    /// Whether no VM is left, by kind. Calls are only added, so none becomes free within a round.
    is_full: [bool; 2],
}

impl Round {
    fn new(access: Access, waiting: &[&Want]) -> Self {
        let waits = |kind| waiting.iter().any(|want| want.kind == kind);
        Self {
            access,
            waiting: [waits(Kind::Short), waits(Kind::Long)],
            is_full: [false; 2],
        }
    }

    fn waits(&self, kind: Kind) -> bool {
        self.waiting[kind as usize]
    }
}

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
        let mut deferred = Vec::new();
        let mut least = Vec::new();
        let mut round = Round::new(Access::Part, &[]);
        for want in &wants {
            let stage = &self.jobs[want.ready.job].stages[want.ready.stage];
            let is_due = stage.next_request_at <= now;
            if !stage.pending_advice.is_empty() {
                self.claim(want, None, pools, &mut claims);
            } else if is_due && want.rank.band >= Band::OverQuota {
                least.push(want);
            } else if is_due {
                let attempt = self.try_request(want, &mut round, pools, &mut claims, now);
                if attempt == Attempt::NoRelay {
                    deferred.push(want);
                }
            }
        }
        let mut round = Round::new(Access::Spare, &deferred);
        deferred.retain(|want| {
            let attempt = self.try_request(want, &mut round, pools, &mut claims, now);
            attempt == Attempt::NoRelay
        });
        let mut round = Round::new(Access::Idle, &deferred);
        for want in least {
            let is_expired = want.rank.band == Band::Expired;
            let yields = round.waits(want.kind) || (is_expired && round.waits(want.kind.other()));
            if yields
                || self.try_request(want, &mut round, pools, &mut claims, now) == Attempt::NoRelay
            {
                round.waiting[want.kind as usize] |= !is_expired;
                deferred.push(want);
            }
        }
        for want in deferred {
            let stage = &mut self.jobs[want.ready.job].stages[want.ready.stage];
            stage.deferred_since.get_or_insert(now);
        }
    }

    /// Requests advice for a stage, if a VM may make the call and a reply would be of use now.
    fn try_request(
        &mut self,
        want: &Want,
        round: &mut Round,
        pools: &mut BTreeMap<Name, Pool>,
        claims: &mut Claims,
        now: Millis,
    ) -> Attempt {
        let kind = want.kind;
        let access = round.access;
        let other_waits = round.waits(kind.other());
        let is_full = &mut round.is_full[kind as usize];
        *is_full = *is_full || !self.relays.has_room(kind, access, other_waits, now);
        if *is_full {
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
