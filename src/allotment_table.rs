//! The rows of pools and allotments, and the transactions that change them together.

use std::time::Duration;

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Epoch,
        Name,
        Shard,
        Version, //
    },
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_platform::table::{
    Precondition,
    Put,
    Query,
    Row,
    Service,
    Transaction, //
};
use basilbridge_scheduler::limit::Pool;
use rand::Rng;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    journal::Ownership,
    session, //
};

/// The table of pools, by team.
pub const POOLS_TABLE: &str = "limits";

/// The table of allotments, by shard and team.
pub const ALLOTMENTS_TABLE: &str = "allotments";

/// How long a VM that finds a pool changed waits at most before its next try, at first.
const FIRST_BACKOFF: Duration = Duration::from_millis(40);

/// How long it waits at most in the end.
const LAST_BACKOFF: Duration = Duration::from_secs(5);

/// How often the pool of an allotment is read although nobody is known to want more.
const LONGEST_READ_INTERVAL: Duration = Duration::from_secs(30);

/// The most rows that one read returns.
pub(crate) const ROWS_PER_READ: u32 = 1000;

/// A claim on a shard, which tells two times of ownership apart.
pub(crate) type Term = (Shard, Epoch);

/// What a write changes for one shard.
pub(crate) struct Part {
    pub(crate) ownership: Ownership,
    /// The allotment after the write.
    pub(crate) held: Resources,
    pub(crate) granted: Resources,
    pub(crate) returned: Resources,
}

impl Part {
    pub(crate) fn term(&self) -> Term {
        (self.ownership.shard.clone(), self.ownership.epoch)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.granted == Resources::default() && self.returned == Resources::default()
    }
}

/// What a write changes for one team.
pub(crate) struct Move {
    pub(crate) team: Name,
    /// The version that the pool's row must have.
    pub(crate) version: Version,
    pub(crate) pool: Pool,
    pub(crate) parts: Vec<Part>,
}

/// A write whose outcome is not known yet.
pub(crate) struct Draft {
    pub(crate) transaction: Transaction,
    pub(crate) moves: Vec<Move>,
    /// Whether an earlier try may have taken effect.
    pub(crate) was_in_doubt: bool,
    pub(crate) not_before: Millis,
}

impl Draft {
    /// Makes the write that changes pools and allotments together.
    ///
    /// It holds only while this VM owns all of the shards, so a later owner can rely on the rows
    /// that it reads after its claim.
    pub(crate) fn new(write_id: String, moves: Vec<Move>) -> Result<Self> {
        let mut checks = Vec::new();
        let mut puts = Vec::new();
        for change in &moves {
            checks.push(Precondition {
                table: POOLS_TABLE.into(),
                key: change.team.to_string(),
                version: change.version,
            });
            puts.push(put(
                POOLS_TABLE,
                change.team.to_string(),
                Some(&change.pool),
            )?);
            for part in &change.parts {
                let shard = &part.ownership.shard;
                checks.push(Precondition {
                    table: session::SHARDS_TABLE.into(),
                    key: shard.to_string(),
                    version: part.ownership.version,
                });
                let kept = part.held != Resources::default();
                let key = format!("{shard}/{}", change.team);
                puts.push(put(ALLOTMENTS_TABLE, key, kept.then_some(&part.held))?);
            }
        }
        checks.sort_by(|a, b| (&a.table, &a.key).cmp(&(&b.table, &b.key)));
        checks.dedup();
        Ok(Self {
            transaction: Transaction {
                write_id,
                checks,
                puts,
            },
            moves,
            was_in_doubt: false,
            not_before: Millis::default(),
        })
    }

    pub(crate) fn parts(&self) -> impl Iterator<Item = (&Name, &Part)> {
        let moves = self.moves.iter();
        moves.flat_map(|change| change.parts.iter().map(|part| (&change.team, part)))
    }
}

fn put<T: Serialize>(table: &str, key: String, value: Option<&T>) -> Result<Put> {
    Ok(Put {
        table: table.into(),
        key,
        value: value.map(write).transpose()?,
    })
}

/// What this VM knows of a team's pool.
#[derive(Default)]
pub(crate) struct Team {
    pub(crate) row: Pool,
    pub(crate) version: Version,
    /// When the row was last known to stand so.
    pub(crate) read: Option<Millis>,
    pub(crate) excess_since: Option<Millis>,
    /// Since when the pool has had too little for this VM.
    pub(crate) short_since: Option<Millis>,
    not_before: Millis,
    failures: u32,
}

impl Team {
    /// Takes the row as it stands.
    pub(crate) fn learn(&mut self, row: &Row, now: Millis) -> Result<()> {
        self.row = row.value.as_deref().map_or(Ok(Pool::default()), parse)?;
        self.version = row.version;
        self.read = Some(now);
        Ok(())
    }

    /// Takes note that there is no row, if none was ever read.
    pub(crate) fn missing(&mut self, now: Millis) {
        self.read.get_or_insert(now);
    }

    /// Takes the row that a write of ours has left.
    pub(crate) fn committed(&mut self, pool: Pool, version: Version, now: Millis) {
        self.row = pool;
        self.version = version;
        self.read = Some(now);
        self.failures = 0;
    }

    /// Says whether the row is to be read, as it is not known or may have changed to matter.
    pub(crate) fn is_stale(&self, now: Millis, interval: Duration) -> bool {
        let matters =
            self.short_since.is_some() || self.excess_since.is_some() || self.row.is_scarce();
        match self.read {
            Some(read) => {
                let age = now.since(read);
                age >= LONGEST_READ_INTERVAL || (matters && age >= interval)
            }
            None => true,
        }
    }

    /// Says whether the pool has had too little for a while.
    pub(crate) fn is_short(&self, now: Millis, least: Duration) -> bool {
        self.short_since
            .is_some_and(|since| now.since(since) >= least)
    }

    pub(crate) fn may_write(&self, now: Millis) -> bool {
        self.read.is_some() && self.not_before <= now
    }

    /// Puts the next write off, at random so that VMs which met once do not meet again.
    pub(crate) fn back_off(&mut self, now: Millis, random: &mut impl Rng) -> Millis {
        let most = FIRST_BACKOFF * (1 << self.failures.min(8));
        let most = most.min(LAST_BACKOFF).as_millis() as u64;
        self.failures += 1;
        self.not_before = now.after(Duration::from_millis(random.random_range(1..=most)));
        self.not_before
    }
}

/// Reads a page of all pools, from the first key after `after` on.
pub(crate) async fn read_pools(tables: &Service, after: Option<String>) -> Result<Vec<Row>> {
    tables
        .scan(Query {
            table: POOLS_TABLE.into(),
            prefix: String::new(),
            after,
            limit: ROWS_PER_READ,
        })
        .await
}

/// Reads the allotments of a shard.
pub async fn read_allotments(tables: &Service, shard: &Shard) -> Result<Vec<(Name, Resources)>> {
    let prefix = format!("{shard}/");
    let mut allotments = Vec::new();
    let mut after = None;
    loop {
        let rows = tables
            .scan(Query {
                table: ALLOTMENTS_TABLE.into(),
                prefix: prefix.clone(),
                after: after.clone(),
                limit: ROWS_PER_READ,
            })
            .await?;
        for row in &rows {
            let team = row.key.trim_start_matches(&prefix);
            let held = parse(row.value.as_deref().unwrap_or_default())?;
            allotments.push((team.into(), held));
        }
        if rows.len() < ROWS_PER_READ as usize {
            return Ok(allotments);
        }
        after = rows.last().map(|row| row.key.clone());
    }
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}

fn write<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}
