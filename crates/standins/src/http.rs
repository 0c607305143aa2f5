//! HTTP servers for stand-ins that run in separate processes.

use std::{
    io,
    net::SocketAddr, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Name,
    worker::Worker, //
};
use basilbridge_endpoints::command::Command;
use basilbridge_platform::table::{
    Query,
    Transaction, //
};
use basilbridge_server::{
    body,
    drain::DrainState,
    listener::{
        Server,
        Settings, //
    },
};
use bytes::Bytes;
use gotham::{
    handler::HandlerResult,
    helpers::http::{
        Body,
        response::create_response, //
    },
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
    Response,
    StatusCode, //
};
use serde::Deserialize;

use crate::{
    store::{
        FaultSettings, //
        Store,
    },
    worker::{
        self,
        Fleet, //
    },
};

const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

#[derive(Clone, StateData)]
struct StoreState(Store);

impl std::panic::RefUnwindSafe for StoreState {}

#[derive(Clone, StateData)]
struct WorkerState {
    fleet: Fleet,
    name: Name,
}

impl std::panic::RefUnwindSafe for WorkerState {}

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct ObjectPath {
    key: Vec<String>,
}

/// Serves the platform's service at `address`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve_store(address: SocketAddr, store: Store) -> io::Result<Server> {
    let settings = Settings::new(store.timer(), DrainState::default());
    Server::start(address, store_router(store), settings).await
}

/// Serves one worker of a fleet at `address`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve_worker(address: SocketAddr, fleet: Fleet, name: Name) -> io::Result<Server> {
    let settings = Settings::new(fleet.timer(), DrainState::default());
    Server::start(
        address,
        worker_router(WorkerState { fleet, name }),
        settings,
    )
    .await
}

fn store_router(store: Store) -> Router {
    let state = StateMiddleware::new(StoreState(store));
    let (chain, pipelines) = single_pipeline(new_pipeline().add(state).build());
    build_router(chain, pipelines, |route| {
        route.get("/v1/vms").to_async(vms);
        route.post("/v1/transact").to_async(transact);
        route.post("/v1/scan").to_async(scan);
        route
            .put("/v1/objects/*key")
            .with_path_extractor::<ObjectPath>()
            .to_async(put_object);
        route
            .get("/v1/objects/*key")
            .with_path_extractor::<ObjectPath>()
            .to_async(get_object);
        route.put("/standin/switches").to_async(set_store_faults);
        route.get("/standin/counts").to_async(store_counts);
    })
}

fn worker_router(worker: WorkerState) -> Router {
    let state = StateMiddleware::new(worker);
    let (chain, pipelines) = single_pipeline(new_pipeline().add(state).build());
    build_router(chain, pipelines, |route| {
        route.post("/v1/command").to_async(command);
        route.put("/standin/switches").to_async(set_worker_faults);
        route.get("/standin/violations").to_async(violations);
        route.get("/standin/counts").to_async(worker_counts);
    })
}

fn store(state: &State) -> Store {
    StoreState::borrow_from(state).0.clone()
}

fn fleet(state: &State) -> (Fleet, Name) {
    let worker = WorkerState::borrow_from(state);
    (worker.fleet.clone(), worker.name.clone())
}

async fn vms(state: State) -> HandlerResult {
    let store = store(&state);
    let result = store.vms().await;
    body::respond(state, StatusCode::OK, result)
}

async fn transact(mut state: State) -> HandlerResult {
    let store = store(&state);
    let result = match body::read_json::<Transaction>(&mut state).await {
        Ok(transaction) => store.transact(transaction).await,
        Err(error) => Err(error),
    };
    body::respond(state, StatusCode::OK, result)
}

async fn scan(mut state: State) -> HandlerResult {
    let store = store(&state);
    let result = match body::read_json::<Query>(&mut state).await {
        Ok(query) => store.scan(query).await,
        Err(error) => Err(error),
    };
    body::respond(state, StatusCode::OK, result)
}

async fn put_object(mut state: State) -> HandlerResult {
    let store = store(&state);
    let key = ObjectPath::take_from(&mut state).key.join("/");
    let result = match body::read(&mut state, MAX_OBJECT_BYTES).await {
        Ok(bytes) => store.put(key, bytes).await,
        Err(error) => Err(error),
    };
    body::respond(state, StatusCode::OK, result)
}

async fn get_object(mut state: State) -> HandlerResult {
    let store = store(&state);
    let key = ObjectPath::take_from(&mut state).key.join("/");
    match store.get(key).await {
        Ok(Some(bytes)) => Ok(binary_response(state, bytes)),
        Ok(None) => {
            let error = Error::new(Kind::NotFound, "the object does not exist");
            body::respond::<()>(state, StatusCode::OK, Err(error))
        }
        Err(error) => body::respond::<()>(state, StatusCode::OK, Err(error)),
    }
}

fn binary_response(state: State, bytes: Bytes) -> (State, Response<Body>) {
    let response = create_response(
        &state,
        StatusCode::OK,
        mime::APPLICATION_OCTET_STREAM,
        bytes,
    );
    (state, response)
}

async fn set_store_faults(mut state: State) -> HandlerResult {
    let store = store(&state);
    let result: Result<()> = body::read_json::<FaultSettings>(&mut state)
        .await
        .map(|faults| store.set_faults(faults));
    body::respond(state, StatusCode::OK, result)
}

async fn store_counts(state: State) -> HandlerResult {
    let counts = store(&state).counts();
    body::respond(state, StatusCode::OK, Ok(counts))
}

async fn command(mut state: State) -> HandlerResult {
    let (fleet, name) = fleet(&state);
    let result = match body::read_json::<Command>(&mut state).await {
        Ok(command) => fleet.handle(&name, command).await,
        Err(error) => Err(error),
    };
    if fleet.is_unresponsive(&name) {
        // An unresponsive worker neither replies nor closes the connection.
        std::future::pending::<()>().await;
    }
    body::respond(state, StatusCode::OK, result)
}

async fn set_worker_faults(mut state: State) -> HandlerResult {
    let (fleet, name) = fleet(&state);
    let result: Result<()> = body::read_json::<worker::FaultSettings>(&mut state)
        .await
        .map(|faults| fleet.set_faults(&name, faults));
    body::respond(state, StatusCode::OK, result)
}

async fn violations(state: State) -> HandlerResult {
    let violations = fleet(&state).0.violations();
    body::respond(state, StatusCode::OK, Ok(violations))
}

async fn worker_counts(state: State) -> HandlerResult {
    let counts = fleet(&state).0.counts();
    body::respond(state, StatusCode::OK, Ok(counts))
}

/// Serves each worker of `fleet` at its own address and returns the workers with their bound
/// addresses.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn serve_fleet(fleet: &Fleet) -> io::Result<Vec<(Worker, Server)>> {
    let mut served = Vec::new();
    for worker in fleet.workers() {
        let address = worker.address;
        let server = serve_worker(address, fleet.clone(), worker.name.clone()).await?;
        let worker = Worker {
            address: server.address,
            ..worker
        };
        served.push((worker, server));
    }
    Ok(served)
}
