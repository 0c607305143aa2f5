//! One entry VM.

use std::{
    collections::BTreeMap,
    io,
    sync::{
        Arc,
        PoisonError,
        RwLock, //
    },
};

use basilbridge_callers as callers;
use basilbridge_common::{
    call::Call,
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Session,
        Shard,
        Version, //
    },
    job::Status,
    timer,
};
use basilbridge_endpoints::Client;
use basilbridge_operators as operators;
use basilbridge_peers::{
    client::Pool,
    server, //
};
use basilbridge_platform::Platform;
use basilbridge_server::{
    drain::{
        DrainState,
        Phase, //
    },
    listener::{
        self,
        Server, //
    },
};
use futures_util::FutureExt;
use slog::Logger;
use tokio::{
    sync::{
        Notify,
        watch, //
    },
    task::JoinSet, //
};

use crate::{
    acknowledgement::ConfigSync,
    active_configuration::ActiveConfiguration,
    admission::Admission,
    commit::Committer,
    config::NodeConfig,
    directory::Directory,
    fleet::Fleet,
    gossip, journal,
    membership::Held,
    metrics::{
        self,
        Metrics, //
    },
    operator,
    owner::Owner,
    participant,
    retry::RetryBudget,
    router,
};

/// One entry VM.
pub struct Node {
    /// The settings of the VM.
    pub config: NodeConfig,
    /// The timer service.
    pub timer: timer::Service,
    /// The configuration that operators have set.
    pub configuration: Arc<ActiveConfiguration>,
    /// Takes the edits of the configuration.
    pub committer: Committer,
    /// Keeps the configuration fresh and tells peers of changes.
    pub config_sync: ConfigSync,
    /// The workers.
    pub fleet: Fleet,
    /// The owners of shards.
    pub directory: Directory,
    /// The connections to other entry VMs.
    pub pool: Pool,
    /// The requests in flight.
    pub drain_state: DrainState,
    /// The submissions that this VM works on.
    pub submissions: Admission,
    /// The calls to other VMs that may be sent again.
    pub retries: RetryBudget,
    /// The callers that wait for jobs here.
    pub waits: Admission,
    /// Where metrics are sent.
    pub metrics: Metrics,
    /// Tells that work waits for an allotment of its team.
    pub(crate) allotment_requested: Arc<Notify>,
    /// What this VM knows of all shards and of the use of teams.
    pub cluster: gossip::ClusterState,
    pub(crate) session: Session,
    pub(crate) platform: Platform,
    pub(crate) endpoints: Client,
    pub(crate) log: Logger,
    pub(crate) journals: journal::Journals,
    pub(crate) writer: journal::PendingWriter,
    pub(crate) held: RwLock<BTreeMap<Shard, Held>>,
    pub(crate) rounds: watch::Sender<u64>,
}

/// The servers of an entry VM and what keeps it going.
pub struct RunningNode {
    /// The VM.
    pub node: Arc<Node>,
    /// The interface for callers.
    pub callers: Server,
    /// The interface for operators.
    pub operators: Server,
    /// The interface for other entry VMs.
    pub peers: server::Server,
    tasks: JoinSet<()>,
}

impl Node {
    /// Makes an entry VM that does nothing yet.
    pub fn new(
        config: NodeConfig,
        timer: timer::Service,
        platform: Platform,
        endpoints: Client,
        log: Logger,
        metrics: Metrics,
    ) -> Arc<Self> {
        let session = Session(rand::random());
        Self::with_session(session, config, timer, platform, endpoints, log, metrics)
    }

