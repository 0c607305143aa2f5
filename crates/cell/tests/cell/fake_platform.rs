//! An in-memory platform: a store, workers and an advice service, with faults that a test sets.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use basilbridge_cell::{
    call_size,
    clients::{
        Clients,
        Formats,
        Page,
        Polled,
        Range,
        Store,
        Workers, //
    },
    config::NodeConfig,
    configuration::{
        Configuration,
        Limits,
        Route, //
    },
    profile::Profile,
    traffic::Traffic,
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
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_platform::table::{
    Outcome,
    Row,
    Transaction, //
};
use basilbridge_workflow::{
    advice_request::{
        AdviceReply,
        Approval, //
    },
    job::{
        Spec,
        Step,
        TaskId, //
    },
    order::{
        AdviceRequest,
        Poll,
        Start, //
    },
    policy::{
        AdviceSettings,
        Policy,
        Queue,
        Team, //
    },
    report::{
        self,
        Ended,
        Outcome as RunOutcome,
        Running,
        StartResult,
        StopResult,
        WorkerInfo, //
    },
};
use futures_util::FutureExt;
use serde_json::json;
use tokio::{
    sync::{
        Notify,
        watch, //
    },
    time::Instant, //
};

pub(crate) const KEY: &str = "key-of-binders";
pub(crate) const HOST: &str = "planner.example";
pub(crate) const PREFIX: &str = "/checks/";

/// The fault mode of the store towards one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum StoreMode {
    /// All calls are answered.
    #[default]
    Normal,
    /// All calls fail without effect.
    Unavailable,
    /// Writes take effect but their responses are lost, and feeds report no changes.
    DroppedResponses,
    /// Other VMs write between any two reads.
    Busy,
    /// Feeds never have the history that is asked for.
    NoHistory,
    /// Calls about tables whose name starts with this text fail; all others are answered.
    TableUnavailable(&'static str),
    /// All calls fail without effect, and feeds that are asked meanwhile are never answered.
    Silent,
    /// Writes to tables whose name starts with this text get no answer, and are carried out by
    /// [`FakePlatform::carry_out_late`].
    LateWrites(&'static str),
}

impl StoreMode {
    fn refuses_table(self, table: &Name) -> bool {
        matches!(self, Self::TableUnavailable(refused_table) if table.starts_with(refused_table))
    }

    fn is_unavailable(self) -> bool {
        matches!(self, Self::Unavailable | Self::Silent)
    }

    fn delays_writes_to(self, table: &Name) -> bool {
        matches!(self, Self::LateWrites(late_table) if table.starts_with(late_table))
    }
}

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(Name, String), (u64, String)>,
    history: Vec<Row>,
    compacted_version: u64,
    /// The number of reads, by VM and table.
    reads: BTreeMap<(Name, Name), u64>,
    read_delays: BTreeMap<Name, Duration>,
    mode: BTreeMap<Name, StoreMode>,
    /// Writes that are carried out late, in the order of their arrival.
    late: Vec<Transaction>,
}

#[derive(Debug)]
struct ActiveRun {
    run: u32,
    ends_at: Instant,
}

#[derive(Debug, Default)]
struct Worker {
    epoch: u64,
    running: BTreeMap<TaskId, ActiveRun>,
    ended: Vec<Ended>,
    number: u64,
    starts: Vec<TaskId>,
    stops: Vec<TaskId>,
}

