//! The routes of the interface.

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
    drain::Phase,
    handler::REQUEST_ID_HEADER, //
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
    validation, //
};

/// The header with the caller's timeout, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The maximum value of [`TIMEOUT_HEADER`], in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 24 * 60 * 60 * 1000;

const MAX_REQUEST_ID_BYTES: usize = 64;

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct JobPath {
    id: String,
}

/// Creates the router of the interface.
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
        Err(Error::new(Kind::Draining, "this VM accepts no requests"))
    };
    body::respond(state, StatusCode::OK, result)
}

async fn submit(mut state: State) -> HandlerResult {
    let read = body::read_json::<job::Request>(&mut state).await;
    let validated = read.and_then(|request| validation::validate(&request).map(|()| request));
    let result = match validated {
        Ok(request) => {
            let extracted = extract_request(&state, Verb::Submit(Box::new(request)));
            handle(extracted).await
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
    handle_job_request(state, Verb::Status).await
}

async fn wait(state: State) -> HandlerResult {
    handle_job_request(state, Verb::Wait).await
}

async fn cancel(state: State) -> HandlerResult {
    handle_job_request(state, Verb::Cancel).await
}

async fn handle_job_request(mut state: State, verb: fn(Job) -> Verb) -> HandlerResult {
    let path = JobPath::take_from(&mut state);
    let result = match path.id.parse() {
        Ok(job) => {
            let extracted = extract_request(&state, verb(job));
            handle(extracted).await
        }
        Err(error) => Err(Error::new(Kind::Malformed, format!("{error}"))),
    };
    body::respond(state, StatusCode::OK, result)
}

/// Extracts the request from the state, which cannot be borrowed across an await point.
fn extract_request(state: &State, verb: Verb) -> Result<(App, Request)> {
    let headers = HeaderMap::borrow_from(state);
    let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let client_id = header_text(REQUEST_ID_HEADER).filter(|id| id.len() <= MAX_REQUEST_ID_BYTES);
    let remaining = match headers.get(TIMEOUT_HEADER) {
        None => None,
        Some(_) => Some(parse_timeout(header_text(TIMEOUT_HEADER))?),
    };
    let request = Request {
        request_id: client_id.unwrap_or_else(|| request_id(state)).into(),
        key: body::bearer_token(state),
        remaining,
        verb,
    };
    Ok((App::borrow_from(state).clone(), request))
}

fn parse_timeout(value: Option<&str>) -> Result<Duration> {
    value
        .and_then(|value| value.parse().ok())
        .filter(|millis| *millis <= MAX_TIMEOUT_MS)
        .map(Duration::from_millis)
        .ok_or_else(|| {
            let message =
                format!("{TIMEOUT_HEADER} is not a number of milliseconds up to {MAX_TIMEOUT_MS}");
            Error::new(Kind::Malformed, message)
        })
}

async fn handle(extracted: Result<(App, Request)>) -> Result<Status> {
    let (app, request) = extracted?;
    let Verb::Wait(job) = &request.verb else {
        return (app.handle)(request).await;
    };
    let status_request = Request {
        verb: Verb::Status(job.clone()),
        ..request.clone()
    };
    // A long wait would delay the drain of this VM. Its caller can continue to wait at another VM.
    tokio::select! {
        biased;
        result = (app.handle)(request) => result,
        () = app.drain_state.wait_for_phase(Phase::Draining) => (app.handle)(status_request).await,
    }
}
