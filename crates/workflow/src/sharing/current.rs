//! Which waiting stages belong to teams over their share of a pool.

use std::collections::HashMap;

use basilbridge_common::{
    id::Name,
    unit::Resources, //
};

/// A waiting stage. Stages are passed in the order of their ranks.
#[derive(Debug, Clone, Copy)]
pub struct Waiting<'a> {
    /// Its team, if the configuration names it.
    pub team: Option<&'a Name>,
    /// What one of its tasks reserves.
    pub task: Resources,
    /// Number of its tasks that wait, that fit a worker and that the cap of its team allows.
    pub tasks: u64,
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
pub fn order(
    stages: &[Waiting<'_>],
    used: &HashMap<Name, Resources>,
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
    let mut teams: HashMap<&Name, (f64, Resources)> = HashMap::new();
    let mut total_weight = 0.0;
    for team in active {
        if !teams.contains_key(team)
            && let Some(weight) = weight(team)
        {
            total_weight += weight;
            teams.insert(team, (weight, used.get(team).copied().unwrap_or_default()));
        }
    }
    let mut places = Vec::new();
    for (index, stage) in stages.iter().enumerate() {
        let Some((weight, used)) = stage.team.and_then(|team| teams.get_mut(team)) else {
            continue;
        };
        let entitlement = *weight / total_weight * divisible;
        let share = used.dominant_share(&capacity.total);
        if stage.ordered_by_share {
            places.push(Place {
                stage: index,
                excess: (share >= entitlement).then(|| share / entitlement),
            });
        }
        *used = used.plus(&stage.task.times(stage.tasks));
    }
    places
}
