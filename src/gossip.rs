//! News of shards and of the use of teams, between entry VMs.
//!
//! In each round a VM swaps news with a few others, most of them of its own data centre. A message
//! carries what the other VM has not acknowledged, up to a bound; see `docs/design/news.md`.

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

/// How often a VM swaps news.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// The VMs of the own data centre with which a VM swaps news in each round.
const NEAR_PEERS: usize = 2;

/// The chance of a swap with a VM of another data centre in a round.
const FAR_CHANCE: f64 = 0.5;

/// The most shards that one message tells of.
const SHARDS_PER_MESSAGE: usize = 10;

/// The most uses that one message tells of.
const USES_PER_MESSAGE: usize = 10;

/// A summary is told again after this time although it has not changed, in a small fleet.
const REFRESH_INTERVAL: Duration = Duration::from_secs(4);

/// The shards for which this time holds; it grows with their number, or what is told again would
/// crowd out what is new.
const SHARDS_PER_REFRESH: usize = 40;

/// The part of a shard's free room whose change is not told at once, as a divisor.
const TOLERANCE_DIVISOR: u64 = 10;

/// The part of the running tasks by which a queue may change untold, as a divisor.
const QUEUE_DIVISOR: u64 = 50;

/// The versions of one owner come before all of the next one.
const VERSIONS_PER_EPOCH: u64 = 1 << 32;

/// A summary and when it was made, by this VM's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stamped {
    summary: Summary,
    made: Millis,
}

/// What is known of a peer.
#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    /// How far the peer has heard our news.
    told: Cursor,
    /// How far we have heard the peer's.
    heard: Cursor,
}

#[derive(Debug, Default)]
struct State {
    shards: VersionedMap<Shard, Stamped>,
    usage: Usage,
    table: Table,
    peers: HashMap<Session, Peer>,
}

/// What a VM knows of all shards and of the use of teams.
#[derive(Debug)]
pub struct ClusterState {
    own: Session,
    data_centre: Name,
    state: Mutex<State>,
}

impl ClusterState {
    /// Makes the board of a VM that knows nothing yet.
    pub fn new(own: Session, data_centre: Name) -> Self {
        Self {
            own,
            data_centre,
            state: Mutex::default(),
        }
    }

    /// Takes note of a shard that this VM owns.
    pub fn set_shard(&self, shard: &Shard, epoch: Epoch, summary: Summary, now: Millis) {
        let mut state = self.lock();
        let first = epoch.0 * VERSIONS_PER_EPOCH;
        let version = match state.shards.get(shard) {
            Some((version, told)) if version >= first => {
                if told.is_close(&summary, now.since(told.made), state.refresh_interval()) {
                    return;
                }
                version + 1
            }
            _ => first,
        };
        let value = Stamped { summary, made: now };
        let key = shard.clone();
        state.learn(
            Entry {
                key,
                version,
                value,
            },
            None,
        );
    }

    /// Takes note of what the teams have in the shards that this VM owns.
    pub fn set_usage(&self, uses: &BTreeMap<Name, Resources>) {
        self.lock().usage.set_own(self.own, uses);
    }

    /// Takes note of the VMs that live.
    pub fn set_members(&self, members: &[Record]) {
        let live: BTreeSet<_> = members.iter().map(|record| record.session).collect();
        let mut state = self.lock();
        state.table.set_routers(live.len());
        let half_life = state.refresh_interval();
        state.table.set_half_life(half_life);
        state.peers.retain(|session, _| live.contains(session));
        // A VM whose own list lags keeps what it has told itself.
        let mut kept = live;
        kept.insert(self.own);
        state.usage.retain(&kept);
    }

    /// Returns what each team has running on other VMs.
    pub fn usage_elsewhere(&self) -> HashMap<Name, Resources> {
        self.lock().usage.elsewhere(self.own)
    }

    /// Returns how old the news of each shard is.
    pub fn ages(&self, now: Millis) -> Vec<(Shard, Duration)> {
        let state = self.lock();
        let shards = state.shards.iter();
        shards
            .map(|(shard, told)| (shard.clone(), now.since(told.made)))
            .collect()
    }

    /// Chooses a shard for new work and counts it as sent there.
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

