//! The state and the life cycle of an entry VM.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use basilbridge_common::{
    error::{
        Error,
        Result, //
    },
    id::{
        Name,
        Version, //
    },
    timer,
    unit::Millis,
};
use basilbridge_peers::client::Pool;
use basilbridge_platform::table::{
    Outcome,
    Precondition,
    Put,
    Row,
    Transaction, //
};
use basilbridge_server::{
    drain::{
        DrainState,
        Phase, //
    },
    listener::{
        Server,
        Settings, //
    },
    memory::Budget,
};
use slog::Logger;
use tokio::{
    sync::{
        Notify,
        watch, //
    },
    task::JoinSet, //
};

use crate::{
    admission::Admission,
    clients::{
        Clients,
        Page,
        Range, //
    },
    config::NodeConfig,
    configuration::Configuration,
    election::{
        self,
        View, //
    },
    evacuation::Evacuations,
    feed::{
        self,
        Update, //
    },
    freshness::Freshness,
    ingress,
    job_store::CountCache,
    large_job,
    log::DecisionLog,
    metrics::{
        self,
        Metrics, //
    },
    owner::Owner,
    peer,
    record::{
        self,
        NODE_PREFIX,
        OWNERSHIP_TABLE, //
    },
};

/// How long the store may give no answer before this VM counts as not ready. A feed answers every
/// second, or later by the latency of a slow store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a part of the store counts as unreachable after a call about it failed.
const PART_BACKOFF: Duration = Duration::from_millis(500);

/// How long connections are accepted after the VM stops being ready: the platform needs two failed
/// checks, a second apart, to notice.
const READINESS_DELAY: Duration = Duration::from_millis(2500);

/// The number of connections for checks of readiness, and as many for metrics.
const INTERNAL_CONNECTIONS: usize = 64;

/// The part of the drain limit that is reserved for sending the last answers.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// The failures of a part of the store since its last answer.
#[derive(Debug, Clone, Copy)]
struct PartFailure {
    first: Millis,
    last: Millis,
}

/// How well the store has answered this VM.
#[derive(Debug, Clone)]
struct StoreHealth {
    /// When the store last answered a call.
    last: Millis,
    /// When the store answered first after the last failure; `None` if the last call failed.
    answering_since: Option<Millis>,
    /// When the store answered again after it was silent for [`STORE_TIMEOUT`]; zero if it never
    /// was.
    returned_at: Millis,
    /// The exponential moving average of the time to answer a call.
    mean_latency: Duration,
    /// The parts of the store whose last call failed.
    failed_parts: HashMap<Name, PartFailure>,
}

/// An entry VM, shared by all its tasks.
pub struct Node {
    /// The settings.
    pub config: NodeConfig,
    /// The timer service.
    pub timer: timer::Service,
    /// The clients of the store, the workers and the advice service.
    pub clients: Clients,
    /// The log.
    pub log: Logger,
    /// The rate-limited log of scheduling decisions.
    pub decisions: DecisionLog,
    /// The metrics.
    pub metrics: Metrics,
    /// The count of calls in flight and the phase of the drain.
    pub drain_state: DrainState,
    pub(crate) pool: Pool,
    /// The memory that requests of callers hold, also of those that another VM has forwarded.
    pub(crate) request_memory: Budget,
    /// A random number that identifies this process.
    pub(crate) nonce: u64,
    pub(crate) shared_view: election::SharedView,
    owner: Mutex<Weak<Owner>>,
    configuration: watch::Sender<Arc<Configuration>>,
    pub(crate) evacuations: Evacuations,
    store_health: Mutex<StoreHealth>,
    freshness: Mutex<Freshness>,
    pub(crate) count_cache: CountCache,
    pub(crate) admission: Admission,
    pub(crate) large_jobs: large_job::Pending,
    /// Triggers a read of the configuration.
    read_configuration: Notify,
    /// Signals that the configuration was read.
    configuration_read: Notify,
    /// Signals that the store answers again after it was silent.
    store_returned: Notify,
    latest_version: AtomicU64,
}

