//! Whether this process stood still: frozen, or on a VM that was suspended.
//!
//! The timer service does not count the time of a suspended VM, but the leases and signs that others
//! go by do. So an owner measures the time between its turns by a clock that does, and checks its
//! title after a gap before it sends orders.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// The longest time between two turns after which the title still counts as held: a little less than
/// after which a VM that does not answer may be replaced.
pub const LONGEST_GAP: Duration = Duration::from_millis(600);

/// When the owner last had its turn, by a clock that goes on while the VM is suspended.
#[derive(Debug)]
pub struct Watch {
    turn: AtomicU64,
}

impl Watch {
    /// Makes a watch whose first turn is at `now`.
    pub fn new(now: Duration) -> Self {
        let watch = Self {
            turn: AtomicU64::new(0),
        };
        watch.turn(now);
        watch
    }

    /// Takes note of a turn.
    pub fn turn(&self, now: Duration) {
        let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.turn.store(millis, Ordering::Release);
    }

    /// Returns the time since the last turn if it was too long, or nothing.
    pub fn gap(&self, now: Duration) -> Option<Duration> {
        let last = Duration::from_millis(self.turn.load(Ordering::Acquire));
        let gap = now.saturating_sub(last);
        (gap > LONGEST_GAP).then_some(gap)
    }
}

/// Returns the time since the VM booted, suspended time included.
pub(crate) fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
