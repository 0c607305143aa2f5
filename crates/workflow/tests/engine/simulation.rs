//! An engine with its workers and its store, advanced step by step on a manual clock.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};
use basilbridge_workflow::{
    crash,
    engine::{
        Engine,
        Settings, //
    },
    event::Event,
    job::{
        Accepted,
        State, //
    },
    journal::Batch,
    lineage::Lineage,
    order::{
        AdviceRequest,
        Order,
        Throttle, //
    },
    policy::Policy,
    progress::Progress,
    report::{
        StartResult,
        StopResult, //
    },
    roster::Roster,
    silence,
    store_clock::Reading, //
};

use crate::{
    fleet::{
        Behaviour,
        Fleet,
        Worker, //
    },
    util::{
        self,
        entry,
        policy,
        settings, //
    },
};

/// Time after which the list no longer names a worker that has crashed, in milliseconds.
const HEARTBEATS_MISSED: u64 = 4500;

/// Time of the VMs' clocks when the store's clock started.
const STORE_CLOCK_START: u64 = 900_000;

/// Number of VMs through which the advice service is called, unless a test changes it.
const RELAYS: usize = 33;

/// State of the link to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    /// Orders and answers arrive.
    Normal,
    /// Orders arrive and their answers are lost.
    LostReply,
    /// Orders are lost.
    LostOrder,
    /// Orders are executed this many milliseconds later and are not answered.
    Delayed(u64),
    /// Starts wait for the orders before them until [`Simulation::send_queued`].
    Queued,
}

/// An order that a worker has received and not executed yet.
#[derive(Debug, Clone)]
pub(crate) struct DelayedOrder {
    /// Time of execution.
    pub(crate) at: Millis,
    pub(crate) epoch: u64,
    /// Boot of the worker that received the order.
    pub(crate) boot: u64,
    pub(crate) order: Order,
}

/// An owner with its workers and its store.
pub(crate) struct Simulation {
    pub(crate) now: Millis,
    pub(crate) epoch: u32,
    pub(crate) engine: Engine,
    pub(crate) fleet: Fleet,
    pub(crate) jobs: BTreeMap<Name, Accepted>,
    /// Versions of the rows of these jobs.
    pub(crate) job_versions: BTreeMap<Name, Version>,
    pub(crate) stored: BTreeMap<Name, (Progress, Version)>,
    pub(crate) version: u64,
    pub(crate) events: Vec<Event>,
    pub(crate) requests: Vec<AdviceRequest>,
    /// Orders to throttle runs.
    pub(crate) throttles: Vec<Throttle>,
    pub(crate) delayed: Vec<DelayedOrder>,
    pub(crate) queued: Vec<Order>,
    pub(crate) store_down: bool,
    /// Whether answers to writes of progress are lost, which are not carried out. All else is
    /// stored.
    pub(crate) progress_is_lost: bool,
    /// The stored names of workers that may run something.
    pub(crate) roster: Roster,
    /// Workers that have announced to leave.
    pub(crate) leaving: BTreeSet<Name>,
    /// Workers that the list leaves out.
    pub(crate) unlisted: BTreeSet<Name>,
    /// The stored record of workers that do not answer.
    pub(crate) silence: silence::Record,
    /// Whether the engine does not know which record is stored.
    silence_is_unclear: bool,
    /// Whether workers report tasks that are not near their end as at work.
    pub(crate) report_at_work: bool,
    /// Evacuated data centres, which later owners know as well.
    pub(crate) evacuated: BTreeSet<Name>,
    /// Settings of later owners, except for their epoch.
    pub(crate) settings: Settings,
    /// Policy of later owners.
    pub(crate) policy: Policy,
    /// VMs through which the advice service is called.
    pub(crate) relays: Vec<Name>,
    /// Whether a worker has refused a poll of the engine, which knows a later owner.
    pub(crate) is_fenced: bool,
    /// Whether the feed of jobs delivers nothing, also not that there is nothing new.
    pub(crate) feed_is_silent: bool,
}

