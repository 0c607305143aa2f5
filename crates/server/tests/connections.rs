//! What the server does with connections that are slow, too many, or open while a VM ends.

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

/// How long a test waits for what should come at once.
const PATIENCE: Duration = Duration::from_secs(10);

const LARGE_BYTES: usize = 32 * 1024 * 1024;

/// Lets a test hold a request and learn that it has come in.
#[derive(Clone, Default, StateData)]
struct Hold {
    entered: Arc<Notify>,
    released: Arc<Notify>,
}

impl std::panic::RefUnwindSafe for Hold {}

struct Fixture {
    server: Server,
    drain_state: DrainState,
    timer: timer::Service,
    hold: Hold,
}

fn router(hold: Hold) -> Router {
    let pipeline = new_pipeline().add(StateMiddleware::new(hold)).build();
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
    let hold = Hold::borrow_from(&state).clone();
    hold.entered.notify_one();
    hold.released.notified().await;
    body::respond(state, StatusCode::OK, Ok("released"))
}

async fn large(state: State) -> HandlerResult {
    body::respond(state, StatusCode::OK, Ok("x".repeat(LARGE_BYTES)))
}

async fn start(change: impl FnOnce(&mut Settings)) -> Fixture {
    let timer = timer::Service::manual();
    let drain_state = DrainState::default();
    let hold = Hold::default();
    let mut settings = Settings::new(timer.clone(), drain_state.clone());
    // Only the tests of time-outs let time pass, and each sets the one that it is about.
    settings.idle_timeout = Duration::from_secs(1_000_000);
    change(&mut settings);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(any, router(hold.clone()), settings)
        .await
        .unwrap();
    Fixture {
        server,
        drain_state,
        timer,
        hold,
    }
}

impl Fixture {
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.server.address).await.unwrap()
    }

    async fn ask(&self, request: &str) -> String {
        let mut stream = self.connect().await;
        stream.write_all(request.as_bytes()).await.unwrap();
        read_head_and(&mut stream, "}").await
    }

    /// Lets time pass until `future` ends; returns its output and how much time passed.
    async fn pass_time<T>(&self, future: impl Future<Output = T>) -> (T, Duration) {
        let mut passed = Duration::ZERO;
        let step = Duration::from_millis(500);
        tokio::pin!(future);
        loop {
            tokio::select! {
                biased;
                output = &mut future => return (output, passed),
                () = tokio::task::yield_now() => {}
            }
            self.timer.advance(step);
            passed += step;
        }
    }
}

async fn within<T>(future: impl Future<Output = T>) -> T {
    let ended = tokio::time::timeout(PATIENCE, future).await;
    ended.expect("what should come at once did not come")
}

/// Reads until `end` comes after the head of an answer.
async fn read_head_and(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let bytes = within(stream.read(&mut buffer)).await.unwrap();
        text.push_str(std::str::from_utf8(&buffer[..bytes]).unwrap());
        let done = text
            .split_once("\r\n\r\n")
            .is_some_and(|(_, body)| body.ends_with(end));
        if bytes == 0 || done {
            return text;
        }
    }
}

/// Reads to the end of the stream; a reset counts as an end.
async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = within(stream.read_to_end(&mut bytes)).await;
    bytes
}

