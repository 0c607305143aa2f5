//! Past use of teams: how it is counted and stored, and how it changes the order.

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
use basilbridge_workflow::{
    job::TaskId,
    report::Outcome,
    sharing::past::{
        self,
        Ledger, //
    },
};

use crate::{
    sharing::{
        CORE,
        check,
        fill_pool,
        on_time_by_team,
        restore_heavy_use,
        shared_policy,
        shared_simulation,
        start_order, //
    },
    simulation::Simulation,
    util::{
        cpu,
        name, //
    },
};

const HALF_LIFE: Duration = Duration::from_secs(4 * 3600);
const START: Millis = Millis(1_000_000);

fn equal_weight(_: &Name) -> Option<f64> {
    Some(1.0)
}

#[test]
fn a_team_that_has_used_three_times_as_much_is_half_above_its_entitlement() {
    let mut ledger = Ledger::new(HALF_LIFE);
    let later = START.after(Duration::from_secs(3600));
    ledger.start(&name("heavy"), &cpu(300 * CORE), START);
    ledger.start(&name("light"), &cpu(100 * CORE), START);

    let ratios = ledger.ratios(equal_weight, &cpu(1000 * CORE), later);

    assert!((ratios["heavy"] - 1.5).abs() < 0.01, "{ratios:?}");
    assert!((ratios["light"] - 0.5).abs() < 0.01, "{ratios:?}");
}

/// A single job at the start of a day would put its team above its entitlement.
#[test]
fn past_use_does_not_count_before_enough_has_been_used() {
    let mut ledger = Ledger::new(HALF_LIFE);
    ledger.start(&name("heavy"), &cpu(1000 * CORE), START);
    ledger.start(&name("light"), &cpu(0), START);
    let ratios = |seconds| {
        let now = START.after(Duration::from_secs(seconds));
        ledger.ratios(equal_weight, &cpu(1000 * CORE), now)
    };

    // A hundredth of the half-life is 144 s.
    assert_eq!(ratios(140), HashMap::new());
    assert_eq!(ratios(150).len(), 2);
}

#[test]
fn past_use_halves_within_the_half_life() {
    let mut ledger = Ledger::new(HALF_LIFE);
    ledger.start(&name("team"), &cpu(100 * CORE), START);
    let ended = START.after(Duration::from_secs(600));
    ledger.end(&name("team"), &cpu(100 * CORE), ended);

    let seconds = |ledger: &mut Ledger, at| ledger.record(&cpu(CORE), at).teams["team"][0];
    let (before, after) = (
        seconds(&mut ledger, ended),
        seconds(&mut ledger, ended.after(HALF_LIFE)),
    );

    // 100 cores for 600 s, of which a part has decayed already.
    assert!((59_000..=60_000).contains(&before), "{before}");
    assert!((before / 2).abs_diff(after) <= 1, "{before} {after}");
}

#[test]
fn a_half_life_of_zero_turns_past_use_off() {
    let mut ledger = Ledger::new(Duration::ZERO);
    ledger.start(&name("heavy"), &cpu(1000 * CORE), START);
    let later = START.after(Duration::from_secs(36_000));

    let ratios = ledger.ratios(equal_weight, &cpu(1000 * CORE), later);

    assert_eq!(ratios, HashMap::new());
    assert_eq!(ledger.record(&cpu(CORE), later).teams, BTreeMap::new());
}

#[test]
fn a_deadline_moves_back_by_at_most_half_of_the_slack() {
    let slack = Duration::from_secs(10);

    let shifts =
        [0.0, 1.0, 2.0, 1e12, f64::INFINITY].map(|ratio| past::deadline_shift(slack, ratio));

    let expected = [0, 0, 2500, 5000, 5000].map(Duration::from_millis);
    for (shift, expected) in shifts.into_iter().zip(expected) {
        assert!(shift <= slack / 2);
        assert!(
            shift.abs_diff(expected) < Duration::from_millis(1),
            "{shift:?}"
        );
    }
}

/// Returns which of two checks starts first on the only free part of the pool, if that of the heavy
/// user comes `head_start` milliseconds before the other.
fn first_of_heavy_and_light(sim: &mut Simulation, head_start: u64) -> String {
    fill_pool(sim);
    check(sim, "heavy", 0);
    sim.run(head_start);
    check(sim, "light", 0);
    sim.run(900 - head_start);
    start_order(sim).swap_remove(32)
}

/// The operators found that shares were kept over seconds while some teams used far more over
/// hours: among equals, the job that came first was started first.
#[test]
fn among_equals_the_team_that_has_used_less_over_hours_starts_first() {
    let mut sim = shared_simulation(&[("heavy", 100.0), ("light", 100.0), ("busy", 100.0)]);
    restore_heavy_use(&mut sim);

    let first = first_of_heavy_and_light(&mut sim, 50);

    assert_eq!(first, "light-0");
}

/// The slack of a check is 650 ms, so that half of it is less than the head start.
#[test]
fn past_use_does_not_outweigh_more_than_half_of_the_slack() {
    let mut sim = shared_simulation(&[("heavy", 100.0), ("light", 100.0), ("busy", 100.0)]);
    restore_heavy_use(&mut sim);

    let first = first_of_heavy_and_light(&mut sim, 350);

    assert_eq!(first, "heavy-0");
}

