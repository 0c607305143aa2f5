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
use clap::Parser;

/// Schedules services, batch jobs and gang jobs in one cell.
///
/// Exit codes: 0 after a complete drain, 1 if the daemon could not start or drain, 2 if the
/// arguments are invalid, 78 if the settings are out of range or contradict one another.
#[derive(Debug, Parser)]
#[command(name = "basilbridged", version)]
pub(crate) struct Arguments {
    /// Run the platform and workers as stand-ins in this process.
    #[arg(long)]
    pub(crate) embedded: bool,

    /// Schedule jobs of steps on the platform that this settings file names; of the other
    /// settings only those of the log count then.
    #[arg(long, env = SETTINGS_VARIABLE, value_name = "FILE", conflicts_with = "embedded")]
    pub(crate) cell: Option<PathBuf>,

    /// The stand-in workers of an embedded run.
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

    /// Where callers reach this VM.
    #[arg(long, env = "BASILBRIDGE_CALLERS", default_value = "127.0.0.1:7400")]
    pub(crate) callers: SocketAddr,

    /// Where operators reach this VM.
    #[arg(long, env = "BASILBRIDGE_OPERATORS", default_value = "127.0.0.1:7401")]
    pub(crate) operators: SocketAddr,

    /// Where the other entry VMs reach this VM.
    #[arg(long, env = "BASILBRIDGE_PEERS", default_value = "127.0.0.1:7402")]
    pub(crate) peers: SocketAddr,

    /// Where the platform's service answers.
    #[arg(
        long,
        env = "BASILBRIDGE_PLATFORM",
        required_unless_present_any = ["embedded", "cell"],
        conflicts_with = "embedded"
    )]
    pub(crate) platform: Option<SocketAddr>,

    /// How long the platform's service may take to answer, such as 2s.
    #[arg(long, env = "BASILBRIDGE_PLATFORM_TIMEOUT", value_parser = humantime::parse_duration, default_value = "2s")]
    pub(crate) platform_timeout: Duration,

    /// How long a worker may take to answer a command, such as 2s.
    #[arg(long, env = "BASILBRIDGE_WORKER_TIMEOUT", value_parser = humantime::parse_duration, default_value = "2s")]
    pub(crate) worker_timeout: Duration,

    /// How long a task goes on without word from its owner, from 1s to 10m.
    #[arg(long, env = "BASILBRIDGE_TASK_LEASE", value_parser = humantime::parse_duration, default_value = "15s")]
    pub(crate) task_lease: Duration,

    /// How long a session lives without being renewed, from 500ms to 1m.
    #[arg(long, env = "BASILBRIDGE_SESSION_LEASE", value_parser = humantime::parse_duration, default_value = "3s")]
    pub(crate) session_lease: Duration,

    /// How often the table service is asked for changes, from 50ms to 10s.
    #[arg(long, env = "BASILBRIDGE_POLL_INTERVAL", value_parser = humantime::parse_duration, default_value = "500ms")]
    pub(crate) poll_interval: Duration,

    /// How many racks of one data centre make a shard; all VMs must agree.
    #[arg(long, env = "BASILBRIDGE_RACKS_PER_SHARD", default_value_t = 8)]
    pub(crate) racks_per_shard: u32,

    /// How long a caller that states no deadline waits, from 100ms to 10m.
    #[arg(long, env = "BASILBRIDGE_DEFAULT_WAIT", value_parser = humantime::parse_duration, default_value = "10s")]
    pub(crate) default_wait: Duration,

    /// How long requests are taken after readiness went off, from 0s to 1m.
    #[arg(long, env = "BASILBRIDGE_DRAIN_GRACE", value_parser = humantime::parse_duration, default_value = "2s")]
    pub(crate) drain_grace: Duration,

    /// How long the end of the VM takes at most, from 100ms to 1h.
    #[arg(long, env = "BASILBRIDGE_DRAIN_LIMIT", value_parser = humantime::parse_duration, default_value = "30s")]
    pub(crate) drain_limit: Duration,

    /// How many submissions, and waits apart from them, the VM works on at once.
    #[arg(long, env = "BASILBRIDGE_MAX_REQUESTS", default_value_t = 2048)]
    pub(crate) max_requests: usize,

    /// The key of the first operator, before the configuration names any.
    #[arg(long, env = "BASILBRIDGE_BOOTSTRAP_KEY", hide_env_values = true)]
    pub(crate) bootstrap_key: Option<String>,

    /// Where metrics are sent as statsd datagrams; nothing is sent without it.
    #[arg(long, env = "BASILBRIDGE_STATSD")]
    pub(crate) statsd: Option<SocketAddr>,

    /// How logs are written.
    #[arg(long, env = "BASILBRIDGE_LOG_FORMAT", value_enum, default_value_t = Format::Text)]
    pub(crate) log_format: Format,

    /// The least level that is logged.
    #[arg(long, env = "BASILBRIDGE_LOG_LEVEL", value_enum, default_value_t = Level::Info)]
    pub(crate) log_level: Level,
}
