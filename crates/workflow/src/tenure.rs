//! Until when an owner may extend leases.
//!
//! An owner goes on without the store, and can't tell an outage from a partition in which another VM has
//! claimed the workers. So it extends leases only as far as its successor waits for them: to a lease and
//! `PROOF_TIME` after the latest proof that no successor counts with their end yet. See
//! `docs/design/takeover.md`.
//!
//! A successor counts with their end once half of the workers have answered it (`electorate`). Two things
//! prove that it does not yet:
//!
//! - *The store* has committed a write that was sent then, on the condition of the claim.
//! - *Most workers* have accepted polls that were sent then, with the epoch of this owner. Each of them
//!   refuses this owner from its answer to the successor on, unless it boots anew. Only boots count that
//!   had answered this owner before the last proof from the store: a successor can't have reached them
//!   before.

use std::time::Duration;

use basilbridge_common::{
    id::Version,
    unit::Millis, //
};

use crate::{
    active::Job,
    engine::Engine,
    worker, //
};

/// Time for which an owner goes on after a proof that it has no successor. It covers the time between
/// two polls of a worker, or between two writes.
const PROOF_TIME: Duration = Duration::from_millis(900);

/// Time with which its successor counts instead: it leaves room for a suspension of the owner's VM that
/// is too short to be noticed.
pub(crate) const NOTICE_TIME: Duration = Duration::from_millis(1500);

/// Time after the last word from the store from which the answers of workers prove nothing. A
/// successor that most workers never answer, since they have ended, would wait forever otherwise.
pub(crate) const MAX_STORE_SILENCE: Duration = Duration::from_secs(1800);

/// Age of the last word from the store from which workers are asked for proof.
const FRESH_TIME: Duration = Duration::from_millis(750);

/// What proves that an owner has no successor.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tenure {
    /// Time of the last stall. A proof from before it may be older than it seems.
    stalled_at: Millis,
    /// Time for which the owner was stalled since the last word from the store.
    stalled_for: Duration,
    /// Latest time at which most workers are known to have accepted the owner.
    accepted_at: Millis,
}

/// What an owner goes by that has no word from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Doubt {
    /// Time since the last word from the store that this owner holds the claim.
    pub since_proof: Duration,
    /// Number of workers.
    pub workers: usize,
    /// Number of those that have answered this owner since.
    pub answering: usize,
    /// Whether they show that it has no successor.
    pub is_proven: bool,
}

impl Engine {
    /// Records that a write that was sent at `sent`, on the condition that this owner holds the
    /// claim, has taken effect at `version`. No later owner existed then.
    pub fn confirm_ownership(&mut self, sent: Millis, version: Version) {
        self.owned_at = self.owned_at.max(sent);
        self.owned_version = self.owned_version.max(version);
        self.confirm_succession(sent, version);
        self.confirm_boots(sent);
        if sent > self.tenure.stalled_at {
            self.tenure.stalled_for = Duration::ZERO;
        }
    }

    /// Extends no lease until there is a new proof that this owner has no successor: it was stalled
    /// for `gap`, for which the clocks of its VM may have stood still.
    pub fn hold_leases(&mut self, gap: Duration, now: Millis) {
        self.tenure.stalled_at = now;
        self.tenure.stalled_for += gap;
    }

    /// Returns whether this owner is known to have no successor that counts with its leases, or was a
    /// moment ago.
    pub fn is_proven(&self, now: Millis) -> bool {
        self.proof()
            .is_some_and(|proof| now.since(proof) <= PROOF_TIME)
    }

    /// Returns whether tasks of a job may be started. One that was announced after the last word from
    /// the store may have been stored after a successor had claimed the workers, which takes it from
    /// the store.
    pub(crate) fn may_start(&self, job: &Job, now: Millis) -> bool {
        job.row_version <= self.owned_version || self.is_proven(now)
    }

    /// Returns the time from which the leases may last that are extended at `now`, or `None` if none may
    /// be extended.
    pub(crate) fn lease_base(&self, now: Millis) -> Option<Millis> {
        Some(self.proof()?.after(PROOF_TIME).min(now))
    }

    /// Returns the latest time at which no successor is known to have counted with a lease.
    fn proof(&self) -> Option<Millis> {
        let limit = MAX_STORE_SILENCE.saturating_sub(self.tenure.stalled_for);
        let accepted_at = self.tenure.accepted_at.min(self.owned_at.after(limit));
        let proof = self.owned_at.max(accepted_at);
        (proof > self.tenure.stalled_at).then_some(proof)
    }

    /// Returns whether the last word from the store is too old to be the only proof.
    pub(crate) fn needs_acceptance(&self, now: Millis) -> bool {
        now.since(self.owned_at) >= FRESH_TIME || self.owned_at <= self.tenure.stalled_at
    }

    /// Records that a worker has answered a poll that was sent at `sent`, with the epoch of this owner.
    pub(crate) fn record_acceptance(&mut self, key: worker::Key, sent: Millis) {
        let worker = &mut self.workers[key];
        let is_first = worker.accepted_at == Millis(0);
        worker.accepted_at = worker.accepted_at.max(sent);
        if is_first {
            self.unconfirmed_boots.push(key);
            self.needs_confirmation = true;
        }
    }

    /// Records that no later owner can have reached the boots that had answered by `sent`.
    fn confirm_boots(&mut self, sent: Millis) {
        let workers = &mut self.workers;
        self.unconfirmed_boots.retain(|key| {
            let Some(worker) = workers.get_mut(*key) else {
                return false;
            };
            worker.is_boot_confirmed = worker.had_answered(sent);
            !worker.is_boot_confirmed
        });
        self.needs_confirmation |= !self.unconfirmed_boots.is_empty();
    }

    /// Determines since when most workers have accepted this owner, if that is needed.
    pub(crate) fn count_acceptance(&mut self, now: Millis) {
        if !self.needs_acceptance(now) {
            return;
        }
        let voters = self.workers.values().filter(|worker| {
            let is_counted = worker.is_on_roster
                && !worker.is_recorded
                && !self.stored_joined.contains(&worker.info.name);
            is_counted && worker.is_boot_confirmed && !worker.replaced
        });
        let mut accepted: Vec<Millis> = voters.map(|worker| worker.accepted_at).collect();
        let majority = self.roster_size / 2;
        if self.roster_size == 0 || accepted.len() <= majority {
            return;
        }
        let (_, since, _) =
            accepted.select_nth_unstable_by(majority, |left, right| right.cmp(left));
        self.tenure.accepted_at = self.tenure.accepted_at.max(*since);
    }

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
            is_proven: self.is_proven(now),
        })
    }
}
