//! Selection of a worker for a task.
//!
//! Workers are the leaves of a binary tree. Each inner node holds, per dimension, the largest free
//! capacity of any worker below it, so that a search skips subtrees without enough free capacity.
//! `docs/design/placement.md` compares the alternatives and bounds the cost of a search.

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

/// The search budget in nodes, per level of the tree.
pub const NODES_PER_LEVEL: u64 = 8;

/// The number of leaves of an empty tree.
const MIN_LEAVES: usize = 4;

/// The root of the tree. The children of node `n` are `2n` and `2n + 1`.
const ROOT: usize = 1;

new_key_type! {
    /// The key of a worker in an [`Index`].
    pub struct Key;
}

/// Determines which subtree is searched first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Search workers in the order they were added, which keeps those added last empty.
    FirstFit,
    /// Search the subtree that fits the fewest copies of the task first.
    BestFit,
    /// Search the subtree that fits the most copies of the task first.
    WorstFit,
}

/// The requirements of a task on its worker.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The resources that must be free.
    pub need: Resources,
    /// The order of the search.
    pub strategy: Strategy,
    /// Racks whose workers are skipped.
    pub excluded_racks: &'a [u32],
    /// Whether to skip workers on probation.
    pub exclude_probation: bool,
}

/// The result of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchResult {
    /// A worker with enough free capacity.
    Worker(Key),
    /// No worker matches.
    NoFit,
    /// The search budget ran out. The next search visits subtrees in a different order.
    BudgetExhausted,
}

/// A worker with its used and reserved resources.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerLoad {
    /// The worker.
    pub worker: Worker,
    /// The sum of the charges of its running tasks.
    pub used: Resources,
    /// The sum of all holds, which reserve resources for tasks that have not started.
    pub held: Resources,
    /// The number of holds.
    pub hold_count: u32,
    /// The part of `held` that belongs to preemptive holds, which wait for running tasks to stop.
    pub preemptive_held: Resources,
    /// The number of preemptive holds among `hold_count`.
    pub preemptive_hold_count: u32,
    /// The running tasks.
    pub tasks: Vec<task::Key>,
    /// The maximum number of running tasks; less than the worker's slots while it is on probation.
    pub max_tasks: u32,
    leaf: usize,
}

impl WorkerLoad {
    /// Returns the resources that are neither used nor held.
    pub fn free_capacity(&self) -> Resources {
        self.worker.capacity.minus(&self.used).minus(&self.held)
    }

    /// Returns the number of further tasks that the task limit allows.
    pub fn free_slots(&self) -> u32 {
        let taken = self.tasks.len() as u32 + self.hold_count;
        self.max_tasks.saturating_sub(taken)
    }

    /// Returns whether `count` tasks that need `need` in total could start if the holds of gangs
    /// were ignored.
    pub fn fits_ignoring_gang_holds(&self, need: &Resources, count: u32) -> bool {
        let taken = self.used.plus(&self.preemptive_held);
        let slots = self.tasks.len() as u32 + self.preemptive_hold_count + count;
        !self.worker.leaving
            && slots <= self.max_tasks
            && need.plus(&taken).fits(&self.worker.capacity)
    }

    /// Returns whether a task with a preemptive hold could start now.
    ///
    /// Other preemptive holds are ignored, because the resources they wait for are still in use.
    pub fn fits_ignoring_preemptive_holds(&self, need: &Resources) -> bool {
        let taken = self.used.plus(&self.held.minus(&self.preemptive_held));
        let slots = self.tasks.len() as u32 + self.hold_count - self.preemptive_hold_count;
        !self.worker.leaving
            && slots < self.max_tasks
            && need.plus(&taken).fits(&self.worker.capacity)
    }

    /// Returns whether the worker may run fewer tasks than it has slots.
    pub fn on_probation(&self) -> bool {
        self.max_tasks < self.worker.slots
    }
}

/// The maximum, per dimension, over the workers below a tree node.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct NodeSummary {
    free_capacity: Resources,
    free_slots: u32,
    /// The lowest and the highest rack number; unset if no worker below accepts tasks.
    racks: Option<(u32, u32)>,
}

impl NodeSummary {
    fn of(load: &WorkerLoad) -> Self {
        if load.worker.leaving || load.free_slots() == 0 {
            return Self::default();
        }
        Self {
            free_capacity: load.free_capacity(),
            free_slots: load.free_slots(),
            racks: Some((load.worker.rack, load.worker.rack)),
        }
    }

    fn merge(&self, other: &Self) -> Self {
        let racks = match (self.racks, other.racks) {
            (Some(a), Some(b)) => Some((a.0.min(b.0), a.1.max(b.1))),
            (a, b) => a.or(b),
        };
        Self {
            free_capacity: self.free_capacity.max(&other.free_capacity),
            free_slots: self.free_slots.max(other.free_slots),
            racks,
        }
    }

