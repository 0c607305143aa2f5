//! Sessions of entry VMs and their claims on shards.
//!
//! Whether a session lives is judged by each observer alone: it is dead when its row has not
//! changed for the session lease on the observer's own clock. A wrong judgement costs no
//! correctness, because workers refuse the lower epoch. See `docs/design/ownership.md`.

use std::{
    collections::{
        HashMap,
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
    Check,
    Outcome,
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

use crate::journal::Title;

/// The table of sessions.
pub const SESSIONS_TABLE: &str = "sessions";

/// The table of shards.
pub const SHARDS_TABLE: &str = "shards";

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
    /// The version of the configuration that the VM acts on.
    #[serde(default)]
    pub configuration: Version,
}

/// A shard's row.
#[data]
pub struct Claim {
    /// The session of the owner.
    pub session: Session,
    /// The epoch of the owner.
    pub epoch: Epoch,
}

/// What the table service told about sessions and shards.
#[derive(Debug, Default)]
pub struct View {
    /// The sessions that live, by this VM's judgement.
    pub live: Vec<Record>,
    /// The shards that were ever claimed, with the versions of their rows.
    pub claims: HashMap<Shard, (Claim, Version)>,
}

/// Judges which sessions live.
#[derive(Debug, Default)]
pub struct Observer {
    seen: HashMap<Session, (Version, Millis)>,
}

impl Observer {
    /// Reads all sessions and shards.
    pub async fn observe(
        &mut self,
        tables: &Service,
        now: Millis,
        lease: Duration,
    ) -> Result<View> {
        let sessions: Vec<(Record, Version)> = read(tables, SESSIONS_TABLE).await?;
        let mut live = Vec::new();
        for (record, version) in sessions {
            let entry = self.seen.entry(record.session).or_insert((version, now));
            if entry.0 != version {
                *entry = (version, now);
            }
            if now.since(entry.1) < lease {
                live.push(record);
            }
        }
        let mut claims = HashMap::new();
        for row in scan(tables, SHARDS_TABLE).await? {
            let shard = row
                .key
                .parse()
                .map_err(|error| Error::new(Kind::Internal, format!("{error}")))?;
            claims.insert(shard, (parse(&row)?, row.version));
        }
        Ok(View { live, claims })
    }
}

impl View {
    /// Returns the session that should own a shard: that with the highest hash among the live
    /// ones, those of the shard's own data centre first.
    pub fn preferred(&self, shard: &Shard) -> Option<Session> {
        self.live
            .iter()
            .max_by_key(|record| {
                let near = record.data_centre == shard.data_centre;
                (near, weight(record.session, shard))
            })
            .map(|record| record.session)
    }

    /// Says whether the owner of a shard lives.
    pub fn is_owned(&self, shard: &Shard) -> bool {
        self.claims.get(shard).is_some_and(|(claim, _)| {
            self.live
                .iter()
                .any(|record| record.session == claim.session)
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
        checks: vec![Check {
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

/// Claims a shard whose row has not changed since it was read.
pub async fn claim(
    tables: &Service,
    session: Session,
    shard: &Shard,
    known: Option<&(Claim, Version)>,
) -> Result<Option<Title>> {
    let (epoch, version) = known.map_or((Epoch(0), Version(0)), |(claim, version)| {
        (claim.epoch, *version)
    });
    let epoch = epoch.next();
    let transaction = Transaction {
        write_id: format!("claim/{shard}/{}/{}", session.0, epoch.0),
        checks: vec![Check {
            table: SHARDS_TABLE.into(),
            key: shard.to_string(),
            version,
        }],
        puts: vec![Put {
            table: SHARDS_TABLE.into(),
            key: shard.to_string(),
            value: Some(write(&Claim { session, epoch })?),
        }],
    };
    match tables.transact(transaction).await? {
        Outcome::Committed(version) => Ok(Some(Title {
            shard: shard.clone(),
            epoch,
            version,
        })),
        Outcome::Conflict(_) => Ok(None),
    }
}

async fn scan(tables: &Service, table: &str) -> Result<Vec<Row>> {
    tables
        .scan(Query {
            table: table.into(),
            prefix: String::new(),
            after: None,
            limit: ROWS_PER_READ,
        })
        .await
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
