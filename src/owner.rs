//! The owner of one shard.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    error::{
        Error,
        Kind, //
    },
    flag::Flag,
    id::{
        self,
        Boot,
        Name, //
    },
    job::{
        self,
        Request,
        State,
        Status, //
    },
    timer,
    unit::{
        Millis,
        Resources, //
    },
    worker::Worker,
};
use basilbridge_endpoints::{
    Client,
    command::Attempt, //
};
use basilbridge_platform::table::Service;
use basilbridge_scheduler::{
    route::Summary,
    shard,
    share::Team, //
};
use slog::Logger;
use tokio::sync::{
    Notify,
    watch, //
};

use crate::{
    journal::{
        Accepted,
        Journal,
        Ownership, //
        Started,
    },
    metrics::Metrics,
    ownership::Check,
};

/// The longest time that a message may be under way before it arrives.
///
/// It counts only where a worker's leases are judged to have lapsed without a word from it. See
/// `docs/design/clocks.md`.
pub const MESSAGE_LIFE: Duration = Duration::from_secs(10);

/// How much two clocks may drift apart over a lease, as a part of it.
pub const DRIFT_PARTS: u32 = 100;

/// What the workers of a shard have, and what of it is given to tasks.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Utilization {
    /// What the workers have.
    pub capacity: Resources,
    /// What is given to tasks.
    pub allocated: Resources,
}

/// What an owner works with.
#[derive(Clone)]
pub struct Services {
    /// The timer service.
    pub timer: timer::Service,
    /// The client of the workers.
    pub endpoints: Client,
    /// The journal of the shard.
    pub journal: Journal,
    /// The table service, which has the last word on who owns the shard.
    pub tables: Service,
    /// Where to log.
    pub log: Logger,
    /// Where metrics are sent.
    pub metrics: Metrics,
    /// How long a task goes on without word from its owner.
    pub task_lease: Duration,
    /// Tells that work waits for an allotment of its team.
    pub allotment_requested: Arc<Notify>,
}

/// A job of the shard.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) team: Name,
    pub(crate) accepted: Millis,
    pub(crate) request_id: Name,
    pub(crate) deadline: Option<Millis>,
    pub(crate) request: Request,
    /// How each task has ended, by the number of the task.
    pub(crate) ended: Vec<Option<State>>,
    /// How many attempts were sent and are not known to have been refused.
    pub(crate) sent: u32,
    pub(crate) status: watch::Sender<Status>,
}

/// A task that was given room on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Placement {
    pub(crate) worker: Worker,
    pub(crate) attempt: Attempt,
    /// Whether its end is being written to the journal.
    pub(crate) ending: bool,
}

/// A worker as the owner knows it.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) worker: Worker,
    /// The boot on which the worker takes new work; nothing is started while there is none.
    pub(crate) boot: Option<Boot>,
    /// Whether the worker has told what it runs and refuses earlier owners.
    pub(crate) claimed: bool,
    /// Whether the platform lists the worker, and since when not.
    pub(crate) unlisted: Option<Millis>,
    /// Whether the journal tells of the worker.
    pub(crate) recorded: bool,
    /// Attempts that ended and that the worker may forget.
    pub(crate) acknowledged: Vec<Attempt>,
}

impl WorkerState {
    /// Makes the contact of a worker that is listed and not claimed.
    pub(crate) fn new(worker: Worker) -> Self {
        Self {
            worker,
            boot: None,
            claimed: false,
            unlisted: None,
            recorded: false,
            acknowledged: Vec::new(),
        }
    }
}

/// How far a take-over has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Phase {
    /// The journal is being read; nothing is known of earlier jobs.
    #[default]
    Replaying,
    /// Workers are being claimed; what no worker has told of may still run on the others.
    Claiming,
    /// All workers have been claimed or are gone.
    Recovered,
}

/// What changes under the lock of the shard.
#[derive(Default)]
pub(crate) struct Inner {
    pub(crate) scheduler: shard::Shard,
    pub(crate) jobs: HashMap<id::Job, Job>,
    pub(crate) placements: BTreeMap<id::Task, Placement>,
    pub(crate) workers: BTreeMap<Name, WorkerState>,
    pub(crate) phase: Phase,
    /// Accepted work of earlier owners that has not ended and has not been found running.
    pub(crate) inherited: BTreeMap<id::Task, shard::Task>,
    /// Starts of earlier owners whose outcome is open.
    pub(crate) started: BTreeMap<id::Task, Started>,
    /// Jobs that have ended, the oldest first.
    pub(crate) finished: VecDeque<(Millis, id::Job)>,
    pub(crate) attempts: u64,
    pub(crate) next_job: u64,
}

/// The owner of one shard under one epoch.
pub struct Owner {
    /// The claim that this owner stands on.
    pub ownership: Ownership,
    pub(crate) services: Services,
    inner: Mutex<Inner>,
    pub(crate) wake: Notify,
    /// Whether new work is refused because the shard is about to be handed over.
    pub(crate) draining: watch::Sender<bool>,
    /// Whether another VM owns the shard by now.
    pub(crate) released: Flag,
    /// How many calls that change something are being answered.
    pub(crate) in_flight: watch::Sender<usize>,
    pub(crate) ownership_check: Check,
    /// Tells the take-over which workers the platform lists.
    pub(crate) listed: watch::Sender<u64>,
}

impl Owner {
    /// Makes the owner of a shard that was just claimed.
    pub fn new(ownership: Ownership, services: Services, workers: Vec<Worker>) -> Arc<Self> {
        let owner = Self {
            ownership,
            services,
            inner: Mutex::default(),
            wake: Notify::new(),
            draining: watch::Sender::new(false),
            released: Flag::default(),
            in_flight: watch::Sender::new(0),
            ownership_check: Check::default(),
            listed: watch::Sender::new(0),
        };
        owner.set_workers(workers);
        Arc::new(owner)
    }

