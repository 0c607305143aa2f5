//! Feeds arrival lists to a scheduler under a manual clock.
//!
//! A task runs for the time in its arrival list, a worker completes a checkpoint and a stop after
//! fixed times, and nothing else takes time.

#![allow(dead_code, reason = "the benchmark and the tests use different parts")]

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
    time::Duration, //
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
    task::Task, //
};

use arrivals::{
    Arrival,
    Event,
    Scenario,
    Site, //
};
use baseline::Baseline;
use measurements::Measurements;

/// How long a checkpoint takes.
const CHECKPOINT_TIME: Duration = Duration::from_millis(200);

/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(100);

/// How long a task runs on a failing worker before it fails.
const FAILURE_TIME: Duration = Duration::from_millis(50);

/// The scheduler under test.
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

    fn nodes_examined(&self) -> u64 {
        match self {
            Self::Shard(shard) => shard.nodes_examined(),
            Self::Baseline(baseline) => baseline.workers_examined,
        }
    }
}

/// One run of a task on a worker.
struct Run {
    worker: u32,
    /// When the task started or completed its last checkpoint.
    since: Millis,
    /// The remaining run time at `since`.
    remaining: Duration,
    /// Identifies the run, so that steps of earlier runs of the task are ignored.
    start: u64,
}

/// A step that the driver takes at a scheduled time. A number identifies the run it belongs to.
enum Step {
    Arrive(Box<Arrival>),
    End(id::Task, u64),
    Fail(id::Task, u64),
    Checkpointed(id::Task, u64),
    Stopped(id::Task, u64),
    Event(Event),
    Tick,
}

/// One run of a scenario.
struct Driver {
    scheduler: Scheduler,
    site: Site,
    now: Millis,
    /// The scheduled steps by number.
    steps: BTreeMap<u64, Step>,
    /// The times and numbers of the scheduled steps, earliest first.
    due: BinaryHeap<Reverse<(Millis, u64)>>,
    /// The number of the last scheduled step.
    last_step: u64,
    /// The tasks that have not ended, with their remaining run time.
    tasks: BTreeMap<id::Task, (Task, Duration)>,
    waiting: BTreeSet<id::Task>,
    running: BTreeMap<id::Task, Run>,
    failing_workers: BTreeSet<u32>,
    measurements: Measurements,
}

/// Runs a scenario to the end of its arrivals and returns the measurements.
pub(crate) fn run(scheduler: Scheduler, site: &Site, scenario: Scenario) -> Measurements {
    let mut driver = Driver {
        scheduler,
        site: site.clone(),
        now: Millis(0),
        steps: BTreeMap::new(),
        due: BinaryHeap::new(),
        last_step: 0,
        tasks: BTreeMap::new(),
        waiting: BTreeSet::new(),
        running: BTreeMap::new(),
        failing_workers: site.failing_workers(scenario),
        measurements: Measurements::new(site),
    };
    driver.scheduler.set_site(site);
    for arrival in site.arrivals(scenario) {
        driver.schedule(arrival.at, Step::Arrive(Box::new(arrival)));
    }
    for (at, event) in site.events(scenario) {
        driver.schedule(at, Step::Event(event));
    }
    driver.schedule(Millis(0), Step::Tick);
    driver.process_steps();
    driver.finish()
}

impl Driver {
    fn schedule(&mut self, at: Millis, step: Step) {
        self.last_step += 1;
        self.steps.insert(self.last_step, step);
        self.due.push(Reverse((at, self.last_step)));
    }

    fn process_steps(&mut self) {
        while let Some(Reverse((at, number))) = self.due.pop() {
            if at > arrivals::END {
                return;
            }
            if at > self.now {
                self.decide();
                self.now = at;
            }
            if let Some(step) = self.steps.remove(&number) {
                self.handle(step);
            }
        }
    }

