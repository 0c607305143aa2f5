//! All that one owner knows of its jobs and workers.

use std::{
    collections::{
        HashMap,
        HashSet,
        VecDeque, //
    },
    time::Duration, //
};

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::{
        Millis,
        Resources, //
    },
};
use slotmap::SlotMap;

use crate::{
    active::{
        Job,
        objective,
        stages, //
    },
    event::{
        Cause,
        Event, //
    },
    excess::Meter,
    job::{
        Accepted,
        State,
        TaskId, //
    },
    order::{
        Order,
        Poll,
        Stop,
        Target, //
    },
    policy::{
        Policy,
        Queue, //
    },
    progress::Progress,
    report::WorkerInfo,
    worker::{
        self,
        JobKey,
        Phase,
        Place,
        Worker, //
    },
};

/// By how much the run numbers of an epoch lie above those of the epoch before: an owner that knows
/// no start of its predecessor still numbers its own higher.
pub const RUNS_PER_EPOCH: u32 = 1000;

/// How often all runs are gone through: a fraction of the times that this serves, the shortest of
/// which is that of an unanswered stop.
const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// How long an unanswered stop waits before it is sent again.
const STOP_RETRY: Duration = Duration::from_millis(400);

/// How long a look may wait at the worker for something to end.
const LOOK_WAIT: Duration = Duration::from_millis(1000);

/// How long it may wait while orders go unanswered: an unanswered look hides all ends on its worker
/// until it is given up, and a third of an urgent job's spare time may be lost with it.
const DOUBTFUL_LOOK_WAIT: Duration = Duration::from_millis(300);

/// For how long an unanswered order makes others doubtful.
const DOUBT_TIME: Duration = Duration::from_secs(5);

/// What the owner of a cell goes by.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How many owners there were before this one.
    pub epoch: u32,
    /// Whether the owner before this one had surely ended when this one began.
    pub predecessor_ended: bool,
    /// For how long a task goes on without a word from its owner.
    pub lease: Duration,
    /// The longest lease that a worker grants.
    pub max_lease: Duration,
}

/// The jobs and workers of one owner.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: Settings,
    pub(crate) policy: Policy,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) ids: HashMap<Name, JobKey>,
    pub(crate) workers: SlotMap<worker::Key, Worker>,
    pub(crate) names: HashMap<Name, worker::Key>,
    pub(crate) used: HashMap<Name, Resources>,
    pub(crate) dirty: VecDeque<JobKey>,
    pub(crate) orders: Vec<Order>,
    pub(crate) events: Vec<Event>,
    pub(crate) meter: Meter,
    pub(crate) started: Millis,
    /// When all runs are gone through again.
    pub(crate) next_tick: Millis,
    /// Workers that may run what an earlier owner started; none once the list is settled.
    pub(crate) unsettled: Option<HashSet<Name>>,
    /// How many such workers there were at first, and when most of them had answered.
    pub(crate) expected: usize,
    pub(crate) most_answered: Option<Millis>,
    /// When the jobs were read, and whether those that came meanwhile have surely been told.
    pub(crate) loaded: Option<Millis>,
    pub(crate) news_over: bool,
    /// The part of the workers that were good, by queue, of the answers so far.
    pub(crate) good_part: HashMap<Name, f64>,
    pub(crate) fenced: bool,
    /// The version of the store up to which jobs were taken in.
    pub(crate) newest: Version,
    /// Jobs that were announced and of which the feed has not told yet.
    pub(crate) announced: HashSet<Name>,
    /// When an order or a look last went unanswered.
    pub(crate) unanswered: Option<Millis>,
    /// Jobs that are over and stored as such, and since when.
    pub(crate) retired: VecDeque<(Millis, Name)>,
}

impl Engine {
    /// Makes the engine of an owner that begins at `now`.
    pub fn new(settings: Settings, policy: Policy, now: Millis) -> Self {
        let first = settings.epoch == 0;
        Self {
            settings,
            policy,
            jobs: SlotMap::with_key(),
            ids: HashMap::new(),
            workers: SlotMap::with_key(),
            names: HashMap::new(),
            used: HashMap::new(),
            dirty: VecDeque::new(),
            orders: Vec::new(),
            events: Vec::new(),
            meter: Meter::default(),
            started: now,
            next_tick: now,
            unsettled: (!first).then(HashSet::new),
            expected: 0,
            most_answered: None,
            loaded: None,
            news_over: false,
            good_part: HashMap::new(),
            fenced: false,
            newest: Version(0),
            announced: HashSet::new(),
            unanswered: None,
            retired: VecDeque::new(),
        }
    }

    /// Takes a new configuration.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Returns the orders since the last call.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Returns the decisions since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Says whether a worker has refused us because of a higher epoch.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns how many jobs are not over, and how many runs there are or may be.
    pub fn open_counts(&self) -> (usize, usize) {
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        let open = self.jobs.values().filter(|job| job.over.is_none()).count();
        (open, runs)
    }

