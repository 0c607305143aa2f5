//! Versioned entries that VMs exchange by gossip.
//!
//! A VM keeps the highest version of each key that it receives, so gossip messages may be lost,
//! duplicated or delayed. See `docs/design/news.md`.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    hash::Hash, //
};

/// A versioned entry of a gossip message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry<K, V> {
    /// What the value describes.
    pub key: K,
    /// Increases with each change of the value.
    pub version: u64,
    /// The value at this version.
    pub value: V,
}

#[derive(Debug, Clone)]
struct Stored<V> {
    version: u64,
    value: V,
    /// The position in the order of receipt.
    sequence: u64,
    /// The VM that sent the entry; `None` for the VM's own entries.
    source: Option<u64>,
}

/// The latest version of each entry that a VM knows, in the order of receipt.
#[derive(Debug, Clone)]
pub struct VersionedMap<K, V> {
    entries: HashMap<K, Stored<V>>,
    keys_by_sequence: BTreeMap<u64, K>,
    /// The latest position in the order of receipt.
    last: u64,
}

impl<K, V> Default for VersionedMap<K, V> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            keys_by_sequence: BTreeMap::new(),
            last: 0,
        }
    }
}

impl<K: Clone + Eq + Hash, V: Clone> VersionedMap<K, V> {
    /// Stores an entry unless the same or a later version is stored, and returns whether it was
    /// new.
    ///
    /// `source` is the VM that sent the entry, to which it is not sent back.
    pub fn merge(&mut self, entry: Entry<K, V>, source: Option<u64>) -> bool {
        let stored = self.entries.get(&entry.key);
        if stored.is_some_and(|stored| stored.version >= entry.version) {
            return false;
        }
        if let Some(stored) = stored {
            self.keys_by_sequence.remove(&stored.sequence);
        }
        self.last += 1;
        self.keys_by_sequence.insert(self.last, entry.key.clone());
        let stored = Stored {
            version: entry.version,
            value: entry.value,
            sequence: self.last,
            source,
        };
        self.entries.insert(entry.key, stored);
        true
    }

    /// Returns the version and the value of an entry.
    pub fn get(&self, key: &K) -> Option<(u64, &V)> {
        self.entries
            .get(key)
            .map(|stored| (stored.version, &stored.value))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns all keys and values, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries
            .iter()
            .map(|(key, stored)| (key, &stored.value))
    }

    /// Returns at most `max_entries` entries that were received after `cursor` and not from `peer`,
    /// and the cursor to continue from.
    ///
    /// If there are more, half of those returned are the latest, so that recent entries overtake a
    /// backlog, and half are the oldest, so that each entry is sent eventually. The latest
    /// may be returned again, since the cursor covers only the oldest.
    pub fn since(&self, cursor: u64, max_entries: usize, peer: u64) -> (Vec<Entry<K, V>>, u64) {
        let pending = || {
            let newer = self.keys_by_sequence.range(cursor + 1..);
            newer.filter_map(|(sequence, key)| {
                let stored = self.entries.get(key)?;
                (stored.source != Some(peer)).then_some((*sequence, key, stored))
            })
        };
        if pending().nth(max_entries).is_none() {
            return (pending().map(to_entry).collect(), self.last);
        }
        let oldest = pending().take(max_entries / 2);
        let reached = oldest
            .clone()
            .last()
            .map_or(cursor, |(sequence, ..)| sequence);
        let latest = pending().rev().take(max_entries - max_entries / 2);
        (oldest.chain(latest).map(to_entry).collect(), reached)
    }

    /// Removes the entries whose keys `keep` rejects.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.entries.retain(|key, _| keep(key));
        let entries = &self.entries;
        self.keys_by_sequence
            .retain(|_, key| entries.contains_key(key));
    }
}

fn to_entry<K: Clone, V: Clone>((_, key, stored): (u64, &K, &Stored<V>)) -> Entry<K, V> {
    Entry {
        key: key.clone(),
        version: stored.version,
        value: stored.value.clone(),
    }
}
