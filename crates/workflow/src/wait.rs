//! What inherited work waits for after a change of the owner, for operators.

use std::fmt;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::engine::Engine;

/// Why a worker may run tasks of an earlier owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ground {
    /// An earlier owner has recorded which tasks it may run.
    Recorded,
    /// An earlier owner knew it, and the list of workers does not name it.
    Unlisted,
    /// It is listed and has not answered this owner.
    Unanswered,
    /// It has answered with a part of its ends.
    Incomplete,
}

/// A worker that inherited work waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wait {
    /// Name of the worker.
    pub worker: Name,
    /// Why it may run such work.
    pub ground: Ground,
    /// Time from which it runs none, unless it answers before.
    pub until: Millis,
}

impl fmt::Display for Ground {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Recorded => "recorded",
            Self::Unlisted => "unlisted",
            Self::Unanswered => "unanswered",
            Self::Incomplete => "incomplete",
        })
    }
}

impl Engine {
    /// Returns the workers that inherited work waits for, in the order of their names.
    pub fn waits(&self) -> Vec<Wait> {
        let unconfirmed = self.unconfirmed.iter().flatten().map(|name| {
            let ground = match self.worker(name) {
                Some(worker) if worker.boot.is_some() => Ground::Incomplete,
                Some(worker) if worker.listed => Ground::Unanswered,
                _ => Ground::Unlisted,
            };
            (name, ground)
        });
        let held = self.held.keys().map(|name| (name, Ground::Recorded));
        let mut waits: Vec<Wait> = unconfirmed
            .chain(held)
            .map(|(name, ground)| Wait {
                worker: name.clone(),
                ground,
                until: self.unanswered_leases_end(name),
            })
            .collect();
        waits.sort_unstable_by(|left, right| left.worker.cmp(&right.worker));
        waits
    }
}
