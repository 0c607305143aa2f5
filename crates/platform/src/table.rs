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

/// The maximum number of attempts of a write whose outcome is unknown, all with the same id.
pub const MAX_WRITE_ATTEMPTS: u32 = 3;

/// The version that a transaction requires of a row; zero requires that the row does not exist.
#[data]
pub struct Precondition {
    /// The table.
    pub table: Name,
    /// The key of the row.
    pub key: String,
    /// The required version.
    pub version: Version,
}

/// A row that a transaction writes or deletes.
#[data]
pub struct Put {
    /// The table.
    pub table: Name,
    /// The key of the row.
    pub key: String,
    /// The new value, or `None` to delete the row.
    pub value: Option<String>,
}

/// Changes of rows that are applied atomically if all preconditions hold.
#[data]
pub struct Transaction {
    /// The id of this write; the service answers a repeated id with the outcome of the first.
    pub write_id: String,
    /// The preconditions.
    pub checks: Vec<Precondition>,
    /// The changes.
    pub puts: Vec<Put>,
}

/// The outcome of a transaction.
#[data]
pub enum Outcome {
    /// The transaction was applied; each row written has this version.
    Committed(Version),
    /// A precondition did not hold and nothing changed; these are the current rows.
    Conflict(Vec<Row>),
}

/// The current state of a row.
#[data]
pub struct Row {
    /// The table.
    pub table: Name,
    /// The key of the row.
    pub key: String,
    /// The version, which is zero if the row does not exist.
    pub version: Version,
    /// The value, or `None` if the row does not exist.
    pub value: Option<String>,
}

/// Selects the rows to read.
#[data]
pub struct Query {
    /// The table.
    pub table: Name,
    /// The prefix of the keys.
    pub prefix: String,
    /// The key after which the result starts; rows are returned in the order of their keys.
    #[serde(default)]
    pub after: Option<String>,
    /// The maximum number of rows to return.
    pub limit: u32,
}

type Transact = Arc<dyn Fn(Transaction) -> BoxFuture<'static, Result<Outcome>> + Send + Sync>;
type Scan = Arc<dyn Fn(Query) -> BoxFuture<'static, Result<Vec<Row>>> + Send + Sync>;

/// The table service, as a closure for each of its two calls.
///
/// A call that fails with [`Kind::WriteUnknown`] may have been applied; one that fails with any
/// other kind was not.
#[derive(Clone)]
pub struct Service {
    transact: Transact,
    scan: Scan,
}

impl Service {
    /// Creates a service from its two calls.
    pub fn new(transact: Transact, scan: Scan) -> Self {
        Self { transact, scan }
    }

    /// Applies `transaction`.
    ///
    /// If the outcome is unknown, the transaction is sent again with the same id, up to
    /// [`MAX_WRITE_ATTEMPTS`] times in all.
    pub async fn transact(&self, transaction: Transaction) -> Result<Outcome> {
        let mut result = (self.transact)(transaction.clone()).await;
        for _ in 1..MAX_WRITE_ATTEMPTS {
            match &result {
                Err(error) if error.kind == Kind::WriteUnknown => {}
                _ => return result,
            }
            let retried = (self.transact)(transaction.clone()).await;
            // An error of a later attempt does not tell the outcome of the first one.
            if retried.is_ok() {
                result = retried;
            }
        }
        result
    }

    /// Returns the rows that match `query`, in the order of their keys.
    pub async fn scan(&self, query: Query) -> Result<Vec<Row>> {
        (self.scan)(query).await.map_err(|error| match error.kind {
            // A read changes nothing, so a lost response has no unknown outcome.
            Kind::WriteUnknown => Error::new(Kind::StoreUnavailable, error.message),
            _ => error,
        })
    }

    /// Returns one row, with version zero if it does not exist.
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