    /// Takes note of the workers on the platform's list.
    pub fn set_workers(&self, workers: Vec<Worker>) {
        let now = self.services.timer.now();
        let mut inner = self.lock();
        for contact in inner.workers.values_mut() {
            contact.unlisted.get_or_insert(now);
        }
        for worker in workers {
            inner.list(worker);
        }
        drop(inner);
        self.listed.send_modify(|changes| *changes += 1);
    }

    /// Returns how many tasks wait and how many run.
    pub fn load(&self) -> (usize, usize) {
        let inner = self.lock();
        let queued = inner.scheduler.queued() + inner.inherited.len();
        (queued, inner.scheduler.running())
    }

    /// Returns how full the shard is, and what each team has running in it.
    pub fn summary(&self) -> (Summary, Vec<(Name, Resources)>) {
        let inner = self.lock();
        let uses = inner.scheduler.allotments.usage_by_team();
        let uses: Vec<_> = uses.map(|(team, used)| (team.clone(), *used)).collect();
        let workers = inner.workers.values().map(|contact| &contact.worker);
        let capacity = workers
            .filter(|worker| !worker.leaving)
            .fold(Resources::default(), |sum, worker| {
                sum.plus(&worker.capacity)
            });
        let used = uses
            .iter()
            .fold(Resources::default(), |sum, (_, used)| sum.plus(used));
        let summary = Summary {
            queued: (inner.scheduler.queued() + inner.inherited.len()) as u64,
            running: inner.scheduler.running() as u64,
            free: capacity.minus(&used),
        };
        (summary, uses)
    }

    /// Sets the weights of teams, what they have outside this shard, and what the fleet has.
    pub fn set_teams(&self, teams: Vec<Team>, fleet: Resources) {
        self.lock().scheduler.set_teams(teams, Some(fleet));
    }

    /// Returns the teams that the shard knows, with what they have elsewhere.
    pub fn teams(&self) -> Vec<Team> {
        let inner = self.lock();
        let accounts = inner.scheduler.teams();
        accounts.map(|account| account.team.clone()).collect()
    }

    /// Says whether the shard could ever run a task of this size.
    pub fn can_run(&self, request: &Request) -> bool {
        let inner = self.lock();
        let mut contacts = inner.workers.values();
        contacts.any(|contact| request.resources.fits(&contact.worker.capacity))
    }

    /// Returns what the workers of the shard have, and what of it is given to tasks.
    pub fn utilization(&self) -> Utilization {
        let inner = self.lock();
        inner
            .scheduler
            .worker_loads()
            .fold(Utilization::default(), |sum, slot| Utilization {
                capacity: sum.capacity.plus(&slot.worker.capacity),
                allocated: sum.allocated.plus(&slot.used),
            })
    }

    /// Returns the least that a waiting team gets for its share, as a part of what waiting teams get
    /// on average, if any waits.
    pub fn nearness(&self) -> Option<f64> {
        self.lock().scheduler.nearness()
    }

    /// Says whether all that earlier owners left has been found or may be started anew.
    pub fn is_recovered(&self) -> bool {
        self.lock().phase == Phase::Recovered
    }

    /// Refuses new work from now on and waits at most `limit` until no caller is being answered.
    pub async fn drain(&self, limit: Duration) {
        self.draining.send_replace(true);
        let mut in_flight = self.in_flight.subscribe();
        let idle = in_flight.wait_for(|calls| *calls == 0);
        let _ = self.services.timer.timeout(limit, idle).await;
    }

    /// Takes new work again, because the shard was not handed over.
    pub fn reopen(&self) {
        self.draining.send_replace(false);
    }

    /// Tells all callers that wait here to ask the next owner.
    pub fn release(&self) {
        self.draining.send_replace(true);
        self.released.set(true);
    }

    /// Says whether the shard is about to be handed over.
    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Says whether another VM owns the shard by now.
    pub(crate) fn is_released(&self) -> bool {
        self.released.is_raised()
    }

    /// Whoever only asks may ask the next owner; other work may have run here.
    pub(crate) fn moved_error(&self, changes: bool) -> Error {
        let message = format!("shard {} has moved to another VM", self.ownership.shard);
        let kind = if changes {
            Kind::OutcomeUnknown
        } else {
            Kind::NotOwner
        };
        Error::new(kind, message)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the status of a job that has just been accepted.
pub(crate) fn queued_status(id: id::Job, team: Name) -> Status {
    Status {
        id,
        team,
        state: State::Queued,
        outputs: Vec::new(),
        error: None,
    }
}

/// Says whether a job is kept in the journal before its caller is answered.
pub(crate) fn is_durable(request: &Request) -> bool {
    request.kind != job::Kind::Interactive
        || !request.repeatable
        || request.idempotency_key.is_some()
}

/// Returns the tasks of a job.
pub(crate) fn tasks_of(accepted: &Accepted) -> impl Iterator<Item = shard::Task> {
    (0..accepted.request.count).map(|index| shard::Task {
        id: id::Task {
            job: accepted.job.clone(),
            index,
        },
        team: accepted.team.clone(),
        kind: accepted.request.kind,
        resources: accepted.request.resources,
        repeatable: accepted.request.repeatable,
        family: accepted.request.family.clone(),
        run_time: accepted.request.run_time,
        accepted: accepted.at,
        deadline: accepted.deadline,
        preemptions: 0,
    })
}
