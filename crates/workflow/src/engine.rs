//! The state of one owner: its jobs, its workers and what is still to be sent or stored.

use std::{
    cell::Cell,
    collections::{
        BTreeMap,
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
use slotmap::{
    SecondaryMap,
    SlotMap, //
};

use crate::{
    active::{
        Job,
        build_stages,
        objective, //
    },
    admission::{
        arrivals::Arrivals,
        large,
        rates::TeamRates, //
    },
    advice,
    approvals::Approvals,
    budget::Budget,
    capacity, crash,
    electorate::Electorate,
    evacuation,
    event::{
        Cause,
        Event, //
    },
    job::{
        Accepted,
        State,
        TaskId, //
    },
    lease,
    lineage::Lineage,
    order::{
        Order,
        Poll,
        Start,
        Stop,
        Target, //
    },
    pace,
    policy::{
        Policy,
        Queue, //
    },
    progress::Progress,
    quota::TeamQuotas,
    report::WorkerInfo,
    sharing::Sharing,
    silence,
    start_record::Awaited,
    store_clock::Reading,
    tenure::Tenure,
    worker::{
        self,
        JobKey,
        Phase,
        Run,
        TaskPosition,
        Worker, //
    },
};

/// Distance between the first run numbers of two successive epochs. An owner that does not know the
/// runs that its predecessor started still gives its own higher numbers.
pub const RUNS_PER_EPOCH: u32 = 1000;

/// Interval between two checks of all runs: a fraction of the shortest timeout that the check
/// enforces, [`STOP_RETRY`].
const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// Time after which an unanswered stop is sent again.
const STOP_RETRY: Duration = Duration::from_millis(400);

/// Time after which a start without any result is stopped. It exceeds all timeouts of calls, so the
/// result was lost inside this process.
const START_RESULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after an unanswered order or poll during which workers are polled more often.
const DEGRADED_PERIOD: Duration = Duration::from_secs(5);

/// Settings of the owner of a cell.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of owners before this one.
    pub epoch: u32,
    /// Version of the store at which this owner claimed the workers.
    pub claimed_at: Version,
    /// Whether the previous owner is known to have ended before this one started.
    pub predecessor_ended: bool,
    /// What this owner may assume of the owners before it.
    pub lineage: Lineage,
    /// Time for which a task keeps running without a renewal from its owner.
    pub lease: Duration,
    /// Longest lease that a worker grants.
    pub max_lease: Duration,
    /// Time after a request to evacuate a data centre from which no task may start there; `None` if
    /// none can be evacuated.
    pub evacuation_limit: Option<Duration>,
    /// How long the capacity of a worker may be relied on that does not guard it; `None` if
    /// capacities do not change.
    pub capacity: Option<capacity::Bounds>,
    /// Capacity of the owner's link.
    pub budget: Budget,
    /// Half-life of the past use of teams; zero turns it off.
    pub usage_half_life: Duration,
}

/// State and decisions of one owner.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: Settings,
    pub(crate) policy: Policy,
    /// Priority of the most urgent queue of each pool. A configuration can have thousands of queues.
    pub(crate) urgent_priorities: HashMap<Name, u32>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) jobs_by_id: HashMap<Name, JobKey>,
    pub(crate) workers: SlotMap<worker::Key, Worker>,
    pub(crate) workers_by_name: HashMap<Name, worker::Key>,
    pub(crate) team_usage: HashMap<Name, Resources>,
    /// What teams may use beside that, on workers that have not answered, by the last pass.
    pub(crate) possible_use: HashMap<Name, Resources>,
    /// Usage of the pools by teams.
    pub(crate) sharing: Sharing,
    pub(crate) dirty_jobs: VecDeque<JobKey>,
    pub(crate) orders: Vec<Order>,
    pub(crate) events: Vec<Event>,
    pub(crate) team_quotas: TeamQuotas,
    /// Jobs of each team, those in excess of its rate included.
    pub(crate) team_rates: TeamRates,
    /// Work within the rates of teams that arrives.
    pub(crate) arrivals: Arrivals,
    pub(crate) started_at: Millis,
    /// Time of the next check of all runs.
    pub(crate) next_tick: Millis,
    /// Time when the list of workers was asked for that told their capacities last.
    capacities_told_at: Millis,
    /// Workers that may still run tasks of an earlier owner and have not answered this one. `None`
    /// once such runs are either known or guaranteed to have ended.
    pub(crate) unconfirmed: Option<HashSet<Name>>,
    /// Time when the owner before was known to have ended, and all owners before that one.
    pub(crate) predecessor_ended_at: Option<Millis>,
    /// Workers whose answers count against an earlier owner.
    pub(crate) electorate: Electorate,
    /// Time when at least half of them had answered.
    pub(crate) majority_answered_at: Option<Millis>,
    /// Time when the stored jobs had been read.
    pub(crate) loaded_at: Option<Millis>,
    /// Whether runs and ends of jobs that are still unknown have been dropped.
    pub(crate) unknown_jobs_dropped: bool,
    /// Workers that the advice service has lately approved, by queue.
    pub(crate) approvals: HashMap<Name, Approvals>,
    /// VMs through which the advice service is called.
    pub(crate) relays: advice::Relays,
    /// Latest time at which this owner is known to have held the claim.
    pub(crate) owned_at: Millis,
    /// Latest version at which it is known to have held the claim.
    pub(crate) owned_version: Version,
    /// Workers whose boot has answered since.
    pub(crate) unconfirmed_boots: Vec<worker::Key>,
    /// Version from which on jobs are known to no earlier owner that can still start them; `None`
    /// until that is known.
    pub(crate) sole_since: Option<Version>,
    /// Whether a decision waits for a later [`Engine::confirm_ownership`].
    pub(crate) needs_confirmation: bool,
    /// Bytes of starts that may still be sent in this pass.
    pub(crate) start_window: usize,
    /// Latest start of a run that took its usual time.
    pub(crate) usual_start: Millis,
    /// Durations of tasks, by queue.
    pub(crate) durations: HashMap<Name, pace::Durations>,
    /// Whether a worker has refused an order because of a higher epoch.
    pub(crate) fenced: bool,
    /// Store version up to which jobs have been accepted.
    pub(crate) accepted_version: Version,
    /// Jobs that were stored later than that and have been accepted, with the versions of their rows.
    pub(crate) accepted_ahead: HashMap<Name, Version>,
    /// Jobs that were announced before the stored ones had been read, in the order of arrival.
    early_jobs: Vec<(Name, Accepted, Version)>,
    /// Time when an order or a poll last went unanswered.
    pub(crate) last_unanswered_at: Option<Millis>,
    /// Suspected tasks whose start on a worker is recorded or being recorded, and since when.
    pub(crate) reserved: SecondaryMap<worker::Key, Vec<(TaskPosition, Millis)>>,
    /// Crashes of workers, by address.
    pub(crate) machines: HashMap<Name, crash::Machine>,
    /// Jobs whose final state is stored, with the time since when it is.
    pub(crate) retired: VecDeque<(Millis, Name)>,
    /// Names of these jobs.
    retired_ids: HashSet<Name>,
    /// Evacuated data centres and what moves away from them.
    pub(crate) evacuation: evacuation::Evacuation,
    /// Tasks that workers which had stopped to answer the previous owner may run, or whose ends
    /// only they know, by worker. They wait until the worker answers or its leases are over.
    pub(crate) held: BTreeMap<Name, silence::Held>,
    /// Starts of long-running tasks that are sent once they are stored, by task.
    pub(crate) unstored_starts: HashMap<TaskId, Start>,
    /// Long-running tasks that earlier owners may have started on workers which have not answered
    /// this one, by worker.
    pub(crate) awaited_starts: BTreeMap<Name, Vec<Awaited>>,
    /// Whether the placements on workers that were released from it have to be resolved.
    pub(crate) has_released: bool,
    /// Names of workers that the next owner is certain to find in the store.
    pub(crate) stored_roster: HashSet<Name>,
    /// Workers that the stored record of silent workers names, or may name.
    pub(crate) recorded_silent: HashSet<Name>,
    /// Those of them with the end of their leases, which are not extended meanwhile.
    pub(crate) recorded_leases: HashSet<Name>,
    /// Times when the leases of silent workers are over, by the record of an earlier owner.
    pub(crate) inherited_ends: HashMap<Name, Millis>,
    /// Those of them that may not count for the next owner.
    pub(crate) stored_joined: HashSet<Name>,
    /// Most names of workers that the store may hold for the next owner.
    pub(crate) roster_size: usize,
    /// What proves that this owner has no successor.
    pub(crate) tenure: Tenure,
    /// Latest reading of the store's clock.
    pub(crate) store_clock: Option<Reading>,
    /// Number of changes of the policy and of what is known of crashes, on which the summaries of
    /// runs depend.
    pub(crate) run_facts: u64,
    /// Number of runs that were visited for summaries.
    pub(crate) visited_runs: Cell<u64>,
}

