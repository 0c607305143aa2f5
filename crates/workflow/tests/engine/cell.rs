//! An engine with its workers and its store, driven step by step on a manual clock.

use std::collections::BTreeMap;

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};
use basilbridge_workflow::{
    engine::{
        Engine,
        Settings, //
    },
    event::Event,
    job::{
        Accepted,
        State, //
    },
    order::{
        AdviceRequest,
        Order, //
    },
    progress::Progress,
    report::{
        StartResult,
        StopResult, //
    },
};

use crate::{
    fleet::{
        Behave,
        Fleet, //
    },
    util::{
        self,
        entry,
        policy,
        settings, //
    },
};

/// How the way to a worker behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// Orders and answers arrive.
    Open,
    /// Orders arrive and their answers are lost.
    NoAnswer,
    /// Orders are lost.
    NoOrder,
    /// Orders are carried out by so many milliseconds later, and not answered.
    Late(u64),
}

/// What is on its way to a worker.
#[derive(Debug, Clone)]
pub(crate) struct Late {
    pub(crate) at: Millis,
    pub(crate) epoch: u64,
    /// The boot of the worker that has received the order.
    pub(crate) boot: u64,
    pub(crate) order: Order,
}

pub(crate) struct Cell {
    pub(crate) now: Millis,
    pub(crate) epoch: u32,
    pub(crate) engine: Engine,
    pub(crate) fleet: Fleet,
    pub(crate) jobs: BTreeMap<Name, Accepted>,
    pub(crate) stored: BTreeMap<Name, (Progress, Version)>,
    pub(crate) version: u64,
    pub(crate) events: Vec<Event>,
    pub(crate) questions: Vec<AdviceRequest>,
    pub(crate) late: Vec<Late>,
    pub(crate) store_away: bool,
}

impl Cell {
    pub(crate) fn new(workers: &[&str], behave: Behave) -> Self {
        let now = Millis(1_000_000);
        let mut cell = Self {
            now,
            epoch: 0,
            engine: util::engine(0, now),
            fleet: Fleet::new(workers, behave),
            jobs: BTreeMap::new(),
            stored: BTreeMap::new(),
            version: 0,
            events: Vec::new(),
            questions: Vec::new(),
            late: Vec::new(),
            store_away: false,
        };
        cell.list_all();
        cell
    }

    pub(crate) fn list_all(&mut self) {
        let entries: Vec<_> = self
            .fleet
            .workers
            .iter()
            .map(|(name, worker)| entry(name, worker.boot))
            .collect();
        for entry in entries {
            self.engine.register_worker(entry, self.now);
        }
    }

    pub(crate) fn submit(&mut self, id: &str, accepted: Accepted) {
        self.version += 1;
        self.jobs.insert(id.into(), accepted.clone());
        self.engine
            .accept_new(&id.into(), accepted, Version(self.version), self.now);
        self.engine.set_accepted_version(Version(self.version));
    }

    /// Replaces the owner by one that knows only what is stored.
    pub(crate) fn take_over(&mut self) {
        self.take_over_from(false);
    }

    /// Does the same from an owner that had ended, or may go on for a while.
    pub(crate) fn take_over_from(&mut self, ended: bool) {
        self.epoch += 1;
        let settings = Settings {
            predecessor_ended: ended,
            ..settings(self.epoch)
        };
        self.engine = Engine::new(settings, policy(0), self.now);
        let names: Vec<Name> = self.fleet.workers.keys().cloned().collect();
        self.engine.expect_workers(names);
        self.list_all();
        for (id, accepted) in &self.jobs {
            let stored = self.stored.get(id).cloned();
            self.engine
                .accept(id, accepted.clone(), stored, true, self.now);
        }
        self.engine.set_accepted_version(Version(self.version));
        self.engine.finish_loading(self.now);
    }

    /// Lets `millis` pass in steps of ten, with a scheduling pass and looks in each.
    pub(crate) fn run(&mut self, millis: u64) {
        self.run_on(millis, |_| Way::Open);
    }

    /// Does the same, where the way to each worker may be disturbed.
    pub(crate) fn run_on(&mut self, millis: u64, mut way: impl FnMut(&Name) -> Way) {
        const STEP: u64 = 10;
        for _ in 0..millis / STEP {
            self.now = Millis(self.now.0 + STEP);
            self.fleet.advance(self.now);
            self.deliver_late();
            self.pass(&mut way);
            self.store();
            self.look_all(&mut way);
        }
    }