    fn may_fit(&self, query: &Query<'_>) -> bool {
        let Some((min_rack, max_rack)) = self.racks else {
            return false;
        };
        let excluded = min_rack == max_rack && query.excluded_racks.contains(&min_rack);
        !excluded && query.need.fits(&self.free_capacity)
    }

    /// Returns how many times `need` fits, by which subtrees are ordered.
    fn fit_count(&self, need: &Resources) -> u64 {
        let ratio = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        ratio(self.free_capacity.cpu_millis, need.cpu_millis)
            .min(ratio(self.free_capacity.memory_mib, need.memory_mib))
            .min(ratio(self.free_capacity.accelerators, need.accelerators))
            .min(u64::from(self.free_slots))
    }
}

/// The workers of a shard, indexed by name and by free capacity.
#[derive(Debug)]
pub struct Index {
    workers: SlotMap<Key, WorkerLoad>,
    keys_by_name: HashMap<Name, Key>,
    leaves: Vec<Option<Key>>,
    nodes: Vec<NodeSummary>,
    free_capacity: Resources,
    free_slots: u64,
    freed_workers: Vec<Key>,
    exhausted_searches: usize,
    nodes_examined: u64,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            workers: SlotMap::with_key(),
            keys_by_name: HashMap::new(),
            leaves: vec![None; MIN_LEAVES],
            nodes: vec![NodeSummary::default(); 2 * MIN_LEAVES],
            free_capacity: Resources::default(),
            free_slots: 0,
            freed_workers: Vec::new(),
            exhausted_searches: 0,
            nodes_examined: 0,
        }
    }
}

impl Index {
    /// Adds an idle worker, or updates one that is already known.
    pub fn upsert(&mut self, worker: Worker) -> Key {
        if let Some(key) = self.find(&worker.name) {
            self.update(key, |load| {
                if load.worker.slots != worker.slots {
                    load.max_tasks = worker.slots;
                }
                load.worker = worker;
            });
            return key;
        }
        let leaf = self.allocate_leaf();
        let name = worker.name.clone();
        let key = self.workers.insert(WorkerLoad {
            used: Resources::default(),
            held: Resources::default(),
            hold_count: 0,
            preemptive_held: Resources::default(),
            preemptive_hold_count: 0,
            tasks: Vec::new(),
            max_tasks: worker.slots,
            worker,
            leaf,
        });
        self.keys_by_name.insert(name, key);
        self.leaves[leaf] = Some(key);
        self.update_path(leaf);
        self.freed_workers.push(key);
        key
    }

    /// Removes a worker.
    pub fn remove(&mut self, key: Key) -> Option<WorkerLoad> {
        let load = self.workers.remove(key)?;
        self.keys_by_name.remove(&load.worker.name);
        self.leaves[load.leaf] = None;
        self.update_path(load.leaf);
        Some(load)
    }

    /// Returns a worker.
    pub fn get(&self, key: Key) -> Option<&WorkerLoad> {
        self.workers.get(key)
    }

    /// Returns the key of the named worker.
    pub fn find(&self, name: &Name) -> Option<Key> {
        self.keys_by_name.get(name).copied()
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &WorkerLoad)> {
        self.workers.iter()
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether the index holds no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns the total free capacity and free slots of the workers that accept tasks.
    pub fn free(&self) -> (Resources, u64) {
        (self.free_capacity, self.free_slots)
    }

    /// Returns the total number of nodes that searches have examined.
    pub fn nodes_examined(&self) -> u64 {
        self.nodes_examined
    }

    /// Returns the maximum number of nodes that one search examines.
    pub fn search_budget(&self) -> u64 {
        let levels = u64::from(self.leaves.len().ilog2()) + 1;
        levels * NODES_PER_LEVEL
    }

    /// Returns the workers whose free capacity or slots grew since the last call.
    pub fn take_freed_workers(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.freed_workers)
    }

    /// Applies a change to a worker and updates the tree.
    pub fn update(&mut self, key: Key, change: impl FnOnce(&mut WorkerLoad)) {
        let Some(load) = self.workers.get_mut(key) else {
            return;
        };
        let leaf = load.leaf;
        let before = NodeSummary::of(load);
        change(load);
        let after = NodeSummary::of(load);
        if !(after.free_capacity.fits(&before.free_capacity)
            && after.free_slots <= before.free_slots)
        {
            self.freed_workers.push(key);
        }
        self.update_path(leaf);
    }

    /// Adds a running task to a worker, even if it exceeds the worker's free capacity.
    ///
    /// The new owner of a shard must account for every task it finds running, even beyond a
    /// worker's capacity.
    pub fn assign(&mut self, key: Key, task: task::Key, need: &Resources) {
        self.update(key, |load| {
            load.used = load.used.plus(need);
            load.tasks.push(task);
        });
    }

