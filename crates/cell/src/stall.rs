//! Detects that this process was stalled: frozen, or on a suspended VM.
//!
//! The timer service does not count the time while the VM is suspended, but leases and heartbeat
//! timeouts expire meanwhile. So the owner measures the time between the turns of its loop with a
//! clock that counts it, and checks its ownership after a gap before it sends orders.

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

/// The maximum time between two turns without a check of the ownership. It is a little shorter than
/// the time after which a VM that does not answer may be replaced.
pub const MAX_GAP: Duration = Duration::from_millis(600);

/// The time of the owner's last turn, in milliseconds of a clock that counts suspended time.
#[derive(Debug)]
pub struct StallDetector {
    last_turn: AtomicU64,
}

impl StallDetector {
    /// Creates a detector whose first turn is at `now`.
    pub fn new(now: Duration) -> Self {
        let detector = Self {
            last_turn: AtomicU64::new(0),
        };
        detector.record_turn(now);
        detector
    }

    /// Records a turn at `now`.
    pub fn record_turn(&self, now: Duration) {
        let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.last_turn.store(millis, Ordering::Release);
    }

    /// Returns the time since the last turn if it exceeds [`MAX_GAP`].
    pub fn gap(&self, now: Duration) -> Option<Duration> {
        let last = Duration::from_millis(self.last_turn.load(Ordering::Acquire));
        let gap = now.saturating_sub(last);
        (gap > MAX_GAP).then_some(gap)
    }
}

/// Returns the time since the VM booted, including suspended time.
pub(crate) fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
