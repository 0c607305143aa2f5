//! The commands and flags of the command line.

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

/// Submits work to basilbridge and operates it.
///
/// Exit codes: 0 if the answer is a success, 2 if the command can't be read, else the code of the
/// error's kind as `docs/ERRORS.md` lists them.
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

    /// How long to wait for an answer, such as 10s.
    #[arg(long, global = true, value_parser = humantime::parse_duration, default_value = "10s")]
    pub(crate) timeout: Duration,

    /// Print JSON documents in place of tables.
    #[arg(long, global = true)]
    pub(crate) json: bool,

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
    /// Show what an intent would change; exits with 0 for nothing to do and 10 for changes.
    Plan {
        /// The intent, in TOML or JSON.
        file: PathBuf,
    },
    /// Carry out a plan exactly as it was shown.
    Confirm {
        /// The id of the plan, or a file with its JSON document.
        plan: String,
    },
    /// List the teams.
    Teams,
    /// Give, withdraw or list keys.
    #[command(subcommand)]
    Key(key::Command),
    /// Show the audit trail and check its chain.
    Audit(audit::Filter),
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

    /// Processors of a task, in cores such as 2 or 0.5.
    #[arg(long, default_value = "1", value_parser = ValueParser::new(cores))]
    pub(crate) cores: u64,

    /// Memory of a task, such as 256MiB; it is rounded up to whole mebibytes.
    #[arg(long, default_value = "256MiB")]
    pub(crate) memory: ByteSize,

    /// Accelerators of a task.
    #[arg(long, default_value_t = 0)]
    pub(crate) accelerators: u64,

    /// Never run the work a second time.
    #[arg(long)]
    pub(crate) once: bool,

    /// Makes a repeated submission return the first one's job.
    #[arg(long)]
    pub(crate) idempotency_key: Option<String>,

    /// Jobs of one family are alike in size and run time.
    #[arg(long)]
    pub(crate) family: Option<String>,

    /// The expected run time of a task, such as 5m.
    #[arg(long, value_parser = humantime::parse_duration)]
    pub(crate) run_time: Option<Duration>,

    /// The time after which the work has no more use, such as 1h.
    #[arg(long, value_parser = humantime::parse_duration)]
    pub(crate) deadline: Option<Duration>,

    /// Wait until the job changes no more.
    #[arg(long)]
    pub(crate) wait: bool,

    /// What the program gets.
    pub(crate) payload: String,
}

/// Reads a count of cores as thousandths of a core.
fn cores(text: &str) -> Result<u64, String> {
    const MOST_CORES: f64 = 1_000_000.0;
    let cores: f64 = text
        .parse()
        .map_err(|_| "use a number of cores".to_owned())?;
    if !(0.001..=MOST_CORES).contains(&cores) {
        return Err(format!("use 0.001 to {MOST_CORES} cores"));
    }
    Ok((cores * 1000.0).round() as u64)
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
