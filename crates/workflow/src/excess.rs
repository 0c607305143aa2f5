//! Which jobs lie beyond what a team is owed.
//!
//! Answers the load in which one team sends many times its usual: its jobs beyond `weight` a second
//! wait behind those of all others. See `docs/design/waiting.md`.

use std::collections::HashMap;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

/// For how many seconds a team may save up what it did not send, so that a short burst within its
/// share counts as owed.
const SAVED_SECONDS: f64 = 4.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    left: f64,
    at: Millis,
}

/// What each team may still send for now.
#[derive(Debug, Default)]
pub struct Meter {
    buckets: HashMap<Name, Bucket>,
}

impl Meter {
    /// Counts a job of a team with `weight`, and says whether it lies beyond what the team is owed.
    pub fn count(&mut self, tenant: &Name, weight: f64, at: Millis) -> bool {
        let most = (weight * SAVED_SECONDS).max(1.0);
        let bucket = self
            .buckets
            .entry(tenant.clone())
            .or_insert(Bucket { left: most, at });
        let passed = at.since(bucket.at).as_secs_f64();
        bucket.left = (bucket.left + passed * weight).min(most);
        bucket.at = bucket.at.max(at);
        if bucket.left < 1.0 {
            return true;
        }
        bucket.left -= 1.0;
        false
    }
}
