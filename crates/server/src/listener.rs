//! Accepts connections and closes those that exceed their timeouts.

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
    net::TcpStream,
    task::JoinHandle, //
};

use crate::{
    connection::Timeouts, drain::DrainState, handler::RequestHandler, memory::Budget, share::Share,
    socket, stream::Stream, table::ConnectionTable,
};

/// The memory for requests without a setting, in bytes.
const DEFAULT_BUDGET_BYTES: usize = 512 * 1024 * 1024;

/// The limits and timeouts of a server's connections.
#[derive(Clone)]
pub struct Settings {
    /// The count of requests in flight and the phase of the drain.
    pub drain_state: DrainState,
    /// The timer service.
    pub timer: timer::Service,
    /// The maximum number of open connections. For a further one, a connection is closed that waits
    /// for its client.
    pub max_connections: usize,
    /// The size of the socket buffers of each connection, in bytes and in each direction; `None` for
    /// what the system chooses.
    pub socket_buffer_bytes: Option<u32>,
    /// Whether clients that speak HTTP/2 are disconnected: one connection of theirs carries any number of
    /// requests, whose unread bodies can't be counted.
    pub http1_only: bool,
    /// The memory that requests may hold.
    pub budget: Budget,
    /// The maximum time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// The maximum time to receive the body of a request.
    pub body_timeout: Duration,
    /// The maximum time that a connection stays open without a request.
    pub idle_timeout: Duration,
    /// The maximum time that a client does not read what it is sent.
    pub send_timeout: Duration,
    /// The maximum length of the path including the query, in bytes.
    pub max_uri_bytes: usize,
    /// The maximum length of all headers of a request together, in bytes.
    pub max_header_bytes: usize,
}

impl Settings {
    /// Returns the default settings.
    pub fn new(timer: timer::Service, drain_state: DrainState) -> Self {
        Self {
            drain_state,
            timer,
            max_connections: 4096,
            socket_buffer_bytes: None,
            http1_only: false,
            budget: Budget::new(DEFAULT_BUDGET_BYTES),
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
            send_timeout: Duration::from_secs(30),
            max_uri_bytes: 4 * 1024,
            max_header_bytes: 16 * 1024,
        }
    }

    /// Returns the settings of a listener for clients that nobody controls. They take no more than `share`
    /// and the memory of `budget`, which several listeners may have in common, and speak HTTP/1.1.
    #[must_use]
    pub fn with_share(mut self, share: &Share, budget: &Budget) -> Self {
        self.max_connections = self.max_connections.min(share.connections);
        self.socket_buffer_bytes = Some(share.socket_buffer_bytes());
        self.http1_only = true;
        self.budget = budget.clone();
        self
    }

    fn timeouts(&self) -> Timeouts {
        Timeouts {
            head: self.head_timeout,
            idle: self.idle_timeout,
            send: self.send_timeout,
        }
    }

    /// Returns the length at which a connection is closed while its head is still being received.
    ///
    /// This is four times the length that is refused with an error response, so that most senders
    /// of a long head get that response.
    fn max_head_bytes(&self) -> usize {
        4 * (self.max_uri_bytes + self.max_header_bytes)
    }
}

/// A server that runs in background tasks.
#[derive(Debug)]
pub struct Server {
    /// The address on which the server listens.
    pub address: SocketAddr,
    table: Arc<ConnectionTable>,
    timer: timer::Service,
    accept_task: JoinHandle<()>,
    timeout_task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and starts to serve `router` on it.
    pub async fn start(
        address: SocketAddr,
        router: Router,
        settings: Settings,
    ) -> io::Result<Self> {
        let listener = socket::bind(address, settings.socket_buffer_bytes)?;
        let address = listener.local_addr()?;
        let table = Arc::new(ConnectionTable::default());
        let handler = RequestHandler {
            router,
            settings: settings.clone(),
            table: Arc::clone(&table),
        };
        let timeout_task = tokio::spawn(check_timeouts(Arc::clone(&table), settings.clone()));
        let connection_table = Arc::clone(&table);
        let timer = settings.timer.clone();
        let accept_task = tokio::spawn(async move {
            gotham::bind_server(listener, handler, move |tcp| {
                future::ready(accept(tcp, &connection_table, &settings).ok_or(()))
            })
            .await;
        });
        Ok(Self {
            address,
            table,
            timer,
            accept_task,
            timeout_task,
        })
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.table.len()
    }

    /// Stops accepting connections, and closes each open one as soon as it has no request, or its client
    /// has stopped in the middle of one.
    pub fn close(&self) {
        self.accept_task.abort();
        self.table.close();
        let closing = abort_stalled(Arc::clone(&self.table), self.timer.clone());
        tokio::spawn(closing);
    }

    /// Waits until no connection is open.
    pub async fn wait_closed(&self) {
        self.table.wait_empty().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.timeout_task.abort();
    }
}

fn accept(tcp: TcpStream, table: &Arc<ConnectionTable>, settings: &Settings) -> Option<Stream> {
    let address = tcp.peer_addr().ok()?;
    // A connection without this option works too, but with delays.
    let _ = tcp.set_nodelay(true);
    let now = settings.timer.now();
    let (max_connections, http1_only) = (settings.max_connections, settings.http1_only);
    let connection = table.insert(address, now, max_connections, http1_only)?;
    Some(Stream {
        tcp,
        address,
        connection,
        table: Arc::clone(table),
        timer: settings.timer.clone(),
        max_head_bytes: settings.max_head_bytes(),
        budget: settings.budget.clone(),
        head_memory: None,
    })
}

/// Aborts connections whose clients have stopped, until all have ended.
async fn abort_stalled(table: Arc<ConnectionTable>, timer: timer::Service) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(500);
    while table.len() > 0 {
        timer.sleep(CHECK_INTERVAL).await;
        table.abort_stalled(timer.now());
    }
}

async fn check_timeouts(table: Arc<ConnectionTable>, settings: Settings) {
    const CHECKS_PER_TIMEOUT: u32 = 4;
    let timeouts = settings.timeouts();
    let shortest = timeouts.head.min(timeouts.idle).min(timeouts.send);
    let interval = shortest / CHECKS_PER_TIMEOUT;
    loop {
        settings.timer.sleep(interval).await;
        table.check_timeouts(settings.timer.now(), timeouts);
    }
}