impl Engine {
    /// Creates the engine of an owner that starts at `now`.
    pub fn new(settings: Settings, policy: Policy, now: Millis) -> Self {
        let first = settings.epoch == 0;
        let sharing = Sharing::new(settings.usage_half_life);
        let predecessor_ended_at = settings.predecessor_ended.then_some(now);
        let sole_since = match (first, settings.predecessor_ended) {
            (true, _) => Some(Version(0)),
            (false, true) => Some(settings.claimed_at),
            (false, false) => None,
        };
        let occupied_until = if first {
            Millis(0)
        } else {
            now.after(policy.longest_advice_call())
        };
        Self {
            settings,
            urgent_priorities: urgent_priorities(&policy),
            policy,
            jobs: SlotMap::with_key(),
            jobs_by_id: HashMap::new(),
            workers: SlotMap::with_key(),
            workers_by_name: HashMap::new(),
            team_usage: HashMap::new(),
            possible_use: HashMap::new(),
            sharing,
            dirty_jobs: VecDeque::new(),
            orders: Vec::new(),
            events: Vec::new(),
            team_quotas: TeamQuotas::default(),
            team_rates: TeamRates::default(),
            arrivals: Arrivals::default(),
            started_at: now,
            next_tick: now,
            capacities_told_at: Millis(0),
            unconfirmed: (!first).then(HashSet::new),
            predecessor_ended_at,
            electorate: Electorate::default(),
            majority_answered_at: None,
            loaded_at: None,
            unknown_jobs_dropped: false,
            approvals: HashMap::new(),
            relays: advice::Relays::new(occupied_until),
            owned_at: Millis(0),
            owned_version: Version(0),
            unconfirmed_boots: Vec::new(),
            sole_since,
            needs_confirmation: false,
            start_window: 0,
            usual_start: Millis(0),
            durations: HashMap::new(),
            fenced: false,
            accepted_version: Version(0),
            accepted_ahead: HashMap::new(),
            early_jobs: Vec::new(),
            last_unanswered_at: None,
            reserved: SecondaryMap::new(),
            machines: HashMap::new(),
            retired: VecDeque::new(),
            retired_ids: HashSet::new(),
            evacuation: evacuation::Evacuation::default(),
            held: BTreeMap::new(),
            unstored_starts: HashMap::new(),
            awaited_starts: BTreeMap::new(),
            has_released: false,
            stored_roster: HashSet::new(),
            recorded_silent: HashSet::new(),
            recorded_leases: HashSet::new(),
            inherited_ends: HashMap::new(),
            stored_joined: HashSet::new(),
            roster_size: 0,
            tenure: Tenure::default(),
            store_clock: None,
            run_facts: 0,
            visited_runs: Cell::default(),
        }
    }

