//! The queue of waiting tasks.
//!
//! Tasks of the same kind and of similar size form a class. When the first task of a class does not
//! fit on any worker, the class is blocked until enough capacity for that task is freed, so that a
//! decision need not examine every waiting task.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use basilbridge_common::{
    job::Kind,
    unit::Resources, //
};
use slotmap::SecondaryMap;

use crate::{
    policy,
    share,
    task, //
};

/// The number of size classes between an amount and its double.
const CLASSES_PER_DOUBLING: f64 = 4.0;

/// A class of similar sizes; amounts within one class differ by less than a fifth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SizeClass([u16; 3]);

impl SizeClass {
    /// Returns the class of a size.
    pub fn of(need: &Resources) -> Self {
        let class = |amount: u64| {
            let doublings = (amount as f64 + 1.0).log2();
            (doublings * CLASSES_PER_DOUBLING) as u16
        };
        Self([
            class(need.cpu_millis),
            class(need.memory_mib),
            class(need.accelerators),
        ])
    }
}

/// Identifies a task in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueKey {
    kind: Kind,
    size_class: SizeClass,
    team: share::Key,
    rank: Rank,
}

type Rank = (u64, u64);

/// The reason why a class is blocked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BlockReason {
    /// No worker has this much free capacity.
    Capacity(Resources),
    /// The free capacity is kept for interactive work.
    Headroom,
    /// The search for a worker exhausted its budget.
    SearchBudget,
}

#[derive(Debug, Clone, Copy)]
struct WaitingTask {
    task: task::Key,
    need: Resources,
}

#[derive(Debug, Default)]
struct ClassQueue {
    tasks_by_team: BTreeMap<share::Key, BTreeMap<Rank, WaitingTask>>,
    /// The teams to serve, by level (as float bits) in ascending order. Parked teams are left out.
    teams_by_level: BTreeSet<(u64, share::Key)>,
    block_reason: Option<BlockReason>,
}

/// The first task of the class's team with the lowest level.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// The task.
    pub task: task::Key,
    /// The team of the task.
    pub team: share::Key,
    /// The size class of the task.
    pub size_class: SizeClass,
}

/// Waiting tasks by kind, size class and team.
#[derive(Debug, Default)]
pub struct Queue {
    kinds: [BTreeMap<SizeClass, ClassQueue>; policy::ORDER.len()],
    /// The classes in which each team has waiting tasks, and the level that the team is sorted by.
    teams: SecondaryMap<share::Key, TeamClasses>,
    last_sequence: u64,
    len: usize,
}

#[derive(Debug, Default)]
struct TeamClasses {
    level: u64,
    classes: BTreeSet<(usize, SizeClass)>,
}

impl Queue {
    /// Adds a task after those of its team and class that have the same rank.
    pub fn push(
        &mut self,
        kind: Kind,
        team: share::Key,
        need: &Resources,
        rank: u64,
        task: task::Key,
    ) -> QueueKey {
        self.last_sequence += 1;
        self.len += 1;
        let queue_key = QueueKey {
            kind,
            size_class: SizeClass::of(need),
            team,
            rank: (rank, self.last_sequence),
        };
        let position = policy::position(kind);
        let class = self.kinds[position]
            .entry(queue_key.size_class)
            .or_default();
        class
            .tasks_by_team
            .entry(team)
            .or_default()
            .insert(queue_key.rank, WaitingTask { task, need: *need });
        if !self.teams.contains_key(team) {
            self.teams.insert(team, TeamClasses::default());
        }
        let team_classes = &mut self.teams[team];
        if team_classes
            .classes
            .insert((position, queue_key.size_class))
        {
            class.teams_by_level.insert((team_classes.level, team));
        }
        // This task is smaller in some dimension than the one that blocked the class, so it may
        // fit.
        if let Some(BlockReason::Capacity(failed)) = class.block_reason
            && !failed.fits(need)
        {
            class.block_reason = None;
        }
        queue_key
    }

