//! Accepts, cancels and looks up jobs directly in the store.
//!
//! This needs no owner, so every VM accepts jobs during a takeover.

use std::{
    collections::{
        BTreeMap,
        HashSet, //
    },
    sync::Arc,
    time::Duration,
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};
use basilbridge_platform::table::{
    Outcome,
    Precondition,
    Put,
    Row, //
};
use basilbridge_workflow::job::{
    Accepted,
    State, //
};

use crate::{
    admission,
    announce,
    clients::Range,
    feed,
    node::Node,
    record::{
        self,
        PROGRESS_TABLE, //
    },
    tombstone::Tombstone, //
};

/// The delay before a read that returned outdated rows is repeated.
const RETRY: Duration = Duration::from_millis(80);

/// How often a write is tried whose condition fails because another caller has just changed the
/// row.
const MAX_ATTEMPTS: u32 = 3;

/// The part of a caller's deadline that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// How long job counts are used: the users' contract allows two seconds, of which a heartbeat may
/// take a part to arrive.
const MAX_COUNT_AGE: Duration = Duration::from_millis(1700);

fn unavailable(node: &Node, part: &Name, message: &str) -> Error {
    let retry_after = admission::store_retry(node, part);
    Error::new(Kind::StoreUnavailable, message).with_retry_after(retry_after)
}

/// Returns the condition that the row `key` in the part of the job `id` has `version`.
fn job_row(id: &str, key: &str, version: Version) -> Precondition {
    Precondition {
        table: record::job_table(id),
        key: key.to_owned(),
        version,
    }
}

/// The outcome of a conditional write.
enum Written {
    Committed(Version),
    /// A check failed; these are the rows that the checks name, as far as there are any.
    Conflict(Vec<Row>),
}

/// Writes a row if all `checks` hold.
async fn write(node: &Node, checks: Vec<Precondition>, put: Put) -> Result<Written> {
    let part = put.table.clone();
    match node.transact(checks, vec![put]).await {
        Ok(Outcome::Committed(version)) => Ok(Written::Committed(version)),
        Ok(Outcome::Conflict(rows)) => Ok(Written::Conflict(rows)),
        Err(error) if error.kind == Kind::WriteUnknown => {
            Err(Error::new(Kind::OutcomeUnknown, error.message))
        }
        Err(error) => Err(unavailable(node, &part, &error.message)),
    }
}

/// Replaces the row of a job if it has `version`. Returns its new version, or else the row that was
/// found, without a value if there is none.
async fn replace_job_row(
    node: &Node,
    id: &str,
    version: Version,
    value: String,
) -> Result<std::result::Result<Version, Row>> {
    let table = record::job_table(id);
    let put = Put {
        table: table.clone(),
        key: id.to_owned(),
        value: Some(value),
    };
    match write(node, vec![job_row(id, id, version)], put).await? {
        Written::Committed(version) => Ok(Ok(version)),
        Written::Conflict(rows) => {
            let found = rows.into_iter().find(|row| row.key == id);
            Ok(Err(found.unwrap_or_else(|| Row {
                table,
                key: id.to_owned(),
                version: Version(0),
                value: None,
            })))
        }
    }
}

fn contended(node: &Node, id: &str) -> Error {
    let message = "the row of the job changes too often";
    unavailable(node, &record::job_table(id), message)
}

/// Stores a job and notifies the owner. A job that is sent again is stored once, and one that was
/// cancelled before never runs.
pub(crate) async fn accept(node: &Arc<Node>, id: &str, accepted: &Accepted) -> Result<()> {
    let stored = store_job(node, id, accepted).await;
    if stored
        .as_ref()
        .is_err_and(|error| error.kind == Kind::OutcomeUnknown)
    {
        node.admission.record_unknown_outcome(id, node.timer.now());
    }
    stored
}

