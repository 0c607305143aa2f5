//! Which shards this VM holds, and its session.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    error::{
        Kind,
        Result, //
    },
    id::{
        Shard,
        Version, //
    },
    unit::Millis,
    worker::Worker,
};
use tokio::task::JoinSet;

use crate::{
    directory, dispatch,
    journal::Ownership,
    node::Node,
    owner::{
        Owner,
        Services, //
    },
    renewal,
    session::{
        self,
        Observer,
        Record,
        SHARDS_PER_WRITE,
        View, //
    },
    takeover,
};

/// The renewals of all VMs together in a second.
pub const RENEWALS_PER_SECOND: u32 = 60;

/// The reads for news of all VMs together in a second.
pub const NEWS_READS_PER_SECOND: u32 = 600;

/// The reads that one look for news takes.
pub const READS_PER_ROUND: u32 = 4;

/// A session is renewed so many times before it would lapse.
const RENEWALS_PER_LEASE: u32 = 3;

/// How often a VM looks for news before it claims shards for the first time, so that VMs that
/// start together see one another first.
const ROUNDS_BEFORE_CLAIM: u32 = 2;

/// The part of its shards that a VM hands over at a time to VMs that have joined.
const HAND_OVER_PARTS: usize = 8;

/// How long a shard that is handed over waits for the callers that are being answered.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// An owner and the tasks that work for it.
pub(crate) struct Held {
    pub(crate) owner: Arc<Owner>,
    _tasks: JoinSet<()>,
}

/// How often a VM renews its session and looks for news, by how many VMs there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intervals {
    /// The time between two looks for news.
    pub poll: Duration,
    /// The time between two renewals.
    pub renewal: Duration,
    /// The lease of the session.
    pub lease: Duration,
}

impl Intervals {
    /// Returns the intervals at which `vms` together stay within their budgets.
    pub fn new(poll: Duration, lease: Duration, vms: usize) -> Self {
        let vms = vms as u32;
        let second = Duration::from_secs(1);
        let renewal = (lease / RENEWALS_PER_LEASE).max(second * vms / RENEWALS_PER_SECOND);
        Self {
            poll: poll.max(second * vms * READS_PER_ROUND / NEWS_READS_PER_SECOND),
            renewal,
            lease: lease.max(renewal * RENEWALS_PER_LEASE),
        }
    }
}

/// The state of a VM's session between two rounds.
struct Keeper {
    record: Record,
    version: Version,
    observer: Observer,
    intervals: Intervals,
    renewed: Option<Millis>,
    rounds: u32,
}

impl Node {
    /// Keeps the session and the shards of a VM that others reach at `address`.
    pub async fn keep_session(self: Arc<Self>, address: SocketAddr) {
        let intervals = Intervals::new(self.config.poll_interval, self.config.session_lease, 1);
        let keeper = Keeper {
            record: Record {
                session: self.session,
                name: self.config.name.clone(),
                address,
                data_centre: self.config.data_centre.clone(),
                renewals: 0,
                lease: intervals.lease,
                leaving: false,
                configuration: Version(0),
            },
            version: Version(0),
            observer: Observer::default(),
            intervals,
            renewed: None,
            rounds: 0,
        };
        tokio::join!(self.writer.run(), Arc::clone(&self).rounds(keeper));
    }

    async fn rounds(self: Arc<Self>, mut keeper: Keeper) {
        loop {
            self.renew(&mut keeper).await;
            self.refresh().await;
            if let Err(error) = self.round(&mut keeper).await {
                slog::warn!(self.log, "round failed"; "error" => %error);
            }
            self.rounds.send_modify(|rounds| *rounds += 1);
            self.timer.sleep(keeper.intervals.poll).await;
        }
    }

