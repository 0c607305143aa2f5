//! The configuration that this VM acts on.

use std::sync::{
    Arc,
    PoisonError,
    RwLock, //
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
};
use basilbridge_operators::{
    configuration::Configuration,
    key::Hash, //
};
use basilbridge_platform::table::{
    Check,
    Outcome,
    Put,
    Row,
    Service,
    Transaction, //
};

/// The table of the configuration.
pub const TABLE: &str = "configuration";

/// The key of the configuration's row.
pub const KEY: &str = "current";

/// The configuration that this VM acts on; its version only grows.
pub struct Settings {
    current: RwLock<Arc<Configuration>>,
    bootstrap_key: Option<Hash>,
}

impl Settings {
    /// Starts without any team.
    pub fn new(bootstrap_key: Option<Hash>) -> Self {
        Self {
            current: RwLock::default(),
            bootstrap_key,
        }
    }

    /// Returns the configuration.
    pub fn current(&self) -> Arc<Configuration> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Takes a configuration, unless it is older than the present one.
    pub fn offer(&self, offered: Configuration) {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if offered.version > current.version {
            *current = Arc::new(offered);
        }
    }

    /// Reads the configuration from the table service.
    pub async fn refresh(&self, tables: &Service) -> Result<()> {
        let row = tables.get(TABLE, KEY).await?;
        if row.version > self.current().version {
            self.offer(parse(&row)?);
        }
        Ok(())
    }

    /// Replaces the configuration if it still has the version that `next` was made from.
    pub async fn replace(
        &self,
        tables: &Service,
        write_id: String,
        next: Configuration,
    ) -> Result<Configuration> {
        let value = serde_json::to_string(&next)
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        let transaction = Transaction {
            write_id,
            checks: vec![Check {
                table: TABLE.into(),
                key: KEY.to_owned(),
                version: next.version,
            }],
            puts: vec![Put {
                table: TABLE.into(),
                key: KEY.to_owned(),
                value: Some(value),
            }],
        };
        match tables.transact(transaction).await? {
            Outcome::Committed(version) => {
                let next = Configuration { version, ..next };
                self.offer(next.clone());
                Ok(next)
            }
            Outcome::Conflict(rows) => {
                let version = rows.first().map_or(Version(0), |row| row.version);
                let message = format!("the configuration now has version {}", version.0);
                Err(Error::new(Kind::Conflict, message))
            }
        }
    }

    /// Returns the team that work in `queue` with this key is for.
    pub fn team(&self, queue: &str, key: Option<&str>) -> Result<Name> {
        let current = self.current();
        let queue = current
            .queue(queue)
            .ok_or_else(|| Error::new(Kind::NotFound, format!("there is no queue `{queue}`")))?;
        match (key, &queue.open_for) {
            (Some(key), _) => team_of_key(&current, key),
            (None, Some(team)) => Ok(team.clone()),
            (None, None) => Err(unauthorized("the queue takes no work without a key")),
        }
    }

    /// Returns the team of a key, for a request that concerns a job.
    pub fn team_of_key(&self, key: Option<&str>) -> Result<Name> {
        let key = key.ok_or_else(|| unauthorized("the request has no key"))?;
        team_of_key(&self.current(), key)
    }

    /// Says whether a key is an operator's.
    pub fn authorize_operator(&self, key: Option<&str>) -> Result<()> {
        let key = key.ok_or_else(|| unauthorized("the request has no key"))?;
        let current = self.current();
        let bootstrap = self
            .bootstrap_key
            .as_ref()
            .filter(|_| current.operator_keys.is_empty())
            .is_some_and(|hash| hash.matches(&Hash::of(key)));
        if bootstrap || current.is_operator_key(key) {
            Ok(())
        } else {
            Err(unauthorized("the key is not an operator's"))
        }
    }
}

fn team_of_key(current: &Configuration, key: &str) -> Result<Name> {
    current
        .team_of_key(key)
        .map(|team| team.name.clone())
        .ok_or_else(|| unauthorized("the key is wrong or withdrawn"))
}

fn unauthorized(message: &str) -> Error {
    Error::new(Kind::Unauthorized, message)
}

fn parse(row: &Row) -> Result<Configuration> {
    let text = row.value.as_deref().unwrap_or("{}");
    let configuration: Configuration = serde_json::from_str(text)
        .map_err(|error| Error::new(Kind::Internal, format!("the configuration: {error}")))?;
    Ok(Configuration {
        version: row.version,
        ..configuration
    })
}
