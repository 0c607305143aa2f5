//! Tests of connections that are slow, too many, or open while a VM drains.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::timer;
use basilbridge_server::{
    body,
    drain::{
        DrainState,
        Phase, //
    },
    listener::{
        Server,
        Settings, //
    },
};
use gotham::{
    handler::HandlerResult,
    middleware::state::StateMiddleware,
    pipeline::{
        new_pipeline,
        single_pipeline, //
    },
    prelude::*,
    router::{
        Router,
        build_router, //
    },
    state::State,
};
use http::StatusCode;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::Notify,
};

/// The maximum time that a test waits for something that needs no time to pass.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

const LARGE_BYTES: usize = 32 * 1024 * 1024;

/// Lets a test delay a request and wait for its arrival.
#[derive(Clone, Default, StateData)]
struct HeldRequest {
    entered: Arc<Notify>,
    released: Arc<Notify>,
}

impl std::panic::RefUnwindSafe for HeldRequest {}

struct Fixture {
    server: Server,
    drain_state: DrainState,
    timer: timer::Service,
    held_request: HeldRequest,
}

fn router(held_request: HeldRequest) -> Router {
    let pipeline = new_pipeline()
        .add(StateMiddleware::new(held_request))
        .build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.post("/echo").to_async(echo);
        route.get("/held").to_async(held);
        route.get("/large").to_async(large);
    })
}

async fn echo(mut state: State) -> HandlerResult {
    let result = body::read_json::<String>(&mut state).await;
    body::respond(state, StatusCode::OK, result)
}

async fn held(state: State) -> HandlerResult {
    let held_request = HeldRequest::borrow_from(&state).clone();
    held_request.entered.notify_one();
    held_request.released.notified().await;
    body::respond(state, StatusCode::OK, Ok("released"))
}

async fn large(state: State) -> HandlerResult {
    body::respond(state, StatusCode::OK, Ok("x".repeat(LARGE_BYTES)))
}

async fn start(change: impl FnOnce(&mut Settings)) -> Fixture {
    let timer = timer::Service::manual();
    let drain_state = DrainState::default();
    let held_request = HeldRequest::default();
    let mut settings = Settings::new(timer.clone(), drain_state.clone());
    // Only the tests of timeouts advance the clock, and each sets the timeout that it tests.
    settings.idle_timeout = Duration::from_secs(1_000_000);
    change(&mut settings);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(any, router(held_request.clone()), settings)
        .await
        .unwrap();
    Fixture {
        server,
        drain_state,
        timer,
        held_request,
    }
}

impl Fixture {
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.server.address).await.unwrap()
    }

    async fn send(&self, request: &str) -> String {
        let mut stream = self.connect().await;
        stream.write_all(request.as_bytes()).await.unwrap();
        read_response_until(&mut stream, "}").await
    }

    /// Advances the clock until `future` ends; returns its output and the time that elapsed.
    async fn advance_until<T>(&self, future: impl Future<Output = T>) -> (T, Duration) {
        let mut elapsed = Duration::ZERO;
        let step = Duration::from_millis(500);
        tokio::pin!(future);
        loop {
            tokio::select! {
                biased;
                output = &mut future => return (output, elapsed),
                () = tokio::task::yield_now() => {}
            }
            self.timer.advance(step);
            elapsed += step;
        }
    }
}

async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    let output = tokio::time::timeout(TEST_TIMEOUT, future).await;
    output.expect("the operation did not complete within the test timeout")
}

/// Reads a response until its body ends with `end`.
async fn read_response_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let bytes = with_timeout(stream.read(&mut buffer)).await.unwrap();
        text.push_str(std::str::from_utf8(&buffer[..bytes]).unwrap());
        let done = text
            .split_once("\r\n\r\n")
            .is_some_and(|(_, body)| body.ends_with(end));
        if bytes == 0 || done {
            return text;
        }
    }
}

/// Reads to the end of the stream; a reset counts as the end.
async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = with_timeout(stream.read_to_end(&mut bytes)).await;
    bytes
}

