//! Sizes and run times learned for each family of jobs.
//!
//! What a caller declares is often far off. A family's tasks are counted with the larger of the
//! declared and the learned size; `docs/design/estimates.md` weighs the ways.

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

/// How long it takes until half of a learned size is forgotten, where no report confirms it.
pub const HALF_LIFE: Duration = Duration::from_secs(6 * 3600);

/// How many families are remembered at most.
pub const MOST_FAMILIES: usize = 10_000;

/// The part of a new run time that goes into the learned one.
const RUN_TIME_WEIGHT: f64 = 0.2;

/// What is known of a family.
#[derive(Debug, Clone, Copy)]
struct Family {
    size: Resources,
    seen: Millis,
    /// The mean of the logarithm of run times in seconds.
    run_time: Option<f64>,
}

/// What is known of all families; they are kept apart by team, so that none can hurt another.
#[derive(Debug, Default)]
pub struct Estimates {
    families: HashMap<(Name, Name), Family>,
}

impl Estimates {
    /// Takes in what a task of a family used.
    pub fn record_usage(&mut self, team: &Name, family: &Name, usage: &Resources, now: Millis) {
        let Some(known) = self.family(team, family, now) else {
            return;
        };
        let left = decayed(known, now);
        known.size = left.max(usage);
        known.seen = now;
    }

    /// Takes in how long a task of a family ran.
    pub fn record_run_time(&mut self, team: &Name, family: &Name, run_time: Duration, now: Millis) {
        let Some(known) = self.family(team, family, now) else {
            return;
        };
        let new = run_time.as_secs_f64().max(0.001).ln();
        let old = known.run_time.unwrap_or(new);
        known.run_time = Some(old + (new - old) * RUN_TIME_WEIGHT);
    }

    /// Returns the size that tasks of a family are counted with at least.
    pub fn size(&self, team: &Name, family: &Name, now: Millis) -> Resources {
        let known = self.families.get(&(team.clone(), family.clone()));
        known.map_or_else(Resources::default, |known| decayed(known, now))
    }

    /// Returns the run time that tasks of a family have had of late.
    pub fn run_time(&self, team: &Name, family: &Name) -> Option<Duration> {
        let known = self.families.get(&(team.clone(), family.clone()))?;
        known.run_time.map(|log| Duration::from_secs_f64(log.exp()))
    }

    fn family(&mut self, team: &Name, family: &Name, now: Millis) -> Option<&mut Family> {
        let key = (team.clone(), family.clone());
        if self.families.len() >= MOST_FAMILIES && !self.families.contains_key(&key) {
            self.families
                .retain(|_, known| now.since(known.seen) < HALF_LIFE);
            if self.families.len() >= MOST_FAMILIES {
                return None;
            }
        }
        let new = Family {
            size: Resources::default(),
            seen: now,
            run_time: None,
        };
        Some(self.families.entry(key).or_insert(new))
    }
}

fn decayed(known: &Family, now: Millis) -> Resources {
    let half_lives = now.since(known.seen).as_secs_f64() / HALF_LIFE.as_secs_f64();
    let left = 0.5_f64.powf(half_lives);
    let part = |amount: u64| (amount as f64 * left).ceil() as u64;
    Resources {
        cpu_millis: part(known.size.cpu_millis),
        memory_mib: part(known.size.memory_mib),
        accelerators: part(known.size.accelerators),
    }
}
