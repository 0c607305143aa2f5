//! One entry VM.

use std::{
    collections::HashMap,
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
    News,
    client::Pool,
    server, //
};
use basilbridge_platform::Platform;
use basilbridge_server::{
    gate::Gate,
    listener::Server, //
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
    acknowledgement::Messenger,
    commit::Committer,
    config::Config,
    directory::{
        self,
        Directory, //
    },
    dispatch,
    fleet::Fleet,
    journal::{
        Journal,
        Title, //
    },
    metrics::{
        self,
        Metrics, //
    },
    operator,
    owner::{
        Owner,
        Tools, //
    },
    renewal, router, seat,
    session::{
        self,
        Observer,
        Record,
        View, //
    },
    settings::Settings,
    takeover,
};

/// An owner and the tasks that work for it.
struct Held {
    owner: Arc<Owner>,
    _tasks: JoinSet<()>,
}

/// One entry VM.
pub struct Node {
    /// The settings of the VM.
    pub config: Config,
    /// The timer service.
    pub timer: timer::Service,
    /// The configuration that operators have set.
    pub settings: Arc<Settings>,
    /// Takes the edits of the configuration.
    pub committer: Committer,
    /// Keeps the configuration fresh and tells peers of changes.
    pub messenger: Messenger,
    /// The workers.
    pub fleet: Fleet,
    /// The owners of shards.
    pub directory: Directory,
    /// The connections to other entry VMs.
    pub pool: Pool,
    /// The requests in flight.
    pub gate: Gate,
    /// Where metrics are sent.
    pub metrics: Metrics,
    /// Tells that work waits for an allotment of its team.
    pub(crate) allotments: Arc<Notify>,
    pub(crate) session: Session,
    pub(crate) platform: Platform,
    endpoints: Client,
    log: Logger,
    held: RwLock<HashMap<Shard, Held>>,
    rounds: watch::Sender<u64>,
}

