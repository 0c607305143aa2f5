//! A stand-in for the platform's table service, object store and VM list.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
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
        Name,
        Version, //
    },
    timer,
    unit::Millis,
};
use basilbridge_derives::data;
use basilbridge_platform::{
    Platform, object,
    table::{
        Outcome,
        Query,
        Row,
        Service,
        Transaction, //
    },
    vm::Vm,
};
use bytes::Bytes;
use futures_util::FutureExt;
use serde_with::DurationMilliSeconds;

/// The number of writes per second that the table service accepts, by the platform's specification.
pub const WRITES_PER_SECOND: u32 = 300;

/// The number of reads per second that the table service accepts, by the platform's specification.
pub const READS_PER_SECOND: u32 = 2000;

const SECOND: Duration = Duration::from_secs(1);

/// The faults and limits that the service simulates.
#[data]
#[serde(default)]
pub struct FaultSettings {
    /// The service refuses all calls.
    pub down: bool,
    /// The delay before each call, serialised in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// The number of next writes that are applied without a reply.
    pub lose_answers: u32,
    /// The number of writes that the service accepts per second.
    pub writes_per_second: u32,
    /// The number of reads that the service accepts per second.
    pub reads_per_second: u32,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            down: false,
            delay: Duration::ZERO,
            lose_answers: 0,
            writes_per_second: WRITES_PER_SECOND,
            reads_per_second: READS_PER_SECOND,
        }
    }
}

/// Counters of the service.
#[data]
#[derive(Copy, Eq, Default)]
pub struct Counts {
    /// Received transactions, including refused ones.
    pub writes: u64,
    /// Received scans, including refused ones.
    pub reads: u64,
    /// Calls that exceeded the limit per second.
    pub over_cap: u64,
    /// Stored rows.
    pub rows: u64,
    /// Bytes of stored keys and values.
    pub bytes: u64,
}

#[derive(Default)]
struct RateWindow {
    start: Millis,
    calls: u32,
}

impl RateWindow {
    fn admit(&mut self, now: Millis, limit: u32) -> bool {
        if now.since(self.start) >= SECOND {
            *self = Self {
                start: now,
                calls: 0,
            };
        }
        self.calls += 1;
        self.calls <= limit
    }
}

struct StoredRow {
    version: Version,
    value: String,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(Name, String), StoredRow>,
    last_version: u64,
    outcomes: HashMap<String, Outcome>,
    objects: HashMap<String, Bytes>,
    vms: Vec<Vm>,
    faults: FaultSettings,
    counts: Counts,
    writes: RateWindow,
    reads: RateWindow,
}

/// An in-memory service. Clones refer to the same service.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    timer: timer::Service,
}

impl Store {
    /// Creates an empty service.
    pub fn new(timer: timer::Service) -> Self {
        Self {
            state: Arc::default(),
            timer,
        }
    }

    /// Returns the timer service of the stand-in.
    pub fn timer(&self) -> timer::Service {
        self.timer.clone()
    }

    /// Sets the faults and limits that the service simulates.
    pub fn set_faults(&self, faults: FaultSettings) {
        self.lock().faults = faults;
    }

    /// Returns the faults and limits that the service simulates.
    pub fn faults(&self) -> FaultSettings {
        self.lock().faults.clone()
    }

    /// Returns the counters of the service.
    pub fn counts(&self) -> Counts {
        let state = self.lock();
        let mut counts = state.counts;
        counts.rows = state.rows.len() as u64;
        counts.bytes = state
            .rows
            .iter()
            .map(|((_, key), stored)| (key.len() + stored.value.len()) as u64)
            .sum();
        counts
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms = vms;
    }

    /// Returns the list of VMs.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StoreUnavailable`] if the service is down.
    pub async fn vms(&self) -> Result<Vec<Vm>> {
        self.delay().await;
        let state = self.lock();
        if state.faults.down {
            return Err(unavailable());
        }
        Ok(state.vms.clone())
    }

