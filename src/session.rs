//! Sessions of entry VMs and their claims on shards.
//!
//! Each observer decides for itself whether a session is live: it is dead when its row has not
//! changed for the session lease on the observer's own clock. A wrong decision doesn't affect
//! correctness, because workers reject the lower epoch. See `docs/design/ownership.md`.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet,
        hash_map::DefaultHasher, //
    },
    hash::{
        Hash,
        Hasher, //
    },
    net::SocketAddr,
    time::Duration,
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Epoch,
        Name,
        Session,
        Shard,
        Version, //
    },
    unit::Millis,
};
use basilbridge_derives::data;
use basilbridge_platform::table::{
    Outcome,
    Precondition,
    Put,
    Query,
    Row,
    Service,
    Transaction, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use serde_with::DurationMilliSeconds;
use sha2::{
    Digest,
    Sha256, //
};

use crate::journal::Ownership;

/// The table of sessions.
pub const SESSIONS_TABLE: &str = "sessions";

/// The table of shards.
pub const SHARDS_TABLE: &str = "shards";

/// How many leases the row of a dead session is kept.
const LEASES_UNTIL_REMOVAL: u32 = 20;

/// The maximum number of shards that one transaction claims or releases.
pub const SHARDS_PER_WRITE: usize = 64;

const ROWS_PER_READ: u32 = 1000;

/// The value of a session's row.
#[data]
pub struct Record {
    /// The session.
    pub session: Session,
    /// The name of the VM.
    pub name: Name,
    /// The address at which the other entry VMs reach this VM.
    pub address: SocketAddr,
    /// The data centre of the VM.
    pub data_centre: Name,
    /// The number of renewals so far.
    pub renewals: u64,
    /// How long the session stays live without a renewal.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    pub lease: Duration,
    /// Whether the VM is shutting down and takes no more shards.
    #[serde(default)]
    pub leaving: bool,
    /// The version of the configuration that the VM applies.
    #[serde(default)]
    pub configuration: Version,
}

/// The value of a shard's row.
#[data]
pub struct Claim {
    /// The session of the owner; `None` after the shard was released.
    pub session: Option<Session>,
    /// The epoch of the owner.
    pub epoch: Epoch,
}

/// The sessions and shards as read from the table service.
#[derive(Debug, Default)]
pub struct View {
    /// The sessions that are live by this VM's clock.
    pub live: Vec<Record>,
    /// All shards that were ever claimed, with the versions of their rows.
    pub claims: BTreeMap<Shard, (Claim, Version)>,
    /// The live sessions that were first seen at least a lease ago.
    pub stable: HashSet<Session>,
    /// The sessions that ended so long ago that their rows may be deleted.
    pub dead: Vec<(Record, Version)>,
}

/// The last observed version of a session's row, and when the row was first seen and last changed.
#[derive(Debug, Clone, Copy)]
struct Observation {
    version: Version,
    first_seen: Millis,
    last_changed: Millis,
}

/// Decides which sessions are live.
#[derive(Debug, Default)]
pub struct Observer {
    observations: HashMap<Session, Observation>,
    last_read: Millis,
}

impl Observer {
    /// Reads all sessions and shards.
    ///
    /// `max_gap` is the maximum time between two reads for which earlier observations stay valid.
    /// After a longer gap, such as an outage of the store, every session gets its whole lease
    /// again, because none of them could renew.
    pub async fn observe(
        &mut self,
        tables: &Service,
        now: Millis,
        max_gap: Duration,
    ) -> Result<View> {
        let sessions: Vec<(Record, Version)> = read(tables, SESSIONS_TABLE).await?;
        if now.since(self.last_read) > max_gap {
            for seen in self.observations.values_mut() {
                seen.last_changed = now;
            }
        }
        self.last_read = now;
        let mut view = View::default();
        let mut observations = HashMap::new();
        for (record, version) in sessions {
            let entry = self.observation(&record, version, now);
            observations.insert(record.session, entry);
            let unchanged_for = now.since(entry.last_changed);
            if unchanged_for < record.lease {
                if now.since(entry.first_seen) >= record.lease {
                    view.stable.insert(record.session);
                }
                view.live.push(record);
            } else if unchanged_for >= record.lease * LEASES_UNTIL_REMOVAL {
                view.dead.push((record, version));
            }
        }
        self.observations = observations;
        for row in scan(tables, SHARDS_TABLE).await? {
            let shard = row
                .key
                .parse()
                .map_err(|error| Error::new(Kind::Internal, format!("{error}")))?;
            view.claims.insert(shard, (from_json(&row)?, row.version));
        }
        Ok(view)
    }

    fn observation(&self, record: &Record, version: Version, now: Millis) -> Observation {
        match self.observations.get(&record.session) {
            Some(seen) if seen.version == version => *seen,
            Some(seen) => Observation {
                version,
                last_changed: now,
                ..*seen
            },
            None => Observation {
                version,
                first_seen: now,
                last_changed: now,
            },
        }
    }
}

impl View {
    /// Returns the session that should own a shard: the one with the highest rendezvous hash among
    /// the live sessions that aren't leaving, with those of the shard's data centre preferred.
    pub fn preferred_owner(&self, shard: &Shard) -> Option<Session> {
        self.live
            .iter()
            .filter(|record| !record.leaving)
            .max_by_key(|record| {
                let same_data_centre = record.data_centre == shard.data_centre;
                (same_data_centre, rendezvous_hash(record.session, shard))
            })
            .map(|record| record.session)
    }

    /// Returns whether the session of a shard's owner is live.
    pub fn has_live_owner(&self, shard: &Shard) -> bool {
        self.claims.get(shard).is_some_and(|(claim, _)| {
            self.live
                .iter()
                .any(|record| Some(record.session) == claim.session)
        })
    }
}

fn rendezvous_hash(session: Session, shard: &Shard) -> u64 {
    let mut hasher = DefaultHasher::new();
    (session, shard).hash(&mut hasher);
    hasher.finish()
}

/// Writes a session's row if it still has this version, and returns the new version.
///
/// Fails with [`Kind::Conflict`] if the row has another version or was removed.
pub async fn renew(tables: &Service, record: &Record, version: Version) -> Result<Version> {
    let key = format!("{:020}", record.session.0);
    let transaction = Transaction {
        write_id: format!("session/{key}/{}", record.renewals),
        checks: vec![Precondition {
            table: SESSIONS_TABLE.into(),
            key: key.clone(),
            version,
        }],
        puts: vec![Put {
            table: SESSIONS_TABLE.into(),
            key,
            value: Some(to_json(record)?),
        }],
    };
    match tables.transact(transaction).await? {
        Outcome::Committed(version) => Ok(version),
        Outcome::Conflict(_) => Err(Error::new(
            Kind::Conflict,
            "the row of the session was changed or removed",
        )),
    }
}

/// Deletes the row of a session that ended long ago.
pub async fn remove(tables: &Service, record: &Record, version: Version) -> Result<()> {
    let key = format!("{:020}", record.session.0);
    let transaction = Transaction {
        write_id: format!("session/{key}/removed/{}", version.0),
        checks: vec![Precondition {
            table: SESSIONS_TABLE.into(),
            key: key.clone(),
            version,
        }],
        puts: vec![Put {
            table: SESSIONS_TABLE.into(),
            key,
            value: None,
        }],
    };
    tables.transact(transaction).await.map(|_| ())
}

/// Claims shards whose rows have not changed since they were read; claims all or none and returns
/// those claimed.
pub async fn claim(
    tables: &Service,
    session: Session,
    shards: &[(Shard, Option<(Claim, Version)>)],
) -> Result<Vec<Ownership>> {
    let mut ownerships: Vec<_> = shards
        .iter()
        .map(|(shard, known)| Ownership {
            shard: shard.clone(),
            epoch: known
                .as_ref()
                .map_or(Epoch(0), |(claim, _)| claim.epoch)
                .next(),
            version: known.as_ref().map_or(Version(0), |(_, version)| *version),
        })
        .collect();
    if ownerships.is_empty() {
        return Ok(ownerships);
    }
    let write_id = format!("claim/{}/{}", session.0, fingerprint(&ownerships));
    match write_claims(tables, write_id, &ownerships, Some(session)).await? {
        Outcome::Committed(version) => {
            for ownership in &mut ownerships {
                ownership.version = version;
            }
            Ok(ownerships)
        }
        Outcome::Conflict(_) => Ok(Vec::new()),
    }
}

/// Releases shards, so that other VMs may claim them at once; returns false and releases none if a
/// row has changed.
pub async fn release(tables: &Service, ownerships: &[Ownership]) -> Result<bool> {
    if ownerships.is_empty() {
        return Ok(true);
    }
    let write_id = format!("release/{}", fingerprint(ownerships));
    let outcome = write_claims(tables, write_id, ownerships, None).await?;
    Ok(matches!(outcome, Outcome::Committed(_)))
}

/// Returns the SHA-256, in hexadecimal, of the shards and versions that a write concerns.
fn fingerprint(ownerships: &[Ownership]) -> String {
    let mut hasher = Sha256::new();
    for ownership in ownerships {
        hasher.update(format!("{}@{};", ownership.shard, ownership.version.0));
    }
    let hash = hasher.finalize();
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

async fn write_claims(
    tables: &Service,
    write_id: String,
    ownerships: &[Ownership],
    session: Option<Session>,
) -> Result<Outcome> {
    let checks = ownerships.iter().map(|ownership| Precondition {
        table: SHARDS_TABLE.into(),
        key: ownership.shard.to_string(),
        version: ownership.version,
    });
    let mut puts = Vec::new();
    for ownership in ownerships {
        let claim = Claim {
            session,
            epoch: ownership.epoch,
        };
        puts.push(Put {
            table: SHARDS_TABLE.into(),
            key: ownership.shard.to_string(),
            value: Some(to_json(&claim)?),
        });
    }
    let transaction = Transaction {
        write_id,
        checks: checks.collect(),
        puts,
    };
    tables.transact(transaction).await
}

async fn scan(tables: &Service, table: &str) -> Result<Vec<Row>> {
    let mut all: Vec<Row> = Vec::new();
    loop {
        let mut rows = tables
            .scan(Query {
                table: table.into(),
                prefix: String::new(),
                after: all.last().map(|row| row.key.clone()),
                limit: ROWS_PER_READ,
            })
            .await?;
        let last = rows.len() < ROWS_PER_READ as usize;
        all.append(&mut rows);
        if last {
            return Ok(all);
        }
    }
}

async fn read<T: DeserializeOwned>(tables: &Service, table: &str) -> Result<Vec<(T, Version)>> {
    let rows = scan(tables, table).await?;
    rows.iter()
        .map(|row| Ok((from_json(row)?, row.version)))
        .collect()
}

fn from_json<T: DeserializeOwned>(row: &Row) -> Result<T> {
    serde_json::from_str(row.value.as_deref().unwrap_or_default())
        .map_err(|error| Error::new(Kind::Internal, format!("{}: {error}", row.key)))
}

fn to_json<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}
