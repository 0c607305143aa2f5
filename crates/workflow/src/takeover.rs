//! When tasks of an earlier owner may be started again.
//!
//! Starts of most tasks are not stored. A task that an earlier owner accepted may be running on any
//! worker that has not answered this owner yet. It therefore waits until all workers have answered, or
//! until the leases granted by earlier owners are guaranteed to have expired. Long-running tasks, whose
//! starts are stored, wait for one worker only; see `docs/design/lasting.md`. Jobs that were stored while
//! an earlier owner may have been able to start them wait too. See `docs/design/takeover.md`.

use std::{
    collections::HashSet,
    time::Duration, //
};

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};

use crate::{
    engine::Engine,
    event::Event,
    lease,
    tenure::{
        MAX_STORE_SILENCE,
        NOTICE_TIME, //
    },
    worker, //
};

/// Name that stands for workers which an earlier owner knew and that can't be read.
pub(crate) const UNKNOWN: &str = "";

impl Engine {
    /// Adds workers that an earlier owner knew, which may still run its tasks.
    pub fn expect_workers(&mut self, names: impl IntoIterator<Item = Name>) {
        if let Some(unconfirmed) = &mut self.unconfirmed {
            let workers = &self.workers;
            let has_answered = |name: &Name| {
                let worker = self.workers_by_name.get(name).map(|key| &workers[*key]);
                worker.is_some_and(|worker| worker.is_inventoried)
            };
            for name in names.into_iter().filter(|name| !has_answered(name)) {
                self.electorate.add_listed(&name);
                unconfirmed.insert(name);
            }
        }
    }

    /// Returns whether an earlier owner may have started a job whose row has `version`.
    ///
    /// Such an owner starts nothing that was stored after its last proof that it has no successor,
    /// except within [`NOTICE_TIME`]. When a row arrives here says nothing: the feed may be late.
    pub(crate) fn may_be_known_to_predecessor(&self, version: Version) -> bool {
        self.sole_since.is_none_or(|since| version <= since)
    }

    /// Returns whether all owners before this one are known to start and extend nothing any more.
    pub fn is_sole(&self) -> bool {
        self.sole_since.is_some()
    }

    /// Returns whether reports about unknown jobs may concern jobs that are still to arrive.
    pub(crate) fn expects_unknown_jobs(&self) -> bool {
        self.settings.epoch > 0
            && self
                .sole_since
                .is_none_or(|since| self.accepted_version < since)
    }

    /// Records that this owner held the claim at `version`, by a write that was sent at `sent`. No
    /// earlier owner can start what is stored later, if it could start nothing at `sent`.
    pub(crate) fn confirm_succession(&mut self, sent: Millis, version: Version) {
        if self.sole_since.is_none() && sent >= self.last_start() {
            self.sole_since = Some(version);
        }
    }

    /// Returns the time from which on no earlier owner starts or extends anything.
    fn last_start(&self) -> Millis {
        let proven_until = self
            .majority_answered_at
            .unwrap_or_else(|| self.started_at.after(MAX_STORE_SILENCE));
        let unproven = proven_until.after(NOTICE_TIME);
        self.predecessor_ended_at
            .map_or(unproven, |ended_at| unproven.min(ended_at))
    }

    /// Records that the owner before is known to have ended, and that it had outlived all owners before
    /// it.
    pub fn record_predecessor_end(&mut self, now: Millis) {
        self.predecessor_ended_at.get_or_insert(now);
    }

    /// Returns whether tasks of an earlier owner may be started.
    pub fn is_settled(&self) -> bool {
        self.unconfirmed.is_none()
    }

    /// Records that it is known what a worker runs: it has listed all of it, or it has ended.
    pub(crate) fn confirm_worker(&mut self, name: &Name, now: Millis) {
        if let Some(unconfirmed) = &mut self.unconfirmed {
            unconfirmed.remove(name);
        }
        self.electorate.record_answer(name);
        self.release_held(name);
        self.release_starts(name, now);
    }

    /// Returns the time when all leases of earlier owners are over, as far as it is known by now.
    ///
    /// The earlier owner extends leases up to [`NOTICE_TIME`] and a lease after the last proof that it
    /// has no successor, which it can't have once half of the workers have answered this one, or
    /// [`MAX_STORE_SILENCE`] after the claim. One that is known to have ended extends none.
    pub(crate) fn earlier_leases_end(&self) -> Millis {
        if self.settings.epoch == 0 {
            return Millis(0);
        }
        let lease = lease::worst_case(self.earlier_lease());
        self.last_start().after(lease)
    }

    /// Returns whether [`Engine::earlier_leases_end`] does not change any more.
    pub(crate) fn is_earlier_end_certain(&self) -> bool {
        self.predecessor_ended_at.is_some() || self.majority_answered_at.is_some()
    }

