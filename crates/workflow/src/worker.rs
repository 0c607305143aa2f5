//! What is known about one worker, and when its leases have surely ended.

use std::{
    collections::HashMap,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    job::TaskId,
    report::{
        Ended,
        WorkerInfo, //
    },
};

slotmap::new_key_type! {
    /// A worker, by its place in the engine.
    pub struct Key;
    /// A job, by its place in the engine.
    pub struct JobKey;
}

/// By how much a worker's clock may be slow, from the workers' contract.
const CLOCK_DRIFT: f64 = 0.02;

/// What is added to the end of a lease before its runs count as gone; it covers the time that the
/// worker takes to end them.
const LAPSE_MARGIN: Duration = Duration::from_millis(100);

/// For how long an unanswered worker still gets new work: two looks of a second each and the time
/// that they take.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start was sent and is not answered.
    Ordered,
    /// The worker has said at this moment that it runs it.
    Confirmed(Millis),
    /// The run has to end; the moment is that of the answer to the stop.
    Stopping(Option<Millis>),
}

/// Which task of which job a run belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The job.
    pub job: JobKey,
    /// The stage, by its place in the job.
    pub stage: usize,
    /// The task, by its place in the stage.
    pub index: usize,
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// The number of the run.
    pub run: u32,
    /// The task, unless its job is not known.
    pub place: Option<Place>,
    /// What it takes of the worker's capacity.
    pub charge: Resources,
    /// What it takes of its team's cap.
    pub tenant: Option<(Name, Resources)>,
    /// How far its order has come.
    pub phase: Phase,
    /// When it was ordered or first seen.
    pub since: Millis,
    /// How far it is, in percent.
    pub percent: f64,
    /// When `percent` last rose.
    pub moved: Millis,
    /// The tail of response times in milliseconds, or the processor time in thousandths.
    pub figure: f64,
    /// The share of its speed that it was last allowed, in percent.
    pub pace: u32,
    /// When a stop was last sent.
    pub stop_sent: Option<Millis>,
}

/// A worker's clock as it was read.
#[derive(Debug, Clone, Copy)]
struct Reading {
    worker: u64,
    at: Millis,
}

/// One worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// What it says of itself.
    pub entry: WorkerInfo,
    /// Whether the list of workers names it.
    pub listed: bool,
    /// The boot that answered the last look.
    pub boot: Option<u64>,
    /// What runs, or may run, on it.
    pub runs: HashMap<TaskId, Run>,
    /// What these runs take.
    pub used: Resources,
    /// The last end that was taken in.
    pub taken: u64,
    /// The last end that is stored.
    pub stored: u64,
    /// When it last answered.
    pub heard: Option<Millis>,
    /// Whether the last look was not answered.
    pub silent: bool,
    /// No new work before this moment.
    pub avoid: Millis,
    /// Whether somebody looks at it.
    pub watched: bool,
    /// Whether the next look must not wait.
    pub hurry: bool,
    /// Ends that failed since the last one that did not, by job.
    pub failures: Vec<Name>,
    /// How often it was put aside without a success in between.
    pub asides: u32,
    /// When the list told of a boot that has not answered a look yet.
    pub restarted: Option<Millis>,
    /// Ends of jobs that are not known yet, oldest first.
    pub orphans: Vec<Ended>,
    reading: Option<Reading>,
    until: u64,
}

impl Worker {
    /// Makes a worker that has not answered yet.
    pub fn new(entry: WorkerInfo) -> Self {
        Self {
            entry,
            listed: true,
            boot: None,
            runs: HashMap::new(),
            used: Resources::default(),
            taken: 0,
            stored: 0,
            heard: None,
            silent: false,
            avoid: Millis(0),
            watched: false,
            hurry: true,
            failures: Vec::new(),
            asides: 0,
            restarted: None,
            orphans: Vec::new(),
            reading: None,
            until: 0,
        }
    }

