//! Which worker takes a task.
//!
//! Workers are the leaves of a binary tree whose inner nodes hold the largest room below them in
//! each dimension, so that a search passes over full parts of a shard without looking at their
//! workers. `docs/design/placement.md` weighs the ways and bounds the work.

use std::collections::HashMap;

use basilbridge_common::{
    id::Name,
    unit::Resources,
    worker::Worker, //
};
use slotmap::{
    SlotMap,
    new_key_type, //
};

use crate::task;

/// How many nodes a search looks at, for each level of the tree.
pub const NODES_PER_LEVEL: u64 = 8;

/// The leaves of the smallest tree.
const SMALLEST_TREE: usize = 4;

/// The root of the tree; the children of node `n` are `2n` and `2n + 1`.
const ROOT: usize = 1;

new_key_type! {
    /// A worker in an [`Index`].
    pub struct Key;
}

/// Which part of the tree is searched first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// The workers in the order in which they came, so that late ones stay empty.
    First,
    /// The part whose largest room is smallest.
    Tightest,
    /// The part whose largest room is largest.
    Emptiest,
}

/// What a task asks of a worker.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The room.
    pub need: Resources,
    /// The order of the search.
    pub order: Order,
    /// Racks that are passed over.
    pub avoid: &'a [u32],
    /// Whether workers on probation are passed over.
    pub trusted: bool,
}

/// What a search found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// A worker with enough room.
    Worker(Key),
    /// No worker has enough room.
    Nothing,
    /// The search was cut off; the next one looks elsewhere first.
    Unknown,
}

/// A worker and what it still can give.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerLoad {
    /// The worker.
    pub worker: Worker,
    /// What its tasks are counted with.
    pub used: Resources,
    /// What is promised to tasks that have not started.
    pub held: Resources,
    /// How many tasks are promised room.
    pub holds: u32,
    /// The part of `held` that is promised to single tasks, for which others leave.
    pub claimed: Resources,
    /// The part of `holds` that these are.
    pub claims: u32,
    /// The tasks that run.
    pub tasks: Vec<task::Key>,
    /// The max_tasks tasks that may run at once, which is less than its slots on probation.
    pub max_tasks: u32,
    leaf: usize,
}

impl WorkerLoad {
    /// Returns what is neither used nor promised.
    pub fn free_capacity(&self) -> Resources {
        self.worker.capacity.minus(&self.used).minus(&self.held)
    }

    /// Returns how many more tasks fit by count.
    pub fn free_slots(&self) -> u32 {
        let taken = self.tasks.len() as u32 + self.holds;
        self.max_tasks.saturating_sub(taken)
    }

    /// Says whether tasks that need this much together could start, if only single tasks were
    /// promised room.
    pub fn could_start_group(&self, need: &Resources, count: u32) -> bool {
        let taken = self.used.plus(&self.claimed);
        let slots = self.tasks.len() as u32 + self.claims + count;
        !self.worker.leaving
            && slots <= self.max_tasks
            && need.plus(&taken).fits(&self.worker.capacity)
    }

    /// Says whether a single task that is promised room could start now.
    ///
    /// Other single tasks are left out, because the room that they wait for is still used.
    pub fn could_start_claim(&self, need: &Resources) -> bool {
        let taken = self.used.plus(&self.held.minus(&self.claimed));
        let slots = self.tasks.len() as u32 + self.holds - self.claims;
        !self.worker.leaving
            && slots < self.max_tasks
            && need.plus(&taken).fits(&self.worker.capacity)
    }

    /// Says whether the worker takes fewer tasks than it has slots.
    pub fn on_probation(&self) -> bool {
        self.max_tasks < self.worker.slots
    }
}

/// The max_tasks that any worker below a node can give.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Summary {
    room: Resources,
    slots: u32,
    /// The lowest and the highest rack.
    racks: Option<(u32, u32)>,
}

impl Summary {
    fn of(slot: &WorkerLoad) -> Self {
        if slot.worker.leaving || slot.free_slots() == 0 {
            return Self::default();
        }
        Self {
            room: slot.free_capacity(),
            slots: slot.free_slots(),
            racks: Some((slot.worker.rack, slot.worker.rack)),
        }
    }

    fn join(&self, other: &Self) -> Self {
        let racks = match (self.racks, other.racks) {
            (Some(a), Some(b)) => Some((a.0.min(b.0), a.1.max(b.1))),
            (a, b) => a.or(b),
        };
        Self {
            room: self.room.max(&other.room),
            slots: self.slots.max(other.slots),
            racks,
        }
    }

