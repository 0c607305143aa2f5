//! The journal of the shards that a VM owns.
//!
//! One writer serves all shards of a VM. Records that arrive during a write are batched into the
//! next one, whatever their shard, and the rate of writes stays within the VM's part of a budget
//! that the whole fleet shares. See `docs/design/journal.md`.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
    },
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
        Job,
        Shard,
        Version, //
    },
    timer,
    unit::Millis,
};
use basilbridge_derives::data;
use basilbridge_platform::{
    Platform,
    table::{
        Outcome,
        Precondition,
        Put,
        Row,
        Transaction, //
    },
};
use sha2::{
    Digest,
    Sha256, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};

pub use crate::record::{
    Accepted,
    Closed,
    Ended,
    Record,
    Started, //
};
use crate::snapshot;

/// The table of journal rows.
pub const TABLE: &str = "journal";

/// The table of idempotency keys.
pub const IDEMPOTENCY_TABLE: &str = "idempotency";

/// The maximum number of records in one write.
pub const MAX_RECORDS_PER_WRITE: usize = 256;

/// The maximum number of journal writes per second of all VMs together; the rest of the store's
/// write capacity is left to sessions and operators.
pub const WRITES_PER_SECOND: u32 = 180;

/// How long to wait before a write with unknown outcome is sent again.
const TRANSACT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

const QUEUE_LENGTH: usize = 4096;

/// The shard that a VM owns, and the epoch and row version that prove it.
#[derive(Debug, Clone)]
pub struct Ownership {
    /// The shard.
    pub shard: Shard,
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The version of the shard's row as written by the claim.
    pub version: Version,
}

/// The value of an idempotency row.
#[data]
struct IdempotencyRow {
    job: Job,
    /// The SHA-256 of the request in hexadecimal; distinguishes a repeated request from a different
    /// one with the same key.
    digest: String,
}

struct Append {
    journal: Journal,
    record: Record,
    /// The key and value of the row that makes an idempotency key unique for its team.
    idempotency: Option<(String, IdempotencyRow)>,
    reply: oneshot::Sender<Result<Option<Job>>>,
}

/// The journal of one shard under one owner; clones share their state.
#[derive(Clone)]
pub struct Journal {
    appends: mpsc::Sender<Append>,
    ownership: Arc<Ownership>,
    sequence: Arc<AtomicU64>,
    rows: Arc<AtomicU32>,
}

/// Opens the journals of a VM, which share one writer.
#[derive(Clone)]
pub struct Journals {
    appends: mpsc::Sender<Append>,
    vm_count: Arc<AtomicU32>,
}

/// Writes the journals of a VM.
pub struct Writer {
    platform: Platform,
    timer: timer::Service,
    queue: mpsc::Receiver<Append>,
    vm_count: Arc<AtomicU32>,
    next_write: Millis,
}

impl Journals {
    /// Creates the journals of a VM and their writer.
    pub fn new(platform: Platform, timer: timer::Service) -> (Self, Writer) {
        let (appends, queue) = mpsc::channel(QUEUE_LENGTH);
        let vm_count = Arc::new(AtomicU32::new(1));
        let writer = Writer {
            platform,
            timer,
            queue,
            vm_count: Arc::clone(&vm_count),
            next_write: Millis::default(),
        };
        (Self { appends, vm_count }, writer)
    }

    /// Opens the journal of a shard that was just claimed.
    pub fn open(&self, ownership: Ownership) -> Journal {
        Journal {
            appends: self.appends.clone(),
            ownership: Arc::new(ownership),
            sequence: Arc::default(),
            rows: Arc::default(),
        }
    }

    /// Sets how many VMs share the write budget.
    pub fn set_vms(&self, vms: usize) {
        self.vm_count.store(vms.max(1) as u32, Ordering::Relaxed);
    }
}

impl Journal {
    /// Appends a record; returns when it is durable.
    pub async fn append(&self, record: Record) -> Result<()> {
        self.send(record, None).await.map(|_| ())
    }

    /// Appends an accepted job, unless its idempotency key belongs to another job, which is
    /// returned.
    ///
    /// Fails with [`Kind::Conflict`] if the key was used for a different request.
    pub async fn accept(&self, accepted: Accepted) -> Result<Option<Job>> {
        let idempotency = accepted.request.idempotency_key.as_ref().map(|key| {
            let row = IdempotencyRow {
                job: accepted.job.clone(),
                digest: digest(&accepted),
            };
            (idempotency_row_key(&accepted.team, key), row)
        });
        self.send(Record::Accepted(Box::new(accepted)), idempotency)
            .await
    }