    /// Replaces the configuration of queues and teams.
    pub fn set_policy(&mut self, policy: Policy) {
        self.urgent_priorities = urgent_priorities(&policy);
        self.policy = policy;
        self.run_facts += 1;
    }

    /// Sets the VMs through which the advice service is called, in the order of preference for
    /// short calls.
    pub fn set_relays(&mut self, names: &[Name]) {
        self.relays.set_names(names);
    }

    /// Returns and removes the pending orders.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Returns and removes the pending events.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether a worker has refused an order because of a higher epoch.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Records a reading of the store's clock, unless a newer one is known: answers may be behind.
    pub fn set_store_clock(&mut self, reading: Reading) {
        if self
            .store_clock
            .is_none_or(|known| !known.is_newer_than(&reading))
        {
            self.store_clock = Some(reading);
        }
    }

    /// Returns whether tasks wait for a proof that no later owner has extended their leases, and
    /// resets that.
    pub fn take_needs_confirmation(&mut self) -> bool {
        std::mem::take(&mut self.needs_confirmation)
    }

    /// Returns whether `time` has passed and no later owner existed then.
    pub(crate) fn is_over(&mut self, time: Millis, now: Millis) -> bool {
        let is_over = now >= time && self.owned_at >= time;
        self.needs_confirmation |= now >= time && !is_over;
        is_over
    }

    /// Returns the number of unfinished jobs and the number of runs that exist or may exist.
    pub fn open_counts(&self) -> (usize, usize) {
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        let open = self
            .jobs
            .values()
            .filter(|job| job.final_state.is_none())
            .count();
        (open, runs)
    }

    /// Returns the resources in use by the runs of a team.
    pub fn used_by(&self, team: &str) -> Resources {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Returns the job with this name.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(*self.jobs_by_id.get(id)?)
    }

