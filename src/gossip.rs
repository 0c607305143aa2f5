//! Gossip between entry VMs about the load of shards and the resource usage of teams.
//!
//! In each round a VM exchanges messages with a few others, most of them in its own data centre. A
//! message carries entries that the other VM has not acknowledged, up to a maximum number. See
//! `docs/design/news.md`.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
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
    id::{
        Epoch,
        Name,
        Session,
        Shard, //
    },
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_peers::{
    Cursor,
    News,
    Owned,
    Use, //
};
use basilbridge_scheduler::{
    gossip::{
        Entry,
        VersionedMap, //
    },
    route::{
        Summary,
        Table, //
    },
    share,
    usage::{
        self,
        Usage, //
    },
};
use futures_util::future;
use rand::{
    Rng,
    seq::IndexedRandom, //
};

use crate::{
    node::Node,
    session::Record, //
};

/// The interval between rounds.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// The number of VMs in the same data centre with which a VM exchanges messages in a round.
const LOCAL_PEERS: usize = 2;

/// The probability of an exchange with a VM in another data centre in a round.
const REMOTE_PROBABILITY: f64 = 0.5;

/// The maximum number of shards in a message.
const SHARDS_PER_MESSAGE: usize = 10;

/// The maximum number of usage entries in a message.
const USES_PER_MESSAGE: usize = 10;

/// The interval at which an unchanged summary is sent again in a fleet of up to
/// [`SHARDS_PER_REFRESH`] shards.
const REFRESH_INTERVAL: Duration = Duration::from_secs(4);

/// The number of shards for which [`REFRESH_INTERVAL`] holds. The interval grows in proportion to
/// the number of shards, or else refreshed summaries would displace changed ones in messages.
const SHARDS_PER_REFRESH: usize = 40;

/// Divisor that yields the fraction of a shard's free capacity, or of its queue, by which it may
/// change before a new summary is sent ahead of the next refresh.
const TOLERANCE_DIVISOR: u64 = 10;

/// Divisor that yields the fraction of the running tasks by which the queue may change before a new
/// summary is sent, if that is more than the fraction of the queue.
const QUEUE_DIVISOR: u64 = 50;

/// The number of versions of a summary per epoch, so that the versions of one owner come before all
/// of the next owner's.
const VERSIONS_PER_EPOCH: u64 = 1 << 32;

/// A summary and the time at which it was made, by this VM's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TimedSummary {
    summary: Summary,
    made_at: Millis,
}

/// The progress of the exchange with a peer.
#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    /// The cursor up to which the peer has received this VM's entries.
    sent: Cursor,
    /// The cursor up to which this VM has received the peer's entries.
    received: Cursor,
}

#[derive(Debug, Default)]
struct State {
    shards: VersionedMap<Shard, TimedSummary>,
    usage: Usage,
    table: Table,
    peers: HashMap<Session, Peer>,
}

/// What a VM knows about all shards and about the resource usage of teams.
#[derive(Debug)]
pub struct ClusterState {
    own: Session,
    data_centre: Name,
    state: Mutex<State>,
}

impl ClusterState {
    /// Creates an empty state for a VM.
    pub fn new(own: Session, data_centre: Name) -> Self {
        Self {
            own,
            data_centre,
            state: Mutex::default(),
        }
    }

    /// Sets the summary of a shard that this VM owns. A summary that is close to the one sent last
    /// is ignored until the refresh interval ends.
    pub fn set_shard(&self, shard: &Shard, epoch: Epoch, summary: Summary, now: Millis) {
        let mut state = self.lock();
        let first = epoch.0 * VERSIONS_PER_EPOCH;
        let version = match state.shards.get(shard) {
            Some((version, shared)) if version >= first => {
                if shared.is_close(
                    &summary,
                    now.since(shared.made_at),
                    state.refresh_interval(),
                ) {
                    return;
                }
                version + 1
            }
            _ => first,
        };
        let value = TimedSummary {
            summary,
            made_at: now,
        };
        let key = shard.clone();
        state.merge_shard(
            Entry {
                key,
                version,
                value,
            },
            None,
        );
    }

    /// Sets the resource usage of the teams in the shards that this VM owns.
    pub fn set_usage(&self, uses: &BTreeMap<Name, Resources>) {
        self.lock().usage.set_own(self.own, uses);
    }

    /// Sets the live VMs and removes the state of all others.
    pub fn set_members(&self, members: &[Record]) {
        let live: BTreeSet<_> = members.iter().map(|record| record.session).collect();
        let mut state = self.lock();
        state.table.set_routers(live.len());
        let half_life = state.refresh_interval();
        state.table.set_half_life(half_life);
        state.peers.retain(|session, _| live.contains(session));
        // The own usage is kept even if the list of members is outdated and lacks this VM.
        let mut kept = live;
        kept.insert(self.own);
        state.usage.retain(&kept);
    }

    /// Returns the resource usage of each team on all other VMs.
    pub fn usage_elsewhere(&self) -> HashMap<Name, Resources> {
        self.lock().usage.elsewhere(self.own)
    }

