//! The HTTP interface for callers.
//!
//! `docs/API.md` lists the paths.

pub mod route;
pub mod validation;

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

/// A request of a caller, before authentication.
#[derive(Debug, Clone)]
pub struct Request {
    /// The id of the request in the logs of all VMs and workers that handle it.
    pub request_id: Name,
    /// The bearer token, which has not been verified yet.
    pub key: Option<String>,
    /// The caller's timeout, if the request states one.
    pub remaining: Option<Duration>,
    /// The requested operation.
    pub verb: Verb,
}

/// An operation that a caller requests.
#[derive(Debug, Clone)]
pub enum Verb {
    /// Submit a job.
    Submit(Box<job::Request>),
    /// Return the status of a job.
    Status(Job),
    /// Wait until a job is in a final state, or the timeout has passed.
    Wait(Job),
    /// Cancel a job.
    Cancel(Job),
}

type HandleRequest = Arc<dyn Fn(Request) -> BoxFuture<'static, Result<job::Status>> + Send + Sync>;

/// The functions and the state that the interface calls.
#[derive(Clone, StateData)]
pub struct App {
    /// Handles a request.
    pub handle: HandleRequest,
    /// Returns whether this VM accepts requests; the platform's load balancer queries this.
    pub ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// The phase of this VM's drain.
    pub drain_state: basilbridge_server::drain::DrainState,
}

impl std::panic::RefUnwindSafe for App {}
