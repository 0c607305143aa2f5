//! Carries out a command.

use std::{
    fs,
    path::Path,
    time::Duration, //
};

use basilbridge::client::Client;
use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    job::Request,
    unit::Resources,
};
use serde::Serialize;

use crate::clap_app::{
    Arguments,
    Command,
    Submit, //
};

/// Carries out the command that the arguments name.
pub(crate) async fn run(arguments: &Arguments) -> Result<()> {
    let caller = Client::new(arguments.callers, arguments.key.clone());
    let operator = Client::new(arguments.operators, arguments.operator_key.clone());
    let timeout = Duration::from_millis(arguments.timeout_ms);
    match &arguments.command {
        Command::Submit(submit) => print(&caller.submit(&request(submit), timeout).await?),
        Command::Status { job } => print(&caller.status(job).await?),
        Command::Wait { job } => print(&caller.wait(job, timeout).await?),
        Command::Cancel { job } => print(&caller.cancel(job).await?),
        Command::Workers => print(&operator.workers().await?),
        Command::Configuration { file: None } => print(&operator.configuration().await?),
        Command::Configuration { file: Some(file) } => {
            print(&operator.replace(&read(file)?).await?)
        }
    }
}

fn request(submit: &Submit) -> Request {
    Request {
        queue: submit.queue.as_str().into(),
        kind: submit.kind,
        resources: Resources {
            cpu_millis: submit.cpu_millis,
            memory_mib: submit.memory_mib,
            accelerators: submit.accelerators,
        },
        count: submit.count,
        repeatable: !submit.once,
        idempotency_key: submit.idempotency_key.as_deref().map(Into::into),
        family: None,
        run_time: None,
        deadline: None,
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

fn print<T: Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    println!("{text}");
    Ok(())
}
