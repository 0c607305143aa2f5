//! A cell of entry VMs that run only the parts that keep the configuration, on one paused clock.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use basilbridge::{
    acknowledgement::{
        ConfigSync,
        Tracker, //
    },
    active_configuration::ActiveConfiguration,
    commit::Committer,
    session::{
        self,
        Observer,
        Record, //
    },
};
use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Session,
        Version, //
    },
    timer,
};
use basilbridge_operators::{
    change::{
        Accepted,
        Edit,
        Holder,
        Operation,
        Replacement, //
    },
    configuration::{
        Queue,
        TeamSettings, //
    },
    key::Hash,
};
use basilbridge_peers::Configuration;
use basilbridge_platform::{
    Platform,
    table::Service, //
};
use basilbridge_standins::store::Store;
use futures_util::FutureExt;
use tokio::{
    sync::watch,
    task::JoinSet, //
};

/// Time within which a change has to be in force, as the users require.
pub(crate) const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);

pub(crate) const POLL: Duration = Duration::from_millis(500);
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// Faults of one VM.
///
/// `no_store` cuts it off from the table service, `no_peers` from the other VMs, and `paused`
/// suspends its calls until the fault is cleared.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Fault {
    pub(crate) no_store: bool,
    pub(crate) no_peers: bool,
    pub(crate) paused: bool,
}

/// An entry VM; its tasks end when it is dropped.
pub(crate) struct Vm {
    pub(crate) configuration: Arc<ActiveConfiguration>,
    pub(crate) tracker: Arc<Tracker>,
    pub(crate) committer: Committer,
    pub(crate) fault: watch::Sender<Fault>,
    timer: timer::Service,
    _tasks: JoinSet<()>,
}

/// Number and size of the messages between the VMs.
#[derive(Default)]
pub(crate) struct Traffic {
    pub(crate) messages: AtomicU64,
    pub(crate) bytes: AtomicU64,
}

/// The endpoint and the faults of each VM, by its port.
type Peers = Arc<Mutex<Vec<(ConfigSync, watch::Receiver<Fault>)>>>;

/// Entry VMs that share one store, one clock and one network.
pub(crate) struct Cell {
    pub(crate) timer: timer::Service,
    pub(crate) store: Store,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) vms: Vec<Vm>,
    peers: Peers,
}

/// Starts `count` VMs and waits four polls, by which time each knows all others.
pub(crate) async fn start_cell(count: usize) -> Cell {
    let timer = timer::Service::start();
    let mut cell = Cell {
        store: Store::new(timer.clone()),
        timer,
        traffic: Arc::default(),
        vms: Vec::new(),
        peers: Arc::default(),
    };
    for _ in 0..count {
        cell.add_vm();
    }
    cell.wait(4 * POLL).await;
    cell
}

impl Cell {
    /// Starts another VM, whose number is its port.
    pub(crate) fn add_vm(&mut self) {
        let number = self.vms.len();
        let (fault, faults) = watch::channel(Fault::default());
        let platform = platform(&self.store, &faults);
        let timer = self.timer.clone();
        let configuration = Arc::new(ActiveConfiguration::new(timer.clone(), None));
        let committer = Committer::new(Arc::clone(&configuration), platform.clone(), timer.clone());
        let tracker = Arc::new(Tracker::default());
        let config_sync = ConfigSync {
            session: Session(number as u64 + 1),
            configuration: Arc::clone(&configuration),
            tracker: Arc::clone(&tracker),
            exchange: exchange(&self.peers, &self.traffic, &faults),
            tables: platform.tables.clone(),
            timer: timer.clone(),
        };
        self.peers
            .lock()
            .unwrap()
            .push((config_sync.clone(), faults));
        let mut tasks = JoinSet::new();
        committer.start(&mut tasks);
        config_sync
            .clone()
            .start(&mut tasks, committer.committed(), POLL);
        tasks.spawn(keep_session(session_record(number), config_sync));
        self.vms.push(Vm {
            configuration,
            tracker,
            committer,
            fault,
            timer,
            _tasks: tasks,
        });
    }

