//! What goes in at the callers' port: bad input, request ids and deadlines.

mod util;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use basilbridge::{
    config::NodeConfig,
    embedded::{
        self,
        Embedded,
        TEAM_KEY, //
    },
};
use basilbridge_common::{
    error::{
        Error,
        Kind as ErrorKind, //
    },
    id,
    job::{
        self,
        Kind,
        Status, //
    },
};
use basilbridge_endpoints::{
    Client,
    command::{
        Command,
        Run,
        Verb, //
    },
};
use bytes::Bytes;
use futures_util::FutureExt;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::Client as HttpClient,
    rt::TokioExecutor, //
};
use quickcheck::{
    Arbitrary,
    Gen, //
};
use util::{
    TIMEOUT,
    request,
    start_first_vm,
    start_further_vm,
    start_vm,
    team_client,
    wait_until_ready, //
};

const VALID: &str = r#"{"queue":"checks","kind":"interactive",
    "resources":{"cpu_millis":1000,"memory_mib":256},"payload":"glue"}"#;

/// Sends a body as it is; returns the status, the request id of the answer and its body.
async fn send(address: SocketAddr, headers: &[(&str, &str)], body: &[u8]) -> (u16, String, Bytes) {
    let mut request = Request::post(format!("http://{address}/v1/jobs"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::copy_from_slice(body)))
        .unwrap();
    let client: HttpClient<_, Full<Bytes>> = HttpClient::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.unwrap();
    let id = response.headers().get("x-request-id").unwrap();
    let id = id.to_str().unwrap().to_owned();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, id, body)
}