    /// Makes an entry VM with a session that the caller has drawn, so that a run can be repeated.
    pub fn with_session(
        session: Session,
        config: NodeConfig,
        timer: timer::Service,
        platform: Platform,
        endpoints: Client,
        log: Logger,
        metrics: Metrics,
    ) -> Arc<Self> {
        let log = log.new(slog::o!("vm" => config.name.to_string()));
        let (journals, writer) = journal::Journals::new(platform.clone(), timer.clone());
        let configuration = ActiveConfiguration::new(timer.clone(), config.bootstrap_key.clone());
        let configuration = Arc::new(configuration);
        let committer = Committer::new(Arc::clone(&configuration), platform.clone(), timer.clone());
        let pool = Pool::new(timer.clone());
        let config_sync = ConfigSync::new(
            session,
            Arc::clone(&configuration),
            pool.clone(),
            platform.tables.clone(),
            timer.clone(),
        );
        Arc::new(Self {
            configuration,
            committer,
            config_sync,
            fleet: Fleet::new(config.racks_per_shard),
            directory: Directory::default(),
            pool,
            drain_state: DrainState::default(),
            submissions: Admission::new(config.max_requests),
            waits: Admission::new(config.max_requests),
            retries: RetryBudget::default(),
            session,
            allotment_requested: Arc::default(),
            metrics,
            cluster: gossip::ClusterState::new(session, config.data_centre.clone()),
            platform,
            endpoints,
            log,
            journals,
            writer: journal::PendingWriter::new(writer),
            held: RwLock::default(),
            rounds: watch::Sender::new(0),
            timer,
            config,
        })
    }

    /// Starts to serve and to claim shards.
    pub async fn start(self: &Arc<Self>) -> io::Result<RunningNode> {
        let peers = server::Server::start(self.config.peers, self.peer_app()).await?;
        let caller_router = callers::route::router(self.caller_app());
        let settings = listener::Settings::new(self.timer.clone(), self.drain_state.clone());
        let callers = Server::start(self.config.callers, caller_router, settings.clone()).await?;
        let operator_router = operators::route::router(operator::app(self));
        let operators = Server::start(self.config.operators, operator_router, settings).await?;
        let mut tasks = JoinSet::new();
        self.committer.start(&mut tasks);
        let committed = self.committer.committed();
        let config_sync = self.config_sync.clone();
        config_sync.start(&mut tasks, committed, self.config.poll_interval);
        tasks.spawn(Arc::clone(self).keep_session(peers.address));
        tasks.spawn(participant::run(Arc::clone(self)));
        tasks.spawn(gossip::run(Arc::clone(self)));
        tasks.spawn(Arc::clone(self).report());
        Ok(RunningNode {
            node: Arc::clone(self),
            callers,
            operators,
            peers,
            tasks,
        })
    }

    /// Returns the owner of a shard, if it is this VM.
    pub fn owner(&self, shard: &Shard) -> Option<Arc<Owner>> {
        let held = self.held.read().unwrap_or_else(PoisonError::into_inner);
        held.get(shard).map(|held| Arc::clone(&held.owner))
    }

    /// Returns the owners of all shards that this VM holds.
    pub fn owners(&self) -> Vec<Arc<Owner>> {
        let held = self.held.read().unwrap_or_else(PoisonError::into_inner);
        held.values().map(|held| Arc::clone(&held.owner)).collect()
    }

    /// Says whether this VM takes requests.
    pub fn is_ready(&self) -> bool {
        let started = self.configuration.current().version > Version(0);
        started && !self.drain_state.is_draining() && !self.directory.shards().is_empty()
    }

    /// Waits until this VM takes requests.
    pub async fn until_ready(&self) {
        let mut rounds = self.rounds.subscribe();
        while !self.is_ready() {
            if rounds.changed().await.is_err() {
                return;
            }
        }
    }

    fn caller_app(self: &Arc<Self>) -> callers::App {
        let node = Arc::clone(self);
        let ready = Arc::clone(self);
        callers::App {
            handle: Arc::new(move |request| {
                let node = Arc::clone(&node);
                async move { node.handle_request(request).await }.boxed()
            }),
            ready: Arc::new(move || ready.is_ready()),
            drain_state: self.drain_state.clone(),
        }
    }