async fn store_job(node: &Arc<Node>, id: &str, accepted: &Accepted) -> Result<()> {
    // The row that the submission replaces, if the job was cancelled before it.
    let mut tombstone: Option<Row> = None;
    for _ in 0..MAX_ATTEMPTS {
        let (version, value) = match &tombstone {
            Some(row) => (row.version, Tombstone::Cancelled.value().to_owned()),
            None => {
                let max_bytes = node.config.max_row_bytes();
                (Version(0), record::encode_job(accepted, max_bytes)?)
            }
        };
        let found = match replace_job_row(node, id, version, value).await? {
            Ok(version) => {
                if tombstone.is_none() {
                    announce::send(node, id, version, Some(accepted));
                }
                return Ok(());
            }
            Err(found) => found,
        };
        tombstone = match Tombstone::of(&found) {
            Some(Tombstone::Unsubmitted) => Some(found),
            // The same submission, sent earlier, has written the row.
            Some(Tombstone::Cancelled) => return Ok(()),
            None if found.value.is_some() => return Ok(()),
            // The tombstone has been removed.
            None => None,
        };
    }
    Err(contended(node, id))
}

/// Reads one row. Returns `None` if the row is confirmed not to exist.
///
/// Fails with [`Kind::StoreUnavailable`] if the store still returns outdated rows at the deadline.
async fn read_row(node: &Node, table: &str, key: &str, deadline: Millis) -> Result<Option<Row>> {
    let latest_version = node.latest_version();
    loop {
        let range = Range {
            table: table.into(),
            from: Some(key.to_owned()),
            to: Some(format!("{key}\0")),
        };
        let page = node.read(range).await.map_err(|error| {
            node.record_store_failure(&error);
            unavailable(node, &table.into(), &error.message)
        })?;
        let row = page.rows.into_iter().find(|row| row.value.is_some());
        // A page older than what this VM has seen may lack a row.
        if row.is_some() || page.version >= latest_version {
            return Ok(row);
        }
        if node.timer.now().after(RETRY + RESPONSE_MARGIN) >= deadline {
            let message = "the store answers with an old state";
            return Err(unavailable(node, &table.into(), message));
        }
        node.timer.sleep(RETRY).await;
    }
}

/// Returns whether the job is known to be stored or, if the store does not answer by `deadline`, may
/// be.
pub(crate) async fn may_be_stored(node: &Node, id: &str, deadline: Millis) -> bool {
    let table = record::job_table(id);
    let read = read_row(node, &table, id, deadline);
    let limit = deadline.since(node.timer.now());
    !matches!(node.timer.timeout(limit, read).await, Some(Ok(None)))
}

fn not_found_error() -> Error {
    Error::new(Kind::Gone, "there is no such job")
}

async fn stored_state(node: &Node, id: &str, deadline: Millis) -> Result<Option<State>> {
    let row = read_row(node, PROGRESS_TABLE, id, deadline).await?;
    let progress = row.and_then(|row| row.value);
    let progress = progress.map(|text| record::decode_progress(&text));
    let progress = progress.transpose()?;
    Ok(progress.map(|progress| progress.state()))
}

/// Returns the state of a job, or a [`Kind::Gone`] error if there is no such job.
pub(crate) async fn state(node: &Node, id: &str, deadline: Millis) -> Result<State> {
    let stored = stored_state(node, id, deadline).await?;
    if let Some(state) = stored {
        return Ok(state);
    }
    let row = read_row(node, &record::job_table(id), id, deadline)
        .await?
        .ok_or_else(not_found_error)?;
    match Tombstone::of(&row) {
        Some(Tombstone::Unsubmitted) => Err(not_found_error()),
        Some(Tombstone::Cancelled) => Ok(State::Cancelled),
        None => Ok(State::Queued),
    }
}

