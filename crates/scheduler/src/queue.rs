//! Tasks that wait for room.

use std::collections::VecDeque;

use basilbridge_common::{
    id,
    job::Kind, //
};

/// The order in which kinds are looked at.
const ORDER: [Kind; 4] = [Kind::Interactive, Kind::Service, Kind::Gang, Kind::Batch];

/// Tasks that wait, the most urgent kind first and the oldest first within a kind.
#[derive(Debug, Default)]
pub struct Queue {
    kinds: [VecDeque<id::Task>; ORDER.len()],
}

impl Queue {
    /// Adds a task at the end of its kind.
    pub fn push(&mut self, kind: Kind, task: id::Task) {
        self.kinds[position(kind)].push_back(task);
    }

    /// Removes a task, if it waits.
    pub fn remove(&mut self, kind: Kind, task: &id::Task) -> bool {
        let queue = &mut self.kinds[position(kind)];
        let before = queue.len();
        queue.retain(|waiting| waiting != task);
        queue.len() != before
    }

    /// Returns all tasks that wait, in order.
    pub fn iter(&self) -> impl Iterator<Item = &id::Task> {
        self.kinds.iter().flatten()
    }

    /// Returns how many tasks wait.
    pub fn len(&self) -> usize {
        self.kinds.iter().map(VecDeque::len).sum()
    }

    /// Says whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn position(kind: Kind) -> usize {
    ORDER
        .iter()
        .position(|ordered| *ordered == kind)
        .unwrap_or(ORDER.len() - 1)
}
