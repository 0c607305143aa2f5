//! Ranks of waiting work, team quotas and throttling.

use std::time::Duration;

use basilbridge_common::{
    id::Version,
    unit::Millis, //
};
use basilbridge_workflow::{
    engine::Engine,
    quota::TeamQuotas,
    rank::{
        Band,
        RankInput,
        rank, //
    },
    throttle,
};

use crate::util::{
    CHECKS,
    TEAM,
    accepted,
    name,
    policy,
    settings,
    step, //
};

const START: Millis = Millis(1_000_000);

fn input(priority: u32, objective_ms: u64, remaining_ms: u64) -> RankInput {
    RankInput {
        priority,
        start: START,
        objective: Duration::from_millis(objective_ms),
        long_running: false,
        waiting_since: START,
        remaining: Duration::from_millis(remaining_ms),
        over_quota: false,
    }
}

#[test]
fn work_is_ordered_by_priority_and_then_by_deadline() {
    let (urgent, later, patient) = (input(0, 900, 100), input(0, 1500, 100), input(2, 800, 100));

    let mut order = [patient, later, urgent].map(|input| rank(&input, START));
    order.sort();

    let deadlines = order.map(|rank| rank.deadline.since(START).as_millis());
    assert_eq!(deadlines, [900, 1500, 800]);
}

#[test]
fn work_that_cannot_be_on_time_waits_for_work_that_can() {
    let (feasible, infeasible) = (input(0, 1000, 400), input(0, 1000, 4000));

    let ranks = [infeasible, feasible].map(|input| rank(&input, START));

    assert_eq!(ranks.map(|rank| rank.band), [Band::Late, Band::OnTime]);
}

#[test]
fn work_past_three_times_its_objective_is_placed_last() {
    let after = START.after(Duration::from_millis(3001));

    let band = rank(&input(0, 1000, 0), after).band;

    assert_eq!(band, Band::Expired);
}

#[test]
fn a_long_running_task_that_has_waited_for_a_second_precedes_all_other_work() {
    let long_running = RankInput {
        long_running: true,
        ..input(1, 0, 0)
    };
    let after = START.after(Duration::from_millis(1000));

    let first = rank(&long_running, after).min(rank(&input(0, 5000, 0), after));

    assert_eq!(first.band, Band::Overdue);
}

#[test]
fn a_team_that_sends_many_times_its_share_is_entitled_to_its_share_only() {
    let mut quotas = TeamQuotas::default();
    let team = name(TEAM);
    let weight = 2.0;

    let entitled = (0..200)
        .map(|number| START.after(Duration::from_millis(50 * number)))
        .filter(|at| !quotas.count_job(&team, weight, *at))
        .count();

    // Two per second for 10 s, plus the saved entitlement of 4 s.
    assert!((20..=28).contains(&entitled), "{entitled}");
}

/// A new owner hears of new jobs while it reads the stored ones. Counted after a new one, all of
/// those came from the past, in which their team had earned nothing.
#[test]
fn a_job_that_is_announced_before_the_stored_ones_are_read_uses_up_no_rate_but_its_own() {
    let mut engine = Engine::new(settings(1), policy(0), START);
    let job = |after: u64| {
        let at = START.after(Duration::from_millis(after));
        accepted(CHECKS, at, vec![step(1, 1000)])
    };
    let stored = 1000_u64;

    engine.announce(&name("new"), job(12_600), Version(stored + 1), START);
    // The team is entitled to 100 jobs per second and sends 80.
    for number in 0..stored {
        let id = name(&format!("stored{number}"));
        engine.accept(&id, job(number * 25 / 2), Version(1), None, true, START);
    }
    engine.set_accepted_version(Version(stored));
    engine.finish_loading(START);

    let is_over = |id: &str| engine.job(id).map(|job| job.over_quota);
    let excess = (0..stored).filter(|number| is_over(&format!("stored{number}")) != Some(false));
    assert_eq!(excess.count(), 0);
    assert_eq!(is_over("new"), Some(false));
}

#[test]
fn best_effort_tasks_stop_before_serving_ones_miss_their_target_for_long() {
    let mut percent = 100;
    let mut polls = 0;
    while percent > 0 {
        percent = throttle::next_percent(percent, 1.2);
        polls += 1;
    }
    let resumed = throttle::next_percent(0, 0.3);

    // There is one poll per second, and a missed target counts as harm after 4 s.
    assert!(polls <= 3, "{polls}");
    assert!(resumed > 0);
}
