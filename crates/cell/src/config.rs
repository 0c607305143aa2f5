//! The settings of an entry VM.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
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
use basilbridge_server::share::Share;
use basilbridge_workflow::{
    budget::Budget,
    capacity, //
};

/// The settings of an entry VM, which stay the same while its process runs.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeConfig {
    /// The name of this VM.
    pub name: Name,
    /// The data centre of this VM.
    pub data_centre: Name,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address on which the platform checks readiness.
    pub ready: SocketAddr,
    /// The address for the other entry VMs.
    pub peers: SocketAddr,
    /// The address on which metrics are served; `None` turns them off.
    pub metrics: Option<SocketAddr>,
    /// The longest lease that workers grant.
    pub max_lease: Duration,
    /// The time after the request to evacuate a data centre from which no task may start there;
    /// `None` if none can be requested.
    pub evacuation_limit: Option<Duration>,
    /// How long the capacity of a worker may be relied on that does not guard it; `None` if
    /// capacities do not change.
    pub capacity: Option<capacity::Bounds>,
    /// How long the state of a finished job is kept.
    pub retention: Duration,
    /// How long draining may take before the process ends, at least 1 s.
    pub drain_limit: Duration,
    /// The processor time of the VM in thousandths of a core; zero if unknown.
    pub cpu_millis: u32,
    /// The bandwidth of the VM's link in bytes per second, in each direction; zero if unknown.
    pub link_bytes_per_second: u64,
    /// The memory that the process may use, in bytes; zero if unknown.
    pub memory_bytes: u64,
    /// The descriptors that the process may open; zero if unknown.
    pub max_descriptors: usize,
    /// The size of a row of the store in base64, in bytes.
    pub row_bytes: usize,
    /// The half-life of the past use of teams; zero turns it off.
    pub usage_half_life: Duration,
}

impl NodeConfig {
    /// The size of a row of a store whose settings don't name it, in bytes.
    pub const DEFAULT_ROW_BYTES: usize = 64 * 1024;

    /// The memory of a VM whose settings don't name it, in bytes.
    const DEFAULT_MEMORY_BYTES: u64 = 256_000_000;

    /// The descriptors of a VM whose settings don't name them.
    const DEFAULT_DESCRIPTORS: usize = 4096;

    /// The shortest lease with which a takeover loses no task: detecting a failed owner, claiming
    /// ownership and polling each worker take about 2.5 s together.
    pub const MIN_LEASE: Duration = Duration::from_secs(3);

    /// The default of [`NodeConfig::usage_half_life`]: the operators speak of teams that use far more
    /// over hours.
    pub const DEFAULT_USAGE_HALF_LIFE: Duration = Duration::from_secs(4 * 3600);

    /// The range of [`NodeConfig::usage_half_life`] unless it is zero. Below a minute it would
    /// measure current usage; a month is longer than any entitlement is planned for.
    pub const USAGE_HALF_LIFE: RangeInclusive<Duration> =
        Duration::from_secs(60)..=Duration::from_secs(30 * 24 * 3600);

    /// Checks that the settings are valid and consistent; the error names the first that is not.
    pub fn check(&self) -> Result<()> {
        let invalid = |message: String| Err(Error::new(Kind::Malformed, message));
        if self.name.is_empty() {
            return invalid("the VM name is empty".to_owned());
        }
        if self.max_lease < Self::MIN_LEASE {
            return invalid(format!(
                "the longest lease {:?} is shorter than the minimum of {:?}",
                self.max_lease,
                Self::MIN_LEASE
            ));
        }
        if self.drain_limit < Duration::from_secs(1) {
            return invalid(format!(
                "the drain limit {:?} is shorter than 1 s",
                self.drain_limit
            ));
        }
        if !self.usage_half_life.is_zero() && !Self::USAGE_HALF_LIFE.contains(&self.usage_half_life)
        {
            return invalid(format!(
                "the usage half-life {:?} is not zero and not from {:?} to {:?}",
                self.usage_half_life,
                Self::USAGE_HALF_LIFE.start(),
                Self::USAGE_HALF_LIFE.end()
            ));
        }
        let addresses = [self.callers, self.ready, self.peers];
        let has_duplicate =
            (1..addresses.len()).any(|index| addresses[..index].contains(&addresses[index]));
        if has_duplicate {
            return invalid("two listen addresses are the same".to_owned());
        }
        Ok(())
    }

    /// Returns the memory that the process may use, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        match self.memory_bytes {
            0 => Self::DEFAULT_MEMORY_BYTES,
            bytes => bytes,
        }
    }

    /// Returns what the callers of the VM may take of its memory and its descriptors together.
    pub fn client_share(&self) -> Share {
        let descriptors = match self.max_descriptors {
            0 => Self::DEFAULT_DESCRIPTORS,
            descriptors => descriptors,
        };
        Share::of(self.memory_bytes(), descriptors)
    }

    /// Returns how many bytes of text a row of the store takes.
    pub fn max_row_bytes(&self) -> usize {
        self.row_bytes / 4 * 3
    }

    /// Returns the budget of the VM's link and processor.
    pub fn budget(&self) -> Budget {
        Budget {
            link_bytes_per_second: self.link_bytes_per_second,
            cpu_millis: self.cpu_millis,
        }
    }

    /// The longest lease that the owner requests. A worker may end without a word, and a long-running
    /// task is to run again 6 s later, by a clock that is 2 % slow and with the time to start it.
    pub const LONGEST_LEASE: Duration = Duration::from_millis(5500);

    /// Returns the lease that the owner requests: half a second below the longest that workers
    /// grant, but never less than a takeover needs nor more than [`Self::LONGEST_LEASE`].
    pub fn lease(&self) -> Duration {
        let granted = self.max_lease.saturating_sub(Duration::from_millis(500));
        granted.clamp(Self::MIN_LEASE, Self::LONGEST_LEASE)
    }
}