    fn deliver_late(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.at <= now);
        self.late = later;
        let due: Vec<Late> = due;
        for late in due {
            match &late.order {
                // What a worker had received and not carried out is gone with its boot.
                Order::Start(order) if self.boot_of(&order.target.name) != late.boot => {}
                Order::Stop(order) if self.boot_of(&order.target.name) != late.boot => {}
                Order::Start(order) => {
                    self.fleet.start(late.epoch, order, now);
                }
                Order::Stop(order) => {
                    self.fleet.stop(late.epoch, order, now);
                }
                Order::Throttle(_) | Order::RequestAdvice(_) => {}
            }
        }
    }

    pub(crate) fn pass(&mut self, way: &mut impl FnMut(&Name) -> Way) {
        self.engine.tick(self.now);
        self.engine.schedule(self.now);
        let orders = self.engine.take_orders();
        self.events.extend(self.engine.take_events());
        for order in orders {
            self.carry_out(order, way);
        }
    }

    fn carry_out(&mut self, order: Order, way: &mut impl FnMut(&Name) -> Way) {
        let epoch = u64::from(self.epoch) + 1;
        let now = self.now;
        match &order {
            Order::Start(start) => {
                let answer = match self.way(&start.target.name, way) {
                    Way::Open => self.fleet.start(epoch, start, now),
                    Way::NoAnswer => {
                        self.fleet.start(epoch, start, now);
                        StartResult::Unknown
                    }
                    Way::NoOrder => StartResult::Unknown,
                    Way::Late(by) => {
                        self.keep(by, epoch, order.clone());
                        StartResult::Unknown
                    }
                };
                self.engine.handle_start_result(
                    start.target.key,
                    &start.task,
                    start.run,
                    answer,
                    now,
                );
            }
            Order::Stop(stop) => {
                let answer = match self.way(&stop.target.name, way) {
                    Way::Open => self.fleet.stop(epoch, stop, now),
                    Way::NoAnswer => {
                        self.fleet.stop(epoch, stop, now);
                        StopResult::Unknown
                    }
                    Way::NoOrder => StopResult::Unknown,
                    Way::Late(by) => {
                        self.keep(by, epoch, order.clone());
                        StopResult::Unknown
                    }
                };
                self.engine
                    .handle_stop_result(stop.target.key, &stop.task, stop.run, answer, now);
            }
            Order::Throttle(_) => {}
            Order::RequestAdvice(question) => self.questions.push(question.clone()),
        }
    }

    fn way(&self, name: &Name, way: &mut impl FnMut(&Name) -> Way) -> Way {
        if self.fleet.workers[name].reachable {
            way(name)
        } else {
            Way::NoOrder
        }
    }

    fn boot_of(&self, name: &Name) -> u64 {
        self.fleet.workers[name].boot
    }

    fn keep(&mut self, by: u64, epoch: u64, order: Order) {
        let at = Millis(self.now.0 + by);
        let boot = match &order {
            Order::Start(start) => self.boot_of(&start.target.name),
            Order::Stop(stop) => self.boot_of(&stop.target.name),
            Order::Throttle(_) | Order::RequestAdvice(_) => 0,
        };
        self.late.push(Late {
            at,
            epoch,
            boot,
            order,
        });
    }

    fn look_all(&mut self, way: &mut impl FnMut(&Name) -> Way) {
        let names: Vec<Name> = self.fleet.workers.keys().cloned().collect();
        for name in names {
            let Some(key) = self.engine.worker_key(&name) else {
                continue;
            };
            let Some(look) = self.engine.poll(key, self.now) else {
                continue;
            };
            if self.way(&name, way) != Way::Open {
                self.engine.handle_poll_failure(key, self.now);
                continue;
            }
            let epoch = u64::from(self.epoch) + 1;
            if let Some(seen) = self.fleet.look(epoch, &look, self.now) {
                // The look was sent after all answers so far had come in.
                let sent = Millis(self.now.0 + 1);
                self.engine.handle_inventory(key, sent, self.now, &seen);
            }
        }
    }

    fn store(&mut self) {
        while let Some(batch) = self.engine.next_batch() {
            if self.store_away {
                self.engine.handle_store_failure(&batch, &[]);
                return;
            }
            self.version += 1;
            for record in &batch.records {
                let held = self.stored.get(&record.job).map(|(_, version)| *version);
                assert_eq!(held.unwrap_or_default(), record.replaces);
                let entry = (record.progress.clone(), Version(self.version));
                self.stored.insert(record.job.clone(), entry);
            }
            self.engine
                .handle_stored(&batch, Version(self.version), self.now);
        }
    }

    pub(crate) fn state(&self, id: &str) -> State {
        self.stored
            .get(id)
            .map_or(State::Queued, |(progress, _)| progress.state)
    }

    pub(crate) fn starts_of(&self, id: &str) -> usize {
        let starts = self.fleet.starts.iter();
        starts.filter(|(_, task, ..)| *task.job == *id).count()
    }
}
