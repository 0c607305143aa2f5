//! Runs the command that the arguments name.

use std::{
    fs,
    path::Path,
    process::ExitCode,
    time::{
        Duration,
        Instant, //
    },
};

use basilbridge::client::Client;
use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Job,
    job::{
        Request,
        Status, //
    },
    unit::Resources,
};
use serde::Serialize;

use crate::{
    audit,
    clap_app::{
        Arguments,
        Command,
        Submit, //
    },
    key,
    plan,
    printer::{
        self,
        Workers, //
    },
    teams, //
};

const MIB_BYTES: u64 = 1024 * 1024;

/// The interval at which the progress of a job is printed while waiting for it.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the command that the arguments name and returns its exit code.
pub(crate) async fn run(arguments: &Arguments) -> Result<ExitCode> {
    if let Command::Plan { file } = &arguments.command {
        let operator = Client::new(arguments.operators, arguments.operator_key.clone());
        return plan::run(file, &operator, arguments).await;
    }
    run_command(arguments).await.map(|()| ExitCode::SUCCESS)
}

/// Runs a command that exits with 0 unless it fails.
async fn run_command(arguments: &Arguments) -> Result<()> {
    let caller = Client::new(arguments.callers, arguments.key.clone());
    let operator = Client::new(arguments.operators, arguments.operator_key.clone());
    let timeout = arguments.timeout;
    let json = arguments.json;
    let print_status = |status: Status| printer::print(&status, json, printer::format_status);
    match &arguments.command {
        Command::Submit(submit) => {
            let status = caller.submit(&build_request(submit), timeout).await?;
            if submit.wait && !status.state.is_final() {
                return print_status(wait(&caller, &status.id, timeout).await?);
            }
            print_status(status)
        }
        Command::Status { job } => print_status(caller.status(job).await?),
        Command::Wait { job } => print_status(wait(&caller, job, timeout).await?),
        Command::Cancel { job } => print_status(caller.cancel(job).await?),
        Command::Workers => printer::print(
            &list_workers(&operator).await?,
            json,
            printer::format_workers,
        ),
        // Handled by `run`, since it has its own exit codes.
        Command::Plan { .. } => Ok(()),
        Command::Confirm { plan } => plan::confirm(plan, &operator, arguments).await,
        Command::Teams => teams::run(&operator, arguments).await,
        Command::Key(command) => key::run(command, &operator, arguments).await,
        Command::Audit(filter) => audit::run(filter, &operator, arguments).await,
        Command::Configuration { file: None } => print_document(&operator.configuration().await?),
        Command::Configuration { file: Some(file) } => {
            print_document(&operator.replace(&read_document(file)?).await?)
        }
    }
}

/// Reads the workers and the evacuated data centres.
async fn list_workers(operator: &Client) -> Result<Workers> {
    let workers = operator.workers().await?;
    let mut evacuated = operator.data_centres().await?;
    evacuated.retain(|data_centre| data_centre.evacuated);
    Ok(Workers { workers, evacuated })
}

/// Waits until a job is in a final state and prints its progress to standard error.
///
/// # Errors
///
/// Returns [`Kind::OutcomeUnknown`] if the job is not in a final state after `timeout`.
async fn wait(caller: &Client, job: &Job, timeout: Duration) -> Result<Status> {
    let deadline = Instant::now() + timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let status = caller.wait(job, remaining.min(PROGRESS_INTERVAL)).await?;
        if status.state.is_final() {
            return Ok(status);
        }
        if remaining.is_zero() {
            let message = format!("job {job} is still {} after {timeout:?}", status.state);
            return Err(Error::new(Kind::OutcomeUnknown, message));
        }
        let finished = status.outputs.len();
        eprintln!("{job}: {}, {finished} tasks finished", status.state);
    }
}

/// Returns the request that the arguments of `submit` describe.
fn build_request(submit: &Submit) -> Request {
    Request {
        queue: submit.queue.as_str().into(),
        kind: submit.kind,
        resources: Resources {
            cpu_millis: submit.cores,
            memory_mib: submit.memory.as_u64().div_ceil(MIB_BYTES),
            accelerators: submit.accelerators,
        },
        count: submit.count,
        repeatable: !submit.once,
        idempotency_key: submit.idempotency_key.as_deref().map(Into::into),
        family: submit.family.as_deref().map(Into::into),
        run_time: submit.run_time,
        deadline: submit.deadline,
        payload: submit.payload.clone(),
    }
}

/// Reads a JSON document from a file.
fn read_document<T: serde::de::DeserializeOwned>(file: &Path) -> Result<T> {
    let malformed = |error: String| {
        let message = format!("{}: {error}", file.display());
        Error::new(Kind::Malformed, message)
    };
    let text = fs::read_to_string(file).map_err(|error| malformed(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| malformed(error.to_string()))
}

/// Prints a value as a JSON document, whether or not `--json` is given.
fn print_document<T: Serialize>(value: &T) -> Result<()> {
    printer::print(value, true, |_| String::new())
}
