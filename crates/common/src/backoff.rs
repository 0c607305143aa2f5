//! Waiting times between tries that fail, so that a peer that is down is not dialled in a storm.

use std::time::Duration;

use crate::unit::Millis;

/// How long to wait before the next try.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
    until: Millis,
}

impl Backoff {
    /// Makes a back-off that starts with `first` and doubles up to `longest`.
    pub const fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            failures: 0,
            until: Millis(0),
        }
    }

    /// Returns how long to wait from `now` on, if at all.
    pub fn remaining(&self, now: Millis) -> Option<Duration> {
        (now < self.until).then(|| self.until.since(now))
    }

    /// Takes note of a try that failed; `random` lies between zero and one and spreads the next
    /// tries of many over the second half of the waiting time.
    ///
    /// Tries that were made side by side count as one.
    pub fn record_failure(&mut self, now: Millis, random: f64) {
        if self.remaining(now).is_some() {
            return;
        }
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        let whole = doubled.min(self.longest);
        self.failures += 1;
        self.until = now.after(whole.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0));
    }

    /// Takes note of a try that succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.until = Millis(0);
    }
}
