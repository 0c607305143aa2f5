//! The HTTP interface for callers.

use std::{
    panic::RefUnwindSafe,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::error::{
    Error,
    Kind,
    Result, //
};
use basilbridge_server::body;
use bytes::Bytes;
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
use serde_json::Value;

use crate::{
    node::Node,
    request::{
        self,
        Request, //
    },
    request_memory,
};

/// The header with the time that the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "deadline-ms";

/// The wait of a caller that sends no deadline header.
const DEFAULT_WAIT: Duration = Duration::from_secs(3);

/// The maximum wait; longer ones are reduced to it.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The state shared by the request handlers.
#[derive(Clone, StateData)]
pub struct App {
    node: Arc<Node>,
}

impl RefUnwindSafe for App {}

impl App {
    /// Creates the state for the handlers of a VM.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }
}

/// Builds the router for callers.
pub fn router(app: App) -> Router {
    let pipeline = new_pipeline().add(StateMiddleware::new(app)).build();
    let (chain, pipelines) = single_pipeline(pipeline);
    let methods = || vec![Method::GET, Method::POST, Method::DELETE];
    build_router(chain, pipelines, |route| {
        route.request(methods(), "/").to_async(handle);
        route.request(methods(), "/*").to_async(handle);
    })
}

/// Builds the router on which the platform checks whether this VM is ready.
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
    body::respond(state, StatusCode::OK, result)
}

async fn handle(mut state: State) -> HandlerResult {
    let node = Arc::clone(&App::borrow_from(&state).node);
    let begun = node.timer.now();
    let result = match read_request(&node, &mut state).await {
        Ok(request) => {
            let result = request::answer(&node, &request).await;
            log_call(&node, &request, node.timer.now().since(begun), &result);
            result
        }
        // Its body was not read to the end, so an earlier attempt was not looked up.
        Err(error) if error.kind == Kind::Overloaded => {
            node.metrics.count("requests_evicted");
            Err(request_memory::without_promise(error))
        }
        Err(error) => Err(error),
    };
    body::respond(state, StatusCode::OK, result)
}

/// Reads a request. Its body is not read, and takes no memory, if its head alone is rejected.
async fn read_request(node: &Node, state: &mut State) -> Result<Request> {
    let head = read_head(state);
    request::check_head(node, &head)?;
    let limit = node.configuration().limits.body_bytes;
    let body = body::read(state, limit).await?;
    Ok(Request { body, ..head })
}

/// Reads the head of a request, whose body stays empty.
fn read_head(state: &State) -> Request {
    let headers = HeaderMap::borrow_from(state);
    let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let host = header_text(header::HOST.as_str()).unwrap_or_default();
    let wait = header_text(DEADLINE_HEADER)
        .and_then(|millis| millis.parse().ok())
        .map_or(DEFAULT_WAIT, Duration::from_millis);
    Request {
        method: Method::borrow_from(state).clone(),
        host: host.split(':').next().unwrap_or_default().to_owned(),
        path: Uri::borrow_from(state).path().to_owned(),
        key: body::bearer_token(state),
        wait: wait.min(MAX_WAIT),
        body: Bytes::new(),
    }
}

fn log_call(node: &Node, request: &Request, took: Duration, result: &Result<Value>) {
    node.metrics.time("call", took);
    let (method, version) = (&request.method, node.configuration().version);
    let id = request.path.rsplit('/').next().unwrap_or_default();
    let took = took.as_millis() as u64;
    match result {
        Ok(_) => {
            node.metrics.count("calls_answered");
            // Queries change nothing and are the most frequent calls, so they are not logged.
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
