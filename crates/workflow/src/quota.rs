//! Jobs in excess of the rate that a team is entitled to.
//!
//! A team may send many times its usual load at once. Its jobs beyond `weight` per second wait
//! behind those of all other teams. See `docs/design/waiting.md`.

use std::collections::HashMap;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::admission::bucket::{
    Bucket,
    Limits, //
};

/// Unused entitlement that a team may save up, in seconds, so that a short burst within its average
/// rate is not in excess.
pub const BURST_SECONDS: f64 = 4.0;

/// Returns the most jobs that a team with `weight` may save up.
pub fn burst(weight: f64) -> f64 {
    (weight * BURST_SECONDS).max(1.0)
}

/// Remaining entitlement of each team.
///
/// Jobs in excess are not counted, so that a team is within its quota again as soon as it sends no
/// more than its rate. [`crate::admission::rates`] counts them.
#[derive(Debug, Default)]
pub struct TeamQuotas {
    buckets: HashMap<Name, Bucket>,
}

impl TeamQuotas {
    /// Counts a job that was accepted at `accepted_at` from a team with `weight`. Returns whether
    /// the job is in excess.
    pub fn count_job(&mut self, team: &Name, weight: f64, accepted_at: Millis) -> bool {
        let limits = Limits {
            rate: weight,
            capacity: burst(weight),
            floor: 0.0,
        };
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| Bucket::full(&limits, accepted_at));
        !bucket.take(&limits, accepted_at)
    }
}