    /// Adds the number of rows that earlier owners left to the count of rows since the last
    /// snapshot.
    pub fn add_rows(&self, rows: usize) {
        self.rows.fetch_add(rows as u32, Ordering::Relaxed);
    }

    async fn send(
        &self,
        record: Record,
        idempotency: Option<(String, IdempotencyRow)>,
    ) -> Result<Option<Job>> {
        let (reply, outcome) = oneshot::channel();
        let append = Append {
            journal: self.clone(),
            record,
            idempotency,
            reply,
        };
        self.appends
            .send(append)
            .await
            .map_err(|_| Error::new(Kind::NotOwner, "the journal writer has stopped"))?;
        outcome
            .await
            .map_err(|_| Error::new(Kind::WriteUnknown, "the journal writer has stopped"))?
    }
}

/// The records of a write, grouped by shard and epoch.
type Groups<'a> = BTreeMap<(Shard, Epoch), (&'a Journal, Vec<&'a Record>)>;

impl Writer {
    /// Writes batches until all journals are dropped.
    pub async fn run(mut self) {
        let mut batch = Vec::new();
        while self
            .queue
            .recv_many(&mut batch, MAX_RECORDS_PER_WRITE)
            .await
            > 0
        {
            self.wait_for_budget().await;
            let remaining = MAX_RECORDS_PER_WRITE - batch.len();
            for _ in 0..remaining {
                let Ok(append) = self.queue.try_recv() else {
                    break;
                };
                batch.push(append);
            }
            self.flush(std::mem::take(&mut batch)).await;
        }
    }

    /// Waits until this VM's part of the write budget allows a write.
    async fn wait_for_budget(&mut self) {
        let vm_count = self.vm_count.load(Ordering::Relaxed);
        let interval = Duration::from_secs(1) * vm_count / WRITES_PER_SECOND;
        let now = self.timer.now();
        let wait = self.next_write.since(now);
        if !wait.is_zero() {
            self.timer.sleep(wait).await;
        }
        self.next_write = self.next_write.max(now).after(interval);
    }

    /// Writes a batch and replies to each append.
    async fn flush(&mut self, mut batch: Vec<Append>) {
        while !batch.is_empty() {
            let (first_uses, deferred) = split_duplicate_keys(batch);
            batch = first_uses;
            let journals: Vec<_> = batch.iter().map(|append| append.journal.clone()).collect();
            match self.transact_until_known(build_transaction(&batch)).await {
                Ok(Outcome::Committed(_)) => {
                    reply_all(batch, &Ok(None));
                    batch = Vec::new();
                }
                Ok(Outcome::Conflict(rows)) => batch = refuse_conflicts(batch, &rows),
                Err(error) => {
                    reply_all(batch, &Err(error));
                    batch = Vec::new();
                }
            }
            batch.extend(deferred);
            self.take_snapshots(&journals).await;
            if !batch.is_empty() {
                self.wait_for_budget().await;
            }
        }
    }

    /// Applies a transaction, repeating it until its outcome is known.
    async fn transact_until_known(&self, transaction: Transaction) -> Result<Outcome> {
        let mut outcome_unknown = false;
        loop {
            match self.platform.tables.transact(transaction.clone()).await {
                Err(error) if error.kind == Kind::WriteUnknown => outcome_unknown = true,
                Err(_) if outcome_unknown => {}
                result => return result,
            }
            self.timer.sleep(TRANSACT_RETRY_INTERVAL).await;
        }
    }

    /// Takes snapshots of the journals that have enough rows for one.
    async fn take_snapshots(&self, journals: &[Journal]) {
        for journal in journals {
            let rows = journal.rows.load(Ordering::Relaxed);
            if rows < snapshot::ROWS_PER_SNAPSHOT {
                continue;
            }
            journal.rows.store(0, Ordering::Relaxed);
            let now = self.timer.now();
            if snapshot::take(&self.platform, &journal.ownership, now)
                .await
                .is_err()
            {
                // The journal keeps its rows; the next attempt follows after half as many new rows.
                let rows = snapshot::ROWS_PER_SNAPSHOT / 2;
                journal.rows.store(rows, Ordering::Relaxed);
            }
        }
    }
}