/// Stores the cancellation of a job and notifies the owner. Has no effect if it was cancelled
/// before.
///
/// Fails with [`Kind::Gone`] if there is no such job, once it is certain that a submission of it
/// which is stored later does not run, and with [`Kind::Overloaded`] if the client account `team`
/// has cancelled too many such jobs.
pub(crate) async fn cancel(
    node: &Arc<Node>,
    id: &str,
    team: Option<&Name>,
    deadline: Millis,
) -> Result<()> {
    let mut job = read_row(node, &record::job_table(id), id, deadline).await?;
    for _ in 0..MAX_ATTEMPTS {
        let Some(row) = job else {
            node.admission.admit_tombstone(team, node.timer.now())?;
            let value = Tombstone::Unsubmitted.value().to_owned();
            match replace_job_row(node, id, Version(0), value).await? {
                Ok(_) => return Err(not_found_error()),
                Err(found) => job = found.value.is_some().then_some(found),
            }
            continue;
        };
        return match Tombstone::of(&row) {
            Some(Tombstone::Unsubmitted) => Err(not_found_error()),
            Some(Tombstone::Cancelled) => Ok(()),
            None => cancel_stored(node, id, row.version).await,
        };
    }
    Err(contended(node, id))
}

/// Stores the cancellation of a job, whose row has `version`.
async fn cancel_stored(node: &Arc<Node>, id: &str, version: Version) -> Result<()> {
    let key = record::cancel_key(id);
    let checks = vec![job_row(id, id, version), job_row(id, &key, Version(0))];
    let put = Put {
        table: record::job_table(id),
        key,
        value: Some("{}".to_owned()),
    };
    // If a check fails, the job is cancelled already or has been removed.
    if let Written::Committed(version) = write(node, checks, put).await? {
        announce::send(node, id, version, None);
    }
    Ok(())
}

/// The number of jobs that have not begun, by queue.
type Counts = BTreeMap<Name, u64>;

/// The last counts that were read from the store, and when their read began.
#[derive(Debug, Default)]
pub(crate) struct CountCache(tokio::sync::Mutex<Option<(Millis, Counts)>>);

/// Returns the number of jobs of a queue that have not begun: from the engine if this VM is the
/// owner, from the owner's last heartbeat if it is recent, else from the store.
pub(crate) async fn count_unstarted(node: &Arc<Node>, queue: &Name) -> Result<u64> {
    let owned = node.owner().upgrade().and_then(|owner| owner.unstarted());
    let known = owned.or_else(|| {
        let now = node.timer.now();
        let view = node.view();
        let heartbeat = view.last_heartbeat.as_ref();
        heartbeat
            .filter(|received| now.since(received.received_at) < MAX_COUNT_AGE)
            .and_then(|received| received.heartbeat.unstarted.clone())
    });
    let counts = match known {
        Some(counts) => counts,
        None => count_stored(node).await?,
    };
    Ok(counts.get(queue).copied().unwrap_or(0))
}

/// Counts the jobs without progress or cancellation in the store. Includes jobs that have begun but
/// have no progress stored yet.
///
/// All requests that come during a read share it, since it takes all jobs.
async fn count_stored(node: &Node) -> Result<Counts> {
    let mut cache = node.count_cache.0.lock().await;
    let begun_at = node.timer.now();
    if let Some((at, counts)) = &*cache
        && begun_at.since(*at) < MAX_COUNT_AGE
    {
        return Ok(counts.clone());
    }
    let (job_tables, progress_table) = (record::job_tables(), [PROGRESS_TABLE.into()]);
    let (jobs, progress) = tokio::join!(
        feed::read_all(node, &job_tables),
        feed::read_all(node, &progress_table),
    );
    let failed = |error: Error| unavailable(node, &PROGRESS_TABLE.into(), &error.message);
    let (jobs, _) = jobs.map_err(failed)?;
    let (progress, _) = progress.map_err(failed)?;
    let begun = progress.iter().map(|row| row.key.as_str());
    let cancelled = jobs
        .iter()
        .filter_map(|row| record::cancelled_job(&row.key));
    let begun_or_cancelled: HashSet<&str> = begun.chain(cancelled).collect();
    let unstarted = jobs
        .iter()
        .filter(|row| !begun_or_cancelled.contains(row.key.as_str()))
        .filter(|row| record::cancelled_job(&row.key).is_none());
    let mut counts = Counts::new();
    for row in unstarted.filter(|row| Tombstone::of(row).is_none()) {
        if let Some(accepted) = record::decode_row::<Accepted>(&node.log, row) {
            *counts.entry(accepted.queue).or_default() += 1;
        }
    }
    *cache = Some((begun_at, counts.clone()));
    Ok(counts)
}
