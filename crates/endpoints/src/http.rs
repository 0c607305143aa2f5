//! The HTTP client of the workers.

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

/// The maximum length of a response from a worker, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The initial delay before the next connection attempt to a worker that refused one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The maximum delay before the next connection attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The timeouts of a client of workers.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The maximum time for the reply to a command that does not wait for a task.
    pub timeout: Duration,
    /// The maximum time for the reply to a command that waits for a task without a deadline.
    pub max_wait: Duration,
    /// The maximum time for a worker to accept a connection.
    pub connect_timeout: Duration,
    /// The interval of the HTTP/2 pings that detect a broken connection.
    pub ping_interval: Duration,
    /// The maximum time for the reply to a ping.
    pub ping_timeout: Duration,
}

impl Settings {
    /// Returns settings that detect an unresponsive connection within two seconds.
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

/// A pool with one connection to each worker.
struct Pool {
    http: Http,
    timer: timer::Service,
    settings: Settings,
    backoffs: Mutex<HashMap<SocketAddr, Backoff>>,
}

/// Creates an HTTP client of workers.
///
/// All requests to a worker share one connection, so that the number of connections to a worker is
/// the number of entry VMs. See `docs/design/connections.md`.
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
        let exchange = self.send_request(worker, command);
        let limit = reply_timeout(&self.settings, command);
        let reply = self.timer.timeout(limit, exchange).await;
        let reply = reply.unwrap_or_else(|| {
            let message = format!("worker {} did not reply within the timeout", worker.name);
            Err(Error::new(Kind::OutcomeUnknown, message))
        })?;
        check_reply(worker, command, &reply)?;
        Ok(reply)
    }

    async fn send_request(&self, worker: &Worker, command: &Command) -> Result<Reply> {
        let request = build_request(worker, command)?;
        let response = self.http.request(request).await;
        self.update_backoff(worker, response.as_ref().err());
        let response = response.map_err(|error| classify_error(worker, &error))?;
        let status = response.status();
        let body = read_body(worker, response).await?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|error| {
                let message = format!("worker {}: {error}", worker.name);
                Error::new(Kind::Truncated, message)
            });
        }
        Err(serde_json::from_slice(&body).unwrap_or_else(|_| {
            let message = format!("worker {} responded with status {status}", worker.name);
            Error::new(Kind::OutcomeUnknown, message)
        }))
    }

    /// Returns an error if a worker has refused a connection and its back-off has not ended.
    fn check_backoff(&self, worker: &Worker) -> Result<()> {
        let now = self.timer.now();
        let remaining = self
            .lock()
            .get(&worker.address)
            .and_then(|backoff| backoff.remaining(now));
        match remaining {
            None => Ok(()),
            Some(wait) => {
                let message = format!(
                    "worker {} refused a connection and is not retried yet",
                    worker.name
                );
                Err(Error::new(Kind::Unreachable, message).with_retry_after(wait))
            }
        }
    }

    /// Clears the back-off of a worker that responded, or extends it if the connection failed.
    fn update_backoff(&self, worker: &Worker, error: Option<&HttpError>) {
        let mut backoffs = self.lock();
        match error {
            None => {
                backoffs.remove(&worker.address);
            }
            Some(error) if error.is_connect() => backoffs
                .entry(worker.address)
                .or_insert(Backoff::new(MIN_BACKOFF, MAX_BACKOFF))
                .record_failure(self.timer.now(), rand::random()),
            Some(_) => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Backoff>> {
        self.backoffs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn reply_timeout(settings: &Settings, command: &Command) -> Duration {
    match &command.verb {
        Verb::Run(run) if run.wait => run.deadline.unwrap_or(settings.max_wait),
        Verb::Renew(renew) => settings.timeout + renew.max_wait,
        _ => settings.timeout,
    }
}

fn build_request(worker: &Worker, command: &Command) -> Result<Request<Full<Bytes>>> {
    let internal = |error: String| Error::new(Kind::Internal, error);
    let body = serde_json::to_vec(command).map_err(|error| internal(error.to_string()))?;
    Request::post(format!("http://{}/v1/command", worker.address))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| internal(error.to_string()))
}

/// Returns [`Kind::Unreachable`] for a command that was never sent, and [`Kind::OutcomeUnknown`]
/// otherwise.
///
/// A command that the connection cancelled was still queued and had not been sent.
fn classify_error(worker: &Worker, error: &HttpError) -> Error {
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

async fn read_body(worker: &Worker, response: Response<Incoming>) -> Result<Bytes> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => {
            let message = format!("worker {}: {error}", worker.name);
            Err(Error::new(Kind::Truncated, message))
        }
    }
}

/// Returns an error if a reply belongs to another task or another boot.
fn check_reply(worker: &Worker, command: &Command, reply: &Reply) -> Result<()> {
    let (task, boot) = match &command.verb {
        Verb::Run(run) => (&run.task, Some(run.boot)),
        Verb::Checkpoint(task) => (task, None),
        Verb::Stop(attempt) => (&attempt.task, None),
        Verb::Throttle(throttle) => (&throttle.task, None),
        Verb::Claim(_) | Verb::Renew(_) => return Ok(()),
    };
    let same_boot = boot.is_none_or(|boot| boot == reply.boot);
    let same_task = reply.tasks.iter().all(|report| report.task == *task);
    if same_boot && same_task {
        return Ok(());
    }
    let message = format!(
        "the reply of worker {} belongs to another task or boot",
        worker.name
    );
    Err(Error::new(Kind::OutcomeUnknown, message))
}
