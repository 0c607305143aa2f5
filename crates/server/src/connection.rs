//! The state of each open connection.
//!
//! `gotham` does not expose its connections, so the stream, the request handler and the drain share
//! their state here. See
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

/// The activity of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// No request is in progress.
    Idle,
    /// The head of a request is being received; the number of bytes so far.
    Receiving(usize),
    /// Requests are being handled; their number.
    Handling(usize),
}

#[derive(Debug)]
struct ConnectionState {
    activity: Activity,
    since: Millis,
    /// Requests whose responses are written, but not flushed.
    unflushed: Vec<RequestGuard>,
    closing: bool,
    timed_out: bool,
}

/// One open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    state: Mutex<ConnectionState>,
    /// Wakes the reader when the connection has to be closed.
    pub(crate) reader: AtomicWaker,
}

/// What a reader may do with the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permission {
    /// Continue to read.
    Read,
    /// Read what has been received, and close the connection if nothing has.
    Close,
    /// Close the connection with an error: the sender was too slow, or its head is too long.
    Abort,
}

impl Connection {
    fn new(now: Millis) -> Self {
        Self {
            state: Mutex::new(ConnectionState {
                activity: Activity::Idle,
                since: now,
                unflushed: Vec::new(),
                closing: false,
                timed_out: false,
            }),
            reader: AtomicWaker::new(),
        }
    }

    /// Returns what the reader may do.
    pub(crate) fn permission(&self, max_head_bytes: usize) -> Permission {
        let state = self.lock();
        match state.activity {
            _ if state.timed_out => Permission::Abort,
            Activity::Receiving(bytes) if bytes >= max_head_bytes => Permission::Abort,
            Activity::Idle if state.closing => Permission::Close,
            _ => Permission::Read,
        }
    }

    /// Records the number of bytes received.
    pub(crate) fn received(&self, now: Millis, bytes: usize) {
        let mut state = self.lock();
        match &mut state.activity {
            Activity::Receiving(total) => *total += bytes,
            Activity::Idle => {
                state.activity = Activity::Receiving(bytes);
                state.since = now;
            }
            Activity::Handling(_) => {}
        }
    }

    /// Records that the head of a request is complete.
    pub(crate) fn begin_request(&self) {
        let mut state = self.lock();
        state.activity = match state.activity {
            Activity::Handling(count) => Activity::Handling(count + 1),
            _ => Activity::Handling(1),
        };
    }

    /// Records that the last byte of a response is written, but not flushed.
    pub(crate) fn response_written(&self, guard: RequestGuard) {
        self.lock().unflushed.push(guard);
    }

    /// Records that everything written has been flushed.
    pub(crate) fn flushed(&self, now: Millis) {
        let guards = {
            let mut state = self.lock();
            if state.unflushed.is_empty() {
                return;
            }
            let guards = std::mem::take(&mut state.unflushed);
            state.end_requests(guards.len(), now);
            guards
        };
        drop(guards);
        // The reader was suspended while the request was handled, and has to see that the
        // connection is closing.
        self.reader.wake();
    }

    /// Records that a request ended without a response.
    pub(crate) fn request_aborted(&self, now: Millis) {
        self.lock().end_requests(1, now);
    }

    fn close(&self) {
        self.lock().closing = true;
        self.reader.wake();
    }

    /// Marks the connection as timed out if its sender has been too slow.
    fn check_timeouts(&self, now: Millis, timeouts: Timeouts) {
        let mut state = self.lock();
        let timeout = match state.activity {
            Activity::Idle => timeouts.idle,
            Activity::Receiving(_) => timeouts.head,
            Activity::Handling(_) => return,
        };
        if now.since(state.since) >= timeout {
            state.timed_out = true;
            drop(state);
            self.reader.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionState {
    fn end_requests(&mut self, requests: usize, now: Millis) {
        if let Activity::Handling(count) = &mut self.activity {
            *count = count.saturating_sub(requests);
            if *count == 0 {
                self.activity = Activity::Idle;
                self.since = now;
            }
        }
    }
}

/// The timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timeouts {
    /// From the first byte of a request to the end of its head.
    pub(crate) head: Duration,
    /// Between two requests.
    pub(crate) idle: Duration,
}

#[derive(Debug, Default)]
struct TableState {
    connections: HashMap<SocketAddr, Arc<Connection>>,
    closed: bool,
}

/// The open connections of one listener.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    state: Mutex<TableState>,
    emptied: Notify,
}

impl ConnectionTable {
    /// Adds a connection; returns `None` if the table is closed or `max_connections` are state.
    pub(crate) fn insert(
        &self,
        address: SocketAddr,
        now: Millis,
        max_connections: usize,
    ) -> Option<Arc<Connection>> {
        let mut state = self.lock();
        if state.closed || state.connections.len() >= max_connections {
            return None;
        }
        let connection = Arc::new(Connection::new(now));
        state.connections.insert(address, Arc::clone(&connection));
        Some(connection)
    }

    pub(crate) fn get(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        self.lock().connections.get(&address).cloned()
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        let mut state = self.lock();
        state.connections.remove(&address);
        if state.connections.is_empty() {
            self.emptied.notify_waiters();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().connections.len()
    }

    /// Closes each connection as soon as it has no request.
    pub(crate) fn close(&self) {
        let mut state = self.lock();
        state.closed = true;
        for connection in state.connections.values() {
            connection.close();
        }
    }

    /// Waits until no connection is state.
    pub(crate) async fn wait_empty(&self) {
        loop {
            let notified = self.emptied.notified();
            if self.len() == 0 {
                return;
            }
            notified.await;
        }
    }

    /// Marks the connections as timed out whose senders have been too slow.
    pub(crate) fn check_timeouts(&self, now: Millis, timeouts: Timeouts) {
        for connection in self.lock().connections.values() {
            connection.check_timeouts(now, timeouts);
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
