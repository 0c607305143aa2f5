//! The shards of this VM as the allotments see them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::{
        self,
        Name,
        Version, //
    },
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_operators::configuration::Configuration;
use basilbridge_scheduler::{
    allotment::Ledger,
    limit::Pool, //
};
use tokio::task::JoinSet;

use crate::{
    allotment::Allocator,
    allotment_table::Term,
    journal::Ownership,
    node::Node,
    owner::{
        Inner,
        Owner,
        Placement, //
    },
};

/// How often allotments are looked at when no work waits for one.
const INTERVAL: Duration = Duration::from_millis(500);

/// Calls a function with the book of a shard, under the lock of the shard.
pub type LedgerAccess = Arc<dyn Fn(&mut dyn FnMut(&mut Ledger)) + Send + Sync>;

/// Stops work of a team until so much has come free.
pub type Stop = Arc<dyn Fn(&Name, &Resources) + Send + Sync>;

/// A shard that this VM owns.
#[derive(Clone)]
pub struct Participant {
    /// The claim.
    pub ownership: Ownership,
    /// The book of the shard.
    pub ledger: LedgerAccess,
    /// Tells the owner that a team may start more.
    pub notify_granted: Arc<dyn Fn() + Send + Sync>,
    /// Stops work of a team until so much has come free.
    pub stop: Stop,
}

impl Participant {
    pub(crate) fn term(&self) -> Term {
        (self.ownership.shard.clone(), self.ownership.epoch)
    }
}

/// The limits of a configuration.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    /// The version of the configuration.
    pub version: Version,
    /// The limits of the teams that have one.
    pub teams: BTreeMap<Name, Resources>,
    /// The names of those teams.
    pub names: Arc<BTreeSet<Name>>,
}

impl Limits {
    /// Makes the limits of a configuration.
    pub fn new(version: Version, teams: BTreeMap<Name, Resources>) -> Self {
        Self {
            version,
            names: Arc::new(teams.keys().cloned().collect()),
            teams,
        }
    }

    /// Returns a pool under these limits.
    pub(crate) fn apply(&self, team: &Name, mut pool: Pool) -> Pool {
        if let Some(limit) = self.teams.get(team) {
            pool.set_limit(*limit, self.version);
        }
        pool
    }
}

impl From<&Configuration> for Limits {
    fn from(configuration: &Configuration) -> Self {
        let teams = configuration.teams.iter();
        let limited = teams.filter_map(|team| Some((team.name.clone(), team.limit?)));
        Self::new(configuration.version, limited.collect())
    }
}

/// Moves allotments until the VM ends.
pub(crate) async fn run(node: Arc<Node>) {
    let tables = node.platform.tables.clone();
    let mut desk = Allocator::new(tables, node.session, node.session.0);
    let mut seats: HashMap<Term, Participant> = HashMap::new();
    let mut limits = Limits::default();
    loop {
        let configuration = node.configuration.current();
        if configuration.version > limits.version {
            limits = Limits::from(&*configuration);
        }
        seats = present(&node, &seats);
        let mut ordered: Vec<_> = seats.values().cloned().collect();
        ordered.sort_by(|a, b| a.ownership.shard.cmp(&b.ownership.shard));
        let vms = node.directory.members().len();
        desk.run_round(node.timer.now(), &limits, &ordered, vms)
            .await;
        tokio::select! {
            () = node.allotment_requested.notified() => {}
            () = node.timer.sleep(INTERVAL) => {}
        }
    }
}

fn present(node: &Node, known: &HashMap<Term, Participant>) -> HashMap<Term, Participant> {
    let owners = node.owners().into_iter();
    let seats = owners.map(|owner| {
        let term = (owner.ownership.shard.clone(), owner.ownership.epoch);
        let seat = known.get(&term).cloned();
        (term, seat.unwrap_or_else(|| seat_of(&owner)))
    });
    seats.collect()
}

/// Tasks that are being stopped.
#[derive(Default)]
struct Stops {
    running: BTreeMap<id::Task, Resources>,
    tasks: JoinSet<()>,
}

fn seat_of(owner: &Arc<Owner>) -> Participant {
    let (books, waker, stopper) = (
        Arc::downgrade(owner),
        Arc::downgrade(owner),
        Arc::downgrade(owner),
    );
    let stops = Mutex::new(Stops::default());
    Participant {
        ownership: owner.ownership.clone(),
        ledger: Arc::new(move |work| {
            if let Some(owner) = books.upgrade() {
                work(&mut owner.lock().scheduler.allotments);
            }
        }),
        notify_granted: Arc::new(move || {
            if let Some(owner) = waker.upgrade() {
                owner.wake.notify_one();
            }
        }),
        stop: Arc::new(move |team, over| {
            if let Some(owner) = stopper.upgrade() {
                let mut stops = stops.lock().unwrap_or_else(PoisonError::into_inner);
                stops.add(&owner, team, over);
            }
        }),
    }
}

impl Stops {
    /// Stops tasks until `over` has come free, those that are being stopped included.
    fn add(&mut self, owner: &Arc<Owner>, team: &Name, over: &Resources) {
        while self.tasks.try_join_next().is_some() {}
        let inner = owner.lock();
        self.running
            .retain(|task, _| inner.placements.contains_key(task));
        let mut freed = Resources::default();
        for (placed, boot, need) in inner.stoppable(team) {
            if over.fits(&freed) {
                break;
            }
            freed = freed.plus(&need);
            let task = placed.attempt.task.clone();
            if self.running.insert(task, need).is_none() {
                let owner = Arc::clone(owner);
                self.tasks.spawn(async move {
                    owner
                        .stop_and_resolve(&placed.attempt, &placed.worker, boot)
                        .await;
                });
            }
        }
    }
}

impl Inner {
    /// Returns the running tasks of a team that may be stopped, the first to be stopped first.
    ///
    /// Work that must not be repeated is never stopped; it goes on until it ends.
    fn stoppable(&self, team: &Name) -> Vec<(Placement, id::Boot, Resources)> {
        let mut tasks: Vec<_> = self
            .placements
            .iter()
            .filter_map(|(task, placed)| Some((task, placed, self.jobs.get(&task.job)?)))
            .filter(|(_, _, job)| job.team == *team && job.request.repeatable)
            .collect();
        tasks.sort_by_key(|(task, _, job)| {
            let order: (bool, std::cmp::Reverse<Millis>) = (
                job.request.kind != Kind::Batch,
                std::cmp::Reverse(job.accepted),
            );
            (order, (*task).clone())
        });
        tasks
            .into_iter()
            .filter_map(|(_, placed, job)| {
                let boot = self.workers.get(&placed.worker.name)?.boot?;
                Some((placed.clone(), boot, job.request.resources))
            })
            .collect()
    }
}
