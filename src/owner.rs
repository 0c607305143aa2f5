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
    active_configuration::{
        ActiveConfiguration,
        Suspension, //
    },
    crash::Crashes,
    journal::{
        Accepted,
        Journal,
        Ownership, //
        Started,
    },
    metrics::Metrics,
    ownership::SharedCheck,
};

/// The maximum time that a message may take to arrive.
///
/// Used only to decide that the leases of a worker that does not answer have lapsed. See
/// `docs/design/clocks.md`.
pub const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(10);

/// The reciprocal of the maximum clock drift: two clocks may drift apart over a lease by the lease
/// divided by this number.
pub const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// The resources of a shard's workers and how much of them is allocated to tasks.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Utilization {
    /// The total resources of the workers.
    pub capacity: Resources,
    /// The resources allocated to tasks.
    pub allocated: Resources,
}

/// The services that an owner uses.
#[derive(Clone)]
pub struct Services {
    /// The timer service.
    pub timer: timer::Service,
    /// The client of the workers.
    pub endpoints: Client,
    /// The journal of the shard.
    pub journal: Journal,
    /// The table service, which decides who owns the shard.
    pub tables: Service,
    /// The configuration in force, which tells whether the shard's data centre is evacuated.
    pub configuration: Arc<ActiveConfiguration>,
    /// The logger of the shard.
    pub log: Logger,
    /// The client that sends metrics.
    pub metrics: Metrics,
    /// How long a task keeps running without a renewal from its owner.
    pub task_lease: Duration,
    /// Notified when work is waiting for an allotment of its team.
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
    /// The final state of each task, by task index; `None` while the task has not ended.
    pub(crate) ended: Vec<Option<State>>,
    /// The number of attempts that were sent and are not confirmed to have been refused.
    pub(crate) sent: u32,
    pub(crate) status: watch::Sender<Status>,
}

/// A task that was assigned to a worker.
#[derive(Debug, Clone)]
pub(crate) struct Placement {
    pub(crate) worker: Worker,
    pub(crate) attempt: Attempt,
    /// When the attempt was sent, or found running by this owner; `None` if it was not sent yet.
    pub(crate) started_at: Option<Millis>,
    /// Whether the end of the task is being written to the journal.
    pub(crate) ending: bool,
}

/// What the owner knows of a worker.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) worker: Worker,
    /// The boot on which the worker accepts new work; nothing is started while this is `None`.
    pub(crate) boot: Option<Boot>,
    /// When the last renewal that the worker answered was sent.
    pub(crate) answered_at: Option<Millis>,
    /// Whether the worker has reported what it runs and rejects earlier owners.
    pub(crate) claimed: bool,
    /// When the worker left the platform's list; `None` while the platform lists it.
    pub(crate) unlisted_since: Option<Millis>,
    /// Whether the journal has a record of the worker.
    pub(crate) recorded: bool,
    /// Ended attempts that the worker may forget.
    pub(crate) acknowledged: Vec<Attempt>,
}

impl WorkerState {
    /// Creates the state of a worker that is listed and not claimed.
    pub(crate) fn new(worker: Worker) -> Self {
        Self {
            worker,
            boot: None,
            answered_at: None,
            claimed: false,
            unlisted_since: None,
            recorded: false,
            acknowledged: Vec::new(),
        }
    }
}

/// The phase of a takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Phase {
    /// The journal is being read; earlier jobs are not known yet.
    #[default]
    Replaying,
    /// Workers are being claimed; inherited tasks that no worker has reported so far may still run
    /// on the workers that are not claimed yet.
    Claiming,
    /// All workers have been claimed or are removed.
    Recovered,
}

/// The mutable state of the shard, guarded by its lock.
#[derive(Default)]
pub(crate) struct Inner {
    pub(crate) scheduler: shard::Shard,
    pub(crate) jobs: HashMap<id::Job, Job>,
    pub(crate) placements: BTreeMap<id::Task, Placement>,
    pub(crate) workers: BTreeMap<Name, WorkerState>,
    pub(crate) phase: Phase,
    /// Why the scheduler was told to start nothing.
    pub(crate) suspension: Option<Suspension>,
    /// Accepted tasks of earlier owners that have not ended and were not found running.
    pub(crate) inherited: BTreeMap<id::Task, shard::Task>,
    /// Starts by earlier owners whose outcome is unknown.
    pub(crate) open_starts: BTreeMap<id::Task, Started>,
    /// Ended jobs, in the order in which they ended.
    pub(crate) finished: VecDeque<(Millis, id::Job)>,
    pub(crate) crashes: Crashes,
    pub(crate) last_attempt: u64,
    pub(crate) next_job: u64,
}

/// The owner of one shard in one epoch.
pub struct Owner {
    /// The shard, and the epoch and row version under which this VM owns it.
    pub ownership: Ownership,
    pub(crate) services: Services,
    inner: Mutex<Inner>,
    pub(crate) wake: Notify,
    /// Whether new work is refused because the shard is about to be handed over.
    pub(crate) draining: watch::Sender<bool>,
    /// Whether ownership has moved to another VM.
    pub(crate) released: Flag,
    /// The number of calls in progress that change something.
    pub(crate) in_flight: watch::Sender<usize>,
    pub(crate) ownership_check: SharedCheck,
    /// Incremented whenever the platform's list of workers was read.
    pub(crate) listing_changes: watch::Sender<u64>,
}

