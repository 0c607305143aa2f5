//! Several entry VMs, a platform and workers in one process, with faults by seed.
//!
//! All of it runs on one thread and on tokio's paused clock. Each VM has a clock of its own, so
//! that a paused VM sees no time pass until it goes on. Each message travels in a task of its
//! own, so that it arrives even when its sender has died.

use std::{
    collections::BTreeMap,
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
        ConfigSync, //
        Exchange,
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
use basilbridge_endpoints::Client;
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

const STEP: Duration = Duration::from_millis(5);
const LONGEST_WAIT_STEPS: u32 = 40_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a worker may hold a renewal back, at the lease that the nodes here run with.
const RENEWAL_WAIT: Duration = Duration::from_millis(1500);
const LONGEST_DELAY_MS: u64 = 4000;

/// Runs a future on a paused clock of its own; what it leaves behind ends with it.
pub(crate) fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(future)
}

/// How messages fare, in thousandths of all messages.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Weather {
    pub(crate) lost: u32,
    pub(crate) late: u32,
}

/// One entry VM.
pub(crate) struct Machine {
    pub(crate) node: Arc<Node>,
    clock: timer::Service,
    paused: Arc<Flag>,
    _tasks: JoinSet<()>,
}

/// The whole cell; clones share it.
#[derive(Clone)]
pub(crate) struct Cell {
    pub(crate) timer: timer::Service,
    pub(crate) store: Store,
    pub(crate) fleet: Fleet,
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    random: SmallRng,
    weather: Weather,
    machines: BTreeMap<SocketAddr, Machine>,
    next_port: u16,
}