    fn may_hold(&self, wanted: &Wanted<'_>) -> bool {
        let Some((lowest, highest)) = self.racks else {
            return false;
        };
        let avoided = lowest == highest && wanted.avoid.contains(&lowest);
        !avoided && wanted.need.fits(&self.room)
    }

    /// Returns how often `need` fits, which orders nodes by their room.
    fn times(&self, need: &Resources) -> u64 {
        let times = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
        times(self.room.cpu_millis, need.cpu_millis)
            .min(times(self.room.memory_mib, need.memory_mib))
            .min(times(self.room.accelerators, need.accelerators))
            .min(u64::from(self.slots))
    }
}

/// The workers of a shard.
#[derive(Debug)]
pub struct Index {
    workers: SlotMap<Key, WorkerLoad>,
    names: HashMap<Name, Key>,
    leaves: Vec<Option<Key>>,
    nodes: Vec<Summary>,
    free: Resources,
    free_slots: u64,
    freed: Vec<Key>,
    cut_off: usize,
    nodes_examined: u64,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            workers: SlotMap::with_key(),
            names: HashMap::new(),
            leaves: vec![None; SMALLEST_TREE],
            nodes: vec![Summary::default(); 2 * SMALLEST_TREE],
            free: Resources::default(),
            free_slots: 0,
            freed: Vec::new(),
            cut_off: 0,
            nodes_examined: 0,
        }
    }
}

impl Index {
    /// Adds a worker that runs nothing, or takes note of its change.
    pub fn set(&mut self, worker: Worker) -> Key {
        if let Some(key) = self.find(&worker.name) {
            self.update(key, |slot| {
                if slot.worker.slots != worker.slots {
                    slot.max_tasks = worker.slots;
                }
                slot.worker = worker;
            });
            return key;
        }
        let leaf = self.empty_leaf();
        let name = worker.name.clone();
        let key = self.workers.insert(WorkerLoad {
            used: Resources::default(),
            held: Resources::default(),
            holds: 0,
            claimed: Resources::default(),
            claims: 0,
            tasks: Vec::new(),
            max_tasks: worker.slots,
            worker,
            leaf,
        });
        self.names.insert(name, key);
        self.leaves[leaf] = Some(key);
        self.refresh(leaf);
        self.freed.push(key);
        key
    }

    /// Forgets a worker.
    pub fn remove(&mut self, key: Key) -> Option<WorkerLoad> {
        let slot = self.workers.remove(key)?;
        self.names.remove(&slot.worker.name);
        self.leaves[slot.leaf] = None;
        self.refresh(slot.leaf);
        Some(slot)
    }

    /// Returns a worker.
    pub fn get(&self, key: Key) -> Option<&WorkerLoad> {
        self.workers.get(key)
    }

    /// Returns the worker of this name.
    pub fn find(&self, name: &Name) -> Option<Key> {
        self.names.get(name).copied()
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &WorkerLoad)> {
        self.workers.iter()
    }

    /// Returns how many workers there are.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Says whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns the sum of the room of workers that take tasks, and of their slots.
    pub fn free(&self) -> (Resources, u64) {
        (self.free, self.free_slots)
    }

    /// Returns how many nodes all searches have looked at.
    pub fn nodes_examined(&self) -> u64 {
        self.nodes_examined
    }

    /// Returns the max_tasks nodes that one search looks at.
    pub fn budget(&self) -> u64 {
        let levels = u64::from(self.leaves.len().ilog2()) + 1;
        levels * NODES_PER_LEVEL
    }