    /// Returns the latest summary of each shard.
    pub fn summaries(&self) -> Vec<(Shard, Summary)> {
        let state = self.lock();
        let shards = state.shards.iter();
        shards
            .map(|(shard, shared)| (shard.clone(), shared.summary))
            .collect()
    }

    /// Returns the age of each shard's summary.
    pub fn ages(&self, now: Millis) -> Vec<(Shard, Duration)> {
        let state = self.lock();
        let shards = state.shards.iter();
        shards
            .map(|(shard, shared)| (shard.clone(), now.since(shared.made_at)))
            .collect()
    }

    /// Chooses a shard for `count` tasks of size `need` and records them as sent there. Returns
    /// `None` if `shards` is empty.
    pub fn choose(
        &self,
        shards: &[Shard],
        need: &Resources,
        count: u64,
        now: Millis,
    ) -> Option<Shard> {
        let mut state = self.lock();
        let random = &mut rand::rng();
        let chosen = state
            .table
            .choose(shards, &self.data_centre, need, now, random)?
            .clone();
        state.table.record_sent(&chosen, need, count);
        Some(chosen)
    }

    /// Returns the message to send to a peer.
    pub fn message_for(&self, peer: Session, now: Millis) -> News {
        let state = self.lock();
        let known = state.peers.get(&peer).copied().unwrap_or_default();
        state.message(self.own, peer, known.sent, known.received, now)
    }

    /// Merges the response of a peer to the message `sent`.
    pub fn handle_response(&self, sent: &News, response: &News, now: Millis) {
        let mut state = self.lock();
        state.merge(response, now);
        if response.session != sent.receiver {
            // The peer has restarted and lost what it had received.
            return;
        }
        let peer = Session(response.session);
        let known = state.peers.entry(peer).or_default();
        known.sent = sent.reached.unwrap_or_default();
        known.received = response.reached.unwrap_or_default();
    }

    /// Merges a message from a peer and returns the response, with entries that the peer has not
    /// received yet.
    pub fn handle_message(&self, message: &News, now: Millis) -> News {
        let mut state = self.lock();
        let peer = Session(message.session);
        state.merge(message, now);
        let acknowledged = match message.receiver == self.own.0 {
            true => message.heard.unwrap_or_default(),
            false => Cursor::default(),
        };
        let reached = message.reached.unwrap_or_default();
        state.message(self.own, peer, acknowledged, reached, now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TimedSummary {
    /// Returns whether the current summary differs so little from this one that it need not be sent
    /// yet.
    fn is_close(&self, current: &Summary, age: Duration, refresh: Duration) -> bool {
        let shared = &self.summary;
        let tolerance = shared
            .free
            .zip_with(&shared.free, |free, _| free / TOLERANCE_DIVISOR);
        let is_free_close = current.free.minus(&shared.free).fits(&tolerance)
            && shared.free.minus(&current.free).fits(&tolerance);
        let queue_tolerance =
            (shared.queued / TOLERANCE_DIVISOR).max(shared.running / QUEUE_DIVISOR);
        let is_queue_close = shared.queued.abs_diff(current.queued) <= queue_tolerance;
        is_free_close && is_queue_close && age < refresh
    }
}

impl State {
    /// Stores the summary of a shard, unless the same or a later version is stored.
    fn merge_shard(&mut self, entry: Entry<Shard, TimedSummary>, source: Option<u64>) {
        let (shard, timed) = (entry.key.clone(), entry.value);
        if self.shards.merge(entry, source) {
            self.table.update(shard, timed.summary, timed.made_at);
        }
    }

    /// Returns the interval at which unchanged summaries are sent again.
    fn refresh_interval(&self) -> Duration {
        let times = self.shards.len().div_ceil(SHARDS_PER_REFRESH).max(1);
        REFRESH_INTERVAL * times as u32
    }

    fn merge(&mut self, message: &News, now: Millis) {
        let peer = Session(message.session);
        for owned in &message.shards {
            if let Ok(shard) = owned.shard.parse() {
                self.merge_shard(shard_entry(shard, owned, now), Some(peer.0));
            }
        }
        for usage in &message.uses {
            self.usage.merge(usage_entry(usage), peer);
        }
    }

    /// Returns a message with the entries that follow `sent`. It acknowledges those up to
    /// `received`.
    fn message(
        &self,
        own: Session,
        peer: Session,
        sent: Cursor,
        received: Cursor,
        now: Millis,
    ) -> News {
        let (shards, shards_reached) = self.shards.since(sent.shards, SHARDS_PER_MESSAGE, peer.0);
        let (uses, uses_reached) = self.usage.since(sent.uses, USES_PER_MESSAGE, peer);
        News {
            session: own.0,
            configuration: 0,
            shards: shards
                .iter()
                .map(|entry| shard_message(entry, now))
                .collect(),
            uses: uses.iter().map(usage_message).collect(),
            reached: Some(Cursor {
                shards: shards_reached,
                uses: uses_reached,
            }),
            heard: Some(received),
            receiver: peer.0,
        }
    }
}

fn shard_entry(shard: Shard, owned: &Owned, now: Millis) -> Entry<Shard, TimedSummary> {
    Entry {
        key: shard,
        version: owned.version,
        value: TimedSummary {
            summary: Summary {
                queued: owned.queued,
                running: owned.running,
                free: Resources {
                    cpu_millis: owned.free_cpu_millis,
                    memory_mib: owned.free_memory_mib,
                    accelerators: owned.free_accelerators,
                },
            },
            made_at: Millis(now.0.saturating_sub(owned.age_ms)),
        },
    }
}

fn shard_message(entry: &Entry<Shard, TimedSummary>, now: Millis) -> Owned {
    let summary = &entry.value.summary;
    Owned {
        shard: entry.key.to_string(),
        version: entry.version,
        queued: summary.queued,
        running: summary.running,
        free_cpu_millis: summary.free.cpu_millis,
        free_memory_mib: summary.free.memory_mib,
        free_accelerators: summary.free.accelerators,
        age_ms: now.since(entry.value.made_at).as_millis() as u64,
    }
}

fn usage_entry(usage: &Use) -> Entry<usage::Key, Resources> {
    Entry {
        key: (Session(usage.session), usage.team.as_str().into()),
        version: usage.version,
        value: Resources {
            cpu_millis: usage.cpu_millis,
            memory_mib: usage.memory_mib,
            accelerators: usage.accelerators,
        },
    }
}

fn usage_message(entry: &Entry<usage::Key, Resources>) -> Use {
    let (session, team) = &entry.key;
    Use {
        session: session.0,
        team: team.to_string(),
        version: entry.version,
        cpu_millis: entry.value.cpu_millis,
        memory_mib: entry.value.memory_mib,
        accelerators: entry.value.accelerators,
    }
}

/// Selects the VMs with which to exchange messages in a round, at random.
pub fn select_peers<'a>(
    own: Session,
    data_centre: &Name,
    members: &'a [Record],
    random: &mut impl Rng,
) -> Vec<&'a Record> {
    let others = members.iter().filter(|record| record.session != own);
    let (local, remote): (Vec<_>, Vec<_>) =
        others.partition(|record| record.data_centre == *data_centre);
    let mut selected: Vec<_> = local
        .choose_multiple(random, LOCAL_PEERS)
        .copied()
        .collect();
    // A VM that is alone in its data centre exchanges messages with a remote one in every round.
    if local.is_empty() || random.random_bool(REMOTE_PROBABILITY) {
        selected.extend(remote.choose(random).copied());
    }
    selected
}

/// Exchanges messages with other VMs until the VM stops.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        publish_own_state(&node);
        let members = node.directory.members();
        node.cluster.set_members(&members);
        let peers = select_peers(
            node.session,
            &node.config.data_centre,
            &members,
            &mut rand::rng(),
        );
        future::join_all(peers.into_iter().map(|peer| exchange(&node, peer))).await;
        node.timer.sleep(INTERVAL).await;
    }
}