impl Owner {
    /// Creates the owner of a shard that was just claimed.
    pub fn new(ownership: Ownership, services: Services, workers: Vec<Worker>) -> Arc<Self> {
        let owner = Self {
            ownership,
            services,
            inner: Mutex::default(),
            wake: Notify::new(),
            draining: watch::Sender::new(false),
            released: Flag::default(),
            in_flight: watch::Sender::new(0),
            ownership_check: SharedCheck::default(),
            listing_changes: watch::Sender::new(0),
        };
        owner.set_workers(workers);
        Arc::new(owner)
    }

    /// Records which workers the platform lists.
    pub fn set_workers(&self, workers: Vec<Worker>) {
        let now = self.services.timer.now();
        let mut inner = self.lock();
        for state in inner.workers.values_mut() {
            state.unlisted_since.get_or_insert(now);
        }
        for worker in workers {
            inner.list_worker(worker);
        }
        drop(inner);
        self.listing_changes.send_modify(|version| *version += 1);
    }

    /// Returns the number of queued tasks and of running tasks.
    pub fn load(&self) -> (usize, usize) {
        let inner = self.lock();
        let queued = inner.scheduler.queued() + inner.inherited.len();
        (queued, inner.scheduler.running())
    }

    /// Returns a summary of the shard's load, and the resources that each team uses in it.
    pub fn summary(&self) -> (Summary, Vec<(Name, Resources)>) {
        let inner = self.lock();
        let uses = inner.scheduler.allotments.usage_by_team();
        let uses: Vec<_> = uses.map(|(team, used)| (team.clone(), *used)).collect();
        let workers = inner.workers.values().map(|state| &state.worker);
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
            // Routing prefers shards that can start what is sent to them.
            free: match inner.suspension {
                Some(_) => Resources::default(),
                None => capacity.minus(&used),
            },
        };
        (summary, uses)
    }

    /// Sets the weights of teams, their usage outside this shard, and the capacity of the fleet.
    pub fn set_teams(&self, teams: Vec<Team>, fleet: Resources) {
        self.lock().scheduler.set_teams(teams, Some(fleet));
    }

    /// Returns the teams known to the shard, with their usage in other shards.
    pub fn teams(&self) -> Vec<Team> {
        let inner = self.lock();
        let accounts = inner.scheduler.teams();
        accounts.map(|account| account.team.clone()).collect()
    }

    /// Returns whether any worker of the shard is large enough for a task of this size.
    pub fn can_run(&self, request: &Request) -> bool {
        let inner = self.lock();
        let mut workers = inner.workers.values();
        workers.any(|state| request.resources.fits(&state.worker.capacity))
    }

    /// Returns the resources of the shard's workers and how much of them is allocated to tasks.
    pub fn utilization(&self) -> Utilization {
        let inner = self.lock();
        inner
            .scheduler
            .worker_loads()
            .fold(Utilization::default(), |sum, load| Utilization {
                capacity: sum.capacity.plus(&load.worker.capacity),
                allocated: sum.allocated.plus(&load.used),
            })
    }

    /// Returns the minimum, over the teams with waiting work, of what a team gets relative to its
    /// share, as a fraction of the average over these teams; `None` if no team waits.
    pub fn nearness(&self) -> Option<f64> {
        self.lock().scheduler.nearness()
    }

    /// Returns why no task of the shard may be started, or `None` if tasks may be started.
    pub(crate) fn suspension(&self) -> Option<Suspension> {
        let data_centre = &self.ownership.shard.data_centre;
        self.services.configuration.suspension(data_centre)
    }

    /// Returns whether all work of earlier owners has been found or may be started again.
    pub fn is_recovered(&self) -> bool {
        self.lock().phase == Phase::Recovered
    }

    /// Refuses new work from now on, and waits up to `limit` for the calls in progress to end.
    pub async fn drain(&self, limit: Duration) {
        self.draining.send_replace(true);
        let mut in_flight = self.in_flight.subscribe();
        let idle = in_flight.wait_for(|calls| *calls == 0);
        let _ = self.services.timer.timeout(limit, idle).await;
    }

    /// Accepts new work again after the shard could not be handed over.
    pub fn reopen(&self) {
        self.draining.send_replace(false);
    }

    /// Ends the wait of all callers with an error, so that they retry with the next owner.
    pub fn release(&self) {
        self.draining.send_replace(true);
        self.released.set(true);
    }

    /// Returns whether the shard is about to be handed over.
    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns whether ownership has moved to another VM.
    pub(crate) fn is_released(&self) -> bool {
        self.released.is_raised()
    }

    /// Returns the error for a caller whose shard has moved to another VM.
    ///
    /// A call that changes nothing may be repeated with the next owner; one that `changes`
    /// something may have taken effect here.
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

/// Returns the status of a job that was just accepted.
pub(crate) fn queued_status(id: id::Job, team: Name) -> Status {
    Status {
        id,
        team,
        state: State::Queued,
        outputs: Vec::new(),
        error: None,
    }
}

/// Returns whether a job must be written to the journal before its caller is answered.
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
