//! The owner of the workers: runs the scheduling engine, sends heartbeats and hands over.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use basilbridge_common::{
    error::Result,
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};
use basilbridge_platform::table::{
    Outcome,
    Put,
    Row, //
};
use basilbridge_server::drain::Phase;
use basilbridge_workflow::{
    election::{
        self as election_rules,
        Arrivals,
        Candidate, //
    },
    engine::{
        self,
        Engine, //
    },
    event::{
        Cause,
        Event, //
    },
    job::Accepted,
    journal::StoredEnds,
    worker,
};
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use slog::Logger;
use slotmap::SecondaryMap;
use tokio::{
    sync::{
        Notify,
        Semaphore,
        watch, //
    },
    task::JoinSet,
};

use crate::{
    admission,
    advisor,
    delivery::{
        Delivery,
        Ready, //
    },
    dispatch,
    election::{
        self,
        Ownership, //
    },
    evacuation,
    feed::{
        self,
        Update, //
    },
    heartbeat::Heartbeat,
    journal,
    load,
    node::Node,
    polling,
    profile::Part,
    record::{
        self,
        CLAIM_KEY,
        Claim,
        HEARTBEAT_KEY,
        JOB_TABLE,
        SUCCESSION_KEY,
        Succession, //
    },
    report,
    roster,
    sharing,
    silence,
    stall,
    sweep,
    tombstone::Tombstone, //
};

/// The time between two heartbeats of the owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The most heartbeats that are sent and not answered.
const MAX_HEARTBEATS_IN_FLIGHT: usize = 3;

/// The delay before a heartbeat that was not stored is repeated.
const HEARTBEAT_RETRY: Duration = Duration::from_millis(100);

/// How long no heartbeat may be stored before the owner looks for a VM that reaches the store: one
/// heartbeat interval and a slow answer.
const HAND_OVER_AFTER: Duration = Duration::from_millis(750);

/// The timeout of a request to take over: the peer reads the claim from a store that is not slow,
/// and the answer needs a round trip.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);

/// How many peers are asked in one round: of those that the store turns away a third, so that all
/// of them miss it one time in four hundred.
const MAX_PEERS_ASKED: usize = 6;

/// The time between two attempts to yield ownership to a larger VM.
const YIELD_INTERVAL: Duration = Duration::from_secs(2);

/// The minimum time between two scheduling passes, in which other tasks of this process run.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(4);

/// The maximum time between two scheduling passes that follow each other.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(120);

/// The factor from the duration of a scheduling pass to the time until the next one. A pass visits
/// all workers, and polls, heartbeats and answers to orders, on which the next pass decides, have to
/// share the processor with it.
const PASS_INTERVAL_FACTOR: u32 = 9;

/// The time between two scheduling passes without events.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// The most orders that are open at one worker at once, of its connections.
const MAX_ORDERS_PER_WORKER: usize = 4;

/// The state of the owner of the workers, shared by its tasks.
pub(crate) struct Owner {
    pub(crate) node: Arc<Node>,
    pub(crate) ownership: Ownership,
    pub(crate) outlooks: admission::Publisher,
    /// Triggers a scheduling pass.
    pub(crate) wake: Notify,
    /// Signals that the engine has records to store.
    pub(crate) unstored: Notify,
    /// Signals that the list of workers has changed.
    pub(crate) roster_changed: Notify,
    /// Triggers a heartbeat, whose write shows that this VM still holds the claim.
    heartbeat_due: Notify,
    /// Signals that ends of a worker are stored, to its poller.
    stored_ends: Mutex<SecondaryMap<worker::Key, Arc<Notify>>>,
    engine: Mutex<Engine>,
    delivery: Mutex<Delivery>,
    ended: watch::Sender<bool>,
    /// Whether all jobs have been read from the store.
    loaded: AtomicBool,
    stall_detector: stall::StallDetector,
    order_slots: Mutex<HashMap<worker::Key, Arc<Semaphore>>>,
}

