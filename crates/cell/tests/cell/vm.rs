//! Starts entry VMs on loopback and calls them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use basilbridge_cell::{
    config::NodeConfig,
    node::{
        Node,
        RunningNode, //
    },
};
use basilbridge_common::timer;
use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::Client,
    rt::TokioExecutor, //
};

use crate::fake_platform::{
    FakePlatform,
    HOST,
    KEY,
    PREFIX, //
};

/// How long a test waits for a condition before it fails. It is not a limit of the system.
const PATIENCE: Duration = Duration::from_secs(60);

/// The deadline of calls.
const CALLER_WAIT: Duration = Duration::from_secs(3);

pub(crate) fn config(name: &str) -> NodeConfig {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    NodeConfig {
        name: name.into(),
        data_centre: "local".into(),
        callers: any,
        ready: any,
        peers: any,
        metrics: Some(any),
        max_lease: Duration::from_secs(6),
        evacuation_limit: Some(Duration::from_secs(5)),
        capacity: None,
        retention: Duration::from_secs(120),
        drain_limit: Duration::from_secs(6),
        cpu_millis: 0,
        link_bytes_per_second: 0,
        memory_bytes: 0,
        max_descriptors: 0,
        row_bytes: NodeConfig::DEFAULT_ROW_BYTES,
        usage_half_life: NodeConfig::DEFAULT_USAGE_HALF_LIFE,
    }
}

/// Starts a VM.
pub(crate) async fn start(platform: &FakePlatform, name: &str) -> RunningNode {
    start_with(platform, name, |_| {}).await
}

/// Starts a VM with settings changed by `change`.
pub(crate) async fn start_with(
    platform: &FakePlatform,
    name: &str,
    change: impl FnOnce(&mut NodeConfig),
) -> RunningNode {
    let timer = timer::Service::start();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let mut config = config(name);
    change(&mut config);
    let node = Node::new(config, timer, platform.clients(name), log);
    node.start().await.expect("the VM can listen on loopback")
}

/// Waits until `condition` holds; fails the test with `what` after a timeout.
pub(crate) async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, wait).await;
    assert!(waited.is_ok(), "timed out waiting for {what}");
}

/// Sends a request about the job `id`. Returns the status and the body.
pub(crate) async fn call(
    vm: &RunningNode,
    method: Method,
    id: &str,
    body: &str,
) -> (StatusCode, String) {
    call_path(vm, method, &format!("{PREFIX}{id}"), body).await
}

/// Sends a request. Returns the status and the body.
pub(crate) async fn call_path(
    vm: &RunningNode,
    method: Method,
    path: &str,
    body: &str,
) -> (StatusCode, String) {
    call_path_within(vm, method, path, body, CALLER_WAIT).await
}

/// Submits a job and waits no longer than `wait` for the answer.
pub(crate) async fn submit_within(vm: &RunningNode, id: &str, wait: Duration) -> StatusCode {
    let path = format!("{PREFIX}{id}");
    call_path_within(vm, Method::POST, &path, "3", wait).await.0
}

async fn call_path_within(
    vm: &RunningNode,
    method: Method,
    path: &str,
    body: &str,
    wait: Duration,
) -> (StatusCode, String) {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", vm.callers_address()))
        .header("host", HOST)
        .header("authorization", format!("Bearer {KEY}"))
        .header("deadline-ms", wait.as_millis().to_string())
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("the request is valid");
    let response = client.request(request).await.expect("the VM answers");
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the body can be read");
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    (status, text)
}

pub(crate) async fn submit(vm: &RunningNode, id: &str) -> StatusCode {
    call(vm, Method::POST, id, "3").await.0
}

pub(crate) async fn state(vm: &RunningNode, id: &str) -> String {
    call(vm, Method::GET, id, "").await.1
}

/// Requests the number of unstarted jobs of the queue.
pub(crate) async fn waiting(vm: &RunningNode) -> String {
    call(vm, Method::GET, "", "").await.1
}
