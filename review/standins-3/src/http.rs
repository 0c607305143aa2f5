//! A small HTTP/1.1 server and client for JSON bodies.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    time::Duration, //
};

use serde_json::Value;
use tokio::{
    io::{
        AsyncBufReadExt,
        AsyncReadExt,
        AsyncWriteExt,
        BufReader, //
    },
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    task::{
        AbortHandle,
        JoinSet, //
    },
    time::timeout,
};

/// A request to the server.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) path: String,
    pub(crate) query: Vec<(String, String)>,
    pub(crate) expected_instance: Option<String>,
    pub(crate) body_bytes: usize,
    pub(crate) body: Value,
}

impl Request {
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A status and a JSON body.
pub(crate) type Response = (u16, Value);

type Answer = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Produces the response to a request.
pub(crate) type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A running server. Its listener and all its connections end with [`Server::stop`].
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    task: AbortHandle,
}

impl Server {
    /// Binds `address` and serves requests there.
    pub(crate) fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(1024)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler)).abort_handle();
        Ok(Self { address, task })
    }

    pub(crate) fn stop(&self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, handler: Handler) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if let Ok((stream, _)) = listener.accept().await {
            let handler = Arc::clone(&handler);
            connections.spawn(async move {
                // A connection that fails ends.
                let _ = serve(stream, handler).await;
            });
        }
    }
}

async fn serve(stream: TcpStream, handler: Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    loop {
        let Some((first, headers)) = read_head(&mut stream).await? else {
            return Ok(());
        };
        let header = |name: &str| find(&headers, name);
        let length = header("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        stream.read_exact(&mut body).await?;
        let uri = first.split(' ').nth(1).unwrap_or_default();
        let (path, query) = uri.split_once('?').unwrap_or((uri, ""));
        let request = Request {
            path: path.to_owned(),
            query: query.split('&').filter_map(decode_pair).collect(),
            expected_instance: header("expect-instance").map(str::to_owned),
            body_bytes: body.len(),
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        };
        let (status, answer) = handler(request).await;
        let answer = answer.to_string();
        let head = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            answer.len()
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(answer.as_bytes()).await?;
        stream.flush().await?;
    }
}

type Head = (String, Vec<(String, String)>);

async fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if stream.read_line(&mut first).await? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

fn decode_pair(pair: &str) -> Option<(String, String)> {
    let (name, value) = pair.split_once('=')?;
    Some((name.to_owned(), decode(value)))
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        match first {
            b'+' => bytes.push(b' '),
            b'%' if tail.len() >= 2 => {
                let digits = std::str::from_utf8(&tail[..2]).unwrap_or("20");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
                rest = &tail[2..];
            }
            other => bytes.push(*other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request of a caller on a new connection. Returns `None` if there is no complete answer
/// within `limit`.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Response> {
    let exchange = async {
        let mut stream = BufReader::new(TcpStream::connect(address).await?);
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!(
            "content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all((head + body).as_bytes()).await?;
        stream.flush().await?;
        let Some((first, headers)) = read_head(&mut stream).await? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
        let mut answer = vec![0; length.unwrap_or(0)];
        stream.read_exact(&mut answer).await?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let answer = serde_json::from_slice(&answer).unwrap_or(Value::Null);
        Ok::<Response, io::Error>((status.unwrap_or(0), answer))
    };
    timeout(limit, exchange).await.ok()?.ok()
}
