//! Which entry VM owns which shard.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use basilbridge_common::id::{
    Epoch,
    Shard, //
};

use crate::session::Record;

/// The owner of a shard, as the table service last told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Where the owner is reached.
    pub address: SocketAddr,
    /// The epoch of the owner.
    pub epoch: Epoch,
}

/// The owners of all shards; it may lag, so an owner has the last word.
#[derive(Debug, Default)]
pub struct Directory {
    members: Mutex<Arc<Vec<Record>>>,
    entries: Mutex<HashMap<Shard, Entry>>,
}

impl Directory {
    /// Takes note of an owner, unless a later one is known.
    pub fn learn(&self, shard: Shard, entry: Entry) {
        let mut entries = self.lock();
        let known = entries.get(&shard).map(|known| known.epoch);
        if known.is_none_or(|known| entry.epoch >= known) {
            entries.insert(shard, entry);
        }
    }

    /// Takes note of the sessions that live.
    pub fn set_members(&self, members: Vec<Record>) {
        let mut current = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(members);
    }

    /// Returns the sessions that live, this VM's own included.
    pub fn members(&self) -> Arc<Vec<Record>> {
        let current = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Returns the owner of a shard.
    pub fn find(&self, shard: &Shard) -> Option<Entry> {
        self.lock().get(shard).copied()
    }

    /// Returns all shards that have an owner.
    pub fn shards(&self) -> Vec<Shard> {
        let mut shards: Vec<_> = self.lock().keys().cloned().collect();
        shards.sort();
        shards
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Shard, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
