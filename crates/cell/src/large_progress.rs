//! Stores the progress of jobs that outgrow a row of the store, in segments.
//!
//! What the rows hold is in [`crate::segments`]. The store applies all rows of a version of the
//! progress at once, by the call that writes its head; see `docs/design/segments.md`.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use basilbridge_common::{
    error::{
        Error,
        Result, //
    },
    id::{
        Name,
        Version, //
    },
};
use basilbridge_platform::table::{
    Outcome,
    Precondition,
    Put,
    Row, //
};
use basilbridge_workflow::{
    journal::{
        Batch,
        Record, //
    },
    progress::Progress,
};

use crate::{
    call_size,
    clients::Range,
    node::Node,
    owner::Owner,
    record::{
        self,
        CLAIM_KEY,
        PROGRESS_TABLE,
        SEGMENT_TABLE,
        Stored, //
    },
    segments::{
        self,
        Draft,
        Layout, //
    },
};

/// The conditions of each call about a job: the claim and the job's row.
const CHECKS: usize = 2;

/// What is known of the segments of a job.
#[derive(Debug, Clone, Default)]
struct Job {
    layout: Layout,
    /// A number above those of all rows that may exist.
    end_id: u32,
    /// Whether a call is unanswered that may still write rows, as long as the head stays.
    is_in_doubt: bool,
}

/// The jobs whose progress is in segments. Each stays until its final state is stored; its rows are
/// removed then.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    jobs: HashMap<Name, Job>,
    /// The keys of rows of finished jobs.
    obsolete: Vec<String>,
}

impl Jobs {
    /// Records that the store has the row `key`. It is removed unless `is_kept` says of its job that
    /// its rows may be needed.
    pub(crate) fn add_row(&mut self, key: &str, is_kept: impl Fn(&str) -> bool) {
        match segments::parse_key(key) {
            Some((job, id)) if is_kept(job) => {
                let job = self.jobs.entry(job.into()).or_default();
                job.end_id = job.end_id.max(id + 1);
            }
            _ => self.obsolete.push(key.to_owned()),
        }
    }

    /// Records the segments that the row of an open job names.
    pub(crate) fn add_head(&mut self, job: &Name, head: &segments::Head) {
        self.jobs.entry(job.clone()).or_default().layout = head.into();
    }

    /// Returns whether the progress of a job is in segments, or may be.
    pub(crate) fn contains(&self, job: &Name) -> bool {
        self.jobs.contains_key(job)
    }

    /// Records that the final state of a job is stored, after which its segments are not read any more.
    pub(crate) fn finish(&mut self, id: &Name) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for number in 0..job.end_id.max(job.layout.next_id()) {
            let keys = [false, true].map(|second| segments::key(id, number, second));
            self.obsolete.extend(keys);
        }
    }

    /// Returns whether rows are left to remove.
    pub(crate) fn has_obsolete(&self) -> bool {
        !self.obsolete.is_empty()
    }
}

/// [`Jobs`], shared by the writes of one owner.
pub(crate) type SharedJobs = Mutex<Jobs>;

pub(crate) fn lock(jobs: &SharedJobs) -> MutexGuard<'_, Jobs> {
    jobs.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the progress of a job whose segments are among `rows`, by key.
pub(crate) fn assemble(
    job: &str,
    head: &segments::Head,
    rows: &HashMap<&str, &str>,
) -> Result<Progress> {
    head.assemble(job, |key| rows.get(key).copied())
}

type Written<T> = std::result::Result<T, Failure>;

/// Why a version of the progress is not stored.
enum Failure {
    /// Another VM has claimed the ownership.
    Deposed,
    /// The job's row is another one.
    Replaced(Option<Row>),
    /// It is not known whether the store has taken a call.
    Unanswered,
    /// The job's row was written again as it was, so that calls which are still unanswered fail.
    Settled(Version),
    /// The progress can't be stored at all.
    Rejected,
}

