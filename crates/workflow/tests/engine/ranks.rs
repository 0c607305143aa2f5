//! In which order work waits, and which of it is beyond what a team is owed.

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

fn claim(priority: u32, objective_ms: u64, left_ms: u64) -> RankInput {
    RankInput {
        priority,
        start: START,
        objective: Duration::from_millis(objective_ms),
        long_running: false,
        waiting_since: START,
        remaining: Duration::from_millis(left_ms),
        over_quota: false,
    }
}

#[test]
fn urgent_work_goes_first_and_of_one_priority_that_which_is_due_first() {
    let (urgent, later, patient) = (claim(0, 900, 100), claim(0, 1500, 100), claim(2, 800, 100));

    let mut order = [patient, later, urgent].map(|claim| rank(&claim, START));
    order.sort();

    let deadlines = order.map(|rank| rank.deadline.since(START).as_millis());
    assert_eq!(deadlines, [900, 1500, 800]);
}

#[test]
fn work_that_can_not_be_on_time_waits_for_work_that_can() {
    let (hopeful, lost) = (claim(0, 1000, 400), claim(0, 1000, 4000));

    let ranks = [lost, hopeful].map(|claim| rank(&claim, START));

    assert_eq!(ranks.map(|rank| rank.band), [Band::Late, Band::OnTime]);
}

#[test]
fn work_past_three_times_its_objective_comes_last() {
    let after = START.after(Duration::from_millis(3001));

    let band = rank(&claim(0, 1000, 0), after).band;

    assert_eq!(band, Band::Expired);
}

#[test]
fn a_lasting_task_that_waits_for_a_second_goes_ahead_of_all() {
    let lasting = RankInput {
        long_running: true,
        ..claim(1, 0, 0)
    };
    let after = START.after(Duration::from_millis(1000));

    let first = rank(&lasting, after).min(rank(&claim(0, 5000, 0), after));

    assert_eq!(first.band, Band::Overdue);
}

#[test]
fn a_team_that_sends_many_times_its_share_is_owed_its_share() {
    let mut meter = TeamQuotas::default();
    let team = name(TEAM);
    let weight = 2.0;

    let owed = (0..200)
        .map(|number| START.after(Duration::from_millis(50 * number)))
        .filter(|at| !meter.count_job(&team, weight, *at))
        .count();

    // Two a second for ten seconds, and what the team had saved up.
    assert!((20..=28).contains(&owed), "{owed}");
}

#[test]
fn filling_tasks_stop_before_the_serving_ones_miss_their_target_for_long() {
    let mut pace_now = 100;
    let mut looks = 0;
    while pace_now > 0 {
        pace_now = throttle::next_percent(pace_now, 1.2);
        looks += 1;
    }
    let back = throttle::next_percent(0, 0.3);

    // A look a second, and 4 s until it counts as harm.
    assert!(looks <= 3, "{looks}");
    assert!(back > 0);
}