#[tokio::test]
async fn a_path_that_does_not_exist_is_answered_from_the_table_of_errors() {
    let fixture = start(|_| {}).await;

    let answer = fixture
        .ask("GET /nothing HTTP/1.1\r\nhost: a\r\n\r\n")
        .await;

    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    assert!(answer.contains(r#""kind":"not_found""#), "{answer}");
}

#[tokio::test]
async fn a_wrong_method_is_answered_from_the_table_of_errors() {
    let fixture = start(|_| {}).await;

    let answer = fixture
        .ask("DELETE /echo HTTP/1.1\r\nhost: a\r\n\r\n")
        .await;

    assert!(answer.starts_with("HTTP/1.1 405"), "{answer}");
    assert!(answer.contains("allow: POST"), "{answer}");
    assert!(
        answer.contains(r#""kind":"method_not_allowed""#),
        "{answer}"
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
        .ask(&format!("GET /{long} HTTP/1.1\r\nhost: a\r\n\r\n"))
        .await;
    let header = fixture
        .ask(&format!(
            "GET /held HTTP/1.1\r\nhost: a\r\nx: {long}\r\n\r\n"
        ))
        .await;

    for answer in [path, header] {
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        assert!(answer.contains(r#""kind":"too_large""#), "{answer}");
    }
}

#[tokio::test]
async fn a_head_without_end_is_cut_before_it_fills_the_memory() {
    let fixture = start(|settings| {
        settings.max_uri_bytes = 100;
        settings.max_header_bytes = 100;
    })
    .await;
    let mut stream = fixture.connect().await;
    stream.write_all(&[b'x'; 4096]).await.unwrap();

    let answer = read_to_end(&mut stream).await;

    assert!(answer.is_empty());
}

#[tokio::test]
async fn a_sender_that_never_ends_its_head_is_cut_after_the_time_out() {
    let limit = Duration::from_secs(10);
    let fixture = start(|settings| settings.head_timeout = limit).await;
    let mut stream = fixture.connect().await;
    stream.write_all(b"GET /held HT").await.unwrap();

    let (bytes, passed) = fixture.pass_time(read_to_end(&mut stream)).await;

    assert!(bytes.is_empty());
    assert!(passed >= limit, "{passed:?}");
    assert_eq!(fixture.drain_state.in_flight(), 0);
}

#[tokio::test]
async fn a_sender_that_never_ends_its_body_is_told_so_after_the_time_out() {
    let limit = Duration::from_secs(10);
    let fixture = start(|settings| settings.body_timeout = limit).await;
    let mut stream = fixture.connect().await;
    let request = "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n\"half";
    stream.write_all(request.as_bytes()).await.unwrap();

    let (answer, passed) = fixture.pass_time(read_head_and(&mut stream, "}")).await;

    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains(r#""kind":"slow_request""#), "{answer}");
    assert!(passed >= limit, "{passed:?}");
}

#[tokio::test]
async fn a_request_that_is_handled_for_long_is_not_taken_for_a_slow_sender() {
    let fixture = start(|settings| settings.head_timeout = Duration::from_secs(1)).await;
    let mut stream = fixture.connect().await;
    stream
        .write_all(b"GET /held HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    fixture.hold.entered.notified().await;
    for _ in 0..100 {
        fixture.timer.advance(Duration::from_secs(1));
        tokio::task::yield_now().await;
    }

    fixture.hold.released.notify_one();
    let answer = read_head_and(&mut stream, "\"released\"").await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn connections_beyond_the_cap_are_closed_and_those_within_go_on() {
    let fixture = start(|settings| settings.max_connections = 2).await;
    let request = "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n\"a\"";
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut stream = fixture.connect().await;
        stream.write_all(request.as_bytes()).await.unwrap();
        read_head_and(&mut stream, "\"a\"").await;
        open.push(stream);
    }

    let refused = read_to_end(&mut fixture.connect().await).await;
    open[0].write_all(request.as_bytes()).await.unwrap();
    let answer = read_head_and(&mut open[0], "\"a\"").await;

    assert!(refused.is_empty());
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(fixture.server.connections(), 2);
}

#[tokio::test]
async fn a_request_in_flight_is_answered_whole_after_the_server_closes() {
    let fixture = start(|_| {}).await;
    let mut stream = fixture.connect().await;
    stream
        .write_all(b"GET /held HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    fixture.hold.entered.notified().await;

    fixture.drain_state.advance(Phase::Closing);
    fixture.server.close();
    fixture.hold.released.notify_one();
    let answer = String::from_utf8(read_to_end(&mut stream).await).unwrap();
    within(fixture.drain_state.wait_idle()).await;
    within(fixture.server.closed()).await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("\"released\""), "{answer}");
}

#[tokio::test]
async fn a_connection_without_a_request_is_closed_with_the_server() {
    let fixture = start(|_| {}).await;
    let request = "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n\"a\"";
    let mut used = fixture.connect().await;
    used.write_all(request.as_bytes()).await.unwrap();
    read_head_and(&mut used, "\"a\"").await;

    fixture.server.close();

    assert!(read_to_end(&mut used).await.is_empty());
    within(fixture.server.closed()).await;
    assert!(TcpStream::connect(fixture.server.address).await.is_err());
}

#[tokio::test]
async fn a_request_counts_as_in_flight_until_the_last_byte_of_its_answer_is_flushed() {
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
    within(fixture.drain_state.wait_idle()).await;

    assert_eq!(in_flight, 1);
    assert!(rest.len() + first.len() > LARGE_BYTES);
}
