//! Carries out a command.

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
    printer,
    teams, //
};

const MIB_BYTES: u64 = 1024 * 1024;

/// How often a long wait tells how far the job has come.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Carries out the command that the arguments name.
pub(crate) async fn run(arguments: &Arguments) -> Result<ExitCode> {
    if let Command::Plan { file } = &arguments.command {
        let operator = Client::new(arguments.operators, arguments.operator_key.clone());
        return plan::run(file, &operator, arguments).await;
    }
    command(arguments).await.map(|()| ExitCode::SUCCESS)
}

async fn command(arguments: &Arguments) -> Result<()> {
    let caller = Client::new(arguments.callers, arguments.key.clone());
    let operator = Client::new(arguments.operators, arguments.operator_key.clone());
    let timeout = arguments.timeout;
    let json = arguments.json;
    let show = |status: Status| printer::print(&status, json, printer::status);
    match &arguments.command {
        Command::Submit(submit) => {
            let status = caller.submit(&request(submit), timeout).await?;
            if submit.wait && !status.state.is_final() {
                return show(wait(&caller, &status.id, timeout).await?);
            }
            show(status)
        }
        Command::Status { job } => show(caller.status(job).await?),
        Command::Wait { job } => show(wait(&caller, job, timeout).await?),
        Command::Cancel { job } => show(caller.cancel(job).await?),
        Command::Workers => printer::print(&*operator.workers().await?, json, printer::workers),
        // It has an exit code of its own.
        Command::Plan { .. } => Ok(()),
        Command::Confirm { plan } => plan::confirm(plan, &operator, arguments).await,
        Command::Teams => teams::run(&operator, arguments).await,
        Command::Key(command) => key::run(command, &operator, arguments).await,
        Command::Audit(filter) => audit::run(filter, &operator, arguments).await,
        Command::Configuration { file: None } => document(&operator.configuration().await?),
        Command::Configuration { file: Some(file) } => {
            document(&operator.replace(&read(file)?).await?)
        }
    }
}

/// Waits for a job, and says each while how far it has come.
async fn wait(caller: &Client, job: &Job, timeout: Duration) -> Result<Status> {
    let deadline = Instant::now() + timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let status = caller.wait(job, remaining.min(PROGRESS_INTERVAL)).await?;
        if status.state.is_final() {
            return Ok(status);
        }
        if remaining.is_zero() {
            let message = format!(
                "job {job} is {}, not ended, after {timeout:?}",
                status.state
            );
            return Err(Error::new(Kind::OutcomeUnknown, message));
        }
        let ended = status.outputs.len();
        eprintln!("{job}: {}, {ended} tasks ended", status.state);
    }
}

fn request(submit: &Submit) -> Request {
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

fn read<T: serde::de::DeserializeOwned>(file: &Path) -> Result<T> {
    let malformed = |error: String| {
        let message = format!("{}: {error}", file.display());
        Error::new(Kind::Malformed, message)
    };
    let text = fs::read_to_string(file).map_err(|error| malformed(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| malformed(error.to_string()))
}

/// Prints a value that has no shorter form than its document.
fn document<T: Serialize>(value: &T) -> Result<()> {
    printer::print(value, true, |_| String::new())
}
