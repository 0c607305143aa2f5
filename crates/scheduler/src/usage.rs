//! The known usage of each team in the whole fleet.
//!
//! Each VM sends the usage of the teams in its own shards by gossip. The entries are absolute
//! amounts, so an entry that is received twice counts once. See `docs/design/news.md`.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use basilbridge_common::{
    id::{
        Name,
        Session, //
    },
    unit::Resources, //
};

use crate::gossip::{
    Entry,
    VersionedMap, //
};

/// Divisor that yields the fraction of an amount within which changes are not reported.
const TOLERANCE_DIVISOR: u64 = 20;

/// The key of a usage entry: a VM and a team.
pub type Key = (Session, Name);

/// The usage of all teams by VM.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    entries: VersionedMap<Key, Resources>,
}

impl Usage {
    /// Sets the usage of the teams on this VM.
    pub fn set_own(&mut self, own: Session, uses: &BTreeMap<Name, Resources>) {
        let reported: Vec<_> = self
            .entries
            .iter()
            .filter(|((session, _), _)| *session == own)
            .map(|((_, team), _)| team.clone())
            .collect();
        let teams: BTreeSet<_> = reported.iter().chain(uses.keys()).collect();
        for team in teams {
            let used = uses.get(team).copied().unwrap_or_default();
            self.set_team(own, team, used);
        }
    }

    /// Sets the usage of one team, if it differs enough from what was reported.
    fn set_team(&mut self, own: Session, team: &Name, used: Resources) {
        let key = (own, team.clone());
        let (version, reported) = self
            .entries
            .get(&key)
            .map_or((0, Resources::default()), |(version, reported)| {
                (version, *reported)
            });
        if is_close(&reported, &used) {
            return;
        }
        let entry = Entry {
            key,
            version: version + 1,
            value: used,
        };
        self.entries.merge(entry, None);
    }

    /// Stores an entry that a peer sent, and returns whether it was new.
    pub fn merge(&mut self, entry: Entry<Key, Resources>, peer: Session) -> bool {
        self.entries.merge(entry, Some(peer.0))
    }

    /// Returns at most `max_entries` entries to send to a peer that has received all up to
    /// `cursor`, and the next cursor.
    pub fn since(
        &self,
        cursor: u64,
        max_entries: usize,
        peer: Session,
    ) -> (Vec<Entry<Key, Resources>>, u64) {
        self.entries.since(cursor, max_entries, peer.0)
    }

    /// Removes the entries of VMs that are not in `live`.
    pub fn retain(&mut self, live: &BTreeSet<Session>) {
        self.entries.retain(|(session, _)| live.contains(session));
    }

    /// Returns the usage of each team on all other VMs.
    pub fn elsewhere(&self, own: Session) -> HashMap<Name, Resources> {
        let mut totals: HashMap<Name, Resources> = HashMap::new();
        for ((session, team), used) in self.entries.iter() {
            if *session != own {
                let total = totals.entry(team.clone()).or_default();
                *total = total.plus(used);
            }
        }
        totals
    }
}

/// Returns whether an amount is so close to the reported one that it is not reported again.
///
/// A team whose usage drops to zero is always reported.
fn is_close(reported: &Resources, used: &Resources) -> bool {
    let tolerance = reported.zip_with(reported, |reported, _| reported / TOLERANCE_DIVISOR);
    let has_ended = *used == Resources::default() && reported != used;
    !has_ended && used.minus(reported).fits(&tolerance) && reported.minus(used).fits(&tolerance)
}