    /// Renews the session when it is time.
    async fn renew(&self, keeper: &mut Keeper) {
        let now = self.timer.now();
        let leaving = self.drain_state.is_draining();
        let due = keeper
            .renewed
            .is_none_or(|renewed| now.since(renewed) >= keeper.intervals.renewal);
        if !due && leaving == keeper.record.leaving {
            return;
        }
        // A renewal with an unknown outcome is sent again under the same id.
        let mut record = keeper.record.clone();
        record.renewals += 1;
        record.leaving = leaving;
        record.configuration = self.configuration.current().version;
        match session::renew(&self.platform.tables, &record, keeper.version).await {
            Ok(version) => {
                let lapsed = |renewed| now.since(renewed) >= keeper.record.lease;
                if keeper.renewed.is_some_and(lapsed) {
                    self.config_sync.tracker.reset_renewal_counts();
                }
                keeper.version = version;
                keeper.record = record;
                keeper.renewed = Some(now);
                keeper.record.lease = keeper.intervals.lease;
            }
            Err(error) if error.kind == Kind::Conflict => {
                slog::warn!(self.log, "session ended by others");
                self.abandon();
                self.config_sync.tracker.reset_renewal_counts();
                keeper.version = Version(0);
                keeper.record.renewals += 1;
            }
            Err(error) => slog::warn!(self.log, "session not renewed"; "error" => %error),
        }
    }

    /// Reads the list of VMs.
    async fn refresh(&self) {
        match (self.platform.vms)().await {
            Ok(vms) => self.fleet.set(vms),
            Err(error) => slog::warn!(self.log, "list of VMs not read"; "error" => %error),
        }
    }

    /// Reads what has changed and claims the shards that fall to this VM.
    async fn round(self: &Arc<Self>, keeper: &mut Keeper) -> Result<()> {
        let now = self.timer.now();
        let longest_gap = keeper.intervals.poll + keeper.intervals.lease / 2;
        let tables = &self.platform.tables;
        let view = keeper.observer.observe(tables, now, longest_gap).await?;
        let vms = view.live.len().max(1);
        self.journals.set_vms(vms);
        keeper.intervals =
            Intervals::new(self.config.poll_interval, self.config.session_lease, vms);
        let tracker = &self.config_sync.tracker;
        tracker.observe(&view.live, self.session, now, keeper.intervals.lease);
        keeper.rounds += 1;
        self.learn(&view);
        let peers: Vec<_> = view.live.iter().map(|record| record.address).collect();
        self.pool.retain(&peers);
        let shards = self.fleet.shards();
        for (shard, workers) in &shards {
            if let Some(owner) = self.owner(shard) {
                owner.set_workers(workers.clone());
            }
        }
        if keeper.rounds > ROUNDS_BEFORE_CLAIM && !self.drain_state.is_draining() {
            self.claim(&view, shards.into_iter().collect()).await?;
            self.rebalance(&view);
        }
        self.remove_dead(&view).await
    }

    /// Claims the shards that have no owner and fall to this VM.
    async fn claim(
        self: &Arc<Self>,
        view: &View,
        mut shards: Vec<(Shard, Vec<Worker>)>,
    ) -> Result<()> {
        shards.retain(|(shard, _)| {
            // A claim of ours without an owner is one whose answer was lost. It is made anew,
            // because an epoch stands for one owner only.
            let (claim, _) = view.claims.get(shard).cloned().unzip();
            let ours = claim.is_some_and(|claim| claim.session == Some(self.session));
            let free =
                !view.has_live_owner(shard) && view.preferred_owner(shard) == Some(self.session);
            self.owner(shard).is_none() && (ours || free)
        });
        for chunk in shards.chunks(SHARDS_PER_WRITE) {
            let wanted: Vec<_> = chunk
                .iter()
                .map(|(shard, _)| (shard.clone(), view.claims.get(shard).cloned()))
                .collect();
            let titles = session::claim(&self.platform.tables, self.session, &wanted).await?;
            for (title, (_, workers)) in titles.into_iter().zip(chunk) {
                self.hold(title, workers.clone());
            }
        }
        Ok(())
    }

