//! Entry VMs reduced to what keeps their configuration, on one paused clock.

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

/// The time in which the users want a change to be in force.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(9);

pub(crate) const POLL: Duration = Duration::from_millis(500);
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// What goes wrong with one VM.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Fault {
    pub(crate) no_store: bool,
    pub(crate) no_peers: bool,
    pub(crate) paused: bool,
}

/// One entry VM.
pub(crate) struct Vm {
    pub(crate) configuration: Arc<ActiveConfiguration>,
    pub(crate) tracker: Arc<Tracker>,
    pub(crate) committer: Committer,
    pub(crate) fault: watch::Sender<Fault>,
    timer: timer::Service,
    _tasks: JoinSet<()>,
}

/// Messages between the VMs, counted.
#[derive(Default)]
pub(crate) struct Traffic {
    pub(crate) messages: AtomicU64,
    pub(crate) bytes: AtomicU64,
}

/// Where each VM is reached.
type Peers = Arc<Mutex<Vec<(ConfigSync, watch::Receiver<Fault>)>>>;

pub(crate) struct Cell {
    pub(crate) timer: timer::Service,
    pub(crate) store: Store,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) vms: Vec<Vm>,
    peers: Peers,
}

/// Starts `count` VMs and waits until each knows all others.
pub(crate) async fn cell(count: usize) -> Cell {
    let timer = timer::Service::start();
    let mut cell = Cell {
        store: Store::new(timer.clone()),
        timer,
        traffic: Arc::default(),
        vms: Vec::new(),
        peers: Arc::default(),
    };
    for _ in 0..count {
        cell.add();
    }
    cell.wait(4 * POLL).await;
    cell
}

impl Cell {
    /// Starts one more VM.
    pub(crate) fn add(&mut self) {
        let number = self.vms.len();
        let (fault, faults) = watch::channel(Fault::default());
        let platform = platform(&self.store, &faults);
        let timer = self.timer.clone();
        let configuration = Arc::new(ActiveConfiguration::new(timer.clone(), None));
        let committer = Committer::new(Arc::clone(&configuration), platform.clone(), timer.clone());
        let tracker = Arc::new(Tracker::default());
        let messenger = ConfigSync {
            session: Session(number as u64 + 1),
            configuration: Arc::clone(&configuration),
            tracker: Arc::clone(&tracker),
            exchange: exchange(&self.peers, &self.traffic, &faults),
            tables: platform.tables.clone(),
            timer: timer.clone(),
        };
        self.peers.lock().unwrap().push((messenger.clone(), faults));
        let mut tasks = JoinSet::new();
        committer.start(&mut tasks);
        messenger
            .clone()
            .start(&mut tasks, committer.committed(), POLL);
        tasks.spawn(keep_session(record(number), messenger));
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

    pub(crate) fn versions(&self) -> Vec<Version> {
        let version = |vm: &Vm| vm.configuration.current().version;
        self.vms.iter().map(version).collect()
    }
}

impl Vm {
    /// Commits an edit and waits until it is in force.
    pub(crate) async fn change(&self, edit: Edit) -> Result<Accepted> {
        let version = self.committer.commit(edit).await?;
        Ok(self
            .tracker
            .wait_until_in_force(version, &self.timer, IN_FORCE)
            .await)
    }

