//! What the owner of the workers does as long as it holds the title.

use std::{
    collections::{
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
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};
use basilbridge_platform::table::{
    Outcome,
    Row, //
};
use basilbridge_server::gate::Phase;
use basilbridge_workflow::{
    election::{
        self,
        Candidate, //
    },
    engine::{
        self,
        Engine, //
    },
    event::Event,
    job::Accepted,
    worker,
};
use slog::Logger;
use tokio::{
    sync::{
        Notify,
        Semaphore,
        watch, //
    },
    task::JoinSet,
};

use crate::{
    adviser::Adviser,
    dispatch,
    feed::{
        self,
        News, //
    },
    journal, load, looks,
    node::Node,
    record::{
        self,
        CLAIM_KEY,
        Claim,
        JOB_TABLE,
        PULSE_KEY,
        Pulse,
        WORKERS_KEY, //
    },
    sweep,
    title::{
        self,
        Title, //
    },
    wake,
};

/// How often the owner gives a sign of life.
const PULSE_INTERVAL: Duration = Duration::from_millis(500);

/// How soon a sign that was not taken is given again.
const PULSE_RETRY: Duration = Duration::from_millis(100);

/// After which time without a sign that was taken the owner looks for a VM that reaches the store:
/// one sign and a slow answer to it.
const HAND_OVER_AFTER: Duration = Duration::from_millis(750);

/// How long a peer may take to say whether it takes over: a read of the claim from a store that is
/// not slow, and the way.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// How many peers are asked in one round: of those that the store turns away a third, so that all
/// of them miss it one time in four hundred.
const PEERS_ASKED: usize = 6;

/// How often an owner looks for a larger VM to leave the title to.
const ASIDE_INTERVAL: Duration = Duration::from_secs(2);

/// The least time between two scheduling passes, which bounds what they cost.
const PASS_INTERVAL: Duration = Duration::from_millis(4);

/// How often a pass is made when nothing happens.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// The most orders that are open at one worker at once, of its connections.
const ORDERS_PER_WORKER: usize = 4;

/// The owner of the workers.
pub(crate) struct Owner {
    pub(crate) node: Arc<Node>,
    pub(crate) title: Title,
    pub(crate) adviser: Adviser,
    /// Something has happened that a scheduling pass may answer.
    pub(crate) wake: Notify,
    /// Something is to be stored.
    pub(crate) unstored: Notify,
    /// Counts the batches that were stored or given up.
    pub(crate) rounds: watch::Sender<u64>,
    engine: Mutex<Engine>,
    over: watch::Sender<bool>,
    /// Whether the jobs were read.
    loaded: AtomicBool,
    watch: wake::Watch,
    gates: Mutex<HashMap<worker::Key, Arc<Semaphore>>>,
}

impl Owner {
    pub(crate) fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Millis {
        self.node.timer.now()
    }

    /// Returns the epoch that workers check.
    pub(crate) fn epoch(&self) -> u64 {
        self.title.version.0
    }

    /// Ends the ownership: another VM holds the title.
    pub(crate) fn depose(&self, evidence: &str) {
        if !self.over.send_replace(true) {
            slog::warn!(self.node.log, "title lost"; "epoch" => self.epoch(),
                "evidence" => evidence);
            self.node.metrics.count("titles_lost");
        }
    }

    /// Says whether orders may be sent: not after a gap in which another VM may have taken the title.
    pub(crate) fn is_awake(&self) -> bool {
        self.watch.gap(wake::boot_time()).is_none()
    }

    pub(crate) fn is_over(&self) -> bool {
        *self.over.borrow()
    }

    async fn ended(&self) {
        // The sender lives as long as the owner that is borrowed here.
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }

    /// Returns the gate that bounds the open orders of a worker.
    pub(crate) fn gate(&self, key: worker::Key) -> Arc<Semaphore> {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let gate = gates
            .entry(key)
            .or_insert_with(|| Arc::new(Semaphore::new(ORDERS_PER_WORKER)));
        Arc::clone(gate)
    }

    fn take_workers(&self, news: News) {
        let now = self.now();
        let decode = &self.node.clients.formats.worker;
        let mut engine = self.engine();
        let (rows, all) = match news {
            News::All(rows) => (rows, true),
            News::Changed(rows) => (rows, false),
        };
        let mut listed: HashSet<Name> = HashSet::new();
        for row in rows {
            let entry = row.value.as_deref().map(|text| decode(&row.key, text));
            match entry {
                Some(Some(entry)) => {
                    listed.insert(entry.name.clone());
                    engine.register_worker(entry, now);
                }
                // A row that can't be read is some other writer's and tells nothing.
                Some(None) => {
                    listed.insert(row.key.as_str().into());
                }
                None => engine.unregister_worker(&row.key, now),
            }
        }
        if all {
            let gone = engine.worker_names().into_iter();
            let gone: Vec<Name> = gone.filter(|name| !listed.contains(name)).collect();
            for name in gone {
                engine.unregister_worker(&name, now);
            }
        }
        drop(engine);
        self.wake.notify_one();
    }

    fn take_jobs(&self, news: News) {
        let (News::All(rows) | News::Changed(rows)) = news;
        let now = self.now();
        let mut engine = self.engine();
        for row in &rows {
            take_job(&self.node.log, &mut engine, row, now);
        }
        let newest = rows.iter().map(|row| row.version).max();
        engine.set_accepted_version(newest.unwrap_or_default());
        drop(engine);
        self.wake.notify_one();
    }
}

/// Takes in a job or a cancellation that the VM which stored it announces.
pub(crate) fn take_announced(
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

/// Takes in a row of the table of jobs.
fn take_job(log: &Logger, engine: &mut Engine, row: &Row, now: Millis) {
    if row.value.is_none() {
        return;
    }
    if let Some(id) = record::cancelled_job(&row.key) {
        engine.cancel(id, now);
    } else if let Some(accepted) = record::read::<Accepted>(log, row) {
        engine.accept_new(&row.key.as_str().into(), accepted, row.version, now);
    }
}

/// Acts as the owner until the title is lost or the VM leaves.
pub(crate) async fn own(node: &Arc<Node>, title: Title) {
    let settings = engine::Settings {
        epoch: title.claim.epoch,
        predecessor_ended: title.predecessor_ended,
        lease: node.config.lease(),
        max_lease: node.config.max_lease,
    };
    let policy = node.configuration().policy.clone();
    let mut engine = Engine::new(settings, policy, node.timer.now());
    engine.expect_workers(title.workers.iter().cloned());
    let owner = Arc::new(Owner {
        node: Arc::clone(node),
        title,
        adviser: Adviser::new(node),
        wake: Notify::new(),
        unstored: Notify::new(),
        rounds: watch::Sender::new(0),
        engine: Mutex::new(engine),
        over: watch::Sender::new(false),
        loaded: AtomicBool::new(false),
        watch: wake::Watch::new(wake::boot_time()),
        gates: Mutex::default(),
    });
    *node.owner() = Arc::downgrade(&owner);
    let mut tasks = JoinSet::new();
    tasks.spawn(pulse(Arc::clone(&owner)));
    tokio::select! {
        () = serve(&owner, &mut tasks) => {}
        () = owner.ended() => {}
        () = node.gate.reached(Phase::Leaving) => {}
    }
    let lost = owner.is_over();
    owner.over.send_replace(true);
    tasks.shutdown().await;
    if !lost && !hand_over(&owner, |_| true).await {
        release(&owner).await;
    }
}

async fn serve(owner: &Arc<Owner>, tasks: &mut JoinSet<()>) {
    let from = load::load(owner).await;
    owner.loaded.store(true, Ordering::Release);
    slog::info!(owner.node.log, "jobs loaded"; "epoch" => owner.epoch(),
        "open" => owner.engine().open_counts().0);
    tasks.spawn(follow_workers(Arc::clone(owner), from.workers));
    tasks.spawn(follow_jobs(Arc::clone(owner), from.jobs));
    tasks.spawn(follow_policy(Arc::clone(owner)));
    tasks.spawn(journal::run(Arc::clone(owner)));
    tasks.spawn(sweep::run(Arc::clone(owner)));
    looks::spawn_new(owner, tasks);
    owner.watch.turn(wake::boot_time());
    loop {
        tokio::select! {
            () = owner.wake.notified() => {}
            () = owner.node.timer.sleep(IDLE_INTERVAL) => {}
        }
        if let Some(gap) = owner.watch.gap(wake::boot_time()) {
            check_title(owner, gap).await;
        }
        owner.watch.turn(wake::boot_time());
        pass(owner);
        looks::spawn_new(owner, tasks);
        looks::hurry(owner);
        while tasks.try_join_next().is_some() {}
        owner.node.timer.sleep(PASS_INTERVAL).await;
    }
}

/// Looks whether another VM took the title in a gap between two turns.
///
/// A store that does not tell is left to the workers, which know the highest epoch.
async fn check_title(owner: &Owner, gap: Duration) {
    let log = &owner.node.log;
    let outcome = match title::read_claim(&owner.node).await {
        Ok(Some((_, version))) if version == owner.title.version => "title held",
        Ok(_) => {
            owner.depose("the claim was replaced while this process stood still");
            "title lost"
        }
        Err(_) => "title not read",
    };
    slog::info!(log, "woke"; "gap_ms" => gap.as_millis() as u64, "outcome" => outcome);
}

/// Makes one scheduling pass and sends off what it wants done.
fn pass(owner: &Arc<Owner>) {
    let now = owner.now();
    let (orders, events, fenced, unstored) = {
        let mut engine = owner.engine();
        engine.tick(now);
        engine.schedule(now);
        let orders = engine.take_orders();
        (
            orders,
            engine.take_events(),
            engine.is_fenced(),
            engine.has_unstored(),
        )
    };
    for event in &events {
        count(owner, event);
    }
    owner.node.decisions.write(&events);
    for order in orders {
        dispatch::send(owner, order);
    }
    if unstored {
        owner.unstored.notify_one();
    }
    if fenced {
        owner.depose("a worker knows a higher epoch");
    }
}

fn count(owner: &Owner, event: &Event) {
    let metrics = &owner.node.metrics;
    match event {
        Event::Start { waited, .. } => metrics.time("start_wait", *waited),
        Event::Refused { .. } => metrics.count("starts_refused"),
        Event::Stop { .. } => metrics.count("stops"),
        Event::End { .. } => metrics.count("ends"),
        Event::Lost { .. } => metrics.count("runs_lost"),
        Event::Adopted { .. } => metrics.count("runs_taken_over"),
        Event::Final { elapsed, .. } => metrics.time("job", *elapsed),
        Event::Worker { .. } => metrics.count("worker_changes"),
    }
}

async fn follow_workers(owner: Arc<Owner>, from: Version) {
    let table = owner.node.clients.store.worker_table.clone();
    let taker = Arc::clone(&owner);
    let parts = [table.clone()];
    feed::follow(
        &owner.node,
        &table,
        &parts,
        Some(from),
        feed::GATHER,
        move |news| {
            taker.take_workers(news);
        },
    )
    .await;
}

async fn follow_jobs(owner: Arc<Owner>, from: Version) {
    let taker = Arc::clone(&owner);
    let (table, parts) = (JOB_TABLE.into(), record::job_tables());
    feed::follow(
        &owner.node,
        &table,
        &parts,
        Some(from),
        feed::GATHER,
        move |news| {
            taker.take_jobs(news);
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

/// Looks for a VM that reaches the store and takes over, the largest first; without one the store is
/// away for all.
async fn hand_over(owner: &Owner, may_take: impl Fn(&Candidate) -> bool) -> bool {
    let node = &owner.node;
    let addresses: Vec<SocketAddr> = {
        let view = node.view();
        let successors = view.successors(Some(&node.config.name)).into_iter();
        successors
            .filter(|candidate| candidate.name != node.config.name && may_take(candidate))
            .filter_map(|candidate| Some(view.nodes.get(&candidate.name)?.peers))
            .take(PEERS_ASKED)
            .collect()
    };
    for address in addresses {
        if let Ok(true) = node.pool.hand_over(address, node.nonce, ANSWER_TIME).await {
            return true;
        }
    }
    false
}

/// Gives signs of life, and tells with them which jobs have not begun.
async fn pulse(owner: Arc<Owner>) {
    let mut beat = 0;
    let mut taken = owner.now();
    let mut told: Vec<Name> = Vec::new();
    let mut offered = owner.now();
    loop {
        // Before the jobs are read their count is not known, and none is not nought.
        let loaded = owner.loaded.load(Ordering::Acquire);
        let (unstarted, workers) = {
            let engine = owner.engine();
            (
                loaded.then(|| engine.queued_counts()),
                engine.worker_names(),
            )
        };
        beat += 1;
        let mut puts = Vec::new();
        match record::encode(&Pulse { beat, unstarted }) {
            Ok(value) => puts.push(title::put(PULSE_KEY, value)),
            Err(error) => slog::error!(owner.node.log, "no sign"; "error" => %error),
        }
        if workers != told
            && let Ok(value) = record::encode(&workers)
        {
            puts.push(title::put(WORKERS_KEY, value));
        }
        match owner.node.transact(vec![owner.title.check()], puts).await {
            Ok(Outcome::Committed(_)) => {
                told = workers;
                taken = owner.now();
                if taken.since(offered) >= ASIDE_INTERVAL {
                    offered = taken;
                    let own = owner.node.config.cpu_millis;
                    let larger =
                        |other: &Candidate| election::yields_ownership(own, other.cpu_millis);
                    if hand_over(&owner, larger).await {
                        owner.depose("a larger VM takes over");
                        return;
                    }
                }
            }
            Ok(Outcome::Conflict(_)) => {
                owner.depose("the claim was replaced");
                return;
            }
            Err(error) => {
                slog::info!(owner.node.log, "sign not taken"; "error" => %error);
                let silent = owner.now().since(taken);
                if silent >= HAND_OVER_AFTER && hand_over(&owner, |_| true).await {
                    owner.depose("a peer that reaches the store takes over");
                    return;
                }
                owner.node.timer.sleep(PULSE_RETRY).await;
                continue;
            }
        }
        owner.node.timer.sleep(PULSE_INTERVAL).await;
    }
}

/// Gives the title back, so that another VM takes it at once.
async fn release(owner: &Owner) {
    let claim = Claim {
        released: true,
        ..owner.title.claim.clone()
    };
    let Ok(value) = record::encode(&claim) else {
        return;
    };
    let puts = vec![title::put(CLAIM_KEY, value)];
    let outcome = owner.node.transact(vec![owner.title.check()], puts).await;
    slog::info!(owner.node.log, "title released"; "epoch" => owner.epoch(),
        "outcome" => ?outcome.map(|_| ()));
}
