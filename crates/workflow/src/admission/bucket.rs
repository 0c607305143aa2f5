//! A token bucket that counts jobs against a rate.

use basilbridge_common::unit::Millis;

/// The size of a bucket, in jobs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Tokens that are added per second.
    pub rate: f64,
    /// Most tokens that can be saved up.
    pub capacity: f64,
    /// Tokens below which the bucket does not fall; negative if it may go into debt.
    pub floor: f64,
}

/// The tokens that are left, and when that was computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    tokens: f64,
    refilled_at: Millis,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn full(limits: &Limits, now: Millis) -> Self {
        Self {
            tokens: limits.capacity,
            refilled_at: now,
        }
    }

    /// Returns the tokens at `now`.
    pub fn tokens(&self, limits: &Limits, now: Millis) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.tokens + elapsed * limits.rate).min(limits.capacity)
    }

    /// Takes one token, unless the bucket would fall below its floor. Returns whether a whole token
    /// was left.
    ///
    /// Jobs arrive out of order by some milliseconds, since they carry the time of the VM that
    /// accepted them. A job from the past adds no tokens.
    pub fn take(&mut self, limits: &Limits, now: Millis) -> bool {
        self.tokens = self.tokens(limits, now);
        self.refilled_at = self.refilled_at.max(now);
        let had_token = self.tokens >= 1.0;
        if self.tokens - 1.0 >= limits.floor {
            self.tokens -= 1.0;
        }
        had_token
    }
}
