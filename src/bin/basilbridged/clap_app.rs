//! The command-line arguments and environment variables of the daemon.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use basilbridge::log::{
    Format,
    Level, //
};
use basilbridge_adapter::SETTINGS_VARIABLE;
use bytesize::ByteSize;
use clap::Parser;

/// Schedules services, batch jobs and gang jobs in one cell.
///
/// Exit codes: 0 after a complete drain, 1 if the daemon could not start or drain, 2 if the
/// arguments are invalid, 78 if the settings are out of range or contradict one another.
#[derive(Debug, Parser)]
#[command(name = "basilbridged", version)]
pub(crate) struct Arguments {
    /// Run stand-ins for the platform and the workers in this process.
    #[arg(long)]
    pub(crate) embedded: bool,

    /// Schedule jobs of several steps on the platform that this settings file names; of the other
    /// settings only `--check`, `--log-level` and `--usage-half-life` apply then.
    #[arg(long, env = SETTINGS_VARIABLE, value_name = "FILE", conflicts_with = "embedded")]
    pub(crate) cell: Option<PathBuf>,

    /// The number of stand-in workers with `--embedded`.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=3000))]
    pub(crate) embedded_workers: u32,

    /// Check the settings and exit.
    #[arg(long)]
    pub(crate) check: bool,

    /// The name of this VM.
    #[arg(long, env = "BASILBRIDGE_NAME", default_value = "entry-0")]
    pub(crate) name: String,

    /// The data centre of this VM.
    #[arg(long, env = "BASILBRIDGE_DATA_CENTRE", default_value = "local")]
    pub(crate) data_centre: String,

    /// The address of this VM for callers.
    #[arg(long, env = "BASILBRIDGE_CALLERS", default_value = "127.0.0.1:7400")]
    pub(crate) callers: SocketAddr,

    /// The address of this VM for operators.
    #[arg(long, env = "BASILBRIDGE_OPERATORS", default_value = "127.0.0.1:7401")]
    pub(crate) operators: SocketAddr,

    /// The address of this VM for the other entry VMs.
    #[arg(long, env = "BASILBRIDGE_PEERS", default_value = "127.0.0.1:7402")]
    pub(crate) peers: SocketAddr,

    /// The address of the platform's service.
    #[arg(
        long,
        env = "BASILBRIDGE_PLATFORM",
        required_unless_present_any = ["embedded", "cell"],
        conflicts_with = "embedded"
    )]
    pub(crate) platform: Option<SocketAddr>,

    /// How long the platform's service may take to answer, for example 2s.
    #[arg(long, env = "BASILBRIDGE_PLATFORM_TIMEOUT", value_parser = humantime::parse_duration, default_value = "2s")]
    pub(crate) platform_timeout: Duration,

    /// How long a worker may take to answer a command, for example 2s.
    #[arg(long, env = "BASILBRIDGE_WORKER_TIMEOUT", value_parser = humantime::parse_duration, default_value = "2s")]
    pub(crate) worker_timeout: Duration,

    /// How long a task keeps running without a renewal by its owner, from 1s to 10m.
    #[arg(long, env = "BASILBRIDGE_TASK_LEASE", value_parser = humantime::parse_duration, default_value = "15s")]
    pub(crate) task_lease: Duration,

    /// How long a session is valid without a renewal, from 500ms to 1m.
    #[arg(long, env = "BASILBRIDGE_SESSION_LEASE", value_parser = humantime::parse_duration, default_value = "3s")]
    pub(crate) session_lease: Duration,

    /// The interval at which the table service is polled for changes, from 50ms to 10s.
    #[arg(long, env = "BASILBRIDGE_POLL_INTERVAL", value_parser = humantime::parse_duration, default_value = "500ms")]
    pub(crate) poll_interval: Duration,

    /// The number of racks of one data centre in a shard, which must be the same on all VMs.
    #[arg(long, env = "BASILBRIDGE_RACKS_PER_SHARD", default_value_t = 8)]
    pub(crate) racks_per_shard: u32,

    /// How long a caller without a deadline waits for an answer, from 100ms to 10m.
    #[arg(long, env = "BASILBRIDGE_DEFAULT_WAIT", value_parser = humantime::parse_duration, default_value = "10s")]
    pub(crate) default_wait: Duration,

    /// How long requests are still accepted after the VM reports that it is not ready, from 0s to
    /// 1m.
    #[arg(long, env = "BASILBRIDGE_DRAIN_GRACE", value_parser = humantime::parse_duration, default_value = "2s")]
    pub(crate) drain_grace: Duration,

    /// The maximum duration of a drain, from 100ms to 1h.
    #[arg(long, env = "BASILBRIDGE_DRAIN_LIMIT", value_parser = humantime::parse_duration, default_value = "30s")]
    pub(crate) drain_limit: Duration,

    /// The maximum number of submissions in progress, and of callers that wait for jobs.
    #[arg(long, env = "BASILBRIDGE_MAX_REQUESTS", default_value_t = 2048)]
    pub(crate) max_requests: usize,

    /// The memory that this process may use, from 64MiB; requests of callers and operators may take a
    /// quarter of it, and their connections another.
    #[arg(long, env = "BASILBRIDGE_MEMORY_LIMIT", default_value = "2GiB")]
    pub(crate) memory_limit: ByteSize,

    /// The number of files and sockets that this process may open, from 256; connections of callers
    /// and operators may take half of what 200 files leave; without it the limit of the system.
    #[arg(long, env = "BASILBRIDGE_MAX_DESCRIPTORS")]
    pub(crate) max_descriptors: Option<usize>,

    /// The half-life of the past use of teams, which orders waiting work with `--cell`: from 1m to
    /// 30days, or 0s to ignore past use.
    #[arg(long, env = "BASILBRIDGE_USAGE_HALF_LIFE", value_parser = humantime::parse_duration, default_value = "4h")]
    pub(crate) usage_half_life: Duration,

    /// The operator key that is valid while the configuration has none.
    #[arg(long, env = "BASILBRIDGE_BOOTSTRAP_KEY", hide_env_values = true)]
    pub(crate) bootstrap_key: Option<String>,

    /// The address to which metrics are sent as statsd datagrams; without it none are sent.
    #[arg(long, env = "BASILBRIDGE_STATSD")]
    pub(crate) statsd: Option<SocketAddr>,

    /// The format of log lines.
    #[arg(long, env = "BASILBRIDGE_LOG_FORMAT", value_enum, default_value_t = Format::Text)]
    pub(crate) log_format: Format,

    /// The lowest level that is logged.
    #[arg(long, env = "BASILBRIDGE_LOG_LEVEL", value_enum, default_value_t = Level::Info)]
    pub(crate) log_level: Level,
}