    pub(crate) async fn wait(&self, duration: Duration) {
        self.timer.sleep(duration).await;
    }

    /// Returns the configuration version that each VM acts on.
    pub(crate) fn versions(&self) -> Vec<Version> {
        let version = |vm: &Vm| vm.configuration.current().version;
        self.vms.iter().map(version).collect()
    }
}

impl Vm {
    /// Commits an edit and waits until it is in force, at most [`IN_FORCE_LIMIT`].
    pub(crate) async fn commit_and_wait(&self, edit: Edit) -> Result<Accepted> {
        let version = self.committer.commit(edit).await?;
        Ok(self
            .tracker
            .wait_until_in_force(version, &self.timer, IN_FORCE_LIMIT)
            .await)
    }

    /// Checks a team's key against the configuration that this VM acts on.
    pub(crate) fn authenticate(&self, key: &str) -> Result<()> {
        self.configuration.team_of_key(Some(key)).map(|_| ())
    }
}

/// Returns the first session record of the VM with this number.
fn session_record(number: usize) -> Record {
    Record {
        session: Session(number as u64 + 1),
        name: format!("entry-{number}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], number as u16)),
        data_centre: "local".into(),
        renewals: 0,
        lease: LEASE,
        leaving: false,
        configuration: Version(0),
    }
}

/// Renews the VM's session and observes those of the other VMs, once per poll interval.
async fn keep_session(mut record: Record, config_sync: ConfigSync) {
    let mut version = Version(0);
    let mut observer = Observer::default();
    let mut last_renewal = config_sync.timer.now();
    loop {
        record.renewals += 1;
        record.configuration = config_sync.configuration.current().version;
        if let Ok(next) = session::renew(&config_sync.tables, &record, version).await {
            version = next;
            let now = config_sync.timer.now();
            if now.since(last_renewal) >= LEASE {
                config_sync.tracker.reset_renewal_counts();
            }
            last_renewal = now;
        }
        let now = config_sync.timer.now();
        if let Ok(view) = observer.observe(&config_sync.tables, now, LEASE).await {
            let tracker = &config_sync.tracker;
            tracker.observe(&view.live, config_sync.session, now, LEASE);
        }
        config_sync.timer.sleep(POLL).await;
    }
}

/// Waits while a VM is paused, and returns whether it is connected afterwards, that is, whether
/// `cut` does not hold for its faults.
async fn wait_until_resumed(faults: &watch::Receiver<Fault>, cut: fn(&Fault) -> bool) -> bool {
    let mut faults = faults.clone();
    // The sender is dropped together with the VM.
    let fault = faults.wait_for(|fault| !fault.paused).await;
    fault.is_ok_and(|fault| !cut(&fault))
}

/// Returns the store's platform, whose table service the VM's faults can cut off or delay.
fn platform(store: &Store, faults: &watch::Receiver<Fault>) -> Platform {
    let inner = store.platform();
    let unavailable = || {
        Error::new(
            Kind::StoreUnavailable,
            "the VM is cut off from the table service",
        )
    };
    let (writes, reads) = (inner.tables.clone(), inner.tables.clone());
    let (write_faults, read_faults) = (faults.clone(), faults.clone());
    Platform {
        tables: Service::new(
            Arc::new(move |transaction| {
                let (tables, faults) = (writes.clone(), write_faults.clone());
                async move {
                    if !wait_until_resumed(&faults, |fault| fault.no_store).await {
                        return Err(unavailable());
                    }
                    let outcome = tables.transact(transaction).await;
                    wait_until_resumed(&faults, |_| false).await;
                    outcome
                }
                .boxed()
            }),
            Arc::new(move |query| {
                let (tables, faults) = (reads.clone(), read_faults.clone());
                async move {
                    if !wait_until_resumed(&faults, |fault| fault.no_store).await {
                        return Err(unavailable());
                    }
                    let rows = tables.scan(query).await;
                    wait_until_resumed(&faults, |_| false).await;
                    rows
                }
                .boxed()
            }),
        ),
        ..inner
    }
}

type Exchange = Arc<
    dyn Fn(
            SocketAddr,
            Configuration,
        ) -> futures_util::future::BoxFuture<'static, Result<Configuration>>
        + Send
        + Sync,
>;

/// Returns the calls from one VM to its peers, which the faults of both sides can cut off.
fn exchange(peers: &Peers, traffic: &Arc<Traffic>, faults: &watch::Receiver<Fault>) -> Exchange {
    let (peers, traffic, own_faults) = (Arc::clone(peers), Arc::clone(traffic), faults.clone());
    Arc::new(move |address, message| {
        let (peers, traffic, own_faults) =
            (Arc::clone(&peers), Arc::clone(&traffic), own_faults.clone());
        async move {
            let unreachable = || Error::new(Kind::Unreachable, "the VM is cut off from its peer");
            let peer = peers
                .lock()
                .unwrap()
                .get(usize::from(address.port()))
                .cloned();
            let (peer, peer_faults) = peer.ok_or_else(unreachable)?;
            traffic.count(&message);
            let cut = |fault: &Fault| fault.no_peers;
            if !wait_until_resumed(&own_faults, cut).await
                || peer_faults.borrow().paused
                || !wait_until_resumed(&peer_faults, cut).await
            {
                return Err(unreachable());
            }
            let answer = peer.handle_exchange(message).await;
            traffic.count(&answer);
            wait_until_resumed(&own_faults, |_| false).await;
            Ok(answer)
        }
        .boxed()
    })
}

impl Traffic {
    fn count(&self, message: &Configuration) {
        let entries: usize = message.entries.iter().map(Vec::len).sum();
        const FIXED_FIELDS_BYTES: usize = 32;
        self.messages.fetch_add(1, Ordering::Relaxed);
        let bytes = (FIXED_FIELDS_BYTES + entries) as u64;
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Returns an edit with these operations that applies to any version.
pub(crate) fn edit(id: &str, operations: Vec<Operation>) -> Edit {
    Edit {
        id: id.into(),
        operator: "fixture".to_owned(),
        intent: "test".to_owned(),
        base: None,
        operations,
    }
}

/// Returns an edit that creates the team `workshop` with one key.
pub(crate) fn create_workshop(key: &str) -> Edit {
    let settings = TeamSettings {
        share: 1,
        limit: None,
    };
    edit(
        "workshop",
        vec![
            set_team("workshop", None, Some(settings)),
            give_key("workshop", key),
        ],
    )
}

/// Returns an operation that replaces the settings of a team.
pub(crate) fn set_team(
    name: &str,
    before: Option<TeamSettings>,
    after: Option<TeamSettings>,
) -> Operation {
    Operation::SetTeam(name.into(), Replacement { before, after })
}

/// Returns an operation that gives a key to a team.
pub(crate) fn give_key(team: &str, key: &str) -> Operation {
    Operation::GiveKey(Holder::Team(team.into()), Hash::of(key))
}

/// Returns an operation that withdraws a key from a team.
pub(crate) fn withdraw_key(team: &str, key: &str) -> Operation {
    Operation::WithdrawKey(Holder::Team(team.into()), Hash::of(key))
}

/// Returns an operation that changes the queue `register` from one value to another.
///
/// The value is stored as the name of the team that the queue is open for.
pub(crate) fn set_register(before: Option<u64>, after: u64) -> Operation {
    let queue = |value: u64| Queue {
        name: "register".into(),
        open_for: Some(value.to_string().into()),
    };
    let replacement = Replacement {
        before: before.map(queue),
        after: Some(queue(after)),
    };
    Operation::SetQueue("register".into(), replacement)
}
