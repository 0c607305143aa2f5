//! Workers over HTTP.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    backoff::Backoff,
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
use http::{
    Request,
    Response,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        Client as HttpClient,
        Error as HttpError,
        connect::HttpConnector, //
    },
    rt::{
        TokioExecutor,
        TokioTimer, //
    },
};

use crate::{
    Client,
    command::{
        Command,
        Reply,
        Verb, //
    },
};

/// The longest answer that is read from a worker, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How long to wait before a worker that refused a connection is dialled again.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// The longest such wait.
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// How a client of workers behaves.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long a worker may take to answer a command that does not wait for a task.
    pub timeout: Duration,
    /// How long a worker may take to answer a task that has no deadline of its own.
    pub max_wait: Duration,
    /// How long a worker may take to accept a connection.
    pub connect_timeout: Duration,
    /// How often a connection is asked whether it still lives.
    pub ping_interval: Duration,
    /// How long a connection may leave that question open.
    pub ping_timeout: Duration,
}

impl Settings {
    /// Returns the settings with which a silent connection is found within two seconds.
    pub fn new(timeout: Duration, max_wait: Duration) -> Self {
        Self {
            timeout,
            max_wait,
            connect_timeout: Duration::from_secs(1),
            ping_interval: Duration::from_secs(1),
            ping_timeout: Duration::from_secs(1),
        }
    }
}

type Http = HttpClient<HttpConnector, Full<Bytes>>;

/// The connections to all workers, one to each.
struct Pool {
    http: Http,
    timer: timer::Service,
    settings: Settings,
    backoffs: Mutex<HashMap<SocketAddr, Backoff>>,
}

/// Makes a client of workers over HTTP.
///
/// All requests to a worker share one connection, so that the connections to a worker are as many
/// as the entry VMs. See `docs/design/connections.md`.
pub fn client(timer: timer::Service, settings: Settings) -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(settings.connect_timeout));
    let http = HttpClient::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .http2_only(true)
        .http2_keep_alive_interval(settings.ping_interval)
        .http2_keep_alive_timeout(settings.ping_timeout)
        .http2_keep_alive_while_idle(true)
        .build(connector);
    let pool = Arc::new(Pool {
        http,
        timer,
        settings,
        backoffs: Mutex::default(),
    });
    Client::new(Arc::new(move |worker, command| {
        let pool = Arc::clone(&pool);
        async move { pool.send(&worker, &command).await }.boxed()
    }))
}

impl Pool {
    async fn send(&self, worker: &Worker, command: &Command) -> Result<Reply> {
        self.check_backoff(worker)?;
        let exchange = self.exchange(worker, command);
        let limit = limit(&self.settings, command);
        let answer = self.timer.timeout(limit, exchange).await;
        let answer = answer.unwrap_or_else(|| {
            let message = format!("worker {} did not answer in time", worker.name);
            Err(Error::new(Kind::OutcomeUnknown, message))
        })?;
        check(worker, command, &answer)?;
        Ok(answer)
    }

    async fn exchange(&self, worker: &Worker, command: &Command) -> Result<Reply> {
        let request = request(worker, command)?;
        let response = self.http.request(request).await;
        self.note(worker, response.as_ref().err());
        let response = response.map_err(|error| unsent_or_unknown(worker, &error))?;
        let status = response.status();
        let body = read(worker, response).await?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|error| {
                let message = format!("worker {}: {error}", worker.name);
                Error::new(Kind::Truncated, message)
            });
        }
        Err(serde_json::from_slice(&body).unwrap_or_else(|_| {
            let message = format!("worker {} answered {status}", worker.name);
            Error::new(Kind::OutcomeUnknown, message)
        }))
    }

    /// Refuses to dial a worker that has just refused a connection.
    fn check_backoff(&self, worker: &Worker) -> Result<()> {
        let now = self.timer.now();
        let remaining = self
            .lock()
            .get(&worker.address)
            .and_then(|backoff| backoff.remaining(now));
        match remaining {
            None => Ok(()),
            Some(wait) => {
                let message = format!("worker {} takes no connections", worker.name);
                Err(Error::new(Kind::Unreachable, message).with_retry_after(wait))
            }
        }
    }

    fn note(&self, worker: &Worker, error: Option<&HttpError>) {
        let mut backoffs = self.lock();
        match error {
            None => {
                backoffs.remove(&worker.address);
            }
            Some(error) if error.is_connect() => backoffs
                .entry(worker.address)
                .or_insert(Backoff::new(FIRST_BACKOFF, LONGEST_BACKOFF))
                .record_failure(self.timer.now(), rand::random()),
            Some(_) => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Backoff>> {
        self.backoffs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn limit(settings: &Settings, command: &Command) -> Duration {
    match &command.verb {
        Verb::Run(run) if run.wait => run.deadline.unwrap_or(settings.max_wait),
        Verb::Renew(renew) => settings.timeout + renew.max_wait,
        _ => settings.timeout,
    }
}

fn request(worker: &Worker, command: &Command) -> Result<Request<Full<Bytes>>> {
    let internal = |error: String| Error::new(Kind::Internal, error);
    let body = serde_json::to_vec(command).map_err(|error| internal(error.to_string()))?;
    Request::post(format!("http://{}/v1/command", worker.address))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| internal(error.to_string()))
}

/// Tells a command that was never sent from one whose outcome is not known; one that the
/// connection cancelled still waited for its turn on it.
fn unsent_or_unknown(worker: &Worker, error: &HttpError) -> Error {
    let first = std::error::Error::source(error);
    let canceled = std::iter::successors(first, |error| error.source())
        .filter_map(|error| error.downcast_ref::<hyper::Error>())
        .any(hyper::Error::is_canceled);
    let kind = if error.is_connect() || canceled {
        Kind::Unreachable
    } else {
        Kind::OutcomeUnknown
    };
    Error::new(kind, format!("worker {}: {error}", worker.name))
}

async fn read(worker: &Worker, response: Response<Incoming>) -> Result<Bytes> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => {
            let message = format!("worker {}: {error}", worker.name);
            Err(Error::new(Kind::Truncated, message))
        }
    }
}

/// Refuses an answer that belongs to another command or another boot.
fn check(worker: &Worker, command: &Command, answer: &Reply) -> Result<()> {
    let (task, boot) = match &command.verb {
        Verb::Run(run) => (&run.task, Some(run.boot)),
        Verb::Checkpoint(task) => (task, None),
        Verb::Stop(attempt) => (&attempt.task, None),
        Verb::Throttle(throttle) => (&throttle.task, None),
        Verb::Claim(_) | Verb::Renew(_) => return Ok(()),
    };
    let same_boot = boot.is_none_or(|boot| boot == answer.boot);
    let same_task = answer.tasks.iter().all(|report| report.task == *task);
    if same_boot && same_task {
        return Ok(());
    }
    let message = format!("worker {} answered another command", worker.name);
    Err(Error::new(Kind::OutcomeUnknown, message))
}
