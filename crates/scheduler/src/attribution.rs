//! Fault attribution: whether a failure is the fault of the job or of the worker.
//!
//! A job that fails on several workers is at fault. A worker on which several jobs fail is
//! quarantined, and earns its slots back by probes. `docs/design/blame.md` compares the options.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use basilbridge_common::{
    id::{
        Job,
        Name, //
    },
    unit::Millis, //
};

/// How many different jobs have to fail on a worker, without a success in between, before it is
/// quarantined.
pub const WORKER_FAULT_JOBS: usize = 2;

/// On how many different workers a job has to fail before it is at fault.
pub const JOB_FAULT_WORKERS: usize = 3;

/// How many tasks may run at once on a worker whose last task failed, and on one that is probed
/// after a quarantine.
pub const PROBATION_SLOTS: u32 = 1;

/// How long the first quarantine of a worker lasts. Each further one lasts twice as long, up to
/// [`MAX_QUARANTINE`].
pub const FIRST_QUARANTINE: Duration = Duration::from_secs(10);

/// The maximum duration of a quarantine.
pub const MAX_QUARANTINE: Duration = Duration::from_secs(600);

/// How many failed jobs are recorded at most; then all of them are cleared.
const MAX_JOBS: usize = 10_000;

/// How far a worker is trusted to run tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerStatus {
    /// The worker may run as many tasks as it has slots.
    Trusted,
    /// The worker may run only this many tasks at once, and only repeatable ones.
    Probation(u32),
    /// The worker gets no task before this time.
    Quarantined(Millis),
}

/// What a failure is attributed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The job failed on so many workers that it is at fault.
    Job,
    /// The worker is at fault and quarantined.
    Worker,
    /// There are not enough failures yet to tell.
    Unknown,
}

/// The failures of one worker.
#[derive(Debug, Default)]
struct Record {
    /// The jobs that failed on the worker since its last success.
    failed_jobs: BTreeSet<Job>,
    /// The end of the latest quarantine.
    quarantined_until: Option<Millis>,
    /// How often the worker was quarantined.
    quarantines: u32,
    /// How many tasks may run at once; `None` means as many as the worker has slots.
    probation_slots: Option<u32>,
}

/// Recent failures by worker and by job.
#[derive(Debug, Default)]
pub struct Attribution {
    workers: HashMap<Name, Record>,
    /// The workers on which each job has failed.
    jobs: HashMap<Job, BTreeSet<Name>>,
}

impl Attribution {
    /// Records that a task of a job failed on a worker, and returns what is at fault.
    pub fn record_failure(&mut self, job: &Job, worker: &Name, now: Millis) -> Fault {
        if self.jobs.len() >= MAX_JOBS {
            self.jobs.clear();
        }
        let failed_on = self.jobs.entry(job.clone()).or_default();
        failed_on.insert(worker.clone());
        if failed_on.len() >= JOB_FAULT_WORKERS {
            self.clear_failures_of(job);
            return Fault::Job;
        }
        let record = self.workers.entry(worker.clone()).or_default();
        let on_probation = record.probation_slots.is_some();
        record.failed_jobs.insert(job.clone());
        record.probation_slots = Some(PROBATION_SLOTS);
        if record.failed_jobs.len() < WORKER_FAULT_JOBS && !(on_probation && record.quarantines > 0)
        {
            return Fault::Unknown;
        }
        if record.quarantined_until.is_none_or(|until| until <= now) {
            let quarantine = FIRST_QUARANTINE * 2_u32.pow(record.quarantines.min(16));
            record.quarantined_until = Some(now.after(quarantine.min(MAX_QUARANTINE)));
            record.quarantines += 1;
        }
        Fault::Worker
    }

    /// Records that a task of a job succeeded on a worker, which doubles how many
    /// tasks the worker may run at once.
    ///
    /// `slots` is how many slots the worker has. Once it may use all of them, it is trusted again.
    pub fn record_success(&mut self, job: &Job, worker: &Name, slots: u32) {
        self.jobs.remove(job);
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        record.failed_jobs.clear();
        record.probation_slots = record.probation_slots.map(|earned| earned * 2);
        if record.probation_slots.is_none_or(|earned| earned >= slots) {
            self.workers.remove(worker);
        }
    }

    /// Removes a worker that has left the fleet.
    pub fn forget(&mut self, worker: &Name) {
        self.workers.remove(worker);
    }

    /// Returns the status of a worker at `now`.
    pub fn worker_status(&self, worker: &Name, now: Millis) -> WorkerStatus {
        let Some(record) = self.workers.get(worker) else {
            return WorkerStatus::Trusted;
        };
        match (record.quarantined_until, record.probation_slots) {
            (Some(until), _) if until > now => WorkerStatus::Quarantined(until),
            (_, Some(slots)) => WorkerStatus::Probation(slots),
            (_, None) => WorkerStatus::Trusted,
        }
    }

    /// Returns the workers that have failures on record.
    pub fn untrusted_workers(&self) -> impl Iterator<Item = &Name> {
        self.workers.keys()
    }

    /// Removes the failures of a job that is at fault itself from the records of all workers.
    fn clear_failures_of(&mut self, job: &Job) {
        for record in self.workers.values_mut() {
            if record.failed_jobs.remove(job) && record.failed_jobs.is_empty() {
                record.quarantined_until = None;
                record.quarantines = record.quarantines.saturating_sub(1);
                record.probation_slots = None;
            }
        }
        self.workers.retain(|_, record| {
            record.probation_slots.is_some() || record.quarantined_until.is_some()
        });
    }
}