    /// Returns what to tell a peer.
    pub fn message_for(&self, peer: Session, now: Millis) -> News {
        let state = self.lock();
        let known = state.peers.get(&peer).copied().unwrap_or_default();
        state.news(self.own, peer, known.told, known.heard, now)
    }

    /// Takes the answer of a peer to `told`.
    pub fn handle_response(&self, told: &News, answer: &News, now: Millis) {
        let mut state = self.lock();
        state.merge(answer, now);
        if answer.session != told.receiver {
            // The process there is a new one that knows nothing of what the last one had heard.
            return;
        }
        let peer = Session(answer.session);
        let known = state.peers.entry(peer).or_default();
        known.told = told.reached.unwrap_or_default();
        known.heard = answer.reached.unwrap_or_default();
    }

    /// Takes what a peer tells and returns what it has not heard yet.
    pub fn handle_message(&self, told: &News, now: Millis) -> News {
        let mut state = self.lock();
        let peer = Session(told.session);
        state.merge(told, now);
        let acknowledged = match told.receiver == self.own.0 {
            true => told.heard.unwrap_or_default(),
            false => Cursor::default(),
        };
        let reached = told.reached.unwrap_or_default();
        state.news(self.own, peer, acknowledged, reached, now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Stamped {
    /// Says whether a summary differs too little from the one told to tell it now.
    fn is_close(&self, now_is: &Summary, age: Duration, refresh: Duration) -> bool {
        let told = &self.summary;
        let tolerance = told
            .free
            .zip_with(&told.free, |free, _| free / TOLERANCE_DIVISOR);
        let room = now_is.free.minus(&told.free).fits(&tolerance)
            && told.free.minus(&now_is.free).fits(&tolerance);
        let longer = (told.queued / TOLERANCE_DIVISOR).max(told.running / QUEUE_DIVISOR);
        let queue = told.queued.abs_diff(now_is.queued) <= longer;
        room && queue && age < refresh
    }
}

impl State {
    fn learn(&mut self, fact: Entry<Shard, Stamped>, source: Option<u64>) {
        let (shard, told) = (fact.key.clone(), fact.value);
        if self.shards.merge(fact, source) {
            self.table.update(shard, told.summary, told.made);
        }
    }

    fn refresh_interval(&self) -> Duration {
        let times = self.shards.len().div_ceil(SHARDS_PER_REFRESH).max(1);
        REFRESH_INTERVAL * times as u32
    }

    fn merge(&mut self, news: &News, now: Millis) {
        let peer = Session(news.session);
        for owned in &news.shards {
            if let Ok(shard) = owned.shard.parse() {
                self.learn(fact_of(shard, owned, now), Some(peer.0));
            }
        }
        for told in &news.uses {
            self.usage.merge(use_of(told), peer);
        }
    }

    fn news(&self, own: Session, peer: Session, told: Cursor, heard: Cursor, now: Millis) -> News {
        let (shards, shards_reached) = self.shards.since(told.shards, SHARDS_PER_MESSAGE, peer.0);
        let (uses, uses_reached) = self.usage.since(told.uses, USES_PER_MESSAGE, peer);
        News {
            session: own.0,
            configuration: 0,
            shards: shards.iter().map(|fact| owned_of(fact, now)).collect(),
            uses: uses.iter().map(told_of).collect(),
            reached: Some(Cursor {
                shards: shards_reached,
                uses: uses_reached,
            }),
            heard: Some(heard),
            receiver: peer.0,
        }
    }
}

fn fact_of(shard: Shard, owned: &Owned, now: Millis) -> Entry<Shard, Stamped> {
    Entry {
        key: shard,
        version: owned.version,
        value: Stamped {
            summary: Summary {
                queued: owned.queued,
                running: owned.running,
                free: Resources {
                    cpu_millis: owned.free_cpu_millis,
                    memory_mib: owned.free_memory_mib,
                    accelerators: owned.free_accelerators,
                },
            },
            made: Millis(now.0.saturating_sub(owned.age_ms)),
        },
    }
}

fn owned_of(fact: &Entry<Shard, Stamped>, now: Millis) -> Owned {
    let summary = &fact.value.summary;
    Owned {
        shard: fact.key.to_string(),
        version: fact.version,
        queued: summary.queued,
        running: summary.running,
        free_cpu_millis: summary.free.cpu_millis,
        free_memory_mib: summary.free.memory_mib,
        free_accelerators: summary.free.accelerators,
        age_ms: now.since(fact.value.made).as_millis() as u64,
    }
}

fn use_of(told: &Use) -> Entry<usage::Key, Resources> {
    Entry {
        key: (Session(told.session), told.team.as_str().into()),
        version: told.version,
        value: Resources {
            cpu_millis: told.cpu_millis,
            memory_mib: told.memory_mib,
            accelerators: told.accelerators,
        },
    }
}

fn told_of(fact: &Entry<usage::Key, Resources>) -> Use {
    let (session, team) = &fact.key;
    Use {
        session: session.0,
        team: team.to_string(),
        version: fact.version,
        cpu_millis: fact.value.cpu_millis,
        memory_mib: fact.value.memory_mib,
        accelerators: fact.value.accelerators,
    }
}

/// Draws the VMs with which to swap news in a round.
pub fn select_peers<'a>(
    own: Session,
    data_centre: &Name,
    members: &'a [Record],
    random: &mut impl Rng,
) -> Vec<&'a Record> {
    let others = members.iter().filter(|record| record.session != own);
    let (near, far): (Vec<_>, Vec<_>) =
        others.partition(|record| record.data_centre == *data_centre);
    let mut drawn: Vec<_> = near.choose_multiple(random, NEAR_PEERS).copied().collect();
    // A VM that is alone in its data centre hears only from others.
    if near.is_empty() || random.random_bool(FAR_CHANCE) {
        drawn.extend(far.choose(random).copied());
    }
    drawn
}

/// Swaps news until the VM ends.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        take_stock(&node);
        let members = node.directory.members();
        node.cluster.set_members(&members);
        let drawn = select_peers(
            node.session,
            &node.config.data_centre,
            &members,
            &mut rand::rng(),
        );
        future::join_all(drawn.into_iter().map(|peer| swap(&node, peer))).await;
        node.timer.sleep(INTERVAL).await;
    }
}

