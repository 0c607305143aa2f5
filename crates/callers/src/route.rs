//! The paths of the interface.

use std::time::Duration;

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Job,
    job::{
        self,
        Status, //
    },
};
use basilbridge_server::{
    body,
    gate::Pass, //
};
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
    state::{
        State,
        request_id, //
    },
};
use http::{
    HeaderMap,
    StatusCode, //
};
use serde::Deserialize;

use crate::{
    App,
    Request,
    Verb, //
};

/// The header that carries the time until the caller gives up, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The header that names a request in the logs of all who handle it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const MAX_REQUEST_ID_BYTES: usize = 64;

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct JobPath {
    id: String,
}

/// Makes the router of the interface.
pub fn router(app: App) -> Router {
    let pipeline = new_pipeline().add(StateMiddleware::new(app)).build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.get("/ready").to_async(ready);
        route.post("/v1/jobs").to_async(submit);
        route
            .get("/v1/jobs/:id")
            .with_path_extractor::<JobPath>()
            .to_async(status);
        route
            .get("/v1/jobs/:id/wait")
            .with_path_extractor::<JobPath>()
            .to_async(wait);
        route
            .delete("/v1/jobs/:id")
            .with_path_extractor::<JobPath>()
            .to_async(cancel);
    })
}

async fn ready(state: State) -> HandlerResult {
    let result = if (App::borrow_from(&state).ready)() {
        Ok("ready")
    } else {
        Err(Error::new(Kind::Draining, "this VM takes no requests"))
    };
    body::answer(state, StatusCode::OK, result)
}

async fn submit(mut state: State) -> HandlerResult {
    let result = match body::read_json::<job::Request>(&mut state).await {
        Ok(request) => {
            let prepared = prepare(&state, Verb::Submit(Box::new(request)));
            handle(prepared).await
        }
        Err(error) => Err(error),
    };
    let success = match &result {
        Ok(status) if !status.state.is_final() => StatusCode::ACCEPTED,
        _ => StatusCode::OK,
    };
    body::answer(state, success, result)
}

async fn status(state: State) -> HandlerResult {
    on_job(state, Verb::Status).await
}

async fn wait(state: State) -> HandlerResult {
    on_job(state, Verb::Wait).await
}

async fn cancel(state: State) -> HandlerResult {
    on_job(state, Verb::Cancel).await
}

async fn on_job(mut state: State, verb: fn(Job) -> Verb) -> HandlerResult {
    let path = JobPath::take_from(&mut state);
    let result = match path.id.parse() {
        Ok(job) => {
            let prepared = prepare(&state, verb(job));
            handle(prepared).await
        }
        Err(error) => Err(Error::new(Kind::Malformed, format!("{error}"))),
    };
    body::answer(state, StatusCode::OK, result)
}

/// A request that is counted as in flight.
struct Prepared {
    app: App,
    pass: Pass,
    request: Request,
}

/// Takes what a request needs out of the state, which can't be held while waiting.
fn prepare(state: &State, verb: Verb) -> Result<Prepared> {
    let app = App::borrow_from(state).clone();
    let pass = app.gate.enter();
    if app.gate.is_draining() {
        let error = Error::new(Kind::Draining, "this VM is stopping");
        return Err(error.retry_after(Duration::from_secs(1)));
    }
    let headers = HeaderMap::borrow_from(state);
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let given_id = text(REQUEST_ID_HEADER).filter(|id| id.len() <= MAX_REQUEST_ID_BYTES);
    let remaining = match text(TIMEOUT_HEADER).map(str::parse) {
        None => None,
        Some(Ok(millis)) => Some(Duration::from_millis(millis)),
        Some(Err(_)) => {
            let message = format!("{TIMEOUT_HEADER} is not a count of milliseconds");
            return Err(Error::new(Kind::Malformed, message));
        }
    };
    let request = Request {
        request_id: given_id.unwrap_or_else(|| request_id(state)).into(),
        key: body::bearer(state),
        remaining,
        verb,
    };
    Ok(Prepared { app, pass, request })
}

async fn handle(prepared: Result<Prepared>) -> Result<Status> {
    let Prepared { app, pass, request } = prepared?;
    let result = (app.handle)(request).await;
    drop(pass);
    result
}
