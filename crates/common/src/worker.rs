//! The description of a worker, as the platform lists it and as the worker reports it.

use std::net::SocketAddr;

use basilbridge_derives::data;

use crate::{
    id::{
        Name,
        Shard, //
    },
    unit::Resources, //
};

/// The number of racks in a shard, unless the settings have another one.
pub const DEFAULT_RACKS_PER_SHARD: u32 = 8;

/// The identity, location and capacity of a worker.
#[data]
pub struct Worker {
    /// The name of the VM; a replacement VM has another name.
    pub name: Name,
    /// The address at which the worker accepts commands.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: Name,
    /// The rack, numbered from zero in its data centre.
    pub rack: u32,
    /// The resources that the worker provides to tasks.
    pub capacity: Resources,
    /// The maximum number of tasks that run at the same time.
    pub slots: u32,
    /// Whether the worker is draining before its VM is removed.
    #[serde(default)]
    pub leaving: bool,
}

impl Worker {
    /// Returns the shard that the worker belongs to.
    pub fn shard(&self, racks_per_shard: u32) -> Shard {
        Shard {
            data_centre: self.data_centre.clone(),
            number: self.rack / racks_per_shard.max(1),
        }
    }
}