/// Stores the progress of one job. Returns whether it is stored; if it is not, it counts as changed
/// again.
pub(crate) async fn store(owner: &Owner, jobs: &SharedJobs, record: &Record) -> bool {
    let id = &record.job;
    let mut job = lock(jobs).jobs.get(id).cloned().unwrap_or_default();
    let batch = Batch {
        records: vec![record.clone()],
    };
    let written = write(owner, &mut job, record).await;
    let is_stored = match written {
        Ok(version) => {
            let mut engine = owner.engine_after_stall();
            engine.handle_stored(&batch, version, owner.now());
            drop(engine);
            owner.wake.notify_one();
            true
        }
        Err(failure) => {
            let version = handle_failure(owner, &mut job, id, failure);
            let versions: Vec<(Name, Version)> = version
                .map(|version| (id.clone(), version))
                .into_iter()
                .collect();
            owner.engine().handle_store_failure(&batch, &versions);
            false
        }
    };
    job.end_id = job.end_id.max(job.layout.next_id());
    lock(jobs).jobs.insert(id.clone(), job);
    is_stored
}

/// Records in `job` what a failure tells of the store. Returns the version of the job's row, if it is
/// known.
fn handle_failure(owner: &Owner, job: &mut Job, id: &Name, failure: Failure) -> Option<Version> {
    match failure {
        Failure::Deposed => {
            owner.end_ownership("the claim was replaced");
            None
        }
        Failure::Replaced(row) => {
            job.is_in_doubt = false;
            job.layout = layout(owner, row.as_ref());
            Some(row.map_or(Version(0), |row| row.version))
        }
        Failure::Settled(version) => {
            job.is_in_doubt = false;
            Some(version)
        }
        Failure::Unanswered => {
            job.is_in_doubt = true;
            None
        }
        Failure::Rejected => {
            // What its tasks have done can't be kept, and must not hold back other jobs.
            owner.engine().fail(id, owner.now());
            None
        }
    }
}

/// Returns the segments that the row of a job names.
fn layout(owner: &Owner, row: Option<&Row>) -> Layout {
    let stored =
        row.and_then(|row| record::decode_row_with(&owner.node.log, row, record::decode_progress));
    match stored {
        Some(Stored::Segmented(head)) => Layout::from(&head),
        Some(Stored::Whole(_)) | None => Layout::default(),
    }
}

/// Writes the progress of a job, and records its segments in `job`.
async fn write(owner: &Owner, job: &mut Job, record: &Record) -> Written<Version> {
    let mut draft = draft(owner, job, record).await?;
    job.end_id = job.end_id.max(draft.layout().next_id());
    let mut puts = draft.segment_rows(&record.job);
    puts.push(head_row(owner, &draft, record)?);
    if !call_size::fits(&puts, CHECKS) {
        if job.is_in_doubt {
            return Err(settle(owner, job, record).await);
        }
        draft.relocate();
        for puts in call_size::cut(draft.segment_rows(&record.job), CHECKS) {
            transact(owner, record, puts).await?;
        }
        puts = vec![head_row(owner, &draft, record)?];
    }
    let version = transact(owner, record, puts).await?;
    job.layout = draft.layout();
    job.is_in_doubt = false;
    Ok(version)
}

/// Encodes the changed segments. Lets other tasks run after each.
async fn draft(owner: &Owner, job: &Job, record: &Record) -> Written<Draft> {
    let max_bytes = owner.node.config.max_row_bytes();
    let mut draft = Draft::new(&job.layout, &record.progress, max_bytes);
    loop {
        match draft.advance() {
            Ok(true) => tokio::task::yield_now().await,
            Ok(false) => return Ok(draft),
            Err(error) => return Err(reject(owner, record, &error)),
        }
    }
}

fn head_row(owner: &Owner, draft: &Draft, record: &Record) -> Written<Put> {
    let row = draft.head_row(&record.job);
    row.map_err(|error| reject(owner, record, &error))
}

