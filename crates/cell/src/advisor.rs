//! Sends advice requests to the advice service through the VMs that the engine names.
//!
//! The service serves one call at a time per calling VM; `workflow::advice` decides which VM makes
//! which call, and when.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Name,
};
use basilbridge_peers::{
    Advice,
    Permit, //
};
use basilbridge_workflow::{
    advice::Assignment,
    advice_request::{
        AdviceReply,
        Approval, //
    },
    order::AdviceRequest,
    policy,
    rank::Rank,
};

use crate::owner::Owner;

/// The time that a call may take beyond its own cost and that of the calls queued before it.
const CALL_MARGIN: Duration = Duration::from_millis(600);

/// Returns the names of the VMs through which requests can be sent, this one first.
pub(crate) fn relays(owner: &Owner) -> Vec<Name> {
    let own_name = &owner.node.config.name;
    let view = owner.node.view();
    let peers = view.nodes.keys().filter(|name| *name != own_name);
    std::iter::once(own_name).chain(peers).cloned().collect()
}

/// Sends a request through its VM and reports the reply to the engine.
pub(crate) async fn request_advice(owner: Arc<Owner>, request: AdviceRequest) {
    let limit = request.assignment.delay + request.cost() + CALL_MARGIN;
    let metrics = &owner.node.metrics;
    metrics.count("advice_calls");
    if request.repeated {
        metrics.count("advice_repeated");
    }
    if !request.deferred.is_zero() {
        metrics.count("advice_deferred");
    }
    let begun = owner.now();
    let result = if request.assignment.relay == owner.node.config.name {
        let call = (owner.node.clients.advise)(request.clone());
        let unanswered = || Err(Error::new(Kind::Unreachable, "no advice in time"));
        let answer = owner.node.timer.timeout(limit, call).await;
        answer.unwrap_or_else(unanswered)
    } else {
        let address = owner
            .node
            .view()
            .nodes
            .get(&request.assignment.relay)
            .map(|peer| peer.peers);
        match address {
            Some(address) => {
                let wire = request_to_wire(&request);
                let answer = owner.node.pool.advise(address, wire, limit).await;
                answer.map(advice_from_wire)
            }
            None => Err(Error::new(Kind::Unreachable, "the VM has left")),
        }
    };
    let now = owner.now();
    let took = now.since(begun);
    metrics.time("advice", took);
    log_reply(&owner, &request, &result, took);
    owner
        .engine()
        .handle_advice(&request, result.ok().as_ref(), now);
    owner.wake.notify_one();
}

fn log_reply(owner: &Owner, request: &AdviceRequest, result: &Result<AdviceReply>, took: Duration) {
    if !owner.node.decisions.admit() {
        return;
    }
    let log = &owner.node.log;
    let worker_count = request.workers.len();
    let took = took.as_millis() as u64;
    let deferred = request.deferred.as_millis() as u64;
    let (job, step) = (&request.job, request.step);
    match result {
        Ok(reply) => slog::info!(log, "advice"; "job" => %job, "step" => step,
            "asked" => worker_count, "good" => reply.approved.len(), "took_ms" => took,
            "via" => %request.assignment.relay, "deferred_ms" => deferred),
        Err(error) => slog::warn!(log, "no advice"; "job" => %job, "step" => step,
            "asked" => worker_count, "took_ms" => took, "via" => %request.assignment.relay,
            "deferred_ms" => deferred, "error" => %error),
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
        // The rest matters at the owner only and is not sent.
        rank: Rank::default(),
        assignment: Assignment::default(),
        repeated: false,
        deferred: Duration::ZERO,
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