/// The platform, shared by the VMs of a test.
#[derive(Clone)]
pub(crate) struct FakePlatform {
    rows: Arc<Mutex<Rows>>,
    changed: Arc<Notify>,
    workers: Arc<Mutex<BTreeMap<Name, Worker>>>,
    /// How long a task runs that starts now.
    run_time: Arc<Mutex<Duration>>,
    /// How long each tenth task runs instead, if that is set.
    tenth_run_time: Arc<Mutex<Option<Duration>>>,
    /// The size of a row in base64, and the length of the checkpoints that runs report, if they do.
    row_bytes: Arc<AtomicUsize>,
    checkpoint_length: Arc<AtomicUsize>,
    /// How many writes were refused since they were too large.
    refused_sizes: Arc<AtomicUsize>,
    /// How many more rows of workers make their decoder panic.
    panics: Arc<AtomicUsize>,
    /// Whether the advice service holds its answers back.
    advice_held: watch::Sender<bool>,
    /// The VMs that have called the advice service.
    advice_callers: Arc<Mutex<Vec<Name>>>,
    begun: Instant,
}

/// The version of the configuration with which jobs need advice.
const ADVISED_VERSION: u64 = 9;

/// How long each task runs, unless a test changes it.
const RUN_TIME: Duration = Duration::from_millis(120);

impl FakePlatform {
    /// Creates a platform with the named workers and a first configuration.
    pub(crate) fn new(workers: &[&str]) -> Self {
        let platform = Self {
            rows: Arc::default(),
            changed: Arc::default(),
            workers: Arc::default(),
            run_time: Arc::new(Mutex::new(RUN_TIME)),
            tenth_run_time: Arc::default(),
            row_bytes: Arc::new(AtomicUsize::new(NodeConfig::DEFAULT_ROW_BYTES)),
            checkpoint_length: Arc::default(),
            refused_sizes: Arc::default(),
            panics: Arc::default(),
            advice_held: watch::Sender::new(false),
            advice_callers: Arc::default(),
            begun: Instant::now(),
        };
        for name in workers {
            platform.add_worker(name);
        }
        platform.write("operator", "configuration", "2");
        platform
    }

    /// Adds a worker, which is listed at once.
    pub(crate) fn add_worker(&self, name: &str) {
        self.lock_workers().insert(name.into(), Worker::default());
        self.write("workers", name, "ready");
    }

