//! Tasks that wait for room.
//!
//! Tasks of one kind and about one size form a class. When the first task of a class finds no
//! room, the class is left alone until room comes free that the task would fit in, so that a
//! decision does not look at each task that waits.

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

/// How many classes of size there are between one amount and its double.
const CLASSES_PER_DOUBLING: f64 = 4.0;

/// The class of a size; sizes of one class differ by less than a fifth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shape([u16; 3]);

impl Shape {
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

/// The place of a task in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    kind: Kind,
    shape: Shape,
    team: share::Key,
    rank: Rank,
}

type Rank = (u64, u64);

/// Why a class is left alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Block {
    /// No worker has this much room.
    Room(Resources),
    /// What is free is kept for interactive work.
    Headroom,
    /// The search was cut off.
    CutOff,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    task: task::Key,
    need: Resources,
}

#[derive(Debug, Default)]
struct Class {
    lanes: BTreeMap<share::Key, BTreeMap<Rank, Waiting>>,
    /// The teams that wait, the one with the lowest level first.
    order: BTreeSet<(u64, share::Key)>,
    block: Option<Block>,
}

/// The first task of the team that goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// The task.
    pub task: task::Key,
    /// Its team.
    pub team: share::Key,
    /// Its class.
    pub shape: Shape,
}

/// Tasks that wait, by kind, class and team.
#[derive(Debug, Default)]
pub struct Queue {
    kinds: [BTreeMap<Shape, Class>; policy::ORDER.len()],
    /// The lanes that each team waits in, and the level they are sorted by.
    teams: SecondaryMap<share::Key, Lanes>,
    pushed: u64,
    len: usize,
}

#[derive(Debug, Default)]
struct Lanes {
    level: u64,
    places: BTreeSet<(usize, Shape)>,
}

impl Queue {
    /// Adds a task behind those of its team with the same rank.
    pub fn push(
        &mut self,
        kind: Kind,
        team: share::Key,
        need: &Resources,
        rank: u64,
        task: task::Key,
    ) -> Ticket {
        self.pushed += 1;
        self.len += 1;
        let ticket = Ticket {
            kind,
            shape: Shape::of(need),
            team,
            rank: (rank, self.pushed),
        };
        let position = policy::position(kind);
        let class = self.kinds[position].entry(ticket.shape).or_default();
        class
            .lanes
            .entry(team)
            .or_default()
            .insert(ticket.rank, Waiting { task, need: *need });
        if !self.teams.contains_key(team) {
            self.teams.insert(team, Lanes::default());
        }
        let lanes = &mut self.teams[team];
        if lanes.places.insert((position, ticket.shape)) {
            class.order.insert((lanes.level, team));
        }
        // A task smaller than the one that found no room may fit where that one did not.
        if let Some(Block::Room(failed)) = class.block
            && !failed.fits(need)
        {
            class.block = None;
        }
        ticket
    }

    /// Removes a task.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<task::Key> {
        let position = policy::position(ticket.kind);
        let class = self.kinds[position].get_mut(&ticket.shape)?;
        let lane = class.lanes.get_mut(&ticket.team)?;
        let task = lane.remove(&ticket.rank)?.task;
        self.len -= 1;
        if lane.is_empty() {
            class.lanes.remove(&ticket.team);
            let lanes = &mut self.teams[ticket.team];
            lanes.places.remove(&(position, ticket.shape));
            class.order.remove(&(lanes.level, ticket.team));
        } else if let Some(Block::Room(failed)) = class.block
            && lane
                .values()
                .next()
                .is_some_and(|next| !failed.fits(&next.need))
        {
            // The next task is smaller than the one that found no room, so it may fit.
            class.block = None;
        }
        if class.lanes.is_empty() {
            self.kinds[position].remove(&ticket.shape);
        }
        Some(task)
    }

    /// Sorts a team anew by its level, and looks again at its lanes that were parked.
    pub fn set_level(&mut self, team: share::Key, level: f64) {
        let Some(lanes) = self.teams.get_mut(team) else {
            return;
        };
        // The bits of floats that are not negative sort like the floats.
        let new = level.to_bits();
        for (position, shape) in &lanes.places {
            if let Some(class) = self.kinds[*position].get_mut(shape) {
                class.order.remove(&(lanes.level, team));
                class.order.insert((new, team));
            }
        }
        lanes.level = new;
    }

    /// Leaves a lane alone until the level of its team is set.
    pub fn park(&mut self, kind: Kind, head: &Head) {
        let level = self.teams.get(head.team).map_or(0, |lanes| lanes.level);
        if let Some(class) = self.kinds[policy::position(kind)].get_mut(&head.shape) {
            class.order.remove(&(level, head.team));
        }
    }

    /// Leaves a class alone until room comes free.
    pub fn block(&mut self, kind: Kind, shape: Shape, block: Block) {
        if let Some(class) = self.kinds[policy::position(kind)].get_mut(&shape) {
            class.block = Some(block);
        }
    }

    /// Looks again at the classes for which `is_over` says that what blocked them is over.
    pub fn unblock(&mut self, is_over: impl Fn(&Block) -> bool) {
        for class in self.kinds.iter_mut().flat_map(BTreeMap::values_mut) {
            if class.block.as_ref().is_some_and(&is_over) {
                class.block = None;
            }
        }
    }

    /// Returns the first task of the team with the lowest level, among classes not blocked.
    pub fn next(&self, kind: Kind) -> Option<Head> {
        self.heads(kind, |class| class.block.is_none())
            .min_by_key(|(order, _)| *order)
            .map(|(_, head)| head)
    }

    /// Returns the first task of each class that is blocked for want of room.
    pub fn blocked(&self, kind: Kind) -> Vec<Head> {
        self.heads(kind, |class| class.block.is_some())
            .map(|(_, head)| head)
            .collect()
    }

    fn heads(
        &self,
        kind: Kind,
        wanted: impl Fn(&Class) -> bool,
    ) -> impl Iterator<Item = ((u64, Rank), Head)> {
        let classes = self.kinds[policy::position(kind)].iter();
        classes
            .filter(move |(_, class)| wanted(class))
            .filter_map(|(shape, class)| {
                let (level, team) = class.order.first()?;
                let (rank, first) = class.lanes.get(team)?.first_key_value()?;
                let head = Head {
                    task: first.task,
                    team: *team,
                    shape: *shape,
                };
                Some(((*level, *rank), head))
            })
    }

    /// Returns how many tasks wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Says whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
