//! A caller's request, answered from the store or by a VM that reaches it.

use std::{
    net::SocketAddr,
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
    unit::Millis,
};
use basilbridge_peers::ClientRequest;
use basilbridge_workflow::job::Accepted;
use bytes::Bytes;
use http::Method;
use rand::seq::IteratorRandom;
use serde_json::{
    Value,
    json, //
};

use crate::{
    configuration::Configuration,
    intake,
    node::Node,
    record, //
};

/// The longest name of a job.
const MOST_ID_BYTES: usize = 64;

/// When a caller may come back to a VM that has no configuration yet.
const START_RETRY: Duration = Duration::from_secs(1);

/// How long to wait before a request is tried again whose outcome is not known.
const RETRY: Duration = Duration::from_millis(80);

/// What is kept of a caller's time for the answer to reach it.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// How many other VMs are tried with a request.
const PEERS_TRIED: usize = 2;

/// How long a peer may take for a request, if the caller waits as long.
const PEER_TIME: Duration = Duration::from_millis(1000);

/// A request as it came.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// The method.
    pub(crate) method: Method,
    /// The host that it names, without a port.
    pub(crate) host: String,
    /// The path.
    pub(crate) path: String,
    /// The key that came with it.
    pub(crate) key: Option<String>,
    /// How long the caller waits.
    pub(crate) wait: Duration,
    /// The body.
    pub(crate) body: Bytes,
}

impl Request {
    fn to_wire(&self, wait: Duration) -> ClientRequest {
        ClientRequest {
            method: self.method.to_string(),
            host: self.host.clone(),
            path: self.path.clone(),
            key: self.key.clone().unwrap_or_default(),
            wait_ms: wait.as_millis() as u64,
            body: self.body.to_vec(),
        }
    }

    /// Returns the part of the store that the request is about; its path ends in the name of a job.
    fn part(&self) -> Name {
        record::job_table(self.path.rsplit('/').next().unwrap_or_default())
    }

    fn from_wire(wire: ClientRequest) -> Result<Self> {
        let method = wire.method.parse();
        Ok(Self {
            method: method.map_err(|_| Error::new(Kind::Malformed, "the method is malformed"))?,
            host: wire.host,
            path: wire.path,
            key: (!wire.key.is_empty()).then_some(wire.key),
            wait: Duration::from_millis(wire.wait_ms),
            body: wire.body.into(),
        })
    }
}

/// Answers a request here, or through a VM that reaches the store if this one does not.
///
/// A request whose outcome is not known is tried on until the caller's time is over: it has one
/// name, so it takes effect once however often it is sent, and an answer that says it did not run
/// would not be known to be true.
pub(crate) async fn answer(node: &Arc<Node>, request: &Request) -> Result<Value> {
    let deadline = node.timer.now().after(request.wait);
    let mut unknown = false;
    let part = request.part();
    loop {
        let failure = if !node.is_away(&part) {
            match answer_here(node, request, deadline).await {
                Err(error) if is_store_failure(error.kind) => error,
                result => return settle(unknown, result),
            }
        } else {
            Error::new(Kind::StoreUnavailable, "the store can't be reached")
                .retry_after(intake::STORE_RETRY)
        };
        unknown |= failure.kind == Kind::OutcomeUnknown;
        for address in some_peers(node) {
            match forward(node, request, address, deadline).await {
                Err(error) if error.kind == Kind::OutcomeUnknown => unknown = true,
                Err(error) if is_store_failure(error.kind) => {}
                result => return settle(unknown, result),
            }
        }
        if !unknown {
            return Err(failure);
        }
        if node.timer.now().after(RETRY + ANSWER_TIME) >= deadline {
            return Err(outcome_unknown());
        }
        node.timer.sleep(RETRY).await;
    }
}

fn outcome_unknown() -> Error {
    let message = "the store did not tell whether it took the write";
    Error::new(Kind::OutcomeUnknown, message)
}

/// Turns a refusal into an unknown outcome if an earlier try of the request may still take effect.
fn settle(unknown: bool, result: Result<Value>) -> Result<Value> {
    result.map_err(|error| if unknown { outcome_unknown() } else { error })
}

/// Answers a request that another VM has handed on; it is never handed on again.
pub(crate) async fn answer_forwarded(node: &Arc<Node>, wire: ClientRequest) -> Result<Value> {
    let request = Request::from_wire(wire)?;
    if node.is_away(&request.part()) {
        let message = "this VM does not reach the store either";
        return Err(Error::new(Kind::StoreUnavailable, message));
    }
    node.metrics.count("forwarded_requests");
    let deadline = node.timer.now().after(request.wait);
    answer_here(node, &request, deadline).await
}

fn is_store_failure(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::StoreUnavailable
            | Kind::OutcomeUnknown
            | Kind::Unreachable
            | Kind::StaleConfiguration
            | Kind::Truncated
    )
}

fn some_peers(node: &Node) -> Vec<SocketAddr> {
    let view = node.view();
    let others = view
        .nodes
        .iter()
        .filter(|(name, _)| **name != node.config.name);
    let addresses = others.map(|(_, peer)| peer.peers);
    addresses.choose_multiple(&mut rand::rng(), PEERS_TRIED)
}

async fn forward(
    node: &Node,
    request: &Request,
    address: SocketAddr,
    deadline: Millis,
) -> Result<Value> {
    let left = deadline.since(node.timer.now().after(ANSWER_TIME));
    let wait = left.min(PEER_TIME);
    if wait.is_zero() {
        return Err(Error::new(Kind::Unreachable, "there is no time left"));
    }
    node.pool
        .forward_request(address, request.to_wire(wait), wait)
        .await
}

/// A request, once its queue and its team are known.
struct Call {
    queue: Name,
    tenant: Option<Name>,
    id: String,
}

async fn answer_here(node: &Arc<Node>, request: &Request, deadline: Millis) -> Result<Value> {
    let configuration = node.configuration();
    let call = resolve(request, &configuration)?;
    let formats = &node.clients.formats;
    match request.method {
        Method::POST => {
            let spec = (formats.job)(&request.body)?;
            if call.id.is_empty() {
                return Err(Error::new(Kind::Malformed, "the job has no name"));
            }
            let accepted = Accepted {
                queue: call.queue,
                team: call.tenant,
                accepted_at: node.timer.now(),
                spec,
            };
            intake::accept(node, &call.id, &accepted).await?;
            Ok(json!({}))
        }
        Method::DELETE => {
            intake::cancel(node, &call.id, deadline).await?;
            Ok(json!({}))
        }
        _ if call.id.is_empty() => {
            let count = intake::waiting(node, &call.queue).await?;
            Ok((formats.waiting)(count))
        }
        _ => {
            let state = intake::state(node, &call.id, deadline).await?;
            Ok((formats.state)(state))
        }
    }
}

fn resolve(request: &Request, configuration: &Configuration) -> Result<Call> {
    if configuration.version == 0 {
        let error = Error::new(Kind::StaleConfiguration, "there is no configuration yet");
        return Err(error.retry_after(START_RETRY));
    }
    let route = configuration.route(&request.host, &request.path)?;
    let tenant = configuration.authorize(route, request.key.as_deref())?;
    let id = request.path[route.prefix.len()..].to_owned();
    if id.len() > MOST_ID_BYTES || !id.bytes().all(|byte| byte.is_ascii_alphanumeric()) {
        let message = "the name of the job is malformed";
        return Err(Error::new(Kind::Malformed, message));
    }
    Ok(Call {
        queue: route.queue.clone(),
        tenant,
        id,
    })
}
