//! The baseline for comparison: first come, first fit, without shares.

use std::collections::{
    BTreeMap,
    HashMap, //
};

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
    worker::Worker, //
};
use basilbridge_scheduler::{
    shard::Action,
    task::Task, //
};

/// A worker and its free capacity.
struct WorkerLoad {
    worker: Worker,
    free_capacity: Resources,
    free_slots: u32,
}

/// A scheduler that starts tasks in the order of acceptance on the first worker that fits.
#[derive(Default)]
pub(crate) struct Baseline {
    workers: Vec<WorkerLoad>,
    queue: BTreeMap<(Millis, id::Job), Vec<Task>>,
    running: HashMap<id::Task, (Task, Name)>,
    free_slots: u64,
    /// How many workers all searches have examined.
    pub(crate) workers_examined: u64,
}

impl Baseline {
    pub(crate) fn set_worker(&mut self, worker: Worker) {
        self.free_slots += u64::from(worker.slots);
        self.workers.push(WorkerLoad {
            free_capacity: worker.capacity,
            free_slots: worker.slots,
            worker,
        });
    }

    pub(crate) fn remove_worker(&mut self, name: &Name) {
        let removed = self.workers.iter().filter(|load| load.worker.name == *name);
        self.free_slots -= removed.map(|load| u64::from(load.free_slots)).sum::<u64>();
        self.workers.retain(|load| load.worker.name != *name);
    }

    pub(crate) fn submit(&mut self, task: Task) {
        let job = (task.accepted, task.id.job.clone());
        self.queue.entry(job).or_default().push(task);
    }

    pub(crate) fn remove(&mut self, id: &id::Task) -> Option<Task> {
        if let Some((task, worker)) = self.running.remove(id) {
            self.release(&task, &worker);
            return Some(task);
        }
        let name = self.queue.keys().find(|(_, job)| *job == id.job)?.clone();
        let tasks = self.queue.get_mut(&name)?;
        let at = tasks.iter().position(|task| task.id == *id)?;
        let task = tasks.swap_remove(at);
        if tasks.is_empty() {
            self.queue.remove(&name);
        }
        Some(task)
    }

    pub(crate) fn requeue(&mut self, id: &id::Task) {
        if let Some(task) = self.remove(id) {
            self.submit(task);
        }
    }

    pub(crate) fn decide(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut unplaceable: Vec<(Resources, usize)> = Vec::new();
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|_, tasks| {
            if self.free_slots == 0 {
                return true;
            }
            if tasks[0].kind == Kind::Gang {
                return !self.start_unless_unplaceable(&mut unplaceable, tasks, &mut actions);
            }
            tasks.retain(|task| {
                let single = std::slice::from_ref(task);
                !self.start_unless_unplaceable(&mut unplaceable, single, &mut actions)
            });
            !tasks.is_empty()
        });
        self.queue = queue;
        actions
    }

    /// Starts tasks and returns whether it did. Does not try if as many or fewer tasks that are no
    /// larger could not be placed in this decision.
    fn start_unless_unplaceable(
        &mut self,
        unplaceable: &mut Vec<(Resources, usize)>,
        tasks: &[Task],
        actions: &mut Vec<Action>,
    ) -> bool {
        let need = tasks[0].resources;
        let is_unplaceable = unplaceable
            .iter()
            .any(|(known, count)| known.fits(&need) && *count <= tasks.len());
        if is_unplaceable {
            return false;
        }
        let started = self.start_all(tasks, actions);
        if !started {
            unplaceable.push((need, tasks.len()));
        }
        started
    }

    /// Starts all tasks or none, and returns whether they were started.
    fn start_all(&mut self, tasks: &[Task], actions: &mut Vec<Action>) -> bool {
        let mut placed = Vec::new();
        for task in tasks {
            let candidate = self.workers.iter_mut().find(|load| {
                self.workers_examined += 1;
                load.free_slots > 0 && task.resources.fits(&load.free_capacity)
            });
            let Some(load) = candidate else {
                for (task, worker) in &placed {
                    let worker: &Worker = worker;
                    self.release(task, &worker.name);
                }
                return false;
            };
            load.free_capacity = load.free_capacity.minus(&task.resources);
            load.free_slots -= 1;
            self.free_slots -= 1;
            placed.push((task.clone(), load.worker.clone()));
        }
        for (task, worker) in placed {
            actions.push(Action::Start {
                task: task.id.clone(),
                worker: worker.clone(),
            });
            self.running.insert(task.id.clone(), (task, worker.name));
        }
        true
    }

    fn release(&mut self, task: &Task, worker: &Name) {
        let load = self
            .workers
            .iter_mut()
            .find(|load| load.worker.name == *worker);
        if let Some(load) = load {
            load.free_capacity = load.free_capacity.plus(&task.resources);
            load.free_slots += 1;
            self.free_slots += 1;
        }
    }
}