    /// Writes a row as operators and workers do.
    pub(crate) fn write(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.lock();
        rows.version += 1;
        rows.put(table, key, Some(value.to_owned()));
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Removes a row as operators do.
    pub(crate) fn remove(&self, table: &str, key: &str) {
        let mut rows = self.lock();
        rows.version += 1;
        rows.put(table, key, None);
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Makes the decoder of the next row of a worker panic.
    pub(crate) fn panic_once(&self) {
        self.panics.store(1, Ordering::Relaxed);
    }

    /// Sets how long tasks run that start from now on.
    pub(crate) fn set_run_time(&self, run_time: Duration) {
        *self.run_time.lock().unwrap_or_else(PoisonError::into_inner) = run_time;
    }

    /// Sets how long each tenth task runs that starts from now on.
    pub(crate) fn set_tenth_run_time(&self, run_time: Duration) {
        let tenth = self.tenth_run_time.lock();
        *tenth.unwrap_or_else(PoisonError::into_inner) = Some(run_time);
    }

    /// Sets how many bytes in base64 the store takes in a row.
    pub(crate) fn set_row_bytes(&self, bytes: usize) {
        self.row_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns how many bytes in base64 the store takes in a row.
    pub(crate) fn row_bytes(&self) -> usize {
        self.row_bytes.load(Ordering::Relaxed)
    }

    /// Makes runs report checkpoints of so many characters.
    pub(crate) fn save_checkpoints(&self, characters: usize) {
        self.checkpoint_length.store(characters, Ordering::Relaxed);
    }

    /// Returns how many writes were refused since they were too large.
    pub(crate) fn refused_sizes(&self) -> usize {
        self.refused_sizes.load(Ordering::Relaxed)
    }

    /// Returns how many ends the workers list.
    pub(crate) fn listed_ends(&self) -> usize {
        let workers = self.lock_workers();
        workers.values().map(|worker| worker.ended.len()).sum()
    }

    /// Returns how many runs have ended.
    pub(crate) fn ends(&self) -> u64 {
        self.lock_workers()
            .values()
            .map(|worker| worker.number)
            .sum()
    }

    /// Returns the number of rows in a table.
    pub(crate) fn rows_in(&self, table: &str) -> usize {
        let rows = self.lock();
        rows.rows.keys().filter(|(of, _)| **of == *table).count()
    }

    /// Drops the history of the store.
    pub(crate) fn compact(&self) {
        let mut rows = self.lock();
        rows.compacted_version = rows.version;
        rows.history.clear();
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Sets the fault mode of the store towards the VM `vm`.
    pub(crate) fn set_store_mode(&self, vm: &str, mode: StoreMode) {
        self.lock().mode.insert(vm.into(), mode);
        self.changed.notify_waiters();
    }

    /// Carries out the writes that got no answer, if their conditions still hold. Returns how many
    /// there were.
    pub(crate) fn carry_out_late(&self) -> usize {
        let late = std::mem::take(&mut self.lock().late);
        for transaction in &late {
            self.carry_out(transaction);
        }
        late.len()
    }

    /// Returns how many writes to nothing but a table got no answer and are still to be carried out.
    pub(crate) fn late_writes_to(&self, table: &str) -> usize {
        let rows = self.lock();
        let is_of_table = |late: &&Transaction| late.puts.iter().all(|put| *put.table == *table);
        rows.late.iter().filter(is_of_table).count()
    }

    /// Delays the answers to complete reads of a table.
    pub(crate) fn delay_reads(&self, table: &str, delay: Duration) {
        self.lock().read_delays.insert(table.into(), delay);
    }

    /// Returns the value of a row.
    pub(crate) fn value(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.lock();
        let entry = rows.rows.get(&(table.into(), key.to_owned()));
        entry.map(|(_, value)| value.clone())
    }

    /// Returns the number of rows about a job.
    pub(crate) fn rows_about(&self, job: &str) -> usize {
        let rows = self.lock();
        rows.rows
            .keys()
            .filter(|(_, key)| key.starts_with(job))
            .count()
    }

    /// Returns how many runs of a job's tasks were started.
    pub(crate) fn starts(&self, job: &str) -> usize {
        let workers = self.lock_workers();
        let starts = workers.values().flat_map(|worker| &worker.starts);
        starts.filter(|task| *task.job == *job).count()
    }

    /// Returns how many orders to stop runs of a job's tasks were taken.
    pub(crate) fn stops(&self, job: &str) -> usize {
        let workers = self.lock_workers();
        let stops = workers.values().flat_map(|worker| &worker.stops);
        stops.filter(|task| *task.job == *job).count()
    }

    /// Removes all rows about a job.
    pub(crate) fn forget(&self, job: &str) {
        let keys: Vec<(Name, String)> = {
            let rows = self.lock();
            let about = rows.rows.keys().filter(|(_, key)| key.starts_with(job));
            about.cloned().collect()
        };
        for (table, key) in keys {
            self.remove(&table, &key);
        }
    }

    /// Returns how many runs were started on a worker.
    pub(crate) fn starts_on(&self, worker: &str) -> usize {
        self.lock_workers()[worker].starts.len()
    }

    /// Sets whether the advice service holds its answers back.
    pub(crate) fn hold_advice(&self, held: bool) {
        self.advice_held.send_replace(held);
    }

    /// Returns the VMs that have called the advice service, in the order of their calls.
    pub(crate) fn advice_callers(&self) -> Vec<Name> {
        let callers = self.advice_callers.lock();
        callers.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Approves all workers.
    async fn advise(&self, vm: Name, request: AdviceRequest) -> AdviceReply {
        let callers = self.advice_callers.lock();
        callers.unwrap_or_else(PoisonError::into_inner).push(vm);
        // The sender is a field of this platform, so it is not dropped while this waits.
        let _ = self.advice_held.subscribe().wait_for(|held| !held).await;
        let approved = request.workers.into_iter();
        AdviceReply {
            approved: approved
                .map(|worker| Approval {
                    worker,
                    ticket: "ticket".into(),
                })
                .collect(),
            ticket_lifetime: request.advice.ticket_lifetime,
        }
    }

    /// Returns the clients of the VM `vm` for this platform.
    pub(crate) fn clients(&self, vm: &str) -> Clients {
        let vm: Name = vm.into();
        let (writer, reader, watcher) = (self.clone(), self.clone(), self.clone());
        let (writes, reads, watches, calls) = (vm.clone(), vm.clone(), vm.clone(), vm);
        let (poller, starter, stopper) = (self.clone(), self.clone(), self.clone());
        let adviser = self.clone();
        Clients {
            store: Store {
                transact: Arc::new(move |transaction| {
                    let (platform, vm) = (writer.clone(), writes.clone());
                    async move { platform.transact(&vm, &transaction) }.boxed()
                }),
                read: Arc::new(move |range| {
                    let (platform, vm) = (reader.clone(), reads.clone());
                    async move {
                        let delay = platform.lock().read_delays.get(&range.table).copied();
                        tokio::time::sleep(delay.unwrap_or_default()).await;
                        platform.read(&vm, &range)
                    }
                    .boxed()
                }),
                watch: Arc::new(move |table, after, wait| {
                    let (platform, vm) = (watcher.clone(), watches.clone());
                    async move { platform.watch(&vm, &table, after, wait).await }.boxed()
                }),
                configuration_table: "operator".into(),
                configuration_key: "configuration".into(),
                worker_table: "workers".into(),
            },
            workers: Workers {
                poll: Arc::new(move |epoch, order| {
                    let platform = poller.clone();
                    async move { platform.poll(epoch, &order).await }.boxed()
                }),
                start: Arc::new(move |epoch, order| {
                    let platform = starter.clone();
                    async move { platform.start(epoch, &order) }.boxed()
                }),
                stop: Arc::new(move |epoch, order| {
                    let platform = stopper.clone();
                    async move {
                        let mut workers = platform.lock_workers();
                        match workers.get_mut(&order.target.name) {
                            Some(worker) if epoch < worker.epoch => StopResult::Fenced,
                            Some(worker) => {
                                worker.stops.push(order.task);
                                StopResult::Taken
                            }
                            None => StopResult::Unknown,
                        }
                    }
                    .boxed()
                }),
                throttle: Arc::new(|_, _| async { StopResult::Taken }.boxed()),
            },
            advise: Arc::new(move |request| {
                let (platform, vm) = (adviser.clone(), calls.clone());
                async move { Ok(platform.advise(vm, request).await) }.boxed()
            }),
            formats: formats(Arc::clone(&self.panics)),
            traffic: Traffic::default(),
            profile: Profile::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_workers(&self) -> MutexGuard<'_, BTreeMap<Name, Worker>> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn transact(&self, vm: &Name, transaction: &Transaction) -> Result<Outcome> {
        let mut rows = self.lock();
        let mode = rows.mode.get(vm).copied().unwrap_or_default();
        let mut tables = transaction.puts.iter().map(|put| &put.table);
        if mode.is_unavailable() || tables.any(|table| mode.refuses_table(table)) {
            return Err(unavailable());
        }
        if self.is_too_large(transaction) {
            self.refused_sizes.fetch_add(1, Ordering::Relaxed);
            return Err(Error::new(Kind::StoreUnavailable, "the store answered 400"));
        }
        if transaction
            .puts
            .iter()
            .any(|put| mode.delays_writes_to(&put.table))
        {
            rows.late.push(transaction.clone());
            return Err(Error::new(Kind::WriteUnknown, "there is no answer"));
        }
        drop(rows);
        let outcome = self.carry_out(transaction);
        match outcome {
            Outcome::Committed(_) if mode == StoreMode::DroppedResponses => {
                Err(Error::new(Kind::WriteUnknown, "the response was lost"))
            }
            outcome => Ok(outcome),
        }
    }

    fn is_too_large(&self, transaction: &Transaction) -> bool {
        let row_bytes = self.row_bytes();
        let values = transaction.puts.iter().filter_map(|put| put.value.as_ref());
        let mut sizes = values.map(|value| value.len().div_ceil(3) * 4);
        let bytes: usize = sizes.clone().sum();
        transaction.puts.len() + transaction.checks.len() > call_size::MAX_ENTRIES
            || bytes > call_size::MAX_BYTES
            || sizes.any(|size| size > row_bytes)
    }

    /// Applies a transaction if its conditions hold.
    fn carry_out(&self, transaction: &Transaction) -> Outcome {
        let mut rows = self.lock();
        let current = |rows: &Rows, table: &Name, key: &str| {
            let entry = rows.rows.get(&(table.clone(), key.to_owned()));
            entry.map_or(0, |(version, _)| *version)
        };
        let holds = transaction
            .checks
            .iter()
            .all(|check| current(&rows, &check.table, &check.key) == check.version.0);
        if !holds {
            let found = transaction.checks.iter().map(|check| {
                let entry = rows.rows.get(&(check.table.clone(), check.key.clone()));
                Row {
                    table: check.table.clone(),
                    key: check.key.clone(),
                    version: Version(entry.map_or(0, |(version, _)| *version)),
                    value: entry.map(|(_, value)| value.clone()),
                }
            });
            return Outcome::Conflict(found.collect());
        }
        rows.version += 1;
        for put in &transaction.puts {
            rows.put(&put.table, &put.key, put.value.clone());
        }
        let version = Version(rows.version);
        drop(rows);
        self.changed.notify_waiters();
        Outcome::Committed(version)
    }

    /// Returns how often a table has been read.
    pub(crate) fn reads(&self, table: &str) -> u64 {
        let platform = self.lock();
        let reads = platform.reads.iter();
        reads
            .filter(|((_, of), _)| **of == *table)
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns how often a VM has read a table.
    pub(crate) fn reads_by(&self, vm: &str, table: &str) -> u64 {
        let key = (vm.into(), table.into());
        self.lock().reads.get(&key).copied().unwrap_or_default()
    }

    fn read(&self, vm: &Name, range: &Range) -> Result<Page> {
        let mut rows = self.lock();
        *rows
            .reads
            .entry((vm.clone(), range.table.clone()))
            .or_default() += 1;
        let mode = rows.mode.get(vm).copied().unwrap_or_default();
        if mode.is_unavailable() || mode.refuses_table(&range.table) {
            return Err(unavailable());
        }
        let inside = |key: &String| {
            range.from.as_ref().is_none_or(|from| key >= from)
                && range.to.as_ref().is_none_or(|to| key < to)
        };
        let found = rows
            .rows
            .iter()
            .filter(|((table, key), _)| *table == range.table && inside(key))
            .map(|((table, key), (version, value))| Row {
                table: table.clone(),
                key: key.clone(),
                version: Version(*version),
                value: Some(value.clone()),
            });
        let page = Page {
            version: Version(rows.version),
            now: Some(Millis(self.clock())),
            rows: found.collect(),
            more: false,
        };
        if mode == StoreMode::Busy {
            rows.version += 1;
        }
        Ok(page)
    }

    async fn watch(
        &self,
        vm: &Name,
        table: &Name,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Page>> {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let rows = self.lock();
                let mode = rows.mode.get(vm).copied().unwrap_or_default();
                if mode == StoreMode::Silent {
                    break;
                }
                if mode == StoreMode::Unavailable || mode.refuses_table(table) {
                    return Err(unavailable());
                }
                if after.0 < rows.compacted_version || mode == StoreMode::NoHistory {
                    return Ok(None);
                }
                let drops_responses = rows.mode.get(vm) == Some(&StoreMode::DroppedResponses);
                // A feed covers all parts of a table.
                let is_of_table =
                    |row: &&Row| row.table.split('/').next() == table.split('/').next();
                let changes = rows.history.iter().filter(|row| row.version > after);
                let changes: Vec<Row> = changes.filter(is_of_table).cloned().collect();
                if drops_responses && Instant::now() >= until {
                    return Ok(Some(Page {
                        version: after,
                        ..Page::default()
                    }));
                }
                if !drops_responses && (!changes.is_empty() || Instant::now() >= until) {
                    return Ok(Some(Page {
                        version: Version(rows.version),
                        now: Some(Millis(self.clock())),
                        rows: changes,
                        more: false,
                    }));
                }
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(until) => {}
            }
        }
        std::future::pending().await
    }

    async fn poll(&self, epoch: u64, order: &Poll) -> Polled {
        let until = Instant::now() + order.max_wait;
        loop {
            let next = {
                let mut workers = self.lock_workers();
                let Some(worker) = workers.get_mut(&order.target.name) else {
                    return Polled::NoAnswer("there is no such worker".to_owned());
                };
                if epoch < worker.epoch {
                    return Polled::Fenced;
                }
                worker.epoch = epoch;
                let acknowledged = order.boot.map_or(0, |_| order.acknowledged);
                worker.ended.retain(|end| end.sequence > acknowledged);
                worker.advance();
                if !worker.ended.is_empty() || Instant::now() >= until {
                    let length = self.checkpoint_length.load(Ordering::Relaxed);
                    return Polled::Answered(worker.inventory(self.clock(), length));
                }
                worker.running.values().map(|active| active.ends_at).min()
            };
            tokio::time::sleep_until(next.unwrap_or(until).min(until)).await;
        }
    }

    fn start(&self, epoch: u64, order: &Start) -> StartResult {
        let mut workers = self.lock_workers();
        let Some(worker) = workers.get_mut(&order.target.name) else {
            return StartResult::Unsent;
        };
        if epoch < worker.epoch {
            return StartResult::Fenced;
        }
        worker.epoch = epoch;
        worker.starts.push(order.task.clone());
        let tenth = self.tenth_run_time.lock();
        let tenth = *tenth.unwrap_or_else(PoisonError::into_inner);
        let run_time = *self.run_time.lock().unwrap_or_else(PoisonError::into_inner);
        let run_time = tenth
            .filter(|_| order.task.index.is_multiple_of(10))
            .unwrap_or(run_time);
        let active = ActiveRun {
            run: order.run,
            ends_at: Instant::now() + run_time,
        };
        worker.running.insert(order.task.clone(), active);
        StartResult::Running
    }
}

impl Rows {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        let version = self.version;
        let entry = (Name::from(table), key.to_owned());
        match &value {
            Some(value) => self.rows.insert(entry, (version, value.clone())),
            None => self.rows.remove(&entry),
        };
        self.history.push(Row {
            table: table.into(),
            key: key.to_owned(),
            version: Version(version),
            value,
        });
    }
}

impl Worker {
    fn advance(&mut self) {
        let now = Instant::now();
        let over = self
            .running
            .iter()
            .filter(|(_, active)| active.ends_at <= now);
        let over: Vec<TaskId> = over.map(|(task, _)| task.clone()).collect();
        for task in over {
            if let Some(active) = self.running.remove(&task) {
                self.number += 1;
                self.ended.push(Ended {
                    sequence: self.number,
                    task,
                    run: active.run,
                    outcome: RunOutcome::Done,
                    checkpoint: None,
                });
            }
        }
    }

    fn inventory(&self, clock: u64, checkpoint_length: usize) -> report::Inventory {
        let running = self.running.iter().map(|(task, active)| Running {
            task: task.clone(),
            run: active.run,
            checkpoint: (checkpoint_length > 0).then(|| checkpoint(task, checkpoint_length)),
            percent: 50.0,
            measurement: 0.0,
        });
        report::Inventory {
            boot: 1,
            clock,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

/// Returns a checkpoint of a task that looks random.
fn checkpoint(task: &TaskId, length: usize) -> Name {
    const CHARACTERS: &[u8] = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_";
    let mut state = u64::from(task.index) + 1;
    let characters = (0..length).map(|_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        char::from(CHARACTERS[(state >> 40) as usize % CHARACTERS.len()])
    });
    characters.collect::<String>().into()
}

fn unavailable() -> Error {
    Error::new(Kind::StoreUnavailable, "the store is unavailable")
}

fn formats(panics: Arc<AtomicUsize>) -> Formats {
    Formats {
        configuration: Arc::new(configuration),
        evacuation: Arc::new(|key| key.strip_prefix("closed/").map(Name::from)),
        worker: Arc::new(move |name, state| {
            let panics_now = panics
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                    left.checked_sub(1)
                })
                .is_ok();
            assert!(!panics_now, "the test makes this decoder panic");
            let entry = WorkerInfo {
                name: name.into(),
                address: format!("{name}:1").into(),
                pool: "planner".into(),
                boot: 1,
                capacity: Resources {
                    cpu_millis: 64_000,
                    memory_mib: 64_000,
                    accelerators: 0,
                },
                data_centre: name.split_once('/').map_or("", |(name, _)| name).into(),
                labels: vec!["r1".into()],
                leaving: state == "leaving",
            };
            (state != "foreign").then_some(entry)
        }),
        job: Arc::new(|body| {
            let count = std::str::from_utf8(body)
                .ok()
                .and_then(|text| text.parse().ok());
            let count =
                count.ok_or_else(|| Error::new(Kind::Malformed, "the body is not a count"))?;
            Ok(job(count))
        }),
        state: Arc::new(|state| json!({ "state": state })),
        waiting: Arc::new(|count| json!({ "waiting": count })),
    }
}

fn job(count: u32) -> Spec {
    Spec {
        payload: "work".into(),
        steps: vec![Step {
            count,
            resources: Resources {
                cpu_millis: 1000,
                memory_mib: 64,
                accelerators: 0,
            },
            estimate: RUN_TIME,
            after: Vec::new(),
            checkpoints: false,
            gang: false,
            same_rack: false,
            long_running: false,
            best_effort: false,
            label: None,
            data_rack: None,
            max_per_worker: None,
            latency_target: None,
            max_unavailable: None,
        }],
        schedule: None,
    }
}

/// Decodes a row that holds only the version. From version 10 on, the key is withdrawn. With
/// [`ADVISED_VERSION`], jobs need advice.
fn configuration(text: &str) -> Result<Configuration> {
    let version = text
        .parse()
        .map_err(|_| Error::new(Kind::Malformed, "the row is not a version"))?;
    let queue = Queue {
        name: "checks".into(),
        pool: "planner".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        slack: Duration::from_millis(250),
        advice: (version == ADVISED_VERSION).then_some(AdviceSettings {
            per_call: Duration::from_millis(22),
            per_worker: Duration::from_micros(310),
            ticket_lifetime: Duration::from_millis(2500),
        }),
    };
    let team = Team {
        name: "binders".into(),
        weight: 10.0,
        cap: Resources::default(),
    };
    let keys = (version < 10).then(|| (KEY.to_owned(), team.name.clone()));
    Ok(Configuration {
        version,
        routes: vec![Route {
            queue: queue.name.clone(),
            host: HOST.to_owned(),
            prefix: PREFIX.to_owned(),
            public: false,
        }],
        keys: keys.into_iter().collect(),
        limits: Limits::default(),
        policy: Policy {
            queues: [(queue.name.clone(), queue)].into(),
            teams: [(team.name.clone(), team)].into(),
            ..Policy::default()
        },
    })
}
