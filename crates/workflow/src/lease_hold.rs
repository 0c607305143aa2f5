//! Why an owner that was stalled extends no lease at first.
//!
//! Another VM may have claimed the workers meanwhile. It counts with the leases that were granted until
//! the earlier owner notices, and an owner that wakes up later would go on to extend those of workers
//! that the new one does not reach. See `docs/design/takeover.md`.

use std::collections::HashSet;

use basilbridge_common::unit::Millis;

use crate::{
    engine::Engine,
    worker, //
};

/// A stall, and the workers that have accepted this owner since.
#[derive(Debug, Clone)]
pub struct Hold {
    /// Time when the stall was noticed.
    pub(crate) since: Millis,
    answered: HashSet<worker::Key>,
}

impl Engine {
    /// Extends no lease until a conditional write, a read of the claim or the answers of most workers
    /// show that no other owner has claimed them.
    pub fn hold_leases(&mut self, now: Millis) {
        self.lease_hold = Some(Hold {
            since: now,
            answered: HashSet::new(),
        });
        self.mark_held(true);
    }

    /// Extends leases again.
    pub fn release_leases(&mut self) {
        if self.lease_hold.take().is_some() {
            self.mark_held(false);
        }
    }

    /// Records that a worker has answered a poll that was sent at `sent`, with the epoch of this owner.
    ///
    /// Most workers have to answer a new owner before it counts with the end of any lease, so it can't
    /// have done so while most of them still accept this one.
    pub(crate) fn record_answer(&mut self, key: worker::Key, sent: Millis) {
        let count = self.workers.len();
        let Some(hold) = &mut self.lease_hold else {
            return;
        };
        if sent >= hold.since {
            hold.answered.insert(key);
        }
        if hold.answered.len() * 2 > count {
            self.release_leases();
        }
    }

    fn mark_held(&mut self, is_held: bool) {
        for worker in self.workers.values_mut() {
            worker.is_lease_held = is_held;
        }
    }
}
