//! The targets of issue 4 on quantities that repeat: a manual clock and counted work.

mod driver;
mod util;

use std::{
    sync::OnceLock,
    time::Duration, //
};

use basilbridge_common::job::Kind;

use driver::{
    Scheduler,
    arrivals::{
        self,
        Scenario,
        Site, //
    },
    measurements::Measurements,
};

/// The part of its tasks that a kind is measured by.
const P99: f64 = 0.99;

const URGENT_START: Duration = Duration::from_millis(2_500);
const NEAREST_TO_SHARE: f64 = 0.95;

/// How many times shorter interactive work waits in the burst than in the baseline.
const BURST_GAIN: u32 = 10;

fn sites() -> [Site; 2] {
    [arrivals::spine_and_leaf(), arrivals::vltava()]
}

fn both(decider: fn() -> Scheduler, scenario: Scenario) -> [Measurements; 2] {
    sites().map(|site| driver::run(decider(), &site, scenario))
}

fn season() -> &'static [Measurements; 2] {
    static FIGURES: OnceLock<[Measurements; 2]> = OnceLock::new();
    FIGURES.get_or_init(|| both(Scheduler::shard, Scenario::Season))
}

fn plain_season() -> &'static [Measurements; 2] {
    static FIGURES: OnceLock<[Measurements; 2]> = OnceLock::new();
    FIGURES.get_or_init(|| both(Scheduler::baseline, Scenario::Season))
}

fn burst() -> &'static [Measurements; 2] {
    static FIGURES: OnceLock<[Measurements; 2]> = OnceLock::new();
    FIGURES.get_or_init(|| both(Scheduler::shard, Scenario::Burst))
}

fn urgent_wait(figures: &Measurements) -> Duration {
    figures
        .wait_quantile(Kind::Interactive, P99)
        .expect("interactive work came")
}

#[test]
fn urgent_work_starts_within_two_and_a_half_seconds_in_the_season_and_the_burst() {
    for figures in season().iter().chain(burst()) {
        assert!(
            urgent_wait(figures) <= URGENT_START,
            "{:?}",
            urgent_wait(figures)
        );
    }
}

#[test]
fn interactive_work_waits_a_tenth_of_the_baseline_in_the_burst() {
    let plain = both(Scheduler::baseline, Scenario::Burst);
    for (real, plain) in burst().iter().zip(&plain) {
        let (real, plain) = (urgent_wait(real), urgent_wait(plain));
        assert!(real * BURST_GAIN <= plain, "{real:?}, {plain:?}");
    }
}

#[test]
fn each_team_with_demand_is_near_its_share_in_each_minute_of_the_season() {
    for figures in season() {
        let nearness = figures.nearness();
        assert!(!nearness.is_empty(), "teams wait in the season");
        assert!(
            nearness.iter().all(|part| *part >= NEAREST_TO_SHARE),
            "{nearness:?}"
        );
    }
}

#[test]
fn each_team_with_demand_is_near_its_share_in_the_minute_after_a_rack_is_lost() {
    let [figures, _] = both(Scheduler::shard, Scenario::RackLost);
    let nearness = figures.nearness();
    assert!(
        nearness.iter().all(|part| *part >= NEAREST_TO_SHARE),
        "{nearness:?}"
    );
}

#[test]
fn packing_in_the_season_is_no_worse_than_the_baseline() {
    for (real, plain) in season().iter().zip(plain_season()) {
        let (real, plain) = (real.packing(), plain.packing());
        assert!(real >= plain, "{real:?}, {plain:?}");
    }
}

#[test]
fn a_fifth_of_the_workers_failing_draws_few_tasks_each() {
    let [figures, _] = both(Scheduler::shard, Scenario::FailingWorkers);
    // Eight slots fill before the first failure shows; then come single probes, ever rarer.
    assert!(figures.failures <= 10 * (8 + 8), "{}", figures.failures);
}
