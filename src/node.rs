//! An entry VM.

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
    membership::OwnedShard,
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

/// Operators get one in so many of the connections, and callers the others.
const OPERATOR_DIVISOR: usize = 8;

/// An entry VM.
pub struct Node {
    /// The process settings of the VM.
    pub config: NodeConfig,
    /// The timer service.
    pub timer: timer::Service,
    /// The configuration that operators have set.
    pub configuration: Arc<ActiveConfiguration>,
    /// Commits edits of the configuration.
    pub committer: Committer,
    /// Keeps the configuration up to date and sends changes to peers.
    pub config_sync: ConfigSync,
    /// The workers that the platform lists.
    pub fleet: Fleet,
    /// The live entry VMs and the owners of shards.
    pub directory: Directory,
    /// The connections to other entry VMs.
    pub pool: Pool,
    /// The phase of a drain and the requests in flight.
    pub drain_state: DrainState,
    /// Limits the submissions in flight.
    pub submissions: Admission,
    /// Limits the retries of calls.
    pub retries: RetryBudget,
    /// Limits the callers that wait for jobs.
    pub waits: Admission,
    /// The sink of metrics.
    pub metrics: Metrics,
    /// Signals that work waits for an allotment of its team.
    pub(crate) allotment_requested: Arc<Notify>,
    /// What this VM knows about all shards and about the resource usage of teams.
    pub cluster: gossip::ClusterState,
    pub(crate) session: Session,
    pub(crate) platform: Platform,
    pub(crate) endpoints: Client,
    pub(crate) log: Logger,
    pub(crate) journals: journal::Journals,
    pub(crate) writer: journal::PendingWriter,
    pub(crate) owned_shards: RwLock<BTreeMap<Shard, OwnedShard>>,
    /// The number of rounds that the VM has run.
    pub(crate) rounds: watch::Sender<u64>,
}

/// A started entry VM, with its servers and background tasks.
pub struct RunningNode {
    /// The VM.
    pub node: Arc<Node>,
    /// The server for callers.
    pub callers: Server,
    /// The server for operators.
    pub operators: Server,
    /// The server for other entry VMs.
    pub peers: server::Server,
    tasks: JoinSet<()>,
}

impl Node {
    /// Creates an entry VM with a random session. [`Node::start`] starts it.
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

