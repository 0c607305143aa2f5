//! The timeout of calls, from the time that recent calls took.
//!
//! A fixed timeout turns a slow link into a failing one: all calls are given up and repeated, which
//! fills the link further. So the timeout follows the median time of calls, in which a call that was
//! given up counts as longer than the median. Endpoints that never answer do not raise it as long as
//! they are the minority.

use std::time::Duration;

/// The relative change of the median by one call.
const GAIN: f64 = 0.05;

/// The factor from the median time of calls to their timeout.
const FACTOR: f64 = 4.0;

/// The median time of calls, and the range of their timeout.
#[derive(Debug, Clone)]
pub struct Estimator {
    median: Duration,
    min: Duration,
    max: Duration,
}

impl Estimator {
    /// Creates an estimator whose timeout is between `min`, with which it begins, and `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self {
            median: min.div_f64(FACTOR),
            min,
            max,
        }
    }

    /// Records that a call took `time`, or was given up after that.
    pub fn record(&mut self, time: Duration) {
        let factor = if time > self.median {
            1.0 + GAIN
        } else {
            1.0 - GAIN
        };
        let (min, max) = (self.min.div_f64(FACTOR), self.max.div_f64(FACTOR));
        self.median = self.median.mul_f64(factor).clamp(min, max);
    }

    /// Returns the timeout of the next call.
    pub fn timeout(&self) -> Duration {
        self.median.mul_f64(FACTOR).clamp(self.min, self.max)
    }
}
