//! A boolean flag that tasks can wait for.
//!
//! Waiting tasks are woken in the order in which they began to wait. The channels of tokio wake
//! several receivers in random order, so that two runs with the same seed would differ.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

use tokio::sync::Notify;

/// A boolean flag that tasks can wait for; it is initially lowered.
#[derive(Debug, Default)]
pub struct Flag {
    raised: AtomicBool,
    changed: Notify,
}

impl Flag {
    /// Raises or lowers the flag.
    pub fn set(&self, raised: bool) {
        self.raised.store(raised, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Returns whether the flag is raised.
    pub fn is_raised(&self) -> bool {
        self.raised.load(Ordering::SeqCst)
    }

    /// Waits until the flag is raised, or lowered if `raised` is false.
    pub async fn wait_until(&self, raised: bool) {
        loop {
            // Registered before the flag is read, so that a change in between is not missed.
            let changed = self.changed.notified();
            if self.is_raised() == raised {
                return;
            }
            changed.await;
        }
    }
}
