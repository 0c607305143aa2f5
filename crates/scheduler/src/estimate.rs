//! Sizes and run times learned per family of jobs.
//!
//! The resources that callers declare are often far off. The tasks of a family are charged with the
//! larger of the declared and the learned size. `docs/design/estimates.md` compares the
//! alternatives.

use std::{
    collections::HashMap,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

/// The time in which a learned size decays by half if no report confirms it.
pub const SIZE_HALF_LIFE: Duration = Duration::from_secs(6 * 3600);

/// The maximum number of families kept.
pub const MAX_FAMILIES: usize = 10_000;

/// The weight of a new run time in the moving average.
const RUN_TIME_WEIGHT: f64 = 0.2;

/// The learned size and run time of one family.
#[derive(Debug, Clone, Copy)]
struct FamilyEstimate {
    size: Resources,
    updated: Millis,
    /// The moving average of the natural logarithm of run times in seconds.
    run_time: Option<f64>,
}

/// Learned values by team and family. Each team has its own, so that no team can distort the
/// estimates of another.
#[derive(Debug, Default)]
pub struct Estimates {
    families: HashMap<(Name, Name), FamilyEstimate>,
}

impl Estimates {
    /// Records the resources that a task of a family used.
    pub fn record_usage(&mut self, team: &Name, family: &Name, usage: &Resources, now: Millis) {
        let Some(estimate) = self.family_mut(team, family, now) else {
            return;
        };
        let decayed_size = decay(estimate, now);
        estimate.size = decayed_size.max(usage);
        estimate.updated = now;
    }

    /// Records how long a task of a family ran.
    pub fn record_run_time(&mut self, team: &Name, family: &Name, run_time: Duration, now: Millis) {
        let Some(estimate) = self.family_mut(team, family, now) else {
            return;
        };
        let new = run_time.as_secs_f64().max(0.001).ln();
        let old = estimate.run_time.unwrap_or(new);
        estimate.run_time = Some(old + (new - old) * RUN_TIME_WEIGHT);
    }

    /// Returns the learned size of a family at `now`, or zero if it is unknown.
    pub fn size(&self, team: &Name, family: &Name, now: Millis) -> Resources {
        let estimate = self.families.get(&(team.clone(), family.clone()));
        estimate.map_or_else(Resources::default, |estimate| decay(estimate, now))
    }

    /// Returns the typical run time of a family, if known.
    pub fn run_time(&self, team: &Name, family: &Name) -> Option<Duration> {
        let estimate = self.families.get(&(team.clone(), family.clone()))?;
        estimate
            .run_time
            .map(|log| Duration::from_secs_f64(log.exp()))
    }

    fn family_mut(
        &mut self,
        team: &Name,
        family: &Name,
        now: Millis,
    ) -> Option<&mut FamilyEstimate> {
        let key = (team.clone(), family.clone());
        if self.families.len() >= MAX_FAMILIES && !self.families.contains_key(&key) {
            self.families
                .retain(|_, estimate| now.since(estimate.updated) < SIZE_HALF_LIFE);
            if self.families.len() >= MAX_FAMILIES {
                return None;
            }
        }
        let new = FamilyEstimate {
            size: Resources::default(),
            updated: now,
            run_time: None,
        };
        Some(self.families.entry(key).or_insert(new))
    }
}

fn decay(estimate: &FamilyEstimate, now: Millis) -> Resources {
    let half_lives = now.since(estimate.updated).as_secs_f64() / SIZE_HALF_LIFE.as_secs_f64();
    let factor = 0.5_f64.powf(half_lives);
    let scale = |amount: u64| (amount as f64 * factor).ceil() as u64;
    Resources {
        cpu_millis: scale(estimate.size.cpu_millis),
        memory_mib: scale(estimate.size.memory_mib),
        accelerators: scale(estimate.size.accelerators),
    }
}
