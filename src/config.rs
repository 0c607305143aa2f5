//! The settings of an entry VM.

use std::{
    fmt::Display,
    net::SocketAddr,
    ops::RangeInclusive,
    time::Duration, //
};

use basilbridge_cell::config::NodeConfig as CellConfig;
use basilbridge_common::id::Name;
use basilbridge_operators::key::Hash;
use basilbridge_server::share::Share;
use bytesize::ByteSize;
use miette::Diagnostic;
use thiserror::Error;

/// The settings of an entry VM, which stay the same while its process runs.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// The name of the VM.
    pub name: Name,
    /// The data centre of the VM.
    pub data_centre: Name,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for the other entry VMs.
    pub peers: SocketAddr,
    /// How long a task keeps running without a renewal by its owner.
    pub task_lease: Duration,
    /// How long a session is valid without a renewal.
    pub session_lease: Duration,
    /// The interval at which the table service is polled for changes.
    pub poll_interval: Duration,
    /// The number of racks of one data centre in a shard.
    pub racks_per_shard: u32,
    /// How long a caller without a deadline waits for an answer.
    pub default_wait: Duration,
    /// How long requests are still accepted after the platform's load balancer was told to stop
    /// sending them.
    pub drain_grace: Duration,
    /// The maximum duration of a drain, including `drain_grace`.
    pub drain_limit: Duration,
    /// The maximum number of submissions in progress, and of callers that wait for jobs.
    pub max_requests: usize,
    /// The memory that the process may use, of which callers and operators may take a part.
    pub memory_limit: ByteSize,
    /// The descriptors that the process may open, of which callers and operators may take a part.
    pub max_descriptors: usize,
    /// The half-life of the past use of teams; zero turns it off. Only cells use it; it is checked
    /// here like all settings.
    pub usage_half_life: Duration,
    /// The operator key that is valid while the configuration has none.
    pub bootstrap_key: Option<Hash>,
}

/// A setting that is out of range or contradicts another.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("{flag} is `{value}`")]
#[diagnostic(help("{allowed}"))]
pub struct InvalidSetting {
    /// The flag, or several separated by commas.
    pub flag: &'static str,
    /// The value.
    pub value: String,
    /// The values that are allowed, as a sentence.
    pub allowed: String,
}

/// All invalid settings, so that they can be corrected at once.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("invalid settings: {}", settings.len())]
#[diagnostic(code(basilbridge::settings))]
pub struct InvalidSettings {
    /// The invalid settings, in the order of the flags.
    #[related]
    pub settings: Vec<InvalidSetting>,
}

/// The range of [`NodeConfig::task_lease`].
pub const TASK_LEASE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(600);

/// The range of [`NodeConfig::session_lease`].
pub const SESSION_LEASE: RangeInclusive<Duration> =
    Duration::from_millis(500)..=Duration::from_secs(60);

/// The range of [`NodeConfig::poll_interval`].
pub const POLL_INTERVAL: RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_secs(10);

/// The range of [`NodeConfig::default_wait`].
pub const DEFAULT_WAIT: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(600);

/// The range of [`NodeConfig::drain_grace`], in which the load balancer notices that a VM drains.
pub const DRAIN_GRACE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(60);

/// The range of [`NodeConfig::drain_limit`].
pub const DRAIN_LIMIT: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(3600);

/// The range of [`NodeConfig::max_requests`].
pub const MAX_REQUESTS: RangeInclusive<usize> = 2..=100_000;

/// The range of [`NodeConfig::memory_limit`].
pub const MEMORY_LIMIT: RangeInclusive<ByteSize> = ByteSize::mib(64)..=ByteSize::tib(16);

/// The default of [`NodeConfig::memory_limit`].
pub const DEFAULT_MEMORY_LIMIT: ByteSize = ByteSize::gib(2);

/// The range of [`NodeConfig::max_descriptors`].
pub const MAX_DESCRIPTORS: RangeInclusive<usize> = 256..=1_000_000;

/// The value of [`NodeConfig::max_descriptors`] where the limit of the system is not asked for.
pub const DEFAULT_MAX_DESCRIPTORS: usize = 16_384;

/// The range of [`NodeConfig::racks_per_shard`].
pub const RACKS_PER_SHARD: RangeInclusive<u32> = 1..=1000;

/// The minimum number of poll intervals in a session lease, so that one lost write ends no session.
pub const MIN_POLLS_PER_SESSION_LEASE: u32 = 3;

const MAX_NAME_BYTES: usize = 63;

