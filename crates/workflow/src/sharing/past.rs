//! Past use of teams: reserved resources over time, decayed with a half-life.

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
use basilbridge_derives::data;

/// Part of the half-life for which all capacity must have been used before past use counts: 2.4
/// minutes for 4 h. With less, the ratio only shows which team happened to send first, and current
/// usage already evens that out within seconds.
const SUFFICIENT_FRACTION: f64 = 0.01;

/// Largest part of the slack of a job by which its deadline moves back. The other half is left for
/// delays that nobody expects, so that the job can still be on time.
const MAX_SLACK_FRACTION: f64 = 0.5;

/// Largest size of a stored record in bytes. Each VM receives it with the feed of the ownership
/// table.
const MAX_RECORD_BYTES: usize = 64_000;

/// Size of a record without its teams, in bytes.
const RECORD_OVERHEAD: usize = 64;

/// Reserved resources over time: core, mebibyte and accelerator seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Amount([f64; 3]);

impl Amount {
    /// Returns `resources` held for one second.
    fn of(resources: &Resources) -> Self {
        Self([
            resources.cpu_millis as f64 / 1000.0,
            resources.memory_mib as f64,
            resources.accelerators as f64,
        ])
    }

    fn scaled(self, factor: f64) -> Self {
        Self(self.0.map(|seconds| seconds * factor))
    }

    fn plus(self, other: Self) -> Self {
        let [cpu, memory, accelerators] = self.0;
        let [other_cpu, other_memory, other_accelerators] = other.0;
        Self([
            cpu + other_cpu,
            memory + other_memory,
            accelerators + other_accelerators,
        ])
    }

    /// Returns for how many seconds `capacity` would have been used whole in the dominant dimension.
    /// A dimension without capacity is left out: its workers are gone.
    fn dominant_seconds(self, capacity: &Resources) -> f64 {
        let parts = self.0.into_iter().zip(Self::of(capacity).0);
        parts
            .filter(|(_, capacity)| *capacity > 0.0)
            .map(|(used, capacity)| used / capacity)
            .fold(0.0, f64::max)
    }
}

/// Usage of one team, integrated up to `at`.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    used: Amount,
    /// What its runs reserve.
    running: Resources,
    at: Millis,
}

impl Account {
    /// Returns the decayed usage up to `now`.
    fn used_at(&self, now: Millis, half_life: Duration) -> Amount {
        let half_lives = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        let remaining = (-half_lives).exp2();
        // Integral of the reserved resources over the elapsed time, decayed up to `now`.
        let held = half_life.as_secs_f64() / std::f64::consts::LN_2 * (1.0 - remaining);
        self.used
            .scaled(remaining)
            .plus(Amount::of(&self.running).scaled(held))
    }
}

/// Past use as it is stored.
#[data]
#[derive(Default)]
pub struct Record {
    /// Time up to which the usage counts.
    pub at: Millis,
    /// Core, mebibyte and accelerator seconds of each team.
    pub teams: BTreeMap<Name, [u64; 3]>,
}

/// Past use of all teams. It does no work while no run starts or ends and nothing is read.
#[derive(Debug)]
pub struct Ledger {
    half_life: Duration,
    accounts: HashMap<Name, Account>,
}

