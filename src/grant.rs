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
    Check,
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
    journal::Title,
    session, //
};

/// The table of pools, by team.
pub const POOLS_TABLE: &str = "limits";

/// The table of allotments, by shard and team.
pub const TABLE: &str = "allotments";

/// How long a VM that finds a pool changed waits at most before its next try, at first.
const FIRST_BACKOFF: Duration = Duration::from_millis(40);

/// How long it waits at most in the end.
const LAST_BACKOFF: Duration = Duration::from_secs(5);

const ROWS_PER_READ: u32 = 1000;

/// A claim on a shard, which tells two times of ownership apart.
pub(crate) type Tenure = (Shard, Epoch);

/// What a write changes for one shard.
pub(crate) struct Part {
    pub(crate) title: Title,
    /// The allotment after the write.
    pub(crate) held: Resources,
    pub(crate) granted: Resources,
    pub(crate) returned: Resources,
}

impl Part {
    pub(crate) fn tenure(&self) -> Tenure {
        (self.title.shard.clone(), self.title.epoch)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.granted == Resources::default() && self.returned == Resources::default()
    }
}

/// A write whose outcome is not known yet.
pub(crate) struct Draft {
    pub(crate) team: Name,
    pub(crate) transaction: Transaction,
    pub(crate) pool: Pool,
    pub(crate) parts: Vec<Part>,
    /// Whether an earlier try may have taken effect.
    pub(crate) was_in_doubt: bool,
}

impl Draft {
    /// Makes the write that changes a pool and allotments together.
    ///
    /// It holds only while this VM owns all of the shards, so a later owner can rely on the rows
    /// that it reads after its claim.
    pub(crate) fn new(
        write_id: String,
        team: Name,
        version: Version,
        pool: Pool,
        parts: Vec<Part>,
    ) -> Result<Self> {
        let mut checks = vec![Check {
            table: POOLS_TABLE.into(),
            key: team.to_string(),
            version,
        }];
        let mut puts = vec![Put {
            table: POOLS_TABLE.into(),
            key: team.to_string(),
            value: Some(write(&pool)?),
        }];
        for part in &parts {
            checks.push(Check {
                table: session::SHARDS_TABLE.into(),
                key: part.title.shard.to_string(),
                version: part.title.version,
            });
            let kept = part.held != Resources::default();
            puts.push(Put {
                table: TABLE.into(),
                key: format!("{}/{team}", part.title.shard),
                value: kept.then(|| write(&part.held)).transpose()?,
            });
        }
        Ok(Self {
            team,
            transaction: Transaction {
                write_id,
                checks,
                puts,
            },
            pool,
            parts,
            was_in_doubt: false,
        })
    }
}

/// What this VM knows of a team's pool.
#[derive(Default)]
pub(crate) struct Team {
    pub(crate) row: Pool,
    pub(crate) version: Version,
    /// When the row was last known to stand so.
    pub(crate) read: Option<Millis>,
    pub(crate) in_doubt: Option<Draft>,
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
            Some(read) => matters && now.since(read) >= interval,
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
    pub(crate) fn back_off(&mut self, now: Millis, random: &mut impl Rng) {
        let most = FIRST_BACKOFF * (1 << self.failures.min(8));
        let most = most.min(LAST_BACKOFF).as_millis() as u64;
        self.failures += 1;
        self.not_before = now.after(Duration::from_millis(random.random_range(1..=most)));
    }
}

/// Reads the allotments of a shard.
pub async fn read(tables: &Service, shard: &Shard) -> Result<Vec<(Name, Resources)>> {
    let prefix = format!("{shard}/");
    let mut allotments = Vec::new();
    let mut after = None;
    loop {
        let rows = tables
            .scan(Query {
                table: TABLE.into(),
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
