//! Tracks which entry VMs apply a version of the configuration, and exchanges it between them.
//!
//! The VM that accepts a change sends it to the others at once. The session rows show which version
//! each of them applies even if that message was lost. An unresponsive VM has fenced itself once
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
        ActiveConfiguration,
        MAX_AGE,
        MAX_READ_AGE, //
    },
    commit::Batch,
    session::Record,
};

/// How long after [`MAX_AGE`] an unresponsive VM counts as fenced, to allow for clock drift and the
/// time that answers take.
const FENCE_MARGIN: Duration = Duration::from_millis(500);

/// The number of renewals of a peer's session after which its VM is guaranteed to have seen the
/// session of this VM.
const RENEWALS_UNTIL_SEEN: u64 = 2;

/// How long one read of the configuration may take before the table service counts as down.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of polls per second of all VMs together.
const READS_PER_SECOND: u32 = 200;

#[derive(Debug, Clone)]
struct Peer {
    name: Name,
    address: SocketAddr,
    acknowledged: Version,
    renewals: u64,
    /// The renewals when this VM first saw the session, or when its own session last lapsed.
    first_renewals: u64,
    /// When this VM last saw the session renewed.
    last_renewal: Millis,
}

#[derive(Debug, Default)]
struct Inner {
    peers: BTreeMap<Session, Peer>,
    last_observed: Millis,
}

/// Tracks the configuration version that each other entry VM applies.
#[derive(Debug, Default)]
pub struct Tracker {
    inner: Mutex<Inner>,
    changed: Notify,
}

