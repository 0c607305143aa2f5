//! What operators say: the configuration, its keys, and the HTTP interface to both.

pub mod configuration;
pub mod key;
pub mod route;

use std::sync::Arc;

use basilbridge_common::{
    error::Result,
    worker::Worker, //
};
use futures_util::future::BoxFuture;
use gotham::state::StateData;

use configuration::Configuration;

type Authorize = Arc<dyn Fn(Option<&str>) -> Result<()> + Send + Sync>;
type Read<T> = Arc<dyn Fn() -> T + Send + Sync>;
type Replace =
    Arc<dyn Fn(Configuration) -> BoxFuture<'static, Result<Configuration>> + Send + Sync>;

/// What stands behind the interface.
#[derive(Clone, StateData)]
pub struct App {
    /// Says whether a key is an operator's.
    pub authorize: Authorize,
    /// Returns the configuration that this VM acts on.
    pub configuration: Read<Configuration>,
    /// Replaces the configuration if it still has the version given.
    pub replace: Replace,
    /// Returns the workers that this VM knows.
    pub workers: Read<Vec<Worker>>,
    /// Counts the requests in flight.
    pub gate: basilbridge_server::gate::Gate,
}

impl std::panic::RefUnwindSafe for App {}