/// Separates the appends whose idempotency key also occurs earlier in the batch; returns the others
/// first. A transaction can insert each key only once.
fn split_duplicate_keys(batch: Vec<Append>) -> (Vec<Append>, Vec<Append>) {
    let mut keys = BTreeSet::new();
    batch
        .into_iter()
        .partition(|append| match &append.idempotency {
            Some((key, _)) => keys.insert(key.clone()),
            None => true,
        })
}

fn build_transaction(batch: &[Append]) -> Transaction {
    let mut groups = Groups::new();
    for append in batch {
        let ownership = &append.journal.ownership;
        let group = groups
            .entry((ownership.shard.clone(), ownership.epoch))
            .or_insert((&append.journal, Vec::new()));
        group.1.push(&append.record);
    }
    let mut checks = Vec::new();
    let mut puts = Vec::new();
    let mut write_id = String::new();
    for ((shard, epoch), (journal, records)) in groups {
        let sequence = journal.sequence.fetch_add(1, Ordering::Relaxed);
        journal.rows.fetch_add(1, Ordering::Relaxed);
        let key = format!("{shard}/{:010}/{sequence:010}", epoch.0);
        if write_id.is_empty() {
            write_id.clone_from(&key);
        }
        checks.push(Precondition {
            table: crate::session::SHARDS_TABLE.into(),
            key: shard.to_string(),
            version: journal.ownership.version,
        });
        puts.push(Put {
            table: TABLE.into(),
            key,
            value: serde_json::to_string(&records).ok(),
        });
    }
    for (key, row) in batch
        .iter()
        .filter_map(|append| append.idempotency.as_ref())
    {
        checks.push(Precondition {
            table: IDEMPOTENCY_TABLE.into(),
            key: key.clone(),
            version: Version(0),
        });
        puts.push(Put {
            table: IDEMPOTENCY_TABLE.into(),
            key: key.clone(),
            value: serde_json::to_string(row).ok(),
        });
    }
    Transaction {
        write_id,
        checks,
        puts,
    }
}

/// Replies to the appends that caused a conflict and returns the others.
fn refuse_conflicts(batch: Vec<Append>, rows: &[Row]) -> Vec<Append> {
    let mut kept = Vec::new();
    for append in batch {
        let ownership = &append.journal.ownership;
        let shard = ownership.shard.to_string();
        // A VM that has lost a shard and claimed it again writes to the journals of both epochs.
        let moved = rows.iter().any(|row| {
            &*row.table == crate::session::SHARDS_TABLE
                && row.key == shard
                && row.version != ownership.version
        });
        let existing = append.idempotency.as_ref().and_then(|(key, wanted)| {
            let row = rows
                .iter()
                .find(|row| &*row.table == IDEMPOTENCY_TABLE && row.key == *key)?;
            Some(existing_job(row, wanted))
        });
        let result = match existing {
            _ if moved => Err(Error::new(
                Kind::NotOwner,
                "the shard has moved to another VM",
            )),
            Some(result) => result,
            None => {
                kept.push(append);
                continue;
            }
        };
        let _ = append.reply.send(result);
    }
    kept
}

/// Returns the job of an existing idempotency row, or an error if the row is for another request.
fn existing_job(row: &Row, wanted: &IdempotencyRow) -> Result<Option<Job>> {
    let text = row.value.as_deref().unwrap_or_default();
    let stored: IdempotencyRow = serde_json::from_str(text)
        .map_err(|error| Error::new(Kind::Internal, format!("{}: {error}", row.key)))?;
    if stored.digest != wanted.digest {
        let message = "the idempotency key was used for a different request";
        return Err(Error::new(Kind::Conflict, message));
    }
    Ok(Some(stored.job))
}

fn reply_all(batch: Vec<Append>, result: &Result<Option<Job>>) {
    for append in batch {
        let _ = append.reply.send(result.clone());
    }
}

fn digest(accepted: &Accepted) -> String {
    let text = serde_json::to_string(&accepted.request).unwrap_or_default();
    let hash = Sha256::digest(text.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the key of the row for a team's idempotency key.
pub fn idempotency_row_key(team: &str, key: &str) -> String {
    format!("{team}/{key}")
}

/// The writer of a VM's journals, which can be started once.
pub struct PendingWriter(Mutex<Option<Writer>>);

impl PendingWriter {
    /// Wraps a writer that is not running.
    pub fn new(writer: Writer) -> Self {
        Self(Mutex::new(Some(writer)))
    }

    /// Runs the writer; returns at once if it was started before.
    pub async fn run(&self) {
        let writer = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(writer) = writer {
            writer.run().await;
        }
    }
}