/// Puts the state of the own shards on the board, and tells each what its teams have elsewhere.
fn take_stock(node: &Node) {
    let mut totals = BTreeMap::new();
    let mut own = Vec::new();
    for owner in node.owners() {
        let (summary, uses) = owner.summary();
        uses.iter()
            .for_each(|(team, used)| add(&mut totals, team, used));
        let (title, now) = (&owner.ownership, node.timer.now());
        node.cluster
            .set_shard(&title.shard, title.epoch, summary, now);
        own.push((owner, uses));
    }
    node.cluster.set_usage(&totals);
    for (team, used) in node.cluster.usage_elsewhere() {
        add(&mut totals, &team, &used);
    }
    let fleet = node.fleet.capacity();
    for (owner, uses) in own {
        owner.set_teams(teams(node, &totals, &uses), fleet);
    }
}

fn add(totals: &mut BTreeMap<Name, Resources>, team: &Name, used: &Resources) {
    let total = totals.entry(team.clone()).or_default();
    *total = total.plus(used);
}

/// Returns the teams of the configuration as a shard that has `uses` is to see them.
fn teams(
    node: &Node,
    totals: &BTreeMap<Name, Resources>,
    uses: &[(Name, Resources)],
) -> Vec<share::Team> {
    let here: HashMap<_, _> = uses.iter().cloned().collect();
    let configuration = node.configuration.current();
    let teams = configuration.teams.iter().map(|team| {
        let total = totals.get(&team.name).copied().unwrap_or_default();
        let used = here.get(&team.name).copied().unwrap_or_default();
        share::Team {
            name: team.name.clone(),
            weight: team.share,
            elsewhere: total.minus(&used),
        }
    });
    teams.collect()
}

async fn swap(node: &Node, peer: &Record) {
    let told = node.cluster.message_for(peer.session, node.timer.now());
    // A peer that does not answer hears it again later.
    if let Ok(answer) = node.pool.exchange(peer.address, told.clone()).await {
        node.cluster
            .handle_response(&told, &answer, node.timer.now());
    }
}
