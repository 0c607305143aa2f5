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

/// Workers that may run something.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Roster {
    /// Their names, in order.
    pub names: Vec<Name>,
    /// Those that don't count yet when an owner finds out whether it is the only one.
    pub joined: Vec<Name>,
}

impl Engine {
    /// Returns the roster to store: the workers that are listed or may have runs, and those that this
    /// owner still waits for itself.
    ///
    /// A worker does not count before half of those that do have answered: the next owner would take its
    /// answer for one of those that an earlier owner counts with.
    pub fn roster(&self) -> Roster {
        let awaited = self.unconfirmed.iter().flatten();
        let known = self.workers_by_name.keys();
        let names: BTreeSet<&Name> = known.chain(awaited).chain(self.held.keys()).collect();
        let names: Vec<Name> = names.into_iter().cloned().collect();
        let is_electing = self.electorate.is_stored() && !self.is_earlier_end_certain();
        let joined = names
            .iter()
            .filter(|name| is_electing && !self.is_settled() && !self.electorate.contains(name));
        Roster {
            joined: joined.cloned().collect(),
            names,
        }
    }

    /// Returns whether a worker waits for its name to be stored.
    pub fn has_unstored_worker(&self) -> bool {
        self.workers.values().any(|worker| !worker.is_on_roster)
    }

    /// Expects the workers that an earlier owner has stored, which may still run its tasks.
    pub fn inherit_roster(&mut self, roster: &Roster) {
        self.confirm_roster(roster);
        let joined: HashSet<&Name> = roster.joined.iter().collect();
        let names = roster.names.iter();
        let counted = names.filter(|name| !joined.contains(name));
        self.electorate.elect(counted.cloned().collect());
        self.expect_workers(roster.names.iter().cloned());
    }

    /// Expects workers whose names can't be read, so that all leases of earlier owners are waited for.
    pub fn expect_unknown_workers(&mut self) {
        self.expect_workers([UNKNOWN.into()]);
    }

    /// Records that the store may hold `roster` from now on instead of what it held before.
    pub fn announce_roster(&mut self, roster: &Roster) {
        let names: HashSet<&Name> = roster.names.iter().collect();
        self.roster_size = self.roster_size.max(names.len());
        self.stored_roster.retain(|name| names.contains(name));
        self.stored_joined.extend(roster.joined.iter().cloned());
        self.update_roster_marks();
    }

    /// Records that the store holds `roster` and nothing else.
    pub fn confirm_roster(&mut self, roster: &Roster) {
        self.roster_size = roster.names.len();
        self.stored_roster = roster.names.iter().cloned().collect();
        self.stored_joined = roster.joined.iter().cloned().collect();
        self.update_roster_marks();
    }

    fn update_roster_marks(&mut self) {
        for worker in self.workers.values_mut() {
            worker.is_on_roster = self.stored_roster.contains(&worker.info.name);
        }
    }
}
