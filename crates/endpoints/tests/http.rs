//! Tests of the connections to workers, and of truncated, mismatched and missing replies.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Ran, //
    },
    id::{
        Boot,
        Epoch, //
    },
    timer,
    unit::Resources,
    worker::Worker,
};
use basilbridge_endpoints::{
    Client,
    command::{
        Attempt,
        Command,
        Lease,
        Run,
        Verb, //
    },
    http::{
        self,
        Settings, //
    },
};
use basilbridge_standins::{
    http::serve_worker,
    worker::Fleet, //
};
use bytes::Bytes;
use futures_util::future;
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    body::Incoming,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::mpsc,
};

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Longer than any test takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

fn worker(address: SocketAddr) -> Worker {
    Worker {
        name: "worker-0".into(),
        address,
        data_centre: "local".into(),
        rack: 0,
        capacity: Resources {
            cpu_millis: 64_000,
            memory_mib: 131_072,
            accelerators: 0,
        },
        slots: 8,
        leaving: false,
    }
}

fn settings() -> Settings {
    Settings {
        ping_interval: Duration::from_millis(100),
        ping_timeout: Duration::from_millis(400),
        ..Settings::new(LONG_TIMEOUT, LONG_TIMEOUT)
    }
}

fn client() -> Client {
    http::client(timer::Service::start(), settings())
}

fn claim() -> Command {
    Command {
        epoch: Epoch(1),
        verb: Verb::Claim(Lease {
            lease: LONG_TIMEOUT,
        }),
    }
}

fn run(job: &str, run_ms: u64) -> Command {
    Command {
        epoch: Epoch(1),
        verb: Verb::Run(Run {
            task: format!("{job}/0").parse().unwrap(),
            attempt: 1,
            boot: Boot(1),
            resources: Resources {
                cpu_millis: 1000,
                memory_mib: 256,
                accelerators: 0,
            },
            repeatable: true,
            payload: format!(r#"{{"run_ms":{run_ms},"output":"{job}"}}"#),
            lease: LONG_TIMEOUT,
            deadline: None,
            wait: true,
            request_id: "request-1".into(),
        }),
    }
}

/// Serves a stand-in worker behind a proxy that counts its connections; the first `unresponsive`
/// of them are accepted, but neither read nor answered.
async fn connection_counting_worker(unresponsive: usize) -> (Worker, Fleet, Arc<AtomicUsize>) {
    let fleet = Fleet::new(timer::Service::start(), [worker(LOCAL)]);
    let server = serve_worker(LOCAL, fleet.clone(), "worker-0".into())
        .await
        .unwrap();
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&connections);
    tokio::spawn(async move {
        let mut held_streams = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            if count.fetch_add(1, Ordering::SeqCst) < unresponsive {
                held_streams.push(stream);
                continue;
            }
            let mut upstream = TcpStream::connect(server.address).await.unwrap();
            tokio::spawn(
                async move { tokio::io::copy_bidirectional(&mut stream, &mut upstream).await },
            );
        }
    });
    (worker(address), fleet, connections)
}

