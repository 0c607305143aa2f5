//! One entry VM of a cell.

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
    Check,
    Outcome,
    Put,
    Row,
    Transaction, //
};
use basilbridge_server::{
    gate::{
        Gate,
        Phase, //
    },
    listener::{
        Server,
        Settings, //
    },
};
use slog::Logger;
use tokio::{
    sync::watch,
    task::JoinSet, //
};

use crate::{
    clients::{
        Clients,
        Page,
        Range, //
    },
    config::NodeConfig,
    configuration::Configuration,
    feed::{
        self,
        News, //
    },
    ingress,
    log::Decisions,
    metrics::{
        self,
        Metrics, //
    },
    owner::Owner,
    peer,
    record::{
        self,
        NODE_PREFIX,
        TITLE_TABLE, //
    },
    title::{
        self,
        View, //
    },
};

/// For how long the store may stay silent before callers are sent to other VMs; a feed answers
/// every second, or later by the time of a slow answer.
const CONTACT_LIMIT: Duration = Duration::from_millis(1500);

/// For how long a part of the store counts as away after a call about it failed.
const PART_RETRY: Duration = Duration::from_millis(500);

/// How long connections are still taken after readiness went off: the platform needs two misses, a
/// second apart.
const LEAVE_TIME: Duration = Duration::from_millis(2500);

/// What is left of the drain limit for the last answers to leave.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

#[derive(Debug, Clone)]
struct Contact {
    /// When the store last answered.
    last: Millis,
    /// Since when it has answered without a failure in between.
    since: Option<Millis>,
    /// How long the store takes to answer, as a moving mean.
    time: Duration,
    /// The parts of the store whose last call failed, and when: the store may be away in part.
    failed: HashMap<Name, Millis>,
}

/// An entry VM.
pub struct Node {
    /// Its settings.
    pub config: NodeConfig,
    /// The timer service.
    pub timer: timer::Service,
    /// All that is outside.
    pub clients: Clients,
    /// The log.
    pub log: Logger,
    /// The log of decisions.
    pub decisions: Decisions,
    /// The metrics.
    pub metrics: Metrics,
    /// Counts the calls in flight and says when the drain begins.
    pub gate: Gate,
    pub(crate) pool: Pool,
    /// A number that only this process knows.
    pub(crate) nonce: u64,
    pub(crate) title: title::Board,
    owner: Mutex<Weak<Owner>>,
    configuration: watch::Sender<Arc<Configuration>>,
    contact: Mutex<Contact>,
    seen: AtomicU64,
}

