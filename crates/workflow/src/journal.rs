//! What is to be stored, and which ends may be acknowledged after it.

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};

use crate::{
    engine::Engine,
    job::State,
    progress::Progress,
    worker, //
};

/// The most records of one batch: a transaction of the platform holds 100 entries, half of them
/// conditions.
pub const MOST_RECORDS: usize = 45;

/// What is stored of one job.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// The job.
    pub job: Name,
    /// The version of the row that is replaced.
    pub replaces: Version,
    /// The new content.
    pub progress: Progress,
}

/// The ends of one worker that a batch covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Covered {
    /// The worker.
    pub worker: worker::Key,
    /// Its boot.
    pub boot: u64,
    /// The last end.
    pub number: u64,
}

/// Records that are stored together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// The records.
    pub records: Vec<Record>,
    /// What may be acknowledged afterwards.
    pub covered: Vec<Covered>,
}

impl Engine {
    /// Returns what has changed since the last batch, or nothing.
    pub fn next_batch(&mut self) -> Option<Batch> {
        let mut batch = Batch::default();
        while batch.records.len() < MOST_RECORDS {
            let Some(key) = self.dirty.pop_front() else {
                break;
            };
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.dirty = false;
            batch.records.push(Record {
                job: job.id.clone(),
                replaces: job.version,
                progress: job.progress(),
            });
        }
        if self.dirty.is_empty() {
            let untold = self
                .workers
                .iter()
                .filter(|(_, worker)| worker.settled_end() > worker.stored);
            batch.covered = untold
                .map(|(key, worker)| Covered {
                    worker: key,
                    boot: worker.boot.unwrap_or_default(),
                    number: worker.settled_end(),
                })
                .collect();
        }
        (!batch.records.is_empty() || !batch.covered.is_empty()).then_some(batch)
    }

    /// Takes note that a batch is stored under `version`.
    pub fn handle_stored(&mut self, batch: &Batch, version: Version, now: Millis) {
        for record in &batch.records {
            let Some(key) = self.ids.get(&record.job).copied() else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(key) {
                job.version = version;
                let ends = record.progress.state.is_final() && !job.final_stored;
                job.final_stored |= ends;
                if ends {
                    self.retire(&record.job, now);
                }
            }
            self.forget_if_over(key);
        }
        for covered in &batch.covered {
            if let Some(worker) = self.workers.get_mut(covered.worker)
                && worker.boot == Some(covered.boot)
            {
                worker.stored = worker.stored.max(covered.number);
            }
        }
    }

    /// Takes a batch back that was not stored, or of which that is not known.
    ///
    /// `versions` holds the versions that the rows were found at, if the store told them. They are
    /// ours: nobody else may write them while we hold the title.
    pub fn handle_store_failure(&mut self, batch: &Batch, versions: &[(Name, Version)]) {
        for record in &batch.records {
            let Some(key) = self.ids.get(&record.job).copied() else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(key)
                && let Some((_, version)) = versions.iter().find(|(id, _)| *id == record.job)
            {
                job.version = *version;
            }
            self.touch(key);
        }
    }

    /// Returns the jobs of which no task has started, by queue.
    pub fn queued_counts(&self) -> std::collections::BTreeMap<Name, u64> {
        let mut counts = std::collections::BTreeMap::new();
        for job in self.jobs.values() {
            if job.state() == State::Queued && job.accepted.spec.schedule.is_none() {
                *counts.entry(job.accepted.queue.clone()).or_default() += 1;
            }
        }
        counts
    }
}
