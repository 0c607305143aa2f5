//! Which waiting stages belong to teams over their share of a pool.

use std::collections::HashMap;

use basilbridge_common::{
    id::Name,
    unit::Resources, //
};

/// What the runs of a team reserve in a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Runs of jobs within the rate of the team.
    pub within_rate: Resources,
    /// Runs of jobs in excess of that rate.
    pub over_quota: Resources,
}

impl Usage {
    /// Adds resources of a job that is in excess of the rate of its team, or not.
    pub fn add(&mut self, resources: &Resources, over_quota: bool) {
        let part = self.part(over_quota);
        *part = part.plus(resources);
    }

    /// Removes resources that were added before.
    pub fn remove(&mut self, resources: &Resources, over_quota: bool) {
        let part = self.part(over_quota);
        *part = part.minus(resources);
    }

    fn part(&mut self, over_quota: bool) -> &mut Resources {
        if over_quota {
            &mut self.over_quota
        } else {
            &mut self.within_rate
        }
    }

    /// Returns the usage that counts for a job.
    ///
    /// Excess work got only capacity that nobody else wanted. If it counted for jobs within the rate
    /// too, the backlog of an overload would delay them for as long as it is worked off.
    fn counted(&self, over_quota: bool) -> Resources {
        if over_quota {
            self.within_rate.plus(&self.over_quota)
        } else {
            self.within_rate
        }
    }
}

/// A waiting stage. Stages are passed in the order of their ranks.
#[derive(Debug, Clone, Copy)]
pub struct Waiting<'a> {
    /// Its team, if the configuration names it.
    pub team: Option<&'a Name>,
    /// What one of its tasks reserves.
    pub task: Resources,
    /// Number of its tasks that wait, that fit a worker and that the cap of its team allows.
    pub tasks: u64,
    /// Whether its job is in excess of the rate of its team.
    pub over_quota: bool,
    /// Whether the share of the team changes its order. Long-running tasks have to run again within
    /// seconds, so they are placed by the time that they wait.
    pub ordered_by_share: bool,
}

/// Capacity of a pool for one class of work.
#[derive(Debug, Clone, Copy, Default)]
pub struct Capacity {
    /// Capacity of all usable workers.
    pub total: Resources,
    /// Part of it that is in use.
    pub in_use: Resources,
    /// Part of it that the waiting work may use and that is free on workers with enough for at least
    /// one task.
    pub usable: Resources,
}

impl Capacity {
    /// Returns the largest fraction of the pool that can be given out: what is left on each worker
    /// beside the tasks that fit there, and the reserve for urgent work, is nobody's share. A worker
    /// of 16 cores runs three tasks of 4.5 cores, 84 % of it.
    fn divisible(&self) -> f64 {
        let divisible = self.in_use.plus(&self.usable);
        divisible.dominant_share(&self.total).min(1.0)
    }
}

/// A stage that is ordered by the share of its team.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Place {
    /// Index of the stage.
    pub stage: usize,
    /// Share of the team over its entitlement, if the team is over its share.
    pub excess: Option<f64>,
}

/// Returns whether stages of several teams wait that are ordered by share.
pub fn is_contended(stages: &[Waiting<'_>]) -> bool {
    let mut teams = stages
        .iter()
        .filter(|stage| stage.ordered_by_share && stage.tasks > 0)
        .filter_map(|stage| stage.team);
    let first = teams.next();
    teams.any(|team| Some(team) != first)
}

/// Returns the smallest demand of a task in each dimension.
pub fn smallest_task(stages: &[Waiting<'_>]) -> Option<Resources> {
    let waiting = stages.iter().filter(|stage| stage.tasks > 0);
    waiting.map(|stage| stage.task).reduce(|a, b| a.min(&b))
}

/// Returns the stages that are ordered by the share of their team: none if all waiting work fits.
///
/// `used` has the usage of each team with runs in the pool, and `others` the teams that wait there
/// with work of another class. A team is over its share if its usage, with what its stages earlier
/// in the order will take, has reached its part by weight of the capacity that can be given out:
/// one more task would exceed it. The earlier stages count because a pass places hundreds of stages
/// at once.
///
/// For work within its rate, runs in excess of the rate do not count as usage of a team, and it may
/// also have what the work of the others within their rates leaves. Otherwise the backlog of an
/// overload would delay what the team sends after it: 4 of 128 jobs then waited 300 to 440 ms with a
/// slack of 250 ms.
pub fn order(
    stages: &[Waiting<'_>],
    used: &HashMap<Name, Usage>,
    others: &[&Name],
    weight: impl Fn(&Name) -> Option<f64>,
    capacity: &Capacity,
) -> Vec<Place> {
    let demand = stages.iter().fold(Resources::default(), |sum, stage| {
        sum.plus(&stage.task.times(stage.tasks))
    });
    let divisible = capacity.divisible();
    if demand.fits(&capacity.usable) || divisible == 0.0 {
        return Vec::new();
    }
    let waiting = stages
        .iter()
        .filter(|stage| stage.tasks > 0)
        .filter_map(|stage| stage.team);
    let active = used.keys().chain(waiting).chain(others.iter().copied());
    let mut teams: HashMap<&Name, (f64, Usage)> = HashMap::new();
    let mut total_weight = 0.0;
    for team in active {
        if !teams.contains_key(team)
            && let Some(weight) = weight(team)
        {
            total_weight += weight;
            teams.insert(team, (weight, used.get(team).copied().unwrap_or_default()));
        }
    }
    let left = left_by_others(stages, used, capacity);
    let mut places = Vec::new();
    for (index, stage) in stages.iter().enumerate() {
        let Some(name) = stage.team else {
            continue;
        };
        let Some((weight, used)) = teams.get_mut(name) else {
            continue;
        };
        let mut entitlement = *weight / total_weight * divisible;
        if !stage.over_quota {
            entitlement = entitlement.max(left.get(name).copied().unwrap_or_default());
        }
        let counted = used.counted(stage.over_quota);
        let share = counted.dominant_share(&capacity.total);
        if stage.ordered_by_share {
            places.push(Place {
                stage: index,
                excess: (share >= entitlement).then(|| share / entitlement),
            });
        }
        used.add(&stage.task.times(stage.tasks), stage.over_quota);
    }
    places
}

/// Returns the fraction of the pool that each team with waiting work within its rate could have if
/// there were no runs in excess of rates and all other teams had what they want within theirs.
fn left_by_others<'a>(
    stages: &[Waiting<'a>],
    used: &HashMap<Name, Usage>,
    capacity: &Capacity,
) -> HashMap<&'a Name, f64> {
    let excess = used.values().fold(Resources::default(), |sum, usage| {
        sum.plus(&usage.over_quota)
    });
    let mut wanted = capacity.in_use.minus(&excess);
    let mut waiting: HashMap<&Name, Resources> = HashMap::new();
    for stage in stages.iter().filter(|stage| !stage.over_quota) {
        let demand = stage.task.times(stage.tasks);
        wanted = wanted.plus(&demand);
        if let Some(team) = stage.team {
            let of_team = waiting.entry(team).or_default();
            *of_team = of_team.plus(&demand);
        }
    }
    let divisible = capacity.divisible();
    let left = |(team, waiting): (&'a Name, Resources)| {
        let used = used.get(team).copied().unwrap_or_default();
        let others = wanted.minus(&waiting).minus(&used.within_rate);
        (team, divisible - others.dominant_share(&capacity.total))
    };
    waiting.into_iter().map(left).collect()
}
