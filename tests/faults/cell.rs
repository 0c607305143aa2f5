//! A cell of entry VMs, a platform and workers in one process, with faults drawn by seed.
//!
//! Everything runs on one thread and on tokio's paused clock. Each VM has its own clock, which
//! stops while the VM is paused. Each message is delivered by its own task, so it arrives
//! even if its sender has been killed.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge::{
    acknowledgement::{
        ConfigSync,
        Exchange, //
    },
    commit,
    config::NodeConfig,
    embedded,
    log,
    metrics::Metrics,
    node::Node,
    owner::Owner, //
};
use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    flag::Flag,
    id::{
        Name,
        Session, //
    },
    timer,
    unit::Resources,
    worker::Worker,
};
use basilbridge_endpoints::{
    Client,
    command::Command, //
};
use basilbridge_platform::{
    Platform,
    object,
    table::Service,
    vm::Vm, //
};
use basilbridge_standins::{
    store::Store,
    worker::Fleet, //
};
use futures_util::{
    FutureExt,
    future::BoxFuture, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::{
    sync::oneshot,
    task::JoinSet, //
};

const CLOCK_STEP: Duration = Duration::from_millis(5);
const MAX_WAIT_STEPS: u32 = 40_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time that a worker delays its reply to a renewal, at the lease of the nodes here.
const MAX_RENEWAL_WAIT: Duration = Duration::from_millis(1500);
const MAX_DELAY_MS: u64 = 4000;

/// Name of the platform, which is its store and its list, in a cut.
pub(crate) const PLATFORM: &str = "platform";

/// Runs a future on its own paused clock. Tasks that it spawned end with it.
pub(crate) fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(future)
}

/// Shares of messages that are lost or delayed, in thousandths of all messages.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NetworkFaults {
    pub(crate) lost_per_mille: u32,
    pub(crate) late_per_mille: u32,
}

/// An entry VM with its own clock; its tasks end when it is dropped.
pub(crate) struct EntryVm {
    pub(crate) node: Arc<Node>,
    clock: timer::Service,
    paused: Arc<Flag>,
    _tasks: JoinSet<()>,
}

/// A cell with its store and workers. Clones refer to the same cell.
#[derive(Clone)]
pub(crate) struct Cell {
    pub(crate) timer: timer::Service,
    pub(crate) store: Store,
    pub(crate) fleet: Fleet,
    shared: Arc<Mutex<Shared>>,
}

/// The part of a cell that its clones share under one lock.
struct Shared {
    random: SmallRng,
    network_faults: NetworkFaults,
    /// VMs, and the workers or the platform that they can't reach.
    cuts: BTreeSet<(SocketAddr, Name)>,
    entry_vms: BTreeMap<SocketAddr, EntryVm>,
    next_port: u16,
}

