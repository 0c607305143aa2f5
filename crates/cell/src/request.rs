//! Answers callers' requests from the store, or forwards them to a VM that reaches it.

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
use basilbridge_peers::{
    ClientRequest,
    cell::Forwarded, //
};
use basilbridge_workflow::job::Accepted;
use bytes::Bytes;
use http::Method;
use rand::seq::{
    IteratorRandom,
    SliceRandom, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    admission,
    configuration::Configuration,
    job_store,
    large_job::{
        self,
        Place, //
    },
    node::Node,
    record, request_memory, segments,
};

/// The maximum length of a job name.
const MAX_ID_BYTES: usize = 64;

/// The retry time given to callers of a VM that has no configuration yet.
const START_RETRY: Duration = Duration::from_secs(1);

/// How long a request waits until this VM has read its configuration again: one read and one
/// retry.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(250);

/// The delay before a request with unknown outcome is retried.
const RETRY: Duration = Duration::from_millis(80);

/// The part of a caller's deadline that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// The maximum number of other VMs to which a request is forwarded per attempt.
const MAX_PEERS_TRIED: usize = 2;

/// The maximum time for a peer to answer a forwarded request.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// How many times the length of a body its buffer may hold.
const OWN_COPIES: usize = 2;

/// A request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// The HTTP method.
    pub(crate) method: Method,
    /// The host name without a port.
    pub(crate) host: String,
    /// The path, which ends in the name of a job.
    pub(crate) path: String,
    /// The bearer key, if there is one.
    pub(crate) key: Option<String>,
    /// How long the caller waits for the response.
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

    /// Returns the part of the job table that holds the job of this request.
    fn store_part(&self) -> Name {
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

/// Checks the route and the key of a submission, before its body is read.
///
/// Answers the load of large bodies behind keys that no configuration holds. Nothing is rejected by a
/// configuration that may be out of date, as another VM may know a newer one.
///
/// # Errors
///
/// Returns what [`answer`] would return for any body.
pub(crate) fn check_head(node: &Node, head: &Request) -> Result<()> {
    match head.method == Method::POST && node.is_configuration_current() {
        true => resolve(head, &node.configuration()).map(|_| ()),
        false => Ok(()),
    }
}

/// Answers a request from the store, or forwards it to other VMs if this one does not reach the
/// store.
///
/// Retries a request with unknown outcome until the deadline. This is safe, since the job name
/// makes requests idempotent. Reporting that such a request did not take effect could be wrong.
pub(crate) async fn answer(node: &Arc<Node>, request: &Request) -> Result<Value> {
    let deadline = node.timer.now().after(request.wait);
    let mut unknown = false;
    // A request whose earlier attempt may still take effect must not be refused.
    let mut is_judged = false;
    let store_part = request.store_part();
    loop {
        let failure = if !node.is_part_unreachable(&store_part) {
            let origin = match is_judged {
                false => Origin::Caller,
                true => Origin::Repeated,
            };
            match answer_here(node, request, origin, deadline).await {
                Err(error) if is_store_failure(error.kind) => error,
                result => return replace_error_if_unknown(unknown, result),
            }
        } else {
            Error::new(Kind::StoreUnavailable, "the store can't be reached")
                .with_retry_after(admission::store_retry(node, &store_part))
        };
        unknown |= failure.kind == Kind::OutcomeUnknown;
        is_judged |= unknown;
        for address in random_peers(node) {
            match forward(node, request, address, deadline).await {
                Err(error) if error.kind == Kind::OutcomeUnknown => unknown = true,
                Err(error) if is_store_failure(error.kind) => {}
                result => return replace_error_if_unknown(unknown, result),
            }
        }
        if !unknown {
            return Err(failure);
        }
        if node.timer.now().after(RETRY + RESPONSE_MARGIN) >= deadline {
            return Err(outcome_unknown());
        }
        node.timer.sleep(RETRY).await;
    }
}

fn outcome_unknown() -> Error {
    let message = "the store did not tell whether it took the write";
    Error::new(Kind::OutcomeUnknown, message)
}

/// Replaces an error by an unknown outcome if an earlier attempt of the request may still take
/// effect. Only a cancellation fails because there is no such job, and then that is certain.
fn replace_error_if_unknown(unknown: bool, result: Result<Value>) -> Result<Value> {
    result.map_err(|error| match error.kind {
        Kind::Gone => error,
        _ if unknown => outcome_unknown(),
        _ => error,
    })
}

/// Answers a request that another VM has forwarded, without forwarding it again.
pub(crate) async fn answer_forwarded(node: &Arc<Node>, wire: ClientRequest) -> Forwarded {
    let result = answer_wire(node, wire).await;
    Forwarded {
        // A configuration that has come into force meanwhile is newer than the one that judged.
        configuration: node.configuration().version,
        result,
    }
}

async fn answer_wire(node: &Arc<Node>, wire: ClientRequest) -> Result<Value> {
    // Another VM may have room, so this is no refusal.
    let memory = node.request_memory.hold(wire.body.len(), 0);
    let _memory = memory.map_err(request_memory::without_room)?;
    let request = Request::from_wire(wire)?;
    if node.is_part_unreachable(&request.store_part()) {
        let message = "this VM does not reach the store either";
        return Err(Error::new(Kind::StoreUnavailable, message));
    }
    node.metrics.count("forwarded_requests");
    let deadline = node.timer.now().after(request.wait);
    answer_here(node, &request, Origin::Peer, deadline).await
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

/// Returns the peers to try, those first that have not failed lately.
fn random_peers(node: &Node) -> Vec<SocketAddr> {
    let addresses: Vec<SocketAddr> = {
        let view = node.view();
        let others = view.nodes.iter();
        let others = others.filter(|(name, _)| **name != node.config.name);
        others.map(|(_, peer)| peer.peers).collect()
    };
    let (failing, mut chosen): (Vec<_>, Vec<_>) = addresses
        .into_iter()
        .partition(|address| node.pool.is_failing(*address));
    let mut random = rand::rng();
    chosen.shuffle(&mut random);
    chosen.extend(failing.into_iter().choose(&mut random));
    chosen.truncate(MAX_PEERS_TRIED);
    chosen
}

async fn forward(
    node: &Node,
    request: &Request,
    address: SocketAddr,
    deadline: Millis,
) -> Result<Value> {
    let left = deadline.since(node.timer.now().after(RESPONSE_MARGIN));
    let wait = left.min(PEER_TIMEOUT);
    if wait.is_zero() {
        return Err(Error::new(Kind::Unreachable, "there is no time left"));
    }
    // The message, its encoded form and what waits to be sent.
    let copies = 3 * request.body.len();
    let memory = node
        .request_memory
        .hold(copies, OWN_COPIES * request.body.len());
    let _memory = memory.map_err(request_memory::without_room)?;
    let forwarded = node
        .pool
        .forward_request(address, request.to_wire(wait), wait)
        .await?;
    // Judging a later request by an older configuration than the peer's would undo a change that
    // callers have seen.
    let is_judged = !matches!(&forwarded.result, Err(error) if is_store_failure(error.kind));
    if is_judged {
        node.require_configuration(forwarded.configuration);
    }
    forwarded.result
}

/// How a request has come to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// From its caller.
    Caller,
    /// From its caller, and an earlier attempt of this VM may still take effect.
    Repeated,
    /// From another VM, so that it is not forwarded again.
    Peer,
}

/// The queue, the team and the job name of a request.
struct ResolvedCall {
    queue: Name,
    team: Option<Name>,
    id: String,
}

async fn answer_here(
    node: &Arc<Node>,
    request: &Request,
    origin: Origin,
    deadline: Millis,
) -> Result<Value> {
    if !node
        .wait_for_current_configuration(CONFIGURATION_WAIT)
        .await
    {
        let message = "the configuration may be out of date";
        let error = Error::new(Kind::StaleConfiguration, message);
        return Err(error.with_retry_after(START_RETRY));
    }
    let configuration = node.configuration();
    let call = resolve(request, &configuration)?;
    let formats = &node.clients.formats;
    match request.method {
        Method::POST => {
            let spec = (formats.job)(&request.body)?;
            if call.id.is_empty() {
                return Err(Error::new(Kind::Malformed, "the job has no name"));
            }
            spec.check()
                .map_err(|excess| Error::new(Kind::Malformed, excess))?;
            segments::check(&spec, node.config.max_row_bytes())?;
            let own = OWN_COPIES * request.body.len();
            let memory = node
                .request_memory
                .hold(request_memory::footprint(&spec), own);
            let _memory = match memory {
                Ok(memory) => memory,
                Err(error) => return Err(request_memory::reject(node, &call.id, error).await),
            };
            let _ticket = match large_job::place(node, &spec) {
                Ok(Place::Here(ticket)) => ticket,
                Ok(Place::Owner(_)) if origin == Origin::Peer => return Err(large_job::no_owner()),
                Ok(Place::Owner(owner)) => return forward(node, request, owner, deadline).await,
                Err(error) => return Err(request_memory::reject(node, &call.id, error).await),
            };
            let accepted = Accepted {
                queue: call.queue,
                team: call.team,
                accepted_at: node.timer.now(),
                spec,
            };
            if origin != Origin::Repeated {
                admission::check(node, &call.id, &accepted).await?;
            }
            job_store::accept(node, &call.id, &accepted).await?;
            Ok(json!({}))
        }
        Method::DELETE => {
            job_store::cancel(node, &call.id, call.team.as_ref(), deadline).await?;
            Ok(json!({}))
        }
        _ if call.id.is_empty() => {
            let count = job_store::count_unstarted(node, &call.queue).await?;
            Ok((formats.waiting)(count))
        }
        _ => {
            let state = job_store::state(node, &call.id, deadline).await?;
            Ok((formats.state)(state))
        }
    }
}

fn resolve(request: &Request, configuration: &Configuration) -> Result<ResolvedCall> {
    if configuration.version == 0 {
        let error = Error::new(Kind::StaleConfiguration, "there is no configuration yet");
        return Err(error.with_retry_after(START_RETRY));
    }
    let route = configuration.route(&request.host, &request.path)?;
    let team = configuration.authorize(route, request.key.as_deref())?;
    let id = request.path[route.prefix.len()..].to_owned();
    if id.len() > MAX_ID_BYTES || !id.bytes().all(|byte| byte.is_ascii_alphanumeric()) {
        let message = "the name of the job is malformed";
        return Err(Error::new(Kind::Malformed, message));
    }
    Ok(ResolvedCall {
        queue: route.queue.clone(),
        team,
        id,
    })
}
