//! Feeds arrival lists to the real decision code under a manual clock.
//!
//! This is a driver and no model of machines: a task runs for the time in its list, a worker
//! answers a checkpoint and a stop after fixed times, and nothing else takes time.

#![allow(dead_code, reason = "the bench and the tests each use their own part")]

pub(crate) mod arrivals;
pub(crate) mod baseline;
pub(crate) mod figures;

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
use figures::Figures;

const SAVE_TIME: Duration = Duration::from_millis(200);
const STOP_TIME: Duration = Duration::from_millis(100);
const FAILURE_TIME: Duration = Duration::from_millis(50);

/// What decides.
pub(crate) enum Decider {
    Real(Box<Shard>),
    Plain(Baseline),
}

impl Decider {
    pub(crate) fn real() -> Self {
        Self::Real(Box::default())
    }

    pub(crate) fn plain() -> Self {
        Self::Plain(Baseline::default())
    }

    fn set_site(&mut self, site: &Site) {
        for worker in site.fleet() {
            match self {
                Self::Real(shard) => shard.set_worker(worker),
                Self::Plain(plain) => plain.set_worker(worker),
            }
        }
        if let Self::Real(shard) = self {
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
            Self::Real(shard) => shard.submit(task),
            Self::Plain(plain) => plain.submit(task),
        }
    }

    fn remove(&mut self, id: &id::Task) {
        match self {
            Self::Real(shard) => drop(shard.remove(id)),
            Self::Plain(plain) => drop(plain.remove(id)),
        }
    }

    fn requeue(&mut self, id: &id::Task) {
        match self {
            Self::Real(shard) => shard.requeue(id),
            Self::Plain(plain) => plain.requeue(id),
        }
    }

    fn decide(&mut self, now: Millis) -> Vec<Action> {
        match self {
            Self::Real(shard) => shard.decide(now),
            Self::Plain(plain) => plain.decide(),
        }
    }

    fn examined(&self) -> u64 {
        match self {
            Self::Real(shard) => shard.nodes_examined(),
            Self::Plain(plain) => plain.examined,
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
    decider: Decider,
    site: Site,
    now: Millis,
    steps: BTreeMap<u64, Step>,
    due: BinaryHeap<Reverse<(Millis, u64)>>,
    count: u64,
    known: BTreeMap<id::Task, (Task, Duration)>,
    waiting: BTreeSet<id::Task>,
    running: BTreeMap<id::Task, Run>,
    failing: BTreeSet<u32>,
    figures: Figures,
}

/// Runs a scenario to the end of its arrivals, and returns what was measured.
pub(crate) fn run(decider: Decider, site: &Site, scenario: Scenario) -> Figures {
    let mut driver = Driver {
        decider,
        site: site.clone(),
        now: Millis(0),
        steps: BTreeMap::new(),
        due: BinaryHeap::new(),
        count: 0,
        known: BTreeMap::new(),
        waiting: BTreeSet::new(),
        running: BTreeMap::new(),
        failing: site.failing(scenario),
        figures: Figures::new(site),
    };
    driver.decider.set_site(site);
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
                    if let Decider::Real(shard) = &mut self.decider {
                        shard.report_success(&id, self.now);
                    }
                    self.running.remove(&id);
                    self.known.remove(&id);
                    self.decider.remove(&id);
                }
            }
            Step::Fail(id, start) => {
                if self.is_current(&id, start) {
                    if let Decider::Real(shard) = &mut self.decider {
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
                self.figures.sample(self.now, self.usage());
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
            self.decider.submit(task);
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
        self.figures.lose(&task.resources, lost);
        self.waiting.insert(id.clone());
        self.decider.requeue(id);
    }

    fn save(&mut self, id: &id::Task, start: u64) {
        if !self.is_current(id, start) {
            return;
        }
        if let Some(run) = self.running.get_mut(id) {
            run.left = run.left.saturating_sub(self.now.since(run.since));
            run.since = self.now;
        }
        if let Decider::Real(shard) = &mut self.decider {
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
                    self.decider.remove(&id);
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
            match &mut self.decider {
                Decider::Real(shard) => drop(shard.remove_worker(&worker.name)),
                Decider::Plain(plain) => plain.remove_worker(&worker.name),
            }
            for id in ids {
                self.come_back(&id);
            }
        }
    }

    fn decide(&mut self) {
        for action in self.decider.decide(self.now) {
            match action {
                Action::Start { task, worker } => self.start(task, self.site.number(&worker)),
                Action::Expire { task } => {
                    self.waiting.remove(&task);
                    if let Some((task, _)) = self.known.remove(&task) {
                        self.figures.expire(&task, self.now);
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
        self.figures.start(&task, self.now);
        let start = self.count;
        let run = Run {
            worker,
            since: self.now,
            left,
            start,
        };
        self.running.insert(id.clone(), run);
        if self.failing.contains(&worker) {
            self.figures.failures += 1;
            self.plan(self.now.after(FAILURE_TIME), Step::Fail(id, start));
        } else {
            self.plan(self.now.after(left), Step::End(id, start));
        }
    }

    fn usage(&self) -> figures::Usage {
        let mut usage = figures::Usage {
            running: self.running.len(),
            ..figures::Usage::default()
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

    fn finish(mut self) -> Figures {
        for id in &self.waiting {
            let (task, _) = &self.known[id];
            self.figures.leave_waiting(task, self.now);
        }
        self.figures.examined = self.decider.examined();
        self.figures
    }
}