impl Cell {
    /// Creates a cell without entry VMs; each two of its workers form a rack and a shard.
    pub(crate) async fn new(seed: u64, workers: u32) -> Self {
        let timer = timer::Service::start();
        let store = Store::new(timer.clone());
        let workers = self::workers(workers);
        store.set_vms(workers.iter().cloned().map(Vm::Worker).collect());
        let first = embedded::initial_configuration();
        commit::replace(store.platform(), timer.clone(), &first)
            .await
            .unwrap();
        let cell = Self {
            fleet: Fleet::new(timer.clone(), workers),
            store,
            timer,
            shared: Arc::new(Mutex::new(Shared {
                random: SmallRng::seed_from_u64(seed),
                network_faults: NetworkFaults::default(),
                cuts: BTreeSet::new(),
                entry_vms: BTreeMap::new(),
                next_port: 1,
            })),
        };
        tokio::spawn(cell.clone().advance_clocks());
        cell
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_network_faults(&self, network_faults: NetworkFaults) {
        self.lock().network_faults = network_faults;
    }

    /// Cuts a VM off from a worker or from the platform. Calls in flight are still answered.
    pub(crate) fn cut(&self, address: SocketAddr, target: &str) {
        self.lock().cuts.insert((address, target.into()));
    }

    /// Waits until `done` holds and returns the time waited.
    ///
    /// Panics after [`MAX_WAIT_STEPS`] steps of the clock.
    pub(crate) async fn wait_until(&self, done: impl Fn(&Self) -> bool) -> Duration {
        let begin = self.timer.now();
        for _ in 0..MAX_WAIT_STEPS {
            if done(self) {
                return self.timer.now().since(begin);
            }
            self.timer.sleep(CLOCK_STEP).await;
        }
        panic!("the condition did not hold within {MAX_WAIT_STEPS} steps");
    }

    /// Waits until each shard has an owner that has recovered the work of earlier owners.
    pub(crate) async fn wait_until_recovered(&self) -> Duration {
        self.wait_until(|cell| {
            let shards = cell.fleet.workers().len().div_ceil(2);
            let owners = cell.owners();
            owners.len() == shards && owners.iter().all(|owner| owner.is_recovered())
        })
        .await
    }

    /// Returns the owners on all VMs.
    pub(crate) fn owners(&self) -> Vec<Arc<Owner>> {
        let shared = self.lock();
        let entry_vms = shared.entry_vms.values();
        entry_vms.flat_map(|vm| vm.node.owners()).collect()
    }

    /// Draws a number below `bound`.
    pub(crate) fn draw(&self, bound: u64) -> u64 {
        self.lock().random.random_range(0..bound)
    }

    /// Starts a new entry VM and returns its address.
    pub(crate) fn start_vm(&self) -> SocketAddr {
        let (port, session) = {
            let mut shared = self.lock();
            shared.next_port += 1;
            (shared.next_port, Session(shared.random.random()))
        };
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let clock = timer::Service::manual();
        clock.advance(Duration::from_millis(self.timer.now().0));
        let paused = Arc::new(Flag::default());
        let config = NodeConfig {
            racks_per_shard: 1,
            ..NodeConfig::local(&format!("entry-{port}"), "local")
        };
        let node = Node::with_session(
            session,
            config,
            clock.clone(),
            self.platform(address, &paused),
            self.endpoints(address, &paused),
            log::silent(),
            Metrics::none(),
        );
        let mut tasks = JoinSet::new();
        let config_sync = ConfigSync {
            exchange: self.exchange(&paused),
            ..node.config_sync.clone()
        };
        let committed = node.committer.committed();
        config_sync.start(&mut tasks, committed, node.config.poll_interval);
        tasks.spawn(Arc::clone(&node).keep_session(address));
        let entry_vm = EntryVm {
            node,
            clock,
            paused,
            _tasks: tasks,
        };
        self.lock().entry_vms.insert(address, entry_vm);
        address
    }

    /// Kills an entry VM without a drain, as a power failure does.
    pub(crate) fn kill_vm(&self, address: SocketAddr) {
        let entry_vm = self.lock().entry_vms.remove(&address);
        if let Some(entry_vm) = entry_vm {
            entry_vm.node.abandon();
        }
    }

    pub(crate) fn set_paused(&self, address: SocketAddr, paused: bool) {
        if let Some(entry_vm) = self.lock().entry_vms.get(&address) {
            entry_vm.paused.set(paused);
        }
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().entry_vms.keys().copied().collect()
    }

    /// Returns the node at this address, or `None` if it does not run or is paused.
    pub(crate) fn node(&self, address: SocketAddr) -> Option<Arc<Node>> {
        let shared = self.lock();
        let entry_vm = shared.entry_vms.get(&address)?;
        (!entry_vm.paused.is_raised()).then(|| Arc::clone(&entry_vm.node))
    }

    /// Advances the clocks of all VMs that are not paused to the common time.
    async fn advance_clocks(self) {
        loop {
            self.timer.sleep(CLOCK_STEP).await;
            let now = self.timer.now();
            let clocks: Vec<_> = {
                let shared = self.lock();
                let running = shared
                    .entry_vms
                    .values()
                    .filter(|vm| !vm.paused.is_raised());
                running.map(|vm| vm.clock.clone()).collect()
            };
            for clock in clocks {
                clock.advance(now.since(clock.now()));
            }
        }
    }

    /// Returns a function that tells whether a VM is cut off from the `target` of a call.
    fn cut_check<I>(
        &self,
        address: SocketAddr,
        target: impl Fn(&I) -> Name + Send + Sync + 'static,
    ) -> impl Fn(&I) -> bool + Send + Sync + 'static {
        let cell = self.clone();
        move |input| cell.lock().cuts.contains(&(address, target(input)))
    }