    /// Returns the worker with this name.
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.get(*self.workers_by_name.get(name)?)
    }

    /// Returns the key of the worker with this name.
    pub fn worker_key(&self, name: &str) -> Option<worker::Key> {
        self.workers_by_name.get(name).copied()
    }

    /// Returns the names of all workers that are listed or may have runs, in order.
    pub fn worker_names(&self) -> Vec<Name> {
        let mut names: Vec<Name> = self.workers_by_name.keys().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Returns the memory that large jobs need, in bytes.
    pub fn large_jobs(&self) -> u64 {
        let jobs = self.jobs.values();
        let footprints = jobs.map(|job| large::footprint(&job.accepted.spec));
        footprints.filter(|bytes| large::is_large(*bytes)).sum()
    }

    /// Accepts a job from the jobs feed, whose row has `version`.
    ///
    /// A feed that was reset delivers all rows again, including those of jobs that were finished
    /// and removed long ago, and rows that are newer than the accepted version more than once. Each
    /// row is written once.
    pub fn accept_new(&mut self, id: &Name, accepted: Accepted, version: Version, now: Millis) {
        if self.is_first(id, version) {
            let inherited = self.may_be_known_to_predecessor(version);
            self.accept(id, accepted, version, None, inherited, now);
        }
    }

    /// Accepts a job that the VM which stored it announces ahead of the feed.
    ///
    /// The feed delivers the job later, possibly after it has finished and been removed.
    ///
    /// A job is announced once, to one owner, and an earlier owner takes no job from the feed that
    /// was stored after it had lost its claim. So a job that was stored after the claim of this
    /// owner, and is announced to it, is known to no other.
    ///
    /// Jobs are counted against the rates of their teams in the order of their acceptance, so one
    /// that is announced before the stored jobs have been read is accepted after them. Otherwise the
    /// stored ones would come from the past, in which a team has earned nothing, and all teams would
    /// exceed their rates after a takeover.
    pub fn announce(&mut self, id: &Name, accepted: Accepted, version: Version, now: Millis) {
        if self.loaded_at.is_none() {
            self.early_jobs.push((id.clone(), accepted, version));
            return;
        }
        if self.is_first(id, version) {
            let inherited =
                version <= self.settings.claimed_at && self.may_be_known_to_predecessor(version);
            self.accept(id, accepted, version, None, inherited, now);
        }
    }

    /// Returns whether a job whose row has `version` is met for the first time, and records it.
    fn is_first(&mut self, id: &Name, version: Version) -> bool {
        if version <= self.accepted_version {
            return false;
        }
        self.accepted_ahead.insert(id.clone(), version).is_none()
    }

    /// Records that all jobs up to `version` of the store have been accepted.
    pub fn set_accepted_version(&mut self, version: Version) {
        if version > self.accepted_version {
            self.accepted_version = version;
            self.accepted_ahead.retain(|_, ahead| *ahead > version);
        }
    }

    /// Records that all jobs that were stored when this owner started have been accepted.
    pub fn finish_loading(&mut self, now: Millis) {
        self.loaded_at = Some(now);
        self.await_stored_starts();
        for (id, accepted, version) in std::mem::take(&mut self.early_jobs) {
            // A read of the stored jobs may have delivered it, too.
            let loaded = self
                .jobs_by_id
                .get(&id)
                .and_then(|key| self.jobs.get_mut(*key));
            if let Some(job) = loaded {
                job.inherited &= version <= self.settings.claimed_at;
            }
            self.announce(&id, accepted, version, now);
        }
    }

    /// Accepts a job, whose row has `row_version`.
    ///
    /// `stored` is the progress that an earlier owner has stored, and `inherited` says whether an
    /// earlier owner may have started tasks of the job.
    pub fn accept(
        &mut self,
        id: &Name,
        accepted: Accepted,
        row_version: Version,
        stored: Option<(Progress, Version)>,
        inherited: bool,
        now: Millis,
    ) {
        // The parts of the store are read one after the other, so a job that an earlier owner has
        // finished can be announced, or delivered by the feed, after its final state was read.
        if self.jobs_by_id.contains_key(id) || self.retired_ids.contains(id) {
            return;
        }
        let team = accepted
            .team
            .as_ref()
            .and_then(|name| self.policy.teams.get(name));
        // A job that has ended has used up a part of its team's rate too.
        if let Some(team) = team {
            self.team_rates
                .count_job(&team.name, team.weight, accepted.accepted_at);
        }
        let (progress, version) = stored.unwrap_or_default();
        if progress.state.is_final() {
            self.retire(id, now);
            return;
        }
        let over_quota = team.is_some_and(|team| {
            self.team_quotas
                .count_job(&team.name, team.weight, accepted.accepted_at)
        });
        let is_valid = accepted.spec.check().is_ok();
        if is_valid && !over_quota {
            self.record_arrival(&accepted);
        }
        let stages = if is_valid {
            build_stages(&accepted, &progress, now)
        } else {
            Vec::new()
        };
        // The progress is read only with the stored jobs.
        let is_read = self.loaded_at.is_none() || row_version > self.settings.claimed_at;
        let job = Job {
            id: id.clone(),
            starts_are_stored: is_read && self.trusts_starts(row_version, &accepted.spec),
            accepted,
            stages,
            final_state: None,
            started: progress.state == State::Running,
            version,
            dirty: false,
            final_state_stored: false,
            row_version,
            inherited,
            over_quota,
        };
        let key = self.jobs.insert(job);
        self.jobs_by_id.insert(id.clone(), key);
        self.attach_early_reports(id, now);
        // A VM of an earlier version may have accepted it.
        if !is_valid {
            self.end_job(key, State::Failed, now);
        }
    }

    /// Records that the final state of a job is stored, or that there is only its cancellation. The
    /// retention time begins anew if that was known.
    pub fn retire(&mut self, id: &Name, now: Millis) {
        if !self.retired_ids.insert(id.clone()) {
            self.retired.retain(|(_, known)| known != id);
        }
        self.retired.push_back((now, id.clone()));
    }

    /// Returns at most `max_count` jobs that have been finished for at least `retention`, oldest
    /// first. Their rows may be deleted.
    pub fn expired(&self, retention: Duration, max_count: usize, now: Millis) -> Vec<Name> {
        let expired = self
            .retired
            .iter()
            .take_while(|(since, _)| now.since(*since) >= retention);
        expired.take(max_count).map(|(_, id)| id.clone()).collect()
    }

    /// Records that the rows of these jobs are deleted.
    pub fn forget_retired(&mut self, ids: &[Name]) {
        for id in ids {
            self.retired_ids.remove(id);
        }
        let retired_ids = &self.retired_ids;
        self.retired.retain(|(_, id)| retired_ids.contains(id));
    }

    /// Cancels a job. Unknown names are ignored.
    pub fn cancel(&mut self, id: &str, now: Millis) {
        // The feed delivers a job that was announced and cancelled before the stored jobs were read,
        // with its cancellation.
        self.early_jobs.retain(|(early, ..)| **early != *id);
        if let Some(key) = self.jobs_by_id.get(id).copied() {
            self.end_job(key, State::Cancelled, now);
        }
    }

    /// Updates a worker from its entry in the list of workers, or adds it.
    pub fn register_worker(&mut self, info: WorkerInfo, now: Millis) {
        let Some(key) = self.workers_by_name.get(&info.name).copied() else {
            let name = info.name.clone();
            let mut worker = Worker::new(info);
            worker.evacuated = self.evacuation.includes(&worker.info.data_centre);
            worker.is_recorded = self.recorded_silent.contains(&name);
            worker.is_lease_recorded = self.recorded_leases.contains(&name);
            worker.is_on_roster = self.stored_roster.contains(&name);
            let key = self.workers.insert(worker);
            self.workers_by_name.insert(name, key);
            self.push_worker_event(key, "listed");
            return;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let rebooted = worker.info.boot != info.boot;
        let began_to_leave = info.leaving && !worker.info.leaving;
        worker.listed = true;
        worker.evacuated = self.evacuation.includes(&info.data_centre);
        worker.info = info;
        worker.runs.touch();
        // A worker of this name may have started after the other one was met at its address.
        if std::mem::take(&mut worker.replaced) {
            worker.polled = false;
        }
        if rebooted {
            // Only a poll shows what it runs: orders for the earlier boot may have reached this
            // one.
            worker.poll_now = true;
            if worker.boot != Some(worker.info.boot) {
                worker.reboot_listed_at = Some(now);
            }
            self.push_worker_event(key, "booted");
        } else if began_to_leave {
            self.push_worker_event(key, "leaving");
        }
    }

    /// Records that the list of workers no longer names a worker.
    ///
    /// That does not show that the worker has ended, also if it had announced to leave: the entry of
    /// one that can't reach the store expires while it runs on. It is polled until its leases are
    /// over; see `docs/design/departures.md`.
    pub fn unregister_worker(&mut self, name: &str) {
        let Some(key) = self.workers_by_name.get(name).copied() else {
            return;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.listed = false;
        self.push_worker_event(key, "unlisted");
        self.remove_if_unused(key);
    }

    /// Records that the list of workers, and the capacities in it, are known as they were at
    /// `asked_at` or later. The store was silent until `store_returned_at`; zero stands for never.
    pub fn confirm_capacities(&mut self, asked_at: Millis, store_returned_at: Millis) {
        let bounds = self.settings.capacity;
        if bounds.is_none_or(|bounds| bounds.is_told(asked_at, store_returned_at)) {
            self.capacities_told_at = self.capacities_told_at.max(asked_at);
        }
    }

    /// Returns the time since the capacities of the workers were asked for that are known, or since
    /// this owner began.
    pub fn capacity_age(&self, now: Millis) -> Duration {
        now.since(self.capacities_told_at.max(self.started_at))
    }

    /// Returns whether tasks may be started by what the list says of the capacities in a pool.
    pub(crate) fn trusts_capacities(&self, pool: &Name, now: Millis) -> bool {
        self.settings.capacity.is_none_or(|bounds| {
            self.policy.guarded_pools.contains(pool)
                || !bounds.is_outdated(self.capacities_told_at, now)
        })
    }

    /// Returns the next poll of a worker, or `None` if the worker has ended or is not known.
    pub fn poll(&mut self, key: worker::Key, now: Millis) -> Option<Poll> {
        let lease = self.settings.lease;
        let worker_count = self.workers.len();
        let base = self.lease_base(now);
        let needs_acceptance = self.needs_acceptance(now);
        let worker = self
            .workers
            .get_mut(key)
            .filter(|worker| !worker.replaced)?;
        let known =
            worker.boot.is_some() && worker.received == worker.stored && !worker.unresponsive;
        let degraded = needs_acceptance
            || self
                .last_unanswered_at
                .is_some_and(|last| now.since(last) < DEGRADED_PERIOD);
        let wait = self.settings.budget.poll_wait(worker_count, degraded);
        let lease = if worker.info.leaving {
            lease.min(lease::before_departure(wait))
        } else {
            lease
        };
        Some(Poll {
            target: worker_target(key, worker),
            lease_end: worker.extend_lease(lease, base, now),
            acknowledged: worker.confirmed_stored(),
            boot: worker.boot,
            is_immediate: false,
            max_wait: if known { wait } else { Duration::ZERO },
        })
    }

    /// Returns a poll of a worker beside the one that is waiting there, or `None` if the worker has
    /// ended or is not known. It only asks: the other one extends the lease and acknowledges ends.
    pub fn immediate_poll(&self, key: worker::Key) -> Option<Poll> {
        let worker = self.workers.get(key).filter(|worker| !worker.replaced)?;
        Some(Poll {
            target: worker_target(key, worker),
            lease_end: None,
            acknowledged: 0,
            boot: worker.boot,
            is_immediate: true,
            max_wait: Duration::ZERO,
        })
    }

    /// Returns the workers that no earlier call returned, so that the caller starts to poll them.
    pub fn take_unpolled(&mut self) -> Vec<worker::Key> {
        let mut keys = Vec::new();
        for (key, worker) in &mut self.workers {
            if !std::mem::replace(&mut worker.polled, true) {
                keys.push(key);
            }
        }
        keys
    }

    /// Returns the workers that have to be polled now, in addition to the poll that is waiting
    /// there.
    pub fn take_immediate_polls(&mut self) -> Vec<worker::Key> {
        let mut keys = Vec::new();
        for (key, worker) in &mut self.workers {
            let is_due = worker.boot.is_some() && !worker.replaced;
            if is_due && std::mem::take(&mut worker.poll_now) {
                keys.push(key);
            }
        }
        keys
    }

    /// Records that a poll was not answered. Returns whether the previous poll was.
    pub fn handle_poll_failure(&mut self, key: worker::Key, now: Millis) -> bool {
        self.last_unanswered_at = Some(now);
        let Some(worker) = self.workers.get_mut(key) else {
            return false;
        };
        let is_first = worker.fall_silent(now);
        if is_first {
            self.record_placements(key);
        }
        is_first
    }

    /// Records that another worker answers at `address`, the address of a worker, which has therefore
    /// ended with all its runs, whoever started them. Returns whether that was unknown.
    pub fn handle_replaced(&mut self, key: worker::Key, address: &Name, now: Millis) -> bool {
        let Some(worker) = self.workers.get_mut(key) else {
            return false;
        };
        // A later boot of this name may serve at another address.
        if worker.info.address != *address {
            return false;
        }
        worker.fall_silent(now);
        if std::mem::replace(&mut worker.replaced, true) {
            return false;
        }
        let name = worker.info.name.clone();
        self.push_worker_event(key, "replaced");
        self.confirm_worker(&name, now);
        self.handle_crash(key, "another worker answers at its address", true, now);
        self.settle(now);
        self.remove_if_unused(key);
        true
    }

    /// Records that a throttle order did not take effect, so that it is sent again.
    pub fn handle_throttle_failure(
        &mut self,
        key: worker::Key,
        task: &TaskId,
        run: u32,
        percent: u32,
    ) {
        let worker = self.workers.get_mut(key);
        let held = worker.and_then(|worker| worker.runs.get_mut(task));
        let is_latest = |held: &&mut Run| held.run == run && held.throttle_percent == Some(percent);
        if let Some(held) = held.filter(is_latest) {
            held.throttle_percent = None;
        }
    }

    /// Returns whether a worker has reported ends that are not stored.
    pub fn has_unstored_ends(&self, key: worker::Key) -> bool {
        self.workers
            .get(key)
            .is_some_and(|worker| worker.received > worker.stored)
    }

    /// Returns whether the progress of any job has to be stored.
    pub fn has_unstored(&self) -> bool {
        !self.dirty_jobs.is_empty()
    }

    /// Does the periodic work that is due at `now`: resends stops, stops stalled runs, and drops
    /// runs that are guaranteed to have ended.
    pub fn tick(&mut self, now: Millis) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now.after(TICK_INTERVAL);
        self.count_acceptance(now);
        self.stop_stalled(now);
        self.move_slow(now);
        self.evacuate(now);
        self.poll_suspects(now);
        self.drop_unknown_jobs(now);
        self.settle(now);
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let has_runs = !self.workers[key].runs.is_empty();
            let leases_end = self.leases_end(key);
            if has_runs && self.is_over(leases_end, now) {
                self.handle_crash(key, "the lease is over", false, now);
            }
            self.resend_stops(key, now);
            self.stop_unanswered(key, now);
            self.remove_if_unused(key);
        }
    }

    fn resend_stops(&mut self, key: worker::Key, now: Millis) {
        let is_due = |sent: Millis| now.since(sent) >= STOP_RETRY;
        if !self.workers.contains_key(key) || !self.summary(key).stop_sent.is_some_and(is_due) {
            return;
        }
        let worker = &mut self.workers[key];
        let target = worker_target(key, worker);
        for (task, run) in worker.runs.iter_mut() {
            let unanswered = matches!(run.phase, Phase::Stopping(None));
            let due = run.stop_sent.is_none_or(is_due);
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

    /// Stops runs whose start has had no result for [`START_RESULT_TIMEOUT`].
    fn stop_unanswered(&mut self, key: worker::Key, now: Millis) {
        let is_due = |ordered: Millis| now.since(ordered) >= START_RESULT_TIMEOUT;
        if !self.workers.contains_key(key) || !self.summary(key).ordered_since.is_some_and(is_due) {
            return;
        }
        let is_unanswered =
            |run: &worker::Run| run.phase == Phase::Ordered && is_due(run.started_at);
        let runs = self.workers[key].runs.iter();
        let unanswered: Vec<TaskId> = runs
            .filter(|(_, run)| is_unanswered(run))
            .map(|(task, _)| task.clone())
            .collect();
        for task in unanswered {
            self.stop(key, &task, Cause::Unanswered, now);
        }
    }

    /// Orders a run to stop, unless it is stopping already.
    pub(crate) fn stop(&mut self, key: worker::Key, task: &TaskId, cause: Cause, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let target = worker_target(key, worker);
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

    /// Drops all runs of a worker, which are guaranteed to have ended.
    pub(crate) fn drop_all_runs(&mut self, key: worker::Key, evidence: &'static str, now: Millis) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<TaskId> = worker.runs.keys().cloned().collect();
        for task in tasks {
            self.drop_run(key, &task, evidence, now);
        }
    }

    /// Drops a run that has ended without a reported end.
    pub(crate) fn drop_run(
        &mut self,
        key: worker::Key,
        task: &TaskId,
        evidence: &'static str,
        now: Millis,
    ) {
        let Some(run) = self.remove_run(key, task, now) else {
            return;
        };
        let worker = &self.workers[key];
        self.events.push(Event::Lost {
            task: task.clone(),
            run: run.run,
            worker: worker.info.name.clone(),
            evidence,
            ran: now.since(run.started_at),
            beside: worker.runs.len(),
        });
        if let Some(position) = run.position {
            self.requeue(position, key, run.run, now);
        }
    }

    /// Removes a run from its worker and from the usage of its team.
    pub(crate) fn remove_run(
        &mut self,
        key: worker::Key,
        task: &TaskId,
        now: Millis,
    ) -> Option<worker::Run> {
        let run = self.workers.get_mut(key)?.remove_run(task)?;
        self.unstored_starts
            .retain(|waiting, start| waiting != task || start.run != run.run);
        if let Some((team, resources)) = &run.team {
            if let Some(used) = self.team_usage.get_mut(team) {
                *used = used.minus(resources);
            }
            self.sharing.release(&run, team, now);
        }
        Some(run)
    }

    /// Adds a run to its worker and to the usage of its team.
    pub(crate) fn add_run(
        &mut self,
        key: worker::Key,
        task: TaskId,
        run: worker::Run,
        now: Millis,
    ) {
        if let Some((team, resources)) = &run.team {
            let used = self.team_usage.entry(team.clone()).or_default();
            *used = used.plus(resources);
            self.sharing.charge(&run, team, now);
        }
        self.workers[key].add_run(task, run);
    }

    /// Makes a task wait for a worker again, if `run` on `worker` is its latest run.
    pub(crate) fn requeue(
        &mut self,
        position: TaskPosition,
        worker: worker::Key,
        run: u32,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(position.job) else {
            return;
        };
        let task = &mut job.stages[position.stage].tasks[position.index];
        if task.worker == Some(worker) && task.run == run {
            task.worker = None;
            task.waiting_since = now;
            self.forget_start(position);
        }
        self.remove_if_finished(position.job);
    }

    /// Gives a job its final state and stops its runs.
    pub(crate) fn end_job(&mut self, key: JobKey, state: State, now: Millis) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.final_state.is_some() {
            return;
        }
        job.final_state = Some(state);
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
        for (stage_index, stage) in job.stages.iter().enumerate() {
            for (index, task) in stage.tasks.iter().enumerate() {
                if let Some(worker) = task.worker {
                    placed.push((worker, job.task_id(stage_index, index)));
                }
            }
        }
        for (worker, task) in placed {
            self.stop(worker, &task, Cause::JobOver, now);
        }
        self.mark_dirty(key);
    }

    /// Marks the progress of a job as not stored.
    pub(crate) fn mark_dirty(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key)
            && !job.dirty
        {
            job.dirty = true;
            self.dirty_jobs.push_back(key);
        }
    }

    /// Removes a job whose final state is stored and that has no runs.
    pub(crate) fn remove_if_finished(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let placed = || {
            let mut tasks = job.stages.iter().flat_map(|stage| &stage.tasks);
            tasks.any(|task| task.worker.is_some())
        };
        if job.final_state_stored && !job.dirty && !placed() {
            self.jobs_by_id.remove(&job.id);
            self.jobs.remove(key);
        }
    }

    /// Removes a worker that is not listed, has no runs and has no ends left to store.
    fn remove_if_unused(&mut self, key: worker::Key) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        // A worker can drop out of the list for a while and keep the runs of an earlier owner.
        let may_run = self
            .unconfirmed
            .as_ref()
            .is_some_and(|names| names.contains(&worker.info.name));
        let idle = worker.runs.is_empty() && worker.received == worker.stored;
        if !worker.listed && idle && !may_run {
            let name = worker.info.name.clone();
            self.workers_by_name.remove(&name);
            self.workers.remove(key);
            if let Some(unconfirmed) = &mut self.unconfirmed {
                unconfirmed.remove(&name);
            }
        }
    }

    /// Records a change of the status of a worker.
    pub(crate) fn push_worker_event(&mut self, key: worker::Key, status: &'static str) {
        if let Some(worker) = self.workers.get(key) {
            self.events.push(Event::Worker {
                worker: worker.info.name.clone(),
                address: worker.info.address.clone(),
                status,
            });
        }
    }

    /// Returns the number of failed runs of one task after which a job fails.
    pub(crate) fn max_attempts(&self, key: JobKey) -> usize {
        self.queue(&self.jobs[key])
            .map_or(usize::MAX, |queue| queue.max_attempts.max(1) as usize)
    }

    /// Returns the queue of a job.
    pub(crate) fn queue(&self, job: &Job) -> Option<&Queue> {
        self.policy.queues.get(&job.accepted.queue)
    }
}

/// Returns the priority of the most urgent queue of each pool.
fn urgent_priorities(policy: &Policy) -> HashMap<Name, u32> {
    let mut priorities: HashMap<Name, u32> = HashMap::new();
    for queue in policy.queues.values() {
        let priority = priorities
            .entry(queue.pool.clone())
            .or_insert(queue.priority);
        *priority = queue.priority.min(*priority);
    }
    priorities
}

/// Returns how orders address a worker.
pub(crate) fn worker_target(key: worker::Key, worker: &Worker) -> Target {
    Target {
        key,
        name: worker.info.name.clone(),
        address: worker.info.address.clone(),
    }
}
