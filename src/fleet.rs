//! The workers on the platform's list, by shard.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
};

use basilbridge_common::{
    id::{
        Name,
        Shard, //
    },
    unit::Resources,
    worker::Worker,
};
use basilbridge_platform::vm::Vm;

/// The workers that the platform listed last.
#[derive(Debug)]
pub struct Fleet {
    racks_per_shard: u32,
    workers: Mutex<HashMap<Name, Worker>>,
    /// The sizes of worker in each shard, so that routing need not look at every worker.
    sizes: Mutex<Arc<BTreeMap<Shard, Vec<Resources>>>>,
}

impl Fleet {
    /// Makes an empty list.
    pub fn new(racks_per_shard: u32) -> Self {
        Self {
            racks_per_shard,
            workers: Mutex::default(),
            sizes: Mutex::default(),
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
        let sizes = self.count_sizes(current.values());
        drop(current);
        *self.sizes.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(sizes);
    }

    fn count_sizes<'a>(
        &self,
        workers: impl Iterator<Item = &'a Worker>,
    ) -> BTreeMap<Shard, Vec<Resources>> {
        let mut sizes: BTreeMap<Shard, Vec<Resources>> = BTreeMap::new();
        for worker in workers {
            let shard = worker.shard(self.racks_per_shard);
            let sizes = sizes.entry(shard).or_default();
            if !sizes.contains(&worker.capacity) {
                sizes.push(worker.capacity);
            }
        }
        sizes
    }

    /// Returns what all workers have together.
    pub fn capacity(&self) -> Resources {
        let current = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let workers = current.values();
        workers.fold(Resources::default(), |sum, worker| {
            sum.plus(&worker.capacity)
        })
    }

    /// Returns the shards that have a worker large enough, or nothing if no workers are known.
    pub fn possible(&self, need: &Resources) -> Option<Vec<Shard>> {
        let sizes = self.sizes.lock().unwrap_or_else(PoisonError::into_inner);
        let sizes = Arc::clone(&sizes);
        let possible = sizes
            .iter()
            .filter(|(_, sizes)| sizes.iter().any(|size| need.fits(size)));
        let possible = possible.map(|(shard, _)| shard.clone()).collect();
        (!sizes.is_empty()).then_some(possible)
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