/// An owner that has been replaced and does not know it.
pub(crate) struct Deposed {
    engine: Engine,
    epoch: u32,
    silence_is_unclear: bool,
}

impl Simulation {
    pub(crate) fn new(workers: &[&str], behaviour: Behaviour) -> Self {
        let now = Millis(1_000_000);
        let mut sim = Self {
            now,
            epoch: 0,
            engine: util::engine(0, now),
            fleet: Fleet::new(workers, behaviour),
            jobs: BTreeMap::new(),
            job_versions: BTreeMap::new(),
            stored: BTreeMap::new(),
            version: 0,
            events: Vec::new(),
            requests: Vec::new(),
            throttles: Vec::new(),
            delayed: Vec::new(),
            queued: Vec::new(),
            store_down: false,
            progress_is_lost: false,
            roster: Roster::default(),
            leaving: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            silence: silence::Record::default(),
            silence_is_unclear: false,
            report_at_work: false,
            evacuated: BTreeSet::new(),
            settings: settings(0),
            policy: policy(0),
            relays: (0..RELAYS)
                .map(|number| format!("vm{number}").into())
                .collect(),
            is_fenced: false,
            feed_is_silent: false,
        };
        sim.engine.set_store_clock(sim.store_clock());
        sim.register_all();
        sim.store_roster();
        sim
    }

    /// Returns a reading of the store's clock, which started later than that of the VMs.
    pub(crate) fn store_clock(&self) -> Reading {
        Reading {
            sent: self.now,
            received: self.now,
            store: Millis(self.now.0 - STORE_CLOCK_START),
        }
    }

    /// Registers the current boots of all workers that are listed with the engine.
    pub(crate) fn register_all(&mut self) {
        let infos: Vec<_> = self
            .fleet
            .workers
            .iter()
            .filter(|(name, _)| !self.unlisted.contains(*name))
            .map(|(name, worker)| entry(name, worker.boot))
            .collect();
        for mut info in infos {
            info.leaving = self.leaving.contains(&info.name);
            self.engine.register_worker(info, self.now);
        }
    }

    /// Registers the workers that have crashed and are still listed.
    fn register_crashed(&mut self) {
        for crash in &self.fleet.crashes {
            let is_listed = self.now.since(crash.at).as_millis() < HEARTBEATS_MISSED.into();
            if is_listed && !self.fleet.workers.contains_key(&crash.worker) {
                self.engine.expect_workers([crash.worker.clone()]);
                self.engine
                    .register_worker(entry(&crash.worker, crash.boot), self.now);
            }
        }
    }

    /// Stores a job and passes it to the engine.
    pub(crate) fn submit(&mut self, id: &str, accepted: Accepted) {
        self.version += 1;
        self.jobs.insert(id.into(), accepted.clone());
        self.job_versions.insert(id.into(), Version(self.version));
        self.engine
            .accept_new(&id.into(), accepted, Version(self.version), self.now);
        self.engine.set_accepted_version(Version(self.version));
    }

    /// Stores a job and announces it to the engine.
    pub(crate) fn announce(&mut self, id: &str, accepted: Accepted) {
        self.version += 1;
        let version = Version(self.version);
        self.jobs.insert(id.into(), accepted.clone());
        self.job_versions.insert(id.into(), version);
        self.engine
            .announce(&id.into(), accepted, version, self.now);
    }

    /// Stores a job and announces it to an owner that has been replaced, and to no other.
    pub(crate) fn announce_to(&mut self, deposed: &mut Deposed, id: &str, accepted: Accepted) {
        self.version += 1;
        let version = Version(self.version);
        self.jobs.insert(id.into(), accepted.clone());
        self.job_versions.insert(id.into(), version);
        deposed
            .engine
            .announce(&id.into(), accepted, version, self.now);
    }

    /// Delivers the list of workers to an owner that has been replaced, and to no other.
    pub(crate) fn list_to(&mut self, deposed: &mut Deposed) {
        self.swap(deposed);
        self.register_all();
        self.swap(deposed);
    }