    fn peer_app(self: &Arc<Self>) -> server::App {
        let node = Arc::clone(self);
        let news = Arc::clone(self);
        let config_sync = self.config_sync.clone();
        server::App {
            configure: Arc::new(move |told| config_sync.clone().handle_exchange(told).boxed()),
            forward: Arc::new(move |call| {
                let node = Arc::clone(&node);
                async move { node.handle_forwarded(call).await }.boxed()
            }),
            exchange: Arc::new(move |told| news.cluster.handle_message(&told, news.timer.now())),
        }
    }

    async fn handle_request(&self, request: callers::Request) -> Result<Status> {
        let start = self.timer.now();
        let request_id = request.request_id.clone();
        let result = router::route(self, request).await;
        let time = self.timer.now().since(start);
        let refused = result.as_ref().err();
        self.metrics
            .record_answer(time, refused.map(|error| error.kind));
        match refused {
            None => slog::debug!(self.log, "answered"; "request_id" => %request_id),
            Some(error) => {
                slog::info!(self.log, "refused"; "request_id" => %request_id, "error" => %error);
            }
        }
        result
    }

    fn report_shards(&self, owners: &[Arc<Owner>]) {
        const PER_MILLE: f64 = 1000.0;
        let packing = owners.iter().map(|owner| owner.utilization());
        let (given, capacity) = packing.fold((0, 0), |(given, capacity), shard| {
            (
                given + shard.allocated.cpu_millis,
                capacity + shard.capacity.cpu_millis,
            )
        });
        if let Some(packing) = (given * 1000).checked_div(capacity) {
            self.metrics.gauge(metrics::PACKING, packing);
        }
        let nearness = owners.iter().filter_map(|owner| owner.nearness());
        if let Some(least) = nearness.reduce(f64::min) {
            let per_mille = (least * PER_MILLE).round() as u64;
            self.metrics.gauge(metrics::NEARNESS, per_mille);
        }
    }

    /// Sends the gauges until the VM stops.
    async fn report(self: Arc<Self>) {
        loop {
            let owners = self.owners();
            let loads: Vec<_> = owners.iter().map(|owner| owner.load()).collect();
            let queued = loads.iter().map(|(queued, _)| *queued as u64).sum();
            let running = loads.iter().map(|(_, running)| *running as u64).sum();
            self.metrics.gauge(metrics::TASKS_QUEUED, queued);
            self.metrics.gauge(metrics::TASKS_RUNNING, running);
            self.metrics
                .gauge(metrics::SHARDS_OWNED, owners.len() as u64);
            self.report_shards(&owners);
            self.metrics.send_process_gauges();
            self.timer.sleep(metrics::GAUGE_INTERVAL).await;
        }
    }

    /// Handles a call from a peer; it is never handed on, so that calls can't circle.
    pub async fn handle_forwarded(&self, call: Call) -> Result<Status> {
        let shard = call.verb.shard();
        match self.owner(shard) {
            Some(owner) => owner.handle(call).await,
            None => {
                let message = format!("this VM does not own shard {shard}");
                Err(Error::new(Kind::NotOwner, message))
            }
        }
    }
}

impl RunningNode {
    /// Ends the VM without cutting off a request; says whether all were answered in time.
    ///
    /// `docs/design/drain.md` has the order of the steps.
    pub async fn drain(mut self) -> bool {
        let (timer, limit) = (self.node.timer.clone(), self.node.config.drain_limit);
        let answered = timer.timeout(limit, self.leave()).await.is_some();
        self.tasks.shutdown().await;
        answered
    }

    async fn leave(&mut self) {
        let node = Arc::clone(&self.node);
        slog::info!(node.log, "drain begins");
        node.drain_state.advance(Phase::Draining);
        node.timer.sleep(node.config.drain_grace).await;
        // What comes in on open connections from here on goes to the next owners.
        if !node.hand_over().await {
            slog::warn!(
                node.log,
                "shards not handed over; they lapse with the session"
            );
        }
        node.drain_state.advance(Phase::Closing);
        self.callers.close();
        self.operators.close();
        node.drain_state.wait_idle().await;
        self.callers.wait_closed().await;
        self.operators.wait_closed().await;
        self.peers.stop().await;
        slog::info!(node.log, "drain ends");
    }
}
