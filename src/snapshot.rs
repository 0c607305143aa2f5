//! Snapshots, which replace rows of a shard's journal.
//!
//! A snapshot is the shortest list of records with the same effect as the rows it replaces. It is
//! made from the rows themselves and not from an owner's memory, so that it can't differ from the
//! result of a replay. See `docs/design/journal.md`.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Job,
        Shard,
        Task,
        Version, //
    },
    unit::Millis,
};
use basilbridge_platform::{
    Platform,
    table::{
        Outcome,
        Precondition,
        Put,
        Query,
        Transaction, //
    },
};

use crate::{
    journal::{
        self,
        Ownership, //
    },
    record::{
        Accepted,
        Closed,
        Ended,
        Record,
        Started, //
    },
    session,
};

/// The table with the object name of each shard's latest snapshot.
pub const TABLE: &str = "snapshots";

/// The number of rows in a shard's journal that triggers a snapshot.
pub const ROWS_PER_SNAPSHOT: u32 = 256;

/// The maximum number of rows that one snapshot replaces.
const MAX_ROWS_PER_SNAPSHOT: usize = 1024;

/// How long the status of an ended job can be queried and its idempotency key is kept.
pub const RETENTION: Duration = Duration::from_secs(600);

/// The maximum number of ended jobs kept per shard; the most recent ones are kept.
pub const MAX_ENDED_JOBS: usize = 10_000;

const ROWS_PER_READ: u32 = 1000;

/// The stored journal of a shard.
#[derive(Debug, Default)]
pub struct Contents {
    /// All records, the oldest first, those of the snapshot included.
    pub records: Vec<Record>,
    /// The keys of the rows that the snapshot doesn't include.
    pub rows: Vec<String>,
    /// The version of the row with the snapshot's object name.
    version: Version,
}

/// Reads the snapshot and the journal rows of a shard.
pub async fn read(platform: &Platform, shard: &Shard) -> Result<Contents> {
    let head = platform.tables.get(TABLE, &shard.to_string()).await?;
    let mut contents = Contents {
        version: head.version,
        ..Contents::default()
    };
    if let Some(object) = head.value {
        let body = platform.objects.get(object.clone()).await?;
        let missing = || {
            Error::new(
                Kind::Internal,
                format!("snapshot object {object} is missing"),
            )
        };
        contents.records = parse(&object, &body.ok_or_else(missing)?)?;
    }
    let mut after = None;
    loop {
        let query = Query {
            table: journal::TABLE.into(),
            prefix: format!("{shard}/"),
            after,
            limit: ROWS_PER_READ,
        };
        let rows = platform.tables.scan(query).await?;
        let last = rows.len() < ROWS_PER_READ as usize;
        for row in rows {
            let text = row.value.as_deref().unwrap_or("[]");
            contents
                .records
                .append(&mut parse(&row.key, text.as_bytes())?);
            contents.rows.push(row.key);
        }
        if last {
            return Ok(contents);
        }
        after = contents.rows.last().cloned();
    }
}

/// Writes a snapshot and deletes the rows that it replaces, if this VM still owns the shard.
///
/// Only the shard's owner may call this, and not during an append. Fails with [`Kind::NotOwner`] if
/// the shard has moved, and with [`Kind::TooLarge`] if the journal has too many rows.
pub async fn take(platform: &Platform, ownership: &Ownership, now: Millis) -> Result<()> {
    let contents = read(platform, &ownership.shard).await?;
    let Some(last) = contents
        .rows
        .iter()
        .take(MAX_ROWS_PER_SNAPSHOT)
        .next_back()
        .cloned()
    else {
        return Ok(());
    };
    if contents.rows.len() > MAX_ROWS_PER_SNAPSHOT {
        return Err(Error::new(
            Kind::TooLarge,
            "the journal has too many rows for one snapshot",
        ));
    }
    let (records, dropped) = compact(contents.records, now);
    let object = format!("journal/{last}/{}", ownership.epoch.0);
    let body = serde_json::to_vec(&records)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    platform.objects.put(object.clone(), body.into()).await?;
    let delete = |table: &str, key: String| Put {
        table: table.into(),
        key,
        value: None,
    };
    let mut puts = vec![Put {
        table: TABLE.into(),
        key: ownership.shard.to_string(),
        value: Some(object.clone()),
    }];
    let rows = contents.rows.into_iter();
    puts.extend(rows.map(|key| delete(journal::TABLE, key)));
    let keys = dropped.iter().filter_map(|accepted| {
        let key = accepted.request.idempotency_key.as_ref()?;
        Some(journal::idempotency_row_key(&accepted.team, key))
    });
    puts.extend(keys.map(|key| delete(journal::IDEMPOTENCY_TABLE, key)));
    let transaction = Transaction {
        write_id: format!("snapshot/{object}"),
        checks: vec![
            check(session::SHARDS_TABLE, &ownership.shard, ownership.version),
            check(TABLE, &ownership.shard, contents.version),
        ],
        puts,
    };
    match platform.tables.transact(transaction).await? {
        Outcome::Committed(_) => Ok(()),
        Outcome::Conflict(_) => Err(Error::new(
            Kind::NotOwner,
            "the shard has moved to another VM",
        )),
    }
}

