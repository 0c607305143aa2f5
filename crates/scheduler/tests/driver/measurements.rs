//! What a run of the driver measures.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::{
        self,
        Name, //
    },
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_scheduler::task::Task;

use super::arrivals::Site;

/// Over how many samples nearness to share is taken, which makes a minute.
const SAMPLES_PER_WINDOW: usize = 240;

/// What is used at one moment.
#[derive(Default)]
pub(crate) struct Usage {
    pub(crate) used: BTreeMap<Name, Resources>,
    pub(crate) waiting: BTreeSet<Name>,
    pub(crate) running: usize,
}

#[derive(Default)]
struct Window {
    samples: usize,
    levels: BTreeMap<Name, f64>,
    /// The teams that had work waiting at every sample.
    waiting: Option<BTreeSet<Name>>,
}

/// What a run measures.
pub(crate) struct Measurements {
    teams: BTreeMap<Name, u32>,
    capacity: Resources,
    slots: u64,
    waits: BTreeMap<Kind, Vec<Duration>>,
    started: BTreeSet<id::Task>,
    pub(crate) starts: u64,
    pub(crate) failures: u64,
    pub(crate) examined: u64,
    lost: f64,
    window: Window,
    nearness: Vec<f64>,
    full: Vec<f64>,
}

impl Measurements {
    pub(crate) fn new(site: &Site) -> Self {
        Self {
            teams: site.teams.iter().cloned().collect(),
            capacity: site.capacity(),
            slots: site.slots(),
            waits: BTreeMap::new(),
            started: BTreeSet::new(),
            starts: 0,
            failures: 0,
            examined: 0,
            lost: 0.0,
            window: Window::default(),
            nearness: Vec::new(),
            full: Vec::new(),
        }
    }

    pub(crate) fn start(&mut self, task: &Task, now: Millis) {
        self.starts += 1;
        if self.started.insert(task.id.clone()) {
            self.wait(task, now);
        }
    }

    pub(crate) fn expire(&mut self, task: &Task, now: Millis) {
        self.wait(task, now);
    }

    /// Counts a task that still waits; its wait so far is a lower bound.
    pub(crate) fn leave_waiting(&mut self, task: &Task, now: Millis) {
        if !self.started.contains(&task.id) {
            self.wait(task, now);
        }
    }

    fn wait(&mut self, task: &Task, now: Millis) {
        let waits = self.waits.entry(task.kind).or_default();
        waits.push(now.since(task.accepted));
    }

    /// Counts work that was done and has to be done again.
    pub(crate) fn lose(&mut self, need: &Resources, time: Duration) {
        self.lost += need.dominant_share(&self.capacity) * time.as_secs_f64();
    }

    pub(crate) fn sample(&mut self, _now: Millis, usage: Usage) {
        let all = usage.used.values();
        let all = all.fold(Resources::default(), |sum, used| sum.plus(used));
        if !usage.waiting.is_empty() {
            let slots = usage.running as f64 / self.slots as f64;
            self.full
                .push(all.dominant_share(&self.capacity).max(slots));
        }
        for (team, weight) in &self.teams {
            let used = usage.used.get(team).copied().unwrap_or_default();
            let level = used.dominant_share(&self.capacity) / f64::from(*weight);
            *self.window.levels.entry(team.clone()).or_default() += level;
        }
        let before = self.window.waiting.take();
        self.window.waiting = Some(match before {
            Some(before) => before.intersection(&usage.waiting).cloned().collect(),
            None => usage.waiting,
        });
        self.window.samples += 1;
        if self.window.samples == SAMPLES_PER_WINDOW {
            let window = std::mem::take(&mut self.window);
            self.close_window(&window);
        }
    }

    /// Takes the lowest level of a team that waited all the time, as a part of what each had if
    /// all such teams split their use by weight.
    fn close_window(&mut self, window: &Window) {
        let teams = window.waiting.iter().flatten();
        let levels: Vec<_> = teams
            .map(|team| (window.levels[team], f64::from(self.teams[team])))
            .collect();
        if levels.len() > 1 {
            let used: f64 = levels.iter().map(|(level, weight)| level * weight).sum();
            let weights: f64 = levels.iter().map(|(_, weight)| weight).sum();
            let lowest = levels
                .iter()
                .map(|(level, _)| *level)
                .fold(f64::INFINITY, f64::min);
            self.nearness.push(lowest * weights / used);
        }
    }

    /// Returns the wait of a kind that this part of its tasks stay under.
    pub(crate) fn wait_quantile(&self, kind: Kind, part: f64) -> Option<Duration> {
        let mut waits = self.waits.get(&kind)?.clone();
        waits.sort();
        let at = (waits.len() as f64 * part) as usize;
        waits.get(at.min(waits.len() - 1)).copied()
    }

    /// Returns the mean part of the fleet in use while batch work waited, where slots count as a resource:
    /// a worker whose slots are taken is full.
    pub(crate) fn packing(&self) -> Option<f64> {
        let sum: f64 = self.full.iter().sum();
        (!self.full.is_empty()).then(|| sum / self.full.len() as f64)
    }

    /// Returns the nearness to share of each minute in which at least two teams waited.
    pub(crate) fn nearness(&self) -> &[f64] {
        &self.nearness
    }

    /// Returns the part of the fleet's time that was lost to work done again.
    pub(crate) fn lost(&self) -> f64 {
        self.lost / Duration::from_millis(super::arrivals::END.0).as_secs_f64()
    }

    pub(crate) fn print(&self, title: &str) {
        print!("{title:<44}");
        for kind in [Kind::Interactive, Kind::Service, Kind::Batch, Kind::Gang] {
            let seconds = |part| {
                self.wait_quantile(kind, part)
                    .unwrap_or_default()
                    .as_secs_f64()
            };
            print!(" {:7.2} {:7.2}", seconds(0.5), seconds(0.99));
        }
        let lowest = self.nearness.iter().copied().reduce(f64::min);
        let mean = self.nearness.iter().sum::<f64>() / self.nearness.len() as f64;
        let part = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.3}"));
        println!(
            " {:>6} {:>6} {:>6} {:7.4} {:7} {:6.1}",
            part(self.packing()),
            part(lowest),
            part((!self.nearness.is_empty()).then_some(mean)),
            self.lost(),
            self.failures,
            self.examined as f64 / self.starts.max(1) as f64,
        );
    }
}
