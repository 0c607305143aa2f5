//! How long the capacities in the list of workers may be relied on.
//!
//! The load that this answers: workers shrink while the store is silent. They can't tell it, the
//! list can't be read, and tasks that go on to start find no room. See `docs/design/capacities.md`.

use std::time::Duration;

use basilbridge_common::unit::Millis;

/// Time that a start takes to reach its worker.
const START_MARGIN: Duration = Duration::from_millis(200);

/// Times within which a change of a capacity is told and counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Time for which a capacity that has shrunk still counts, less a heartbeat.
    pub lifetime: Duration,
    /// Time between two heartbeats of a worker, with which it tells its capacity.
    pub heartbeat: Duration,
}

impl Bounds {
    /// Returns whether the list that was asked for at `asked_at` has all capacities of one
    /// heartbeat before. The store was silent until `store_returned_at`, and workers could not
    /// write to it; zero stands for never.
    pub fn is_told(&self, asked_at: Millis, store_returned_at: Millis) -> bool {
        store_returned_at == Millis(0) || asked_at >= store_returned_at.after(self.heartbeat)
    }

    /// Returns whether capacities that were told by a list which was asked for at `told_at` are too
    /// old to start tasks by.
    pub fn is_outdated(&self, told_at: Millis, now: Millis) -> bool {
        now.since(told_at) >= self.lifetime.saturating_sub(START_MARGIN)
    }
}
