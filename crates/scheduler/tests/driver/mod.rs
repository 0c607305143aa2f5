//! Feeds arrival lists to the real decision code under a manual clock.
//!
//! This is a driver and no model of machines: a task runs for the time in its list, a worker
//! answers a checkpoint and a stop after fixed times, and nothing else takes time.

#![allow(dead_code, reason = "the bench and the tests each use their own part")]

pub(crate) mod arrivals;
pub(crate) mod baseline;
pub(crate) mod measurements;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        BinaryHeap, //
    },
    time::Duration,
};

use basilbridge_common::{
    id,
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_scheduler::{
    policy,
    shard::{
        Action,
        Shard, //
    },
    share::Team,
    task::Task,
};

use arrivals::{
    Arrival,
    Event,
    Scenario,
    Site, //
};
use baseline::Baseline;
use measurements::Measurements;

const SAVE_TIME: Duration = Duration::from_millis(200);
const STOP_TIME: Duration = Duration::from_millis(100);
const FAILURE_TIME: Duration = Duration::from_millis(50);

/// What decides.
pub(crate) enum Scheduler {
    Shard(Box<Shard>),
    Baseline(Baseline),
}

impl Scheduler {
    pub(crate) fn shard() -> Self {
        Self::Shard(Box::default())
    }

    pub(crate) fn baseline() -> Self {
        Self::Baseline(Baseline::default())
    }

    fn set_site(&mut self, site: &Site) {
        for worker in site.fleet() {
            match self {
                Self::Shard(shard) => shard.set_worker(worker),
                Self::Baseline(baseline) => baseline.set_worker(worker),
            }
        }
        if let Self::Shard(shard) = self {
            let teams = site.teams.iter().map(|(name, weight)| Team {
                name: name.clone(),
                weight: *weight,
                elsewhere: Resources::default(),
            });
            shard.set_teams(teams.collect(), None);
        }
    }

    fn submit(&mut self, task: Task) {
        match self {
            Self::Shard(shard) => shard.submit(task),
            Self::Baseline(baseline) => baseline.submit(task),
        }
    }

    fn remove(&mut self, id: &id::Task) {
        match self {
            Self::Shard(shard) => drop(shard.remove(id)),
            Self::Baseline(baseline) => drop(baseline.remove(id)),
        }
    }

    fn requeue(&mut self, id: &id::Task) {
        match self {
            Self::Shard(shard) => shard.requeue(id),
            Self::Baseline(baseline) => baseline.requeue(id),
        }
    }

    fn decide(&mut self, now: Millis) -> Vec<Action> {
        match self {
            Self::Shard(shard) => shard.decide(now),
            Self::Baseline(baseline) => baseline.decide(),
        }
    }

    fn examined(&self) -> u64 {
        match self {
            Self::Shard(shard) => shard.nodes_examined(),
            Self::Baseline(baseline) => baseline.examined,
        }
    }
}

/// What runs, from one start to its end.
struct Run {
    worker: u32,
    /// When the task started or last saved its progress, and how much was left then.
    since: Millis,
    left: Duration,
    start: u64,
}

enum Step {
    Arrive(Box<Arrival>),
    End(id::Task, u64),
    Fail(id::Task, u64),
    Saved(id::Task, u64),
    Stopped(id::Task, u64),
    Happen(Event),
    Tick,
}

/// One run of a scenario.
struct Driver {
    scheduler: Scheduler,
    site: Site,
    now: Millis,
    steps: BTreeMap<u64, Step>,
    due: BinaryHeap<Reverse<(Millis, u64)>>,
    count: u64,
    known: BTreeMap<id::Task, (Task, Duration)>,
    waiting: BTreeSet<id::Task>,
    running: BTreeMap<id::Task, Run>,
    failing: BTreeSet<u32>,
    measurements: Measurements,
}

/// Runs a scenario to the end of its arrivals, and returns what was measured.
pub(crate) fn run(scheduler: Scheduler, site: &Site, scenario: Scenario) -> Measurements {
    let mut driver = Driver {
        scheduler,
        site: site.clone(),
        now: Millis(0),
        steps: BTreeMap::new(),
        due: BinaryHeap::new(),
        count: 0,
        known: BTreeMap::new(),
        waiting: BTreeSet::new(),
        running: BTreeMap::new(),
        failing: site.failing(scenario),
        measurements: Measurements::new(site),
    };
    driver.scheduler.set_site(site);
    for arrival in site.arrivals(scenario) {
        driver.plan(arrival.at, Step::Arrive(Box::new(arrival)));
    }
    for (at, event) in site.events(scenario) {
        driver.plan(at, Step::Happen(event));
    }
    driver.plan(Millis(0), Step::Tick);
    driver.go();
    driver.finish()
}

impl Driver {
    fn plan(&mut self, at: Millis, step: Step) {
        self.count += 1;
        self.steps.insert(self.count, step);
        self.due.push(Reverse((at, self.count)));
    }

    fn go(&mut self) {
        while let Some(Reverse((at, number))) = self.due.pop() {
            if at > arrivals::END {
                return;
            }
            if at > self.now {
                self.decide();
                self.now = at;
            }
            if let Some(step) = self.steps.remove(&number) {
                self.take(step);
            }
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive(arrival) => self.arrive(*arrival),
            Step::End(id, start) => {
                if self.is_current(&id, start) {
                    if let Scheduler::Shard(shard) = &mut self.scheduler {
                        shard.report_success(&id, self.now);
                    }
                    self.running.remove(&id);
                    self.known.remove(&id);
                    self.scheduler.remove(&id);
                }
            }
            Step::Fail(id, start) => {
                if self.is_current(&id, start) {
                    if let Scheduler::Shard(shard) = &mut self.scheduler {
                        shard.report_failure(&id, self.now);
                    }
                    self.come_back(&id);
                }
            }
            Step::Stopped(id, start) => {
                if self.is_current(&id, start) {
                    self.come_back(&id);
                }
            }
            Step::Saved(id, start) => self.save(&id, start),
            Step::Happen(event) => self.happen(event),
            Step::Tick => {
                self.measurements.sample(self.now, self.usage());
                self.plan(self.now.after(policy::DECISION_INTERVAL), Step::Tick);
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        for task in arrival.tasks {
            let id = task.id.clone();
            self.known
                .insert(id.clone(), (task.clone(), arrival.run_time));
            self.waiting.insert(id);
            self.scheduler.submit(task);
        }
    }

    fn is_current(&self, id: &id::Task, start: u64) -> bool {
        self.running.get(id).is_some_and(|run| run.start == start)
    }

    /// Puts a task back that runs no more; what it did since it last saved is lost.
    fn come_back(&mut self, id: &id::Task) {
        let Some(run) = self.running.remove(id) else {
            return;
        };
        let Some((task, left)) = self.known.get_mut(id) else {
            return;
        };
        *left = run.left;
        let lost = self.now.since(run.since);
        self.measurements.lose(&task.resources, lost);
        self.waiting.insert(id.clone());
        self.scheduler.requeue(id);
    }

    fn save(&mut self, id: &id::Task, start: u64) {
        if !self.is_current(id, start) {
            return;
        }
        if let Some(run) = self.running.get_mut(id) {
            run.left = run.left.saturating_sub(self.now.since(run.since));
            run.since = self.now;
        }
        if let Scheduler::Shard(shard) = &mut self.scheduler {
            shard.record_checkpoint(id, self.now);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::LoseRack(rack) => self.lose_rack(rack),
            Event::CancelHalf => {
                let batch = self.waiting.iter().filter(|id| {
                    let kind = self.known.get(*id).map(|(task, _)| task.kind);
                    kind == Some(Kind::Batch)
                });
                let half: Vec<_> = batch.step_by(2).cloned().collect();
                for id in half {
                    self.waiting.remove(&id);
                    self.known.remove(&id);
                    self.scheduler.remove(&id);
                }
            }
        }
    }

    fn lose_rack(&mut self, rack: u32) {
        let workers: Vec<_> = self.site.fleet().into_iter().collect();
        for worker in workers.into_iter().filter(|worker| worker.rack == rack) {
            let number = self.site.number(&worker);
            let here = self.running.iter().filter(|(_, run)| run.worker == number);
            let ids: Vec<_> = here.map(|(id, _)| id.clone()).collect();
            match &mut self.scheduler {
                Scheduler::Shard(shard) => drop(shard.remove_worker(&worker.name)),
                Scheduler::Baseline(baseline) => baseline.remove_worker(&worker.name),
            }
            for id in ids {
                self.come_back(&id);
            }
        }
    }

    fn decide(&mut self) {
        for action in self.scheduler.decide(self.now) {
            match action {
                Action::Start { task, worker } => self.start(task, self.site.number(&worker)),
                Action::Expire { task } => {
                    self.waiting.remove(&task);
                    if let Some((task, _)) = self.known.remove(&task) {
                        self.measurements.expire(&task, self.now);
                    }
                }
                Action::Checkpoint { task, .. } => {
                    let start = self.running[&task].start;
                    self.plan(self.now.after(SAVE_TIME), Step::Saved(task, start));
                }
                Action::Stop { task, .. } => {
                    let start = self.running[&task].start;
                    self.plan(self.now.after(STOP_TIME), Step::Stopped(task, start));
                }
            }
        }
    }

    fn start(&mut self, id: id::Task, worker: u32) {
        self.waiting.remove(&id);
        let (task, left) = self.known[&id].clone();
        self.measurements.start(&task, self.now);
        let start = self.count;
        let run = Run {
            worker,
            since: self.now,
            left,
            start,
        };
        self.running.insert(id.clone(), run);
        if self.failing.contains(&worker) {
            self.measurements.failures += 1;
            self.plan(self.now.after(FAILURE_TIME), Step::Fail(id, start));
        } else {
            self.plan(self.now.after(left), Step::End(id, start));
        }
    }

    fn usage(&self) -> measurements::Usage {
        let mut usage = measurements::Usage {
            running: self.running.len(),
            ..measurements::Usage::default()
        };
        for id in self.running.keys() {
            let (task, _) = &self.known[id];
            let used = usage.used.entry(task.team.clone()).or_default();
            *used = used.plus(&task.resources);
        }
        for id in &self.waiting {
            let (task, _) = &self.known[id];
            if task.kind == Kind::Batch {
                usage.waiting.insert(task.team.clone());
            }
        }
        usage
    }

    fn finish(mut self) -> Measurements {
        for id in &self.waiting {
            let (task, _) = &self.known[id];
            self.measurements.leave_waiting(task, self.now);
        }
        self.measurements.examined = self.scheduler.examined();
        self.measurements
    }
}
