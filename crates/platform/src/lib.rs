//! The client of the platform: the table service, the object store and the list of VMs.
//!
//! The platform's service is called through closures, so that the same code works with the HTTP
//! client and with an in-process stand-in. See `docs/design/platform.md`.

pub mod http;
pub mod object;
pub mod table;
pub mod vm;

use std::sync::Arc;

/// The services of the platform.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table service.
    pub tables: table::Service,
    /// The object store.
    pub objects: object::Store,
    /// Returns the list of VMs, which may be stale.
    pub vms: Arc<dyn Fn() -> futures_util::future::BoxFuture<'static, VmList> + Send + Sync>,
}

type VmList = basilbridge_common::error::Result<Vec<vm::Vm>>;
