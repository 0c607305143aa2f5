//! Sessions of entry VMs and their claims on shards.
//!
//! Whether a session lives is judged by each observer alone: it is dead when its row has not
//! changed for the session lease on the observer's own clock. A wrong judgement costs no
//! correctness, because workers refuse the lower epoch. See `docs/design/ownership.md`.

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

/// How many leases the row of a dead session stays.
const LEASES_UNTIL_REMOVAL: u32 = 20;

/// The most shards that one transaction claims or gives up.
pub const SHARDS_PER_WRITE: usize = 64;

const ROWS_PER_READ: u32 = 1000;

/// A session's row.
#[data]
pub struct Record {
    /// The session.
    pub session: Session,
    /// The name of the VM.
    pub name: Name,
    /// Where the other entry VMs reach it.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: Name,
    /// Grows with each renewal.
    pub renewals: u64,
    /// How long the session lives without being renewed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    pub lease: Duration,
    /// Whether the VM is about to end, and so takes no more shards.
    #[serde(default)]
    pub leaving: bool,
    /// The version of the configuration that the VM acts on.
    #[serde(default)]
    pub configuration: Version,
}

/// A shard's row.
#[data]
pub struct Claim {
    /// The session of the owner, or nothing after a hand-over.
    pub session: Option<Session>,
    /// The epoch of the owner.
    pub epoch: Epoch,
}

/// What the table service told about sessions and shards.
#[derive(Debug, Default)]
pub struct View {
    /// The sessions that live, by this VM's judgement.
    pub live: Vec<Record>,
    /// The shards that were ever claimed, with the versions of their rows.
    pub claims: BTreeMap<Shard, (Claim, Version)>,
    /// The sessions that have lived for at least a lease.
    pub stable: HashSet<Session>,
    /// The sessions that ended so long ago that their rows may go.
    pub dead: Vec<(Record, Version)>,
}

/// When a session's row was last seen to change.
#[derive(Debug, Clone, Copy)]
struct Seen {
    version: Version,
    first: Millis,
    changed: Millis,
}

/// Judges which sessions live.
#[derive(Debug, Default)]
pub struct Observer {
    seen: HashMap<Session, Seen>,
    last: Millis,
}

impl Observer {
    /// Reads all sessions and shards.
    ///
    /// `longest_gap` is the longest time between two readings that still lets the first be
    /// counted: after a longer one, such as an outage of the store, all sessions are given their
    /// whole lease again, because none of them could renew.
    pub async fn observe(
        &mut self,
        tables: &Service,
        now: Millis,
        longest_gap: Duration,
    ) -> Result<View> {
        let sessions: Vec<(Record, Version)> = read(tables, SESSIONS_TABLE).await?;
        if now.since(self.last) > longest_gap {
            for seen in self.seen.values_mut() {
                seen.changed = now;
            }
        }
        self.last = now;
        let mut view = View::default();
        let mut seen = HashMap::new();
        for (record, version) in sessions {
            let entry = self.look(&record, version, now);
            seen.insert(record.session, entry);
            let silence = now.since(entry.changed);
            if silence < record.lease {
                if now.since(entry.first) >= record.lease {
                    view.stable.insert(record.session);
                }
                view.live.push(record);
            } else if silence >= record.lease * LEASES_UNTIL_REMOVAL {
                view.dead.push((record, version));
            }
        }
        self.seen = seen;
        for row in scan(tables, SHARDS_TABLE).await? {
            let shard = row
                .key
                .parse()
                .map_err(|error| Error::new(Kind::Internal, format!("{error}")))?;
            view.claims.insert(shard, (parse(&row)?, row.version));
        }
        Ok(view)
    }

    fn look(&self, record: &Record, version: Version, now: Millis) -> Seen {
        match self.seen.get(&record.session) {
            Some(seen) if seen.version == version => *seen,
            Some(seen) => Seen {
                version,
                changed: now,
                ..*seen
            },
            None => Seen {
                version,
                first: now,
                changed: now,
            },
        }
    }
}

impl View {
    /// Returns the session that should own a shard: that with the highest hash among the live
    /// ones that stay, those of the shard's own data centre first.
    pub fn preferred_owner(&self, shard: &Shard) -> Option<Session> {
        self.live
            .iter()
            .filter(|record| !record.leaving)
            .max_by_key(|record| {
                let near = record.data_centre == shard.data_centre;
                (near, weight(record.session, shard))
            })
            .map(|record| record.session)
    }

    /// Says whether the owner of a shard lives.
    pub fn has_live_owner(&self, shard: &Shard) -> bool {
        self.claims.get(shard).is_some_and(|(claim, _)| {
            self.live
                .iter()
                .any(|record| Some(record.session) == claim.session)
        })
    }
}

fn weight(session: Session, shard: &Shard) -> u64 {
    let mut hasher = DefaultHasher::new();
    (session, shard).hash(&mut hasher);
    hasher.finish()
}

/// Writes a session's row, which must still have this version, and returns the new version.
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
            value: Some(write(record)?),
        }],
    };
    match tables.transact(transaction).await? {
        Outcome::Committed(version) => Ok(version),
        Outcome::Conflict(_) => Err(Error::new(Kind::Conflict, "the session was ended")),
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

/// Claims shards whose rows have not changed since they were read, all or none.
pub async fn claim(
    tables: &Service,
    session: Session,
    shards: &[(Shard, Option<(Claim, Version)>)],
) -> Result<Vec<Ownership>> {
    let mut titles: Vec<_> = shards
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
    if titles.is_empty() {
        return Ok(titles);
    }
    let write_id = format!("claim/{}/{}", session.0, fingerprint(&titles));
    match write_claims(tables, write_id, &titles, Some(session)).await? {
        Outcome::Committed(version) => {
            for title in &mut titles {
                title.version = version;
            }
            Ok(titles)
        }
        Outcome::Conflict(_) => Ok(Vec::new()),
    }
}

/// Gives up shards, so that others may claim them at once; all or none.
pub async fn release(tables: &Service, titles: &[Ownership]) -> Result<bool> {
    if titles.is_empty() {
        return Ok(true);
    }
    let write_id = format!("release/{}", fingerprint(titles));
    let outcome = write_claims(tables, write_id, titles, None).await?;
    Ok(matches!(outcome, Outcome::Committed(_)))
}

/// Names the shards and versions that a write is about.
fn fingerprint(titles: &[Ownership]) -> String {
    let mut hasher = Sha256::new();
    for title in titles {
        hasher.update(format!("{}@{};", title.shard, title.version.0));
    }
    let hash = hasher.finalize();
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

async fn write_claims(
    tables: &Service,
    write_id: String,
    titles: &[Ownership],
    session: Option<Session>,
) -> Result<Outcome> {
    let checks = titles.iter().map(|title| Precondition {
        table: SHARDS_TABLE.into(),
        key: title.shard.to_string(),
        version: title.version,
    });
    let mut puts = Vec::new();
    for title in titles {
        let claim = Claim {
            session,
            epoch: title.epoch,
        };
        puts.push(Put {
            table: SHARDS_TABLE.into(),
            key: title.shard.to_string(),
            value: Some(write(&claim)?),
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
        .map(|row| Ok((parse(row)?, row.version)))
        .collect()
}

fn parse<T: DeserializeOwned>(row: &Row) -> Result<T> {
    serde_json::from_str(row.value.as_deref().unwrap_or_default())
        .map_err(|error| Error::new(Kind::Internal, format!("{}: {error}", row.key)))
}

fn write<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}
