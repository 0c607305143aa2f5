//! The platform's lagging list of VMs.

use std::net::SocketAddr;

use basilbridge_common::{
    id::Name,
    worker::Worker, //
};
use basilbridge_derives::data;

/// A VM on the list.
#[data]
pub enum Vm {
    /// A VM of the system's own.
    Entry(Entry),
    /// A VM that runs tasks.
    Worker(Worker),
}

/// An entry VM on the list.
#[data]
pub struct Entry {
    /// The name of the VM.
    pub name: Name,
    /// Where the other entry VMs reach it.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: Name,
    /// Whether the VM is about to leave.
    #[serde(default)]
    pub leaving: bool,
}
