//! Keeps a VM's session, and claims and hands over shards.

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

/// The session renewals per second that all VMs together may make.
pub const RENEWALS_PER_SECOND: u32 = 60;

/// The reads of sessions and claims per second that all VMs together may make.
pub const SESSION_READS_PER_SECOND: u32 = 600;

/// The number of reads that one round of a VM takes.
pub const READS_PER_ROUND: u32 = 4;

/// The number of renewals within one lease of a session.
const RENEWALS_PER_LEASE: u32 = 3;

/// The number of rounds that a VM runs before it may claim shards, so that VMs that start together
/// know of one another first.
const ROUNDS_BEFORE_CLAIM: u32 = 2;

/// Divisor that yields the fraction of its shards that a VM hands over in one round to VMs that
/// have joined.
const HAND_OVER_DIVISOR: usize = 8;

/// The maximum time that the hand-over of a shard waits for calls in flight.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// The owner of a shard and its background tasks.
pub(crate) struct OwnedShard {
    pub(crate) owner: Arc<Owner>,
    _tasks: JoinSet<()>,
}

/// The intervals at which a VM runs rounds and renews its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intervals {
    /// The time between two rounds.
    pub poll: Duration,
    /// The time between two renewals.
    pub renewal: Duration,
    /// The lease of the session.
    pub lease: Duration,
}

impl Intervals {
    /// Returns the intervals at which `vms` VMs together stay within [`RENEWALS_PER_SECOND`] and
    /// [`SESSION_READS_PER_SECOND`]. `poll` and `lease` are the minimum values.
    pub fn new(poll: Duration, lease: Duration, vms: usize) -> Self {
        let vms = vms as u32;
        let second = Duration::from_secs(1);
        let renewal = (lease / RENEWALS_PER_LEASE).max(second * vms / RENEWALS_PER_SECOND);
        Self {
            poll: poll.max(second * vms * READS_PER_ROUND / SESSION_READS_PER_SECOND),
            renewal,
            lease: lease.max(renewal * RENEWALS_PER_LEASE),
        }
    }
}

/// The state of a VM's session between two rounds.
struct SessionKeeper {
    record: Record,
    /// The version of the session's row.
    version: Version,
    observer: Observer,
    intervals: Intervals,
    renewed_at: Option<Millis>,
    /// The number of rounds in which the sessions were read.
    rounds: u32,
}

impl Node {
    /// Keeps the session and the shards of the VM, which other VMs reach at `address`. Does not
    /// return.
    pub async fn keep_session(self: Arc<Self>, address: SocketAddr) {
        let intervals = Intervals::new(self.config.poll_interval, self.config.session_lease, 1);
        let keeper = SessionKeeper {
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
            renewed_at: None,
            rounds: 0,
        };
        tokio::join!(self.writer.run(), Arc::clone(&self).run_rounds(keeper));
    }

    async fn run_rounds(self: Arc<Self>, mut keeper: SessionKeeper) {
        loop {
            self.renew_session(&mut keeper).await;
            self.refresh_fleet().await;
            if let Err(error) = self.run_round(&mut keeper).await {
                slog::warn!(self.log, "membership round failed"; "error" => %error);
            }
            self.rounds.send_modify(|rounds| *rounds += 1);
            self.timer.sleep(keeper.intervals.poll).await;
        }
    }

    /// Renews the session if it is due, or if the VM has begun to drain.
    async fn renew_session(&self, keeper: &mut SessionKeeper) {
        let now = self.timer.now();
        let leaving = self.drain_state.is_draining();
        let due = keeper
            .renewed_at
            .is_none_or(|renewed_at| now.since(renewed_at) >= keeper.intervals.renewal);
        if !due && leaving == keeper.record.leaving {
            return;
        }
        // The record changes only on success, so that a renewal with unknown outcome is repeated
        // under the same write id.
        let mut record = keeper.record.clone();
        record.renewals += 1;
        record.leaving = leaving;
        record.configuration = self.configuration.current().version;
        match session::renew(&self.platform.tables, &record, keeper.version).await {
            Ok(version) => {
                let lapsed = |renewed_at| now.since(renewed_at) >= keeper.record.lease;
                if keeper.renewed_at.is_some_and(lapsed) {
                    self.config_sync.tracker.reset_renewal_counts();
                }
                keeper.version = version;
                keeper.record = record;
                keeper.renewed_at = Some(now);
                keeper.record.lease = keeper.intervals.lease;
            }
            Err(error) if error.kind == Kind::Conflict => {
                slog::warn!(
                    self.log,
                    "session record was changed by another VM, all shards dropped"
                );
                self.abandon();
                self.config_sync.tracker.reset_renewal_counts();
                keeper.version = Version(0);
                keeper.record.renewals += 1;
            }
            Err(error) => slog::warn!(self.log, "failed to renew the session"; "error" => %error),
        }
    }

