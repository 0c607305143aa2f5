//! The commands and flags of the command line.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use basilbridge_common::{
    id::Job,
    job::Kind, //
};
use clap::{
    Parser,
    Subcommand,
    builder::ValueParser, //
};

/// Submits work to basilbridge and operates it.
#[derive(Debug, Parser)]
#[command(name = "basilbridge", version)]
pub(crate) struct Arguments {
    /// Where an entry VM takes callers.
    #[arg(long, env = "BASILBRIDGE_CALLERS", default_value = "127.0.0.1:7400")]
    pub(crate) callers: SocketAddr,

    /// Where an entry VM takes operators.
    #[arg(long, env = "BASILBRIDGE_OPERATORS", default_value = "127.0.0.1:7401")]
    pub(crate) operators: SocketAddr,

    /// The key of a team.
    #[arg(long, env = "BASILBRIDGE_KEY", hide_env_values = true)]
    pub(crate) key: Option<String>,

    /// The key of an operator.
    #[arg(long, env = "BASILBRIDGE_OPERATOR_KEY", hide_env_values = true)]
    pub(crate) operator_key: Option<String>,

    /// How long to wait for an answer, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub(crate) timeout_ms: u64,

    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run work.
    Submit(Submit),
    /// Tell where a job stands.
    Status {
        /// The job.
        job: Job,
    },
    /// Wait until a job changes no more.
    Wait {
        /// The job.
        job: Job,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: Job,
    },
    /// List the workers.
    Workers,
    /// Show the configuration, or replace it by a JSON document.
    Configuration {
        /// The document.
        file: Option<PathBuf>,
    },
}

/// The work to run.
#[derive(Debug, clap::Args)]
pub(crate) struct Submit {
    /// The queue.
    #[arg(long)]
    pub(crate) queue: String,

    /// The kind of work.
    #[arg(long, value_parser = ValueParser::new(kind))]
    pub(crate) kind: Kind,

    /// How many tasks.
    #[arg(long, default_value_t = 1)]
    pub(crate) count: u32,

    /// Processor time of a task, in thousandths of a core.
    #[arg(long, default_value_t = 1000)]
    pub(crate) cpu_millis: u64,

    /// Memory of a task, in mebibytes.
    #[arg(long, default_value_t = 256)]
    pub(crate) memory_mib: u64,

    /// Accelerators of a task.
    #[arg(long, default_value_t = 0)]
    pub(crate) accelerators: u64,

    /// Never run the work a second time.
    #[arg(long)]
    pub(crate) once: bool,

    /// Makes a repeated submission return the first one's job.
    #[arg(long)]
    pub(crate) idempotency_key: Option<String>,

    /// What the program gets.
    pub(crate) payload: String,
}

fn kind(text: &str) -> Result<Kind, String> {
    match text {
        "interactive" => Ok(Kind::Interactive),
        "service" => Ok(Kind::Service),
        "batch" => Ok(Kind::Batch),
        "gang" => Ok(Kind::Gang),
        _ => Err("use interactive, service, batch or gang".to_owned()),
    }
}
