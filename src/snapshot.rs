//! Snapshots that cut the journal of a shard.
//!
//! A snapshot is the shortest list of records that says the same as the rows it stands for. It
//! is made from the rows themselves and not from an owner's memory, so that it can't differ from
//! what a replay would have given. See `docs/design/journal.md`.

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

/// The table that names the last snapshot of each shard.
pub const TABLE: &str = "snapshots";

/// How many rows of a shard's journal bring about a snapshot.
pub const ROWS_PER_SNAPSHOT: u32 = 256;

/// The most rows that one snapshot stands for.
const MAX_ROWS: usize = 1024;

/// How long a job that has ended can still be asked for, and its idempotency key holds.
pub const RETENTION: Duration = Duration::from_secs(600);

/// The most ended jobs that are kept of a shard, the latest first.
pub const MAX_ENDED_JOBS: usize = 10_000;

const ROWS_PER_READ: u32 = 1000;

/// What the platform keeps of a shard.
#[derive(Debug, Default)]
pub struct Contents {
    /// All records, the oldest first.
    pub records: Vec<Record>,
    /// The keys of the rows that no snapshot stands for.
    pub rows: Vec<String>,
    /// The version of the row that names the snapshot.
    version: Version,
}

/// Reads all records of a shard.
pub async fn read(platform: &Platform, shard: &Shard) -> Result<Contents> {
    let head = platform.tables.get(TABLE, &shard.to_string()).await?;
    let mut kept = Contents {
        version: head.version,
        ..Contents::default()
    };
    if let Some(object) = head.value {
        let body = platform.objects.get(object.clone()).await?;
        let missing = || Error::new(Kind::Internal, format!("object {object} is missing"));
        kept.records = parse(&object, &body.ok_or_else(missing)?)?;
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
            kept.records.append(&mut parse(&row.key, text.as_bytes())?);
            kept.rows.push(row.key);
        }
        if last {
            return Ok(kept);
        }
        after = kept.rows.last().cloned();
    }
}

/// Writes a snapshot and deletes the rows that it stands for, if the shard is still ours.
///
/// Only the shard's owner may call this, and not while it appends.
pub async fn take(platform: &Platform, title: &Ownership, now: Millis) -> Result<()> {
    let kept = read(platform, &title.shard).await?;
    let Some(last) = kept.rows.iter().take(MAX_ROWS).next_back().cloned() else {
        return Ok(());
    };
    if kept.rows.len() > MAX_ROWS {
        return Err(Error::new(Kind::TooLarge, "the journal has too many rows"));
    }
    let (records, forgotten) = compact(kept.records, now);
    let object = format!("journal/{last}/{}", title.epoch.0);
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
        key: title.shard.to_string(),
        value: Some(object.clone()),
    }];
    let rows = kept.rows.into_iter();
    puts.extend(rows.map(|key| delete(journal::TABLE, key)));
    let keys = forgotten.iter().filter_map(|accepted| {
        let key = accepted.request.idempotency_key.as_ref()?;
        Some(journal::unique_row(&accepted.team, key))
    });
    puts.extend(keys.map(|key| delete(journal::IDEMPOTENCY_TABLE, key)));
    let transaction = Transaction {
        write_id: format!("snapshot/{object}"),
        checks: vec![
            check(session::SHARDS_TABLE, &title.shard, title.version),
            check(TABLE, &title.shard, kept.version),
        ],
        puts,
    };
    match platform.tables.transact(transaction).await? {
        Outcome::Committed(_) => Ok(()),
        Outcome::Conflict(_) => Err(Error::new(Kind::NotOwner, "the shard has moved")),
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

/// All that is kept of one job.
#[derive(Default)]
struct History {
    accepted: Option<Accepted>,
    started: BTreeMap<Task, Started>,
    ended: BTreeMap<Task, Ended>,
    closed: Option<Closed>,
}

impl History {
    /// Returns when the job came to its end.
    fn end(&self) -> Option<Millis> {
        let count = self.accepted.as_ref()?.request.count as usize;
        let last = self.ended.values().map(|ended| ended.at).max();
        match &self.closed {
            Some(closed) => Some(last.unwrap_or_default().max(closed.at)),
            None => last.filter(|_| self.ended.len() >= count),
        }
    }

    fn records(self) -> impl Iterator<Item = Record> {
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

/// Drops what later records have overtaken; returns the rest and the jobs that are forgotten.
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
    let mut ends: Vec<_> = jobs.values().filter_map(History::end).collect();
    ends.sort();
    let surplus = ends.len().saturating_sub(MAX_ENDED_JOBS);
    let oldest = ends.get(surplus).copied().unwrap_or_default();
    let mut kept: Vec<_> = workers.into_values().map(Record::Joined).collect();
    let mut forgotten = Vec::new();
    for history in jobs.into_values() {
        let expired = history
            .end()
            .is_some_and(|end| end < oldest || now.since(end) >= RETENTION);
        match (expired, &history.accepted) {
            (true, Some(accepted)) => forgotten.push(accepted.clone()),
            (false, Some(_)) => kept.extend(history.records()),
            // A record without its job is left of one that was forgotten.
            (_, None) => {}
        }
    }
    (kept, forgotten)
}