impl Owner {
    pub(crate) fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the engine, which extends no lease if this process may have been stalled since its last
    /// turn: a proof from before may be older than it seems.
    pub(crate) fn engine_after_stall(&self) -> MutexGuard<'_, Engine> {
        let gap = self.stall_detector.gap(stall::boot_time());
        let mut engine = self.engine();
        if let Some(gap) = gap {
            engine.hold_leases(gap, self.now());
        }
        engine
    }

    pub(crate) fn now(&self) -> Millis {
        self.node.timer.now()
    }

    /// Returns the epoch that workers check.
    pub(crate) fn epoch(&self) -> u64 {
        self.ownership.version.0
    }

    /// Ends the ownership because another VM has claimed it or takes over. Logs `evidence` on the
    /// first call.
    pub(crate) fn end_ownership(&self, evidence: &str) {
        if !self.ended.send_replace(true) {
            slog::warn!(self.node.log, "title lost"; "epoch" => self.epoch(),
                "evidence" => evidence);
            self.node.metrics.count("titles_lost");
        }
    }

    /// Returns whether orders may be sent: not after a stall in which another VM may have claimed
    /// ownership.
    pub(crate) fn may_send_orders(&self) -> bool {
        self.stall_detector.gap(stall::boot_time()).is_none()
    }

    /// Returns the number of jobs that have not begun, by queue, or `None` before the jobs have been
    /// read or after the ownership has ended.
    pub(crate) fn unstarted(&self) -> Option<BTreeMap<Name, u64>> {
        self.is_loaded().then(|| self.engine().queued_counts())
    }

    /// Returns the memory that large jobs need, in bytes, or `None` before the jobs have been read or
    /// after the ownership has ended.
    pub(crate) fn large_jobs(&self) -> Option<u64> {
        self.is_loaded().then(|| self.engine().large_jobs())
    }

    /// Returns whether all jobs have been read and the ownership goes on.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire) && !self.has_ended()
    }

    pub(crate) fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    async fn wait_for_end(&self) {
        // The sender is a field of the borrowed owner, so it is not dropped while this waits.
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    /// Returns the semaphore that limits the orders in flight to a worker.
    pub(crate) fn order_slots(&self, key: worker::Key) -> Arc<Semaphore> {
        let mut slots_by_worker = self
            .order_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let slots = slots_by_worker
            .entry(key)
            .or_insert_with(|| Arc::new(Semaphore::new(MAX_ORDERS_PER_WORKER)));
        Arc::clone(slots)
    }

    /// Returns the signal that ends of a worker are stored.
    pub(crate) fn stored_ends(&self, key: worker::Key) -> Arc<Notify> {
        let mut signals = self.lock_stored_ends();
        if let Some(signal) = signals.get(key) {
            return Arc::clone(signal);
        }
        let signal = Arc::new(Notify::new());
        signals.insert(key, Arc::clone(&signal));
        signal
    }

    /// Signals that ends of these workers are stored. The pollers of all others go on waiting: under
    /// load hundreds of them do, and batches end many times a second.
    pub(crate) fn signal_stored_ends(&self, ends: &[StoredEnds]) {
        let signals = self.lock_stored_ends();
        for signal in ends.iter().filter_map(|ends| signals.get(ends.worker)) {
            signal.notify_one();
        }
    }

    /// Drops the signal of a worker that is not polled any more.
    pub(crate) fn forget_stored_ends(&self, key: worker::Key) {
        self.lock_stored_ends().remove(key);
    }

    fn lock_stored_ends(&self) -> MutexGuard<'_, SecondaryMap<worker::Key, Arc<Notify>>> {
        self.stored_ends
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_workers(&self, update: Update) {
        let now = self.now();
        let mut engine = self.engine();
        let (Update::All(contents) | Update::Changed(contents)) = &update;
        engine.confirm_capacities(contents.asked_at, self.node.store_returned_at());
        let (rows, all) = match update {
            Update::All(contents) => (contents.rows, true),
            Update::Changed(contents) if contents.rows.is_empty() => return,
            Update::Changed(contents) => (contents.rows, false),
        };
        let mut listed: HashSet<Name> = HashSet::new();
        for row in rows {
            let entry = row
                .value
                .as_deref()
                .map(|text| load::decode_worker(&self.node, &row.key, text));
            match entry {
                Some(Some(entry)) => {
                    listed.insert(entry.name.clone());
                    engine.register_worker(entry, now);
                }
                // A row that can't be decoded has another writer; keep what is known of the worker.
                Some(None) => {
                    listed.insert(row.key.as_str().into());
                }
                None => engine.unregister_worker(&row.key),
            }
        }
        if all {
            let unlisted = engine.worker_names().into_iter();
            let unlisted: Vec<Name> = unlisted.filter(|name| !listed.contains(name)).collect();
            for name in unlisted {
                engine.unregister_worker(&name);
            }
        }
        drop(engine);
        self.roster_changed.notify_one();
        self.wake.notify_one();
    }

    fn receive_jobs(&self, update: Update) {
        let (Update::All(contents) | Update::Changed(contents)) = update;
        let ready = self
            .lock_delivery()
            .deliver(contents.rows, contents.complete);
        self.apply_jobs(&ready);
        if !self.lock_delivery().is_empty() {
            self.heartbeat_due.notify_one();
        }
    }

    /// Records that a write on the condition that this VM holds the claim was committed at
    /// `version`. It was sent at `sent`.
    pub(crate) fn confirm_ownership(&self, sent: Millis, version: Version) {
        self.engine().confirm_ownership(sent, version);
        let ready = self.lock_delivery().confirm(version);
        self.apply_jobs(&ready);
    }

    fn apply_jobs(&self, ready: &Ready) {
        let now = self.now();
        let mut engine = self.engine();
        for row in &ready.rows {
            apply_job_row(&self.node.log, &mut engine, row, now);
        }
        engine.set_accepted_version(ready.complete);
        drop(engine);
        if !ready.rows.is_empty() {
            self.wake.notify_one();
        }
    }

    fn lock_delivery(&self) -> MutexGuard<'_, Delivery> {
        self.delivery.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies a notification of a stored job, or of its cancellation if `accepted` is `None`.
pub(crate) fn apply_announced(
    owner: &Owner,
    id: &Name,
    version: Version,
    accepted: Option<Accepted>,
) {
    let now = owner.now();
    {
        let mut engine = owner.engine();
        match accepted {
            Some(accepted) => engine.announce(id, accepted, version, now),
            None => engine.cancel(id, now),
        }
    }
    owner.wake.notify_one();
}

/// Applies a row of the job table to the engine.
fn apply_job_row(log: &Logger, engine: &mut Engine, row: &Row, now: Millis) {
    if row.value.is_none() {
        return;
    }
    if let Some(id) = record::cancelled_job(&row.key) {
        engine.cancel(id, now);
    } else if Tombstone::of(row).is_some() {
        engine.retire(&row.key.as_str().into(), now);
    } else if let Some(accepted) = record::decode_row::<Accepted>(log, row) {
        engine.accept_new(&row.key.as_str().into(), accepted, row.version, now);
    }
}

/// Acts as the owner until ownership is lost or the VM drains; then hands over or releases it.
pub(crate) async fn run(node: &Arc<Node>, ownership: Ownership) {
    let settings = engine::Settings {
        epoch: ownership.claim.epoch,
        claimed_at: ownership.version,
        predecessor_ended: ownership.predecessor_ended,
        lineage: ownership.lineage.clone(),
        lease: node.config.lease(),
        max_lease: node.config.max_lease,
        evacuation_limit: node.config.evacuation_limit,
        capacity: node.config.capacity,
        budget: node.config.budget(),
        usage_half_life: node.config.usage_half_life,
    };
    let policy = node.configuration().policy.clone();
    let mut engine = Engine::new(settings, policy, node.timer.now());
    engine.confirm_ownership(ownership.sent, ownership.version);
    engine.set_evacuated(node.evacuations.names(), node.timer.now());
    let owner = Arc::new(Owner {
        node: Arc::clone(node),
        ownership,
        outlooks: admission::Publisher::default(),
        wake: Notify::new(),
        unstored: Notify::new(),
        roster_changed: Notify::new(),
        heartbeat_due: Notify::new(),
        stored_ends: Mutex::default(),
        engine: Mutex::new(engine),
        delivery: Mutex::default(),
        ended: watch::Sender::new(false),
        loaded: AtomicBool::new(false),
        stall_detector: stall::StallDetector::new(stall::boot_time()),
        order_slots: Mutex::default(),
    });
    *node.owner() = Arc::downgrade(&owner);
    let mut tasks = JoinSet::new();
    spawn_measured(&mut tasks, &owner, Part::Store, send_heartbeats);
    tasks.spawn(report::report_traffic(Arc::clone(&owner)));
    tasks.spawn(report::report_load(Arc::clone(&owner)));
    tasks.spawn(report::report_waits(Arc::clone(&owner)));
    tasks.spawn(report::report_doubt(Arc::clone(&owner)));
    tasks.spawn(evacuation::follow(Arc::clone(&owner)));
    if !owner.ownership.predecessor_ended {
        tasks.spawn(election::watch_predecessors(Arc::clone(&owner)));
    }
    tokio::select! {
        () = run_engine(&owner, &mut tasks) => {}
        () = owner.wait_for_end() => {}
        () = node.drain_state.wait_for_phase(Phase::Draining) => {}
    }
    let lost = owner.has_ended();
    owner.ended.send_replace(true);
    tasks.shutdown().await;
    if !lost && !hand_over(&owner, |_| true).await {
        release(&owner).await;
    }
}

/// Loads the jobs, starts the owner's tasks and runs scheduling passes until the future is dropped
/// or one of the tasks panics.
async fn run_engine(owner: &Arc<Owner>, tasks: &mut JoinSet<()>) {
    let from = load::load(owner).await;
    owner.loaded.store(true, Ordering::Release);
    slog::info!(owner.node.log, "jobs loaded"; "epoch" => owner.epoch(),
        "open" => owner.engine().open_counts().0);
    spawn_measured(tasks, owner, Part::Store, move |owner| {
        follow_workers(owner, from.workers)
    });
    spawn_measured(tasks, owner, Part::Store, move |owner| {
        follow_jobs(owner, from.jobs)
    });
    tasks.spawn(follow_policy(Arc::clone(owner)));
    spawn_measured(tasks, owner, Part::Store, move |owner| {
        journal::run(owner, from.large)
    });
    spawn_measured(tasks, owner, Part::Store, move |owner| {
        roster::run(owner, from.roster)
    });
    spawn_measured(tasks, owner, Part::Store, move |owner| {
        silence::run(owner, from.silence)
    });
    tasks.spawn(sweep::run(Arc::clone(owner)));
    tasks.spawn(sharing::report(Arc::clone(owner)));
    polling::spawn_pollers(owner, tasks);
    evacuation::refresh(owner).await;
    owner.stall_detector.record_turn(stall::boot_time());
    let profile = &owner.node.clients.profile;
    loop {
        tokio::select! {
            () = owner.wake.notified() => {}
            () = owner.node.timer.sleep(IDLE_INTERVAL) => {}
        }
        let turn = stall::boot_time();
        if let Some(gap) = owner.stall_detector.gap(turn) {
            owner.engine().hold_leases(gap, owner.now());
            owner.heartbeat_due.notify_one();
            check_ownership(owner, gap).await;
        }
        owner.stall_detector.record_turn(turn);
        let begun = owner.now();
        profile.time(Part::Pass, || run_pass(owner));
        let pass_interval = (owner.now().since(begun) * PASS_INTERVAL_FACTOR)
            .clamp(MIN_PASS_INTERVAL, MAX_PASS_INTERVAL);
        polling::spawn_pollers(owner, tasks);
        polling::poll_immediately(owner);
        if has_panicked(tasks) {
            slog::error!(owner.node.log, "a task of the owner has panicked"; "epoch" => owner.epoch());
            owner.node.metrics.count("panics");
            return;
        }
        let paused = owner.now();
        owner.node.timer.sleep(pass_interval).await;
        profile.record_lateness(owner.now().since(paused).saturating_sub(pass_interval));
    }
}

/// Spawns a task of the owner and measures its work.
pub(crate) fn spawn_measured<F>(
    tasks: &mut JoinSet<()>,
    owner: &Arc<Owner>,
    part: Part,
    task: impl FnOnce(Arc<Owner>) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let profile = owner.node.clients.profile.clone();
    let task = task(Arc::clone(owner));
    tasks.spawn(async move { profile.measure(part, task).await });
}

/// Returns whether one of the tasks that have ended has panicked. What it did would be done by
/// nobody, so another owner has to start anew.
fn has_panicked(tasks: &mut JoinSet<()>) -> bool {
    while let Some(result) = tasks.try_join_next() {
        if result.is_err_and(|error| error.is_panic()) {
            return true;
        }
    }
    false
}

/// Checks after a stall of `gap` whether another VM has claimed ownership meanwhile, and which data
/// centres have been evacuated.
///
/// The owner goes on if the claim can't be read, or is read as it was: workers reject orders with an
/// epoch below the highest that they have seen, and no lease is extended before a write proves that no
/// later owner counts with its end. A read may be behind.
async fn check_ownership(owner: &Owner, gap: Duration) {
    let log = &owner.node.log;
    let outcome = match election::read_claim(&owner.node).await {
        Ok(Some((_, version))) if version == owner.ownership.version => {
            evacuation::refresh(owner).await;
            "title held"
        }
        Ok(_) => {
            owner.end_ownership("the claim was replaced while this process was stalled");
            "title lost"
        }
        Err(_) => "title not read",
    };
    slog::info!(log, "woke"; "gap_ms" => gap.as_millis() as u64, "outcome" => outcome);
}

/// Runs one scheduling pass, logs its events and sends its orders.
fn run_pass(owner: &Arc<Owner>) {
    let now = owner.now();
    let relays = advisor::relays(owner);
    let (orders, events, fenced, unstored, needs_confirmation) = {
        let mut engine = owner.engine();
        engine.set_relays(&relays);
        engine.tick(now);
        if owner.node.evacuations.is_known() {
            engine.schedule(now);
        }
        let orders = engine.take_orders();
        (
            orders,
            engine.take_events(),
            engine.is_fenced(),
            engine.has_unstored(),
            engine.take_needs_confirmation(),
        )
    };
    for event in &events {
        count_event(owner, event);
    }
    owner.node.decisions.write(&events);
    for order in orders {
        dispatch::send(owner, order);
    }
    if unstored {
        owner.unstored.notify_one();
    }
    if needs_confirmation {
        owner.heartbeat_due.notify_one();
    }
    if fenced {
        owner.end_ownership("a worker has seen a higher epoch");
    }
}

fn count_event(owner: &Owner, event: &Event) {
    let metrics = &owner.node.metrics;
    match event {
        Event::Start { waited, .. } => metrics.time("start_wait", *waited),
        Event::Refused { .. } => metrics.count("starts_refused"),
        Event::Stop { cause, .. } => {
            metrics.count("stops");
            if *cause == Cause::Evacuated {
                metrics.count("tasks_evacuated");
            }
        }
        Event::End { .. } => metrics.count("ends"),
        Event::Lost { .. } => metrics.count("runs_lost"),
        Event::Blamed { is_given_up, .. } => {
            metrics.count("crashes_blamed");
            if *is_given_up {
                metrics.count("tasks_given_up");
            }
        }
        Event::Adopted { .. } => metrics.count("runs_taken_over"),
        Event::Abandoned { .. } => metrics.count("workers_abandoned"),
        Event::Settled { waited, .. } => metrics.time("takeover_wait", *waited),
        Event::Final { elapsed, .. } => metrics.time("job", *elapsed),
        Event::Worker { .. } => metrics.count("worker_changes"),
        Event::DataCentre { evacuated, .. } => {
            if *evacuated {
                metrics.count("evacuations");
            }
        }
        Event::DataCentreEmpty { .. } | Event::Staying { .. } => {}
    }
}

async fn follow_workers(owner: Arc<Owner>, from: Version) {
    let table = owner.node.clients.store.worker_table.clone();
    let receiver = Arc::clone(&owner);
    let parts = [table.clone()];
    feed::follow(
        &owner.node,
        &table,
        &parts,
        Some(from),
        feed::WORKERS,
        move |update| {
            receiver.apply_workers(update);
        },
    )
    .await;
}

async fn follow_jobs(owner: Arc<Owner>, from: Version) {
    let receiver = Arc::clone(&owner);
    let (table, parts) = (JOB_TABLE.into(), record::job_tables());
    feed::follow(
        &owner.node,
        &table,
        &parts,
        Some(from),
        feed::JOBS,
        move |update| {
            receiver.receive_jobs(update);
        },
    )
    .await;
}

async fn follow_policy(owner: Arc<Owner>) {
    let mut configurations = owner.node.configurations();
    loop {
        let policy = configurations.borrow_and_update().policy.clone();
        owner.engine().set_policy(policy);
        owner.wake.notify_one();
        if configurations.changed().await.is_err() {
            return;
        }
    }
}

/// Asks eligible peers to take over, the largest first. Returns whether one of them does; if none
/// that was asked reaches the store, the store is taken to be unreachable for all.
async fn hand_over(owner: &Owner, is_eligible: impl Fn(&Candidate) -> bool) -> bool {
    let node = &owner.node;
    let addresses: Vec<SocketAddr> = {
        let view = node.view();
        let successors = view.successors(Some(&node.config.name)).into_iter();
        successors
            .filter(|candidate| candidate.name != node.config.name && is_eligible(candidate))
            .filter_map(|candidate| Some(view.nodes.get(&candidate.name)?.peers))
            .take(MAX_PEERS_ASKED)
            .collect()
    };
    for address in addresses {
        if let Ok(true) = node
            .pool
            .hand_over(address, node.nonce, HAND_OVER_TIMEOUT)
            .await
        {
            return true;
        }
    }
    false
}

/// The progress of the owner's heartbeats.
struct Heartbeats {
    sequence: u64,
    /// Whether the store has the succession of the owner.
    is_succession_stored: bool,
    last_stored_at: Millis,
    last_offered_at: Millis,
}

/// A heartbeat whose write has an outcome.
struct WrittenHeartbeat {
    sent: Millis,
    /// Whether it contains the succession of the owner.
    has_succession: bool,
    outcome: Result<Outcome>,
}

impl Heartbeats {
    /// Returns the rows of the next heartbeat.
    fn next(&mut self, owner: &Owner) -> Vec<Put> {
        let unstarted = owner.unstarted();
        self.sequence += 1;
        let mut puts = Vec::new();
        let heartbeat = Heartbeat {
            sequence: self.sequence,
            unstarted,
            outlook: admission::current(owner),
        };
        match heartbeat.encode(owner.node.config.max_row_bytes()) {
            Ok(value) => puts.push(election::put(HEARTBEAT_KEY, value)),
            Err(error) => {
                slog::error!(owner.node.log, "heartbeat can't be encoded"; "error" => %error)
            }
        }
        puts.extend(sharing::row(owner, self.sequence));
        puts
    }

    /// Returns the row which says that the owner has outlived those before it, if it has and the store
    /// does not have it.
    fn succession(&self, owner: &Owner) -> Option<Put> {
        if self.is_succession_stored || !owner.engine().is_sole() {
            return None;
        }
        let epoch = owner.ownership.claim.epoch;
        let value = record::encode(&Succession { epoch }).ok()?;
        Some(election::put(SUCCESSION_KEY, value))
    }

    /// Handles the outcome of a heartbeat. Returns whether the ownership goes on.
    async fn handle(&mut self, owner: &Owner, written: WrittenHeartbeat) -> bool {
        match written.outcome {
            Ok(Outcome::Committed(version)) => {
                owner.confirm_ownership(written.sent, version);
                self.is_succession_stored |= written.has_succession;
                self.last_stored_at = owner.now();
                if self.last_stored_at.since(self.last_offered_at) < YIELD_INTERVAL {
                    return true;
                }
                self.last_offered_at = self.last_stored_at;
                let own = owner.node.config.cpu_millis;
                let larger =
                    |other: &Candidate| election_rules::yields_ownership(own, other.cpu_millis);
                if hand_over(owner, larger).await {
                    owner.end_ownership("a larger VM takes over");
                    return false;
                }
                true
            }
            Ok(Outcome::Conflict(_)) => {
                owner.end_ownership("the claim was replaced");
                false
            }
            Err(error) => {
                slog::info!(owner.node.log, "heartbeat not stored"; "error" => %error);
                let since_stored = owner.now().since(self.last_stored_at);
                let limit = election_rules::silence_limit(
                    HAND_OVER_AFTER,
                    owner.ownership.claim.unproven,
                    &Arrivals::default(),
                );
                if since_stored >= limit && hand_over(owner, |_| true).await {
                    owner.end_ownership("a peer that reaches the store takes over");
                    return false;
                }
                true
            }
        }
    }
}

/// Sends heartbeats with the number of unstarted jobs, and hands over when they can't be stored or
/// a larger VM is available.
///
/// A heartbeat does not wait for the answer to the one before: on a busy link answers are late, and
/// peers would take the delay of several answers for the owner's end.
async fn send_heartbeats(owner: Arc<Owner>) {
    let now = owner.now();
    let mut heartbeats = Heartbeats {
        sequence: 0,
        is_succession_stored: false,
        last_stored_at: now,
        last_offered_at: now,
    };
    let mut in_flight = FuturesUnordered::new();
    let mut due = now;
    loop {
        let wait = due.since(owner.now());
        tokio::select! {
            () = owner.node.timer.sleep(wait), if in_flight.len() < MAX_HEARTBEATS_IN_FLIGHT => {}
            () = owner.heartbeat_due.notified(), if in_flight.len() < MAX_HEARTBEATS_IN_FLIGHT => {}
            Some(written) = in_flight.next() => {
                let failed = matches!(written, WrittenHeartbeat { outcome: Err(_), .. });
                if !heartbeats.handle(&owner, written).await {
                    return;
                }
                if failed {
                    due = owner.now().after(HEARTBEAT_RETRY);
                }
                continue;
            }
        }
        let sent = owner.now();
        due = sent.after(HEARTBEAT_INTERVAL);
        let mut puts = heartbeats.next(&owner);
        let succession = heartbeats.succession(&owner);
        let has_succession = succession.is_some();
        puts.extend(succession);
        let owner = &owner;
        in_flight.push(async move {
            let checks = vec![owner.ownership.check()];
            WrittenHeartbeat {
                sent,
                has_succession,
                outcome: owner.node.transact(checks, puts).await,
            }
        });
    }
}

/// Releases ownership, so that another VM can claim it at once.
async fn release(owner: &Owner) {
    let claim = Claim {
        released: true,
        ..owner.ownership.claim.clone()
    };
    let Ok(value) = record::encode(&claim) else {
        return;
    };
    let puts = vec![election::put(CLAIM_KEY, value)];
    let outcome = owner
        .node
        .transact(vec![owner.ownership.check()], puts)
        .await;
    slog::info!(owner.node.log, "title released"; "epoch" => owner.epoch(),
        "outcome" => ?outcome.map(|_| ()));
}