impl Tracker {
    /// Updates the peers from the live sessions of the other VMs.
    pub fn observe(&self, records: &[Record], own: Session, now: Millis, lease: Duration) {
        let mut inner = self.lock();
        if now.since(inner.last_observed) >= lease {
            // Nobody may have been able to renew during a gap this long, so missing renewals don't
            // show that a peer has stopped.
            for peer in inner.peers.values_mut() {
                peer.last_renewal = now;
            }
        }
        inner.last_observed = now;
        let peers = &mut inner.peers;
        for record in records.iter().filter(|record| record.session != own) {
            let peer = peers.entry(record.session).or_insert_with(|| Peer {
                name: record.name.clone(),
                address: record.address,
                acknowledged: Version(0),
                renewals: record.renewals,
                first_renewals: record.renewals,
                last_renewal: now,
            });
            peer.address = record.address;
            peer.acknowledged = peer.acknowledged.max(record.configuration);
            if record.renewals > peer.renewals {
                peer.renewals = record.renewals;
                peer.last_renewal = now;
            }
        }
        // A VM whose session lapsed longer ago than this has fenced itself, if it still runs.
        let limit = lease + MAX_READ_AGE + MAX_AGE + FENCE_MARGIN;
        peers.retain(|_, peer| now.since(peer.last_renewal) < limit);
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Starts the count of each peer's renewals again, because the session of this VM may have
    /// lapsed and peers may have removed it.
    pub fn reset_renewal_counts(&self) {
        for peer in self.lock().peers.values_mut() {
            peer.first_renewals = peer.renewals;
        }
    }

    /// Records the version that a peer applies.
    pub fn acknowledge(&self, session: Session, version: Version) {
        if let Some(peer) = self.lock().peers.get_mut(&session) {
            peer.acknowledged = peer.acknowledged.max(version);
        }
        self.changed.notify_waiters();
    }

    /// Returns the sorted names of the VMs that may still apply an older version, when `since` has
    /// passed after the commit of `version`.
    pub fn missing(&self, version: Version, since: Duration) -> Vec<Name> {
        let inner = self.lock();
        let missing = inner.peers.values().filter(|peer| {
            let has_seen_us = peer.renewals >= peer.first_renewals + RENEWALS_UNTIL_SEEN;
            let fenced = has_seen_us && since >= MAX_AGE + FENCE_MARGIN;
            peer.acknowledged < version && !fenced
        });
        let mut names: Vec<_> = missing.map(|peer| peer.name.clone()).collect();
        names.sort();
        names
    }

    /// Waits up to `limit` until every VM applies a version that was just committed.
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
            let fenced = MAX_AGE + FENCE_MARGIN;
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

/// Exchanges the configuration with the peer at an address: sends what this VM has and returns what
/// the peer has.
pub type Exchange = Arc<
    dyn Fn(SocketAddr, Configuration) -> BoxFuture<'static, Result<Configuration>> + Send + Sync,
>;

/// Keeps the configuration of this VM up to date and sends its changes to the other VMs.
#[derive(Clone)]
pub struct ConfigSync {
    /// The session of this VM.
    pub session: Session,
    /// The configuration that this VM applies.
    pub configuration: Arc<ActiveConfiguration>,
    /// The versions that the other VMs apply.
    pub tracker: Arc<Tracker>,
    /// Exchanges the configuration with a peer.
    pub exchange: Exchange,
    /// The table service.
    pub tables: Service,
    /// The timer service.
    pub timer: timer::Service,
}

impl ConfigSync {
    /// Creates a `ConfigSync` that reaches the peers through a pool of connections.
    pub fn new(
        session: Session,
        configuration: Arc<ActiveConfiguration>,
        pool: Pool,
        tables: Service,
        timer: timer::Service,
    ) -> Self {
        let exchange: Exchange = Arc::new(move |address, received| {
            let pool = pool.clone();
            async move { pool.configure(address, received).await }.boxed()
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

    /// Starts polling the configuration and sending what this VM commits to the peers.
    pub fn start(
        self,
        tasks: &mut JoinSet<()>,
        committed: watch::Receiver<Batch>,
        interval: Duration,
    ) {
        tasks.spawn(self.clone().poll(interval));
        tasks.spawn(self.send_batches(committed));
    }

    /// Reads the configuration every `interval`, or asks the peers if that fails. The interval is
    /// longer if all VMs together would exceed [`READS_PER_SECOND`].
    async fn poll(self, interval: Duration) {
        loop {
            self.refresh().await;
            let vms = self.tracker.peers().len() as u32 + 1;
            let min_interval = Duration::from_secs(1) * vms / READS_PER_SECOND;
            self.timer.sleep(interval.max(min_interval)).await;
        }
    }

    /// Sends each batch that this VM commits to the peers.
    ///
    /// Only the batch itself is sent. A peer that lacks earlier entries reads the table service, so
    /// that VMs which write at the same time don't repeat each other's entries.
    async fn send_batches(self, mut committed: watch::Receiver<Batch>) {
        while committed.changed().await.is_ok() {
            let batch = *committed.borrow_and_update();
            self.exchange_with_peers(batch.after).await;
        }
    }

    /// Reads the configuration once, or asks the peers if that fails.
    async fn refresh(&self) {
        let read = self.configuration.refresh(&self.tables);
        let read = self.timer.timeout(READ_TIMEOUT, read).await;
        if read.is_none() {
            self.configuration.mark_store_down();
        }
        if !matches!(read, Some(Ok(()))) {
            let asked = self.timer.now();
            if self.exchange_with_peers(Version(0)).await {
                self.configuration.exempt_from_max_age(asked);
            }
        }
    }

    /// Exchanges the configuration with all peers; returns whether all of them answered that the
    /// table service is down, which is true without peers.
    ///
    /// Entries up to the version `after` are not sent.
    async fn exchange_with_peers(&self, after: Version) -> bool {
        let peers = self.tracker.peers();
        let exchanges = peers
            .into_iter()
            .map(|(session, address, version)| async move {
                let asked = self.timer.now();
                let answer = (self.exchange)(address, self.local_state(version.max(after))).await;
                let answer = answer.ok()?;
                self.tracker.acknowledge(session, Version(answer.version));
                self.apply_answer(&answer, asked);
                Some(answer.store_down)
            });
        let answers = future::join_all(exchanges).await;
        answers.into_iter().all(|down| down == Some(true))
    }

    /// Answers a peer that exchanges its configuration with this VM.
    pub async fn handle_exchange(self, received: Configuration) -> Configuration {
        // The delay of the message is unknown, so it doesn't prove that the configuration is
        // current.
        self.append_entries(&received);
        if received.version > self.configuration.current().version.0 {
            self.refresh_from_store().await;
        }
        let session = Session(received.session);
        self.tracker.acknowledge(session, Version(received.version));
        self.local_state(Version(received.version))
    }

    /// Reads the configuration without asking the peers, so that VMs never wait for each other.
    async fn refresh_from_store(&self) {
        let read = self.configuration.refresh(&self.tables);
        // After a failure the older version stays, and the answer reports it.
        let _ = self.timer.timeout(READ_TIMEOUT / 2, read).await;
    }

    /// Returns what this VM has of the configuration, with the entries after the peer's version.
    fn local_state(&self, peer_version: Version) -> Configuration {
        let (age, store_down) = self.configuration.age();
        let entries = self
            .configuration
            .entries_after(peer_version)
            .unwrap_or_default();
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

    fn append_entries(&self, received: &Configuration) {
        let entries = received.entries.iter();
        let entries: Vec<Entry> = entries
            .filter_map(|bytes| serde_json::from_slice(bytes).ok())
            .collect();
        self.configuration.extend(&entries);
    }

    fn apply_answer(&self, received: &Configuration, asked: Millis) {
        self.append_entries(received);
        if let Some(age) = received.age_ms {
            let at = Millis(asked.0.saturating_sub(age));
            self.configuration
                .record_peer_read(Version(received.version), at);
        }
    }
}
