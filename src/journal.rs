//! The journal of the shards that a VM owns.
//!
//! One writer serves all shards of a VM: records that come in while a write is under way ride
//! together in the next one, whatever their shard, and writes keep to the VM's part of a budget
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

/// The most records that one write carries.
pub const MAX_RECORDS_PER_WRITE: usize = 256;

/// The journal writes of all VMs together in a second; the rest is for sessions and operators.
pub const WRITES_PER_SECOND: u32 = 180;

/// How long to wait before a write whose outcome is not known is sent again.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

const QUEUE_LENGTH: usize = 4096;

/// Which shard a journal is for and what proves that it is still ours.
#[derive(Debug, Clone)]
pub struct Ownership {
    /// The shard.
    pub shard: Shard,
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The version of the shard's row when it was claimed.
    pub version: Version,
}

/// The value of an idempotency row.
#[data]
struct Unique {
    job: Job,
    /// Tells a repeated request from another one with the same key.
    digest: String,
}

struct Append {
    journal: Journal,
    record: Record,
    /// The row that makes an idempotency key unique for its team.
    unique: Option<(String, Unique)>,
    done: oneshot::Sender<Result<Option<Job>>>,
}

/// The journal of one shard under one owner; clones share it.
#[derive(Clone)]
pub struct Journal {
    appends: mpsc::Sender<Append>,
    ownership: Arc<Ownership>,
    sequence: Arc<AtomicU64>,
    rows: Arc<AtomicU32>,
}

/// All journals of a VM.
#[derive(Clone)]
pub struct Journals {
    appends: mpsc::Sender<Append>,
    vms: Arc<AtomicU32>,
}

/// Writes the journals of a VM.
pub struct Writer {
    platform: Platform,
    timer: timer::Service,
    queue: mpsc::Receiver<Append>,
    vms: Arc<AtomicU32>,
    next_write: Millis,
}

impl Journals {
    /// Makes the journals of a VM and their writer.
    pub fn new(platform: Platform, timer: timer::Service) -> (Self, Writer) {
        let (appends, queue) = mpsc::channel(QUEUE_LENGTH);
        let vms = Arc::new(AtomicU32::new(1));
        let writer = Writer {
            platform,
            timer,
            queue,
            vms: Arc::clone(&vms),
            next_write: Millis::default(),
        };
        (Self { appends, vms }, writer)
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

    /// Takes note of how many VMs share the budget of writes.
    pub fn set_vms(&self, vms: usize) {
        self.vms.store(vms.max(1) as u32, Ordering::Relaxed);
    }
}

impl Journal {
    /// Keeps a record; returns when it is durable.
    pub async fn append(&self, record: Record) -> Result<()> {
        self.send(record, None).await.map(|_| ())
    }

    /// Keeps an accepted job, unless its idempotency key is another job's, which is returned.
    pub async fn accept(&self, accepted: Accepted) -> Result<Option<Job>> {
        let unique = accepted.request.idempotency_key.as_ref().map(|key| {
            let unique = Unique {
                job: accepted.job.clone(),
                digest: digest(&accepted),
            };
            (unique_row(&accepted.team, key), unique)
        });
        self.send(Record::Accepted(Box::new(accepted)), unique)
            .await
    }

    /// Takes note of how many rows the last owner left.
    pub fn set_rows(&self, rows: usize) {
        self.rows.fetch_add(rows as u32, Ordering::Relaxed);
    }

    async fn send(&self, record: Record, unique: Option<(String, Unique)>) -> Result<Option<Job>> {
        let (done, outcome) = oneshot::channel();
        let append = Append {
            journal: self.clone(),
            record,
            unique,
            done,
        };
        self.appends
            .send(append)
            .await
            .map_err(|_| Error::new(Kind::NotOwner, "the journal has stopped"))?;
        outcome
            .await
            .map_err(|_| Error::new(Kind::WriteUnknown, "the journal has stopped"))?
    }
}

/// The shards that a write concerns, with the records of each.
type Groups<'a> = BTreeMap<(Shard, Epoch), (&'a Journal, Vec<&'a Record>)>;

impl Writer {
    /// Writes until the VM ends.
    pub async fn run(mut self) {
        let mut batch = Vec::new();
        while self
            .queue
            .recv_many(&mut batch, MAX_RECORDS_PER_WRITE)
            .await
            > 0
        {
            self.pace().await;
            let room = MAX_RECORDS_PER_WRITE - batch.len();
            for _ in 0..room {
                let Ok(append) = self.queue.try_recv() else {
                    break;
                };
                batch.push(append);
            }
            self.flush(std::mem::take(&mut batch)).await;
        }
    }

    /// Waits until this VM's part of the budget allows a write.
    async fn pace(&mut self) {
        let vms = self.vms.load(Ordering::Relaxed);
        let interval = Duration::from_secs(1) * vms / WRITES_PER_SECOND;
        let now = self.timer.now();
        let wait = self.next_write.since(now);
        if !wait.is_zero() {
            self.timer.sleep(wait).await;
        }
        self.next_write = self.next_write.max(now).after(interval);
    }

