//! Sends advice requests to the advice service through all VMs.
//!
//! The service serves one call at a time per calling VM, so the owner spreads its requests.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    error::Result,
    id::Name,
    unit::Millis, //
};
use basilbridge_peers::{
    Advice,
    Permit, //
};
use basilbridge_workflow::{
    advice::{
        self,
        Load, //
    },
    advice_request::{
        AdviceReply,
        Approval, //
    },
    order::AdviceRequest,
    policy,
    rank::Rank,
};

use crate::{
    node::Node,
    owner::Owner, //
};

/// The time that a call may take beyond its own cost and that of the calls queued before it.
const CALL_MARGIN: Duration = Duration::from_millis(600);

/// How long a VM gets no requests after a call through it failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1500);

/// How long after a short request more short ones are expected.
const SHORT_CALL_WINDOW: Duration = Duration::from_secs(1);

fn is_long(request: &AdviceRequest) -> bool {
    request.cost() >= advice::LONG_CALL
}

#[derive(Debug, Default)]
struct Inner {
    waiting: Vec<AdviceRequest>,
    loads: HashMap<Name, Load>,
    backing_off_until: HashMap<Name, Millis>,
    /// When a short request was last waiting.
    last_short: Option<Millis>,
}

/// The queue of advice requests and the load of each VM.
pub(crate) struct AdviceDispatcher {
    own_name: Name,
    inner: Mutex<Inner>,
}

impl AdviceDispatcher {
    pub(crate) fn new(node: &Node) -> Self {
        Self {
            own_name: node.config.name.clone(),
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A VM through which requests are sent. An address of `None` stands for this VM.
#[derive(Debug, Clone)]
struct Relay {
    name: Name,
    address: Option<SocketAddr>,
}

impl Owner {
    /// Queues an advice request and sends it as soon as a VM has capacity for it.
    pub(crate) fn request_advice(self: Arc<Self>, request: AdviceRequest) {
        self.advisor.lock().waiting.push(request);
        self.send_requests();
    }

    fn send_requests(self: &Arc<Self>) {
        let now = self.now();
        let relays = self.relays(now);
        let mut inner = self.advisor.lock();
        inner.waiting.sort_by_key(|request| request.rank);
        let waiting = std::mem::take(&mut inner.waiting);
        if waiting.iter().any(|request| !is_long(request)) {
            inner.last_short = Some(now);
        }
        let keep_free_for_short = inner
            .last_short
            .is_some_and(|last| now.since(last) < SHORT_CALL_WINDOW);
        for request in waiting {
            let loads: Vec<Load> = relays
                .iter()
                .map(|relay| inner.loads.get(&relay.name).copied().unwrap_or_default())
                .collect();
            let cost = request.cost();
            let Some(index) = advice::route(&loads, cost, keep_free_for_short) else {
                inner.waiting.push(request);
                continue;
            };
            let relay = relays[index].clone();
            let load = inner.loads.entry(relay.name.clone()).or_default();
            load.pending += cost;
            load.long += usize::from(is_long(&request));
            let limit = load.pending + CALL_MARGIN;
            tokio::spawn(Arc::clone(self).send_request(request, relay, limit));
        }
    }

    fn relays(&self, now: Millis) -> Vec<Relay> {
        let mut relays = vec![Relay {
            name: self.advisor.own_name.clone(),
            address: None,
        }];
        let view = self.node.view();
        let inner = self.advisor.lock();
        for (name, peer) in &view.nodes {
            let is_backing_off = inner
                .backing_off_until
                .get(name)
                .is_some_and(|until| *until > now);
            if *name != self.advisor.own_name && !is_backing_off {
                relays.push(Relay {
                    name: name.clone(),
                    address: Some(peer.peers),
                });
            }
        }
        relays
    }

    async fn send_request(self: Arc<Self>, request: AdviceRequest, relay: Relay, limit: Duration) {
        let cost = request.cost();
        let begun = self.now();
        let result = match relay.address {
            Some(address) => {
                let wire = request_to_wire(&request);
                let answer = self.node.pool.advise(address, wire, limit).await;
                answer.map(advice_from_wire)
            }
            None => (self.node.clients.advise)(request.clone()).await,
        };
        let now = self.now();
        self.node.metrics.time("advice", now.since(begun));
        {
            let mut inner = self.advisor.lock();
            if let Some(load) = inner.loads.get_mut(&relay.name) {
                load.pending = load.pending.saturating_sub(cost);
                load.long -= usize::from(is_long(&request));
            }
            if result.is_err() && relay.address.is_some() {
                inner
                    .backing_off_until
                    .insert(relay.name.clone(), now.after(FAILURE_BACKOFF));
            }
        }
        self.log_answer(&request, &relay, &result, now.since(begun));
        self.engine()
            .handle_advice(&request, result.ok().as_ref(), now);
        self.wake.notify_one();
        self.send_requests();
    }

    fn log_answer(
        &self,
        request: &AdviceRequest,
        relay: &Relay,
        result: &Result<AdviceReply>,
        took: Duration,
    ) {
        if !self.node.decisions.admit() {
            return;
        }
        let worker_count = request.workers.len();
        let took = took.as_millis() as u64;
        let (job, step) = (&request.job, request.step);
        match result {
            Ok(reply) => slog::info!(self.node.log, "advice"; "job" => %job, "step" => step,
                "asked" => worker_count, "good" => reply.approved.len(), "took_ms" => took,
                "via" => %relay.name),
            Err(error) => slog::warn!(self.node.log, "no advice"; "job" => %job, "step" => step,
                "asked" => worker_count, "took_ms" => took, "via" => %relay.name,
                "error" => %error),
        }
    }
}

fn request_to_wire(request: &AdviceRequest) -> basilbridge_peers::Question {
    basilbridge_peers::Question {
        job: request.job.to_string(),
        occurrence: request.occurrence,
        step: request.step,
        workers: request.workers.iter().map(ToString::to_string).collect(),
        call_micros: request.advice.per_call.as_micros() as u64,
        each_micros: request.advice.per_worker.as_micros() as u64,
        valid_ms: request.advice.ticket_lifetime.as_millis() as u64,
    }
}

pub(crate) fn request_from_wire(wire: basilbridge_peers::Question) -> AdviceRequest {
    AdviceRequest {
        job: wire.job.into(),
        occurrence: wire.occurrence,
        step: wire.step,
        workers: wire.workers.into_iter().map(Name::from).collect(),
        advice: policy::AdviceSettings {
            per_call: Duration::from_micros(wire.call_micros),
            per_worker: Duration::from_micros(wire.each_micros),
            ticket_lifetime: Duration::from_millis(wire.valid_ms),
        },
        // The rank orders requests at the owner only and is not sent.
        rank: Rank::default(),
    }
}

pub(crate) fn advice_to_wire(reply: AdviceReply) -> Advice {
    Advice {
        permits: reply
            .approved
            .into_iter()
            .map(|approval| Permit {
                worker: approval.worker.to_string(),
                ticket: approval.ticket.to_string(),
            })
            .collect(),
        valid_ms: reply.ticket_lifetime.as_millis() as u64,
    }
}

fn advice_from_wire(wire: Advice) -> AdviceReply {
    AdviceReply {
        approved: wire
            .permits
            .into_iter()
            .map(|permit| Approval {
                worker: permit.worker.into(),
                ticket: permit.ticket.into(),
            })
            .collect(),
        ticket_lifetime: Duration::from_millis(wire.valid_ms),
    }
}
