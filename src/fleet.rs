//! The workers on the platform's list, by shard.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::{
        Mutex,
        PoisonError, //
    },
};

use basilbridge_common::{
    id::{
        Name,
        Shard, //
    },
    worker::Worker,
};
use basilbridge_platform::vm::Vm;

/// The workers that the platform listed last.
#[derive(Debug)]
pub struct Fleet {
    racks_per_shard: u32,
    workers: Mutex<HashMap<Name, Worker>>,
}

impl Fleet {
    /// Makes an empty list.
    pub fn new(racks_per_shard: u32) -> Self {
        Self {
            racks_per_shard,
            workers: Mutex::default(),
        }
    }

    /// Takes the platform's list.
    pub fn set(&self, vms: Vec<Vm>) {
        let workers = vms.into_iter().filter_map(|vm| match vm {
            Vm::Worker(worker) => Some((worker.name.clone(), worker)),
            Vm::Entry(_) => None,
        });
        let mut current = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        *current = workers.collect();
    }

    /// Returns all workers, in the order of their names.
    pub fn workers(&self) -> Vec<Worker> {
        let current = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut workers: Vec<_> = current.values().cloned().collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        workers
    }

    /// Returns the workers of each shard.
    pub fn shards(&self) -> BTreeMap<Shard, Vec<Worker>> {
        let mut shards: BTreeMap<Shard, Vec<Worker>> = BTreeMap::new();
        for worker in self.workers() {
            let shard = worker.shard(self.racks_per_shard);
            shards.entry(shard).or_default().push(worker);
        }
        shards
    }
}