    async fn flush(&mut self, mut batch: Vec<Append>) {
        while !batch.is_empty() {
            let (first, repeated) = split_repeated(batch);
            batch = first;
            let journals: Vec<_> = batch.iter().map(|append| append.journal.clone()).collect();
            match self.settled(transaction(&batch)).await {
                Ok(Outcome::Committed(_)) => {
                    answer(batch, &Ok(None));
                    batch = Vec::new();
                }
                Ok(Outcome::Conflict(rows)) => batch = refuse_conflicts(batch, &rows),
                Err(error) => {
                    answer(batch, &Err(error));
                    batch = Vec::new();
                }
            }
            batch.extend(repeated);
            self.cut(&journals).await;
            if !batch.is_empty() {
                self.pace().await;
            }
        }
    }

    /// Applies a transaction and asks until its outcome is known.
    async fn settled(&self, transaction: Transaction) -> Result<Outcome> {
        let mut in_doubt = false;
        loop {
            match self.platform.tables.transact(transaction.clone()).await {
                Err(error) if error.kind == Kind::WriteUnknown => in_doubt = true,
                Err(_) if in_doubt => {}
                result => return result,
            }
            self.timer.sleep(SETTLE_INTERVAL).await;
        }
    }

    /// Cuts the journals that have grown long.
    async fn cut(&self, journals: &[Journal]) {
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
                // The journal stays longer for now; after half as many rows it is tried again.
                let rows = snapshot::ROWS_PER_SNAPSHOT / 2;
                journal.rows.store(rows, Ordering::Relaxed);
            }
        }
    }
}

/// Puts aside the appends whose idempotency key an earlier one of the same batch has.
fn split_repeated(batch: Vec<Append>) -> (Vec<Append>, Vec<Append>) {
    let mut keys = BTreeSet::new();
    batch.into_iter().partition(|append| match &append.unique {
        Some((key, _)) => keys.insert(key.clone()),
        None => true,
    })
}

fn transaction(batch: &[Append]) -> Transaction {
    let mut groups = Groups::new();
    for append in batch {
        let title = &append.journal.ownership;
        let group = groups
            .entry((title.shard.clone(), title.epoch))
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
    for (key, unique) in batch.iter().filter_map(|append| append.unique.as_ref()) {
        checks.push(Precondition {
            table: IDEMPOTENCY_TABLE.into(),
            key: key.clone(),
            version: Version(0),
        });
        puts.push(Put {
            table: IDEMPOTENCY_TABLE.into(),
            key: key.clone(),
            value: serde_json::to_string(unique).ok(),
        });
    }
    Transaction {
        write_id,
        checks,
        puts,
    }
}

/// Answers the appends that a conflict concerns and returns the others.
fn refuse_conflicts(batch: Vec<Append>, rows: &[Row]) -> Vec<Append> {
    let mut kept = Vec::new();
    for append in batch {
        let shard = append.journal.ownership.shard.to_string();
        let moved = rows
            .iter()
            .any(|row| &*row.table == crate::session::SHARDS_TABLE && row.key == shard);
        let held = append.unique.as_ref().and_then(|(key, unique)| {
            let row = rows
                .iter()
                .find(|row| &*row.table == IDEMPOTENCY_TABLE && row.key == *key)?;
            Some(held(row, unique))
        });
        let result = match held {
            _ if moved => Err(Error::new(Kind::NotOwner, "the shard has moved")),
            Some(result) => result,
            None => {
                kept.push(append);
                continue;
            }
        };
        let _ = append.done.send(result);
    }
    kept
}

fn held(row: &Row, wanted: &Unique) -> Result<Option<Job>> {
    let text = row.value.as_deref().unwrap_or_default();
    let unique: Unique = serde_json::from_str(text)
        .map_err(|error| Error::new(Kind::Internal, format!("{}: {error}", row.key)))?;
    if unique.digest != wanted.digest {
        let message = "the idempotency key was used for another request";
        return Err(Error::new(Kind::Conflict, message));
    }
    Ok(Some(unique.job))
}

fn answer(batch: Vec<Append>, result: &Result<Option<Job>>) {
    for append in batch {
        let _ = append.done.send(result.clone());
    }
}

fn digest(accepted: &Accepted) -> String {
    let text = serde_json::to_string(&accepted.request).unwrap_or_default();
    let hash = Sha256::digest(text.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the idempotency row of a team's key.
pub fn unique_row(team: &str, key: &str) -> String {
    format!("{team}/{key}")
}

/// The writer of a VM's journals until it is started.
pub struct PendingWriter(Mutex<Option<Writer>>);

impl PendingWriter {
    /// Keeps a writer.
    pub fn new(writer: Writer) -> Self {
        Self(Mutex::new(Some(writer)))
    }

    /// Runs the writer, if it has not been started before.
    pub async fn run(&self) {
        let writer = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(writer) = writer {
            writer.run().await;
        }
    }
}
