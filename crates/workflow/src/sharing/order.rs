//! Applies shares and past use to the order of waiting stages.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    active::{
        critical_path,
        objective, //
    },
    engine::Engine,
    policy::Policy,
    pool::{
        Pool,
        fit_count, //
    },
    reserve,
    schedule::Ready,
    sharing::{
        RATIO_LIFETIME,
        REPORTED_RATIO,
        Report,
        Sharing,
        current::{
            self,
            Capacity,
            Waiting, //
        },
        past, //
    },
    worker::JobKey,
};

/// Stages of one pool that are all in its most urgent queues, or all not.
#[derive(Debug, Default)]
struct Class<'a> {
    /// Indexes into the ready stages.
    indexes: Vec<usize>,
    stages: Vec<Waiting<'a>>,
}

impl Class<'_> {
    fn demand(&self) -> Resources {
        let demands = self.stages.iter();
        demands.fold(Resources::default(), |sum, stage| {
            sum.plus(&stage.task.times(stage.tasks))
        })
    }
}

/// New place of a ready stage in the order.
struct Change {
    index: usize,
    /// Share of its team over its entitlement, if it is over its share.
    excess: Option<f64>,
}

impl Engine {
    /// Places the stages of teams over their share, or with much past use, later among the stages of
    /// their band and priority. Pools in which all waiting work fits, or in which one team waits,
    /// keep their order.
    pub(crate) fn order_by_share(
        &mut self,
        ready: &mut [Ready],
        pools: &BTreeMap<Name, Pool>,
        now: Millis,
    ) {
        let changes = self.changes_by_share(ready, pools);
        if changes.is_empty() {
            return;
        }
        self.update_ratios(now);
        // Stages of one job move by the same time, which takes a visit of all its steps.
        let mut shifts: HashMap<JobKey, Duration> = HashMap::new();
        for Change { index, excess } in changes {
            let shift = shifts.entry(ready[index].job);
            let shift = *shift.or_insert_with(|| self.deadline_shift(&ready[index]));
            let rank = &mut ready[index].rank;
            rank.deadline = rank.deadline.after(shift);
            rank.over_share = excess.is_some();
            // At exactly its share a team is not worth a report.
            if let Some(excess) = excess.filter(|excess| *excess > 1.0) {
                self.note_excess(&ready[index], excess);
            }
        }
        ready.sort_by_key(|ready| (ready.rank, ready.job));
    }

    /// Returns the stages that wait where not all work of several teams fits.
    fn changes_by_share(&self, ready: &[Ready], pools: &BTreeMap<Name, Pool>) -> Vec<Change> {
        // Most passes have the work of one team or none, and cost no more than this.
        let mut teams = ready.iter().filter_map(|ready| self.known_team(ready));
        let first = teams.next();
        if !teams.any(|team| Some(team) != first) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (name, [urgent, other]) in self.classes(ready, pools) {
            let Some(pool) = pools.get(name) else {
                continue;
            };
            let empty = HashMap::new();
            let used = self.sharing.pools.get(name).unwrap_or(&empty);
            let urgent_demand = urgent.demand();
            let held_back = reserve::reserved_part(&pool.capacity).max(&urgent_demand);
            let classes = [
                (&urgent, &other, Resources::default()),
                (&other, &urgent, held_back),
            ];
            for (class, rest, held_back) in classes {
                if !current::is_contended(&class.stages) {
                    continue;
                }
                let waiting_teams = rest.stages.iter().filter(|stage| stage.tasks > 0);
                let others: Vec<&Name> = waiting_teams.filter_map(|stage| stage.team).collect();
                let weight = |team: &Name| self.policy.teams.get(team).map(|team| team.weight);
                let capacity = pool_capacity(pool, &class.stages, &held_back);
                let order = current::order(&class.stages, used, &others, weight, &capacity);
                changes.extend(order.into_iter().map(|place| Change {
                    index: class.indexes[place.stage],
                    excess: place.excess,
                }));
            }
        }
        changes
    }