/// Serves a worker that responds to each request with the result of `reply`.
async fn fake_worker(reply: impl Fn() -> Response<Full<Bytes>> + Send + Sync + 'static) -> Worker {
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let address = listener.local_addr().unwrap();
    let reply = Arc::new(reply);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let reply = Arc::clone(&reply);
            let service = service_fn(move |_: Request<Incoming>| {
                future::ready(Ok::<_, std::convert::Infallible>(reply()))
            });
            tokio::spawn(
                hyper::server::conn::http2::Builder::new(TokioExecutor::new())
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    worker(address)
}

fn ok_response(text: &'static str) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from_static(text.as_bytes())))
}

async fn send_expecting_error(worker: &Worker, command: Command) -> Error {
    client().send(worker, command).await.unwrap_err()
}

#[tokio::test]
async fn all_requests_to_a_worker_share_one_connection() {
    let (worker, fleet, connections) = connection_counting_worker(0).await;
    let client = client();
    client.send(&worker, claim()).await.unwrap();

    let jobs: Vec<_> = (0..8).map(|number| format!("local-0.1.{number}")).collect();
    let replies = future::join_all(jobs.iter().map(|job| client.send(&worker, run(job, 20)))).await;

    for (job, reply) in jobs.iter().zip(replies) {
        assert_eq!(reply.unwrap().tasks[0].output, *job);
    }
    assert_eq!(fleet.violations(), Default::default());
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn an_unresponsive_connection_is_detected_and_replaced() {
    let (worker, _, connections) = connection_counting_worker(1).await;
    let client = client();

    let lost = client.send(&worker, claim()).await.unwrap_err();
    let reply = client.send(&worker, claim()).await.unwrap();

    assert_eq!(lost.kind, Kind::OutcomeUnknown, "{lost}");
    assert_eq!(reply.boot, Boot(1));
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn a_worker_that_refuses_a_connection_is_not_dialled_again_before_its_back_off_ends() {
    let closed = TcpListener::bind(LOCAL)
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let clock = timer::Service::manual();
    let client = http::client(clock.clone(), settings());
    let first = client.send(&worker(closed), claim()).await.unwrap_err();
    let listener = TcpListener::bind(closed).await.unwrap();
    let (accepted, mut accepts) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            accepted.send(listener.accept().await.unwrap()).unwrap();
        }
    });

    let early = client.send(&worker(closed), claim()).await.unwrap_err();
    let dials_during_backoff = accepts.try_recv().is_ok();
    clock.advance(early.retry_after.unwrap());
    let worker = worker(closed);
    let retried = client.send(&worker, claim());
    let dialled = tokio::select! {
        _ = retried => false,
        _ = accepts.recv() => true,
    };

    for error in [first, early] {
        assert_eq!(error.kind, Kind::Unreachable, "{error}");
        assert_eq!(error.kind.properties().ran, Ran::No);
    }
    assert!(!dials_during_backoff);
    assert!(dialled);
}

#[tokio::test]
async fn a_truncated_reply_is_reported_as_truncated() {
    let truncated_json = fake_worker(|| ok_response(r#"{"boot":1,"tas"#)).await;
    let truncated_body = fake_worker(|| {
        let mut response = ok_response(r#"{"boot":1"#);
        let length = 1000.into();
        response.headers_mut().insert("content-length", length);
        response
    })
    .await;

    for worker in [truncated_json, truncated_body] {
        let error = send_expecting_error(&worker, claim()).await;
        assert_eq!(error.kind, Kind::Truncated, "{error}");
        assert_eq!(error.kind.properties().ran, Ran::Unknown);
    }
}

#[tokio::test]
async fn a_reply_for_another_task_or_boot_is_refused() {
    let task = |task: &str, boot: u64| -> &'static str {
        let text = format!(
            r#"{{"boot":{boot},"tasks":[{{"task":"{task}","phase":"succeeded",
            "resources":{{"cpu_millis":1,"memory_mib":1}},"usage":{{"cpu_millis":1,"memory_mib":1}},
            "output":"secret","epoch":1,"attempt":1}}]}}"#
        );
        text.leak()
    };
    let (own, other_task) = (task("local-0.1.1/0", 1), task("local-0.1.2/0", 1));
    let other_boot = task("local-0.1.1/0", 7);
    let right = fake_worker(move || ok_response(own)).await;
    let wrong_task = fake_worker(move || ok_response(other_task)).await;
    let wrong_boot = fake_worker(move || ok_response(other_boot)).await;

    let reply = client().send(&right, run("local-0.1.1", 1)).await.unwrap();
    assert_eq!(reply.tasks[0].output, "secret");
    for worker in [wrong_task, wrong_boot] {
        let error = send_expecting_error(&worker, run("local-0.1.1", 1)).await;
        assert_eq!(error.kind, Kind::OutcomeUnknown, "{error}");
        assert!(!error.message.contains("secret"));
    }
}

#[tokio::test]
async fn a_wait_for_a_task_ends_at_the_deadline_of_its_caller() {
    let (worker, _, _) = connection_counting_worker(0).await;
    let client = client();
    client.send(&worker, claim()).await.unwrap();
    let mut command = run("local-0.1.1", 3_600_000);
    if let Verb::Run(run) = &mut command.verb {
        run.deadline = Some(Duration::from_millis(50));
    }

    let error = client.send(&worker, command).await.unwrap_err();

    assert_eq!(error.kind, Kind::OutcomeUnknown, "{error}");
    let stop = Command {
        epoch: Epoch(1),
        verb: Verb::Stop(Attempt {
            task: "local-0.1.1/0".parse().unwrap(),
            epoch: Epoch(1),
            number: 1,
        }),
    };
    assert_eq!(client.send(&worker, stop).await.unwrap().tasks.len(), 1);
}
