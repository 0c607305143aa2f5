//! Which entry VMs act on a version of the configuration.
//!
//! The VM that takes a change tells the others at once, and the session rows tell it which version
//! each of them acts on even if that word was lost. A VM that stays silent has fenced itself once
//! [`MAX_AGE`] has passed. See `docs/design/configuration.md`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    error::Result,
    id::{
        Name,
        Session,
        Version, //
    },
    timer,
    unit::Millis,
};
use basilbridge_operators::{
    audit::Entry,
    change::Accepted, //
};
use basilbridge_peers::{
    Configuration,
    client::Pool, //
};
use basilbridge_platform::table::Service;
use futures_util::{
    FutureExt,
    future::{
        self,
        BoxFuture, //
    },
};
use tokio::{
    sync::{
        Notify,
        watch, //
    },
    task::JoinSet,
};

use crate::{
    active_configuration::{
        ActiveConfiguration, //
        MAX_AGE,
        MAX_READ_AGE,
    },
    commit::Batch,
    session::Record,
};

/// How long past [`MAX_AGE`] a silent VM is waited for, since clocks drift and answers travel.
const MARGIN: Duration = Duration::from_millis(500);

/// How often a session must have been renewed since ours was, before its VM surely knows ours.
const RENEWALS_TO_KNOW_US: u64 = 2;

/// How long one read of the configuration may take before the service counts as down.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The polls of all VMs together in a second.
const READS_PER_SECOND: u32 = 200;

#[derive(Debug, Clone)]
struct Peer {
    name: Name,
    address: SocketAddr,
    acknowledged: Version,
    renewals: u64,
    /// The renewals when this VM first saw the session.
    first_renewals: u64,
    /// When this VM last saw the session renewed.
    renewed: Millis,
}

#[derive(Debug, Default)]
struct Inner {
    peers: BTreeMap<Session, Peer>,
    observed: Millis,
}

/// Which version each other entry VM acts on.
#[derive(Debug, Default)]
pub struct Tracker {
    inner: Mutex<Inner>,
    changed: Notify,
}