    /// Returns the platform as a VM reaches it over the network.
    fn platform(&self, address: SocketAddr, paused: &Arc<Flag>) -> Platform {
        let store = self.store.platform();
        let (writer, reader) = (store.tables.clone(), store.tables.clone());
        let (putter, getter) = (store.objects.clone(), store.objects.clone());
        let lister = store.vms;
        let unknown = |kind| move || Error::new(kind, "no answer came");
        let write_error = unknown(Kind::WriteUnknown);
        let read_error = unknown(Kind::StoreUnavailable);
        Platform {
            tables: Service::new(
                self.link(
                    paused,
                    CALL_TIMEOUT,
                    write_error,
                    self.cut_check(address, |_| PLATFORM.into()),
                    move |transaction| {
                        let tables = writer.clone();
                        async move { tables.transact(transaction).await }.boxed()
                    },
                ),
                self.link(
                    paused,
                    CALL_TIMEOUT,
                    read_error,
                    self.cut_check(address, |_| PLATFORM.into()),
                    move |query| {
                        let tables = reader.clone();
                        async move { tables.scan(query).await }.boxed()
                    },
                ),
            ),
            objects: object::Store::new(
                {
                    let put = self.link(
                        paused,
                        CALL_TIMEOUT,
                        write_error,
                        self.cut_check(address, |_| PLATFORM.into()),
                        move |(key, body)| {
                            let objects = putter.clone();
                            async move { objects.put(key, body).await }.boxed()
                        },
                    );
                    Arc::new(move |key, body| put((key, body)))
                },
                self.link(
                    paused,
                    CALL_TIMEOUT,
                    read_error,
                    self.cut_check(address, |_| PLATFORM.into()),
                    move |key| {
                        let objects = getter.clone();
                        async move { objects.get(key).await }.boxed()
                    },
                ),
            ),
            vms: {
                let list = self.link(
                    paused,
                    CALL_TIMEOUT,
                    read_error,
                    self.cut_check(address, |()| PLATFORM.into()),
                    move |()| lister(),
                );
                Arc::new(move || list(()))
            },
        }
    }

    /// Returns the workers as a VM reaches them over the network.
    fn endpoints(&self, address: SocketAddr, paused: &Arc<Flag>) -> Client {
        let fleet = self.fleet.client();
        let unanswered = || Error::new(Kind::OutcomeUnknown, "no answer came");
        let link = self.link(
            paused,
            CALL_TIMEOUT + MAX_RENEWAL_WAIT,
            unanswered,
            self.cut_check(address, |(worker, _): &(Worker, Command)| {
                worker.name.clone()
            }),
            move |(worker, command)| {
                let fleet = fleet.clone();
                async move { fleet.send(&worker, command).await }.boxed()
            },
        );
        Client::new(Arc::new(move |worker, command| link((worker, command))))
    }

    /// Returns the calls by which a VM exchanges configurations with its peers.
    fn exchange(&self, paused: &Arc<Flag>) -> Exchange {
        let cell = self.clone();
        let unanswered = || Error::new(Kind::Unreachable, "no answer came");
        let link = self.link(
            paused,
            CALL_TIMEOUT,
            unanswered,
            |_| false,
            move |(address, message)| {
                let node = cell.node(address);
                async move {
                    let node = node.ok_or_else(unanswered)?;
                    Ok(node.config_sync.clone().handle_exchange(message).await)
                }
                .boxed()
            },
        );
        Arc::new(move |address, message| link((address, message)))
    }