impl Cell {
    /// Makes a cell of `workers` workers, two to a rack and a shard, without entry VMs.
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
                weather: Weather::default(),
                machines: BTreeMap::new(),
                next_port: 1,
            })),
        };
        tokio::spawn(cell.clone().advance_clocks());
        cell
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_weather(&self, weather: Weather) {
        self.lock().weather = weather;
    }

    /// Waits until `done` holds, and returns how long that took.
    pub(crate) async fn until(&self, done: impl Fn(&Self) -> bool) -> Duration {
        let begin = self.timer.now();
        for _ in 0..LONGEST_WAIT_STEPS {
            if done(self) {
                return self.timer.now().since(begin);
            }
            self.timer.sleep(STEP).await;
        }
        panic!("it took too long");
    }

    /// Waits until each shard has an owner that has settled all that was left to it.
    pub(crate) async fn until_settled(&self) -> Duration {
        self.until(|cell| {
            let shards = cell.fleet.workers().len().div_ceil(2);
            let owners = cell.owners();
            owners.len() == shards && owners.iter().all(|owner| owner.is_recovered())
        })
        .await
    }

    /// Returns the owners on all VMs.
    pub(crate) fn owners(&self) -> Vec<Arc<Owner>> {
        let shared = self.lock();
        let machines = shared.machines.values();
        machines.flat_map(|vm| vm.node.owners()).collect()
    }

    /// Draws a number below `bound`.
    pub(crate) fn draw(&self, bound: u64) -> u64 {
        self.lock().random.random_range(0..bound)
    }

    /// Starts a new entry VM and returns its address.
    pub(crate) fn start(&self) -> SocketAddr {
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
            self.platform(&paused),
            self.endpoints(&paused),
            log::silent(),
            Metrics::none(),
        );
        let mut tasks = JoinSet::new();
        let messenger = ConfigSync {
            exchange: self.exchange(&paused),
            ..node.config_sync.clone()
        };
        let committed = node.committer.committed();
        messenger.start(&mut tasks, committed, node.config.poll_interval);
        tasks.spawn(Arc::clone(&node).keep_session(address));
        let machine = Machine {
            node,
            clock,
            paused,
            _tasks: tasks,
        };
        self.lock().machines.insert(address, machine);
        address
    }

    /// Ends an entry VM as if its power had gone.
    pub(crate) fn kill(&self, address: SocketAddr) {
        let machine = self.lock().machines.remove(&address);
        if let Some(machine) = machine {
            machine.node.abandon();
        }
    }

    pub(crate) fn set_paused(&self, address: SocketAddr, paused: bool) {
        if let Some(machine) = self.lock().machines.get(&address) {
            machine.paused.set(paused);
        }
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().machines.keys().copied().collect()
    }

    pub(crate) fn node(&self, address: SocketAddr) -> Option<Arc<Node>> {
        let shared = self.lock();
        let machine = shared.machines.get(&address)?;
        (!machine.paused.is_raised()).then(|| Arc::clone(&machine.node))
    }

    /// Moves the clocks of all VMs that are not paused up to the common time.
    async fn advance_clocks(self) {
        loop {
            self.timer.sleep(STEP).await;
            let now = self.timer.now();
            let clocks: Vec<_> = {
                let shared = self.lock();
                let awake = shared.machines.values().filter(|vm| !vm.paused.is_raised());
                awake.map(|vm| vm.clock.clone()).collect()
            };
            for clock in clocks {
                clock.advance(now.since(clock.now()));
            }
        }
    }

    fn platform(&self, paused: &Arc<Flag>) -> Platform {
        let store = self.store.platform();
        let (writer, reader) = (store.tables.clone(), store.tables.clone());
        let (putter, getter) = (store.objects.clone(), store.objects.clone());
        let lister = store.vms;
        let unknown = |kind| move || Error::new(kind, "no answer came");
        let write = unknown(Kind::WriteUnknown);
        let read = unknown(Kind::StoreUnavailable);
        Platform {
            tables: Service::new(
                self.link(paused, CALL_TIMEOUT, write, move |transaction| {
                    let tables = writer.clone();
                    async move { tables.transact(transaction).await }.boxed()
                }),
                self.link(paused, CALL_TIMEOUT, read, move |query| {
                    let tables = reader.clone();
                    async move { tables.scan(query).await }.boxed()
                }),
            ),
            objects: object::Store::new(
                {
                    let put = self.link(paused, CALL_TIMEOUT, write, move |(key, body)| {
                        let objects = putter.clone();
                        async move { objects.put(key, body).await }.boxed()
                    });
                    Arc::new(move |key, body| put((key, body)))
                },
                self.link(paused, CALL_TIMEOUT, read, move |key| {
                    let objects = getter.clone();
                    async move { objects.get(key).await }.boxed()
                }),
            ),
            vms: {
                let list = self.link(paused, CALL_TIMEOUT, read, move |()| lister());
                Arc::new(move || list(()))
            },
        }
    }

    fn endpoints(&self, paused: &Arc<Flag>) -> Client {
        let fleet = self.fleet.client();
        let silent = || Error::new(Kind::OutcomeUnknown, "no answer came");
        let link = self.link(
            paused,
            CALL_TIMEOUT + RENEWAL_WAIT,
            silent,
            move |(worker, command)| {
                let fleet = fleet.clone();
                async move { fleet.send(&worker, command).await }.boxed()
            },
        );
        Client::new(Arc::new(move |worker, command| link((worker, command))))
    }

    /// Swaps news of the configuration between the VMs.
    fn exchange(&self, paused: &Arc<Flag>) -> Exchange {
        let cell = self.clone();
        let silent = || Error::new(Kind::Unreachable, "no answer came");
        let link = self.link(paused, CALL_TIMEOUT, silent, move |(address, told)| {
            let node = cell.node(address);
            async move {
                let node = node.ok_or_else(silent)?;
                Ok(node.config_sync.clone().handle_exchange(told).await)
            }
            .boxed()
        });
        Arc::new(move |address, told| link((address, told)))
    }

    /// Carries calls over a network that delays and loses, from a VM that may be paused.
    fn link<I: Send + 'static, O: Send + 'static>(
        &self,
        paused: &Arc<Flag>,
        timeout: Duration,
        unknown: impl Fn() -> Error + Copy + Send + Sync + 'static,
        serve: impl Fn(I) -> BoxFuture<'static, Result<O>> + Send + Sync + 'static,
    ) -> Arc<dyn Fn(I) -> BoxFuture<'static, Result<O>> + Send + Sync> {
        let cell = self.clone();
        let paused = Arc::clone(paused);
        Arc::new(move |input| {
            let trip = cell.trip();
            let served = serve(input);
            let timer = cell.timer.clone();
            let paused = Arc::clone(&paused);
            async move {
                paused.wait_until(false).await;
                let answer = send(timer.clone(), trip, served);
                let result = timer.timeout(timeout, answer).await.flatten();
                paused.wait_until(false).await;
                result.unwrap_or_else(|| Err(unknown()))
            }
            .boxed()
        })
    }

    fn trip(&self) -> Trip {
        let mut shared = self.lock();
        let Weather { lost, late } = shared.weather;
        let mut delay = || {
            let longest = if shared.random.random_range(0..1000) < late {
                LONGEST_DELAY_MS
            } else {
                3
            };
            Duration::from_millis(shared.random.random_range(1..=longest))
        };
        let (out, back) = (delay(), delay());
        Trip {
            out,
            back,
            lost_out: shared.random.random_range(0..1000) < lost,
            lost_back: shared.random.random_range(0..1000) < lost,
        }
    }
}

struct Trip {
    out: Duration,
    back: Duration,
    lost_out: bool,
    lost_back: bool,
}

async fn send<O: Send + 'static>(
    timer: timer::Service,
    trip: Trip,
    served: BoxFuture<'static, Result<O>>,
) -> Option<Result<O>> {
    let (answer, answered) = oneshot::channel();
    tokio::spawn(async move {
        timer.sleep(trip.out).await;
        if trip.lost_out {
            return silence(&timer).await;
        }
        let result = served.await;
        timer.sleep(trip.back).await;
        if trip.lost_back {
            return silence(&timer).await;
        }
        let _ = answer.send(result);
    });
    answered.await.ok()
}

/// Lets a sender wait as long as it likes.
async fn silence(timer: &timer::Service) {
    timer.sleep(CALL_TIMEOUT).await;
}

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