    /// Applies a transaction; one that is sent again with the same write id gets the first outcome.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StoreUnavailable`] if the service is down or over its limit of writes, and
    /// [`Kind::WriteUnknown`] if the reply is lost.
    pub async fn transact(&self, transaction: Transaction) -> Result<Outcome> {
        self.delay().await;
        let now = self.timer.now();
        let mut state = self.lock();
        state.counts.writes += 1;
        if state.faults.down {
            return Err(unavailable());
        }
        let limit = state.faults.writes_per_second;
        if !state.writes.admit(now, limit) {
            state.counts.over_cap += 1;
            return Err(unavailable().with_retry_after(SECOND));
        }
        let outcome = state.apply(transaction);
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Err(Error::new(Kind::WriteUnknown, "the reply was lost"));
        }
        Ok(outcome)
    }

    /// Returns the rows that match a query, sorted by key.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StoreUnavailable`] if the service is down or over its limit of reads.
    pub async fn scan(&self, query: Query) -> Result<Vec<Row>> {
        self.delay().await;
        let now = self.timer.now();
        let mut state = self.lock();
        state.counts.reads += 1;
        if state.faults.down {
            return Err(unavailable());
        }
        let limit = state.faults.reads_per_second;
        if !state.reads.admit(now, limit) {
            state.counts.over_cap += 1;
            return Err(unavailable().with_retry_after(SECOND));
        }
        Ok(state.scan(&query))
    }

    /// Stores an object.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StoreUnavailable`] if the service is down.
    pub async fn put(&self, key: String, body: Bytes) -> Result<()> {
        self.delay().await;
        let mut state = self.lock();
        if state.faults.down {
            return Err(unavailable());
        }
        state.objects.insert(key, body);
        Ok(())
    }

    /// Returns an object, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StoreUnavailable`] if the service is down.
    pub async fn get(&self, key: String) -> Result<Option<Bytes>> {
        self.delay().await;
        let state = self.lock();
        if state.faults.down {
            return Err(unavailable());
        }
        Ok(state.objects.get(&key).cloned())
    }

    /// Returns a client that calls the service within the process.
    pub fn platform(&self) -> Platform {
        let (writer, reader) = (self.clone(), self.clone());
        let (putter, getter) = (self.clone(), self.clone());
        let lister = self.clone();
        Platform {
            tables: Service::new(
                Arc::new(move |transaction| {
                    let store = writer.clone();
                    async move { store.transact(transaction).await }.boxed()
                }),
                Arc::new(move |query| {
                    let store = reader.clone();
                    async move { store.scan(query).await }.boxed()
                }),
            ),
            objects: object::Store::new(
                Arc::new(move |key, body| {
                    let store = putter.clone();
                    async move { store.put(key, body).await }.boxed()
                }),
                Arc::new(move |key| {
                    let store = getter.clone();
                    async move { store.get(key).await }.boxed()
                }),
            ),
            vms: Arc::new(move || {
                let store = lister.clone();
                async move { store.vms().await }.boxed()
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn delay(&self) {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            self.timer.sleep(delay).await;
        }
    }
}

impl State {
    fn apply(&mut self, transaction: Transaction) -> Outcome {
        if let Some(outcome) = self.outcomes.get(&transaction.write_id) {
            return outcome.clone();
        }
        let outcome = self.check_and_write(&transaction);
        self.outcomes.insert(transaction.write_id, outcome.clone());
        outcome
    }

    fn check_and_write(&mut self, transaction: &Transaction) -> Outcome {
        let conflicts: Vec<Row> = transaction
            .checks
            .iter()
            .map(|check| (self.row(&check.table, &check.key), check.version))
            .filter(|(row, expected)| row.version != *expected)
            .map(|(row, _)| row)
            .collect();
        if !conflicts.is_empty() {
            return Outcome::Conflict(conflicts);
        }
        self.last_version += 1;
        let version = Version(self.last_version);
        for put in &transaction.puts {
            let key = (put.table.clone(), put.key.clone());
            match &put.value {
                Some(value) => {
                    let value = value.clone();
                    self.rows.insert(key, StoredRow { version, value });
                }
                None => {
                    self.rows.remove(&key);
                }
            }
        }
        Outcome::Committed(version)
    }

    fn row(&self, table: &Name, key: &str) -> Row {
        let stored = self.rows.get(&(table.clone(), key.to_owned()));
        Row {
            table: table.clone(),
            key: key.to_owned(),
            version: stored.map_or(Version(0), |stored| stored.version),
            value: stored.map(|stored| stored.value.clone()),
        }
    }

    fn scan(&self, query: &Query) -> Vec<Row> {
        let after = query.after.as_deref().unwrap_or_default();
        let first = query.prefix.as_str().max(after).to_owned();
        self.rows
            .range((query.table.clone(), first)..)
            .take_while(|((table, key), _)| *table == query.table && key.starts_with(&query.prefix))
            .filter(|((_, key), _)| query.after.as_ref().is_none_or(|after| key > after))
            .take(query.limit as usize)
            .map(|((table, key), stored)| Row {
                table: table.clone(),
                key: key.clone(),
                version: stored.version,
                value: Some(stored.value.clone()),
            })
            .collect()
    }
}

fn unavailable() -> Error {
    Error::new(Kind::StoreUnavailable, "the platform's service is down")
}