    /// Reads the platform's list of VMs.
    async fn refresh_fleet(&self) {
        match (self.platform.vms)().await {
            Ok(vms) => self.fleet.set(vms),
            Err(error) => {
                slog::warn!(self.log, "failed to read the list of VMs"; "error" => %error)
            }
        }
    }

    /// Reads the sessions and claims, claims and hands over shards, and removes the row of an ended
    /// session.
    async fn run_round(self: &Arc<Self>, keeper: &mut SessionKeeper) -> Result<()> {
        let now = self.timer.now();
        let max_gap = keeper.intervals.poll + keeper.intervals.lease / 2;
        let tables = &self.platform.tables;
        let view = keeper.observer.observe(tables, now, max_gap).await?;
        let vms = view.live.len().max(1);
        self.journals.set_vms(vms);
        keeper.intervals =
            Intervals::new(self.config.poll_interval, self.config.session_lease, vms);
        let tracker = &self.config_sync.tracker;
        tracker.observe(&view.live, self.session, now, keeper.intervals.lease);
        keeper.rounds += 1;
        self.update_directory(&view);
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

    /// Claims the shards without a live owner for which this VM is the preferred owner.
    async fn claim(
        self: &Arc<Self>,
        view: &View,
        mut shards: Vec<(Shard, Vec<Worker>)>,
    ) -> Result<()> {
        shards.retain(|(shard, _)| {
            // If the row names this VM and there is no owner here, the response to the claim was
            // lost. The shard is claimed again under a new epoch, because an epoch identifies one
            // owner only.
            let (claim, _) = view.claims.get(shard).cloned().unzip();
            let is_own_claim = claim.is_some_and(|claim| claim.session == Some(self.session));
            let is_claimable =
                !view.has_live_owner(shard) && view.preferred_owner(shard) == Some(self.session);
            self.owner(shard).is_none() && (is_own_claim || is_claimable)
        });
        for chunk in shards.chunks(SHARDS_PER_WRITE) {
            let wanted: Vec<_> = chunk
                .iter()
                .map(|(shard, _)| (shard.clone(), view.claims.get(shard).cloned()))
                .collect();
            let ownerships = session::claim(&self.platform.tables, self.session, &wanted).await?;
            for (ownership, (_, workers)) in ownerships.into_iter().zip(chunk) {
                self.start_owner(ownership, workers.clone());
            }
        }
        Ok(())
    }

    /// Hands over some of the shards for which a VM that has joined is now the preferred owner.
    fn rebalance(self: &Arc<Self>, view: &View) {
        let owners = self.owners();
        let max_moved = owners.len().div_ceil(HAND_OVER_DIVISOR);
        let moved = owners.iter().filter(|owner| {
            let preferred = view.preferred_owner(&owner.ownership.shard);
            let is_stable = preferred.is_some_and(|session| view.stable.contains(&session));
            is_stable
                && preferred != Some(self.session)
                && owner.is_recovered()
                && !owner.is_draining()
        });
        let moved: Vec<_> = moved.take(max_moved).cloned().collect();
        if !moved.is_empty() {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.hand_over_owners(moved).await });
        }
    }

    /// Releases all shards, so that other VMs can claim them at once, and returns whether all were
    /// released.
    ///
    /// New work is refused from the call on. A shard whose release can't be written becomes
    /// claimable when the session lapses.
    pub async fn hand_over(&self) -> bool {
        self.hand_over_owners(self.owners()).await
    }

    /// Drains and releases shards, and returns whether all were released. The others are reopened.
    async fn hand_over_owners(&self, owners: Vec<Arc<Owner>>) -> bool {
        let drains = owners.iter().map(|owner| owner.drain(DRAIN_LIMIT));
        futures_util::future::join_all(drains).await;
        let mut all = true;
        for chunk in owners.chunks(SHARDS_PER_WRITE) {
            let ownerships: Vec<_> = chunk.iter().map(|owner| owner.ownership.clone()).collect();
            let released = session::release(&self.platform.tables, &ownerships).await;
            if matches!(released, Ok(true)) {
                self.drop_owners(chunk);
            } else {
                all = false;
                chunk.iter().for_each(|owner| owner.reopen());
            }
        }
        all
    }

    /// Removes owners, and tells their callers to ask the next owner.
    fn drop_owners(&self, owners: &[Arc<Owner>]) {
        let mut owned = self
            .owned_shards
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        for owner in owners {
            owner.release();
            let is_current = owned
                .get(&owner.ownership.shard)
                .is_some_and(|owned| Arc::ptr_eq(&owned.owner, owner));
            if is_current {
                owned.remove(&owner.ownership.shard);
            }
        }
    }

    /// Stops all work on shards at once, without releasing them in the store.
    pub fn abandon(&self) {
        self.drop_owners(&self.owners());
    }

    /// Removes the row of one session that ended long ago. Only the live VM with the lowest session
    /// does this.
    async fn remove_dead(&self, view: &View) -> Result<()> {
        let first = view.live.iter().map(|record| record.session).min();
        if first != Some(self.session) {
            return Ok(());
        }
        // At most one row is removed per round to limit the writes after many VMs were replaced.
        match view.dead.first() {
            Some((record, version)) => {
                session::remove(&self.platform.tables, record, *version).await
            }
            None => Ok(()),
        }
    }

    /// Updates the directory, and drops shards that this VM no longer owns.
    fn update_directory(&self, view: &View) {
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
                self.directory.update(shard.clone(), entry);
            }
            self.release_if_lost(shard, *version);
        }
    }

    /// Removes the owner of a shard whose row has changed since it was claimed.
    fn release_if_lost(&self, shard: &Shard, version: Version) {
        let Some(owner) = self.owner(shard) else {
            return;
        };
        if owner.ownership.version < version {
            slog::warn!(self.log, "lost ownership of the shard"; "shard" => %shard);
            self.drop_owners(&[owner]);
        }
    }

    /// Creates the owner of a shard that was just claimed, and starts its background tasks.
    fn start_owner(self: &Arc<Self>, ownership: Ownership, workers: Vec<Worker>) {
        let shard = ownership.shard.clone();
        let log = self.log.new(slog::o!(
            "shard" => shard.to_string(),
            "epoch" => ownership.epoch.0,
        ));
        slog::info!(log, "shard claimed"; "workers" => workers.len());
        let services = Services {
            timer: self.timer.clone(),
            endpoints: self.endpoints.clone(),
            journal: self.journals.open(ownership.clone()),
            tables: self.platform.tables.clone(),
            configuration: Arc::clone(&self.configuration),
            log,
            metrics: self.metrics.clone(),
            task_lease: self.config.task_lease,
            allotment_requested: Arc::clone(&self.allotment_requested),
        };
        let owner = Owner::new(ownership, services, workers);
        let mut tasks = JoinSet::new();
        tasks.spawn(run_owner(Arc::clone(self), Arc::clone(&owner)));
        let owned = OwnedShard {
            owner,
            _tasks: tasks,
        };
        let mut all = self
            .owned_shards
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        all.insert(shard, owned);
    }
}

/// Runs an owner: reads the journal of its shard until that succeeds, then dispatches tasks and
/// renews their leases.
async fn run_owner(node: Arc<Node>, owner: Arc<Owner>) {
    while let Err(error) = takeover::replay(&owner, &node.platform).await {
        slog::warn!(owner.services.log, "failed to replay the journal"; "error" => %error);
        node.timer.sleep(node.config.poll_interval).await;
    }
    tokio::join!(dispatch::run(Arc::clone(&owner)), renewal::run(owner));
}
