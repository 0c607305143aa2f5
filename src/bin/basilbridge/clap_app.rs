//! The commands and arguments of the command-line client.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use basilbridge_common::{
    id::Job,
    job::Kind, //
};
use bytesize::ByteSize;
use clap::{
    Parser,
    Subcommand,
    builder::ValueParser, //
};

use crate::{
    audit,
    key, //
};

/// Submits jobs to basilbridge and operates it.
///
/// Exit codes: 0 on success, 2 if the arguments are invalid, otherwise the code of the error kind
/// as listed in `docs/ERRORS.md`.
#[derive(Debug, Parser)]
#[command(name = "basilbridge", version)]
pub(crate) struct Arguments {
    /// The address of an entry VM for callers.
    #[arg(long, env = "BASILBRIDGE_CALLERS", default_value = "127.0.0.1:7400")]
    pub(crate) callers: SocketAddr,

    /// The address of an entry VM for operators.
    #[arg(long, env = "BASILBRIDGE_OPERATORS", default_value = "127.0.0.1:7401")]
    pub(crate) operators: SocketAddr,

    /// The key of a team.
    #[arg(long, env = "BASILBRIDGE_KEY", hide_env_values = true)]
    pub(crate) key: Option<String>,

    /// The key of an operator.
    #[arg(long, env = "BASILBRIDGE_OPERATOR_KEY", hide_env_values = true)]
    pub(crate) operator_key: Option<String>,

    /// How long to wait for an answer, for example 10s.
    #[arg(long, global = true, value_parser = humantime::parse_duration, default_value = "10s")]
    pub(crate) timeout: Duration,

    /// Print JSON documents instead of tables.
    #[arg(long, global = true)]
    pub(crate) json: bool,

    /// The command to run.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The commands of the command line.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Submit a job.
    Submit(Submit),
    /// Show the status of a job.
    Status {
        /// The id of the job.
        job: Job,
    },
    /// Wait until a job is in a final state.
    Wait {
        /// The id of the job.
        job: Job,
    },
    /// Cancel a job.
    Cancel {
        /// The id of the job.
        job: Job,
    },
    /// List the workers.
    Workers,
    /// Show what an intent would change; exits with 0 for no changes and with 10 for changes.
    Plan {
        /// The file with the intent, in TOML or JSON.
        file: PathBuf,
    },
    /// Apply a plan exactly as it was shown.
    Confirm {
        /// The id of the plan, or a file with its JSON document.
        plan: String,
    },
    /// List the teams.
    Teams,
    /// Issue, withdraw or list keys.
    #[command(subcommand)]
    Key(key::Command),
    /// Show the audit trail and check its hash chain.
    Audit(audit::Filter),
    /// Show the configuration, or replace it with a JSON document.
    Configuration {
        /// The file with the new configuration.
        file: Option<PathBuf>,
    },
}

/// The arguments of `submit`.
#[derive(Debug, clap::Args)]
pub(crate) struct Submit {
    /// The queue to submit to.
    #[arg(long)]
    pub(crate) queue: String,

    /// The kind of work: interactive, service, batch or gang.
    #[arg(long, value_parser = ValueParser::new(parse_kind))]
    pub(crate) kind: Kind,

    /// The number of tasks.
    #[arg(long, default_value_t = 1)]
    pub(crate) count: u32,

    /// Processors per task, in cores, for example 2 or 0.5.
    #[arg(long, default_value = "1", value_parser = ValueParser::new(parse_cores))]
    pub(crate) cores: u64,

    /// Memory per task, for example 256MiB, rounded up to whole mebibytes.
    #[arg(long, default_value = "256MiB")]
    pub(crate) memory: ByteSize,

    /// Accelerators per task.
    #[arg(long, default_value_t = 0)]
    pub(crate) accelerators: u64,

    /// Never run a task a second time.
    #[arg(long)]
    pub(crate) once: bool,

    /// A key with which a repeated submission returns the job of the first one.
    #[arg(long)]
    pub(crate) idempotency_key: Option<String>,

    /// The family of the job; jobs of one family have similar size and run time.
    #[arg(long)]
    pub(crate) family: Option<String>,

    /// The expected run time of a task, for example 5m.
    #[arg(long, value_parser = humantime::parse_duration)]
    pub(crate) run_time: Option<Duration>,

    /// The time after which the result is no longer needed, for example 1h.
    #[arg(long, value_parser = humantime::parse_duration)]
    pub(crate) deadline: Option<Duration>,

    /// Wait until the job is in a final state.
    #[arg(long)]
    pub(crate) wait: bool,

    /// The payload that is passed to the program.
    pub(crate) payload: String,
}

/// Parses a number of cores and returns thousandths of a core.
fn parse_cores(text: &str) -> Result<u64, String> {
    const MAX_CORES: f64 = 1_000_000.0;
    let cores: f64 = text
        .parse()
        .map_err(|_| "expected a number of cores".to_owned())?;
    if !(0.001..=MAX_CORES).contains(&cores) {
        return Err(format!("expected 0.001 to {MAX_CORES} cores"));
    }
    Ok((cores * 1000.0).round() as u64)
}

/// Parses a kind of work.
fn parse_kind(text: &str) -> Result<Kind, String> {
    match text {
        "interactive" => Ok(Kind::Interactive),
        "service" => Ok(Kind::Service),
        "batch" => Ok(Kind::Batch),
        "gang" => Ok(Kind::Gang),
        _ => Err("expected interactive, service, batch or gang".to_owned()),
    }
}
