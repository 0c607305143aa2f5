//! The operators' configuration and keys, and the HTTP interface to both.

pub mod audit;
pub mod change;
pub mod configuration;
pub mod data_centre;
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
use data_centre::DataCentre;
use plan::Plan;

type Authorize = Arc<dyn Fn(Option<&str>) -> Result<String> + Send + Sync>;
type Read<T> = Arc<dyn Fn() -> T + Send + Sync>;
type Commit = Arc<dyn Fn(Edit, Duration) -> BoxFuture<'static, Result<Accepted>> + Send + Sync>;
type CreatePlan = Arc<dyn Fn(plan::Request) -> BoxFuture<'static, Result<Plan>> + Send + Sync>;
type Confirm =
    Arc<dyn Fn(String, String, Duration) -> BoxFuture<'static, Result<Accepted>> + Send + Sync>;
type Audit = Arc<dyn Fn(Version) -> BoxFuture<'static, Result<Page>> + Send + Sync>;

/// The functions that the HTTP interface calls.
#[derive(Clone, StateData)]
pub struct App {
    /// Returns the fingerprint of an operator's key, or an error if the key is not an operator's.
    pub authorize: Authorize,
    /// Returns the configuration that is in force on this VM.
    pub configuration: Read<Configuration>,
    /// Applies an edit and waits until it is in force, for at most the given time.
    pub commit: Commit,
    /// Returns the plan that leads to an intent.
    pub plan: CreatePlan,
    /// Applies the plan with the given id as an edit.
    ///
    /// The arguments are the plan's id, the operator's fingerprint and the longest time to wait.
    pub confirm: Confirm,
    /// Returns entries of the audit trail after the given position.
    pub audit: Audit,
    /// Returns the workers that this VM knows of.
    pub workers: Read<Vec<Worker>>,
    /// Returns the data centres that this VM knows of.
    pub data_centres: Read<Vec<DataCentre>>,
    /// Counts the requests in flight.
    pub drain_state: basilbridge_server::drain::DrainState,
}

impl std::panic::RefUnwindSafe for App {}
