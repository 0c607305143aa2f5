//! Rounds of progress to store, and the ends that may be acknowledged after each.

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

/// The ends of one worker that are stored once a round is.
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
}

/// All changes up to some time.
///
/// Ends may be acknowledged once the jobs that had changed by the time of the round are stored,
/// however many change meanwhile. If they had to wait until no job is left to store, nothing would be
/// acknowledged while jobs change faster than they are stored, and workers repeat all ends that are
/// not acknowledged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Round {
    /// Batches of different jobs, which may be stored in any order.
    pub batches: Vec<Batch>,
    /// Ends that may be acknowledged once all batches are stored.
    pub ends: Vec<StoredEnds>,
}

impl Engine {
    /// Returns the changes since the last round, or `None` if there are none.
    pub fn begin_round(&mut self) -> Option<Round> {
        let mut records = Vec::new();
        for key in std::mem::take(&mut self.dirty_jobs) {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.dirty = false;
            records.push(Record {
                job: job.id.clone(),
                replaces: job.version,
                progress: job.progress(),
            });
        }
        let unacknowledged = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.last_matched_end() > worker.stored);
        let ends: Vec<StoredEnds> = unacknowledged
            .map(|(key, worker)| StoredEnds {
                worker: key,
                boot: worker.boot.unwrap_or_default(),
                sequence: worker.last_matched_end(),
            })
            .collect();
        let mut batches = Vec::new();
        while !records.is_empty() {
            let rest = records.split_off(records.len().min(MAX_RECORDS));
            batches.push(Batch { records });
            records = rest;
        }
        (!batches.is_empty() || !ends.is_empty()).then_some(Round { batches, ends })
    }

    /// Records that all batches of a round are stored.
    pub fn finish_round(&mut self, ends: &[StoredEnds]) {
        for ends in ends {
            if let Some(worker) = self.workers.get_mut(ends.worker)
                && worker.boot == Some(ends.boot)
            {
                worker.record_stored(ends.sequence);
            }
        }
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
            self.send_stored_starts(key, &record.progress, now);
            self.remove_if_finished(key);
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

    /// Gives up a job whose progress the store does not take.
    pub fn fail(&mut self, id: &Name, now: Millis) {
        if let Some(key) = self.jobs_by_id.get(id) {
            self.end_job(*key, State::Failed, now);
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