#[tokio::test]
async fn a_path_that_does_not_exist_gets_an_error_document() {
    let fixture = start(|_| {}).await;

    let response = fixture
        .send("GET /nothing HTTP/1.1\r\nhost: a\r\n\r\n")
        .await;

    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
    assert!(response.contains(r#""kind":"not_found""#), "{response}");
}

#[tokio::test]
async fn a_method_that_is_not_allowed_gets_an_error_document() {
    let fixture = start(|_| {}).await;

    let response = fixture
        .send("DELETE /echo HTTP/1.1\r\nhost: a\r\n\r\n")
        .await;

    assert!(response.starts_with("HTTP/1.1 405"), "{response}");
    assert!(response.contains("allow: POST"), "{response}");
    assert!(
        response.contains(r#""kind":"method_not_allowed""#),
        "{response}"
    );
}

#[tokio::test]
async fn a_long_path_and_long_headers_are_refused_as_too_large() {
    let fixture = start(|settings| {
        settings.max_uri_bytes = 100;
        settings.max_header_bytes = 200;
    })
    .await;
    let long = "x".repeat(250);

    let path = fixture
        .send(&format!("GET /{long} HTTP/1.1\r\nhost: a\r\n\r\n"))
        .await;
    let header = fixture
        .send(&format!(
            "GET /held HTTP/1.1\r\nhost: a\r\nx: {long}\r\n\r\n"
        ))
        .await;

    for response in [path, header] {
        assert!(response.starts_with("HTTP/1.1 413"), "{response}");
        assert!(response.contains(r#""kind":"too_large""#), "{response}");
    }
}

#[tokio::test]
async fn a_connection_is_closed_if_its_head_never_ends_and_exceeds_the_limit() {
    let fixture = start(|settings| {
        settings.max_uri_bytes = 100;
        settings.max_header_bytes = 100;
    })
    .await;
    let mut stream = fixture.connect().await;
    stream.write_all(&[b'x'; 4096]).await.unwrap();

    let response = read_to_end(&mut stream).await;

    assert!(response.is_empty());
}

#[tokio::test]
async fn a_connection_is_closed_if_its_head_is_not_complete_within_the_timeout() {
    let limit = Duration::from_secs(10);
    let fixture = start(|settings| settings.head_timeout = limit).await;
    let mut stream = fixture.connect().await;
    stream.write_all(b"GET /held HT").await.unwrap();

    let (bytes, elapsed) = fixture.advance_until(read_to_end(&mut stream)).await;

    assert!(bytes.is_empty());
    assert!(elapsed >= limit, "{elapsed:?}");
    assert_eq!(fixture.drain_state.in_flight(), 0);
}

#[tokio::test]
async fn a_body_that_is_not_complete_within_the_timeout_is_refused_as_slow() {
    let limit = Duration::from_secs(10);
    let fixture = start(|settings| settings.body_timeout = limit).await;
    let mut stream = fixture.connect().await;
    let request = "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n\"half";
    stream.write_all(request.as_bytes()).await.unwrap();

    let (response, elapsed) = fixture
        .advance_until(read_response_until(&mut stream, "}"))
        .await;

    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains(r#""kind":"slow_request""#), "{response}");
    assert!(elapsed >= limit, "{elapsed:?}");
}

#[tokio::test]
async fn the_timeout_of_the_head_does_not_apply_while_a_request_is_handled() {
    let fixture = start(|settings| settings.head_timeout = Duration::from_secs(1)).await;
    let mut stream = fixture.connect().await;
    stream
        .write_all(b"GET /held HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    fixture.held_request.entered.notified().await;
    for _ in 0..100 {
        fixture.timer.advance(Duration::from_secs(1));
        tokio::task::yield_now().await;
    }

    fixture.held_request.released.notify_one();
    let response = read_response_until(&mut stream, "\"released\"").await;

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed_and_the_others_still_work() {
    let fixture = start(|settings| settings.max_connections = 2).await;
    let request = "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n\"a\"";
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut stream = fixture.connect().await;
        stream.write_all(request.as_bytes()).await.unwrap();
        read_response_until(&mut stream, "\"a\"").await;
        open.push(stream);
    }

    let refused = read_to_end(&mut fixture.connect().await).await;
    open[0].write_all(request.as_bytes()).await.unwrap();
    let response = read_response_until(&mut open[0], "\"a\"").await;

    assert!(refused.is_empty());
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(fixture.server.connection_count(), 2);
}

#[tokio::test]
async fn a_request_in_flight_gets_its_whole_response_after_the_server_closes() {
    let fixture = start(|_| {}).await;
    let mut stream = fixture.connect().await;
    stream
        .write_all(b"GET /held HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    fixture.held_request.entered.notified().await;

    fixture.drain_state.advance(Phase::Closing);
    fixture.server.close();
    fixture.held_request.released.notify_one();
    let response = String::from_utf8(read_to_end(&mut stream).await).unwrap();
    with_timeout(fixture.drain_state.wait_idle()).await;
    with_timeout(fixture.server.wait_closed()).await;

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert!(response.ends_with("\"released\""), "{response}");
}

#[tokio::test]
async fn a_connection_without_a_request_is_closed_when_the_server_closes() {
    let fixture = start(|_| {}).await;
    let request = "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n\"a\"";
    let mut used = fixture.connect().await;
    used.write_all(request.as_bytes()).await.unwrap();
    read_response_until(&mut used, "\"a\"").await;

    fixture.server.close();

    assert!(read_to_end(&mut used).await.is_empty());
    with_timeout(fixture.server.wait_closed()).await;
    assert!(TcpStream::connect(fixture.server.address).await.is_err());
}

#[tokio::test]
async fn a_request_counts_as_in_flight_until_the_last_byte_of_its_response_is_flushed() {
    let fixture = start(|_| {}).await;
    let mut stream = fixture.connect().await;
    stream
        .write_all(b"GET /large HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .await
        .unwrap();
    let mut first = [0; 1024];
    stream.read_exact(&mut first).await.unwrap();

    let in_flight = fixture.drain_state.in_flight();
    let rest = read_to_end(&mut stream).await;
    with_timeout(fixture.drain_state.wait_idle()).await;

    assert_eq!(in_flight, 1);
    assert!(rest.len() + first.len() > LARGE_BYTES);
}

#[tokio::test]
async fn a_body_that_stops_short_of_its_end_does_not_hold_up_a_drain() {
    let fixture = start(|_| {}).await;
    let mut stream = fixture.connect().await;
    stream
        .write_all(b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n\"a")
        .await
        .unwrap();
    let in_flight = async {
        while fixture.drain_state.in_flight() == 0 {
            tokio::task::yield_now().await;
        }
    };
    with_timeout(in_flight).await;

    fixture.server.close();
    let ((), elapsed) = fixture.advance_until(fixture.server.wait_closed()).await;

    assert!(elapsed <= Duration::from_secs(3), "{elapsed:?}");
}
