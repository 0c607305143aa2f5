//! The interface for the platform's callers.

use std::{
    panic::RefUnwindSafe,
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
use basilbridge_server::body;
use basilbridge_workflow::job::Accepted;
use gotham::{
    handler::HandlerResult,
    middleware::state::StateMiddleware,
    pipeline::{
        new_pipeline,
        single_pipeline, //
    },
    prelude::*,
    router::{
        Router,
        build_router, //
    },
    state::State,
};
use http::{
    HeaderMap,
    Method,
    StatusCode,
    Uri,
    header, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    configuration::{
        Configuration,
        Route, //
    },
    intake,
    node::Node,
};

/// The header that says for how many milliseconds the caller waits.
const DEADLINE_HEADER: &str = "deadline-ms";

/// How long a caller waits that does not say.
const USUAL_WAIT: Duration = Duration::from_secs(3);

/// The longest wait that a caller may ask for.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// The longest name of a job.
const MOST_ID_BYTES: usize = 64;

/// When a caller may come back to a VM that has no configuration yet.
const START_RETRY: Duration = Duration::from_secs(1);

/// What the interface stands on.
#[derive(Clone, StateData)]
pub struct App {
    node: Arc<Node>,
}

impl RefUnwindSafe for App {}

impl App {
    /// Makes the interface of a VM.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }
}

/// Makes the router for callers.
pub fn router(app: App) -> Router {
    let pipeline = new_pipeline().add(StateMiddleware::new(app)).build();
    let (chain, pipelines) = single_pipeline(pipeline);
    let methods = || vec![Method::GET, Method::POST, Method::DELETE];
    build_router(chain, pipelines, |route| {
        route.request(methods(), "/").to_async(handle);
        route.request(methods(), "/*").to_async(handle);
    })
}

/// Makes the router on which the platform asks whether this VM takes calls.
pub fn ready_router(app: App) -> Router {
    let pipeline = new_pipeline().add(StateMiddleware::new(app)).build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.get("/ready").to_async(ready);
    })
}

async fn ready(state: State) -> HandlerResult {
    let result = if App::borrow_from(&state).node.is_ready() {
        Ok("ready")
    } else {
        Err(Error::new(Kind::Draining, "this VM takes no calls"))
    };
    body::answer(state, StatusCode::OK, result)
}

/// A call, once its queue and its team are known.
struct Call {
    node: Arc<Node>,
    queue: Name,
    tenant: Option<Name>,
    id: String,
    deadline: Millis,
}

async fn handle(mut state: State) -> HandlerResult {
    let node = Arc::clone(&App::borrow_from(&state).node);
    let method = Method::borrow_from(&state).clone();
    let begun = node.timer.now();
    let configuration = node.configuration();
    let version = configuration.version;
    let call = resolve(&state, &node, &configuration, begun);
    let id = call
        .as_ref()
        .map(|call| call.id.clone())
        .unwrap_or_default();
    let result = match call {
        Ok(call) if method == Method::POST => submit(&mut state, call, &configuration).await,
        Ok(call) => ask(&method, &call).await,
        Err(error) => Err(error),
    };
    let took = node.timer.now().since(begun);
    note(&node, &method, &id, version, took, &result);
    body::answer(state, StatusCode::OK, result)
}

fn resolve(
    state: &State,
    node: &Arc<Node>,
    configuration: &Configuration,
    now: Millis,
) -> Result<Call> {
    if configuration.version == 0 {
        let error = Error::new(Kind::StaleConfiguration, "there is no configuration yet");
        return Err(error.retry_after(START_RETRY));
    }
    let headers = HeaderMap::borrow_from(state);
    let path = Uri::borrow_from(state).path();
    let route = find(configuration, headers, path)?;
    let tenant = configuration.authorize(route, body::bearer(state).as_deref())?;
    let id = path[route.prefix.len()..].to_owned();
    if id.len() > MOST_ID_BYTES || !id.bytes().all(|byte| byte.is_ascii_alphanumeric()) {
        return Err(Error::new(
            Kind::Malformed,
            "the name of the job is malformed",
        ));
    }
    let wait = headers
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(USUAL_WAIT, Duration::from_millis);
    Ok(Call {
        node: Arc::clone(node),
        queue: route.queue.clone(),
        tenant,
        id,
        deadline: now.after(wait.min(LONGEST_WAIT)),
    })
}

fn find<'a>(
    configuration: &'a Configuration,
    headers: &HeaderMap,
    path: &str,
) -> Result<&'a Route> {
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    configuration.route(host, path)
}

async fn submit(state: &mut State, call: Call, configuration: &Configuration) -> Result<Value> {
    let body = body::read(state, configuration.limits.body_bytes).await?;
    let spec = (call.node.outside.formats.job)(&body)?;
    if call.id.is_empty() {
        return Err(Error::new(Kind::Malformed, "the job has no name"));
    }
    let accepted = Accepted {
        queue: call.queue,
        tenant: call.tenant,
        at: call.node.timer.now(),
        spec,
    };
    intake::accept(&call.node, &call.id, &accepted, call.deadline).await?;
    Ok(json!({}))
}

async fn ask(method: &Method, call: &Call) -> Result<Value> {
    let node = &call.node;
    let formats = &node.outside.formats;
    if *method == Method::DELETE {
        intake::cancel(node, &call.id, call.deadline).await?;
        return Ok(json!({}));
    }
    if call.id.is_empty() {
        let count = intake::waiting(node, &call.queue).await?;
        return Ok((formats.waiting)(count));
    }
    let state = intake::state(node, &call.id, call.deadline).await?;
    Ok((formats.state)(state))
}

fn note(
    node: &Node,
    method: &Method,
    id: &str,
    version: u64,
    took: Duration,
    result: &Result<Value>,
) {
    node.metrics.time("call", took);
    let took = took.as_millis() as u64;
    match result {
        Ok(_) => {
            node.metrics.count("calls_answered");
            // Asking where a job stands changes nothing and is most of the calls.
            if *method != Method::GET && node.decisions.admit() {
                slog::info!(node.log, "call"; "method" => %method, "job" => id,
                    "configuration" => version, "took_ms" => took);
            }
        }
        Err(error) => {
            node.metrics.count("calls_refused");
            if node.decisions.admit() {
                slog::info!(node.log, "call refused"; "method" => %method, "job" => id,
                    "configuration" => version, "took_ms" => took, "error" => %error);
            }
        }
    }
}