    /// Removes a task.
    pub fn remove(&mut self, queue_key: &QueueKey) -> Option<task::Key> {
        let position = policy::position(queue_key.kind);
        let class = self.kinds[position].get_mut(&queue_key.size_class)?;
        let team_tasks = class.tasks_by_team.get_mut(&queue_key.team)?;
        let task = team_tasks.remove(&queue_key.rank)?.task;
        self.len -= 1;
        if team_tasks.is_empty() {
            class.tasks_by_team.remove(&queue_key.team);
            let team_classes = &mut self.teams[queue_key.team];
            team_classes
                .classes
                .remove(&(position, queue_key.size_class));
            class
                .teams_by_level
                .remove(&(team_classes.level, queue_key.team));
        } else if let Some(BlockReason::Capacity(failed)) = class.block_reason
            && team_tasks
                .values()
                .next()
                .is_some_and(|next| !failed.fits(&next.need))
        {
            // The next task is not larger in every dimension than the one that blocked the class,
            // so it may fit.
            class.block_reason = None;
        }
        if class.tasks_by_team.is_empty() {
            self.kinds[position].remove(&queue_key.size_class);
        }
        Some(task)
    }

    /// Sorts a team by a new level, and unparks it in all classes.
    pub fn set_level(&mut self, team: share::Key, level: f64) {
        let Some(team_classes) = self.teams.get_mut(team) else {
            return;
        };
        // For non-negative floats, the order of the bits is the order of the values.
        let level_bits = level.to_bits();
        for (position, size_class) in &team_classes.classes {
            if let Some(class) = self.kinds[*position].get_mut(size_class) {
                class.teams_by_level.remove(&(team_classes.level, team));
                class.teams_by_level.insert((level_bits, team));
            }
        }
        team_classes.level = level_bits;
    }

    /// Skips a team in one class until the level of the team is set again.
    pub fn park(&mut self, kind: Kind, head: &Head) {
        let level = self
            .teams
            .get(head.team)
            .map_or(0, |team_classes| team_classes.level);
        if let Some(class) = self.kinds[policy::position(kind)].get_mut(&head.size_class) {
            class.teams_by_level.remove(&(level, head.team));
        }
    }

    /// Skips a class until [`Queue::unblock`] clears the reason.
    pub fn block(&mut self, kind: Kind, size_class: SizeClass, reason: BlockReason) {
        if let Some(class) = self.kinds[policy::position(kind)].get_mut(&size_class) {
            class.block_reason = Some(reason);
        }
    }

    /// Unblocks the classes for whose reason `is_over` returns true.
    pub fn unblock(&mut self, is_over: impl Fn(&BlockReason) -> bool) {
        for class in self.kinds.iter_mut().flat_map(BTreeMap::values_mut) {
            if class.block_reason.as_ref().is_some_and(&is_over) {
                class.block_reason = None;
            }
        }
    }

    /// Returns the first task of the team with the lowest level, among classes that are not
    /// blocked.
    pub fn next(&self, kind: Kind) -> Option<Head> {
        self.heads(kind, |class| class.block_reason.is_none())
            .min_by_key(|(order, _)| *order)
            .map(|(_, head)| head)
    }

    /// Returns the first task of each blocked class.
    pub fn blocked(&self, kind: Kind) -> Vec<Head> {
        self.heads(kind, |class| class.block_reason.is_some())
            .map(|(_, head)| head)
            .collect()
    }

    fn heads(
        &self,
        kind: Kind,
        include: impl Fn(&ClassQueue) -> bool,
    ) -> impl Iterator<Item = ((u64, Rank), Head)> {
        let classes = self.kinds[policy::position(kind)].iter();
        classes
            .filter(move |(_, class)| include(class))
            .filter_map(|(size_class, class)| {
                let (level, team) = class.teams_by_level.first()?;
                let (rank, first) = class.tasks_by_team.get(team)?.first_key_value()?;
                let head = Head {
                    task: first.task,
                    team: *team,
                    size_class: *size_class,
                };
                Some(((*level, *rank), head))
            })
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no tasks wait.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
