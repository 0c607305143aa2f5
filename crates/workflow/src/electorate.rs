//! The workers whose answers decide from when on an earlier owner extends no lease.
//!
//! An owner that has no word from the store goes on while more than half of the workers accept it
//! ([`crate::tenure`]). Its successor counts with the end of its leases once at least half of them have
//! answered the successor. Both count the workers of the stored roster, which only an owner with the
//! claim can change, so one worker is in both counts, and has refused the earlier owner since.
//!
//! Workers that are recorded as silent count on neither side: an earlier owner does not count them among
//! those that accept it, so at least half of the others suffice.

use std::collections::HashSet;

use basilbridge_common::id::Name;

/// The workers that count, and those of them that have not answered.
#[derive(Debug, Clone, Default)]
pub(crate) struct Electorate {
    names: HashSet<Name>,
    /// Number of those that are not recorded as silent.
    size: usize,
    unanswered: HashSet<Name>,
    /// Whether these are the names that an earlier owner has stored, not those in the list.
    is_stored: bool,
}

impl Electorate {
    /// Makes the names count that an earlier owner has stored. One of an earlier version stored none.
    pub(crate) fn elect(&mut self, names: HashSet<Name>) {
        self.is_stored = !names.is_empty();
        self.size = names.len();
        self.unanswered = names.clone();
        self.names = names;
    }

    /// Makes a listed worker count, unless there are stored names: an earlier owner has started
    /// nothing on any other worker and does not count it.
    pub(crate) fn add_listed(&mut self, name: &Name) {
        if !self.is_stored && self.names.insert(name.clone()) {
            self.unanswered.insert(name.clone());
            self.size += 1;
        }
    }

    /// Leaves out a worker that is recorded as silent.
    pub(crate) fn exclude(&mut self, name: &Name) {
        if self.unanswered.remove(name) {
            self.size -= 1;
        }
    }

    /// Records that a worker has answered or has ended.
    pub(crate) fn record_answer(&mut self, name: &Name) {
        self.unanswered.remove(name);
    }

    /// Returns whether an earlier owner has stored which workers count.
    pub(crate) fn is_stored(&self) -> bool {
        self.is_stored
    }

    /// Returns whether a worker counts.
    pub(crate) fn contains(&self, name: &Name) -> bool {
        self.names.contains(name)
    }

    /// Returns whether at least half of the workers have answered.
    pub(crate) fn has_majority(&self) -> bool {
        self.unanswered.len() * 2 <= self.size
    }
}