    /// Creates an entry VM with a given session, so that a test run can be reproduced.
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
            owned_shards: RwLock::default(),
            rounds: watch::Sender::new(0),
            timer,
            config,
        })
    }

    /// Starts the servers and background tasks, which claim shards.
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(self: &Arc<Self>) -> io::Result<RunningNode> {
        let peers = server::Server::start(self.config.peers, self.peer_app()).await?;
        let caller_router = callers::route::router(self.caller_app());
        let share = self.config.client_share();
        let (caller_share, operator_share) = share.split(OPERATOR_DIVISOR);
        let budget = share.budget();
        let settings = listener::Settings::new(self.timer.clone(), self.drain_state.clone());
        let callers = Server::start(
            self.config.callers,
            caller_router,
            settings.clone().with_share(&caller_share, &budget),
        )
        .await?;
        let operator_router = operators::route::router(operator::app(self));
        let settings = settings.with_share(&operator_share, &budget);
        let operators = Server::start(self.config.operators, operator_router, settings).await?;
        let mut tasks = JoinSet::new();
        self.committer.start(&mut tasks);
        let committed = self.committer.committed();
        let config_sync = self.config_sync.clone();
        config_sync.start(&mut tasks, committed, self.config.poll_interval);
        tasks.spawn(Arc::clone(self).keep_session(peers.address));
        tasks.spawn(participant::run(Arc::clone(self)));
        tasks.spawn(gossip::run(Arc::clone(self)));
        tasks.spawn(Arc::clone(self).report_gauges());
        Ok(RunningNode {
            node: Arc::clone(self),
            callers,
            operators,
            peers,
            tasks,
        })
    }

    /// Returns the owner of a shard if this VM owns the shard.
    pub fn owner(&self, shard: &Shard) -> Option<Arc<Owner>> {
        let owned = self
            .owned_shards
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        owned.get(shard).map(|owned| Arc::clone(&owned.owner))
    }

    /// Returns the owners of all shards that this VM owns.
    pub fn owners(&self) -> Vec<Arc<Owner>> {
        let owned = self
            .owned_shards
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        owned
            .values()
            .map(|owned| Arc::clone(&owned.owner))
            .collect()
    }

    /// Returns whether this VM accepts requests: it has a configuration, does not drain, and knows
    /// the owner of a shard.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.configuration.current().version > Version(0);
        is_configured && !self.drain_state.is_draining() && !self.directory.shards().is_empty()
    }

    /// Waits until this VM accepts requests.
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
        let ready_node = Arc::clone(self);
        callers::App {
            handle: Arc::new(move |request| {
                let node = Arc::clone(&node);
                async move { node.handle_request(request).await }.boxed()
            }),
            ready: Arc::new(move || ready_node.is_ready()),
            drain_state: self.drain_state.clone(),
        }
    }

    fn peer_app(self: &Arc<Self>) -> server::App {
        let node = Arc::clone(self);
        let peer = Arc::clone(self);
        let config_sync = self.config_sync.clone();
        server::App {
            configure: Arc::new(move |theirs| config_sync.clone().handle_exchange(theirs).boxed()),
            forward: Arc::new(move |call| {
                let node = Arc::clone(&node);
                async move { node.handle_forwarded(call).await }.boxed()
            }),
            exchange: Arc::new(move |message| {
                peer.cluster.handle_message(&message, peer.timer.now())
            }),
        }
    }

    async fn handle_request(&self, request: callers::Request) -> Result<Status> {
        let start = self.timer.now();
        let request_id = request.request_id.clone();
        let result = router::route(self, request).await;
        let time = self.timer.now().since(start);
        let error = result.as_ref().err();
        self.metrics
            .record_answer(time, error.map(|error| error.kind));
        match error {
            None => slog::debug!(self.log, "request answered"; "request_id" => %request_id),
            Some(error) => {
                slog::info!(
                    self.log,
                    "request failed";
                    "request_id" => %request_id,
                    "error" => %error,
                );
            }
        }
        result
    }

    /// Sends the gauges of the utilization of the shards and of how near teams are to their shares.
    fn report_shards(&self, owners: &[Arc<Owner>]) {
        const PER_MILLE: f64 = 1000.0;
        let utilization = owners.iter().map(|owner| owner.utilization());
        let (allocated, capacity) = utilization.fold((0, 0), |(allocated, capacity), shard| {
            (
                allocated + shard.allocated.cpu_millis,
                capacity + shard.capacity.cpu_millis,
            )
        });
        if let Some(packing) = (allocated * 1000).checked_div(capacity) {
            self.metrics.gauge(metrics::PACKING, packing);
        }
        let nearness = owners.iter().filter_map(|owner| owner.nearness());
        if let Some(min_nearness) = nearness.reduce(f64::min) {
            let per_mille = (min_nearness * PER_MILLE).round() as u64;
            self.metrics.gauge(metrics::NEARNESS, per_mille);
        }
    }

    /// Sends the gauges until the VM stops.
    async fn report_gauges(self: Arc<Self>) {
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

    /// Handles a call that a peer has forwarded. It is never forwarded again, so that calls can't
    /// loop. Returns a [`NotOwner`](Kind::NotOwner) error if this VM does not own the shard.
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
    /// Stops the VM once all requests in flight are answered or the drain limit is over, and
    /// returns whether all were answered. See `docs/design/drain.md`.
    pub async fn drain(mut self) -> bool {
        let (timer, limit) = (self.node.timer.clone(), self.node.config.drain_limit);
        let answered = timer.timeout(limit, self.run_drain()).await.is_some();
        self.tasks.shutdown().await;
        answered
    }

    async fn run_drain(&mut self) {
        let node = Arc::clone(&self.node);
        slog::info!(node.log, "drain begins");
        node.drain_state.advance(Phase::Draining);
        node.timer.sleep(node.config.drain_grace).await;
        // Requests that arrive on open connections after the hand-over are forwarded to the next
        // owners.
        if !node.hand_over().await {
            slog::warn!(
                node.log,
                "failed to release all shards, the others become claimable when the session lapses"
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