/// An entry VM that runs.
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
    /// Makes an entry VM that does not serve yet.
    pub fn new(
        config: NodeConfig,
        timer: timer::Service,
        clients: Clients,
        log: Logger,
    ) -> Arc<Self> {
        let now = timer.now();
        Arc::new(Self {
            decisions: Decisions::new(log.clone(), timer.clone()),
            metrics: Metrics::default(),
            gate: Gate::default(),
            pool: Pool::new(timer.clone()),
            nonce: rand::random(),
            title: title::Board::default(),
            owner: Mutex::default(),
            configuration: watch::Sender::default(),
            contact: Mutex::new(Contact {
                last: now,
                since: None,
                time: Duration::ZERO,
                failed: HashMap::new(),
            }),
            seen: AtomicU64::new(0),
            config,
            timer,
            clients,
            log,
        })
    }

    /// Starts to serve.
    pub async fn start(self: &Arc<Self>) -> io::Result<RunningNode> {
        let settings = Settings::new(self.timer.clone(), self.gate.clone());
        let app = ingress::App::new(self);
        let peers = peer::serve(self).await?;
        let ready = ingress::ready_router(app.clone());
        let ready = Server::start(self.config.ready, ready, settings.clone()).await?;
        let metrics = match self.config.metrics {
            Some(address) => {
                let router = metrics::router(self.metrics.clone());
                Some(Server::start(address, router, settings.clone()).await?)
            }
            None => None,
        };
        let callers = ingress::router(app);
        let callers = Server::start(self.config.callers, callers, settings).await?;
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(self).follow_configuration());
        tasks.spawn(title::follow(Arc::clone(self)));
        tasks.spawn(title::watch_owner(Arc::clone(self)));
        tasks.spawn(title::contend(Arc::clone(self)));
        tasks.spawn(Arc::clone(self).enter(peers.address));
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

    /// Says whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let heard = self.lock_contact().last;
        self.configuration().version > 0
            && !self.gate.is_draining()
            && self.timer.now().since(heard) < CONTACT_LIMIT
    }

    /// Says whether this VM knows where the VM `name` is reached.
    pub fn knows_peer(&self, name: &str) -> bool {
        self.view().nodes.contains_key(name)
    }

    /// Says whether the store answers this VM.
    pub fn is_store_reachable(&self) -> bool {
        let contact = self.lock_contact();
        contact.since.is_some() && self.timer.now().since(contact.last) < CONTACT_LIMIT
    }

    /// Returns the newest configuration; version zero stands for none.
    pub fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.configuration.borrow())
    }

    /// Returns a receiver of new configurations.
    pub(crate) fn configurations(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configuration.subscribe()
    }

    /// Since when the store has answered each call, if it answered the last one.
    pub(crate) fn reachable_since(&self) -> Option<Millis> {
        self.lock_contact().since
    }

    /// Says whether a call about this part of the store is better made by a peer: the store has not
    /// answered this VM of late, or the last call about that part failed.
    pub(crate) fn is_away(&self, part: &Name) -> bool {
        let now = self.timer.now();
        let contact = self.lock_contact();
        let lost = contact.since.is_none() && now.since(contact.last) >= CONTACT_LIMIT;
        let failed = contact.failed.get(part);
        lost || failed.is_some_and(|at| now.since(*at) < PART_RETRY)
    }

    fn note_part(&self, part: &Name, answered: bool) {
        let now = self.timer.now();
        let mut contact = self.lock_contact();
        if answered {
            contact.failed.remove(part);
        } else {
            contact.failed.insert(part.clone(), now);
        }
    }

    /// Returns how long the store takes to answer a call, of late.
    pub(crate) fn store_time(&self) -> Duration {
        self.lock_contact().time
    }

    /// Returns the highest version of the store that this VM has seen.
    pub(crate) fn seen(&self) -> Version {
        Version(self.seen.load(Ordering::Relaxed))
    }

    /// Reads rows.
    pub(crate) async fn read(&self, range: Range) -> Result<Page> {
        self.metrics.count("store_reads");
        let begun = self.timer.now();
        let part = range.table.clone();
        let result = (self.clients.store.read)(range).await;
        self.note_part(&part, result.is_ok());
        if let Ok(page) = &result {
            self.note_store_answer(page.version);
        }
        self.note_store_time(begun);
        result
    }

    /// Waits for changes of a table.
    pub(crate) async fn watch(
        &self,
        table: Name,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Page>> {
        self.metrics.count("store_reads");
        let result = (self.clients.store.watch)(table, after, wait).await;
        match &result {
            Ok(Some(page)) => self.note_store_answer(page.version),
            Ok(None) => self.note_store_answer(Version(0)),
            Err(_) => {}
        }
        result
    }

    /// Applies a transaction.
    pub(crate) async fn transact(&self, checks: Vec<Check>, puts: Vec<Put>) -> Result<Outcome> {
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
            self.note_part(&part, result.is_ok());
        }
        match &result {
            Ok(Outcome::Committed(version)) => self.note_store_answer(*version),
            Ok(Outcome::Conflict(_)) => self.note_store_answer(Version(0)),
            Err(error) => self.note_store_failure(error),
        }
        self.note_store_time(begun);
        result
    }

    fn note_store_time(&self, begun: Millis) {
        let time = self.timer.now().since(begun);
        self.metrics.time("store_call", time);
        let mut contact = self.lock_contact();
        contact.time = (contact.time * 3 + time) / 4;
    }

    fn note_store_answer(&self, version: Version) {
        self.seen.fetch_max(version.0, Ordering::Relaxed);
        let now = self.timer.now();
        let mut contact = self.lock_contact();
        contact.last = now;
        if contact.since.is_none() {
            contact.since = Some(now);
            drop(contact);
            slog::info!(self.log, "store regained");
        }
    }

    /// Takes note that the store did not answer a call.
    pub(crate) fn note_store_failure(&self, error: &Error) {
        let mut contact = self.lock_contact();
        if contact.since.take().is_some() {
            let silent = self.timer.now().since(contact.last);
            drop(contact);
            slog::warn!(self.log, "store lost"; "error" => %error,
                "silent_ms" => silent.as_millis() as u64);
        }
    }

    fn lock_contact(&self) -> MutexGuard<'_, Contact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn follow_configuration(self: Arc<Self>) {
        let table = self.clients.store.configuration_table.clone();
        let node = Arc::clone(&self);
        let parts = [table.clone()];
        feed::follow(&self, &table, &parts, None, Duration::ZERO, move |news| {
            let (News::All(rows) | News::Changed(rows)) = news;
            node.take_configuration(&rows);
        })
        .await;
    }

    fn take_configuration(&self, rows: &[Row]) {
        let key = &self.clients.store.configuration_key;
        // A feed that lagged tells each change of a row, the newest last.
        let row = rows.iter().rfind(|row| *row.key == **key);
        let Some(text) = row.and_then(|row| row.value.as_deref()) else {
            return;
        };
        match (self.clients.formats.configuration)(text) {
            Ok(configuration) => {
                let current = self.configuration().version;
                let version = configuration.version;
                // An older one would take back what was in force.
                if version > current {
                    self.configuration.send_replace(Arc::new(configuration));
                    slog::info!(self.log, "configuration in force";
                        "version" => version, "before" => current);
                }
            }
            Err(error) => slog::error!(self.log, "configuration can't be read"; "error" => %error),
        }
    }

    /// Tells the other VMs where this one is reached.
    async fn enter(self: Arc<Self>, peers: SocketAddr) {
        const RETRY: Duration = Duration::from_millis(300);
        let entry = record::Node {
            peers,
            cpu_millis: self.config.cpu_millis,
        };
        let value = match record::encode(&entry) {
            Ok(value) => value,
            Err(error) => {
                slog::error!(self.log, "entry can't be encoded"; "error" => %error);
                return;
            }
        };
        let put = Put {
            table: TITLE_TABLE.into(),
            key: format!("{NODE_PREFIX}{}", self.config.name),
            value: Some(value),
        };
        while self.transact(Vec::new(), vec![put.clone()]).await.is_err() {
            self.timer.sleep(RETRY).await;
        }
    }

    /// Takes this VM off the list of the others.
    async fn withdraw(&self) {
        let put = Put {
            table: TITLE_TABLE.into(),
            key: format!("{NODE_PREFIX}{}", self.config.name),
            value: None,
        };
        if let Err(error) = self.transact(Vec::new(), vec![put]).await {
            slog::warn!(self.log, "entry not withdrawn"; "error" => %error);
        }
    }

    /// Returns the owner of the workers, if it is this VM.
    pub(crate) fn owner(&self) -> MutexGuard<'_, Weak<Owner>> {
        self.owner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what this VM knows of the title.
    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.title.lock()
    }
}

impl RunningNode {
    /// Returns where callers reach this VM.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address
    }

    /// Ends the VM without cutting off a call; says whether all were answered in time.
    pub async fn drain(mut self) -> bool {
        let node = Arc::clone(&self.node);
        slog::info!(node.log, "drain begins"; "in_flight" => node.gate.in_flight());
        let limit = node.config.drain_limit.saturating_sub(EXIT_MARGIN);
        let answered = node.timer.timeout(limit, self.leave()).await.is_some();
        self.tasks.shutdown().await;
        slog::info!(node.log, "stop"; "all_answered" => answered);
        answered
    }

    async fn leave(&mut self) {
        let node = Arc::clone(&self.node);
        node.gate.advance(Phase::Leaving);
        node.withdraw().await;
        node.timer.sleep(LEAVE_TIME).await;
        node.gate.advance(Phase::Closing);
        self.callers.close();
        self.ready.close();
        if let Some(metrics) = &self.metrics {
            metrics.close();
        }
        node.gate.idle().await;
        self.callers.closed().await;
        self.peers.stop().await;
    }
}
