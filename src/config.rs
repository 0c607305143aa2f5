//! The settings of an entry VM.

use std::{
    fmt::Display,
    net::SocketAddr,
    ops::RangeInclusive,
    time::Duration, //
};

use basilbridge_common::id::Name;
use basilbridge_operators::key::Hash;
use miette::Diagnostic;
use thiserror::Error;

/// The settings of an entry VM.
#[derive(Debug, Clone)]
pub struct NodeConfig {
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
    /// How many submissions the VM works on at once, and how many callers may wait for jobs.
    pub max_requests: usize,
    /// The key of the first operator, before the configuration names any.
    pub bootstrap_key: Option<Hash>,
}

/// A setting that is out of its range or contradicts another.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("{flag} is `{value}`")]
#[diagnostic(help("{allowed}"))]
pub struct InvalidSetting {
    /// The flag.
    pub flag: &'static str,
    /// The value given.
    pub value: String,
    /// What is allowed, in a sentence.
    pub allowed: String,
}

/// All faults of the settings, so that they can be mended at once.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("{} of the settings can't be used", settings.len())]
#[diagnostic(code(basilbridge::settings))]
pub struct InvalidSettings {
    /// The faults, in the order of the flags.
    #[related]
    pub settings: Vec<InvalidSetting>,
}

/// The shortest and the longest lease of a task.
pub const TASK_LEASE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(600);

/// The shortest and the longest lease of a session.
pub const SESSION_LEASE: RangeInclusive<Duration> =
    Duration::from_millis(500)..=Duration::from_secs(60);

/// The shortest and the longest time between two polls.
pub const POLL_INTERVAL: RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_secs(10);

/// The shortest and the longest wait of a caller that states no deadline.
pub const DEFAULT_WAIT: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(600);

/// The shortest and the longest time in which the balancer sees that a VM ends.
pub const DRAIN_GRACE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(60);

/// The shortest and the longest time that the end of a VM takes at most.
pub const DRAIN_LIMIT: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(3600);

/// The fewest and the most requests that a VM works on at once.
pub const MAX_REQUESTS: RangeInclusive<usize> = 2..=100_000;

/// The fewest and the most racks of a shard.
pub const RACKS_PER_SHARD: RangeInclusive<u32> = 1..=1000;

/// A session lease holds at least so many polls, so that one lost write ends no session.
pub const POLLS_PER_SESSION_LEASE: u32 = 3;

const MAX_NAME_BYTES: usize = 63;

impl NodeConfig {
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
            racks_per_shard: basilbridge_common::worker::DEFAULT_RACKS_PER_SHARD,
            default_wait: Duration::from_secs(10),
            drain_grace: Duration::from_secs(2),
            drain_limit: Duration::from_secs(30),
            max_requests: 2048,
            bootstrap_key: None,
        }
    }

    /// Checks all settings and returns every fault.
    pub fn check(&self) -> Result<(), InvalidSettings> {
        let mut faults = Vec::new();
        faults.extend(check_name("--name", &self.name));
        faults.extend(check_name("--data-centre", &self.data_centre));
        faults.extend(self.check_ports());
        faults.extend(check_time("--task-lease", self.task_lease, &TASK_LEASE));
        faults.extend(check_time(
            "--session-lease",
            self.session_lease,
            &SESSION_LEASE,
        ));
        faults.extend(check_time(
            "--poll-interval",
            self.poll_interval,
            &POLL_INTERVAL,
        ));
        faults.extend(self.check_polls());
        faults.extend(self.check_leases());
        faults.extend(check_range(
            "--racks-per-shard",
            self.racks_per_shard,
            &RACKS_PER_SHARD,
        ));
        faults.extend(check_time(
            "--default-wait",
            self.default_wait,
            &DEFAULT_WAIT,
        ));
        faults.extend(check_time("--drain-grace", self.drain_grace, &DRAIN_GRACE));
        faults.extend(check_time("--drain-limit", self.drain_limit, &DRAIN_LIMIT));
        faults.extend(check_range(
            "--max-requests",
            self.max_requests,
            &MAX_REQUESTS,
        ));
        if faults.is_empty() {
            Ok(())
        } else {
            Err(InvalidSettings { settings: faults })
        }
    }

    fn check_ports(&self) -> Option<InvalidSetting> {
        let same = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
        let clash = same(self.callers, self.operators)
            || same(self.callers, self.peers)
            || same(self.operators, self.peers);
        clash.then(|| InvalidSetting {
            flag: "--callers, --operators, --peers",
            value: format!("{}, {}, {}", self.callers, self.operators, self.peers),
            allowed: "the three addresses must differ".to_owned(),
        })
    }

    fn check_polls(&self) -> Option<InvalidSetting> {
        let least = self.poll_interval * POLLS_PER_SESSION_LEASE;
        (self.session_lease < least).then(|| InvalidSetting {
            flag: "--session-lease",
            value: show(self.session_lease),
            allowed: format!(
                "it must hold {POLLS_PER_SESSION_LEASE} polls, so at least {} with --poll-interval {}",
                show(least),
                show(self.poll_interval)
            ),
        })
    }

    fn check_leases(&self) -> Option<InvalidSetting> {
        (self.task_lease <= self.session_lease).then(|| InvalidSetting {
            flag: "--task-lease",
            value: show(self.task_lease),
            allowed: format!(
                "it must be longer than --session-lease {}, or tasks stop before a new owner comes",
                show(self.session_lease)
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
            "1 to {MAX_NAME_BYTES} letters, digits{dashes} and underscores are allowed"
        ),
    })
}

fn check_time(
    flag: &'static str,
    value: Duration,
    allowed: &RangeInclusive<Duration>,
) -> Option<InvalidSetting> {
    (!allowed.contains(&value)).then(|| InvalidSetting {
        flag,
        value: show(value),
        allowed: format!(
            "{} to {} is allowed",
            show(*allowed.start()),
            show(*allowed.end())
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
        allowed: format!("{} to {} is allowed", allowed.start(), allowed.end()),
    })
}

fn show(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}
