//! The HTTP interface that callers use.
//!
//! `docs/API.md` lists the paths.

pub mod check;
pub mod route;

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::Result,
    id::{
        Job,
        Name, //
    },
    job,
};
use futures_util::future::BoxFuture;
use gotham::state::StateData;

/// What a caller asks for, with the key that came with it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Names the request in the logs of all who handle it.
    pub request_id: Name,
    /// The key, which is not checked yet.
    pub key: Option<String>,
    /// The time until the caller gives up, if the caller said so.
    pub remaining: Option<Duration>,
    /// What is asked for.
    pub verb: Verb,
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub enum Verb {
    /// Run work.
    Submit(Box<job::Request>),
    /// Tell where a job stands.
    Status(Job),
    /// Wait until a job changes no more, or the time is over.
    Wait(Job),
    /// Cancel a job.
    Cancel(Job),
}

type Handle = Arc<dyn Fn(Request) -> BoxFuture<'static, Result<job::Status>> + Send + Sync>;

/// What stands behind the interface.
#[derive(Clone, StateData)]
pub struct App {
    /// Handles a request.
    pub handle: Handle,
    /// Says whether this VM takes requests, which the platform's balancer asks.
    pub ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Says when this VM is about to end.
    pub drain_state: basilbridge_server::drain::DrainState,
}

impl std::panic::RefUnwindSafe for App {}