    /// Delivers a stored job to the engine by the feed.
    pub(crate) fn deliver(&mut self, id: &str) {
        let (accepted, version) = (self.jobs[id].clone(), self.job_versions[id]);
        self.engine
            .accept_new(&id.into(), accepted, version, self.now);
        self.engine.set_accepted_version(version);
    }

    /// Replaces the owner by one that knows only what is stored. The old owner may still be
    /// running.
    pub(crate) fn take_over(&mut self) {
        self.take_over_from(false);
    }

    /// Replaces the owner by one that knows only what is stored. `ended` says whether the old owner
    /// is known to have ended.
    pub(crate) fn take_over_from(&mut self, ended: bool) {
        self.take_over_beside(ended);
    }

    /// Replaces the owner like [`Simulation::take_over_from`], and returns the old one, which goes on.
    pub(crate) fn take_over_beside(&mut self, ended: bool) -> Deposed {
        let epoch = self.epoch;
        self.epoch += 1;
        let silence_is_unclear = std::mem::take(&mut self.silence_is_unclear);
        let settings = Settings {
            epoch: self.epoch,
            claimed_at: Version(self.version),
            predecessor_ended: ended,
            lineage: Lineage {
                epoch: self.epoch,
                ..self.settings.lineage.clone()
            },
            ..self.settings.clone()
        };
        let engine = Engine::new(settings, self.policy.clone(), self.now);
        let engine = std::mem::replace(&mut self.engine, engine);
        self.engine
            .confirm_ownership(self.now, Version(self.version));
        self.engine.set_store_clock(self.store_clock());
        self.engine.set_evacuated(self.evacuated.clone(), self.now);
        self.engine.inherit_roster(&self.roster);
        let listed = self.fleet.workers.keys();
        let listed = listed.filter(|name| !self.unlisted.contains(*name));
        self.engine.expect_workers(listed.cloned());
        self.register_all();
        self.register_crashed();
        for (id, accepted) in &self.jobs {
            let stored = self.stored.get(id).cloned();
            let version = self.job_versions[id];
            self.engine
                .accept(id, accepted.clone(), version, stored, true, self.now);
        }
        self.engine.set_accepted_version(Version(self.version));
        self.engine.inherit_silence(self.silence.clone());
        self.engine.finish_loading(self.now);
        Deposed {
            engine,
            epoch,
            silence_is_unclear,
        }
    }

    /// Lets an owner that has been replaced and can't reach the store act once. Returns whether it goes
    /// on: no worker has refused it.
    pub(crate) fn act_deposed(
        &mut self,
        deposed: &mut Deposed,
        mut link: impl FnMut(&Name) -> Link,
    ) -> bool {
        self.swap(deposed);
        let store_down = std::mem::replace(&mut self.store_down, true);
        let is_fenced = std::mem::take(&mut self.is_fenced);
        self.pass(&mut link);
        self.store();
        self.store_silence();
        self.poll_all(&mut link);
        let goes_on = !self.is_fenced && !self.engine.is_fenced();
        self.is_fenced = is_fenced;
        self.store_down = store_down;
        self.swap(deposed);
        goes_on
    }

    /// Wakes an owner that has been replaced after its clock has stood still for `suspension`. It handles an
    /// answer of each of these workers before it notices, and prepares the next poll.
    pub(crate) fn wake_deposed(
        &mut self,
        deposed: &mut Deposed,
        suspension: Duration,
        answering: &[Name],
    ) {
        self.swap(deposed);
        let frozen = Millis(self.now.0 - suspension.as_millis() as u64);
        let epoch = u64::from(self.epoch) + 1;
        for name in answering {
            let key = self.engine.worker_key(name).expect("the owner knows it");
            let poll = self.engine.immediate_poll(key).expect("it answers");
            let inventory = self.fleet.poll(epoch, &poll, self.now);
            let inventory = inventory.expect("it knows no later owner");
            self.engine
                .handle_inventory(key, frozen, frozen, &inventory);
        }
        self.engine.hold_leases(suspension, self.now);
        for name in answering {
            let key = self.engine.worker_key(name).expect("the owner knows it");
            let _unsent = self.engine.poll(key, frozen);
        }
        self.swap(deposed);
    }

