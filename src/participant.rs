//! The shards of this VM as participants in the allotment of resources to teams.

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

/// The interval between rounds when no work waits for an allotment.
const INTERVAL: Duration = Duration::from_millis(500);

/// Calls a function with the ledger of a shard while the lock of the shard is held.
pub type LedgerAccess = Arc<dyn Fn(&mut dyn FnMut(&mut Ledger)) + Send + Sync>;

/// Stops tasks of a team until the given amount of resources is freed.
pub type Stop = Arc<dyn Fn(&Name, &Resources) + Send + Sync>;

/// A shard that this VM owns.
#[derive(Clone)]
pub struct Participant {
    /// The ownership of the shard.
    pub ownership: Ownership,
    /// Gives access to the ledger of the shard.
    pub ledger: LedgerAccess,
    /// Notifies the owner that an allotment was raised.
    pub notify_granted: Arc<dyn Fn() + Send + Sync>,
    /// Stops tasks of a team until the given amount of resources is freed.
    pub stop: Stop,
}

impl Participant {
    pub(crate) fn term(&self) -> Term {
        (self.ownership.shard.clone(), self.ownership.epoch)
    }
}

/// The resource limits of the teams in a configuration.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    /// The version of the configuration.
    pub version: Version,
    /// The limit of each team that has one.
    pub teams: BTreeMap<Name, Resources>,
    /// The names of the teams that have a limit.
    pub names: Arc<BTreeSet<Name>>,
}

impl Limits {
    /// Creates the limits of a configuration.
    pub fn new(version: Version, teams: BTreeMap<Name, Resources>) -> Self {
        Self {
            version,
            names: Arc::new(teams.keys().cloned().collect()),
            teams,
        }
    }

    /// Returns a team's pool with the limit that is configured now, if the team has one.
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

/// Runs the allocator until the VM stops.
pub(crate) async fn run(node: Arc<Node>) {
    let tables = node.platform.tables.clone();
    let mut allocator = Allocator::new(tables, node.session, node.session.0);
    let mut participants: HashMap<Term, Participant> = HashMap::new();
    let mut limits = Limits::default();
    loop {
        let configuration = node.configuration.current();
        if configuration.version > limits.version {
            limits = Limits::from(&*configuration);
        }
        participants = update_participants(&node, &participants);
        let mut ordered: Vec<_> = participants.values().cloned().collect();
        ordered.sort_by(|a, b| a.ownership.shard.cmp(&b.ownership.shard));
        let vms = node.directory.members().len();
        allocator
            .run_round(node.timer.now(), &limits, &ordered, vms)
            .await;
        tokio::select! {
            () = node.allotment_requested.notified() => {}
            () = node.timer.sleep(INTERVAL) => {}
        }
    }
}

/// Returns the participants for all shards that this VM owns, reusing those in `known`.
fn update_participants(
    node: &Node,
    known: &HashMap<Term, Participant>,
) -> HashMap<Term, Participant> {
    let owners = node.owners().into_iter();
    let participants = owners.map(|owner| {
        let term = (owner.ownership.shard.clone(), owner.ownership.epoch);
        let participant = known.get(&term).cloned();
        (term, participant.unwrap_or_else(|| new_participant(&owner)))
    });
    participants.collect()
}

/// The tasks of a shard that are being stopped.
#[derive(Default)]
struct TaskStopper {
    /// The resources of each task that is being stopped.
    stopping: BTreeMap<id::Task, Resources>,
    calls: JoinSet<()>,
}

/// Creates the participant for a shard. It does not keep the owner alive.
fn new_participant(owner: &Arc<Owner>) -> Participant {
    let (ledger_owner, wake_owner, stop_owner) = (
        Arc::downgrade(owner),
        Arc::downgrade(owner),
        Arc::downgrade(owner),
    );
    let stopper = Mutex::new(TaskStopper::default());
    Participant {
        ownership: owner.ownership.clone(),
        ledger: Arc::new(move |work| {
            if let Some(owner) = ledger_owner.upgrade() {
                work(&mut owner.lock().scheduler.allotments);
            }
        }),
        notify_granted: Arc::new(move || {
            if let Some(owner) = wake_owner.upgrade() {
                owner.wake.notify_one();
            }
        }),
        stop: Arc::new(move |team, excess| {
            if let Some(owner) = stop_owner.upgrade() {
                let mut stopper = stopper.lock().unwrap_or_else(PoisonError::into_inner);
                stopper.stop_until_freed(&owner, team, excess);
            }
        }),
    }
}

impl TaskStopper {
    /// Stops tasks of a team until those being stopped free at least `excess`, including the ones
    /// from earlier calls.
    fn stop_until_freed(&mut self, owner: &Arc<Owner>, team: &Name, excess: &Resources) {
        while self.calls.try_join_next().is_some() {}
        let inner = owner.lock();
        self.stopping
            .retain(|task, _| inner.placements.contains_key(task));
        let mut freed = Resources::default();
        for (placement, boot, need) in inner.stoppable(team) {
            if excess.fits(&freed) {
                break;
            }
            freed = freed.plus(&need);
            let task = placement.attempt.task.clone();
            if self.stopping.insert(task, need).is_none() {
                let owner = Arc::clone(owner);
                self.calls.spawn(async move {
                    owner
                        .stop_and_resolve(&placement.attempt, &placement.worker, boot)
                        .await;
                });
            }
        }
    }
}

impl Inner {
    /// Returns the running tasks of a team that may be stopped, in the order in which to stop them:
    /// batch tasks first, then by acceptance, the latest first.
    ///
    /// Tasks that are not repeatable are never stopped; they run until they end.
    fn stoppable(&self, team: &Name) -> Vec<(Placement, id::Boot, Resources)> {
        let mut tasks: Vec<_> = self
            .placements
            .iter()
            .filter_map(|(task, placement)| Some((task, placement, self.jobs.get(&task.job)?)))
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
            .filter_map(|(_, placement, job)| {
                let boot = self.workers.get(&placement.worker.name)?.boot?;
                Some((placement.clone(), boot, job.request.resources))
            })
            .collect()
    }
}
