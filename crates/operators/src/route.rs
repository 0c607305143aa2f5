//! Routes and handlers of the HTTP interface.

use std::time::Duration;

use basilbridge_callers::route::TIMEOUT_HEADER;
use basilbridge_common::{
    error::Result,
    id::Version, //
};
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
use http::{
    HeaderMap,
    StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    App,
    change::Edit,
    configuration::Configuration, //
};

/// How long to wait for an edit to be in force if the request names no timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(9);

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct AuditPath {
    after: u64,
}

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct PlanPath {
    id: String,
}

/// Returns the router of the HTTP interface.
pub fn router(app: App) -> Router {
    let pipeline = new_pipeline().add(StateMiddleware::new(app)).build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.get("/v1/configuration").to_async(configuration);
        route.put("/v1/configuration").to_async(replace);
        route.post("/v1/edits").to_async(edit);
        route.post("/v1/plans").to_async(plan);
        route
            .post("/v1/plans/:id/confirm")
            .with_path_extractor::<PlanPath>()
            .to_async(confirm);
        route
            .get("/v1/audit/:after")
            .with_path_extractor::<AuditPath>()
            .to_async(audit);
        route.get("/v1/workers").to_async(workers);
        route.get("/v1/data-centres").to_async(data_centres);
    })
}

fn authorize(state: &State) -> Result<(App, String)> {
    let app = App::borrow_from(state).clone();
    let key = body::bearer_token(state);
    let operator = (app.authorize)(key.as_deref())?;
    Ok((app, operator))
}

fn respond<T: Serialize>(state: State, result: Result<T>) -> HandlerResult {
    body::respond(state, StatusCode::OK, result)
}

async fn configuration(state: State) -> HandlerResult {
    let result = authorize(&state).map(|(app, _)| (app.configuration)());
    respond(state, result)
}

async fn replace(mut state: State) -> HandlerResult {
    let timeout = read_timeout(&state);
    let result = match authorize(&state) {
        Ok((app, operator)) => match body::read_json::<Configuration>(&mut state).await {
            Ok(next) => replace_as(&app, operator, &next, timeout).await,
            Err(error) => Err(error),
        },
        Err(error) => Err(error),
    };
    respond(state, result)
}

async fn replace_as(
    app: &App,
    operator: String,
    next: &Configuration,
    timeout: Duration,
) -> Result<Configuration> {
    let id = format!("replace-{}", rand::random::<u128>());
    let mut edit = (app.configuration)().edit_to(id.into(), next);
    edit.operator = operator;
    edit.base = Some(next.version);
    (app.commit)(edit, timeout).await?;
    Ok((app.configuration)())
}

async fn edit(mut state: State) -> HandlerResult {
    let timeout = read_timeout(&state);
    let result = match authorize(&state) {
        Ok((app, operator)) => match body::read_json::<Edit>(&mut state).await {
            Ok(edit) => (app.commit)(Edit { operator, ..edit }, timeout).await,
            Err(error) => Err(error),
        },
        Err(error) => Err(error),
    };
    respond(state, result)
}

async fn plan(mut state: State) -> HandlerResult {
    let result = match authorize(&state) {
        Ok((app, _)) => match body::read_json(&mut state).await {
            Ok(request) => (app.plan)(request).await,
            Err(error) => Err(error),
        },
        Err(error) => Err(error),
    };
    respond(state, result)
}

async fn confirm(mut state: State) -> HandlerResult {
    let timeout = read_timeout(&state);
    let id = PlanPath::take_from(&mut state).id;
    let result = match authorize(&state) {
        Ok((app, operator)) => (app.confirm)(id, operator, timeout).await,
        Err(error) => Err(error),
    };
    respond(state, result)
}

async fn audit(mut state: State) -> HandlerResult {
    let after = AuditPath::take_from(&mut state).after;
    let result = match authorize(&state) {
        Ok((app, _)) => (app.audit)(Version(after)).await,
        Err(error) => Err(error),
    };
    respond(state, result)
}

fn read_timeout(state: &State) -> Duration {
    let headers = HeaderMap::borrow_from(state);
    let text = headers
        .get(TIMEOUT_HEADER)
        .and_then(|value| value.to_str().ok());
    let millis = text.and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

async fn workers(state: State) -> HandlerResult {
    let result = authorize(&state).map(|(app, _)| (app.workers)());
    respond(state, result)
}

async fn data_centres(state: State) -> HandlerResult {
    let result = authorize(&state).map(|(app, _)| (app.data_centres)());
    respond(state, result)
}
