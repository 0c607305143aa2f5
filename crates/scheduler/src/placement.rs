//! Which worker takes a task.

use basilbridge_common::{
    id::Name,
    unit::Resources,
    worker::Worker, //
};
use slotmap::{
    SlotMap,
    new_key_type, //
};

new_key_type! {
    /// A worker in an [`Index`].
    pub struct Key;
}

/// A worker and what it still can give.
#[derive(Debug, Clone, PartialEq)]
pub struct Slot {
    /// The worker.
    pub worker: Worker,
    /// What is not given to any task.
    pub room: Resources,
    /// How many more tasks fit by count.
    pub slots: u32,
    /// Whether the worker takes new tasks.
    pub open: bool,
}

/// The workers of a shard.
#[derive(Debug, Default)]
pub struct Index {
    workers: SlotMap<Key, Slot>,
}

impl Index {
    /// Adds a worker that runs nothing.
    pub fn insert(&mut self, worker: Worker) -> Key {
        self.workers.insert(Slot {
            room: worker.capacity,
            slots: worker.slots,
            open: !worker.leaving,
            worker,
        })
    }

    /// Forgets a worker.
    pub fn remove(&mut self, key: Key) -> Option<Slot> {
        self.workers.remove(key)
    }

    /// Returns a worker.
    pub fn get(&self, key: Key) -> Option<&Slot> {
        self.workers.get(key)
    }

    /// Returns the worker of this name.
    pub fn find(&self, name: &Name) -> Option<Key> {
        self.workers
            .iter()
            .find(|(_, slot)| slot.worker.name == *name)
            .map(|(key, _)| key)
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Slot)> {
        self.workers.iter()
    }

    /// Lets a worker take new tasks, or not.
    pub fn set_open(&mut self, key: Key, open: bool) {
        if let Some(slot) = self.workers.get_mut(key) {
            slot.open = open;
        }
    }

    /// Returns a worker with room for `need`.
    pub fn choose(&self, need: &Resources) -> Option<Key> {
        self.workers
            .iter()
            .find(|(_, slot)| slot.open && slot.slots > 0 && need.fits(&slot.room))
            .map(|(key, _)| key)
    }

    /// Gives `need` of a worker to a task, even if the worker has too little left.
    ///
    /// An owner that takes over a shard must count what runs there, whatever it adds up to.
    pub fn take(&mut self, key: Key, need: &Resources) {
        if let Some(slot) = self.workers.get_mut(key) {
            slot.room = slot.room.minus(need);
            slot.slots = slot.slots.saturating_sub(1);
        }
    }

    /// Takes back what a task had.
    pub fn give_back(&mut self, key: Key, need: &Resources) {
        if let Some(slot) = self.workers.get_mut(key) {
            slot.room = slot.room.plus(need);
            slot.slots += 1;
        }
    }
}