    /// Returns the stages of each pool: those of its most urgent queues, and all others.
    fn classes<'a>(
        &'a self,
        ready: &[Ready],
        pools: &BTreeMap<Name, Pool>,
    ) -> BTreeMap<&'a Name, [Class<'a>; 2]> {
        let mut classes: BTreeMap<&Name, [Class<'_>; 2]> = BTreeMap::new();
        // A task that fits no worker would make the pool seem short of capacity for as long as it
        // waits.
        let largest: BTreeMap<&Name, Resources> = pools
            .iter()
            .map(|(name, pool)| (name, largest_worker(pool)))
            .collect();
        // What each team may still use under its cap, with and without the part for urgent work.
        let mut rooms: HashMap<&Name, [Resources; 2]> = HashMap::new();
        for (index, ready) in ready.iter().enumerate() {
            let job = &self.jobs[ready.job];
            let Some(queue) = self.queue(job) else {
                continue;
            };
            let Some(pool) = pools.get(&queue.pool) else {
                continue;
            };
            let stage = &job.stages[ready.stage];
            let step = &job.accepted.spec.steps[stage.step];
            let is_urgent = queue.priority == pool.urgent;
            let team = self.known_team(ready);
            let task = step.demand();
            let fits = largest
                .get(&queue.pool)
                .is_some_and(|largest| task.fits(largest));
            let waiting = if fits { stage.waiting_count() } else { 0 };
            let tasks = match team {
                Some(team) => {
                    let rooms = rooms.entry(team).or_insert_with(|| self.rooms(team));
                    let may_use_reserve = is_urgent || step.long_running;
                    let room = rooms[usize::from(!may_use_reserve)];
                    let allowed = waiting.min(fit_count(&room, &step.resources));
                    let taken = step.resources.times(allowed as u64);
                    *rooms = rooms.map(|room| room.minus(&taken));
                    allowed
                }
                None => waiting,
            };
            let class = &mut classes.entry(&queue.pool).or_default()[usize::from(!is_urgent)];
            class.indexes.push(index);
            class.stages.push(Waiting {
                team,
                task,
                tasks: tasks as u64,
                over_quota: job.over_quota,
                ordered_by_share: !step.long_running,
            });
        }
        classes
    }

    /// Returns the team of a stage if the configuration names it. Other work has no weight, and its
    /// order is not changed.
    fn known_team(&self, ready: &Ready) -> Option<&Name> {
        let team = self.jobs[ready.job].accepted.team.as_ref()?;
        self.policy.teams.get(team).map(|team| &team.name)
    }

    /// Returns what a team may still use for urgent work and for other work.
    fn rooms(&self, team: &Name) -> [Resources; 2] {
        let used = self.team_use(team);
        let unlimited = Resources {
            cpu_millis: u64::MAX,
            memory_mib: u64::MAX,
            accelerators: u64::MAX,
        };
        let team = self.policy.teams.get(team);
        [true, false].map(|urgent| team.map_or(unlimited, |team| team.room(&used, urgent)))
    }

    /// Returns by how much the deadline of a job moves back for the past use of its team.
    fn deadline_shift(&self, ready: &Ready) -> Duration {
        let job = &self.jobs[ready.job];
        let ratio = self.sharing.ratio(job.accepted.team.as_ref());
        let Some(queue) = self.queue(job).filter(|_| ratio > 1.0) else {
            return Duration::ZERO;
        };
        let path = critical_path(queue, &job.accepted);
        let slack = objective(queue, &job.accepted).saturating_sub(path);
        past::deadline_shift(slack, ratio)
    }

    fn note_excess(&mut self, ready: &Ready, excess: f64) {
        let job = &self.jobs[ready.job];
        if let Some(queue) = self.queue(job)
            && let Some(team) = &job.accepted.team
        {
            let key = (queue.pool.clone(), team.clone());
            let highest = self.sharing.over_share.entry(key).or_default();
            *highest = highest.max(excess);
        }
    }

    fn update_ratios(&mut self, now: Millis) {
        let capacity = self.total_capacity();
        self.sharing.update_ratios(&self.policy, &capacity, now);
    }

    /// Returns the capacity of all listed workers.
    fn total_capacity(&self) -> Resources {
        let listed = self.workers.values().filter(|worker| worker.listed);
        listed.fold(Resources::default(), |sum, worker| {
            sum.plus(&worker.info.capacity)
        })
    }

    /// Returns the past use of all teams, to be stored; `None` if it is not recorded.
    pub fn usage_record(&mut self, now: Millis) -> Option<past::Record> {
        let capacity = self.total_capacity();
        let past = &mut self.sharing.past;
        past.is_enabled().then(|| past.record(&capacity, now))
    }

    /// Adds the past use that an earlier owner has stored.
    pub fn restore_usage(&mut self, record: &past::Record, now: Millis) {
        self.sharing.past.restore(record, now);
    }

    /// Returns what the operators are shown of the sharing since the last call.
    pub fn take_sharing_report(&mut self, now: Millis) -> Report {
        self.update_ratios(now);
        let ratios = self.sharing.ratios.iter().flat_map(|(_, ratios)| ratios);
        let high = ratios.filter(|(_, ratio)| **ratio >= REPORTED_RATIO);
        Report {
            past_use: high.map(|(team, ratio)| (team.clone(), *ratio)).collect(),
            over_share: std::mem::take(&mut self.sharing.over_share),
        }
    }
}

impl Sharing {
    /// Computes the ratios of past use anew if they are too old.
    fn update_ratios(&mut self, policy: &Policy, capacity: &Resources, now: Millis) {
        let is_current = |(at, _): &(Millis, _)| now.since(*at) < RATIO_LIFETIME;
        if !self.past.is_enabled() || self.ratios.as_ref().is_some_and(is_current) {
            return;
        }
        let weight = |team: &Name| policy.teams.get(team).map(|team| team.weight);
        self.ratios = Some((now, self.past.ratios(weight, capacity, now)));
    }

    /// Returns the past use of a team over its entitlement, or zero if it is not known.
    fn ratio(&self, team: Option<&Name>) -> f64 {
        let known = self.ratios.as_ref().zip(team);
        known
            .and_then(|((_, ratios), team)| ratios.get(team).copied())
            .unwrap_or_default()
    }
}

/// Returns the largest capacity of a worker in each dimension.
fn largest_worker(pool: &Pool) -> Resources {
    let slots = pool.slots.iter();
    slots.fold(Resources::default(), |largest, slot| {
        largest.max(&slot.capacity)
    })
}

/// Returns the capacity of a pool for `stages`, for which `held_back` is not available.
fn pool_capacity(pool: &Pool, stages: &[Waiting<'_>], held_back: &Resources) -> Capacity {
    let smallest = current::smallest_task(stages).unwrap_or_default();
    let slots = pool.slots.iter();
    let with_enough = slots.filter(|slot| !slot.quarantined && smallest.fits(&slot.free));
    let usable = with_enough.fold(Resources::default(), |sum, slot| sum.plus(&slot.free));
    Capacity {
        total: pool.capacity,
        in_use: pool.capacity.minus(&pool.free),
        usable: usable.minus(held_back),
    }
}
