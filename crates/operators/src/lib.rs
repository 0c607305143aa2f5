//! What operators say: the configuration, its keys, and the HTTP interface to both.

pub mod audit;
pub mod change;
pub mod configuration;
pub mod difference;
pub mod intent;
pub mod key;
pub mod plan;
pub mod route;

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::Result,
    id::Version,
    worker::Worker, //
};
use futures_util::future::BoxFuture;
use gotham::state::StateData;

use audit::Page;
use change::{
    Accepted,
    Edit, //
};
use configuration::Configuration;
use plan::Plan;

type Authorize = Arc<dyn Fn(Option<&str>) -> Result<String> + Send + Sync>;
type Read<T> = Arc<dyn Fn() -> T + Send + Sync>;
type Commit = Arc<dyn Fn(Edit, Duration) -> BoxFuture<'static, Result<Accepted>> + Send + Sync>;
type Make = Arc<dyn Fn(plan::Request) -> BoxFuture<'static, Result<Plan>> + Send + Sync>;
type Confirm =
    Arc<dyn Fn(String, String, Duration) -> BoxFuture<'static, Result<Accepted>> + Send + Sync>;
type Audit = Arc<dyn Fn(Version) -> BoxFuture<'static, Result<Page>> + Send + Sync>;

/// What stands behind the interface.
#[derive(Clone, StateData)]
pub struct App {
    /// Returns the fingerprint of a key that is an operator's.
    pub authorize: Authorize,
    /// Returns the configuration that this VM acts on.
    pub configuration: Read<Configuration>,
    /// Carries out an edit and waits until it is in force, for at most the time given.
    pub commit: Commit,
    /// Plans an intent.
    pub plan: Make,
    /// Carries out the plan of an id for the operator of a fingerprint, as an edit.
    pub confirm: Confirm,
    /// Returns the entries of the audit trail after a position.
    pub audit: Audit,
    /// Returns the workers that this VM knows.
    pub workers: Read<Vec<Worker>>,
    /// Counts the requests in flight.
    pub drain_state: basilbridge_server::drain::DrainState,
}

impl std::panic::RefUnwindSafe for App {}
