//! First come, first fit, without shares: what the decisions are compared with.

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
    worker::Worker,
};
use basilbridge_scheduler::{
    shard::Action,
    task::Task, //
};

struct Slot {
    worker: Worker,
    room: Resources,
    slots: u32,
}

#[derive(Default)]
pub(crate) struct Baseline {
    workers: Vec<Slot>,
    queue: BTreeMap<(Millis, id::Job), Vec<Task>>,
    running: HashMap<id::Task, (Task, Name)>,
    free: u64,
    pub(crate) examined: u64,
}

impl Baseline {
    pub(crate) fn set_worker(&mut self, worker: Worker) {
        self.free += u64::from(worker.slots);
        self.workers.push(Slot {
            room: worker.capacity,
            slots: worker.slots,
            worker,
        });
    }

    pub(crate) fn remove_worker(&mut self, name: &Name) {
        let gone = self.workers.iter().filter(|slot| slot.worker.name == *name);
        self.free -= gone.map(|slot| u64::from(slot.slots)).sum::<u64>();
        self.workers.retain(|slot| slot.worker.name != *name);
    }

    pub(crate) fn submit(&mut self, task: Task) {
        let job = (task.accepted, task.id.job.clone());
        self.queue.entry(job).or_default().push(task);
    }

    pub(crate) fn remove(&mut self, id: &id::Task) -> Option<Task> {
        if let Some((task, worker)) = self.running.remove(id) {
            self.give_back(&task, &worker);
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
        let mut failed: Vec<(Resources, usize)> = Vec::new();
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|_, tasks| {
            if self.free == 0 {
                return true;
            }
            if tasks[0].kind == Kind::Gang {
                return !self.start_unless(&mut failed, tasks, &mut actions);
            }
            tasks.retain(|task| {
                let single = std::slice::from_ref(task);
                !self.start_unless(&mut failed, single, &mut actions)
            });
            !tasks.is_empty()
        });
        self.queue = queue;
        actions
    }

    /// Starts tasks, unless as many that are no larger found no room in this decision.
    fn start_unless(
        &mut self,
        failed: &mut Vec<(Resources, usize)>,
        tasks: &[Task],
        actions: &mut Vec<Action>,
    ) -> bool {
        let need = tasks[0].resources;
        let hopeless = failed
            .iter()
            .any(|(known, count)| known.fits(&need) && *count <= tasks.len());
        if hopeless {
            return false;
        }
        let started = self.start_all(tasks, actions);
        if !started {
            failed.push((need, tasks.len()));
        }
        started
    }

    fn start_all(&mut self, tasks: &[Task], actions: &mut Vec<Action>) -> bool {
        let mut placed = Vec::new();
        for task in tasks {
            let found = self.workers.iter_mut().find(|slot| {
                self.examined += 1;
                slot.slots > 0 && task.resources.fits(&slot.room)
            });
            let Some(slot) = found else {
                for (task, worker) in &placed {
                    let worker: &Worker = worker;
                    self.give_back(task, &worker.name);
                }
                return false;
            };
            slot.room = slot.room.minus(&task.resources);
            slot.slots -= 1;
            self.free -= 1;
            placed.push((task.clone(), slot.worker.clone()));
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

    fn give_back(&mut self, task: &Task, worker: &Name) {
        let slot = self
            .workers
            .iter_mut()
            .find(|slot| slot.worker.name == *worker);
        if let Some(slot) = slot {
            slot.room = slot.room.plus(&task.resources);
            slot.slots += 1;
            self.free += 1;
        }
    }
}
