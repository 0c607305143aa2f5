//! Workers, as the platform lists them and as they describe themselves.

use std::net::SocketAddr;

use basilbridge_derives::data;

use crate::{
    id::{
        Name,
        Shard, //
    },
    unit::Resources, //
};

/// How many racks of one data centre make a shard, where the settings say nothing else.
pub const DEFAULT_RACKS_PER_SHARD: u32 = 8;

/// What a worker is and can take.
#[data]
pub struct Worker {
    /// The name of the VM, which a replacement does not take over.
    pub name: Name,
    /// Where the worker answers.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: Name,
    /// The rack, numbered from zero in its data centre.
    pub rack: u32,
    /// What the worker can give to tasks.
    pub capacity: Resources,
    /// How many tasks the worker runs at once.
    pub slots: u32,
    /// Whether the worker is about to leave.
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
