//! What one entry VM of a cell goes by.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Name,
};

/// The settings of an entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeConfig {
    /// The name of this VM.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the platform asks whether it takes calls.
    pub ready: SocketAddr,
    /// Where the other entry VMs reach it.
    pub peers: SocketAddr,
    /// Where its metrics are served.
    pub metrics: Option<SocketAddr>,
    /// The longest lease that workers grant.
    pub max_lease: Duration,
    /// For how long a job that is over is known.
    pub retention: Duration,
    /// How long the end of the VM may take.
    pub drain_limit: Duration,
    /// The processor time of the VM in thousandths of a core; zero where it is not known.
    pub cpu_millis: u32,
}

impl NodeConfig {
    /// The shortest lease with which a takeover loses no task: noticing a silent owner, claiming
    /// and looking at each worker take about 2.5 s together.
    pub const MIN_LEASE: Duration = Duration::from_secs(3);

    /// Checks that the settings can be used together.
    pub fn check(&self) -> Result<()> {
        let fault = |message: String| Err(Error::new(Kind::Malformed, message));
        if self.name.is_empty() {
            return fault("the name is empty".to_owned());
        }
        if self.max_lease < Self::MIN_LEASE {
            return fault(format!(
                "the longest lease of {:?} is below {:?}",
                self.max_lease,
                Self::MIN_LEASE
            ));
        }
        if self.drain_limit < Duration::from_secs(1) {
            return fault(format!("{:?} to drain is below 1 s", self.drain_limit));
        }
        let addresses = [self.callers, self.ready, self.peers];
        let twice =
            (1..addresses.len()).any(|index| addresses[..index].contains(&addresses[index]));
        if twice {
            return fault("two addresses are the same".to_owned());
        }
        Ok(())
    }

    /// Returns the lease that the owner gives: long enough to outlive a takeover, with a second to
    /// spare below what workers grant.
    pub fn lease(&self) -> Duration {
        (self.max_lease - Duration::from_millis(500)).max(Self::MIN_LEASE)
    }
}
