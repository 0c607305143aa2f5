//! The journal of a shard.
//!
//! Records that come in while a write is under way ride together in the next one, so that the
//! count of writes does not grow with the count of records. See `docs/design/journal.md`.

use std::time::Duration;

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Boot,
        Epoch,
        Job,
        Name,
        Shard,
        Task,
        Version, //
    },
    job::{
        Request,
        State, //
    },
    timer,
    unit::Millis,
};
use basilbridge_derives::data;
use basilbridge_platform::table::{
    Check,
    Outcome,
    Put,
    Query,
    Service,
    Transaction, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};

/// The table of journal rows.
pub const TABLE: &str = "journal";

/// The table of idempotency keys.
pub const IDEMPOTENCY_TABLE: &str = "idempotency";

/// The most records that one write carries.
pub const MAX_RECORDS_PER_WRITE: usize = 256;

/// How long to wait before a write whose outcome is not known is sent again.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

const QUEUE_LENGTH: usize = 4096;

const ROWS_PER_READ: u32 = 1000;

/// What is kept about the jobs of a shard.
#[data]
pub enum Record {
    /// A job was accepted.
    Accepted(Box<Accepted>),
    /// A task that must not be repeated is about to be sent to a worker.
    Started(Started),
    /// A task has ended.
    Ended(Ended),
    /// A job was cancelled.
    Cancelled(Job),
}

/// A job that was accepted.
#[data]
pub struct Accepted {
    /// The job.
    pub job: Job,
    /// The team that submitted it.
    pub team: Name,
    /// When it was accepted.
    pub at: Millis,
    /// What was asked for.
    pub request: Request,
}

/// A task that is about to be sent to a worker.
#[data]
pub struct Started {
    /// The task.
    pub task: Task,
    /// The worker.
    pub worker: Name,
    /// The boot of the worker.
    pub boot: Boot,
}

/// A task that has ended.
#[data]
pub struct Ended {
    /// The task.
    pub task: Task,
    /// How it ended.
    pub state: State,
    /// What the program returned.
    pub output: String,
}

struct Append {
    record: Record,
    /// The row that makes an idempotency key unique for its team.
    unique: Option<String>,
    done: oneshot::Sender<Result<()>>,
}

/// The journal of a shard under one owner; clones share it.
#[derive(Clone)]
pub struct Journal {
    appends: mpsc::Sender<Append>,
}

/// Which shard a journal is for and what proves that it is still ours.
#[derive(Debug, Clone)]
pub struct Title {
    /// The shard.
    pub shard: Shard,
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The version of the shard's row when it was claimed.
    pub version: Version,
}

impl Journal {
    /// Makes a journal and the future that writes it; the future ends with the last clone.
    pub fn new(
        tables: Service,
        timer: timer::Service,
        title: Title,
    ) -> (Self, impl Future<Output = ()> + Send) {
        let (appends, queue) = mpsc::channel(QUEUE_LENGTH);
        let writer = Writer {
            tables,
            timer,
            title,
            sequence: 0,
        };
        (Self { appends }, writer.run(queue))
    }

    /// Keeps a record; returns when it is durable.
    pub async fn append(&self, record: Record) -> Result<()> {
        self.append_unique(record, None).await
    }

    /// Keeps a record, if no other holds the idempotency row `unique`.
    pub async fn append_unique(&self, record: Record, unique: Option<String>) -> Result<()> {
        let stopped = || Error::new(Kind::WriteUnknown, "the journal has stopped");
        let (done, outcome) = oneshot::channel();
        let append = Append {
            record,
            unique,
            done,
        };
        self.appends
            .send(append)
            .await
            .map_err(|_| Error::new(Kind::NotOwner, "the journal has stopped"))?;
        outcome.await.map_err(|_| stopped())?
    }
}

struct Writer {
    tables: Service,
    timer: timer::Service,
    title: Title,
    sequence: u64,
}

impl Writer {
    async fn run(mut self, mut queue: mpsc::Receiver<Append>) {
        let mut batch = Vec::new();
        while queue.recv_many(&mut batch, MAX_RECORDS_PER_WRITE).await > 0 {
            self.flush(std::mem::take(&mut batch)).await;
        }
    }