impl Ledger {
    /// Creates an empty ledger. With a `half_life` of zero it records nothing.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            accounts: HashMap::new(),
        }
    }

    /// Returns whether past use is recorded.
    pub fn is_enabled(&self) -> bool {
        !self.half_life.is_zero()
    }

    /// Records that a run of `team` which reserves `demand` has started.
    pub fn start(&mut self, team: &Name, demand: &Resources, now: Millis) {
        self.change(team, now, |running| running.plus(demand));
    }

    /// Records that a run of `team` which reserved `demand` has ended.
    pub fn end(&mut self, team: &Name, demand: &Resources, now: Millis) {
        self.change(team, now, |running| running.minus(demand));
    }

    fn change(&mut self, team: &Name, now: Millis, change: impl FnOnce(&Resources) -> Resources) {
        if !self.is_enabled() {
            return;
        }
        let half_life = self.half_life;
        let account = self.accounts.entry(team.clone()).or_default();
        *account = Account {
            used: account.used_at(now, half_life),
            running: change(&account.running),
            at: account.at.max(now),
        };
    }

    /// Returns the past use of each team over its entitlement, its part by `weight` of what all of
    /// these teams have used. Teams without a weight are left out. Empty until enough has been used
    /// to tell.
    pub fn ratios(
        &self,
        weight: impl Fn(&Name) -> Option<f64>,
        capacity: &Resources,
        now: Millis,
    ) -> HashMap<Name, f64> {
        if !self.is_enabled() {
            return HashMap::new();
        }
        let accounts = self.accounts.iter().filter_map(|(team, account)| {
            let used = account.used_at(now, self.half_life);
            Some((team, weight(team)?, used.dominant_seconds(capacity)))
        });
        let accounts: Vec<(&Name, f64, f64)> = accounts.collect();
        let total: f64 = accounts.iter().map(|(_, _, used)| used).sum();
        let total_weight: f64 = accounts.iter().map(|(_, weight, _)| weight).sum();
        if total < self.half_life.as_secs_f64() * SUFFICIENT_FRACTION || total_weight <= 0.0 {
            return HashMap::new();
        }
        let ratio = |weight: f64, used: f64| used / total / (weight / total_weight);
        accounts
            .into_iter()
            .filter(|(_, weight, _)| *weight > 0.0)
            .map(|(team, weight, used)| (team.clone(), ratio(weight, used)))
            .collect()
    }

    /// Returns what to store. The teams that have used least of `capacity` are left out if not all
    /// of them fit.
    pub fn record(&mut self, capacity: &Resources, now: Millis) -> Record {
        let mut entries: Vec<(Name, [u64; 3], f64)> = Vec::new();
        let half_life = self.half_life;
        self.accounts.retain(|team, account| {
            let used = account.used_at(now, half_life);
            let rounded = used.0.map(|seconds| seconds.round() as u64);
            if rounded != [0; 3] {
                entries.push((team.clone(), rounded, used.dominant_seconds(capacity)));
            }
            rounded != [0; 3] || account.running != Resources::default()
        });
        entries.sort_by(|(_, _, a), (_, _, b)| b.total_cmp(a));
        let mut bytes = RECORD_OVERHEAD;
        let fitting = entries.into_iter().take_while(|(team, used, _)| {
            bytes += entry_bytes(team, used);
            bytes <= MAX_RECORD_BYTES
        });
        Record {
            at: now,
            teams: fitting.map(|(team, used, _)| (team, used)).collect(),
        }
    }

    /// Adds what an earlier owner has stored.
    pub fn restore(&mut self, record: &Record, now: Millis) {
        if !self.is_enabled() {
            return;
        }
        for (team, used) in &record.teams {
            let stored = Account {
                used: Amount(used.map(|seconds| seconds as f64)),
                running: Resources::default(),
                at: record.at,
            };
            let stored = stored.used_at(now, self.half_life);
            let account = self.accounts.entry(team.clone()).or_default();
            *account = Account {
                used: account.used_at(now, self.half_life).plus(stored),
                running: account.running,
                at: account.at.max(now),
            };
        }
    }
}

/// Returns the size in bytes of a team in a record that is encoded as JSON.
fn entry_bytes(team: &Name, used: &[u64; 3]) -> usize {
    let digits = |number: &u64| number.checked_ilog10().map_or(1, |log| log as usize + 1);
    // Two quotes, a colon, two brackets and three commas.
    team.len() + used.iter().map(digits).sum::<usize>() + 8
}

/// Returns by how much the deadline of a job with `slack` moves back if its team has used `ratio`
/// times its entitlement: nothing up to the entitlement, a quarter of the slack at twice the
/// entitlement, and at most half of it.
pub fn deadline_shift(slack: Duration, ratio: f64) -> Duration {
    if ratio <= 1.0 {
        return Duration::ZERO;
    }
    slack.mul_f64(MAX_SLACK_FRACTION * (1.0 - 1.0 / ratio))
}