/// The servers of an entry VM and what keeps it going.
pub struct Running {
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
        config: Config,
        timer: timer::Service,
        platform: Platform,
        endpoints: Client,
        log: Logger,
        metrics: Metrics,
    ) -> Arc<Self> {
        let log = log.new(slog::o!("vm" => config.name.to_string()));
        let settings = Settings::new(timer.clone(), config.bootstrap_key.clone());
        let settings = Arc::new(settings);
        let committer = Committer::new(Arc::clone(&settings), platform.clone(), timer.clone());
        let pool = Pool::new(timer.clone());
        let session = Session(rand::random());
        let messenger = Messenger::new(
            session,
            Arc::clone(&settings),
            pool.clone(),
            platform.tables.clone(),
            timer.clone(),
        );
        Arc::new(Self {
            settings,
            committer,
            messenger,
            fleet: Fleet::new(config.racks_per_shard),
            directory: Directory::default(),
            pool,
            gate: Gate::default(),
            session,
            allotments: Arc::default(),
            metrics,
            platform,
            endpoints,
            log,
            held: RwLock::default(),
            rounds: watch::Sender::new(0),
            timer,
            config,
        })
    }

    /// Starts to serve and to claim shards.
    pub async fn start(self: &Arc<Self>) -> io::Result<Running> {
        let peers = server::Server::start(self.config.peers, self.peer_app()).await?;
        let caller_router = callers::route::router(self.caller_app());
        let callers = Server::start(self.config.callers, caller_router).await?;
        let operator_router = operators::route::router(operator::app(self));
        let operators = Server::start(self.config.operators, operator_router).await?;
        let record = Record {
            session: self.session,
            name: self.config.name.clone(),
            address: peers.address,
            data_centre: self.config.data_centre.clone(),
            renewals: 0,
            configuration: Version(0),
        };
        let mut tasks = JoinSet::new();
        self.committer.start(&mut tasks);
        let committed = self.committer.committed();
        let messenger = self.messenger.clone();
        messenger.start(&mut tasks, committed, self.config.poll_interval);
        tasks.spawn(Arc::clone(self).keep_session(record));
        tasks.spawn(seat::run(Arc::clone(self)));
        tasks.spawn(Arc::clone(self).report());
        Ok(Running {
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
        let started = self.settings.current().version > Version(0);
        started && !self.gate.is_draining() && !self.directory.shards().is_empty()
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

    async fn keep_session(self: Arc<Self>, mut record: Record) {
        let mut version = Version(0);
        let mut observer = Observer::default();
        let mut renewed = self.timer.now();
        loop {
            record.renewals += 1;
            record.configuration = self.settings.current().version;
            match session::renew(&self.platform.tables, &record, version).await {
                Ok(next) => {
                    version = next;
                    let now = self.timer.now();
                    if now.since(renewed) >= self.config.session_lease {
                        self.messenger.tracker.lapsed();
                    }
                    renewed = now;
                }
                Err(error) => slog::warn!(self.log, "session not renewed"; "error" => %error),
            }
            if let Err(error) = self.round(&mut observer).await {
                slog::warn!(self.log, "round failed"; "error" => %error);
            }
            self.rounds.send_modify(|rounds| *rounds += 1);
            self.timer.sleep(self.config.poll_interval).await;
        }
    }

    /// Reads what has changed and claims the shards that fall to this VM.
    async fn round(self: &Arc<Self>, observer: &mut Observer) -> Result<()> {
        let tables = &self.platform.tables;
        self.fleet.set((self.platform.vms)().await?);
        let now = self.timer.now();
        let view = observer
            .observe(tables, now, self.config.session_lease)
            .await?;
        let lease = self.config.session_lease;
        let tracker = &self.messenger.tracker;
        tracker.observe(&view.live, self.session, now, lease);
        self.learn(&view);
        for (shard, workers) in self.fleet.shards() {
            if let Some(owner) = self.owner(&shard) {
                owner.set_workers(workers);
            } else if !view.is_owned(&shard) && view.preferred(&shard) == Some(self.session) {
                let known = view.claims.get(&shard);
                if let Some(title) = session::claim(tables, self.session, &shard, known).await? {
                    self.hold(title, workers);
                }
            }
        }
        Ok(())
    }

    fn learn(&self, view: &View) {
        self.directory.set_members(view.live.clone());
        for (shard, (claim, _)) in &view.claims {
            let owner = view
                .live
                .iter()
                .find(|record| record.session == claim.session);
            if let Some(owner) = owner {
                let entry = directory::Entry {
                    address: owner.address,
                    epoch: claim.epoch,
                };
                self.directory.learn(shard.clone(), entry);
            }
            self.release_if_lost(shard, claim);
        }
    }

    fn release_if_lost(&self, shard: &Shard, claim: &session::Claim) {
        let mut held = self.held.write().unwrap_or_else(PoisonError::into_inner);
        let lost = held
            .get(shard)
            .is_some_and(|held| held.owner.title.epoch < claim.epoch);
        if lost {
            slog::warn!(self.log, "shard lost"; "shard" => %shard, "epoch" => claim.epoch.0);
            held.remove(shard);
        }
    }

    fn hold(self: &Arc<Self>, title: Title, workers: Vec<basilbridge_common::worker::Worker>) {
        let shard = title.shard.clone();
        let log = self.log.new(slog::o!(
            "shard" => shard.to_string(),
            "epoch" => title.epoch.0,
        ));
        slog::info!(log, "shard claimed"; "workers" => workers.len());
        let (journal, writer) = Journal::new(
            self.platform.tables.clone(),
            self.timer.clone(),
            title.clone(),
        );
        let tools = Tools {
            timer: self.timer.clone(),
            endpoints: self.endpoints.clone(),
            journal,
            log,
            task_lease: self.config.task_lease,
            allotments: Arc::clone(&self.allotments),
        };
        let owner = Owner::new(title, tools, workers);
        let mut tasks = JoinSet::new();
        tasks.spawn(writer);
        tasks.spawn(work(
            Arc::clone(self),
            Arc::clone(&owner),
            self.platform.clone(),
        ));
        let mut held = self.held.write().unwrap_or_else(PoisonError::into_inner);
        held.insert(
            shard,
            Held {
                owner,
                _tasks: tasks,
            },
        );
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
            gate: self.gate.clone(),
        }
    }

    fn peer_app(self: &Arc<Self>) -> server::App {
        let node = Arc::clone(self);
        let news = Arc::clone(self);
        let messenger = self.messenger.clone();
        server::App {
            configure: Arc::new(move |told| messenger.clone().answer(told).boxed()),
            forward: Arc::new(move |call| {
                let node = Arc::clone(&node);
                async move { node.handle_forwarded(call).await }.boxed()
            }),
            exchange: Arc::new(move |_| News {
                session: news.session.0,
                configuration: news.settings.current().version.0,
                shards: Vec::new(),
            }),
        }
    }

    async fn handle_request(&self, request: callers::Request) -> Result<Status> {
        let start = self.timer.now();
        let request_id = request.request_id.clone();
        let result = router::route(self, request).await;
        let time = self.timer.now().since(start);
        let refused = result.as_ref().err();
        self.metrics.answered(time, refused.map(|error| error.kind));
        match refused {
            None => slog::debug!(self.log, "answered"; "request_id" => %request_id),
            Some(error) => {
                slog::info!(self.log, "refused"; "request_id" => %request_id, "error" => %error);
            }
        }
        result
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
            self.metrics.control();
            self.timer.sleep(metrics::GAUGE_INTERVAL).await;
        }
    }

    /// Handles a call from a peer; it is never handed on, so that calls can't circle.
    async fn handle_forwarded(&self, call: Call) -> Result<Status> {
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

async fn work(node: Arc<Node>, owner: Arc<Owner>, platform: Platform) {
    while let Err(error) = takeover::run(Arc::clone(&owner), platform.tables.clone()).await {
        slog::warn!(owner.tools.log, "takeover failed"; "error" => %error);
        node.timer.sleep(node.config.poll_interval).await;
    }
    tokio::join!(dispatch::run(Arc::clone(&owner)), renewal::run(owner));
}

impl Running {
    /// Stops taking requests, waits for those in flight and ends.
    pub async fn drain(mut self) {
        self.node.gate.drain();
        self.callers.stop_accepting();
        self.operators.stop_accepting();
        self.node.gate.idle().await;
        self.peers.stop().await;
        self.tasks.shutdown().await;
    }
}