    /// Returns a function that calls `serve` over a network that delays and loses messages, from a
    /// VM that may be paused.
    ///
    /// A call without an answer within `timeout` returns the error `unknown`. So does one that
    /// `is_cut` tells to be lost.
    fn link<I: Send + 'static, O: Send + 'static>(
        &self,
        paused: &Arc<Flag>,
        timeout: Duration,
        unknown: impl Fn() -> Error + Copy + Send + Sync + 'static,
        is_cut: impl Fn(&I) -> bool + Send + Sync + 'static,
        serve: impl Fn(I) -> BoxFuture<'static, Result<O>> + Send + Sync + 'static,
    ) -> Arc<dyn Fn(I) -> BoxFuture<'static, Result<O>> + Send + Sync> {
        let cell = self.clone();
        let paused = Arc::clone(paused);
        Arc::new(move |input| {
            let mut round_trip = cell.draw_round_trip();
            round_trip.request_lost |= is_cut(&input);
            let response = serve(input);
            let timer = cell.timer.clone();
            let paused = Arc::clone(&paused);
            async move {
                paused.wait_until(false).await;
                let answer = send(timer.clone(), round_trip, response);
                let result = timer.timeout(timeout, answer).await.flatten();
                paused.wait_until(false).await;
                result.unwrap_or_else(|| Err(unknown()))
            }
            .boxed()
        })
    }

    /// Draws the delays and losses of one call.
    fn draw_round_trip(&self) -> RoundTrip {
        let mut shared = self.lock();
        let NetworkFaults {
            lost_per_mille,
            late_per_mille,
        } = shared.network_faults;
        let mut delay = || {
            let max_delay_ms = if shared.random.random_range(0..1000) < late_per_mille {
                MAX_DELAY_MS
            } else {
                3
            };
            Duration::from_millis(shared.random.random_range(1..=max_delay_ms))
        };
        let (request_delay, response_delay) = (delay(), delay());
        RoundTrip {
            request_delay,
            response_delay,
            request_lost: shared.random.random_range(0..1000) < lost_per_mille,
            response_lost: shared.random.random_range(0..1000) < lost_per_mille,
        }
    }
}

/// Delays and losses of a request and its response.
struct RoundTrip {
    request_delay: Duration,
    response_delay: Duration,
    request_lost: bool,
    response_lost: bool,
}

/// Delivers a request and its response in a separate task; returns `None` if either is lost.
async fn send<O: Send + 'static>(
    timer: timer::Service,
    round_trip: RoundTrip,
    response: BoxFuture<'static, Result<O>>,
) -> Option<Result<O>> {
    let (answer, answered) = oneshot::channel();
    tokio::spawn(async move {
        timer.sleep(round_trip.request_delay).await;
        if round_trip.request_lost {
            return wait_without_response(&timer).await;
        }
        let result = response.await;
        timer.sleep(round_trip.response_delay).await;
        if round_trip.response_lost {
            return wait_without_response(&timer).await;
        }
        let _ = answer.send(result);
    });
    answered.await.ok()
}

/// Waits [`CALL_TIMEOUT`], so that the sender of a lost message does not learn of the loss earlier.
async fn wait_without_response(timer: &timer::Service) {
    timer.sleep(CALL_TIMEOUT).await;
}

/// Returns workers with three slots each, two to a rack.
fn workers(count: u32) -> Vec<Worker> {
    let name = Name::from("local");
    let mut workers = embedded::stand_in_workers(&name, count);
    for (number, worker) in workers.iter_mut().enumerate() {
        worker.rack = number as u32 / 2;
        worker.slots = 3;
        worker.capacity = Resources {
            cpu_millis: 3000,
            memory_mib: 3072,
            accelerators: 0,
        };
    }
    workers
}