    async fn flush(&mut self, mut batch: Vec<Append>) {
        while !batch.is_empty() {
            self.sequence += 1;
            let transaction = self.transaction(&batch);
            match self.settled(transaction).await {
                Ok(Outcome::Committed(_)) => {
                    for append in batch.drain(..) {
                        let _ = append.done.send(Ok(()));
                    }
                }
                Ok(Outcome::Conflict(rows)) => {
                    let held: Vec<_> = rows
                        .into_iter()
                        .filter(|row| &*row.table == IDEMPOTENCY_TABLE)
                        .collect();
                    if held.is_empty() {
                        refuse(
                            &mut batch,
                            &Error::new(Kind::NotOwner, "the shard has moved"),
                        );
                        return;
                    }
                    let (refused, kept) = batch.into_iter().partition(|append| {
                        held.iter()
                            .any(|row| append.unique.as_ref() == Some(&row.key))
                    });
                    batch = kept;
                    for append in refused {
                        let row = held
                            .iter()
                            .find(|row| append.unique.as_ref() == Some(&row.key));
                        let job = row.and_then(|row| row.value.clone()).unwrap_or_default();
                        let _ = append.done.send(Err(Error::new(Kind::Conflict, job)));
                    }
                }
                Err(error) => {
                    refuse(&mut batch, &error);
                    return;
                }
            }
        }
    }

    /// Applies a transaction and asks until its outcome is known.
    async fn settled(&self, transaction: Transaction) -> Result<Outcome> {
        let mut in_doubt = false;
        loop {
            match self.tables.transact(transaction.clone()).await {
                Err(error) if error.kind == Kind::WriteUnknown => in_doubt = true,
                Err(_) if in_doubt => {}
                result => return result,
            }
            self.timer.sleep(SETTLE_INTERVAL).await;
        }
    }

    fn transaction(&self, batch: &[Append]) -> Transaction {
        let Title {
            shard,
            epoch,
            version,
        } = &self.title;
        let key = format!("{shard}/{:010}/{:010}", epoch.0, self.sequence);
        let mut checks = vec![Check {
            table: crate::session::SHARDS_TABLE.into(),
            key: shard.to_string(),
            version: *version,
        }];
        let records: Vec<_> = batch.iter().map(|append| &append.record).collect();
        let mut puts = vec![Put {
            table: TABLE.into(),
            key: key.clone(),
            value: serde_json::to_string(&records).ok(),
        }];
        for append in batch {
            let (Some(unique), Record::Accepted(accepted)) = (&append.unique, &append.record)
            else {
                continue;
            };
            checks.push(Check {
                table: IDEMPOTENCY_TABLE.into(),
                key: unique.clone(),
                version: Version(0),
            });
            puts.push(Put {
                table: IDEMPOTENCY_TABLE.into(),
                key: unique.clone(),
                value: Some(accepted.job.to_string()),
            });
        }
        Transaction {
            write_id: key,
            checks,
            puts,
        }
    }
}

fn refuse(batch: &mut Vec<Append>, error: &Error) {
    for append in batch.drain(..) {
        let _ = append.done.send(Err(error.clone()));
    }
}

/// Reads all records of a shard, the oldest first.
pub async fn replay(tables: &Service, shard: &Shard) -> Result<Vec<Record>> {
    let mut records = Vec::new();
    let mut after = None;
    loop {
        let rows = tables
            .scan(Query {
                table: TABLE.into(),
                prefix: format!("{shard}/"),
                after: after.clone(),
                limit: ROWS_PER_READ,
            })
            .await?;
        for row in &rows {
            let text = row.value.as_deref().unwrap_or("[]");
            let mut batch: Vec<Record> = serde_json::from_str(text)
                .map_err(|error| Error::new(Kind::Internal, format!("{}: {error}", row.key)))?;
            records.append(&mut batch);
        }
        if rows.len() < ROWS_PER_READ as usize {
            return Ok(records);
        }
        after = rows.last().map(|row| row.key.clone());
    }
}

/// Returns the idempotency row of a team's key.
pub fn unique_row(team: &str, key: &str) -> String {
    format!("{team}/{key}")
}
