//! Listening for connections.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::timer;
use futures_util::future;
use gotham::router::Router;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::JoinHandle,
};

use crate::{
    connection::{
        Limits,
        Table, //
    },
    drain::DrainState,
    edge::Edge,
    stream::Stream,
};

/// How a server treats its connections.
#[derive(Clone)]
pub struct Settings {
    /// Counts the requests in flight and says when the drain begins.
    pub drain_state: DrainState,
    /// The timer service.
    pub timer: timer::Service,
    /// The most connections that are open at once; further ones are closed unread.
    pub max_connections: usize,
    /// How long the head of a request may take from its first byte.
    pub head_timeout: Duration,
    /// How long the body of a request may take.
    pub body_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// The longest path with its query, in bytes.
    pub max_uri_bytes: usize,
    /// The most bytes that all headers of a request hold.
    pub max_header_bytes: usize,
}

impl Settings {
    /// Returns the usual settings.
    pub fn new(timer: timer::Service, drain_state: DrainState) -> Self {
        Self {
            drain_state,
            timer,
            max_connections: 4096,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
            max_uri_bytes: 4 * 1024,
            max_header_bytes: 16 * 1024,
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            head: self.head_timeout,
            idle: self.idle_timeout,
        }
    }

    /// A head is cut off unread only where it is well past what would be refused with an answer.
    fn max_head_bytes(&self) -> usize {
        4 * (self.max_uri_bytes + self.max_header_bytes)
    }
}

/// A server that runs in the background.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    table: Arc<Table>,
    accepting: JoinHandle<()>,
    checking: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves `router` there.
    pub async fn start(
        address: SocketAddr,
        router: Router,
        settings: Settings,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let table = Arc::new(Table::default());
        let edge = Edge {
            router,
            settings: settings.clone(),
            table: Arc::clone(&table),
        };
        let checking = tokio::spawn(check(Arc::clone(&table), settings.clone()));
        let streams = Arc::clone(&table);
        let accepting = tokio::spawn(async move {
            gotham::bind_server(listener, edge, move |tcp| {
                future::ready(stream(tcp, &streams, &settings).ok_or(()))
            })
            .await;
        });
        Ok(Self {
            address,
            table,
            accepting,
            checking,
        })
    }

    /// Returns how many connections are open.
    pub fn connections(&self) -> usize {
        self.table.len()
    }

    /// Takes no new connections, and closes those that are open once they have no request.
    pub fn close(&self) {
        self.accepting.abort();
        self.table.close();
    }

    /// Waits until no connection is open.
    pub async fn closed(&self) {
        self.table.empty().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.checking.abort();
    }
}

fn stream(tcp: TcpStream, table: &Arc<Table>, settings: &Settings) -> Option<Stream> {
    let address = tcp.peer_addr().ok()?;
    // A connection without it works too, only with delays.
    let _ = tcp.set_nodelay(true);
    let now = settings.timer.now();
    let connection = table.insert(address, now, settings.max_connections)?;
    Some(Stream {
        tcp,
        address,
        connection,
        table: Arc::clone(table),
        timer: settings.timer.clone(),
        max_head_bytes: settings.max_head_bytes(),
    })
}

async fn check(table: Arc<Table>, settings: Settings) {
    const CHECKS_PER_TIMEOUT: u32 = 4;
    let limits = settings.limits();
    let interval = limits.head.min(limits.idle) / CHECKS_PER_TIMEOUT;
    loop {
        settings.timer.sleep(interval).await;
        table.check(settings.timer.now(), limits);
    }
}
