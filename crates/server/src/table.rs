//! The open connections of a listener.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use basilbridge_common::unit::Millis;
use tokio::sync::Notify;

use crate::{
    connection::{
        Connection,
        Timeouts, //
    },
    eviction, //
};

/// How many connections may be evicted and still be open, since a newcomer is accepted before they
/// have ended.
const MAX_EVICTED: usize = 32;

#[derive(Debug, Default)]
struct TableState {
    connections: HashMap<SocketAddr, Arc<Connection>>,
    /// How many of them are evicted.
    evicted: usize,
    closed: bool,
}

impl TableState {
    /// Evicts the connection that is worth the least. Returns `None` if there is none.
    fn evict(&mut self, now: Millis) -> Option<()> {
        if self.evicted >= MAX_EVICTED {
            return None;
        }
        let waiting = self.connections.values().filter_map(|connection| {
            let (wait, since) = connection.waiting()?;
            Some((connection, wait, since))
        });
        eviction::choose_connection(waiting, now)?.evict();
        self.evicted += 1;
        Some(())
    }
}

/// The open connections of one listener.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    state: Mutex<TableState>,
    emptied: Notify,
}

impl ConnectionTable {
    /// Adds a connection, for which another is evicted if `max_connections` are open. Returns `None`
    /// if the table is closed, or no open connection waits for its client.
    pub(crate) fn insert(
        &self,
        address: SocketAddr,
        now: Millis,
        max_connections: usize,
        http1_only: bool,
    ) -> Option<Arc<Connection>> {
        let mut state = self.lock();
        if state.closed {
            return None;
        }
        if state.connections.len() - state.evicted >= max_connections {
            state.evict(now)?;
        }
        let connection = Arc::new(Connection::new(now, http1_only));
        state.connections.insert(address, Arc::clone(&connection));
        Some(connection)
    }

    pub(crate) fn get(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        self.lock().connections.get(&address).cloned()
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        let mut state = self.lock();
        let removed = state.connections.remove(&address);
        if removed.is_some_and(|connection| connection.is_evicted()) {
            state.evicted -= 1;
        }
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

    /// Waits until no connection is open.
    pub(crate) async fn wait_empty(&self) {
        loop {
            let notified = self.emptied.notified();
            if self.len() == 0 {
                return;
            }
            notified.await;
        }
    }

    /// Aborts the connections whose clients have been too slow.
    pub(crate) fn check_timeouts(&self, now: Millis, timeouts: Timeouts) {
        for connection in self.lock().connections.values() {
            connection.check_timeouts(now, timeouts);
        }
    }

    /// Aborts the connections whose clients have stopped in the middle of a request or of an answer.
    pub(crate) fn abort_stalled(&self, now: Millis) {
        for connection in self.lock().connections.values() {
            connection.abort_stalled(now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