    fn handle(&mut self, step: Step) {
        match step {
            Step::Arrive(arrival) => self.arrive(*arrival),
            Step::End(id, start) => {
                if self.is_current(&id, start) {
                    if let Scheduler::Shard(shard) = &mut self.scheduler {
                        shard.report_success(&id, self.now);
                    }
                    self.running.remove(&id);
                    self.tasks.remove(&id);
                    self.scheduler.remove(&id);
                }
            }
            Step::Fail(id, start) => {
                if self.is_current(&id, start) {
                    if let Scheduler::Shard(shard) = &mut self.scheduler {
                        shard.report_failure(&id, self.now);
                    }
                    self.requeue(&id);
                }
            }
            Step::Stopped(id, start) => {
                if self.is_current(&id, start) {
                    self.requeue(&id);
                }
            }
            Step::Checkpointed(id, start) => self.record_checkpoint(&id, start),
            Step::Event(event) => self.apply_event(event),
            Step::Tick => {
                self.measurements.sample(self.now, self.usage());
                self.schedule(self.now.after(policy::DECISION_INTERVAL), Step::Tick);
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        for task in arrival.tasks {
            let id = task.id.clone();
            self.tasks
                .insert(id.clone(), (task.clone(), arrival.run_time));
            self.waiting.insert(id);
            self.scheduler.submit(task);
        }
    }

    fn is_current(&self, id: &id::Task, start: u64) -> bool {
        self.running.get(id).is_some_and(|run| run.start == start)
    }

    /// Requeues a task that no longer runs. Its progress since the last checkpoint is lost.
    fn requeue(&mut self, id: &id::Task) {
        let Some(run) = self.running.remove(id) else {
            return;
        };
        let Some((task, remaining)) = self.tasks.get_mut(id) else {
            return;
        };
        *remaining = run.remaining;
        let lost = self.now.since(run.since);
        self.measurements.record_lost_work(&task.resources, lost);
        self.waiting.insert(id.clone());
        self.scheduler.requeue(id);
    }

    fn record_checkpoint(&mut self, id: &id::Task, start: u64) {
        if !self.is_current(id, start) {
            return;
        }
        if let Some(run) = self.running.get_mut(id) {
            run.remaining = run.remaining.saturating_sub(self.now.since(run.since));
            run.since = self.now;
        }
        if let Scheduler::Shard(shard) = &mut self.scheduler {
            shard.record_checkpoint(id, self.now);
        }
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::LoseRack(rack) => self.lose_rack(rack),
            Event::CancelHalf => {
                let batch = self.waiting.iter().filter(|id| {
                    let kind = self.tasks.get(*id).map(|(task, _)| task.kind);
                    kind == Some(Kind::Batch)
                });
                let cancelled: Vec<_> = batch.step_by(2).cloned().collect();
                for id in cancelled {
                    self.waiting.remove(&id);
                    self.tasks.remove(&id);
                    self.scheduler.remove(&id);
                }
            }
        }
    }

    fn lose_rack(&mut self, rack: u32) {
        let workers: Vec<_> = self.site.fleet().into_iter().collect();
        for worker in workers.into_iter().filter(|worker| worker.rack == rack) {
            let number = self.site.worker_number(&worker);
            let on_worker = self.running.iter().filter(|(_, run)| run.worker == number);
            let ids: Vec<_> = on_worker.map(|(id, _)| id.clone()).collect();
            match &mut self.scheduler {
                Scheduler::Shard(shard) => drop(shard.remove_worker(&worker.name)),
                Scheduler::Baseline(baseline) => baseline.remove_worker(&worker.name),
            }
            for id in ids {
                self.requeue(&id);
            }
        }
    }

    fn decide(&mut self) {
        for action in self.scheduler.decide(self.now) {
            match action {
                Action::Start { task, worker } => {
                    self.start(task, self.site.worker_number(&worker))
                }
                Action::Expire { task } => {
                    self.waiting.remove(&task);
                    if let Some((task, _)) = self.tasks.remove(&task) {
                        self.measurements.record_expiry(&task, self.now);
                    }
                }
                Action::Checkpoint { task, .. } => {
                    let start = self.running[&task].start;
                    self.schedule(
                        self.now.after(CHECKPOINT_TIME),
                        Step::Checkpointed(task, start),
                    );
                }
                Action::Stop { task, .. } => {
                    let start = self.running[&task].start;
                    self.schedule(self.now.after(STOP_TIME), Step::Stopped(task, start));
                }
            }
        }
    }

    fn start(&mut self, id: id::Task, worker: u32) {
        self.waiting.remove(&id);
        let (task, remaining) = self.tasks[&id].clone();
        self.measurements.record_start(&task, self.now);
        let start = self.last_step;
        let run = Run {
            worker,
            since: self.now,
            remaining,
            start,
        };
        self.running.insert(id.clone(), run);
        if self.failing_workers.contains(&worker) {
            self.measurements.failures += 1;
            self.schedule(self.now.after(FAILURE_TIME), Step::Fail(id, start));
        } else {
            self.schedule(self.now.after(remaining), Step::End(id, start));
        }
    }

    fn usage(&self) -> measurements::Usage {
        let mut usage = measurements::Usage {
            running: self.running.len(),
            ..measurements::Usage::default()
        };
        for id in self.running.keys() {
            let (task, _) = &self.tasks[id];
            let used = usage.used.entry(task.team.clone()).or_default();
            *used = used.plus(&task.resources);
        }
        for id in &self.waiting {
            let (task, _) = &self.tasks[id];
            if task.kind == Kind::Batch {
                usage.waiting.insert(task.team.clone());
            }
        }
        usage
    }

    fn finish(mut self) -> Measurements {
        for id in &self.waiting {
            let (task, _) = &self.tasks[id];
            self.measurements.record_waiting(task, self.now);
        }
        self.measurements.nodes_examined = self.scheduler.nodes_examined();
        self.measurements
    }
}
