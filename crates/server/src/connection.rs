//! What is known about each open connection.
//!
//! `gotham` hides its connections, so the stream, the handler and the drain meet here. See
//! `docs/design/connections.md`.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::unit::Millis;
use futures_util::task::AtomicWaker;
use tokio::sync::Notify;

use crate::drain::RequestGuard;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// Nothing; the last request was answered, or none came yet.
    Waiting,
    /// The head of a request is coming in, so many bytes so far.
    Receiving(usize),
    /// So many requests are being handled.
    Handling(usize),
}

#[derive(Debug)]
struct Inner {
    activity: Activity,
    since: Millis,
    /// Requests whose answers are written, but not flushed.
    answered: Vec<RequestGuard>,
    closed: bool,
    late: bool,
}

/// One open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    inner: Mutex<Inner>,
    /// Wakes the reader when the connection is to be closed.
    pub(crate) reader: AtomicWaker,
}

/// What a reader is told before it reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permission {
    /// Read on.
    Read,
    /// Take what has come in, and end the connection if nothing has.
    Close,
    /// The sender was too slow, or its head is too long.
    Cut,
}

impl Connection {
    fn new(now: Millis) -> Self {
        Self {
            inner: Mutex::new(Inner {
                activity: Activity::Waiting,
                since: now,
                answered: Vec::new(),
                closed: false,
                late: false,
            }),
            reader: AtomicWaker::new(),
        }
    }

    /// Says whether the reader may go on.
    pub(crate) fn permission(&self, max_head_bytes: usize) -> Permission {
        let inner = self.lock();
        match inner.activity {
            _ if inner.late => Permission::Cut,
            Activity::Receiving(bytes) if bytes >= max_head_bytes => Permission::Cut,
            Activity::Waiting if inner.closed => Permission::Close,
            _ => Permission::Read,
        }
    }

    /// Takes note of bytes that came in.
    pub(crate) fn received(&self, now: Millis, bytes: usize) {
        let mut inner = self.lock();
        match &mut inner.activity {
            Activity::Receiving(total) => *total += bytes,
            Activity::Waiting => {
                inner.activity = Activity::Receiving(bytes);
                inner.since = now;
            }
            Activity::Handling(_) => {}
        }
    }

    /// Takes note that the head of a request is complete.
    pub(crate) fn enter(&self) {
        let mut inner = self.lock();
        inner.activity = match inner.activity {
            Activity::Handling(count) => Activity::Handling(count + 1),
            _ => Activity::Handling(1),
        };
    }

    /// Takes note that an answer is written up to its last byte, but not flushed.
    pub(crate) fn answered(&self, pass: RequestGuard) {
        self.lock().answered.push(pass);
    }

    /// Takes note that all that was written is flushed.
    pub(crate) fn flushed(&self, now: Millis) {
        let passes = {
            let mut inner = self.lock();
            if inner.answered.is_empty() {
                return;
            }
            let passes = std::mem::take(&mut inner.answered);
            inner.leave(passes.len(), now);
            passes
        };
        drop(passes);
        // The reader went to sleep while the request was handled and would not see the close.
        self.reader.wake();
    }

    /// Takes note that a request ended without an answer.
    pub(crate) fn abandoned(&self, now: Millis) {
        self.lock().leave(1, now);
    }

    fn close(&self) {
        self.lock().closed = true;
        self.reader.wake();
    }

    /// Cuts the connection if its sender has been too slow.
    fn check(&self, now: Millis, limits: Limits) {
        let mut inner = self.lock();
        let limit = match inner.activity {
            Activity::Waiting => limits.idle,
            Activity::Receiving(_) => limits.head,
            Activity::Handling(_) => return,
        };
        if now.since(inner.since) >= limit {
            inner.late = true;
            drop(inner);
            self.reader.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn leave(&mut self, requests: usize, now: Millis) {
        if let Activity::Handling(count) = &mut self.activity {
            *count = count.saturating_sub(requests);
            if *count == 0 {
                self.activity = Activity::Waiting;
                self.since = now;
            }
        }
    }
}

/// How long a connection may take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// From the first byte of a request to the last of its head.
    pub(crate) head: Duration,
    /// Between two requests.
    pub(crate) idle: Duration,
}

#[derive(Debug, Default)]
struct Open {
    connections: HashMap<SocketAddr, Arc<Connection>>,
    closed: bool,
}

/// The open connections of one listener.
#[derive(Debug, Default)]
pub(crate) struct Table {
    open: Mutex<Open>,
    empty: Notify,
}

impl Table {
    /// Takes in a connection, unless `most` are open.
    pub(crate) fn insert(
        &self,
        address: SocketAddr,
        now: Millis,
        most: usize,
    ) -> Option<Arc<Connection>> {
        let mut open = self.lock();
        if open.closed || open.connections.len() >= most {
            return None;
        }
        let connection = Arc::new(Connection::new(now));
        open.connections.insert(address, Arc::clone(&connection));
        Some(connection)
    }

    pub(crate) fn get(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        self.lock().connections.get(&address).cloned()
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        let mut open = self.lock();
        open.connections.remove(&address);
        if open.connections.is_empty() {
            self.empty.notify_waiters();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().connections.len()
    }

    /// Closes each connection as soon as it has no request.
    pub(crate) fn close(&self) {
        let mut open = self.lock();
        open.closed = true;
        for connection in open.connections.values() {
            connection.close();
        }
    }

    /// Waits until no connection is open.
    pub(crate) async fn empty(&self) {
        loop {
            let notified = self.empty.notified();
            if self.len() == 0 {
                return;
            }
            notified.await;
        }
    }

    /// Cuts the connections whose senders have been too slow.
    pub(crate) fn check(&self, now: Millis, limits: Limits) {
        for connection in self.lock().connections.values() {
            connection.check(now, limits);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
