//! Facts with versions that VMs tell one another.
//!
//! The highest version of a fact wins wherever it is heard, so a message that is lost, repeated or
//! late does no harm. See `docs/design/news.md`.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    hash::Hash,
};

/// A fact as it is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry<K, V> {
    /// What the fact is about.
    pub key: K,
    /// Grows with each change.
    pub version: u64,
    /// What holds.
    pub value: V,
}

#[derive(Debug, Clone)]
struct Known<V> {
    version: u64,
    value: V,
    order: u64,
    source: Option<u64>,
}

/// The facts that a VM knows, in the order in which it heard of them.
#[derive(Debug, Clone)]
pub struct VersionedMap<K, V> {
    facts: HashMap<K, Known<V>>,
    orders: BTreeMap<u64, K>,
    last: u64,
}

impl<K, V> Default for VersionedMap<K, V> {
    fn default() -> Self {
        Self {
            facts: HashMap::new(),
            orders: BTreeMap::new(),
            last: 0,
        }
    }
}

impl<K: Clone + Eq + Hash, V: Clone> VersionedMap<K, V> {
    /// Takes a fact unless a later version is known; says whether it was new.
    ///
    /// `source` names the VM that told it, which need not be told again.
    pub fn merge(&mut self, fact: Entry<K, V>, source: Option<u64>) -> bool {
        let known = self.facts.get(&fact.key);
        if known.is_some_and(|known| known.version >= fact.version) {
            return false;
        }
        if let Some(known) = known {
            self.orders.remove(&known.order);
        }
        self.last += 1;
        self.orders.insert(self.last, fact.key.clone());
        let known = Known {
            version: fact.version,
            value: fact.value,
            order: self.last,
            source,
        };
        self.facts.insert(fact.key, known);
        true
    }

    /// Returns a fact's version and value.
    pub fn get(&self, key: &K) -> Option<(u64, &V)> {
        self.facts
            .get(key)
            .map(|known| (known.version, &known.value))
    }

    /// Returns how many facts are known.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Says whether no fact is known.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Returns all facts.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.facts.iter().map(|(key, known)| (key, &known.value))
    }

    /// Returns at most `most` facts that were heard after `cursor` and not from `peer`, and the
    /// cursor to go on from.
    ///
    /// Where there are more, half of them are the latest, so that fresh news passes a backlog, and
    /// half the oldest, so that each fact is told in the end. A late one may be told twice.
    pub fn since(&self, cursor: u64, most: usize, peer: u64) -> (Vec<Entry<K, V>>, u64) {
        let waiting = || {
            let orders = self.orders.range(cursor + 1..);
            orders.filter_map(|(order, key)| {
                let known = self.facts.get(key)?;
                (known.source != Some(peer)).then_some((*order, key, known))
            })
        };
        if waiting().nth(most).is_none() {
            return (waiting().map(told).collect(), self.last);
        }
        let oldest = waiting().take(most / 2);
        let reached = oldest.clone().last().map_or(cursor, |(order, ..)| order);
        let latest = waiting().rev().take(most - most / 2);
        (oldest.chain(latest).map(told).collect(), reached)
    }

    /// Forgets the facts that are not kept.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.facts.retain(|key, _| keep(key));
        let facts = &self.facts;
        self.orders.retain(|_, key| facts.contains_key(key));
    }
}

fn told<K: Clone, V: Clone>((_, key, known): (u64, &K, &Known<V>)) -> Entry<K, V> {
    Entry {
        key: key.clone(),
        version: known.version,
        value: known.value.clone(),
    }
}