impl Tracker {
    /// Takes note of the other VMs' sessions that live.
    pub fn observe(&self, records: &[Record], own: Session, now: Millis, lease: Duration) {
        let mut inner = self.lock();
        if now.since(inner.observed) >= lease {
            // While nobody could renew, silence told nothing.
            for peer in inner.peers.values_mut() {
                peer.renewed = now;
            }
        }
        inner.observed = now;
        let peers = &mut inner.peers;
        for record in records.iter().filter(|record| record.session != own) {
            let peer = peers.entry(record.session).or_insert_with(|| Peer {
                name: record.name.clone(),
                address: record.address,
                acknowledged: Version(0),
                renewals: record.renewals,
                first_renewals: record.renewals,
                renewed: now,
            });
            peer.address = record.address;
            peer.acknowledged = peer.acknowledged.max(record.configuration);
            if record.renewals > peer.renewals {
                peer.renewals = record.renewals;
                peer.renewed = now;
            }
        }
        // A VM whose session lapsed so long ago has fenced itself, if it still runs at all.
        let limit = lease + MAX_READ_AGE + MAX_AGE + MARGIN;
        peers.retain(|_, peer| now.since(peer.renewed) < limit);
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Forgets how far the others have observed us, as our own session may have lapsed for them.
    pub fn reset_renewal_counts(&self) {
        for peer in self.lock().peers.values_mut() {
            peer.first_renewals = peer.renewals;
        }
    }

    /// Takes note of the version that a peer acts on.
    pub fn acknowledge(&self, session: Session, version: Version) {
        if let Some(peer) = self.lock().peers.get_mut(&session) {
            peer.acknowledged = peer.acknowledged.max(version);
        }
        self.changed.notify_waiters();
    }

    /// Returns the names of the VMs that may act on an older version `since` its commit.
    pub fn missing(&self, version: Version, since: Duration) -> Vec<Name> {
        let inner = self.lock();
        let missing = inner.peers.values().filter(|peer| {
            let knows_us = peer.renewals >= peer.first_renewals + RENEWALS_TO_KNOW_US;
            let fenced = knows_us && since >= MAX_AGE + MARGIN;
            peer.acknowledged < version && !fenced
        });
        let mut names: Vec<_> = missing.map(|peer| peer.name.clone()).collect();
        names.sort();
        names
    }

    /// Waits until a version that was just committed is in force, for at most `limit`.
    pub async fn wait_until_in_force(
        &self,
        version: Version,
        timer: &timer::Service,
        limit: Duration,
    ) -> Accepted {
        let committed = timer.now();
        loop {
            let changed = self.changed.notified();
            let since = timer.now().since(committed);
            let missing = self.missing(version, since);
            if missing.is_empty() || since >= limit {
                return Accepted {
                    version,
                    in_force: missing.is_empty(),
                    missing,
                };
            }
            let fenced = MAX_AGE + MARGIN;
            let next = if since < fenced {
                fenced.min(limit)
            } else {
                limit
            };
            timer.timeout(next - since, changed).await;
        }
    }

    fn peers(&self) -> Vec<(Session, SocketAddr, Version)> {
        let inner = self.lock();
        let peers = inner.peers.iter();
        peers
            .map(|(session, peer)| (*session, peer.address, peer.acknowledged))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Swaps what both know of the configuration with the peer at an address.
pub type Exchange = Arc<
    dyn Fn(SocketAddr, Configuration) -> BoxFuture<'static, Result<Configuration>> + Send + Sync,
>;

/// What keeps the configuration of this VM fresh and tells the others of changes.
#[derive(Clone)]
pub struct ConfigSync {
    /// The session of this VM.
    pub session: Session,
    /// The configuration that this VM acts on.
    pub configuration: Arc<ActiveConfiguration>,
    /// Which version each other VM acts on.
    pub tracker: Arc<Tracker>,
    /// Swaps what both know of the configuration with the peer at an address.
    pub exchange: Exchange,
    /// The table service.
    pub tables: Service,
    /// The timer service.
    pub timer: timer::Service,
}

impl ConfigSync {
    /// Makes a messenger that reaches the peers through a pool of connections.
    pub fn new(
        session: Session,
        configuration: Arc<ActiveConfiguration>,
        pool: Pool,
        tables: Service,
        timer: timer::Service,
    ) -> Self {
        let exchange: Exchange = Arc::new(move |address, told| {
            let pool = pool.clone();
            async move { pool.configure(address, told).await }.boxed()
        });
        Self {
            session,
            configuration,
            tracker: Arc::default(),
            exchange,
            tables,
            timer,
        }
    }

    /// Starts to poll and to tell the peers of what this VM commits.
    pub fn start(
        self,
        tasks: &mut JoinSet<()>,
        committed: watch::Receiver<Batch>,
        interval: Duration,
    ) {
        tasks.spawn(self.clone().poll(interval));
        tasks.spawn(self.spread(committed));
    }
    /// Reads the configuration each `interval`, and asks the peers where that fails.
    async fn poll(self, interval: Duration) {
        loop {
            self.refresh().await;
            let vms = self.tracker.peers().len() as u32 + 1;
            let pace = Duration::from_secs(1) * vms / READS_PER_SECOND;
            self.timer.sleep(interval.max(pace)).await;
        }
    }

    /// Tells the peers of each batch that this VM writes.
    ///
    /// Only the batch itself is sent along. A peer that lacks what came before it reads the table
    /// service, so that VMs which write at the same time don't repeat each other's entries.
    async fn spread(self, mut committed: watch::Receiver<Batch>) {
        while committed.changed().await.is_ok() {
            let batch = *committed.borrow_and_update();
            self.consult(batch.after).await;
        }
    }

    /// Reads the configuration once, and asks the peers where that fails.
    async fn refresh(&self) {
        let read = self.configuration.refresh(&self.tables);
        let read = self.timer.timeout(READ_TIMEOUT, read).await;
        if read.is_none() {
            self.configuration.mark_store_down();
        }
        if !matches!(read, Some(Ok(()))) {
            let asked = self.timer.now();
            if self.consult(Version(0)).await {
                self.configuration.exempt_from_max_age(asked);
            }
        }
    }

    /// Swaps news with all peers, and says whether the table service is down for each of them.
    ///
    /// Entries up to `after` are not sent along.
    async fn consult(&self, after: Version) -> bool {
        let peers = self.tracker.peers();
        let talks = peers
            .into_iter()
            .map(|(session, address, version)| async move {
                let asked = self.timer.now();
                let answer = (self.exchange)(address, self.known(version.max(after))).await;
                let answer = answer.ok()?;
                self.tracker.acknowledge(session, Version(answer.version));
                self.take(&answer, asked);
                Some(answer.store_down)
            });
        let answers = future::join_all(talks).await;
        answers.into_iter().all(|down| down == Some(true))
    }

    /// Answers a peer that swaps news with us.
    pub async fn handle_exchange(self, told: Configuration) -> Configuration {
        // How long the word was on its way is not known, so it tells nothing of our freshness.
        self.extend(&told);
        if told.version > self.configuration.current().version.0 {
            self.refresh_alone().await;
        }
        let session = Session(told.session);
        self.tracker.acknowledge(session, Version(told.version));
        self.known(Version(told.version))
    }

    /// Reads the configuration without asking peers, so that VMs never wait for each other.
    async fn refresh_alone(&self) {
        let read = self.configuration.refresh(&self.tables);
        // A failure leaves the older version, which the answer then tells.
        let _ = self.timer.timeout(READ_TIMEOUT / 2, read).await;
    }

    fn known(&self, theirs: Version) -> Configuration {
        let (age, store_down) = self.configuration.age();
        let entries = self.configuration.entries_after(theirs).unwrap_or_default();
        let entries = entries
            .iter()
            .filter_map(|entry| serde_json::to_vec(entry).ok());
        Configuration {
            session: self.session.0,
            version: self.configuration.current().version.0,
            age_ms: age.map(|age| age.as_millis() as u64),
            store_down,
            entries: entries.collect(),
        }
    }

    fn extend(&self, told: &Configuration) {
        let entries = told.entries.iter();
        let entries: Vec<Entry> = entries
            .filter_map(|bytes| serde_json::from_slice(bytes).ok())
            .collect();
        self.configuration.extend(&entries);
    }

    fn take(&self, told: &Configuration, asked: Millis) {
        self.extend(told);
        if let Some(age) = told.age_ms {
            let at = Millis(asked.0.saturating_sub(age));
            self.configuration
                .record_peer_read(Version(told.version), at);
        }
    }
}
