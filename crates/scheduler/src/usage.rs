//! What each team has running in the whole fleet, as far as it is known.
//!
//! Each VM tells what the teams have in its own shards, as amounts and not as differences, so that
//! a fact which is heard twice counts once. See `docs/design/news.md`.

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
    unit::Resources,
};

use crate::gossip::{
    Entry,
    VersionedMap, //
};

/// A change by less than this part of the amount is not told, as a divisor.
const TOLERANCE_DIVISOR: u64 = 20;

/// What a fact is about: a team on a VM.
pub type Key = (Session, Name);

/// The use of all teams by VM.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    log: VersionedMap<Key, Resources>,
}

impl Usage {
    /// Takes what the teams have on this VM now.
    pub fn set_own(&mut self, own: Session, uses: &BTreeMap<Name, Resources>) {
        let told: Vec<_> = self
            .log
            .iter()
            .filter(|((session, _), _)| *session == own)
            .map(|((_, team), _)| team.clone())
            .collect();
        let teams: BTreeSet<_> = told.iter().chain(uses.keys()).collect();
        for team in teams {
            let used = uses.get(team).copied().unwrap_or_default();
            self.set(own, team, used);
        }
    }

    fn set(&mut self, own: Session, team: &Name, used: Resources) {
        let key = (own, team.clone());
        let (version, told) = self
            .log
            .get(&key)
            .map_or((0, Resources::default()), |(version, told)| {
                (version, *told)
            });
        if is_close(&told, &used) {
            return;
        }
        let fact = Entry {
            key,
            version: version + 1,
            value: used,
        };
        self.log.merge(fact, None);
    }

    /// Takes what a peer told; says whether it was new.
    pub fn merge(&mut self, fact: Entry<Key, Resources>, peer: Session) -> bool {
        self.log.merge(fact, Some(peer.0))
    }

    /// Returns what to tell a peer that has heard all up to `cursor`, and the next cursor.
    pub fn since(
        &self,
        cursor: u64,
        most: usize,
        peer: Session,
    ) -> (Vec<Entry<Key, Resources>>, u64) {
        self.log.since(cursor, most, peer.0)
    }

    /// Forgets VMs that live no more.
    pub fn retain(&mut self, live: &BTreeSet<Session>) {
        self.log.retain(|(session, _)| live.contains(session));
    }

    /// Returns what each team has on other VMs.
    pub fn elsewhere(&self, own: Session) -> HashMap<Name, Resources> {
        let mut totals: HashMap<Name, Resources> = HashMap::new();
        for ((session, team), used) in self.log.iter() {
            if *session != own {
                let total = totals.entry(team.clone()).or_default();
                *total = total.plus(used);
            }
        }
        totals
    }
}

/// Says whether an amount is near enough to the one that was told.
fn is_close(told: &Resources, used: &Resources) -> bool {
    let tolerance = told.zip(told, |told, _| told / TOLERANCE_DIVISOR);
    let ended = *used == Resources::default() && told != used;
    !ended && used.minus(told).fits(&tolerance) && told.minus(used).fits(&tolerance)
}
