//! The flags and environment variables of the daemon.

use std::net::SocketAddr;

use basilbridge::log::Format;
use clap::Parser;

/// Schedules services, batch work and all-at-once jobs in one cell.
#[derive(Debug, Parser)]
#[command(name = "basilbridged", version)]
pub(crate) struct Arguments {
    /// Run the platform and workers as stand-ins in this process.
    #[arg(long)]
    pub(crate) embedded: bool,

    /// The stand-in workers of an embedded run.
    #[arg(long, default_value_t = 50)]
    pub(crate) embedded_workers: u32,

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
        required_unless_present = "embedded"
    )]
    pub(crate) platform: Option<SocketAddr>,

    /// The key of the first operator, before the configuration names any.
    #[arg(long, env = "BASILBRIDGE_BOOTSTRAP_KEY", hide_env_values = true)]
    pub(crate) bootstrap_key: Option<String>,

    /// How logs are written.
    #[arg(long, env = "BASILBRIDGE_LOG_FORMAT", value_enum, default_value_t = Format::Text)]
    pub(crate) log_format: Format,
}
