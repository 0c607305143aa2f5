//! The rows of pools and allotments in the table service, and the transactions that change them
//! together.

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

/// The name of the table of pools, keyed by team.
pub const POOLS_TABLE: &str = "limits";

/// The name of the table of allotments, keyed by shard and team.
pub const ALLOTMENTS_TABLE: &str = "allotments";

/// The maximum backoff after a first failed write. It doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(40);

/// The upper bound of the maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// The interval between reads of a pool that is not scarce and has no shortage or excess.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(30);

/// The maximum number of rows that one read returns.
pub(crate) const ROWS_PER_READ: u32 = 1000;

/// One term of ownership: a shard and the epoch of its owner.
pub(crate) type Term = (Shard, Epoch);

/// The transfer between a team's pool and its allotment in one shard.
pub(crate) struct ShardTransfer {
    pub(crate) ownership: Ownership,
    /// The allotment after the write.
    pub(crate) held: Resources,
    /// The amount that moves from the pool to the allotment.
    pub(crate) granted: Resources,
    /// The amount that moves from the allotment to the pool.
    pub(crate) returned: Resources,
}

impl ShardTransfer {
    pub(crate) fn term(&self) -> Term {
        (self.ownership.shard.clone(), self.ownership.epoch)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.granted == Resources::default() && self.returned == Resources::default()
    }
}

/// The change of one team's pool and the transfers to and from its allotments.
pub(crate) struct TeamTransfer {
    pub(crate) team: Name,
    /// The version that the pool's row must have for the write to take effect.
    pub(crate) version: Version,
    /// The pool after the write.
    pub(crate) pool: Pool,
    pub(crate) transfers: Vec<ShardTransfer>,
}

/// A write that has not been sent yet or whose outcome is unknown.
pub(crate) struct PendingWrite {
    pub(crate) transaction: Transaction,
    pub(crate) team_transfers: Vec<TeamTransfer>,
    /// Whether an earlier attempt may have taken effect.
    pub(crate) may_have_applied: bool,
    /// The time before which the write is not sent again.
    pub(crate) not_before: Millis,
}

impl PendingWrite {
    /// Creates a transaction that changes pools and allotments together.
    ///
    /// It takes effect only while this VM owns all of the shards, so that the rows that a later
    /// owner reads after its claim do not change any more. Returns an error if a value can't be
    /// serialized.
    pub(crate) fn new(write_id: String, team_transfers: Vec<TeamTransfer>) -> Result<Self> {
        let mut checks = Vec::new();
        let mut puts = Vec::new();
        for team_transfer in &team_transfers {
            checks.push(Precondition {
                table: POOLS_TABLE.into(),
                key: team_transfer.team.to_string(),
                version: team_transfer.version,
            });
            puts.push(put(
                POOLS_TABLE,
                team_transfer.team.to_string(),
                Some(&team_transfer.pool),
            )?);
            for transfer in &team_transfer.transfers {
                let shard = &transfer.ownership.shard;
                checks.push(Precondition {
                    table: session::SHARDS_TABLE.into(),
                    key: shard.to_string(),
                    version: transfer.ownership.version,
                });
                let kept = transfer.held != Resources::default();
                let key = format!("{shard}/{}", team_transfer.team);
                puts.push(put(ALLOTMENTS_TABLE, key, kept.then_some(&transfer.held))?);
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
            team_transfers,
            may_have_applied: false,
            not_before: Millis::default(),
        })
    }

    /// Returns the transfers of all teams, each with its team.
    pub(crate) fn transfers(&self) -> impl Iterator<Item = (&Name, &ShardTransfer)> {
        let team_transfers = self.team_transfers.iter();
        team_transfers.flat_map(|team| team.transfers.iter().map(|transfer| (&team.team, transfer)))
    }
}

fn put<T: Serialize>(table: &str, key: String, value: Option<&T>) -> Result<Put> {
    Ok(Put {
        table: table.into(),
        key,
        value: value.map(to_json).transpose()?,
    })
}

/// The last known state of a team's pool, and the backoff of writes to it.
#[derive(Default)]
pub(crate) struct CachedPool {
    pub(crate) row: Pool,
    /// The version of the row.
    pub(crate) version: Version,
    /// When the row was last read or written, `None` if it is unknown.
    pub(crate) read_at: Option<Millis>,
    /// Since when more than the limit has been granted.
    pub(crate) excess_since: Option<Millis>,
    /// Since when the pool can't grant a request of this VM.
    pub(crate) short_since: Option<Millis>,
    /// The time before which this VM does not write to the pool.
    not_before: Millis,
    /// The number of failed writes in a row.
    failures: u32,
}

impl CachedPool {
    /// Stores a row that was read. Returns an error if its value can't be parsed.
    pub(crate) fn update(&mut self, row: &Row, now: Millis) -> Result<()> {
        self.row = row
            .value
            .as_deref()
            .map_or(Ok(Pool::default()), from_json)?;
        self.version = row.version;
        self.read_at = Some(now);
        Ok(())
    }

    /// Records that there is no row, unless one was read before.
    pub(crate) fn mark_missing(&mut self, now: Millis) {
        self.read_at.get_or_insert(now);
    }

    /// Stores the row as a write of this VM left it.
    pub(crate) fn set_committed(&mut self, pool: Pool, version: Version, now: Millis) {
        self.row = pool;
        self.version = version;
        self.read_at = Some(now);
        self.failures = 0;
    }

    /// Returns whether the row must be read: it is unknown, or it was last read longer ago than
    /// `interval` while the pool is short, scarce or has an excess, or than [`MAX_READ_INTERVAL`]
    /// otherwise.
    pub(crate) fn is_stale(&self, now: Millis, interval: Duration) -> bool {
        let is_urgent =
            self.short_since.is_some() || self.excess_since.is_some() || self.row.is_scarce();
        match self.read_at {
            Some(read_at) => {
                let age = now.since(read_at);
                age >= MAX_READ_INTERVAL || (is_urgent && age >= interval)
            }
            None => true,
        }
    }

    /// Returns whether the pool could not grant a request for at least `min_duration`.
    pub(crate) fn is_short(&self, now: Millis, min_duration: Duration) -> bool {
        self.short_since
            .is_some_and(|since| now.since(since) >= min_duration)
    }

    /// Returns whether the row is known and no backoff is in progress.
    pub(crate) fn may_write(&self, now: Millis) -> bool {
        self.read_at.is_some() && self.not_before <= now
    }

    /// Delays the next write after a failure and returns the time until which it is delayed.
    ///
    /// The delay is random, so that VMs whose writes conflicted do not conflict again.
    pub(crate) fn back_off(&mut self, now: Millis, random: &mut impl Rng) -> Millis {
        let max_delay = FIRST_BACKOFF * (1 << self.failures.min(8));
        let max_delay = max_delay.min(MAX_BACKOFF).as_millis() as u64;
        self.failures += 1;
        self.not_before = now.after(Duration::from_millis(random.random_range(1..=max_delay)));
        self.not_before
    }
}

/// Reads a page of at most [`ROWS_PER_READ`] pools, beginning with the first key after `after`.
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

/// Reads the allotments of a shard: the teams that have one, and its size.
///
/// Returns an error if the table service fails or a row can't be parsed.
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
            let held = from_json(row.value.as_deref().unwrap_or_default())?;
            allotments.push((team.into(), held));
        }
        if rows.len() < ROWS_PER_READ as usize {
            return Ok(allotments);
        }
        after = rows.last().map(|row| row.key.clone());
    }
}

fn from_json<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}

fn to_json<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}
