//! The paths of the interface.

use basilbridge_common::error::Result;
use basilbridge_server::body;
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
use http::StatusCode;
use serde::Serialize;

use crate::{
    App,
    configuration::Configuration, //
};

/// Makes the router of the interface.
pub fn router(app: App) -> Router {
    let pipeline = new_pipeline().add(StateMiddleware::new(app)).build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.get("/v1/configuration").to_async(configuration);
        route.put("/v1/configuration").to_async(replace);
        route.get("/v1/workers").to_async(workers);
    })
}

fn authorized(state: &State) -> Result<App> {
    let app = App::borrow_from(state).clone();
    let key = body::bearer(state);
    (app.authorize)(key.as_deref())?;
    Ok(app)
}

fn answer<T: Serialize>(state: State, result: Result<T>) -> HandlerResult {
    body::answer(state, StatusCode::OK, result)
}

async fn configuration(state: State) -> HandlerResult {
    let result = authorized(&state).map(|app| (app.configuration)());
    answer(state, result)
}

async fn replace(mut state: State) -> HandlerResult {
    let result = match authorized(&state) {
        Ok(app) => match body::read_json::<Configuration>(&mut state).await {
            Ok(configuration) => (app.replace)(configuration).await,
            Err(error) => Err(error),
        },
        Err(error) => Err(error),
    };
    answer(state, result)
}

async fn workers(state: State) -> HandlerResult {
    let result = authorized(&state).map(|app| (app.workers)());
    answer(state, result)
}
