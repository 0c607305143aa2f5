//! For how long an owner is not known to hold the claim.
//!
//! An owner goes on without the store, and can't tell an outage from a partition in which another VM has
//! claimed the workers.

use std::time::Duration;

use basilbridge_common::unit::Millis;

use crate::{
    engine::Engine,
    takeover::NOTICE_TIME, //
};

/// What an owner goes by that has no word from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Doubt {
    /// Time since the last proof from the store that this owner holds the claim.
    pub since_proof: Duration,
    /// Number of workers.
    pub workers: usize,
    /// Number of those that have answered this owner since.
    pub answering: usize,
}

impl Engine {
    /// Returns what this owner goes by if the store has not confirmed the claim for a while.
    pub fn claim_doubt(&self, now: Millis) -> Option<Doubt> {
        let confirmed_at = self.owned_at.max(self.started_at);
        let since_proof = now.since(confirmed_at);
        let answering = self.workers.values().filter(|worker| {
            !worker.unresponsive && worker.last_response.is_some_and(|at| at > confirmed_at)
        });
        (since_proof >= NOTICE_TIME).then(|| Doubt {
            since_proof,
            workers: self.workers.len(),
            answering: answering.count(),
        })
    }
}
