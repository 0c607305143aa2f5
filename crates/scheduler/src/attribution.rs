//! Whether a failure is the job's fault or the worker's.
//!
//! A job that fails on several workers is at fault; a worker on which several jobs fail is put
//! aside and comes back by probes. `docs/design/blame.md` weighs the ways.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::{
        Job,
        Name, //
    },
    unit::Millis,
};

/// After failures of so many jobs without a success a worker is put aside.
pub const JOBS_PER_WORKER: usize = 2;

/// After failures on so many workers a job is at fault.
pub const WORKERS_PER_JOB: usize = 3;

/// How many tasks run at once on a worker whose last task failed, and on one that is probed.
pub const PROBATION_SLOTS: u32 = 1;

/// How long a worker is put aside for the first time.
pub const FIRST_ASIDE: Duration = Duration::from_secs(10);

/// The longest time for which a worker is put aside.
pub const LONGEST_ASIDE: Duration = Duration::from_secs(600);

/// How many failed jobs are remembered at most.
const MOST_JOBS: usize = 10_000;

/// How a worker stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerStatus {
    /// The worker takes as many tasks as it has slots.
    Trusted,
    /// The worker takes only this many tasks at once, and only such that may be repeated.
    Probation(u32),
    /// The worker takes no task before this moment.
    Quarantined(Millis),
}

/// Whose fault a failure is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The job failed on so many workers that it is at fault.
    Job,
    /// The worker was put aside for it.
    Worker,
    /// Not known yet.
    Unknown,
}

#[derive(Debug, Default)]
struct Record {
    /// The jobs that failed since the last success.
    failed: BTreeSet<Job>,
    until: Option<Millis>,
    asides: u32,
    /// The slots that the worker has earned back; none stands for all.
    slots: Option<u32>,
}

/// The failures of late, by worker and by job.
#[derive(Debug, Default)]
pub struct Attribution {
    workers: HashMap<Name, Record>,
    jobs: HashMap<Job, BTreeSet<Name>>,
}

impl Attribution {
    /// Takes in that a task of a job failed on a worker.
    pub fn fail(&mut self, job: &Job, worker: &Name, now: Millis) -> Fault {
        if self.jobs.len() >= MOST_JOBS {
            self.jobs.clear();
        }
        let on = self.jobs.entry(job.clone()).or_default();
        on.insert(worker.clone());
        if on.len() >= WORKERS_PER_JOB {
            self.acquit(job);
            return Fault::Job;
        }
        let record = self.workers.entry(worker.clone()).or_default();
        let probed = record.slots.is_some();
        record.failed.insert(job.clone());
        record.slots = Some(PROBATION_SLOTS);
        if record.failed.len() < JOBS_PER_WORKER && !(probed && record.asides > 0) {
            return Fault::Unknown;
        }
        if record.until.is_none_or(|until| until <= now) {
            let aside = FIRST_ASIDE * 2_u32.pow(record.asides.min(16));
            record.until = Some(now.after(aside.min(LONGEST_ASIDE)));
            record.asides += 1;
        }
        Fault::Worker
    }

    /// Takes in that a task of a job succeeded on a worker, which then earns back slots.
    pub fn succeed(&mut self, job: &Job, worker: &Name, slots: u32) {
        self.jobs.remove(job);
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        record.failed.clear();
        record.slots = record.slots.map(|earned| earned * 2);
        if record.slots.is_none_or(|earned| earned >= slots) {
            self.workers.remove(worker);
        }
    }

    /// Forgets a worker that is gone.
    pub fn forget(&mut self, worker: &Name) {
        self.workers.remove(worker);
    }

    /// Returns how a worker stands at `now`.
    pub fn worker_status(&self, worker: &Name, now: Millis) -> WorkerStatus {
        let Some(record) = self.workers.get(worker) else {
            return WorkerStatus::Trusted;
        };
        match (record.until, record.slots) {
            (Some(until), _) if until > now => WorkerStatus::Quarantined(until),
            (_, Some(slots)) => WorkerStatus::Probation(slots),
            (_, None) => WorkerStatus::Trusted,
        }
    }

    /// Returns the workers that are not trusted.
    pub fn suspects(&self) -> impl Iterator<Item = &Name> {
        self.workers.keys()
    }

    /// Takes back what a job that is at fault itself brought on workers.
    fn acquit(&mut self, job: &Job) {
        for record in self.workers.values_mut() {
            if record.failed.remove(job) && record.failed.is_empty() {
                record.until = None;
                record.asides = record.asides.saturating_sub(1);
                record.slots = None;
            }
        }
        self.workers
            .retain(|_, record| record.slots.is_some() || record.until.is_some());
    }
}