/// Sets the state of the own shards in the cluster state, and passes to each shard's owner what its
/// teams use elsewhere.
fn publish_own_state(node: &Node) {
    let mut totals = BTreeMap::new();
    let mut own = Vec::new();
    for owner in node.owners() {
        let (summary, uses) = owner.summary();
        uses.iter()
            .for_each(|(team, used)| add_usage(&mut totals, team, used));
        let (title, now) = (&owner.ownership, node.timer.now());
        node.cluster
            .set_shard(&title.shard, title.epoch, summary, now);
        own.push((owner, uses));
    }
    node.cluster.set_usage(&totals);
    for (team, used) in node.cluster.usage_elsewhere() {
        add_usage(&mut totals, &team, &used);
    }
    let fleet = node.fleet.capacity();
    for (owner, uses) in own {
        owner.set_teams(teams_for_shard(node, &totals, &uses), fleet);
    }
}

fn add_usage(totals: &mut BTreeMap<Name, Resources>, team: &Name, used: &Resources) {
    let total = totals.entry(team.clone()).or_default();
    *total = total.plus(used);
}

/// Returns the configured teams with their usage outside a shard, where `uses` is the usage in it.
fn teams_for_shard(
    node: &Node,
    totals: &BTreeMap<Name, Resources>,
    uses: &[(Name, Resources)],
) -> Vec<share::Team> {
    let own_usage: HashMap<_, _> = uses.iter().cloned().collect();
    let configuration = node.configuration.current();
    let teams = configuration.teams.iter().map(|team| {
        let total = totals.get(&team.name).copied().unwrap_or_default();
        let used = own_usage.get(&team.name).copied().unwrap_or_default();
        share::Team {
            name: team.name.clone(),
            weight: team.share,
            elsewhere: total.minus(&used),
        }
    });
    teams.collect()
}

async fn exchange(node: &Node, peer: &Record) {
    let message = node.cluster.message_for(peer.session, node.timer.now());
    // Entries that a peer does not acknowledge are sent to it again in a later round.
    if let Ok(response) = node.pool.exchange(peer.address, message.clone()).await {
        node.cluster
            .handle_response(&message, &response, node.timer.now());
    }
}
