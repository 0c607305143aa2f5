//! Batches of progress to store, and the ends that may be acknowledged afterwards.

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

/// Maximum number of records in a batch: a transaction of the platform has at most 100 entries,
/// half of which are conditions.
pub const MAX_RECORDS: usize = 45;

/// Progress of one job to store.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Name of the job.
    pub job: Name,
    /// Version of the row that is replaced.
    pub replaces: Version,
    /// New content of the row.
    pub progress: Progress,
}

/// The ends of one worker that are stored once a batch is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredEnds {
    /// Key of the worker.
    pub worker: worker::Key,
    /// Boot that the sequence number belongs to.
    pub boot: u64,
    /// Sequence number of the last such end.
    pub sequence: u64,
}

/// Records to store in one transaction.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// Records to write.
    pub records: Vec<Record>,
    /// Ends that may be acknowledged once the records are stored.
    pub stored_ends: Vec<StoredEnds>,
}

impl Engine {
    /// Returns the changes since the last batch, or `None` if there are none.
    pub fn next_batch(&mut self) -> Option<Batch> {
        let mut batch = Batch::default();
        while batch.records.len() < MAX_RECORDS {
            let Some(key) = self.dirty_jobs.pop_front() else {
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
        if self.dirty_jobs.is_empty() {
            let unacknowledged = self
                .workers
                .iter()
                .filter(|(_, worker)| worker.last_matched_end() > worker.stored);
            batch.stored_ends = unacknowledged
                .map(|(key, worker)| StoredEnds {
                    worker: key,
                    boot: worker.boot.unwrap_or_default(),
                    sequence: worker.last_matched_end(),
                })
                .collect();
        }
        (!batch.records.is_empty() || !batch.stored_ends.is_empty()).then_some(batch)
    }

    /// Records that a batch is stored under `version`.
    pub fn handle_stored(&mut self, batch: &Batch, version: Version, now: Millis) {
        for record in &batch.records {
            let Some(key) = self.jobs_by_id.get(&record.job).copied() else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(key) {
                job.version = version;
                job.confirm_placements(&record.progress);
                let newly_final = record.progress.state.is_final() && !job.final_state_stored;
                job.final_state_stored |= newly_final;
                if newly_final {
                    self.retire(&record.job, now);
                }
            }
            self.remove_if_finished(key);
        }
        for ends in &batch.stored_ends {
            if let Some(worker) = self.workers.get_mut(ends.worker)
                && worker.boot == Some(ends.boot)
            {
                worker.stored = worker.stored.max(ends.sequence);
            }
        }
    }

    /// Returns a batch to the pending changes because it was not stored, or it is unknown whether
    /// it was.
    ///
    /// `versions` holds the versions at which the store found the rows, if it reported them. The
    /// rows are ours, since only the owner of the cell writes them.
    pub fn handle_store_failure(&mut self, batch: &Batch, versions: &[(Name, Version)]) {
        for record in &batch.records {
            let Some(key) = self.jobs_by_id.get(&record.job).copied() else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(key)
                && let Some((_, version)) = versions.iter().find(|(id, _)| *id == record.job)
            {
                job.version = *version;
            }
            self.mark_dirty(key);
        }
    }

    /// Returns the number of jobs without a started task, by queue. Scheduled jobs are not counted.
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