    fn swap(&mut self, deposed: &mut Deposed) {
        std::mem::swap(&mut self.engine, &mut deposed.engine);
        std::mem::swap(&mut self.epoch, &mut deposed.epoch);
        std::mem::swap(
            &mut self.silence_is_unclear,
            &mut deposed.silence_is_unclear,
        );
    }

    /// Advances by `millis` in steps of 10 ms, each with a scheduling pass and a poll of each
    /// worker.
    pub(crate) fn run(&mut self, millis: u64) {
        self.run_on(millis, |_| Link::Normal);
    }

    /// Advances like [`Simulation::run`], with the link to each worker in the state that `link`
    /// returns.
    pub(crate) fn run_on(&mut self, millis: u64, mut link: impl FnMut(&Name) -> Link) {
        const STEP: u64 = 10;
        for _ in 0..millis / STEP {
            self.now = Millis(self.now.0 + STEP);
            self.fleet.advance(self.now);
            self.list_crashed();
            self.deliver_delayed();
            self.pass(&mut link);
            self.store();
            self.store_silence();
            self.poll_all(&mut link);
        }
    }

    /// Announces that a worker is about to leave.
    pub(crate) fn announce_departure(&mut self, name: &Name) {
        self.leaving.insert(name.clone());
        self.register_all();
    }

    /// Adds a worker, which is listed at once.
    pub(crate) fn add_worker(&mut self, name: &str) {
        let mut worker = Worker::new(1);
        worker.booted = self.now;
        self.fleet.workers.insert(name.into(), worker);
        self.register_all();
    }

    /// Removes the entry of a worker from the list.
    pub(crate) fn unlist(&mut self, name: &Name) {
        self.unlisted.insert(name.clone());
        self.engine.unregister_worker(name);
    }

    /// Enters all workers in the list again.
    pub(crate) fn list_again(&mut self) {
        self.unlisted.clear();
        self.register_all();
    }

    /// Stores the names of the workers that may run something, if they have changed.
    fn store_roster(&mut self) {
        let roster = self.engine.roster();
        if roster == self.roster {
            return;
        }
        self.engine.announce_roster(&roster);
        if !self.store_down {
            self.engine.confirm_roster(&roster);
            self.roster = roster;
        }
    }

    /// Stores which workers do not answer, if that has changed.
    fn store_silence(&mut self) {
        let record = self.engine.silence(self.now);
        let is_empty = record.is_empty() && self.silence.is_empty();
        if (self.silence.equals(&record) || is_empty) && !self.silence_is_unclear {
            return;
        }
        self.engine.announce_silence(&record);
        self.silence_is_unclear = self.store_down;
        if !self.store_down {
            self.engine.confirm_silence(&record);
            self.silence = record;
        }
    }

    /// Evacuates exactly these data centres.
    pub(crate) fn evacuate(&mut self, names: &[&str]) {
        self.evacuated = names.iter().map(|name| (*name).into()).collect();
        self.engine.set_evacuated(self.evacuated.clone(), self.now);
    }

    /// Changes the processor capacity of a worker, which its entry shows at once.
    pub(crate) fn resize(&mut self, name: &str, cpu_millis: u64) {
        let worker = self.fleet.workers.get_mut(name).expect("the test made it");
        worker.cpu_millis = cpu_millis;
        let mut info = entry(name, worker.boot);
        info.capacity.cpu_millis = cpu_millis;
        self.engine.register_worker(info, self.now);
    }

    /// Sends the starts that wait for the orders before them.
    pub(crate) fn send_queued(&mut self) {
        for order in std::mem::take(&mut self.queued) {
            self.execute(order, &mut |_| Link::Normal);
        }
    }

