//! A flag that tasks wait for.
//!
//! Those who wait go on in the order in which they came. The channels of tokio wake many receivers
//! in a random order, which would make a run by seed differ from the next.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

use tokio::sync::Notify;

/// A flag that tasks wait for; it is down at first.
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

    /// Says whether the flag is raised.
    pub fn is_raised(&self) -> bool {
        self.raised.load(Ordering::SeqCst)
    }

    /// Waits until the flag is raised, or lowered.
    pub async fn wait_until(&self, raised: bool) {
        loop {
            // This counts as waiting from here on, so that no change is missed.
            let changed = self.changed.notified();
            if self.is_raised() == raised {
                return;
            }
            changed.await;
        }
    }
}