async fn refusal(address: SocketAddr, headers: &[(&str, &str)], body: &[u8]) -> ErrorKind {
    let key = format!("Bearer {TEAM_KEY}");
    let mut all = vec![("authorization", key.as_str())];
    all.extend(headers);
    let (status, _, body) = send(address, &all, body).await;
    let error: Error = serde_json::from_slice(&body).unwrap();
    assert_eq!(status, error.kind.properties().http_status);
    error.kind
}

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_bad_input_is_refused_as_its_own_and_nothing_runs() {
    let vm = start_vm().await;
    wait_until_ready(&vm.running).await;
    let address = vm.running.callers.address;
    let changed = |from: &str, to: &str| VALID.replace(from, to).into_bytes();
    let deep = "[".repeat(100_000).into_bytes();
    let long = vec![b' '; 2 * 1024 * 1024];
    let name = "x".repeat(300);
    let bad: Vec<(Vec<u8>, ErrorKind)> = vec![
        (b"".to_vec(), ErrorKind::Malformed),
        (b"{".to_vec(), ErrorKind::Malformed),
        (b"\xff\xfe".to_vec(), ErrorKind::Malformed),
        (deep, ErrorKind::Malformed),
        (
            changed(r#""payload""#, r#""paylaod""#),
            ErrorKind::Malformed,
        ),
        (changed("1000", "-1"), ErrorKind::Malformed),
        (changed("1000", "1e300"), ErrorKind::Malformed),
        (
            changed("1000", "18446744073709551616"),
            ErrorKind::Malformed,
        ),
        (
            changed("1000", "18446744073709551615"),
            ErrorKind::Impossible,
        ),
        (
            changed("{\"queue", "{\"count\":0,\"queue"),
            ErrorKind::Malformed,
        ),
        (
            changed("{\"queue", "{\"count\":4294967295,\"queue"),
            ErrorKind::Malformed,
        ),
        (changed("interactive", "urgent"), ErrorKind::Malformed),
        (changed("checks", "nowhere"), ErrorKind::NotFound),
        (changed("checks", &name), ErrorKind::TooLarge),
        (long, ErrorKind::TooLarge),
    ];

    for (body, kind) in bad {
        let shown = String::from_utf8_lossy(&body[..body.len().min(120)]).into_owned();
        assert_eq!(refusal(address, &[], &body).await, kind, "{shown}");
    }
    for timeout in ["-1", "soon", "18446744073709551615", ""] {
        let headers = [("x-timeout-ms", timeout)];
        let kind = refusal(address, &headers, VALID.as_bytes()).await;
        assert_eq!(kind, ErrorKind::Malformed, "{timeout}");
    }

    assert_eq!(vm.fleet.counts().starts, 0);
    let check = request("checks", Kind::Interactive, "glue");
    assert!(team_client(address).submit(&check, TIMEOUT).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn another_teams_job_can_be_neither_read_nor_cancelled() {
    let vm = start_vm().await;
    wait_until_ready(&vm.running).await;
    let address = vm.running.callers.address;
    let operator = basilbridge::client::Client::new(
        vm.running.operators.address,
        Some(embedded::OPERATOR_KEY.to_owned()),
    );
    let mut configuration = operator.configuration().await.unwrap();
    let mut other = configuration.teams[0].clone();
    other.name = "others".into();
    other.keys = vec![basilbridge_operators::key::Hash::of("others-key")];
    configuration.teams.push(other);
    operator.replace(&configuration).await.unwrap();
    let job = request("plans", Kind::Batch, r#"{"run_ms":3600000}"#);
    let accepted = team_client(address).submit(&job, TIMEOUT).await.unwrap();
    let others = basilbridge::client::Client::new(address, Some("others-key".to_owned()));

    let results = [
        others.status(&accepted.id).await,
        others.wait(&accepted.id, TIMEOUT).await,
        others.cancel(&accepted.id).await,
    ];

    for result in results {
        assert_eq!(result.unwrap_err().kind, ErrorKind::Forbidden);
    }
    let status = team_client(address).status(&accepted.id).await.unwrap();
    assert!(!status.state.is_final());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_request_id_and_the_callers_deadline_reach_the_worker_through_another_vm() {
    let mut config = NodeConfig::local("entry-0", "local");
    config.drain_grace = Duration::ZERO;
    let Embedded {
        running,
        store,
        fleet,
    } = start_first_vm(config).await;
    wait_until_ready(&running).await;
    assert!(running.drain().await);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let (seen, workers) = (Arc::clone(&runs), fleet.client());
    let spy = Client::new(Arc::new(move |worker, command: Command| {
        if let Verb::Run(run) = &command.verb {
            seen.lock().unwrap().push(run.clone());
        }
        let workers = workers.clone();
        async move { workers.send(&worker, command).await }.boxed()
    }));
    let owner = start_further_vm(&store, spy, NodeConfig::local("entry-1", "local")).await;
    wait_until_ready(&owner).await;
    let entry =
        start_further_vm(&store, fleet.client(), NodeConfig::local("entry-2", "east")).await;
    wait_until_ready(&entry).await;
    assert!(entry.node.owners().is_empty());
    let key = format!("Bearer {TEAM_KEY}");
    let headers = [
        ("authorization", key.as_str()),
        ("x-request-id", "glue-7"),
        ("x-timeout-ms", "5000"),
    ];

    let (status, id, body) = send(entry.callers.address, &headers, VALID.as_bytes()).await;

    assert_eq!(status, 200, "{body:?}");
    assert_eq!(id, "glue-7");
    let runs = runs.lock().unwrap();
    assert_eq!(&*runs[0].request_id, "glue-7");
    assert!(runs[0].deadline.unwrap() <= Duration::from_millis(5000));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_is_refused_at_once_and_what_was_refused_did_not_run() {
    let mut config = NodeConfig::local("entry-0", "local");
    config.max_requests = 8;
    let vm = start_first_vm(config).await;
    wait_until_ready(&vm.running).await;
    let check = request(
        "checks",
        Kind::Interactive,
        r#"{"run_ms":300,"output":"dry"}"#,
    );

    let flood = (0..40).map(|_| {
        let (client, check) = (team_client(vm.running.callers.address), check.clone());
        async move { client.submit(&check, TIMEOUT).await }
    });
    let results = futures_util::future::join_all(flood).await;

    let (answered, refused): (Vec<_>, Vec<_>) = results.into_iter().partition(Result::is_ok);
    assert!(!refused.is_empty());
    for error in refused.into_iter().filter_map(Result::err) {
        assert_eq!(error.kind, ErrorKind::Overloaded, "{error}");
        assert!(error.retry_after.is_some());
    }
    assert_eq!(vm.fleet.counts().starts, answered.len() as u64);
}

#[test]
fn decoders_refuse_or_read_back_what_they_read() {
    let mut random = Gen::from_size_and_seed(64, 6);
    for _ in 0..20_000 {
        let mut bytes = VALID.as_bytes().to_vec();
        for _ in 0..1 + usize::arbitrary(&mut random) % 3 {
            let at = usize::arbitrary(&mut random) % bytes.len();
            bytes[at] = u8::arbitrary(&mut random);
        }
        if let Ok(request) = serde_json::from_slice::<job::Request>(&bytes) {
            let written = serde_json::to_vec(&request).unwrap();
            assert_eq!(
                serde_json::from_slice::<job::Request>(&written).unwrap(),
                request
            );
        }
        let noise = Vec::<u8>::arbitrary(&mut random);
        assert!(serde_json::from_slice::<Command>(&noise).is_err());
        assert!(serde_json::from_slice::<Status>(&noise).is_err());
        let text = String::arbitrary(&mut random);
        for id in [
            text.clone(),
            format!("{text}-1.2.3"),
            format!("a-{text}.2.3"),
        ] {
            if let Ok(job) = id.parse::<id::Job>() {
                assert_eq!(job.to_string().parse::<id::Job>().unwrap(), job);
            }
        }
    }
}
