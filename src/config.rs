//! The settings of an entry VM.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use basilbridge_common::id::Name;
use basilbridge_operators::key::Hash;

/// The settings of an entry VM, checked.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name of the VM.
    pub name: Name,
    /// The data centre that the VM stands in.
    pub data_centre: Name,
    /// Where callers reach the VM.
    pub callers: SocketAddr,
    /// Where operators reach the VM.
    pub operators: SocketAddr,
    /// Where the other entry VMs reach the VM.
    pub peers: SocketAddr,
    /// How long a task goes on without word from its owner.
    pub task_lease: Duration,
    /// How long a session lives without being renewed.
    pub session_lease: Duration,
    /// How often the table service is asked for changes.
    pub poll_interval: Duration,
    /// How many racks of one data centre make a shard.
    pub racks_per_shard: u32,
    /// How long a caller that states no deadline waits for an answer.
    pub default_wait: Duration,
    /// How long requests are still taken after the platform's balancer was told of the end.
    pub drain_grace: Duration,
    /// How long the end of the VM takes at most, the grace included.
    pub drain_limit: Duration,
    /// The key of the first operator, before the configuration names any.
    pub bootstrap_key: Option<Hash>,
}

impl Config {
    /// Returns the settings for a VM on this machine, with ports that the system chooses.
    pub fn local(name: &str, data_centre: &str) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            callers: any,
            operators: any,
            peers: any,
            task_lease: Duration::from_secs(15),
            session_lease: Duration::from_secs(3),
            poll_interval: Duration::from_millis(500),
            racks_per_shard: basilbridge_common::worker::RACKS_PER_SHARD,
            default_wait: Duration::from_secs(10),
            drain_grace: Duration::from_secs(2),
            drain_limit: Duration::from_secs(30),
            bootstrap_key: None,
        }
    }
}
