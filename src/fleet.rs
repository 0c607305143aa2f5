//! The workers that the platform lists, by shard.

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

/// The workers on the platform's latest list.
#[derive(Debug)]
pub struct Fleet {
    racks_per_shard: u32,
    workers: Mutex<HashMap<Name, Worker>>,
    /// The distinct capacities of the workers in each shard, so that routing need not examine every
    /// worker.
    capacities: Mutex<Arc<BTreeMap<Shard, Vec<Resources>>>>,
}

impl Fleet {
    /// Creates an empty list.
    pub fn new(racks_per_shard: u32) -> Self {
        Self {
            racks_per_shard,
            workers: Mutex::default(),
            capacities: Mutex::default(),
        }
    }

    /// Replaces the list with the workers among `vms`.
    pub fn set(&self, vms: Vec<Vm>) {
        let workers = vms.into_iter().filter_map(|vm| match vm {
            Vm::Worker(worker) => Some((worker.name.clone(), worker)),
            Vm::Entry(_) => None,
        });
        let mut current = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        *current = workers.collect();
        let capacities = self.distinct_capacities(current.values());
        drop(current);
        *self
            .capacities
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(capacities);
    }

    /// Returns the distinct capacities of the workers in each shard.
    fn distinct_capacities<'a>(
        &self,
        workers: impl Iterator<Item = &'a Worker>,
    ) -> BTreeMap<Shard, Vec<Resources>> {
        let mut capacities: BTreeMap<Shard, Vec<Resources>> = BTreeMap::new();
        for worker in workers {
            let shard = worker.shard(self.racks_per_shard);
            let capacities = capacities.entry(shard).or_default();
            if !capacities.contains(&worker.capacity) {
                capacities.push(worker.capacity);
            }
        }
        capacities
    }

    /// Returns the total capacity of all workers.
    pub fn capacity(&self) -> Resources {
        let current = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let workers = current.values();
        workers.fold(Resources::default(), |sum, worker| {
            sum.plus(&worker.capacity)
        })
    }

    /// Returns the shards that have a worker with a capacity of at least `need`, or `None` if no
    /// workers are known.
    pub fn shards_that_fit(&self, need: &Resources) -> Option<Vec<Shard>> {
        let capacities = self
            .capacities
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let capacities = Arc::clone(&capacities);
        let matching = capacities
            .iter()
            .filter(|(_, capacities)| capacities.iter().any(|capacity| need.fits(capacity)));
        let matching = matching.map(|(shard, _)| shard.clone()).collect();
        (!capacities.is_empty()).then_some(matching)
    }

    /// Returns all workers, sorted by name.
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