/// A started entry VM with its servers and background tasks.
pub struct RunningNode {
    /// The entry VM.
    pub node: Arc<Node>,
    callers: Server,
    ready: Server,
    metrics: Option<Server>,
    peers: basilbridge_peers::server::Server,
    tasks: JoinSet<()>,
}

impl Node {
    /// Creates an entry VM; [`Node::start`] starts its servers.
    pub fn new(
        config: NodeConfig,
        timer: timer::Service,
        clients: Clients,
        log: Logger,
    ) -> Arc<Self> {
        let now = timer.now();
        let nonce = rand::random();
        Arc::new(Self {
            decisions: DecisionLog::new(log.clone(), timer.clone()),
            metrics: Metrics::default(),
            drain_state: DrainState::default(),
            pool: Pool::new(timer.clone()),
            request_memory: config.client_share().budget(),
            nonce,
            shared_view: election::SharedView::default(),
            owner: Mutex::default(),
            configuration: watch::Sender::default(),
            evacuations: Evacuations::default(),
            store_health: Mutex::new(StoreHealth {
                last: now,
                answering_since: None,
                returned_at: Millis(0),
                mean_latency: Duration::ZERO,
                failed_parts: HashMap::new(),
            }),
            freshness: Mutex::default(),
            count_cache: CountCache::default(),
            admission: Admission::new(nonce, config.retention),
            large_jobs: large_job::Pending::default(),
            read_configuration: Notify::new(),
            configuration_read: Notify::new(),
            store_returned: Notify::new(),
            latest_version: AtomicU64::new(0),
            config,
            timer,
            clients,
            log,
        })
    }

