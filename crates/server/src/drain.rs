//! The count of requests in flight, and whether new ones are taken.

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    },
};

use tokio::sync::{
    Notify,
    watch, //
};

/// How far the end of a VM has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// Requests are taken.
    #[default]
    Serving,
    /// Requests are answered, and callers are told to go elsewhere with the next one.
    Draining,
    /// No connection is taken, and those without a request are closed.
    Closing,
}

#[derive(Debug, Default)]
struct Shared {
    in_flight: AtomicUsize,
    phase: watch::Sender<Phase>,
    idle: Notify,
}

/// Counts the requests in flight; clones share one count.
#[derive(Debug, Clone, Default)]
pub struct DrainState {
    shared: Arc<Shared>,
}

/// A request in flight, counted until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    shared: Arc<Shared>,
}

impl DrainState {
    /// Counts a request until the pass is dropped.
    pub fn enter(&self) -> RequestGuard {
        self.shared.in_flight.fetch_add(1, Ordering::SeqCst);
        RequestGuard {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Moves the end of the VM on; it never goes back.
    pub fn advance(&self, phase: Phase) {
        self.shared
            .phase
            .send_if_modified(|current| (phase > *current).then(|| *current = phase).is_some());
    }

    /// Returns how far the end of the VM has come.
    pub fn phase(&self) -> Phase {
        *self.shared.phase.borrow()
    }

    /// Says whether the drain has begun.
    pub fn is_draining(&self) -> bool {
        self.phase() >= Phase::Draining
    }

    /// Waits until the end of the VM has come as far as `phase`.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut receiver = self.shared.phase.subscribe();
        // The sender lives as long as this state, which is borrowed here.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.shared.idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.shared.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.shared.idle.notify_waiters();
        }
    }
}