fn check(table: &str, shard: &Shard, version: Version) -> Precondition {
    Precondition {
        table: table.into(),
        key: shard.to_string(),
        version,
    }
}

fn parse(name: &str, text: &[u8]) -> Result<Vec<Record>> {
    serde_json::from_slice(text)
        .map_err(|error| Error::new(Kind::Internal, format!("{name}: {error}")))
}

/// The records of one job.
#[derive(Default)]
struct History {
    accepted: Option<Accepted>,
    started: BTreeMap<Task, Started>,
    ended: BTreeMap<Task, Ended>,
    closed: Option<Closed>,
}

impl History {
    /// Returns the latest recorded end of the job and its tasks; `None` while the job runs.
    fn ended_at(&self) -> Option<Millis> {
        let count = self.accepted.as_ref()?.request.count as usize;
        let last = self.ended.values().map(|ended| ended.at).max();
        match &self.closed {
            Some(closed) => Some(last.unwrap_or_default().max(closed.at)),
            None => last.filter(|_| self.ended.len() >= count),
        }
    }

    fn into_records(self) -> impl Iterator<Item = Record> {
        let accepted = self
            .accepted
            .map(|accepted| Record::Accepted(accepted.into()));
        let ended = self.ended;
        let started: Vec<_> = self
            .started
            .into_values()
            .filter(|started| !ended.contains_key(&started.task))
            .map(Record::Started)
            .collect();
        accepted
            .into_iter()
            .chain(started)
            .chain(ended.into_values().map(Record::Ended))
            .chain(self.closed.map(Record::Closed))
    }
}

/// Drops superseded records and the records of ended jobs that are past their retention or exceed
/// their maximum number; returns the remaining records and the dropped jobs.
pub fn compact(records: Vec<Record>, now: Millis) -> (Vec<Record>, Vec<Accepted>) {
    let mut jobs: BTreeMap<Job, History> = BTreeMap::new();
    let mut workers = BTreeMap::new();
    for record in records {
        match record {
            Record::Accepted(accepted) => {
                let history = jobs.entry(accepted.job.clone()).or_default();
                history.accepted = Some(*accepted);
            }
            Record::Started(started) => {
                let history = jobs.entry(started.task.job.clone()).or_default();
                history.started.insert(started.task.clone(), started);
            }
            Record::Ended(ended) => {
                let history = jobs.entry(ended.task.job.clone()).or_default();
                history.ended.entry(ended.task.clone()).or_insert(ended);
            }
            Record::Closed(closed) => {
                let history = jobs.entry(closed.job.clone()).or_default();
                history.closed.get_or_insert(closed);
            }
            Record::Joined(worker) => {
                workers.insert(worker.name.clone(), worker);
            }
            Record::Left(name) => {
                workers.remove(&name);
            }
        }
    }
    let mut ends: Vec<_> = jobs.values().filter_map(History::ended_at).collect();
    ends.sort();
    let surplus = ends.len().saturating_sub(MAX_ENDED_JOBS);
    let cutoff = ends.get(surplus).copied().unwrap_or_default();
    let mut retained: Vec<_> = workers.into_values().map(Record::Joined).collect();
    let mut dropped = Vec::new();
    for history in jobs.into_values() {
        let expired = history
            .ended_at()
            .is_some_and(|end| end < cutoff || now.since(end) >= RETENTION);
        match (expired, &history.accepted) {
            (true, Some(accepted)) => dropped.push(accepted.clone()),
            (false, Some(_)) => retained.extend(history.into_records()),
            // Records without an accepted job belong to one that was dropped earlier.
            (_, None) => {}
        }
    }
    (retained, dropped)
}