    /// Starts the servers and the background tasks. Fails if an address can't be bound.
    pub async fn start(self: &Arc<Self>) -> io::Result<RunningNode> {
        let mut settings = Settings::new(self.timer.clone(), self.drain_state.clone());
        settings.max_connections = INTERNAL_CONNECTIONS;
        let app = ingress::App::new(self);
        let peers = peer::serve(self).await?;
        let ready = ingress::ready_router(app.clone());
        let ready = Server::start(self.config.ready, ready, settings.clone()).await?;
        let metrics = match self.config.metrics {
            Some(address) => {
                let router = metrics::router(
                    self.metrics.clone(),
                    self.clients.traffic.clone(),
                    self.clients.profile.clone(),
                );
                Some(Server::start(address, router, settings.clone()).await?)
            }
            None => None,
        };
        let callers = ingress::router(app);
        let share = self.config.client_share();
        settings.max_connections = usize::MAX;
        let settings = settings.with_share(&share, &self.request_memory);
        let callers = Server::start(self.config.callers, callers, settings).await?;
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(self).follow_configuration());
        tasks.spawn(election::follow(Arc::clone(self)));
        tasks.spawn(election::watch_owner(Arc::clone(self)));
        tasks.spawn(election::run(Arc::clone(self)));
        tasks.spawn(Arc::clone(self).register(peers.address));
        slog::info!(self.log, "start"; "vm" => %self.config.name,
            "data_centre" => %self.config.data_centre);
        Ok(RunningNode {
            node: Arc::clone(self),
            callers,
            ready,
            metrics,
            peers,
            tasks,
        })
    }

    /// Returns whether callers should be sent to this VM: it has a configuration, does not drain
    /// and has had an answer from the store within `STORE_TIMEOUT`.
    pub fn is_ready(&self) -> bool {
        let last_answer = self.lock_store_health().last;
        self.configuration().version > 0
            && !self.drain_state.is_draining()
            && self.timer.now().since(last_answer) < STORE_TIMEOUT
    }

    /// Returns whether this VM knows the address of the VM `name`.
    pub fn knows_peer(&self, name: &str) -> bool {
        self.view().nodes.contains_key(name)
    }

    /// Returns whether the store answers this VM: the last call did not fail, and the last answer
    /// is less than `STORE_TIMEOUT` old.
    pub fn is_store_reachable(&self) -> bool {
        let store_health = self.lock_store_health();
        store_health.answering_since.is_some()
            && self.timer.now().since(store_health.last) < STORE_TIMEOUT
    }

    /// Returns the newest configuration, with version zero if there is none yet.
    pub fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.configuration.borrow())
    }

    /// Returns a receiver of new configurations.
    pub(crate) fn configurations(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configuration.subscribe()
    }

    /// Returns since when the store has answered every call, or `None` if the last one failed.
    pub(crate) fn answering_since(&self) -> Option<Millis> {
        self.lock_store_health().answering_since
    }

    /// Returns whether a peer should make calls about this part of the store: the store does not
    /// answer this VM, or a call about the part failed within `PART_BACKOFF`.
    pub(crate) fn is_part_unreachable(&self, part: &Name) -> bool {
        let now = self.timer.now();
        let store_health = self.lock_store_health();
        let lost =
            store_health.answering_since.is_none() && now.since(store_health.last) >= STORE_TIMEOUT;
        let failed = store_health.failed_parts.get(part);
        lost || failed.is_some_and(|failure| now.since(failure.last) < PART_BACKOFF)
    }

    /// Returns for how long calls about this part of the store have failed.
    pub(crate) fn outage(&self, part: &Name) -> Duration {
        let now = self.timer.now();
        let store_health = self.lock_store_health();
        let failed = store_health.failed_parts.get(part);
        let of_part = failed.map_or(Duration::ZERO, |failure| now.since(failure.first));
        match store_health.answering_since {
            Some(_) => of_part,
            None => of_part.max(now.since(store_health.last)),
        }
    }

    fn record_part_result(&self, part: &Name, answered: bool) {
        let now = self.timer.now();
        let mut store_health = self.lock_store_health();
        if answered {
            store_health.failed_parts.remove(part);
        } else {
            let first = PartFailure {
                first: now,
                last: now,
            };
            let failed = &mut store_health.failed_parts;
            failed.entry(part.clone()).or_insert(first).last = now;
        }
    }

    /// Returns the moving average of the time that the store takes to answer a call.
    pub(crate) fn store_latency(&self) -> Duration {
        self.lock_store_health().mean_latency
    }

    /// Returns the highest store version that this VM has seen.
    pub(crate) fn latest_version(&self) -> Version {
        Version(self.latest_version.load(Ordering::Relaxed))
    }

    /// Reads a range of rows.
    pub(crate) async fn read(&self, range: Range) -> Result<Page> {
        self.metrics.count("store_reads");
        let begun = self.timer.now();
        let part = range.table.clone();
        let result = (self.clients.store.read)(range).await;
        self.record_part_result(&part, result.is_ok());
        if let Ok(page) = &result {
            self.record_store_answer(page.version);
        }
        self.record_store_latency(begun);
        result
    }

    /// Waits up to `wait` for changes of a table after the version `after`; see [`Store::watch`].
    ///
    /// [`Store::watch`]: crate::clients::Store::watch
    pub(crate) async fn watch(
        &self,
        table: Name,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Page>> {
        self.metrics.count("store_reads");
        let result = (self.clients.store.watch)(table, after, wait).await;
        match &result {
            Ok(Some(page)) => self.record_store_answer(page.version),
            Ok(None) => self.record_store_answer(Version(0)),
            Err(_) => {}
        }
        result
    }

    /// Applies `puts` as one transaction if all `checks` hold.
    pub(crate) async fn transact(
        &self,
        checks: Vec<Precondition>,
        puts: Vec<Put>,
    ) -> Result<Outcome> {
        self.metrics.count("store_writes");
        let begun = self.timer.now();
        let part = puts.first().map(|put| put.table.clone());
        let transaction = Transaction {
            write_id: String::new(),
            checks,
            puts,
        };
        let result = (self.clients.store.transact)(transaction).await;
        if let Some(part) = part {
            self.record_part_result(&part, result.is_ok());
        }
        match &result {
            Ok(Outcome::Committed(version)) => self.record_store_answer(*version),
            Ok(Outcome::Conflict(_)) => self.record_store_answer(Version(0)),
            Err(error) => self.record_store_failure(error),
        }
        self.record_store_latency(begun);
        result
    }

    fn record_store_latency(&self, begun: Millis) {
        let latency = self.timer.now().since(begun);
        self.metrics.time("store_call", latency);
        let mut store_health = self.lock_store_health();
        store_health.mean_latency = (store_health.mean_latency * 3 + latency) / 4;
    }

    fn record_store_answer(&self, version: Version) {
        self.latest_version.fetch_max(version.0, Ordering::Relaxed);
        let now = self.timer.now();
        let mut store_health = self.lock_store_health();
        let silent = now.since(store_health.last);
        store_health.last = now;
        if store_health.answering_since.is_none() {
            store_health.answering_since = Some(now);
            if silent >= STORE_TIMEOUT {
                store_health.returned_at = now;
            }
            drop(store_health);
            slog::info!(self.log, "store regained");
            if silent >= STORE_TIMEOUT {
                self.doubt_configuration();
                self.store_returned.notify_waiters();
            }
        }
    }

    /// Returns when the store answered again after it was silent for `STORE_TIMEOUT`; zero if it
    /// never was.
    pub(crate) fn store_returned_at(&self) -> Millis {
        self.lock_store_health().returned_at
    }

    /// Waits until the store answers again after it was silent for `STORE_TIMEOUT`.
    pub(crate) async fn store_return(&self) {
        self.store_returned.notified().await;
    }

    /// Records that a peer has judged a request by `version` of the configuration; zero if unknown.
    ///
    /// The configuration is not read again for a known version: with thousands of routes a read
    /// takes a small VM 0.4 s, in which more requests are late and forwarded to peers.
    pub(crate) fn require_configuration(&self, version: u64) {
        if version == 0 {
            self.doubt_configuration();
        } else {
            self.lock_freshness().require(version);
        }
    }

    /// Records that other VMs may have a newer configuration than this one.
    pub(crate) fn doubt_configuration(&self) {
        self.lock_freshness().doubt(self.timer.now());
        self.reread_configuration();
    }

    /// Triggers a complete read of the configuration table.
    pub(crate) fn reread_configuration(&self) {
        self.read_configuration.notify_one();
    }

    /// Records that the table was read by a call that began at `begun`, and its rows were applied.
    pub(crate) fn record_feed_answer(&self, table: &Name, begun: Millis) {
        if *table == self.clients.store.configuration_table {
            self.lock_freshness().confirm(begun);
            self.evacuations.confirm(begun);
            self.configuration_read.notify_waiters();
        }
    }

    /// Waits up to `limit` until the configuration is known to be current. Returns whether it is.
    pub(crate) async fn wait_for_current_configuration(&self, limit: Duration) -> bool {
        let read = async {
            loop {
                let read = self.configuration_read.notified();
                if self.is_configuration_current() {
                    return;
                }
                read.await;
            }
        };
        self.timer.timeout(limit, read).await.is_some()
    }

    /// Returns whether the configuration is known to be current.
    pub(crate) fn is_configuration_current(&self) -> bool {
        let version = self.configuration().version;
        self.lock_freshness().is_current(version)
    }

    fn lock_freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a call to the store failed; logs the first failure after an answer.
    pub(crate) fn record_store_failure(&self, error: &Error) {
        let mut store_health = self.lock_store_health();
        if store_health.answering_since.take().is_some() {
            let since_answer = self.timer.now().since(store_health.last);
            drop(store_health);
            slog::warn!(self.log, "store lost"; "error" => %error,
                "silent_ms" => since_answer.as_millis() as u64);
        }
    }

    fn lock_store_health(&self) -> MutexGuard<'_, StoreHealth> {
        self.store_health
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn follow_configuration(self: Arc<Self>) {
        let table = self.clients.store.configuration_table.clone();
        let parts = [table.clone()];
        loop {
            let follow = feed::follow(&self, &table, &parts, None, feed::PROMPT, |update| {
                let decode = &self.clients.formats.evacuation;
                self.evacuations.apply(&update, |key| decode(key));
                let (Update::All(contents) | Update::Changed(contents)) = update;
                self.apply_configuration(&contents.rows);
            });
            tokio::select! {
                () = follow => {}
                () = self.read_configuration.notified() => {}
            }
        }
    }

    fn apply_configuration(&self, rows: &[Row]) {
        let key = &self.clients.store.configuration_key;
        // A delayed feed lists every change of a row, the newest last.
        let row = rows.iter().rfind(|row| *row.key == **key);
        let Some(text) = row.and_then(|row| row.value.as_deref()) else {
            return;
        };
        match (self.clients.formats.configuration)(text) {
            Ok(configuration) => {
                let current = self.configuration().version;
                let version = configuration.version;
                // Applying an older version would revert the current one.
                if version > current {
                    self.configuration.send_replace(Arc::new(configuration));
                    slog::info!(self.log, "configuration in force";
                        "version" => version, "before" => current);
                }
            }
            Err(error) => {
                slog::error!(self.log, "configuration can't be decoded"; "error" => %error)
            }
        }
    }

    /// Writes the entry with the address of this VM, and retries until it is stored.
    async fn register(self: Arc<Self>, peers: SocketAddr) {
        const RETRY: Duration = Duration::from_millis(300);
        let entry = record::NodeEntry {
            peers,
            cpu_millis: self.config.cpu_millis,
        };
        let value = match record::encode(&entry) {
            Ok(value) => value,
            Err(error) => {
                slog::error!(self.log, "node entry can't be encoded"; "error" => %error);
                return;
            }
        };
        let put = Put {
            table: OWNERSHIP_TABLE.into(),
            key: format!("{NODE_PREFIX}{}", self.config.name),
            value: Some(value),
        };
        while self.transact(Vec::new(), vec![put.clone()]).await.is_err() {
            self.timer.sleep(RETRY).await;
        }
    }

    /// Removes the entry of this VM.
    async fn deregister(&self) {
        let put = Put {
            table: OWNERSHIP_TABLE.into(),
            key: format!("{NODE_PREFIX}{}", self.config.name),
            value: None,
        };
        if let Err(error) = self.transact(Vec::new(), vec![put]).await {
            slog::warn!(self.log, "node entry not removed"; "error" => %error);
        }
    }

    /// Returns the owner of the workers; the reference is dead if this VM is not the owner.
    pub(crate) fn owner(&self) -> MutexGuard<'_, Weak<Owner>> {
        self.owner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what this VM knows of the owner and the other VMs.
    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.shared_view.lock()
    }
}

