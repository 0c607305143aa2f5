//! The client of the platform: the table service, the object store and the VM list.
//!
//! The platform's service is reached through closures, so that the HTTP client and an in-process
//! stand-in serve the same code. See `docs/design/platform.md`.

pub mod http;
pub mod object;
pub mod table;
pub mod vm;

use std::sync::Arc;

/// All that the platform gives.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table service.
    pub tables: table::Service,
    /// The object store.
    pub objects: object::Store,
    /// The lagging list of VMs.
    pub vms: Arc<dyn Fn() -> futures_util::future::BoxFuture<'static, Vms> + Send + Sync>,
}

type Vms = basilbridge_common::error::Result<Vec<vm::Vm>>;