    /// Limits the number of tasks that a worker may run at once, up to its slots.
    pub fn set_max_tasks(&mut self, key: Key, max_tasks: u32) {
        self.update(key, |load| {
            load.max_tasks = max_tasks.min(load.worker.slots)
        });
    }

    /// Removes a running task from a worker.
    pub fn unassign(&mut self, key: Key, task: task::Key, need: &Resources) {
        self.update(key, |load| {
            if let Some(index) = load.tasks.iter().position(|other| *other == task) {
                load.tasks.swap_remove(index);
                load.used = load.used.minus(need);
            }
        });
    }

    /// Reserves resources for a task, whether or not they are free already.
    ///
    /// A preemptive hold is for a single task that waits for running tasks to stop; other holds are
    /// for tasks of a gang and take free capacity.
    pub fn add_hold(&mut self, key: Key, need: &Resources, preemptive: bool) {
        self.update(key, |load| {
            load.held = load.held.plus(need);
            load.hold_count += 1;
            if preemptive {
                load.preemptive_held = load.preemptive_held.plus(need);
                load.preemptive_hold_count += 1;
            }
        });
    }

    /// Releases a hold.
    pub fn release_hold(&mut self, key: Key, need: &Resources, preemptive: bool) {
        self.update(key, |load| {
            load.held = load.held.minus(need);
            load.hold_count -= 1;
            if preemptive {
                load.preemptive_held = load.preemptive_held.minus(need);
                load.preemptive_hold_count -= 1;
            }
        });
    }

    /// Searches for a worker, examining no more than [`Self::search_budget`] nodes.
    pub fn search(&mut self, query: &Query<'_>) -> SearchResult {
        let mut remaining = self.search_budget();
        let mut stack = vec![ROOT];
        while let Some(node) = stack.pop() {
            if remaining == 0 {
                self.exhausted_searches += 1;
                return SearchResult::BudgetExhausted;
            }
            remaining -= 1;
            self.nodes_examined += 1;
            if !self.nodes[node].may_fit(query) {
                continue;
            }
            match node.checked_sub(self.leaves.len()) {
                None => stack.extend(self.ordered_children(node, query)),
                Some(leaf) => {
                    if let Some(key) = self.matching_worker(leaf, query) {
                        return SearchResult::Worker(key);
                    }
                }
            }
        }
        SearchResult::NoFit
    }

    fn matching_worker(&self, leaf: usize, query: &Query<'_>) -> Option<Key> {
        let key = self.leaves[leaf]?;
        let load = self.workers.get(key)?;
        (!query.exclude_probation || !load.on_probation()).then_some(key)
    }

    /// Returns the children of a node in the order of a stack: the one to search first comes last.
    fn ordered_children(&self, node: usize, query: &Query<'_>) -> [usize; 2] {
        let (left, right) = (2 * node, 2 * node + 1);
        let fit_count = |child: usize| self.nodes[child].fit_count(&query.need);
        let left_first = match query.strategy {
            Strategy::FirstFit => true,
            Strategy::BestFit => fit_count(left) <= fit_count(right),
            Strategy::WorstFit => fit_count(left) >= fit_count(right),
        };
        // Each search that exhausts its budget flips the order at different levels, so that every
        // leaf is reached eventually.
        let flipped = self.exhausted_searches >> node.ilog2() & 1 == 1;
        if left_first != flipped {
            [right, left]
        } else {
            [left, right]
        }
    }

    fn allocate_leaf(&mut self) -> usize {
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
        self.nodes = vec![NodeSummary::default(); 2 * size];
        for leaf in 0..size {
            self.nodes[size + leaf] = self.leaf_summary(leaf);
        }
        for node in (ROOT..size).rev() {
            self.nodes[node] = self.nodes[2 * node].merge(&self.nodes[2 * node + 1]);
        }
    }

    fn leaf_summary(&self, leaf: usize) -> NodeSummary {
        self.leaves[leaf]
            .and_then(|key| self.workers.get(key))
            .map_or_else(NodeSummary::default, NodeSummary::of)
    }

    fn update_path(&mut self, leaf: usize) {
        let summary = self.leaf_summary(leaf);
        let mut node = self.leaves.len() + leaf;
        let before = self.nodes[node];
        self.free_capacity = self
            .free_capacity
            .plus(&summary.free_capacity)
            .minus(&before.free_capacity);
        self.free_slots =
            self.free_slots + u64::from(summary.free_slots) - u64::from(before.free_slots);
        self.nodes[node] = summary;
        while node > ROOT {
            node /= 2;
            self.nodes[node] = self.nodes[2 * node].merge(&self.nodes[2 * node + 1]);
        }
    }
}