impl NodeConfig {
    /// Returns the settings of a VM that listens on this machine, on ports that the system chooses.
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
            racks_per_shard: basilbridge_common::worker::DEFAULT_RACKS_PER_SHARD,
            default_wait: Duration::from_secs(10),
            drain_grace: Duration::from_secs(2),
            drain_limit: Duration::from_secs(30),
            max_requests: 2048,
            memory_limit: DEFAULT_MEMORY_LIMIT,
            max_descriptors: DEFAULT_MAX_DESCRIPTORS,
            usage_half_life: CellConfig::DEFAULT_USAGE_HALF_LIFE,
            bootstrap_key: None,
        }
    }

    /// Returns what callers and operators may take of the memory and the descriptors together.
    pub fn client_share(&self) -> Share {
        Share::of(self.memory_limit.as_u64(), self.max_descriptors)
    }

    /// Checks that the settings are valid and consistent; the error lists all that are not.
    pub fn check(&self) -> Result<(), InvalidSettings> {
        let mut invalid = Vec::new();
        invalid.extend(check_name("--name", &self.name));
        invalid.extend(check_name("--data-centre", &self.data_centre));
        invalid.extend(self.check_addresses());
        invalid.extend(check_duration("--task-lease", self.task_lease, &TASK_LEASE));
        invalid.extend(check_duration(
            "--session-lease",
            self.session_lease,
            &SESSION_LEASE,
        ));
        invalid.extend(check_duration(
            "--poll-interval",
            self.poll_interval,
            &POLL_INTERVAL,
        ));
        invalid.extend(self.check_session_lease());
        invalid.extend(self.check_task_lease());
        invalid.extend(check_range(
            "--racks-per-shard",
            self.racks_per_shard,
            &RACKS_PER_SHARD,
        ));
        invalid.extend(check_duration(
            "--default-wait",
            self.default_wait,
            &DEFAULT_WAIT,
        ));
        invalid.extend(check_duration(
            "--drain-grace",
            self.drain_grace,
            &DRAIN_GRACE,
        ));
        invalid.extend(check_duration(
            "--drain-limit",
            self.drain_limit,
            &DRAIN_LIMIT,
        ));
        invalid.extend(check_range(
            "--max-requests",
            self.max_requests,
            &MAX_REQUESTS,
        ));
        invalid.extend(check_range(
            "--memory-limit",
            self.memory_limit,
            &MEMORY_LIMIT,
        ));
        invalid.extend(check_range(
            "--max-descriptors",
            self.max_descriptors,
            &MAX_DESCRIPTORS,
        ));
        if !self.usage_half_life.is_zero() {
            invalid.extend(check_duration(
                "--usage-half-life",
                self.usage_half_life,
                &CellConfig::USAGE_HALF_LIFE,
            ));
        }
        if invalid.is_empty() {
            Ok(())
        } else {
            Err(InvalidSettings { settings: invalid })
        }
    }

    /// Returns an error if two addresses with a fixed port are the same.
    fn check_addresses(&self) -> Option<InvalidSetting> {
        let same = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
        let has_duplicate = same(self.callers, self.operators)
            || same(self.callers, self.peers)
            || same(self.operators, self.peers);
        has_duplicate.then(|| InvalidSetting {
            flag: "--callers, --operators, --peers",
            value: format!("{}, {}, {}", self.callers, self.operators, self.peers),
            allowed: "the three addresses must differ".to_owned(),
        })
    }

    /// Returns an error if the session lease is too short for its polls.
    fn check_session_lease(&self) -> Option<InvalidSetting> {
        let min_lease = self.poll_interval * MIN_POLLS_PER_SESSION_LEASE;
        (self.session_lease < min_lease).then(|| InvalidSetting {
            flag: "--session-lease",
            value: format_duration(self.session_lease),
            allowed: format!(
                "it must span {MIN_POLLS_PER_SESSION_LEASE} polls: at least {} with --poll-interval {}",
                format_duration(min_lease),
                format_duration(self.poll_interval)
            ),
        })
    }

    /// Returns an error if the task lease is not longer than the session lease.
    fn check_task_lease(&self) -> Option<InvalidSetting> {
        (self.task_lease <= self.session_lease).then(|| InvalidSetting {
            flag: "--task-lease",
            value: format_duration(self.task_lease),
            allowed: format!(
                "it must be longer than --session-lease {}, or tasks stop before a new owner renews them",
                format_duration(self.session_lease)
            ),
        })
    }
}

fn check_name(flag: &'static str, name: &Name) -> Option<InvalidSetting> {
    let valid = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || c == '_' || (c == '-' && flag == "--name"));
    let dashes = if flag == "--name" { ", dashes" } else { "" };
    (!valid).then(|| InvalidSetting {
        flag,
        value: name.to_string(),
        allowed: format!(
            "it must be 1 to {MAX_NAME_BYTES} ASCII letters, digits{dashes} and underscores"
        ),
    })
}

fn check_duration(
    flag: &'static str,
    value: Duration,
    allowed: &RangeInclusive<Duration>,
) -> Option<InvalidSetting> {
    (!allowed.contains(&value)).then(|| InvalidSetting {
        flag,
        value: format_duration(value),
        allowed: format!(
            "it must be from {} to {}",
            format_duration(*allowed.start()),
            format_duration(*allowed.end())
        ),
    })
}

fn check_range<T: PartialOrd + Display>(
    flag: &'static str,
    value: T,
    allowed: &RangeInclusive<T>,
) -> Option<InvalidSetting> {
    (!allowed.contains(&value)).then(|| InvalidSetting {
        flag,
        value: value.to_string(),
        allowed: format!("it must be from {} to {}", allowed.start(), allowed.end()),
    })
}

fn format_duration(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}
