//! Jobs in excess of the rate that a team is entitled to.
//!
//! A team may send many times its usual load at once. Its jobs beyond `weight` per second wait
//! behind those of all other teams. See `docs/design/waiting.md`.

use std::collections::HashMap;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

/// Unused entitlement that a team may save up, in seconds, so that a short burst within its average
/// rate is not in excess.
const BURST_SECONDS: f64 = 4.0;

/// Token bucket of one team, in jobs.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    refilled_at: Millis,
}

/// Remaining entitlement of each team.
#[derive(Debug, Default)]
pub struct TeamQuotas {
    buckets: HashMap<Name, Bucket>,
}

impl TeamQuotas {
    /// Counts a job that was accepted at `accepted_at` from a team with `weight`. Returns whether
    /// the job is in excess.
    pub fn count_job(&mut self, team: &Name, weight: f64, accepted_at: Millis) -> bool {
        let capacity = (weight * BURST_SECONDS).max(1.0);
        let bucket = self.buckets.entry(team.clone()).or_insert(Bucket {
            tokens: capacity,
            refilled_at: accepted_at,
        });
        let elapsed = accepted_at.since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * weight).min(capacity);
        bucket.refilled_at = bucket.refilled_at.max(accepted_at);
        if bucket.tokens < 1.0 {
            return true;
        }
        bucket.tokens -= 1.0;
        false
    }
}
