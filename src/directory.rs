//! The entry VMs that own the shards.

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

/// The owner of a shard, as last read from the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The address at which other entry VMs reach the owner.
    pub address: SocketAddr,
    /// The epoch of the owner.
    pub epoch: Epoch,
}

/// The live entry VMs and the owners of all shards.
///
/// It may be outdated: a VM that receives a call checks itself whether it owns the shard.
#[derive(Debug, Default)]
pub struct Directory {
    members: Mutex<Arc<Vec<Record>>>,
    entries: Mutex<HashMap<Shard, Entry>>,
}

impl Directory {
    /// Sets the owner of a shard, unless one with a later epoch is known.
    pub fn update(&self, shard: Shard, entry: Entry) {
        let mut entries = self.lock();
        let known = entries.get(&shard).map(|known| known.epoch);
        if known.is_none_or(|known| entry.epoch >= known) {
            entries.insert(shard, entry);
        }
    }

    /// Sets the live sessions.
    pub fn set_members(&self, members: Vec<Record>) {
        let mut current = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(members);
    }

    /// Returns the live sessions, which include this VM's own.
    pub fn members(&self) -> Arc<Vec<Record>> {
        let current = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Returns the last known owner of a shard.
    pub fn find(&self, shard: &Shard) -> Option<Entry> {
        self.lock().get(shard).copied()
    }

    /// Returns all shards with a known owner, sorted.
    pub fn shards(&self) -> Vec<Shard> {
        let mut shards: Vec<_> = self.lock().keys().cloned().collect();
        shards.sort();
        shards
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Shard, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
