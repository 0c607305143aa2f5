//! Measurements of a run of the driver.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
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

/// The number of samples over which nearness to share is computed; they span a minute.
const SAMPLES_PER_WINDOW: usize = 240;

/// The running and waiting work at one time.
#[derive(Default)]
pub(crate) struct Usage {
    pub(crate) used: BTreeMap<Name, Resources>,
    /// The teams with waiting batch tasks.
    pub(crate) waiting: BTreeSet<Name>,
    /// The number of running tasks.
    pub(crate) running: usize,
}

/// The samples of the current minute.
#[derive(Default)]
struct Window {
    samples: usize,
    /// The sums of the sampled levels of each team.
    levels: BTreeMap<Name, f64>,
    /// The teams that had waiting tasks at every sample.
    waiting: Option<BTreeSet<Name>>,
}

/// The measurements of a run.
pub(crate) struct Measurements {
    teams: BTreeMap<Name, u32>,
    capacity: Resources,
    slots: u64,
    waits: BTreeMap<Kind, Vec<Duration>>,
    /// The tasks that have started at least once.
    started: BTreeSet<id::Task>,
    pub(crate) starts: u64,
    pub(crate) failures: u64,
    pub(crate) nodes_examined: u64,
    /// The work that was lost, in seconds of the whole fleet.
    lost_work: f64,
    window: Window,
    nearness: Vec<f64>,
    /// The used fraction of the fleet at each sample at which batch tasks waited.
    packing_samples: Vec<f64>,
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
            nodes_examined: 0,
            lost_work: 0.0,
            window: Window::default(),
            nearness: Vec::new(),
            packing_samples: Vec::new(),
        }
    }

    /// Counts a start, and the wait of a task that starts for the first time.
    pub(crate) fn record_start(&mut self, task: &Task, now: Millis) {
        self.starts += 1;
        if self.started.insert(task.id.clone()) {
            self.record_wait(task, now);
        }
    }

    /// Counts the wait of a task whose deadline passed before it started.
    pub(crate) fn record_expiry(&mut self, task: &Task, now: Millis) {
        self.record_wait(task, now);
    }

    /// Counts the wait so far of a task that has never started. It is a lower bound.
    pub(crate) fn record_waiting(&mut self, task: &Task, now: Millis) {
        if !self.started.contains(&task.id) {
            self.record_wait(task, now);
        }
    }

    fn record_wait(&mut self, task: &Task, now: Millis) {
        let waits = self.waits.entry(task.kind).or_default();
        waits.push(now.since(task.accepted));
    }

    /// Adds work that has to be repeated.
    pub(crate) fn record_lost_work(&mut self, need: &Resources, time: Duration) {
        self.lost_work += need.dominant_share(&self.capacity) * time.as_secs_f64();
    }

    /// Takes a sample of the usage.
    pub(crate) fn sample(&mut self, _now: Millis, usage: Usage) {
        let all = usage.used.values();
        let all = all.fold(Resources::default(), |sum, used| sum.plus(used));
        if !usage.waiting.is_empty() {
            let slots = usage.running as f64 / self.slots as f64;
            self.packing_samples
                .push(all.dominant_share(&self.capacity).max(slots));
        }
        for (team, weight) in &self.teams {
            let used = usage.used.get(team).copied().unwrap_or_default();
            let level = used.dominant_share(&self.capacity) / f64::from(*weight);
            *self.window.levels.entry(team.clone()).or_default() += level;
        }
        let waiting_before = self.window.waiting.take();
        self.window.waiting = Some(match waiting_before {
            Some(teams) => teams.intersection(&usage.waiting).cloned().collect(),
            None => usage.waiting,
        });
        self.window.samples += 1;
        if self.window.samples == SAMPLES_PER_WINDOW {
            let window = std::mem::take(&mut self.window);
            self.close_window(&window);
        }
    }

    /// Computes the nearness to share of a window: the lowest level of a team that waited all the
    /// time, divided by the level that all such teams would have if they split their usage by
    /// weight.
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

    /// Returns the quantile `quantile` (0 to 1) of the waits of a kind, or `None` if there are
    /// none.
    pub(crate) fn wait_quantile(&self, kind: Kind, quantile: f64) -> Option<Duration> {
        let mut waits = self.waits.get(&kind)?.clone();
        waits.sort();
        let index = (waits.len() as f64 * quantile) as usize;
        waits.get(index.min(waits.len() - 1)).copied()
    }

    /// Returns the mean used fraction of the fleet while batch tasks waited. Slots count as a
    /// resource, since a worker without free slots is full.
    pub(crate) fn packing(&self) -> Option<f64> {
        let sum: f64 = self.packing_samples.iter().sum();
        (!self.packing_samples.is_empty()).then(|| sum / self.packing_samples.len() as f64)
    }

    /// Returns the nearness to share of each minute in which at least two teams waited all the
    /// time.
    pub(crate) fn nearness(&self) -> &[f64] {
        &self.nearness
    }

    /// Returns the fraction of the fleet's time that was spent on work that had to be repeated.
    pub(crate) fn lost_work(&self) -> f64 {
        self.lost_work / Duration::from_millis(super::arrivals::END.0).as_secs_f64()
    }

    /// Prints the measurements on one line: the median and the 99th percentile of the waits of each
    /// kind in seconds, packing, the lowest and the mean nearness, the lost fraction, the number of
    /// failures, and the nodes examined per start.
    pub(crate) fn print(&self, label: &str) {
        print!("{label:<44}");
        for kind in [Kind::Interactive, Kind::Service, Kind::Batch, Kind::Gang] {
            let seconds = |quantile| {
                self.wait_quantile(kind, quantile)
                    .unwrap_or_default()
                    .as_secs_f64()
            };
            print!(" {:7.2} {:7.2}", seconds(0.5), seconds(0.99));
        }
        let lowest = self.nearness.iter().copied().reduce(f64::min);
        let mean = self.nearness.iter().sum::<f64>() / self.nearness.len() as f64;
        let format =
            |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.3}"));
        println!(
            " {:>6} {:>6} {:>6} {:7.4} {:7} {:6.1}",
            format(self.packing()),
            format(lowest),
            format((!self.nearness.is_empty()).then_some(mean)),
            self.lost_work(),
            self.failures,
            self.nodes_examined as f64 / self.starts.max(1) as f64,
        );
    }
}
