//! The platform's list of VMs, which may be stale.

use std::net::SocketAddr;

use basilbridge_common::{
    id::Name,
    worker::Worker, //
};
use basilbridge_derives::data;

/// A VM on the list.
#[data]
pub enum Vm {
    /// A VM that accepts requests and owns shards.
    Entry(Entry),
    /// A VM that runs tasks.
    Worker(Worker),
}

/// An entry VM on the list.
#[data]
pub struct Entry {
    /// The name of the VM.
    pub name: Name,
    /// The address at which the other entry VMs reach it.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: Name,
    /// Whether the VM is draining before it is removed.
    #[serde(default)]
    pub leaving: bool,
}
