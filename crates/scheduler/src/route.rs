//! Chooses the shard for new tasks from summaries that may be out of date.
//!
//! Two shards are drawn with probabilities that follow their estimated free capacity, and the one
//! with the lower cost is chosen. Each router subtracts what it has sent to a shard since the last
//! summary, and assumes that all other routers have sent as much, so that they do not all fill the
//! same shard. See `docs/design/routing.md`.

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

/// The age at which the free capacity in a summary counts half, unless
/// [`Table::set_half_life`] sets another.
pub const HALF_LIFE: Duration = Duration::from_secs(4);

/// The weight of a shard without free capacity; one with free capacity for one task weighs 1.
const FULL_SHARD_WEIGHT: f64 = 0.01;

/// The additional cost of a shard in another data centre, in units of the time of one task for each
/// running task.
const REMOTE_COST: f64 = 0.5;

/// How many shards are drawn for a task.
const CHOICES: usize = 2;

/// What the owner of a shard reports about it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Summary {
    /// The number of waiting tasks.
    pub queued: u64,
    /// The number of running tasks.
    pub running: u64,
    /// The free capacity of the workers.
    pub free: Resources,
}

/// What a router knows about a shard.
#[derive(Debug, Clone, Default)]
struct ShardState {
    summary: Summary,
    /// When the summary was made.
    summarized_at: Millis,
    /// The resources of the tasks that this router has sent since.
    sent: Resources,
    /// The number of these tasks.
    sent_tasks: u64,
}

impl ShardState {
    /// Returns the estimated number of tasks of size `need` that the shard has free capacity for.
    /// It halves with each half-life of the summary's age.
    fn task_capacity(
        &self,
        need: &Resources,
        age: Duration,
        half_life: Duration,
        routers: u64,
    ) -> f64 {
        let free = self.summary.free.minus(&self.sent.times(routers));
        let tasks = tasks_that_fit(&free, need);
        tasks * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }

    /// Returns the estimated wait of a new task, in units of the time of one task for each running
    /// task.
    fn estimated_wait(&self, routers: u64) -> f64 {
        let queued = self.summary.queued + self.sent_tasks * routers;
        queued as f64 / (self.summary.running + 1) as f64
    }
}

/// Returns how many tasks of size `need` fit into `free`, at most [`u32::MAX`].
fn tasks_that_fit(free: &Resources, need: &Resources) -> f64 {
    let tasks = free.zip_with(need, |free, need| {
        free.checked_div(need).unwrap_or(u64::MAX)
    });
    let minimum = tasks.cpu_millis.min(tasks.memory_mib);
    minimum.min(tasks.accelerators).min(u64::from(u32::MAX)) as f64
}

/// What a router knows about all shards.
#[derive(Debug, Clone, Default)]
pub struct Table {
    shards: HashMap<Shard, ShardState>,
    other_routers: u64,
    half_life: Option<Duration>,
}

/// A shard that may be chosen for a task.
struct Candidate<'a> {
    shard: &'a Shard,
    /// The weight of the shard in the draw.
    weight: f64,
    /// The cost of running the task there: below 1 if it has free capacity for the task, otherwise
    /// 1 plus the estimated wait.
    cost: f64,
}

impl Table {
    /// Sets the number of VMs that route tasks, this one included.
    pub fn set_routers(&mut self, routers: usize) {
        self.other_routers = (routers as u64).saturating_sub(1);
    }

    /// Sets the age at which the free capacity in a summary counts half, which should follow the
    /// interval between summaries.
    pub fn set_half_life(&mut self, half_life: Duration) {
        self.half_life = Some(half_life);
    }

    /// Replaces the summary of a shard with one that was made at `made_at`, and clears what was
    /// recorded as sent there since.
    pub fn update(&mut self, shard: Shard, summary: Summary, made_at: Millis) {
        let state = ShardState {
            summary,
            summarized_at: made_at,
            ..ShardState::default()
        };
        self.shards.insert(shard, state);
    }

    /// Removes the shards for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&Shard) -> bool) {
        self.shards.retain(|shard, _| keep(shard));
    }

    /// Records that `count` tasks of size `need` were sent to a shard.
    pub fn record_sent(&mut self, shard: &Shard, need: &Resources, count: u64) {
        let state = self.shards.entry(shard.clone()).or_default();
        state.sent = state.sent.plus(&need.times(count));
        state.sent_tasks += count;
    }

    /// Chooses a shard for a task among `shards`, which must be able to run it.
    ///
    /// A shard of the data centre `local` is preferred while the one drawn there has free capacity
    /// or a cost no higher than that of a remote one. Returns `None` if `shards` is empty.
    pub fn choose<'a>(
        &self,
        shards: &'a [Shard],
        local: &Name,
        need: &Resources,
        now: Millis,
        random: &mut impl Rng,
    ) -> Option<&'a Shard> {
        let candidates: Vec<_> = shards
            .iter()
            .map(|shard| self.candidate(shard, need, now))
            .collect();
        let (local, remote): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|candidate| candidate.shard.data_centre == *local);
        let local = draw_cheapest(local, random);
        if local.as_ref().is_some_and(|local| local.cost < 1.0) {
            return local.map(|local| local.shard);
        }
        let remote = draw_cheapest(remote, random).map(|remote| Candidate {
            cost: remote.cost + REMOTE_COST,
            ..remote
        });
        let best = [local, remote].into_iter().flatten().min_by(by_cost);
        best.map(|best| best.shard)
    }

    fn candidate<'a>(&self, shard: &'a Shard, need: &Resources, now: Millis) -> Candidate<'a> {
        let unknown = ShardState::default();
        let state = self.shards.get(shard).unwrap_or(&unknown);
        let routers = self.other_routers + 1;
        let age = now.since(state.summarized_at);
        let half_life = self.half_life.unwrap_or(HALF_LIFE);
        let capacity = state.task_capacity(need, age, half_life, routers);
        let cost = match capacity >= 1.0 {
            true => 1.0 / (1.0 + capacity),
            false => 1.0 + state.estimated_wait(routers),
        };
        Candidate {
            shard,
            weight: capacity.max(FULL_SHARD_WEIGHT),
            cost,
        }
    }
}

fn by_cost(a: &Candidate<'_>, b: &Candidate<'_>) -> std::cmp::Ordering {
    a.cost.total_cmp(&b.cost)
}

fn draw_cheapest<'a>(
    candidates: Vec<Candidate<'a>>,
    random: &mut impl Rng,
) -> Option<Candidate<'a>> {
    let drawn: Vec<_> = (0..CHOICES)
        .filter_map(|_| candidates.choose_weighted(random, |c| c.weight).ok())
        .map(|candidate| candidate.shard)
        .collect();
    let mut candidates = candidates;
    candidates.retain(|candidate| drawn.contains(&candidate.shard));
    candidates.into_iter().min_by(by_cost)
}
