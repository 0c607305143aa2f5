//! Applies random operations to a shard and checks it against a simple model after each step.
//!
//! `BASILBRIDGE_SEEDS=100000 cargo test -p basilbridge-scheduler --test shard_invariants` runs
//! more seeds. A failing run prints its seed last.

mod util;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration,
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
    shard::{
        Action,
        Shard, //
    },
    share::Team,
    task::Task,
};
use quickcheck::{
    Arbitrary,
    Gen, //
};

const FIXED_SEEDS: u64 = 300;
const STEPS: usize = 120;
const TEAMS: [&str; 3] = ["first", "second", "third"];

#[derive(Debug, Clone)]
enum Operation {
    Submit {
        kind: Kind,
        cores: u64,
        memory: u64,
        count: u32,
        team: usize,
        repeatable: bool,
        deadline: Option<u64>,
    },
    Adopt(u64, usize),
    End(usize),
    Requeue(usize),
    Cancel(usize),
    Checkpointed(usize),
    AddWorker(u64, u32),
    DrainWorker(usize),
    RemoveWorker(usize),
    SetAllotment(usize, Option<u64>),
    SetWeight(usize, u32),
    AdvanceTime(u64),
}

impl Arbitrary for Operation {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = |g: &mut Gen, limit: u64| u64::arbitrary(g) % limit;
        let pick = |g: &mut Gen| usize::arbitrary(g) % 1000;
        match number(g, 20) {
            0..=7 => Self::Submit {
                kind: *g
                    .choose(&[Kind::Interactive, Kind::Service, Kind::Batch, Kind::Gang])
                    .expect("the list is not empty"),
                cores: 1 + number(g, 8),
                memory: 1 + number(g, 8),
                count: 1 + number(g, 5) as u32,
                team: pick(g) % TEAMS.len(),
                repeatable: bool::arbitrary(g),
                deadline: bool::arbitrary(g).then(|| number(g, 100_000)),
            },
            8 => Self::Adopt(1 + number(g, 12), pick(g)),
            9..=11 => Self::End(pick(g)),
            12 => Self::Requeue(pick(g)),
            13 => Self::Cancel(pick(g)),
            14 => Self::Checkpointed(pick(g)),
            15 => Self::AddWorker(4 + number(g, 8), 1 + number(g, 6) as u32),
            16 => match number(g, 3) {
                0 => Self::DrainWorker(pick(g)),
                1 => Self::RemoveWorker(pick(g)),
                _ => Self::SetWeight(pick(g) % TEAMS.len(), 1 + number(g, 5) as u32),
            },
            17 => Self::SetAllotment(
                pick(g) % TEAMS.len(),
                bool::arbitrary(g).then(|| number(g, 20)),
            ),
            _ => Self::AdvanceTime(number(g, 40_000)),
        }
    }
}

/// The expected state, in plain maps that are summed anew at each check.
#[derive(Default)]
struct Model {
    shard: Shard,
    now: Millis,
    jobs: u64,
    workers_added: u32,
    workers: BTreeMap<Name, Worker>,
    waiting: BTreeMap<id::Task, Task>,
    running: BTreeMap<id::Task, (Task, Name)>,
    /// Tasks whose checkpoint was requested; `stopping` holds those among them whose stop was
    /// requested.
    checkpointing: BTreeSet<id::Task>,
    stopping: BTreeSet<id::Task>,
    allotments: BTreeMap<Name, Resources>,
}

