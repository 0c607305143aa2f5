//! Clients that send many requests on one HTTP/2 connection.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::{
    StreamExt,
    future,
    stream, //
};
use http::Request;
use http_body_util::StreamBody;
use hyper::{
    body::Frame,
    client::conn::http2, //
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use tokio::{
    net::TcpStream,
    task::JoinSet, //
};

use crate::{
    cell::{
        Cell,
        HOST,
        KEY,
        Limits,
        PREFIX, //
    },
    crowd,
};

const LIMITS: Limits = Limits {
    memory_mb: 64,
    max_fds: 1000,
    body_bytes: 128 * 1024,
};

const CONNECTIONS: usize = 60;
const STREAMS: usize = 100;

/// Opens a connection and sends requests on it whose bodies stop short of their end. Returns when
/// the connection ends.
async fn send_short_bodies(address: SocketAddr) -> Option<()> {
    let tcp = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(tcp))
        .await
        .ok()?;
    let mut requests = JoinSet::new();
    for number in 0..STREAMS {
        let part = Bytes::from(vec![b' '; LIMITS.body_bytes / 2]);
        let part = stream::once(future::ready(Ok::<_, hyper::Error>(Frame::data(part))));
        let body = StreamBody::new(Box::pin(part.chain(stream::pending())));
        let request = Request::post(format!("http://{HOST}{PREFIX}{number:016x}"))
            .header("authorization", format!("Bearer {KEY}"))
            .header("x-padding", "x".repeat(4000))
            .body(body)
            .ok()?;
        let mut sender = sender.clone();
        requests.spawn(async move { sender.send_request(request).await });
    }
    connection.await.ok()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_requests_on_one_connection_use_bounded_memory() {
    let _alone = crowd::lock().await;
    let mut cell = Cell::start(40, LIMITS).await;
    let meter = cell.measure();
    let mut crowd = JoinSet::new();

    for _ in 0..CONNECTIONS {
        crowd.spawn(send_short_bodies(cell.callers));
    }
    for number in 0..10 {
        cell.run_ordinary_job(&format!("00000000{number:08x}"))
            .await;
    }
    drop(crowd);
    cell.run_ordinary_job("000000000000aaaa").await;

    cell.check(meter.stop());
}
