//! Which shard takes new work, by summaries that lag.
//!
//! Two shards are drawn with chances that follow their room, and the better one takes the work.
//! Each router counts what it has sent since the last summary, as if all others had sent as much,
//! so that they do not all fill the same shard. See `docs/design/routing.md`.

use std::{
    collections::HashMap,
    time::Duration, //
};

use basilbridge_common::{
    id::{
        Name,
        Shard, //
    },
    unit::{
        Millis,
        Resources, //
    },
};
use rand::{
    Rng,
    seq::IndexedRandom, //
};

/// The age at which a summary's room counts half, where nothing else is set.
pub const HALF_LIFE: Duration = Duration::from_secs(4);

/// The chance of a shard without room, beside that of one with room for one task.
const FULL_WEIGHT: f64 = 0.01;

/// What the way to another data centre costs, in the time of one task for each that runs.
const FAR_COST: f64 = 0.5;

/// The shards that are drawn for a task.
const CHOICES: usize = 2;

/// What the owner of a shard tells about it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Summary {
    /// How many tasks wait.
    pub queued: u64,
    /// How many tasks run.
    pub running: u64,
    /// What the workers have left.
    pub free: Resources,
}

#[derive(Debug, Clone, Default)]
struct View {
    summary: Summary,
    learned: Millis,
    /// What this router has sent since.
    sent: Resources,
    sent_tasks: u64,
}

impl View {
    /// Returns how many tasks of this size find room, by what is known.
    fn room(&self, need: &Resources, age: Duration, half_life: Duration, routers: u64) -> f64 {
        let left = self.summary.free.minus(&self.sent.times(routers));
        let tasks = tasks_in(&left, need);
        tasks * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }

    /// Returns how long a task waits, in the time of one task for each that runs.
    fn wait(&self, routers: u64) -> f64 {
        let queued = self.summary.queued + self.sent_tasks * routers;
        queued as f64 / (self.summary.running + 1) as f64
    }
}

fn tasks_in(room: &Resources, need: &Resources) -> f64 {
    let tasks = room.zip(need, |room, need| {
        room.checked_div(need).unwrap_or(u64::MAX)
    });
    let least = tasks.cpu_millis.min(tasks.memory_mib);
    least.min(tasks.accelerators).min(u64::from(u32::MAX)) as f64
}

/// What a router knows of the shards.
#[derive(Debug, Clone, Default)]
pub struct Table {
    shards: HashMap<Shard, View>,
    others: u64,
    half_life: Option<Duration>,
}

struct Candidate<'a> {
    shard: &'a Shard,
    weight: f64,
    cost: f64,
}

impl Table {
    /// Takes note of how many VMs route work.
    pub fn set_routers(&mut self, routers: usize) {
        self.others = (routers as u64).saturating_sub(1);
    }

    /// Sets the age at which a summary's room counts half, which follows how often news come.
    pub fn set_half_life(&mut self, half_life: Duration) {
        self.half_life = Some(half_life);
    }

    /// Takes a newer summary of a shard.
    pub fn update(&mut self, shard: Shard, summary: Summary, made: Millis) {
        let view = View {
            summary,
            learned: made,
            ..View::default()
        };
        self.shards.insert(shard, view);
    }

    /// Forgets the shards that are not listed.
    pub fn retain(&mut self, mut listed: impl FnMut(&Shard) -> bool) {
        self.shards.retain(|shard, _| listed(shard));
    }

    /// Takes note that work was sent to a shard.
    pub fn record_sent(&mut self, shard: &Shard, need: &Resources, count: u64) {
        let view = self.shards.entry(shard.clone()).or_default();
        view.sent = view.sent.plus(&need.times(count));
        view.sent_tasks += count;
    }

    /// Chooses among shards that could run the work; those of data centre `near` go first as long
    /// as the wait there is no longer than elsewhere.
    pub fn choose<'a>(
        &self,
        shards: &'a [Shard],
        near: &Name,
        need: &Resources,
        now: Millis,
        random: &mut impl Rng,
    ) -> Option<&'a Shard> {
        let candidates: Vec<_> = shards
            .iter()
            .map(|shard| self.candidate(shard, need, now))
            .collect();
        let (near, far): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|candidate| candidate.shard.data_centre == *near);
        let near = draw(near, random);
        if near.as_ref().is_some_and(|near| near.cost < 1.0) {
            return near.map(|near| near.shard);
        }
        let far = draw(far, random).map(|far| Candidate {
            cost: far.cost + FAR_COST,
            ..far
        });
        let best = [near, far].into_iter().flatten().min_by(cheaper);
        best.map(|best| best.shard)
    }

    fn candidate<'a>(&self, shard: &'a Shard, need: &Resources, now: Millis) -> Candidate<'a> {
        let unknown = View::default();
        let view = self.shards.get(shard).unwrap_or(&unknown);
        let routers = self.others + 1;
        let age = now.since(view.learned);
        let half_life = self.half_life.unwrap_or(HALF_LIFE);
        let room = view.room(need, age, half_life, routers);
        let cost = match room >= 1.0 {
            true => 1.0 / (1.0 + room),
            false => 1.0 + view.wait(routers),
        };
        Candidate {
            shard,
            weight: room.max(FULL_WEIGHT),
            cost,
        }
    }
}

fn cheaper(a: &Candidate<'_>, b: &Candidate<'_>) -> std::cmp::Ordering {
    a.cost.total_cmp(&b.cost)
}

fn draw<'a>(candidates: Vec<Candidate<'a>>, random: &mut impl Rng) -> Option<Candidate<'a>> {
    let drawn: Vec<_> = (0..CHOICES)
        .filter_map(|_| candidates.choose_weighted(random, |c| c.weight).ok())
        .map(|candidate| candidate.shard)
        .collect();
    let mut candidates = candidates;
    candidates.retain(|candidate| drawn.contains(&candidate.shard));
    candidates.into_iter().min_by(cheaper)
}