    /// Updates the list of workers after crashes: a new worker is listed at once, and one that has
    /// crashed is removed after it has missed its heartbeats.
    fn list_crashed(&mut self) {
        for name in self.fleet.boot_due(self.now) {
            let boot = self.boot_of(&name);
            self.engine.register_worker(entry(&name, boot), self.now);
        }
        for crash in &self.fleet.crashes {
            if self.now.since(crash.at).as_millis() == HEARTBEATS_MISSED.into()
                && !self.fleet.workers.contains_key(&crash.worker)
            {
                self.engine.unregister_worker(&crash.worker);
            }
        }
    }

    fn deliver_delayed(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|delayed| delayed.at <= now);
        self.delayed = later;
        let due: Vec<DelayedOrder> = due;
        for delayed in due {
            match &delayed.order {
                // A new boot does not execute orders that an earlier one received.
                Order::Start(order) if self.boot_of(&order.target.name) != delayed.boot => {}
                Order::Stop(order) if self.boot_of(&order.target.name) != delayed.boot => {}
                Order::Start(order) => {
                    self.fleet.start(delayed.epoch, order, now);
                }
                Order::Stop(order) => {
                    self.fleet.stop(delayed.epoch, order, now);
                }
                Order::Throttle(_) | Order::RequestAdvice(_) => {}
            }
        }
    }

    /// Runs one scheduling pass and executes its orders.
    pub(crate) fn pass(&mut self, link: &mut impl FnMut(&Name) -> Link) {
        self.store_roster();
        if !self.store_down {
            self.engine
                .confirm_ownership(self.now, Version(self.version));
            if !self.feed_is_silent {
                self.engine.set_accepted_version(Version(self.version));
            }
        }
        self.engine.set_relays(&self.relays);
        self.engine.tick(self.now);
        self.engine.schedule(self.now);
        let orders = self.engine.take_orders();
        self.events.extend(self.engine.take_events());
        for order in orders {
            self.execute(order, link);
        }
    }

    fn execute(&mut self, order: Order, link: &mut impl FnMut(&Name) -> Link) {
        let epoch = u64::from(self.epoch) + 1;
        let now = self.now;
        match &order {
            Order::Start(start) if !self.fleet.workers.contains_key(&start.target.name) => {
                self.engine.handle_start_result(
                    start.target.key,
                    &start.task,
                    start.run,
                    StartResult::Unsent,
                    now,
                );
            }
            Order::Stop(stop) if !self.fleet.workers.contains_key(&stop.target.name) => {
                self.engine.handle_stop_result(
                    stop.target.key,
                    &stop.task,
                    stop.run,
                    StopResult::Unknown,
                    now,
                );
            }
            Order::Start(start)
                if !self
                    .engine
                    .may_send(start.target.key, &start.task, start.run, now)
                    || !self.engine.is_ticket_valid(start, now) =>
            {
                self.engine.handle_start_result(
                    start.target.key,
                    &start.task,
                    start.run,
                    StartResult::Withheld,
                    now,
                );
            }
            Order::Start(start) => {
                let answer = match self.link(&start.target.name, link) {
                    Link::Normal => self.fleet.start(epoch, start, now),
                    Link::LostReply => {
                        self.fleet.start(epoch, start, now);
                        StartResult::Unknown
                    }
                    Link::LostOrder => StartResult::Unknown,
                    Link::Delayed(by) => {
                        self.delay(by, epoch, order.clone());
                        StartResult::Unknown
                    }
                    Link::Queued => {
                        self.queued.push(order);
                        return;
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
                let answer = match self.link(&stop.target.name, link) {
                    Link::Normal | Link::Queued => self.fleet.stop(epoch, stop, now),
                    Link::LostReply => {
                        self.fleet.stop(epoch, stop, now);
                        StopResult::Unknown
                    }
                    Link::LostOrder => StopResult::Unknown,
                    Link::Delayed(by) => {
                        self.delay(by, epoch, order.clone());
                        StopResult::Unknown
                    }
                };
                self.engine
                    .handle_stop_result(stop.target.key, &stop.task, stop.run, answer, now);
            }
            Order::Throttle(throttle) => self.throttles.push(throttle.clone()),
            Order::RequestAdvice(request) => self.requests.push(request.clone()),
        }
    }

    fn link(&self, name: &Name, link: &mut impl FnMut(&Name) -> Link) -> Link {
        if self.fleet.workers[name].reachable {
            link(name)
        } else {
            Link::LostOrder
        }
    }

    /// Returns the boot of a worker; zero if it has crashed.
    fn boot_of(&self, name: &Name) -> u64 {
        let worker = self.fleet.workers.get(name);
        worker.map_or(0, |worker| worker.boot)
    }

    fn delay(&mut self, by: u64, epoch: u64, order: Order) {
        let at = Millis(self.now.0 + by);
        let boot = match &order {
            Order::Start(start) => self.boot_of(&start.target.name),
            Order::Stop(stop) => self.boot_of(&stop.target.name),
            Order::Throttle(_) | Order::RequestAdvice(_) => 0,
        };
        self.delayed.push(DelayedOrder {
            at,
            epoch,
            boot,
            order,
        });
    }

    fn poll_all(&mut self, link: &mut impl FnMut(&Name) -> Link) {
        for name in self.engine.worker_names() {
            let Some(key) = self.engine.worker_key(&name) else {
                continue;
            };
            let Some(poll) = self.engine.poll(key, self.now) else {
                continue;
            };
            if self.fleet.is_replaced(&name) {
                self.engine
                    .handle_replaced(key, &poll.target.address, self.now);
                continue;
            }
            if !self.fleet.workers.contains_key(&name) {
                self.engine.handle_poll_failure(key, self.now);
                continue;
            }
            let epoch = u64::from(self.epoch) + 1;
            let state = self.link(&name, link);
            if !matches!(state, Link::Normal | Link::Queued) {
                if state == Link::LostReply {
                    self.fleet.poll(epoch, &poll, self.now);
                }
                self.engine.handle_poll_failure(key, self.now);
                continue;
            }
            let answer = self.fleet.poll(epoch, &poll, self.now);
            self.is_fenced |= answer.is_none();
            if let Some(mut inventory) = answer {
                for running in inventory.running.iter_mut().filter(|_| self.report_at_work) {
                    running.percent = 100.0;
                }
                // The poll was sent after all earlier answers had arrived.
                let sent = Millis(self.now.0 + 1);
                self.engine
                    .handle_inventory(key, sent, self.now, &inventory);
            }
        }
    }

    /// Stores all changes.
    pub(crate) fn store(&mut self) {
        while let Some(round) = self.engine.begin_round() {
            if self.store_down || self.progress_is_lost {
                for batch in &round.batches {
                    self.engine.handle_store_failure(batch, &[]);
                }
                return;
            }
            for batch in &round.batches {
                self.store_batch(batch);
            }
            self.engine.finish_round(&round.ends);
        }
    }

    /// Stores one batch of a round.
    pub(crate) fn store_batch(&mut self, batch: &Batch) {
        self.version += 1;
        for record in &batch.records {
            let stored_version = self.stored.get(&record.job).map(|(_, version)| *version);
            assert_eq!(stored_version.unwrap_or_default(), record.replaces);
            let row = (record.progress.clone(), Version(self.version));
            self.stored.insert(record.job.clone(), row);
        }
        self.engine
            .handle_stored(batch, Version(self.version), self.now);
    }

    /// Returns the stored state of a job.
    pub(crate) fn state(&self, id: &str) -> State {
        self.stored
            .get(id)
            .map_or(State::Queued, |(progress, _)| progress.state)
    }

    /// Returns the crash history of the first task of a job.
    pub(crate) fn history(&self, id: &str) -> crash::History {
        let job = self.engine.job(id);
        job.map(|job| job.stages[0].tasks[0].history.clone())
            .unwrap_or_default()
    }

    /// Returns how often tasks of a job were started.
    pub(crate) fn starts_of(&self, id: &str) -> usize {
        let starts = self.fleet.starts.iter();
        starts.filter(|(_, task, ..)| *task.job == *id).count()
    }
}
