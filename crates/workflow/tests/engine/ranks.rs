//! Ranks of waiting work, team quotas and throttling.

use std::time::Duration;

use basilbridge_common::unit::Millis;
use basilbridge_workflow::{
    quota::TeamQuotas,
    rank::{
        Band,
        RankInput,
        rank, //
    },
    throttle,
};

use crate::util::{
    TEAM,
    name, //
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
