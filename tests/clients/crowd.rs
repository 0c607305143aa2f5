//! Clients that send something and then stay connected.

use std::{
    net::SocketAddr,
    sync::{
        Arc, LazyLock,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpSocket,
        TcpStream, //
    },
    sync::{
        Mutex,
        MutexGuard, //
    },
    task::JoinSet,
    time::{
        Instant,
        sleep, //
    },
};

use crate::cell::{
    Cell,
    Limits, //
};

/// How long a test waits for clients whose bytes are not read.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// The receive buffer of a client that does not read, in bytes.
const SMALL_BUFFER: u32 = 4096;

/// Allows one crowd at a time on this machine.
pub(crate) async fn lock() -> MutexGuard<'static, ()> {
    static LOCK: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);
    LOCK.lock().await
}

/// What one client sends, and whether it reads what it is answered.
#[derive(Debug, Clone)]
pub(crate) struct Behaviour {
    /// The parts, each sent by itself.
    pub(crate) parts: Vec<Bytes>,
    pub(crate) reads: bool,
}

/// How often a crowd comes: what it leaves behind must not add up.
const ROUNDS: usize = 3;

/// Lets a crowd come several times, runs ordinary jobs beside it and after it, and checks the daemon.
/// `behaviours` returns the clients of a round.
pub(crate) async fn check(
    number: u8,
    limits: Limits,
    behaviours: impl Fn(&Cell, usize) -> Vec<Behaviour>,
) {
    let _alone = lock().await;
    let mut cell = Cell::start(number, limits).await;
    let meter = cell.measure();

    for round in 1..=ROUNDS {
        let crowd = Crowd::gather(cell.callers, behaviours(&cell, round)).await;
        cell.run_ordinary_job(&id(round, 0xaaaa)).await;
        drop(crowd);
        cell.run_ordinary_job(&id(round, 0xbbbb)).await;
    }

    cell.check(meter.stop());
}

/// Returns the id of a job of a client.
pub(crate) fn id(round: usize, client: usize) -> String {
    format!("{round:08x}{client:08x}")
}

/// Clients that stay connected until they are dropped.
pub(crate) struct Crowd {
    clients: JoinSet<()>,
    /// The clients that have sent all, or whose connection has ended before.
    settled: Arc<AtomicUsize>,
}

impl Crowd {
    /// Connects all clients at once and waits until they have sent what they send.
    pub(crate) async fn gather(address: SocketAddr, behaviours: Vec<Behaviour>) -> Self {
        let count = behaviours.len();
        let mut crowd = Self {
            clients: JoinSet::new(),
            settled: Arc::default(),
        };
        for behaviour in behaviours {
            let settled = Arc::clone(&crowd.settled);
            crowd.clients.spawn(async move {
                let stream = connect_and_send(address, &behaviour).await;
                settled.fetch_add(1, Ordering::Relaxed);
                match stream {
                    Some(stream) if behaviour.reads => stay(stream).await,
                    Some(_unread) => std::future::pending().await,
                    None => {}
                }
            });
        }
        // A daemon that reads no further must answer others all the same.
        let begun = Instant::now();
        while crowd.settled.load(Ordering::Relaxed) < count && begun.elapsed() < MAX_WAIT {
            sleep(Duration::from_millis(10)).await;
        }
        crowd
    }
}

async fn connect_and_send(address: SocketAddr, behaviour: &Behaviour) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    if !behaviour.reads {
        socket.set_recv_buffer_size(SMALL_BUFFER).ok()?;
    }
    let mut stream = socket.connect(address).await.ok()?;
    for part in &behaviour.parts {
        stream.write_all(part).await.ok()?;
    }
    Some(stream)
}

/// Reads answers until the other side closes the connection, and stays on this side.
async fn stay(mut stream: TcpStream) {
    let mut answer = [0; 1024];
    while matches!(stream.read(&mut answer).await, Ok(1..)) {}
    std::future::pending().await
}
