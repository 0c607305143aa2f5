//! Exponential back-off with jitter, so that callers do not reconnect to a failed peer all at once.

use std::time::Duration;

use crate::unit::Millis;

/// The state of an exponential back-off: the number of failures and the time of the next attempt.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    initial_delay: Duration,
    max_delay: Duration,
    failures: u32,
    retry_at: Millis,
}

impl Backoff {
    /// Creates a back-off whose delay starts at `initial_delay` and doubles up to `max_delay`.
    pub const fn new(initial_delay: Duration, max_delay: Duration) -> Self {
        Self {
            initial_delay,
            max_delay,
            failures: 0,
            retry_at: Millis(0),
        }
    }

    /// Returns how long to wait from `now` on, or `None` if an attempt may be made.
    pub fn remaining(&self, now: Millis) -> Option<Duration> {
        (now < self.retry_at).then(|| self.retry_at.since(now))
    }

    /// Records a failed attempt.
    ///
    /// `random` is between zero and one. It spreads the next attempts of many callers over the
    /// second half of the delay. Failures of concurrent attempts count as one.
    pub fn record_failure(&mut self, now: Millis, random: f64) {
        if self.remaining(now).is_some() {
            return;
        }
        let doubled = self
            .initial_delay
            .saturating_mul(1 << self.failures.min(16));
        let delay = doubled.min(self.max_delay);
        self.failures += 1;
        self.retry_at = now.after(delay.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0));
    }

    /// Records a successful attempt and resets the delay.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.retry_at = Millis(0);
    }
}