fn reject(owner: &Owner, record: &Record, error: &Error) -> Failure {
    owner.node.metrics.count("progress_rejected");
    if owner.node.decisions.admit() {
        slog::error!(owner.node.log, "progress does not fit into rows"; "job" => %record.job,
            "row_bytes" => owner.node.config.max_row_bytes(), "error" => %error);
    }
    Failure::Rejected
}

/// Applies a call on the conditions that this VM is the owner and the job's row is as it was.
async fn transact(owner: &Owner, record: &Record, puts: Vec<Put>) -> Written<Version> {
    let checks = vec![
        owner.ownership.check(),
        Precondition {
            table: PROGRESS_TABLE.into(),
            key: record.job.to_string(),
            version: record.replaces,
        },
    ];
    let sent = owner.now();
    match owner.node.transact(checks, puts).await {
        Ok(Outcome::Committed(version)) => {
            owner.confirm_ownership(sent, version);
            Ok(version)
        }
        Ok(Outcome::Conflict(rows)) => {
            let claim = rows.iter().find(|row| row.key == CLAIM_KEY);
            if claim.is_some_and(|row| row.version != owner.ownership.version) {
                return Err(Failure::Deposed);
            }
            let found = rows.into_iter().find(|row| *row.key == *record.job);
            Err(Failure::Replaced(found))
        }
        Err(error) => {
            slog::info!(owner.node.log, "segments not stored"; "job" => %record.job,
                "error" => %error);
            Err(Failure::Unanswered)
        }
    }
}

/// Writes the row of a job again as it is. Calls that are still unanswered were on the condition of
/// its version, so they can't overwrite rows any more that are written after this.
async fn settle(owner: &Owner, job: &mut Job, record: &Record) -> Failure {
    let found = match read_row(&owner.node, &record.job).await {
        Ok(found) => found,
        Err(error) => {
            owner.node.record_store_failure(&error);
            return Failure::Unanswered;
        }
    };
    let replaces = found.as_ref().map_or(Version(0), |row| row.version);
    let value = match found.as_ref().and_then(|row| row.value.clone()) {
        Some(value) => value,
        None => match record::encode(&Progress::default()) {
            Ok(value) => value,
            Err(error) => return reject(owner, record, &error),
        },
    };
    let again = Record {
        replaces,
        ..record.clone()
    };
    let put = Put {
        table: PROGRESS_TABLE.into(),
        key: record.job.to_string(),
        value: Some(value),
    };
    match transact(owner, &again, vec![put]).await {
        Ok(version) => {
            job.layout = layout(owner, found.as_ref());
            Failure::Settled(version)
        }
        Err(failure) => failure,
    }
}

async fn read_row(node: &Node, job: &Name) -> Result<Option<Row>> {
    let range = Range {
        table: PROGRESS_TABLE.into(),
        from: Some(job.to_string()),
        to: Some(format!("{job}\0")),
    };
    let page = node.read(range).await?;
    Ok(page.rows.into_iter().find(|row| row.value.is_some()))
}

/// Removes some of the rows of finished jobs.
pub(crate) async fn remove_obsolete(owner: &Owner, jobs: &SharedJobs) {
    let keys: Vec<String> = {
        let mut jobs = lock(jobs);
        let rest = jobs
            .obsolete
            .len()
            .saturating_sub(call_size::MAX_ENTRIES - 1);
        jobs.obsolete.split_off(rest)
    };
    let removals = keys.iter().map(|key| Put {
        table: SEGMENT_TABLE.into(),
        key: key.clone(),
        value: None,
    });
    let checks = vec![owner.ownership.check()];
    match owner.node.transact(checks, removals.collect()).await {
        Ok(Outcome::Committed(_)) => {}
        Ok(Outcome::Conflict(_)) => owner.end_ownership("the claim was replaced"),
        Err(error) => {
            slog::info!(owner.node.log, "segments not removed"; "rows" => keys.len(),
                "error" => %error);
            lock(jobs).obsolete.extend(keys);
        }
    }
}
