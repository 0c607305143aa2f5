//! The state of one shard and the decisions of its owner.

use std::collections::HashMap;

use basilbridge_common::{
    id::{
        self,
        Name, //
    },
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
    worker::Worker,
};

use crate::{
    allotment::Book,
    placement::{
        Index,
        Key, //
    },
    queue::Queue,
};

/// A task, as far as the decisions need to know it.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// The task.
    pub id: id::Task,
    /// The team that pays for it.
    pub team: Name,
    /// The kind of work.
    pub kind: Kind,
    /// What the task needs.
    pub resources: Resources,
    /// Whether the task may be run again.
    pub repeatable: bool,
    /// The jobs that this one is alike to in size and run time.
    pub family: Option<Name>,
    /// When the task was accepted.
    pub accepted: Millis,
    /// When the answer has no more use.
    pub deadline: Option<Millis>,
}

/// What the owner has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a task on a worker.
    Start {
        /// The task.
        task: id::Task,
        /// The worker.
        worker: Worker,
    },
    /// Give up a task whose deadline passed before it started.
    Expire {
        /// The task.
        task: id::Task,
    },
}

#[derive(Debug)]
struct Entry {
    task: Task,
    on: Option<Key>,
}

/// The state of one shard.
#[derive(Debug, Default)]
pub struct Shard {
    workers: Index,
    queue: Queue,
    tasks: HashMap<id::Task, Entry>,
    /// What the teams run here and may run here.
    pub limits: Book,
}

impl Shard {
    /// Adds a worker, or takes note of its change.
    pub fn set_worker(&mut self, worker: Worker) {
        match self.workers.find(&worker.name) {
            Some(key) => self.workers.set_open(key, !worker.leaving),
            None => {
                self.workers.insert(worker);
            }
        }
    }

    /// Forgets a worker on which nothing runs any more.
    pub fn remove_worker(&mut self, name: &Name) {
        if let Some(key) = self.workers.find(name) {
            self.workers.remove(key);
        }
    }

    /// Returns the workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().map(|(_, slot)| &slot.worker)
    }

    /// Returns how many tasks wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> usize {
        self.tasks.len() - self.queue.len()
    }

    /// Says whether any worker of the shard could run a task of this size when empty.
    pub fn possible(&self, need: &Resources) -> bool {
        self.workers
            .iter()
            .any(|(_, slot)| need.fits(&slot.worker.capacity))
    }

    /// Queues a task.
    pub fn submit(&mut self, task: Task) {
        self.queue.push(task.kind, task.id.clone());
        self.tasks.insert(task.id.clone(), Entry { task, on: None });
    }

    /// Counts a task that already runs on a worker of this name.
    pub fn adopt(&mut self, task: Task, worker: &Name) {
        let Some(key) = self.workers.find(worker) else {
            return;
        };
        self.workers.take(key, &task.resources);
        self.limits.find(&task.team, &task.resources);
        let entry = Entry {
            task,
            on: Some(key),
        };
        if let Some(old) = self.tasks.insert(entry.task.id.clone(), entry)
            && old.on.is_none()
        {
            self.queue.remove(old.task.kind, &old.task.id);
        }
    }

    /// Forgets a task that has ended, was cancelled or has failed to start.
    pub fn remove(&mut self, id: &id::Task) -> Option<Task> {
        let entry = self.tasks.remove(id)?;
        match entry.on {
            Some(key) => {
                self.workers.give_back(key, &entry.task.resources);
                self.limits.end(&entry.task.team, &entry.task.resources);
            }
            None => {
                self.queue.remove(entry.task.kind, id);
            }
        }
        Some(entry.task)
    }

    /// Decides what to do at `now`.
    pub fn decide(&mut self, now: Millis) -> Vec<Action> {
        let waiting: Vec<_> = self.queue.iter().cloned().collect();
        let mut actions = Vec::new();
        self.limits.begin_pass();
        for id in waiting {
            let Some(entry) = self.tasks.get_mut(&id) else {
                continue;
            };
            if entry.task.deadline.is_some_and(|deadline| deadline <= now) {
                self.remove(&id);
                actions.push(Action::Expire { task: id });
                continue;
            }
            let Some(key) = self.workers.choose(&entry.task.resources) else {
                continue;
            };
            if !self.limits.admits(&entry.task.team, &entry.task.resources) {
                continue;
            }
            self.limits.start(&entry.task.team, &entry.task.resources);
            self.workers.take(key, &entry.task.resources);
            self.queue.remove(entry.task.kind, &id);
            entry.on = Some(key);
            if let Some(slot) = self.workers.get(key) {
                actions.push(Action::Start {
                    task: id,
                    worker: slot.worker.clone(),
                });
            }
        }
        actions
    }
}
