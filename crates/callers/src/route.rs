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
    drain::Phase, //
    edge::REQUEST_ID_HEADER,
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
    Verb,
    check, //
};

/// The header that carries the time until the caller gives up, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The longest time that a caller may state, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 24 * 60 * 60 * 1000;

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
    body::respond(state, StatusCode::OK, result)
}

async fn submit(mut state: State) -> HandlerResult {
    let read = body::read_json::<job::Request>(&mut state).await;
    let checked = read.and_then(|request| check::check(&request).map(|()| request));
    let result = match checked {
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
    body::respond(state, success, result)
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
    body::respond(state, StatusCode::OK, result)
}

/// Takes what a request needs out of the state, which can't be held while waiting.
fn prepare(state: &State, verb: Verb) -> Result<(App, Request)> {
    let headers = HeaderMap::borrow_from(state);
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let given_id = text(REQUEST_ID_HEADER).filter(|id| id.len() <= MAX_REQUEST_ID_BYTES);
    let remaining = match headers.get(TIMEOUT_HEADER) {
        None => None,
        Some(_) => Some(timeout(text(TIMEOUT_HEADER))?),
    };
    let request = Request {
        request_id: given_id.unwrap_or_else(|| request_id(state)).into(),
        key: body::bearer_token(state),
        remaining,
        verb,
    };
    Ok((App::borrow_from(state).clone(), request))
}

fn timeout(text: Option<&str>) -> Result<Duration> {
    text.and_then(|text| text.parse().ok())
        .filter(|millis| *millis <= MAX_TIMEOUT_MS)
        .map(Duration::from_millis)
        .ok_or_else(|| {
            let message =
                format!("{TIMEOUT_HEADER} is not a count of milliseconds up to {MAX_TIMEOUT_MS}");
            Error::new(Kind::Malformed, message)
        })
}

async fn handle(prepared: Result<(App, Request)>) -> Result<Status> {
    let (app, request) = prepared?;
    let Verb::Wait(job) = &request.verb else {
        return (app.handle)(request).await;
    };
    let now = Request {
        verb: Verb::Status(job.clone()),
        ..request.clone()
    };
    // A long wait would hold up the end of this VM; its caller can go on waiting at another.
    tokio::select! {
        biased;
        result = (app.handle)(request) => result,
        () = app.drain_state.wait_for_phase(Phase::Draining) => (app.handle)(now).await,
    }
}