impl RunningNode {
    /// Returns the address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address
    }

    /// Waits until a background task panics, and returns its message. The VM would go on without what
    /// the task did, such as following the configuration, so its process has to be started again.
    pub async fn wait_for_panic(&mut self) -> String {
        while let Some(result) = self.tasks.join_next().await {
            if let Err(error) = result
                && error.is_panic()
            {
                return error.to_string();
            }
        }
        std::future::pending().await
    }

    /// Drains and stops the VM. Returns whether all calls were answered within the drain limit.
    pub async fn drain(mut self) -> bool {
        let node = Arc::clone(&self.node);
        slog::info!(node.log, "drain begins"; "in_flight" => node.drain_state.in_flight());
        let limit = node.config.drain_limit.saturating_sub(EXIT_MARGIN);
        let answered = node.timer.timeout(limit, self.shut_down()).await.is_some();
        self.tasks.shutdown().await;
        slog::info!(node.log, "stop"; "all_answered" => answered);
        answered
    }

    async fn shut_down(&mut self) {
        let node = Arc::clone(&self.node);
        node.drain_state.advance(Phase::Draining);
        node.deregister().await;
        node.timer.sleep(READINESS_DELAY).await;
        node.drain_state.advance(Phase::Closing);
        self.callers.close();
        self.ready.close();
        if let Some(metrics) = &self.metrics {
            metrics.close();
        }
        node.drain_state.wait_idle().await;
        self.callers.wait_closed().await;
        self.peers.stop().await;
    }
}