    /// Returns what a team has running.
    pub fn used_by(&self, tenant: &str) -> Resources {
        self.used.get(tenant).copied().unwrap_or_default()
    }

    /// Returns the job of this name.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(*self.ids.get(id)?)
    }

    /// Returns the worker of this name.
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.get(*self.names.get(name)?)
    }

    /// Returns the place of the worker of this name.
    pub fn worker_key(&self, name: &str) -> Option<worker::Key> {
        self.names.get(name).copied()
    }

    /// Returns the names of all workers that are listed or may run something.
    pub fn worker_names(&self) -> Vec<Name> {
        let mut names: Vec<Name> = self.names.keys().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Takes in a job from the feed of jobs, whose row has `version`.
    ///
    /// A feed that lost its place tells all rows again, also those of jobs that were over and
    /// forgotten long ago. A row is written once, so one that is not newer is known.
    pub fn accept_new(&mut self, id: &Name, accepted: Accepted, version: Version, now: Millis) {
        let announced = self.announced.remove(id);
        if version > self.newest && !announced {
            self.accept(id, accepted, None, self.may_be_shared(now), now);
        }
    }

    /// Takes in a job that the VM which stored it announces, before the feed tells of it.
    ///
    /// The feed will tell of it later, when it may be over and forgotten.
    pub fn announce(&mut self, id: &Name, accepted: Accepted, version: Version, now: Millis) {
        if version > self.newest && self.announced.insert(id.clone()) {
            self.accept(id, accepted, None, self.may_be_shared(now), now);
        }
    }

    /// Takes note that all jobs up to `version` of the store were taken in.
    pub fn set_accepted_version(&mut self, version: Version) {
        self.newest = self.newest.max(version);
    }

    /// Takes note that all jobs that were stored when this owner began were taken in.
    pub fn finish_loading(&mut self, now: Millis) {
        self.loaded = Some(now);
    }

    /// Takes in a job.
    ///
    /// `stored` is what an earlier owner has stored of it, `inherited` whether one may have started it.
    pub fn accept(
        &mut self,
        id: &Name,
        accepted: Accepted,
        stored: Option<(Progress, Version)>,
        inherited: bool,
        now: Millis,
    ) {
        if self.ids.contains_key(id) {
            return;
        }
        let (progress, version) = stored.unwrap_or_default();
        if progress.state.is_final() {
            self.retire(id, now);
            return;
        }
        let excess = match accepted
            .team
            .as_ref()
            .and_then(|name| self.policy.teams.get(name))
        {
            Some(tenant) => self
                .meter
                .count(&tenant.name, tenant.weight, accepted.accepted_at),
            None => false,
        };
        let stages = stages(&accepted, &progress, now);
        let job = Job {
            id: id.clone(),
            accepted,
            stages,
            over: None,
            begun: progress.state == State::Running,
            version,
            dirty: false,
            final_stored: false,
            inherited,
            excess,
        };
        let key = self.jobs.insert(job);
        self.ids.insert(id.clone(), key);
        self.meet(id, now);
    }

    /// Takes note that a job is over and stored as such.
    pub fn retire(&mut self, id: &Name, now: Millis) {
        self.retired.push_back((now, id.clone()));
    }

    /// Returns at most `most` jobs that have been over for `retention`, oldest first; their rows may
    /// be removed.
    pub fn expired(&self, retention: Duration, most: usize, now: Millis) -> Vec<Name> {
        let expired = self
            .retired
            .iter()
            .take_while(|(since, _)| now.since(*since) >= retention);
        expired.take(most).map(|(_, id)| id.clone()).collect()
    }

    /// Takes note that the rows of these jobs are removed.
    pub fn forget_retired(&mut self, ids: &[Name]) {
        self.retired.retain(|(_, id)| !ids.contains(id));
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: &str, now: Millis) {
        if let Some(key) = self.ids.get(id).copied() {
            self.end_job(key, State::Cancelled, now);
        }
    }

    /// Takes in what a worker says of itself.
    pub fn register_worker(&mut self, entry: WorkerInfo, now: Millis) {
        let Some(key) = self.names.get(&entry.name).copied() else {
            let name = entry.name.clone();
            self.note_worker(&name, "listed");
            let key = self.workers.insert(Worker::new(entry));
            self.names.insert(name, key);
            return;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let rebooted = worker.entry.boot != entry.boot;
        let began_to_leave = entry.leaving && !worker.entry.leaving;
        let name = entry.name.clone();
        worker.listed = true;
        worker.entry = entry;
        if rebooted {
            // What it runs is told by a look: orders that were meant for the boot before may have
            // met this one.
            worker.hurry = true;
            if worker.boot != Some(worker.entry.boot) {
                worker.restarted = Some(now);
            }
            self.note_worker(&name, "booted");
        } else if began_to_leave {
            self.note_worker(&name, "leaving");
        }
    }

    /// Takes in that the list no longer names a worker.
    ///
    /// One that had said it would leave has left. Any other may still run what it has.
    pub fn unregister_worker(&mut self, name: &str, now: Millis) {
        let Some(key) = self.names.get(name).copied() else {
            return;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.listed = false;
        let left = worker.entry.leaving;
        let name = worker.entry.name.clone();
        self.note_worker(&name, "unlisted");
        if left {
            self.drop_runs(key, "the worker left", now);
        }
        self.forget_worker(key);
    }

    /// Returns the next look at a worker, or nothing if the worker is gone.
    pub fn poll(&mut self, key: worker::Key, now: Millis) -> Option<Poll> {
        let lease = self.settings.lease;
        let worker = self.workers.get_mut(key)?;
        let known = worker.boot.is_some() && worker.taken == worker.stored && !worker.silent;
        let doubtful = self
            .unanswered
            .is_some_and(|last| now.since(last) < DOUBT_TIME);
        let wait = if doubtful {
            DOUBTFUL_LOOK_WAIT
        } else {
            LOOK_WAIT
        };
        Some(Poll {
            target: target(key, worker),
            lease_end: worker.lease(lease, now),
            acknowledged: worker.surely_stored(),
            max_wait: if known { wait } else { Duration::ZERO },
        })
    }

    /// Returns the workers that this was not asked of before, for those who look at them.
    pub fn take_unpolled(&mut self) -> Vec<worker::Key> {
        let mut keys = Vec::new();
        for (key, worker) in &mut self.workers {
            if !std::mem::replace(&mut worker.watched, true) {
                keys.push(key);
            }
        }
        keys
    }

    /// Returns the workers that are to be looked at now, beside the look that waits there.
    pub fn take_immediate_polls(&mut self) -> Vec<worker::Key> {
        let mut keys = Vec::new();
        for (key, worker) in &mut self.workers {
            if worker.boot.is_some() && std::mem::take(&mut worker.hurry) {
                keys.push(key);
            }
        }
        keys
    }

    /// Takes note that a look was not answered; says whether the one before was.
    pub fn handle_poll_failure(&mut self, key: worker::Key, now: Millis) -> bool {
        self.unanswered = Some(now);
        let Some(worker) = self.workers.get_mut(key) else {
            return false;
        };
        !std::mem::replace(&mut worker.silent, true)
    }

    /// Takes note that a change of speed was not taken, so that it is ordered again.
    pub fn handle_throttle_failure(
        &mut self,
        key: worker::Key,
        task: &TaskId,
        run: u32,
        percent: u32,
    ) {
        let worker = self.workers.get_mut(key);
        let held = worker.and_then(|worker| worker.runs.get_mut(task));
        if let Some(held) = held.filter(|held| held.run == run && held.pace == percent) {
            held.pace = percent.saturating_add(1);
        }
    }

    /// Says whether a worker has told ends that are not stored.
    pub fn has_unstored_ends(&self, key: worker::Key) -> bool {
        self.workers
            .get(key)
            .is_some_and(|worker| worker.taken > worker.stored)
    }

    /// Says whether anything is to be stored.
    pub fn has_unstored(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Does what is due at `now`: sends stops again, stops what stands still, and gives up what has
    /// surely ended.
    pub fn tick(&mut self, now: Millis) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now.after(TICK_INTERVAL);
        self.stop_stalled(now);
        self.drop_unknown(now);
        self.settle(now);
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let (longest, started) = (self.settings.max_lease, self.started);
            let worker = &self.workers[key];
            if !worker.runs.is_empty() && now >= worker.lapse(longest, started) {
                self.drop_runs(key, "the lease is over", now);
            }
            self.repeat_stops(key, now);
            self.forget_worker(key);
        }
    }

    fn repeat_stops(&mut self, key: worker::Key, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let target = target(key, worker);
        for (task, run) in &mut worker.runs {
            let unanswered = matches!(run.phase, Phase::Stopping(None));
            let due = run
                .stop_sent
                .is_none_or(|sent| now.since(sent) >= STOP_RETRY);
            if unanswered && due {
                run.stop_sent = Some(now);
                self.orders.push(Order::Stop(Stop {
                    target: target.clone(),
                    task: task.clone(),
                    run: run.run,
                }));
            }
        }
    }

    /// Stops a run, unless that was ordered before.
    pub(crate) fn stop(&mut self, key: worker::Key, task: &TaskId, cause: Cause, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let target = target(key, worker);
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        if matches!(run.phase, Phase::Stopping(_)) {
            return;
        }
        run.phase = Phase::Stopping(None);
        run.stop_sent = Some(now);
        self.events.push(Event::Stop {
            task: task.clone(),
            run: run.run,
            worker: target.name.clone(),
            cause,
        });
        self.orders.push(Order::Stop(Stop {
            target,
            task: task.clone(),
            run: run.run,
        }));
    }

    /// Gives up all runs of a worker, which surely have ended.
    pub(crate) fn drop_runs(&mut self, key: worker::Key, evidence: &'static str, now: Millis) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<TaskId> = worker.runs.keys().cloned().collect();
        for task in tasks {
            self.lose(key, &task, evidence, now);
        }
    }

    /// Gives up a run that has ended without being listed.
    pub(crate) fn lose(
        &mut self,
        key: worker::Key,
        task: &TaskId,
        evidence: &'static str,
        now: Millis,
    ) {
        let Some(run) = self.release(key, task) else {
            return;
        };
        self.events.push(Event::Lost {
            task: task.clone(),
            run: run.run,
            worker: self.workers[key].entry.name.clone(),
            evidence,
        });
        if let Some(place) = run.place {
            self.unplace(place, key, run.run, now);
        }
    }

    /// Takes a run off its worker and its team's account.
    pub(crate) fn release(&mut self, key: worker::Key, task: &TaskId) -> Option<worker::Run> {
        let run = self.workers.get_mut(key)?.remove(task)?;
        if let Some((tenant, room)) = &run.tenant
            && let Some(used) = self.used.get_mut(tenant)
        {
            *used = used.minus(room);
        }
        Some(run)
    }

    /// Lets a task wait again, if `run` on `worker` is its latest.
    pub(crate) fn unplace(&mut self, place: Place, worker: worker::Key, run: u32, now: Millis) {
        let Some(job) = self.jobs.get_mut(place.job) else {
            return;
        };
        let task = &mut job.stages[place.stage].tasks[place.index];
        if task.placed == Some(worker) && task.run == run {
            task.placed = None;
            task.waiting = now;
        }
        self.forget_if_over(place.job);
    }

    /// Ends a job for good and stops what it runs.
    pub(crate) fn end_job(&mut self, key: JobKey, state: State, now: Millis) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.over.is_some() {
            return;
        }
        job.over = Some(state);
        let queue = self.policy.queues.get(&job.accepted.queue);
        self.events.push(Event::Final {
            objective: queue
                .map(|queue| objective(queue, &job.accepted))
                .unwrap_or_default(),
            job: job.id.clone(),
            state,
            elapsed: now.since(job.accepted.accepted_at),
        });
        let mut placed = Vec::new();
        for (stage, of_stage) in job.stages.iter().enumerate() {
            for (index, task) in of_stage.tasks.iter().enumerate() {
                if let Some(worker) = task.placed {
                    placed.push((worker, job.task(stage, index)));
                }
            }
        }
        for (worker, task) in placed {
            self.stop(worker, &task, Cause::JobOver, now);
        }
        self.touch(key);
    }

    /// Marks a job as one whose progress is to be stored.
    pub(crate) fn touch(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key)
            && !job.dirty
        {
            job.dirty = true;
            self.dirty.push_back(key);
        }
    }

    /// Forgets a job that is over, stored as such and runs nowhere.
    pub(crate) fn forget_if_over(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let placed = || {
            let mut tasks = job.stages.iter().flat_map(|stage| &stage.tasks);
            tasks.any(|task| task.placed.is_some())
        };
        if job.final_stored && !job.dirty && !placed() {
            self.ids.remove(&job.id);
            self.jobs.remove(key);
        }
    }

    fn forget_worker(&mut self, key: worker::Key) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        // The list may lose a worker for a while that goes on with what an earlier owner gave it.
        let may_run = worker.boot.is_none()
            && !worker.entry.leaving
            && self
                .unsettled
                .as_ref()
                .is_some_and(|names| names.contains(&worker.entry.name));
        let idle = worker.runs.is_empty() && worker.taken == worker.stored;
        if !worker.listed && idle && !may_run {
            let name = worker.entry.name.clone();
            self.names.remove(&name);
            self.workers.remove(key);
            if let Some(unsettled) = &mut self.unsettled {
                unsettled.remove(&name);
            }
        }
    }

    pub(crate) fn note_worker(&mut self, name: &Name, status: &'static str) {
        self.events.push(Event::Worker {
            worker: name.clone(),
            status,
        });
    }

    /// Returns the queue of a job.
    pub(crate) fn queue(&self, job: &Job) -> Option<&Queue> {
        self.policy.queues.get(&job.accepted.queue)
    }
}

/// Returns how orders name a worker.
pub(crate) fn target(key: worker::Key, worker: &Worker) -> Target {
    Target {
        key,
        name: worker.entry.name.clone(),
        address: worker.entry.address.clone(),
    }
}