impl Model {
    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Submit { .. } => self.submit(&operation),
            Operation::Adopt(cores, pick) => self.adopt(cores, pick),
            Operation::End(pick) => {
                if let Some(id) = nth(self.running.keys(), pick) {
                    self.shard.remove(&id);
                    self.untrack(&id);
                }
            }
            Operation::Requeue(pick) => {
                // Prefer tasks whose stop was requested, since workers return these.
                let stopped = nth(self.stopping.iter(), pick);
                if let Some(id) = stopped.or_else(|| nth(self.running.keys(), pick)) {
                    self.shard.requeue(&id);
                    let (task, _) = self.running[&id].clone();
                    self.untrack(&id);
                    self.waiting.insert(id, task);
                }
            }
            Operation::Cancel(pick) => {
                if let Some(id) = nth(self.waiting.keys(), pick) {
                    self.shard.remove(&id);
                    self.untrack(&id);
                }
            }
            Operation::Checkpointed(pick) => {
                if let Some(id) = nth(self.checkpointing.iter(), pick) {
                    self.shard.record_checkpoint(&id, self.now);
                }
            }
            Operation::AddWorker(cores, slots) => {
                self.workers_added += 1;
                self.set_worker(util::worker(
                    self.workers_added,
                    util::resources(cores, cores),
                    slots,
                ));
            }
            Operation::DrainWorker(pick) => {
                if let Some(name) = nth(self.workers.keys(), pick) {
                    let mut worker = self.workers[&name].clone();
                    worker.leaving = true;
                    self.set_worker(worker);
                }
            }
            Operation::RemoveWorker(pick) => self.remove_worker(pick),
            Operation::SetAllotment(team, cores) => {
                let name: Name = TEAMS[team].into();
                let allotment = cores.map(|cores| util::resources(cores, cores));
                self.allotments.remove(&name);
                if let Some(allotment) = allotment {
                    self.allotments.insert(name.clone(), allotment);
                    self.shard.allotments.load([(name, allotment)]);
                }
                self.set_limited_teams();
            }
            Operation::SetWeight(team, weight) => {
                let name: Name = TEAMS[team].into();
                let team = Team {
                    name,
                    weight,
                    elsewhere: Resources::default(),
                };
                self.shard.set_teams(vec![team], None);
            }
            Operation::AdvanceTime(delay) => {
                self.now = self.now.after(Duration::from_millis(delay))
            }
        }
    }

    fn submit(&mut self, operation: &Operation) {
        let Operation::Submit {
            kind,
            cores,
            memory,
            count,
            team,
            repeatable,
            deadline,
        } = *operation
        else {
            return;
        };
        self.jobs += 1;
        for index in 0..count {
            let task = Task {
                id: util::id(self.jobs, index),
                team: TEAMS[team].into(),
                repeatable,
                accepted: self.now,
                deadline: deadline.map(|delay| self.now.after(Duration::from_millis(delay))),
                ..util::task(self.jobs, kind, util::resources(cores, memory))
            };
            self.shard.submit(task.clone());
            self.waiting.insert(task.id.clone(), task);
        }
    }

    fn adopt(&mut self, cores: u64, pick: usize) {
        let Some(name) = nth(self.workers.keys(), pick) else {
            return;
        };
        self.jobs += 1;
        let task = util::task(self.jobs, Kind::Batch, util::resources(cores, cores));
        self.shard.adopt(task.clone(), &name);
        self.running.insert(task.id.clone(), (task, name));
    }

    fn set_limited_teams(&mut self) {
        let limited: BTreeSet<_> = self.allotments.keys().cloned().collect();
        self.shard.allotments.set_limited(&Arc::new(limited));
    }

    fn set_worker(&mut self, worker: Worker) {
        self.shard.set_worker(worker.clone());
        self.workers.insert(worker.name.clone(), worker);
    }

    fn remove_worker(&mut self, pick: usize) {
        let Some(name) = nth(self.workers.keys(), pick) else {
            return;
        };
        self.workers.remove(&name);
        let removed = self.shard.remove_worker(&name);
        let tasks_here = self.running.iter().filter(|(_, (_, on))| *on == name);
        let expected: BTreeSet<_> = tasks_here.map(|(id, _)| id.clone()).collect();
        let removed: BTreeSet<_> = removed.into_iter().collect();
        assert_eq!(removed, expected, "tasks returned for a removed worker");
        for id in removed {
            self.shard.requeue(&id);
            let (task, _) = self.running[&id].clone();
            self.untrack(&id);
            self.waiting.insert(id, task);
        }
    }

    fn untrack(&mut self, id: &id::Task) {
        self.waiting.remove(id);
        self.running.remove(id);
        self.checkpointing.remove(id);
        self.stopping.remove(id);
    }

    fn decide(&mut self) {
        let actions = self.shard.decide(self.now);
        let mut started: BTreeMap<id::Job, usize> = BTreeMap::new();
        for action in &actions {
            match action {
                Action::Start { task, worker } => {
                    *started.entry(task.job.clone()).or_default() += 1;
                    self.start(task, &worker.name);
                }
                Action::Expire { task } => {
                    let expired = self
                        .waiting
                        .remove(task)
                        .expect("an expired task must have been waiting");
                    assert!(
                        expired
                            .deadline
                            .is_some_and(|deadline| deadline <= self.now)
                    );
                }
                Action::Checkpoint { task, worker } => {
                    let (running_task, on) = &self.running[task];
                    assert!(
                        running_task.repeatable && running_task.kind == Kind::Batch,
                        "checkpoint requested of {task}, which is not preemptible"
                    );
                    assert_eq!(*on, worker.name);
                    assert!(
                        self.checkpointing.insert(task.clone()),
                        "checkpoint of {task} requested twice"
                    );
                }
                Action::Stop { task, .. } => {
                    assert!(
                        self.checkpointing.contains(task),
                        "stop of {task} without a checkpoint request"
                    );
                    assert!(
                        self.stopping.insert(task.clone()),
                        "stop of {task} requested twice"
                    );
                }
            }
        }
        self.check_gangs(&started);
        self.check_counts();
    }

    fn start(&mut self, id: &id::Task, worker: &Name) {
        assert!(!self.running.contains_key(id), "{id} started while it runs");
        let task = self
            .waiting
            .remove(id)
            .expect("a started task must have been waiting");
        let target = &self.workers[worker];
        assert!(!target.leaving, "task started on draining {worker}");
        let team = task.team.clone();
        self.running.insert(id.clone(), (task, worker.clone()));
        let tasks_here = self.running.values().filter(|(_, name)| name == worker);
        let used = total_resources(tasks_here.clone().map(|(task, _)| task));
        assert!(used.fits(&target.capacity), "capacity of {worker} exceeded");
        assert!(
            tasks_here.count() as u32 <= target.slots,
            "slots of {worker} exceeded"
        );
        if let Some(allotment) = self.allotments.get(&team) {
            let running = self.running.values().map(|(task, _)| task);
            let used = total_resources(running.filter(|task| task.team == team));
            assert!(used.fits(allotment), "allotment of {team} exceeded");
        }
    }

    fn check_gangs(&self, started: &BTreeMap<id::Job, usize>) {
        let gang_tasks = self.waiting.values().filter(|task| task.kind == Kind::Gang);
        for task in gang_tasks {
            assert!(!started.contains_key(&task.id.job), "gang started in part");
        }
    }

    fn check_counts(&self) {
        assert_eq!(self.shard.running(), self.running.len());
        assert_eq!(self.shard.queued(), self.waiting.len());
        for (id, (_, worker)) in &self.running {
            let actual = self.shard.worker_of(id).map(|worker| &worker.name);
            assert_eq!(actual, Some(worker), "worker of {id}");
        }
        for load in self.shard.worker_loads() {
            let tasks_here = self
                .running
                .values()
                .filter(|(_, on)| *on == load.worker.name);
            let used = total_resources(tasks_here.map(|(task, _)| task));
            assert_eq!(load.used, used, "usage of {}", load.worker.name);
        }
        for team in self.shard.teams() {
            let running = self.running.values().map(|(task, _)| task);
            let used = total_resources(running.filter(|task| task.team == team.team.name));
            assert!(used.fits(&team.used), "usage of {}", team.team.name);
        }
    }

    /// Ends running tasks until no task waits, and panics if some task never starts.
    fn drain(&mut self) {
        let (capacity, slots) = (util::resources(64, 64), 64);
        self.set_worker(util::worker(1_000, capacity, slots));
        self.allotments.clear();
        self.set_limited_teams();
        for _ in 0..1_000 {
            if self.waiting.is_empty() {
                return;
            }
            for id in self.running.keys().cloned().collect::<Vec<_>>() {
                self.shard.remove(&id);
                self.untrack(&id);
            }
            self.now = self.now.after(Duration::from_secs(1));
            self.decide();
        }
        panic!("{} tasks never started", self.waiting.len());
    }
}

fn total_resources<'a>(tasks: impl Iterator<Item = &'a Task>) -> Resources {
    tasks.fold(Resources::default(), |sum, task| sum.plus(&task.resources))
}

fn nth<'a, T: Clone + 'a>(items: impl ExactSizeIterator<Item = &'a T>, pick: usize) -> Option<T> {
    let count = items.len().max(1);
    items.into_iter().nth(pick % count).cloned()
}

#[test]
fn capacity_allotments_and_gangs_are_respected_and_each_task_runs_once_after_every_step() {
    for seed in util::seeds(FIXED_SEEDS) {
        let mut gen_ = Gen::from_size_and_seed(64, seed);
        let mut model = Model::default();
        model.shard.allotments.finish_recovery();
        model.set_worker(util::worker(0, util::resources(8, 8), 4));
        println!("seed {seed}");
        for _ in 0..STEPS {
            model.apply(Operation::arbitrary(&mut gen_));
            model.decide();
        }
        model.drain();
    }
}