    /// Hands some shards over to VMs that have joined and would now be chosen for them.
    fn rebalance(self: &Arc<Self>, view: &View) {
        let owners = self.owners();
        let most = owners.len().div_ceil(HAND_OVER_PARTS);
        let moved = owners.iter().filter(|owner| {
            let preferred = view.preferred_owner(&owner.ownership.shard);
            let steady = preferred.is_some_and(|session| view.stable.contains(&session));
            steady
                && preferred != Some(self.session)
                && owner.is_recovered()
                && !owner.is_draining()
        });
        let moved: Vec<_> = moved.take(most).cloned().collect();
        if !moved.is_empty() {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.hand_over_owners(moved).await });
        }
    }

    /// Gives up all shards, so that other VMs claim them at once; says whether it has.
    ///
    /// New work is refused from the call on. What the store can't be told of lapses with the
    /// session.
    pub async fn hand_over(&self) -> bool {
        self.hand_over_owners(self.owners()).await
    }

    async fn hand_over_owners(&self, owners: Vec<Arc<Owner>>) -> bool {
        let drains = owners.iter().map(|owner| owner.drain(DRAIN_LIMIT));
        futures_util::future::join_all(drains).await;
        let mut all = true;
        for chunk in owners.chunks(SHARDS_PER_WRITE) {
            let titles: Vec<_> = chunk.iter().map(|owner| owner.ownership.clone()).collect();
            let released = session::release(&self.platform.tables, &titles).await;
            if matches!(released, Ok(true)) {
                self.drop_owners(chunk);
            } else {
                all = false;
                chunk.iter().for_each(|owner| owner.reopen());
            }
        }
        all
    }

    fn drop_owners(&self, owners: &[Arc<Owner>]) {
        let mut held = self.held.write().unwrap_or_else(PoisonError::into_inner);
        for owner in owners {
            owner.release();
            let same = held
                .get(&owner.ownership.shard)
                .is_some_and(|held| Arc::ptr_eq(&held.owner, owner));
            if same {
                held.remove(&owner.ownership.shard);
            }
        }
    }

    /// Ends all work on shards at once, without a word to anyone.
    pub fn abandon(&self) {
        self.drop_owners(&self.owners());
    }

    /// Removes the rows of sessions that ended long ago; one VM does it for all.
    async fn remove_dead(&self, view: &View) -> Result<()> {
        let first = view.live.iter().map(|record| record.session).min();
        if first != Some(self.session) {
            return Ok(());
        }
        // One a round keeps the writes few after many VMs were replaced at once.
        match view.dead.first() {
            Some((record, version)) => {
                session::remove(&self.platform.tables, record, *version).await
            }
            None => Ok(()),
        }
    }

    fn learn(&self, view: &View) {
        self.directory.set_members(view.live.clone());
        for (shard, (claim, version)) in &view.claims {
            let owner = view
                .live
                .iter()
                .find(|record| Some(record.session) == claim.session);
            if let Some(owner) = owner {
                let entry = directory::Entry {
                    address: owner.address,
                    epoch: claim.epoch,
                };
                self.directory.learn(shard.clone(), entry);
            }
            self.release_if_lost(shard, *version);
        }
    }

    /// Drops a shard whose row has changed since it was claimed.
    fn release_if_lost(&self, shard: &Shard, version: Version) {
        let Some(owner) = self.owner(shard) else {
            return;
        };
        if owner.ownership.version < version {
            slog::warn!(self.log, "shard lost"; "shard" => %shard);
            self.drop_owners(&[owner]);
        }
    }

    fn hold(self: &Arc<Self>, title: Ownership, workers: Vec<Worker>) {
        let shard = title.shard.clone();
        let log = self.log.new(slog::o!(
            "shard" => shard.to_string(),
            "epoch" => title.epoch.0,
        ));
        slog::info!(log, "shard claimed"; "workers" => workers.len());
        let tools = Services {
            timer: self.timer.clone(),
            endpoints: self.endpoints.clone(),
            journal: self.journals.open(title.clone()),
            tables: self.platform.tables.clone(),
            log,
            metrics: self.metrics.clone(),
            task_lease: self.config.task_lease,
            allotment_requested: Arc::clone(&self.allotment_requested),
        };
        let owner = Owner::new(title, tools, workers);
        let mut tasks = JoinSet::new();
        tasks.spawn(work(Arc::clone(self), Arc::clone(&owner)));
        let held = Held {
            owner,
            _tasks: tasks,
        };
        let mut all = self.held.write().unwrap_or_else(PoisonError::into_inner);
        all.insert(shard, held);
    }
}

async fn work(node: Arc<Node>, owner: Arc<Owner>) {
    while let Err(error) = takeover::replay(&owner, &node.platform).await {
        slog::warn!(owner.services.log, "replay failed"; "error" => %error);
        node.timer.sleep(node.config.poll_interval).await;
    }
    tokio::join!(dispatch::run(Arc::clone(&owner)), renewal::run(owner));
}