    /// Returns whether a worker has answered this owner, if only with a part of its ends.
    pub(crate) fn has_answered(&self, name: &Name) -> bool {
        let worker = self.worker(name);
        worker.is_some_and(|worker| worker.boot.is_some())
    }

    /// Returns whether a worker may run tasks of an earlier owner that are not known.
    pub(crate) fn may_run_unknown(&self, name: &Name) -> bool {
        let is_awaited = |names: &HashSet<Name>| names.contains(name) || names.contains(UNKNOWN);
        let is_inventoried = self
            .worker(name)
            .is_some_and(|worker| worker.is_inventoried);
        let is_expected = self.unconfirmed.as_ref().is_some_and(is_awaited);
        !is_inventoried && (is_expected || self.held.contains_key(name))
    }

    /// Returns the longest lease that an earlier owner may have granted.
    fn earlier_lease(&self) -> Duration {
        let lineage = &self.settings.lineage;
        lineage.earlier_lease.min(self.settings.max_lease)
    }

    /// Returns the time when all leases of a worker are over, unless it answers before.
    pub(crate) fn leases_end(&self, key: worker::Key) -> Millis {
        let (max_lease, earlier_lease) = (self.settings.max_lease, self.earlier_lease());
        self.workers[key].leases_end(max_lease, earlier_lease, self.started_at)
    }

    /// Returns the time when the leases of a worker that has not answered this owner are over. An
    /// earlier owner may have told it, so that the wait does not begin anew with each owner.
    pub(crate) fn unanswered_leases_end(&self, name: &Name) -> Millis {
        let end = self.earlier_leases_end();
        let inherited = self.inherited_ends.get(name);
        inherited.map_or(end, |inherited| end.min(*inherited))
    }

    /// Stops waiting for a worker that has not answered this owner.
    fn abandon_worker(&mut self, name: &Name, evidence: &'static str, now: Millis) {
        self.events.push(Event::Abandoned {
            worker: name.clone(),
            evidence,
            waited: now.since(self.started_at),
            since_majority: self.majority_answered_at.map(|at| now.since(at)),
        });
        self.confirm_worker(name, now);
    }

    /// Stops waiting for the workers whose leases are over by the record of an earlier owner.
    fn drop_ended(&mut self, now: Millis) {
        let ended = self.inherited_ends.iter();
        let ended: Vec<(Name, Millis)> = ended
            .filter(|(name, end)| now >= **end && !self.has_answered(name))
            .map(|(name, end)| (name.clone(), *end))
            .collect();
        for (name, end) in ended {
            if !self.is_over(end, now) {
                continue;
            }
            self.inherited_ends.remove(&name);
            self.abandon_worker(&name, "the recorded end of its leases is over", now);
        }
    }

    /// Stops waiting for all workers that have not answered this owner, whose leases are over.
    ///
    /// One that has answered with a part of its ends holds a lease of this owner. It may have ended
    /// tasks that it has not told of.
    fn drop_unanswered(&mut self, now: Millis) {
        let awaited = self.unconfirmed.iter().flatten().chain(self.held.keys());
        let unanswered: Vec<Name> = awaited
            .filter(|name| !self.has_answered(name))
            .cloned()
            .collect();
        for name in unanswered {
            self.abandon_worker(&name, "the leases of earlier owners are over", now);
        }
    }

    /// Decides whether any worker may still run unknown tasks of an earlier owner, or the tasks that
    /// are held back for it.
    pub(crate) fn settle(&mut self, now: Millis) {
        if self.unconfirmed.is_none() && self.held.is_empty() && !self.has_released {
            return;
        }
        self.drop_ended(now);
        let unanswered = self.unconfirmed.as_ref().map_or(0, HashSet::len);
        if self.majority_answered_at.is_none() && self.electorate.has_majority() {
            self.majority_answered_at = Some(now);
        }
        let are_over = self.is_over(self.earlier_leases_end(), now);
        let was_settled = self.is_settled();
        if are_over {
            self.drop_unanswered(now);
            self.release_known_starts(now);
        }
        if self.unconfirmed.as_ref().is_some_and(HashSet::is_empty) {
            self.unconfirmed = None;
        }
        if !was_settled && self.is_settled() {
            self.events.push(Event::Settled {
                waited: now.since(self.started_at),
                evidence: if unanswered == 0 {
                    "all workers are known"
                } else {
                    "the leases are over"
                },
            });
        }
        // The placements on a worker that was held back for are resolved once it is released.
        let is_due = !was_settled || self.has_released;
        if self.is_settled() && is_due {
            self.has_released = false;
            self.resolve_inherited_placements(now);
        }
    }
}
