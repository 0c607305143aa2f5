//! The phase of a drain and the count of requests in flight.

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

/// The phase of a VM's drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// The VM accepts requests.
    #[default]
    Serving,
    /// Requests are still answered, and callers are told to send the next one to another VM.
    Draining,
    /// No connection is accepted, and those without a request are closed.
    Closing,
}

#[derive(Debug, Default)]
struct Shared {
    in_flight: AtomicUsize,
    phase: watch::Sender<Phase>,
    idle: Notify,
}

/// The phase of the drain and the count of requests in flight; clones share both.
#[derive(Debug, Clone, Default)]
pub struct DrainState {
    shared: Arc<Shared>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    shared: Arc<Shared>,
}

impl DrainState {
    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.shared.in_flight.fetch_add(1, Ordering::SeqCst);
        RequestGuard {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Advances to `phase`; a call with an earlier phase has no effect.
    pub fn advance(&self, phase: Phase) {
        self.shared
            .phase
            .send_if_modified(|current| (phase > *current).then(|| *current = phase).is_some());
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.shared.phase.borrow()
    }

    /// Returns whether the drain has begun.
    pub fn is_draining(&self) -> bool {
        self.phase() >= Phase::Draining
    }

    /// Waits until `phase` or a later one is reached.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut receiver = self.shared.phase.subscribe();
        // Cannot fail, as the sender lives as long as this state.
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