#[test]
fn a_takeover_keeps_the_past_use_of_teams() {
    let mut sim = shared_simulation(&[("heavy", 100.0), ("light", 100.0), ("busy", 100.0)]);
    restore_heavy_use(&mut sim);
    let stored = sim.engine.usage_record(sim.now);
    let stored = serde_json::to_string(&stored).expect("a record is JSON");

    sim.take_over_from(true);
    let weights = [("heavy", 100.0), ("light", 100.0), ("busy", 100.0)];
    sim.engine.set_policy(shared_policy(&weights));
    let stored: past::Record = serde_json::from_str(&stored).expect("it was just encoded");
    sim.engine.restore_usage(&stored, sim.now);
    // The new owner waits until the workers have answered.
    sim.run(2000);

    let first = first_of_heavy_and_light(&mut sim, 50);

    assert_eq!(first, "light-0");
}

#[test]
fn the_record_of_a_thousand_teams_fits_into_64_kilobytes() {
    let mut ledger = Ledger::new(HALF_LIFE);
    let capacity = Resources {
        cpu_millis: 350 * 64 * CORE,
        memory_mib: 350 * 131_072,
        accelerators: 350 * 8,
    };
    // Each has used 100 times its part of the capacity, and names are as long as in the largest
    // deployment.
    for number in 0..1000 {
        let team = name(&format!("team-of-planners-{number:04}"));
        ledger.start(&team, &capacity.times(1), START);
    }
    let later = START.after(HALF_LIFE);

    let record = ledger.record(&capacity, later);

    let text = serde_json::to_string(&record).expect("a record is JSON");
    assert!(text.len() <= 64 * 1024, "{}", text.len());
    assert_eq!(record.teams.len(), 1000);
}

/// A row that the store refuses for its size would end the heartbeats.
#[test]
fn a_record_that_is_too_large_keeps_the_teams_that_have_used_most() {
    let mut ledger = Ledger::new(HALF_LIFE);
    for number in 0..3000 {
        let team = name(&format!("team-with-a-long-name-of-forty-bytes-{number:04}"));
        ledger.start(&team, &cpu((3000 - number) * CORE), START);
    }
    let later = START.after(HALF_LIFE);

    let record = ledger.record(&cpu(1_000_000 * CORE), later);

    let text = serde_json::to_string(&record).expect("a record is JSON");
    assert!(text.len() <= 64 * 1024, "{}", text.len());
    let kept = record.teams.len();
    let least = record.teams.values().map(|used| used[0]).min();
    let expected = ledger_of_one(3000 - kept as u64 + 1, later);
    assert!(kept > 500, "{kept}");
    assert_eq!(least, Some(expected));
}

/// Returns the core seconds of a team that has run tasks with `cores` from [`START`] to `at`.
fn ledger_of_one(cores: u64, at: Millis) -> u64 {
    let mut ledger = Ledger::new(HALF_LIFE);
    ledger.start(&name("team"), &cpu(cores * CORE), START);
    ledger.record(&cpu(CORE), at).teams["team"][0]
}

/// Returns the behaviour of a run: checks of the heavy user take 0.8 s, and those of others 0.6 to
/// 1 s, so that the tasks of the pool do not all end at once.
fn spread(task: &TaskId, _: u32) -> (u64, Outcome, u64) {
    let number = task.job.rsplit('-').next();
    let number: u64 = number.and_then(|text| text.parse().ok()).unwrap_or(0);
    let time = if task.job.starts_with("heavy") {
        800
    } else {
        600 + number * 70 % 410
    };
    (time, Outcome::Done, 8 * CORE)
}

/// A team that has used far more keeps its share while others flood the pool, and its checks within
/// the share are on time.
#[test]
fn a_team_with_much_past_use_is_not_starved_by_others() {
    let mut sim = shared_simulation(&[("heavy", 100.0), ("light", 100.0), ("busy", 100.0)]);
    sim.fleet.behaviour = spread;
    restore_heavy_use(&mut sim);
    for tick in 0..600 {
        check(&mut sim, "light", tick);
        check(&mut sim, "busy", tick);
        // A third of the pool runs 13 checks a second.
        if tick % 12 == 0 {
            check(&mut sim, "heavy", tick);
        }
        sim.run(10);
    }
    sim.run(1500);

    assert_eq!(on_time_by_team(&sim, &["heavy".to_owned()]), [1.0]);
}

#[test]
fn the_report_names_teams_over_their_share_and_above_twice_their_entitlement() {
    let mut sim = shared_simulation(&[("heavy", 100.0), ("light", 100.0), ("busy", 100.0)]);
    restore_heavy_use(&mut sim);
    fill_pool(&mut sim);
    for number in 100..110 {
        check(&mut sim, "light", number);
        check(&mut sim, "busy", number);
    }
    sim.run(100);

    let report = sim.engine.take_sharing_report(sim.now);
    let next = sim.engine.take_sharing_report(sim.now);

    let over_share: Vec<&str> = report.over_share.keys().map(|(_, team)| &**team).collect();
    let past_use: Vec<&str> = report.past_use.keys().map(|team| &**team).collect();
    assert_eq!((over_share, past_use), (vec!["busy"], vec!["heavy"]));
    assert_eq!(next.over_share, BTreeMap::new());
}