    /// Forgets what an earlier boot has told.
    pub fn reboot(&mut self, boot: u64) {
        self.boot = Some(boot);
        self.taken = 0;
        self.stored = 0;
        self.reading = None;
        self.until = 0;
        self.failures.clear();
        self.asides = 0;
        self.restarted = None;
        self.orphans.clear();
    }

    /// Returns the last end that a look may acknowledge.
    ///
    /// Ends are counted anew in each boot, so a number of the boot before would let the next one forget
    /// ends that it has not told. Nothing is acknowledged while it is not sure which boot will hear it.
    pub fn surely_stored(&self) -> u64 {
        let sure = !self.silent && self.restarted.is_none();
        if sure { self.stored } else { 0 }
    }

    /// Returns the last end that may be acknowledged once what is known is stored.
    pub fn settled_end(&self) -> u64 {
        let orphan = self.orphans.iter().map(|end| end.sequence).min();
        orphan.map_or(self.taken, |number| self.taken.min(number - 1))
    }

    /// Returns what is free.
    pub fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.used)
    }

    /// Says whether new work may be sent to it.
    ///
    /// The look that names the boot has also raised the worker's epoch to ours.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.listed
            && !self.entry.leaving
            && self.boot == Some(self.entry.boot)
            && !self.silent
            && self.avoid <= now
            && self
                .heard
                .is_some_and(|heard| now.since(heard) < SILENCE_LIMIT)
            && self.runs.values().all(|run| run.place.is_some())
    }

    /// Says whether an answer that shows this clock is older than one that was taken in.
    ///
    /// Answers on different connections may overtake each other.
    pub fn is_older(&self, clock: u64) -> bool {
        self.reading.is_some_and(|reading| clock < reading.worker)
    }

    /// Takes note of the worker's clock, read at `at` or before.
    pub fn read_clock(&mut self, worker: u64, at: Millis) {
        self.heard = Some(at);
        self.silent = false;
        self.reading = Some(Reading { worker, at });
    }

    /// Returns the end of a lease of `length` from `now` on, by the worker's clock.
    ///
    /// The lease of a silent worker is not made longer: each order may still arrive, and its runs
    /// would never count as ended.
    pub fn lease(&mut self, length: Duration, now: Millis) -> Option<u64> {
        let reading = self.reading?;
        if self.silent {
            return Some(self.until);
        }
        let until = reading.worker + (now.since(reading.at) + length).as_millis() as u64;
        self.until = self.until.max(until);
        Some(self.until)
    }

    /// Returns when all that it ran has surely ended, unless it is heard again.
    ///
    /// `longest` stands in for a lease that an earlier owner gave and we know nothing of.
    pub fn lapse(&self, longest: Duration, epoch_start: Millis) -> Millis {
        let slowest = |lease: Duration| lease.div_f64(1.0 - CLOCK_DRIFT) + LAPSE_MARGIN;
        // A start that has met a boot with another clock holds as long as the worker grants.
        let restarted = self
            .restarted
            .map(|at| at.after(slowest(longest)))
            .unwrap_or_default();
        let lapse = match self.reading {
            Some(reading) => {
                let left = self.until.saturating_sub(reading.worker);
                let own = reading.at.after(slowest(Duration::from_millis(left)));
                // A lease that an earlier owner gave may be longer than ours so far.
                own.max(epoch_start.after(slowest(longest)))
            }
            None => epoch_start.after(slowest(longest)),
        };
        lapse.max(restarted)
    }

    /// Counts a run.
    pub fn add(&mut self, task: TaskId, run: Run) {
        self.used = self.used.plus(&run.charge);
        self.runs.insert(task, run);
    }

    /// Counts a run no more.
    pub fn remove(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(&run.charge);
        Some(run)
    }

    /// Returns the rack, which is the last label.
    pub fn rack(&self) -> Option<&Name> {
        self.entry.labels.last()
    }
}
