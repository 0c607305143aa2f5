//! Asks the advice service through all VMs.
//!
//! The service serves each calling VM one call at a time, so the owner spreads its questions.

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

/// How much longer than all calls before it a call may take.
const CALL_MARGIN: Duration = Duration::from_millis(600);

/// For how long a VM that failed a call gets no other one.
const REST: Duration = Duration::from_millis(1500);

/// For how long after a short question others are expected.
const SHORT_TIME: Duration = Duration::from_secs(1);

fn is_long(question: &AdviceRequest) -> bool {
    question.cost() >= advice::LONG_CALL
}

#[derive(Debug, Default)]
struct Inner {
    waiting: Vec<AdviceRequest>,
    loads: HashMap<Name, Load>,
    resting: HashMap<Name, Millis>,
    /// When a short question was last asked.
    last_short: Option<Millis>,
}

/// The questions that are open.
pub(crate) struct Adviser {
    own: Name,
    inner: Mutex<Inner>,
}

impl Adviser {
    pub(crate) fn new(node: &Node) -> Self {
        Self {
            own: node.config.name.clone(),
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A VM through which a question goes; none stands for our own.
#[derive(Debug, Clone)]
struct Via {
    name: Name,
    address: Option<SocketAddr>,
}

impl Owner {
    /// Asks a question as soon as a VM is free for it.
    pub(crate) fn ask(self: Arc<Self>, question: AdviceRequest) {
        self.adviser.lock().waiting.push(question);
        self.send_questions();
    }

    fn send_questions(self: &Arc<Self>) {
        let now = self.now();
        let vias = self.vias(now);
        let mut inner = self.adviser.lock();
        inner.waiting.sort_by_key(|question| question.rank);
        let waiting = std::mem::take(&mut inner.waiting);
        if waiting.iter().any(|question| !is_long(question)) {
            inner.last_short = Some(now);
        }
        let shared = inner
            .last_short
            .is_some_and(|last| now.since(last) < SHORT_TIME);
        for question in waiting {
            let loads: Vec<Load> = vias
                .iter()
                .map(|via| inner.loads.get(&via.name).copied().unwrap_or_default())
                .collect();
            let cost = question.cost();
            let Some(index) = advice::route(&loads, cost, shared) else {
                inner.waiting.push(question);
                continue;
            };
            let via = vias[index].clone();
            let load = inner.loads.entry(via.name.clone()).or_default();
            load.pending += cost;
            load.long += usize::from(is_long(&question));
            let limit = load.pending + CALL_MARGIN;
            tokio::spawn(Arc::clone(self).put_question(question, via, limit));
        }
    }

    fn vias(&self, now: Millis) -> Vec<Via> {
        let mut vias = vec![Via {
            name: self.adviser.own.clone(),
            address: None,
        }];
        let view = self.node.view();
        let inner = self.adviser.lock();
        for (name, peer) in &view.nodes {
            let rests = inner.resting.get(name).is_some_and(|until| *until > now);
            if *name != self.adviser.own && !rests {
                vias.push(Via {
                    name: name.clone(),
                    address: Some(peer.peers),
                });
            }
        }
        vias
    }

    async fn put_question(self: Arc<Self>, question: AdviceRequest, via: Via, limit: Duration) {
        let cost = question.cost();
        let begun = self.now();
        let result = match via.address {
            Some(address) => {
                let wire = to_wire(&question);
                let answer = self.node.pool.advise(address, wire, limit).await;
                answer.map(from_wire)
            }
            None => (self.node.clients.advise)(question.clone()).await,
        };
        let now = self.now();
        self.node.metrics.time("advice", now.since(begun));
        {
            let mut inner = self.adviser.lock();
            if let Some(load) = inner.loads.get_mut(&via.name) {
                load.pending = load.pending.saturating_sub(cost);
                load.long -= usize::from(is_long(&question));
            }
            if result.is_err() && via.address.is_some() {
                inner.resting.insert(via.name.clone(), now.after(REST));
            }
        }
        self.note_answer(&question, &via, &result, now.since(begun));
        self.engine()
            .handle_advice(&question, result.ok().as_ref(), now);
        self.wake.notify_one();
        self.send_questions();
    }

    fn note_answer(
        &self,
        question: &AdviceRequest,
        via: &Via,
        result: &Result<AdviceReply>,
        took: Duration,
    ) {
        if !self.node.decisions.admit() {
            return;
        }
        let asked = question.workers.len();
        let took = took.as_millis() as u64;
        let (job, step) = (&question.job, question.step);
        match result {
            Ok(advised) => slog::info!(self.node.log, "advice"; "job" => %job, "step" => step,
                "asked" => asked, "good" => advised.approved.len(), "took_ms" => took,
                "via" => %via.name),
            Err(error) => slog::warn!(self.node.log, "no advice"; "job" => %job, "step" => step,
                "asked" => asked, "took_ms" => took, "via" => %via.name, "error" => %error),
        }
    }
}

fn to_wire(question: &AdviceRequest) -> basilbridge_peers::Question {
    basilbridge_peers::Question {
        job: question.job.to_string(),
        occurrence: question.occurrence,
        step: question.step,
        workers: question.workers.iter().map(ToString::to_string).collect(),
        call_micros: question.advice.per_call.as_micros() as u64,
        each_micros: question.advice.per_worker.as_micros() as u64,
        valid_ms: question.advice.ticket_lifetime.as_millis() as u64,
    }
}

pub(crate) fn question_from_wire(wire: basilbridge_peers::Question) -> AdviceRequest {
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
        // The owner has kept the order already.
        rank: Rank::default(),
    }
}

pub(crate) fn answer_to_wire(advised: AdviceReply) -> Advice {
    Advice {
        permits: advised
            .approved
            .into_iter()
            .map(|good| Permit {
                worker: good.worker.to_string(),
                ticket: good.ticket.to_string(),
            })
            .collect(),
        valid_ms: advised.ticket_lifetime.as_millis() as u64,
    }
}

fn from_wire(wire: Advice) -> AdviceReply {
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
