//! Which workers may run something, told by one owner to the next.
//!
//! Starts are not stored, so a new owner waits for all workers that may run a task before it starts
//! inherited work. The list of workers is no guide to them: it leaves out a worker whose entry has
//! expired while the worker runs on. So an owner stores the names of all workers that may run
//! something, starts nothing on a worker before its name is stored, and keeps the name until nothing
//! can run there. See `docs/design/roster.md`.

use std::collections::{
    BTreeSet,
    HashSet, //
};

use basilbridge_common::id::Name;

use crate::{
    engine::Engine,
    takeover::UNKNOWN, //
};

impl Engine {
    /// Returns the names to store, in order: of the workers that are listed or may have runs, and of
    /// those that this owner still waits for itself.
    ///
    /// Before half of the stored ones have answered, no worker joins them. The next owner would take
    /// its answer for one of those that an earlier owner counts with.
    pub fn roster(&self) -> Vec<Name> {
        let awaited = self.unconfirmed.iter().flatten();
        let known = self.workers_by_name.keys();
        let names: BTreeSet<&Name> = known.chain(awaited).chain(self.held.keys()).collect();
        let is_closed = self.settings.epoch > 0
            && self.majority_answered_at.is_none()
            && self.electorate.is_stored();
        names
            .into_iter()
            .filter(|name| !is_closed || self.stored_roster.contains(*name))
            .cloned()
            .collect()
    }

    /// Returns whether a worker waits for its name to be stored.
    pub fn has_unstored_worker(&self) -> bool {
        self.workers.values().any(|worker| !worker.is_on_roster)
    }

    /// Expects the workers that an earlier owner has stored, which may still run its tasks.
    pub fn inherit_roster(&mut self, names: &[Name]) {
        self.confirm_roster(names);
        self.electorate.elect(names);
        self.expect_workers(names.iter().cloned());
    }

    /// Expects workers whose names can't be read, so that all leases of earlier owners are waited for.
    pub fn expect_unknown_workers(&mut self) {
        self.expect_workers([UNKNOWN.into()]);
    }

    /// Records that the store may hold `names` from now on instead of what it held before.
    pub fn announce_roster(&mut self, names: &[Name]) {
        let names: HashSet<&Name> = names.iter().collect();
        self.roster_size = self.roster_size.max(names.len());
        self.stored_roster.retain(|name| names.contains(name));
        self.update_roster_marks();
    }

    /// Records that the store holds `names` and nothing else.
    pub fn confirm_roster(&mut self, names: &[Name]) {
        self.roster_size = names.len();
        self.stored_roster = names.iter().cloned().collect();
        self.update_roster_marks();
    }

    fn update_roster_marks(&mut self) {
        for worker in self.workers.values_mut() {
            worker.is_on_roster = self.stored_roster.contains(&worker.info.name);
        }
    }
}