    pub(crate) fn accepts(&self, key: &str) -> Result<()> {
        self.configuration.team_of_key(Some(key)).map(|_| ())
    }
}

fn record(number: usize) -> Record {
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

async fn keep_session(mut record: Record, messenger: ConfigSync) {
    let mut version = Version(0);
    let mut observer = Observer::default();
    let mut renewed = messenger.timer.now();
    loop {
        record.renewals += 1;
        record.configuration = messenger.configuration.current().version;
        if let Ok(next) = session::renew(&messenger.tables, &record, version).await {
            version = next;
            let now = messenger.timer.now();
            if now.since(renewed) >= LEASE {
                messenger.tracker.reset_renewal_counts();
            }
            renewed = now;
        }
        let now = messenger.timer.now();
        if let Ok(view) = observer.observe(&messenger.tables, now, LEASE).await {
            let tracker = &messenger.tracker;
            tracker.observe(&view.live, messenger.session, now, LEASE);
        }
        messenger.timer.sleep(POLL).await;
    }
}

/// Waits while a VM is paused, and says whether it reaches what `cut` tells of.
async fn passes(faults: &watch::Receiver<Fault>, cut: fn(&Fault) -> bool) -> bool {
    let mut faults = faults.clone();
    // The sender lives as long as the VM.
    let fault = faults.wait_for(|fault| !fault.paused).await;
    fault.is_ok_and(|fault| !cut(&fault))
}

fn platform(store: &Store, faults: &watch::Receiver<Fault>) -> Platform {
    let inner = store.platform();
    let unavailable = || Error::new(Kind::StoreUnavailable, "cut off");
    let (writes, reads) = (inner.tables.clone(), inner.tables.clone());
    let (write_faults, read_faults) = (faults.clone(), faults.clone());
    Platform {
        tables: Service::new(
            Arc::new(move |transaction| {
                let (tables, faults) = (writes.clone(), write_faults.clone());
                async move {
                    if !passes(&faults, |fault| fault.no_store).await {
                        return Err(unavailable());
                    }
                    let outcome = tables.transact(transaction).await;
                    passes(&faults, |_| false).await;
                    outcome
                }
                .boxed()
            }),
            Arc::new(move |query| {
                let (tables, faults) = (reads.clone(), read_faults.clone());
                async move {
                    if !passes(&faults, |fault| fault.no_store).await {
                        return Err(unavailable());
                    }
                    let rows = tables.scan(query).await;
                    passes(&faults, |_| false).await;
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

fn exchange(peers: &Peers, traffic: &Arc<Traffic>, faults: &watch::Receiver<Fault>) -> Exchange {
    let (peers, traffic, own) = (Arc::clone(peers), Arc::clone(traffic), faults.clone());
    Arc::new(move |address, told| {
        let (peers, traffic, own) = (Arc::clone(&peers), Arc::clone(&traffic), own.clone());
        async move {
            let lost = || Error::new(Kind::Unreachable, "cut off");
            let peer = peers
                .lock()
                .unwrap()
                .get(usize::from(address.port()))
                .cloned();
            let (peer, theirs) = peer.ok_or_else(lost)?;
            traffic.count(&told);
            let cut = |fault: &Fault| fault.no_peers;
            if !passes(&own, cut).await || theirs.borrow().paused || !passes(&theirs, cut).await {
                return Err(lost());
            }
            let answer = peer.handle_exchange(told).await;
            traffic.count(&answer);
            passes(&own, |_| false).await;
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

pub(crate) fn edit(id: &str, operations: Vec<Operation>) -> Edit {
    Edit {
        id: id.into(),
        operator: "fixture".to_owned(),
        intent: "test".to_owned(),
        base: None,
        operations,
    }
}

/// Creates the team `workshop` with one key.
pub(crate) fn workshop(key: &str) -> Edit {
    let terms = TeamSettings {
        share: 1,
        limit: None,
    };
    edit(
        "workshop",
        vec![
            set_team("workshop", None, Some(terms)),
            give("workshop", key),
        ],
    )
}

pub(crate) fn set_team(
    name: &str,
    before: Option<TeamSettings>,
    after: Option<TeamSettings>,
) -> Operation {
    Operation::SetTeam(name.into(), Replacement { before, after })
}

pub(crate) fn give(team: &str, key: &str) -> Operation {
    Operation::GiveKey(Holder::Team(team.into()), Hash::of(key))
}

pub(crate) fn withdraw(team: &str, key: &str) -> Operation {
    Operation::WithdrawKey(Holder::Team(team.into()), Hash::of(key))
}

/// Sets the queue `register` from one value to another; the value is the team it is open for.
pub(crate) fn register(before: Option<u64>, after: u64) -> Operation {
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
