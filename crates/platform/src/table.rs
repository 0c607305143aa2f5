//! The transactional table service.

use std::sync::Arc;

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
use basilbridge_derives::data;
use futures_util::future::BoxFuture;

/// How often a write whose answer was lost is sent again with the same id.
pub const SETTLE_ATTEMPTS: u32 = 3;

/// A row that a transaction expects at a version; zero expects that there is no such row.
#[data]
pub struct Precondition {
    /// The table.
    pub table: Name,
    /// The key of the row.
    pub key: String,
    /// The version that the row must have.
    pub version: Version,
}

/// A row that a transaction writes, or deletes where there is no value.
#[data]
pub struct Put {
    /// The table.
    pub table: Name,
    /// The key of the row.
    pub key: String,
    /// The new value, or nothing to delete the row.
    pub value: Option<String>,
}

/// Rows that change together if all checks hold.
#[data]
pub struct Transaction {
    /// Names this write: the service answers a repeated id with the first outcome.
    pub write_id: String,
    /// What must hold.
    pub checks: Vec<Precondition>,
    /// What changes.
    pub puts: Vec<Put>,
}

/// What became of a transaction.
#[data]
pub enum Outcome {
    /// The transaction took effect; each row written has this version.
    Committed(Version),
    /// A check did not hold and nothing changed; these are the rows as they stand.
    Conflict(Vec<Row>),
}

/// A row as it stands.
#[data]
pub struct Row {
    /// The table.
    pub table: Name,
    /// The key of the row.
    pub key: String,
    /// The version, which is zero where there is no such row.
    pub version: Version,
    /// The value, or nothing where there is no such row.
    pub value: Option<String>,
}

/// Which rows to read.
#[data]
pub struct Query {
    /// The table.
    pub table: Name,
    /// The start of the keys.
    pub prefix: String,
    /// Rows are returned in the order of their keys, from the first key after this one.
    #[serde(default)]
    pub after: Option<String>,
    /// The most rows to return.
    pub limit: u32,
}

type Transact = Arc<dyn Fn(Transaction) -> BoxFuture<'static, Result<Outcome>> + Send + Sync>;
type Scan = Arc<dyn Fn(Query) -> BoxFuture<'static, Result<Vec<Row>>> + Send + Sync>;

/// The table service, by the two calls that it takes.
///
/// A call that fails with [`Kind::WriteUnknown`] may have taken effect; one that fails with any
/// other kind did not.
#[derive(Clone)]
pub struct Service {
    transact: Transact,
    scan: Scan,
}

impl Service {
    /// Makes a service of its two calls.
    pub fn new(transact: Transact, scan: Scan) -> Self {
        Self { transact, scan }
    }

    /// Applies `transaction`, and settles a lost answer by sending the same id again.
    pub async fn transact(&self, transaction: Transaction) -> Result<Outcome> {
        let mut result = (self.transact)(transaction.clone()).await;
        for _ in 1..SETTLE_ATTEMPTS {
            match &result {
                Err(error) if error.kind == Kind::WriteUnknown => {}
                _ => return result,
            }
            let again = (self.transact)(transaction.clone()).await;
            // A refusal of the second try says nothing about the first one.
            if again.is_ok() {
                result = again;
            }
        }
        result
    }

    /// Returns the rows that `query` asks for, in the order of their keys.
    pub async fn scan(&self, query: Query) -> Result<Vec<Row>> {
        (self.scan)(query).await.map_err(|error| match error.kind {
            // A read changes nothing, so a lost answer to it leaves no doubt.
            Kind::WriteUnknown => Error::new(Kind::StoreUnavailable, error.message),
            _ => error,
        })
    }

    /// Returns one row, with version zero where there is none.
    pub async fn get(&self, table: &str, key: &str) -> Result<Row> {
        let rows = self
            .scan(Query {
                table: table.into(),
                prefix: key.to_owned(),
                after: None,
                limit: 1,
            })
            .await?;
        Ok(rows
            .into_iter()
            .find(|row| row.key == key)
            .unwrap_or_else(|| Row {
                table: table.into(),
                key: key.to_owned(),
                version: Version(0),
                value: None,
            }))
    }
}
