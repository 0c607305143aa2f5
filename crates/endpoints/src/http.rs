//! Workers over HTTP.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    timer,
    worker::Worker,
};
use bytes::Bytes;
use futures_util::FutureExt;
use http::Request;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper_util::{
    client::legacy::{
        Client as HttpClient,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};

use crate::{
    Client,
    command::{
        Answer,
        Command,
        Verb, //
    },
};

/// The longest answer that is read from a worker, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How a client of workers behaves.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long a worker may take to answer a command that does not wait for a task.
    pub timeout: Duration,
    /// How long a worker may take to answer a task that has no deadline of its own.
    pub longest_wait: Duration,
}

/// Makes a client of workers over HTTP.
pub fn client(timer: timer::Service, settings: Settings) -> Client {
    let http = HttpClient::builder(TokioExecutor::new()).build_http();
    Client::new(Arc::new(move |worker, command| {
        let http = http.clone();
        let timer = timer.clone();
        async move { exchange(http, timer, settings, worker, command).await }.boxed()
    }))
}

fn limit(settings: &Settings, command: &Command) -> Duration {
    match &command.verb {
        Verb::Run(run) if run.wait => run.deadline.unwrap_or(settings.longest_wait),
        Verb::Renew(renew) => settings.timeout + renew.wait,
        _ => settings.timeout,
    }
}

async fn exchange(
    http: HttpClient<HttpConnector, Full<Bytes>>,
    timer: timer::Service,
    settings: Settings,
    worker: Worker,
    command: Command,
) -> Result<Answer> {
    let limit = limit(&settings, &command);
    let body = serde_json::to_vec(&command)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    let request = Request::post(format!("http://{}/v1/command", worker.address))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    let exchange = async {
        let response = http.request(request).await.map_err(|error| {
            let kind = if error.is_connect() {
                Kind::Unreachable
            } else {
                Kind::OutcomeUnknown
            };
            Error::new(kind, format!("worker {}: {error}", worker.name))
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| {
                let message = format!("worker {}: {error}", worker.name);
                Error::new(Kind::Truncated, message)
            })?
            .to_bytes();
        if status.is_success() {
            serde_json::from_slice(&body)
                .map_err(|error| Error::new(Kind::Truncated, error.to_string()))
        } else {
            Err(serde_json::from_slice(&body).unwrap_or_else(|_| {
                let message = format!("worker {} answered {status}", worker.name);
                Error::new(Kind::OutcomeUnknown, message)
            }))
        }
    };
    timer.timeout(limit, exchange).await.unwrap_or_else(|| {
        let message = format!("worker {} did not answer in time", worker.name);
        Err(Error::new(Kind::OutcomeUnknown, message))
    })
}