    /// Returns the workers whose room grew since the last call.
    pub fn take_freed(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.freed)
    }

    /// Changes a worker.
    pub fn update(&mut self, key: Key, change: impl FnOnce(&mut WorkerLoad)) {
        let Some(slot) = self.workers.get_mut(key) else {
            return;
        };
        let leaf = slot.leaf;
        let before = Summary::of(slot);
        change(slot);
        let after = Summary::of(slot);
        if !(after.room.fits(&before.room) && after.slots <= before.slots) {
            self.freed.push(key);
        }
        self.refresh(leaf);
    }

    /// Counts a task on a worker, even if the worker has too little left.
    ///
    /// An owner that takes over a shard must count what runs there, whatever it adds up to.
    pub fn take(&mut self, key: Key, task: task::Key, need: &Resources) {
        self.update(key, |slot| {
            slot.used = slot.used.plus(need);
            slot.tasks.push(task);
        });
    }

    /// Sets the max_tasks tasks that a worker may run at once, up to its slots.
    pub fn set_max_tasks(&mut self, key: Key, max_tasks: u32) {
        self.update(key, |slot| {
            slot.max_tasks = max_tasks.min(slot.worker.slots)
        });
    }

    /// Takes back what a task had.
    pub fn give_back(&mut self, key: Key, task: task::Key, need: &Resources) {
        self.update(key, |slot| {
            if let Some(at) = slot.tasks.iter().position(|known| *known == task) {
                slot.tasks.swap_remove(at);
                slot.used = slot.used.minus(need);
            }
        });
    }

    /// Promises room to a task, even if that room has yet to come free.
    ///
    /// A single task waits for others to leave; a task of a group gets room that is free.
    pub fn hold(&mut self, key: Key, need: &Resources, single: bool) {
        self.update(key, |slot| {
            slot.held = slot.held.plus(need);
            slot.holds += 1;
            if single {
                slot.claimed = slot.claimed.plus(need);
                slot.claims += 1;
            }
        });
    }

    /// Takes back a promise.
    pub fn release(&mut self, key: Key, need: &Resources, single: bool) {
        self.update(key, |slot| {
            slot.held = slot.held.minus(need);
            slot.holds -= 1;
            if single {
                slot.claimed = slot.claimed.minus(need);
                slot.claims -= 1;
            }
        });
    }

    /// Searches a worker, looking at no more than [`Self::budget`] nodes.
    pub fn choose(&mut self, wanted: &Wanted<'_>) -> Found {
        let mut left = self.budget();
        let mut stack = vec![ROOT];
        while let Some(node) = stack.pop() {
            if left == 0 {
                self.cut_off += 1;
                return Found::Unknown;
            }
            left -= 1;
            self.nodes_examined += 1;
            if !self.nodes[node].may_hold(wanted) {
                continue;
            }
            match node.checked_sub(self.leaves.len()) {
                None => stack.extend(self.children(node, wanted)),
                Some(leaf) => {
                    if let Some(key) = self.suits(leaf, wanted) {
                        return Found::Worker(key);
                    }
                }
            }
        }
        Found::Nothing
    }

    fn suits(&self, leaf: usize, wanted: &Wanted<'_>) -> Option<Key> {
        let key = self.leaves[leaf]?;
        let slot = self.workers.get(key)?;
        (!wanted.trusted || !slot.on_probation()).then_some(key)
    }

    /// Returns the children of a node, the one to be searched first last.
    fn children(&self, node: usize, wanted: &Wanted<'_>) -> [usize; 2] {
        let (left, right) = (2 * node, 2 * node + 1);
        let times = |child: usize| self.nodes[child].times(&wanted.need);
        let left_first = match wanted.order {
            Order::First => true,
            Order::Tightest => times(left) <= times(right),
            Order::Emptiest => times(left) >= times(right),
        };
        // Each cut-off turns the search at other levels, so that no leaf is passed over for ever.
        let turned = self.cut_off >> node.ilog2() & 1 == 1;
        if left_first != turned {
            [right, left]
        } else {
            [left, right]
        }
    }

    fn empty_leaf(&mut self) -> usize {
        if let Some(leaf) = self.leaves.iter().position(Option::is_none) {
            return leaf;
        }
        let leaf = self.leaves.len();
        self.leaves.resize(2 * leaf, None);
        self.rebuild();
        leaf
    }

    fn rebuild(&mut self) {
        let size = self.leaves.len();
        self.nodes = vec![Summary::default(); 2 * size];
        for leaf in 0..size {
            self.nodes[size + leaf] = self.summary(leaf);
        }
        for node in (ROOT..size).rev() {
            self.nodes[node] = self.nodes[2 * node].join(&self.nodes[2 * node + 1]);
        }
    }

    fn summary(&self, leaf: usize) -> Summary {
        self.leaves[leaf]
            .and_then(|key| self.workers.get(key))
            .map_or_else(Summary::default, Summary::of)
    }

    fn refresh(&mut self, leaf: usize) {
        let summary = self.summary(leaf);
        let mut node = self.leaves.len() + leaf;
        let before = self.nodes[node];
        self.free = self.free.plus(&summary.room).minus(&before.room);
        self.free_slots = self.free_slots + u64::from(summary.slots) - u64::from(before.slots);
        self.nodes[node] = summary;
        while node > ROOT {
            node /= 2;
            self.nodes[node] = self.nodes[2 * node].join(&self.nodes[2 * node + 1]);
        }
    }
}
