//! The count of requests in flight, and whether new ones are taken.

use std::sync::{
    Arc,
    atomic::{
        AtomicBool,
        AtomicUsize,
        Ordering, //
    },
};

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Shared {
    in_flight: AtomicUsize,
    draining: AtomicBool,
    idle: Notify,
}

/// Counts the requests in flight; clones share one count.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    shared: Arc<Shared>,
}

/// A request in flight, counted until it is dropped.
#[derive(Debug)]
pub struct Pass {
    shared: Arc<Shared>,
}

impl Gate {
    /// Counts a request until the pass is dropped.
    pub fn enter(&self) -> Pass {
        self.shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Pass {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Takes no new requests from now on.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Says whether the drain has begun.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        loop {
            let notified = self.shared.idle.notified();
            if self.shared.in_flight.load(Ordering::SeqCst) == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if self.shared.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.shared.idle.notify_waiters();
        }
    }
}
