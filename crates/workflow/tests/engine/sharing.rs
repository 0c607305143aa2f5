//! Sharing of a pool between teams under overload.

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
    event::Event,
    job::{
        Accepted,
        TaskId, //
    },
    policy::{
        Policy,
        Team, //
    },
    report::Outcome,
    sharing::{
        current::{
            self,
            Capacity,
            Usage,
            Waiting, //
        },
        past, //
    },
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        LONG_RUNNING,
        accepted,
        cpu,
        name,
        policy,
        step, //
    },
};

pub(crate) const CORE: u64 = 1000;

/// Returns the queues of [`policy`] and teams with these weights, which are high enough that no job
/// is in excess of a rate.
pub(crate) fn shared_policy(weights: &[(&str, f64)]) -> Policy {
    let teams = weights.iter().map(|(team, weight)| Team {
        name: name(team),
        weight: *weight,
        cap: cpu(0),
    });
    Policy {
        teams: teams.map(|team| (team.name.clone(), team)).collect(),
        ..policy(0)
    }
}

/// Returns the behaviour of a run: tasks take 0.8 s and 8 cores, those of plans 5 s.
fn by_job(task: &TaskId, _: u32) -> (u64, Outcome, u64) {
    let time = if task.job.starts_with("plan") {
        5000
    } else {
        800
    };
    (time, Outcome::Done, 8 * CORE)
}

/// Returns four workers that run 32 tasks at once.
pub(crate) fn shared_simulation(weights: &[(&str, f64)]) -> Simulation {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], by_job);
    sim.engine.set_policy(shared_policy(weights));
    sim
}

pub(crate) fn job(sim: &Simulation, queue: &str, team: &str) -> Accepted {
    Accepted {
        team: Some(name(team)),
        ..accepted(queue, sim.now, vec![step(1, 8 * CORE)])
    }
}

pub(crate) fn check(sim: &mut Simulation, team: &str, number: usize) {
    let job = job(sim, CHECKS, team);
    sim.submit(&format!("{team}-{number}"), job);
}

/// Returns the order in which jobs were first started.
pub(crate) fn start_order(sim: &Simulation) -> Vec<String> {
    let starts = sim.fleet.starts.iter();
    starts.map(|(_, task, ..)| task.job.to_string()).collect()
}

fn starts_with(sim: &Simulation, prefix: &str) -> usize {
    let started = start_order(sim);
    started.iter().filter(|job| job.starts_with(prefix)).count()
}

fn longest_wait(sim: &Simulation, prefix: &str) -> Duration {
    let waits = sim.events.iter().filter_map(|event| match event {
        Event::Start { task, waited, .. } if task.job.starts_with(prefix) => Some(*waited),
        _ => None,
    });
    waits.max().unwrap_or_default()
}

/// Makes the engine know that `heavy` has used the whole pool for hours and `light` nothing.
pub(crate) fn restore_heavy_use(sim: &mut Simulation) {
    let record = past::Record {
        at: sim.now,
        teams: [
            (name("heavy"), [256 * 3600, 0, 0]),
            (name("light"), [1, 0, 0]),
        ]
        .into(),
    };
    sim.engine.restore_usage(&record, sim.now);
}

/// Fills the pool with tasks of a third team, of which one ends after 0.8 s and the others much
/// later.
pub(crate) fn fill_pool(sim: &mut Simulation) {
    check(sim, "busy", 0);
    for number in 1..32 {
        let long = job(sim, CHECKS, "busy");
        sim.submit(&format!("plan-busy-{number}"), long);
    }
    sim.run(50);
}

/// A team that sent 200 checks at once took all workers for as long as its checks were on time, so
/// that the few checks of another team were late.
#[test]
fn a_team_within_its_share_starts_before_one_that_floods_the_pool() {
    let mut sim = shared_simulation(&[("flood", 100.0), ("light", 100.0)]);
    for number in 0..200 {
        check(&mut sim, "flood", number);
    }
    sim.run(400);

    for number in 0..8 {
        check(&mut sim, "light", number);
    }
    sim.run(600);

    assert_eq!(starts_with(&sim, "light"), 8);
    // The first tasks of the other team end 800 ms after they have started.
    assert!(longest_wait(&sim, "light") <= Duration::from_millis(450));
}

/// Two teams that both send more than fits would be served by the number of their jobs.
#[test]
fn teams_that_both_send_too_much_are_served_by_weight() {
    let mut sim = shared_simulation(&[("heavy", 300.0), ("light", 100.0)]);
    for number in 0..600 {
        check(&mut sim, "heavy", number);
        check(&mut sim, "light", number);
        sim.run(10);
        // The pool was empty at first, so that all jobs of the first second fitted.
        if number == 200 {
            sim.fleet.starts.clear();
        }
    }

    let (heavy, light) = (starts_with(&sim, "heavy"), starts_with(&sim, "light"));
    let ratio = heavy as f64 / light as f64;

    assert!((2.7..=3.3).contains(&ratio), "{heavy} to {light}");
}

#[test]
fn the_order_is_that_of_deadlines_while_all_work_fits() {
    let mut sim = shared_simulation(&[("first", 1.0), ("second", 100.0)]);
    for number in 0..4 {
        check(&mut sim, "first", number);
    }
    check(&mut sim, "second", 0);
    check(&mut sim, "first", 4);

    sim.run(50);

    let expected = [
        "first-0", "first-1", "first-2", "first-3", "second-0", "first-4",
    ];
    assert_eq!(start_order(&sim), expected);
}

/// The slack of jobs differs, so past use would change the order of a team's own jobs.
#[test]
fn the_order_is_that_of_deadlines_while_one_team_waits() {
    let mut sim = shared_simulation(&[("heavy", 100.0), ("light", 100.0), ("busy", 100.0)]);
    restore_heavy_use(&mut sim);
    fill_pool(&mut sim);
    let estimated = |sim: &Simulation, seconds: u64, ago_ms: u64| {
        let mut job = job(sim, CHECKS, "heavy");
        job.spec.steps[0].estimate = Duration::from_secs(seconds);
        job.accepted_at = Millis(sim.now.0 - ago_ms);
        job
    };
    // The first has to end 200 ms before the second and has 2.5 s more slack.
    let jobs = [estimated(&sim, 10, 7700), estimated(&sim, 5, 0)];

    for (number, job) in jobs.into_iter().enumerate() {
        sim.submit(&format!("heavy-{number}"), job);
    }
    sim.run(900);

    assert_eq!(start_order(&sim)[32..], ["heavy-0"]);
}

/// A long-running task has to run again within seconds, whatever its team uses.
#[test]
fn long_running_tasks_are_not_ordered_by_share() {
    let mut sim = shared_simulation(&[("busy", 1.0), ("idle", 100.0)]);
    fill_pool(&mut sim);
    for team in ["busy", "idle"] {
        let mut long = job(&sim, LONG_RUNNING, team);
        long.spec.steps[0].long_running = true;
        sim.submit(&format!("plan-lasting-{team}"), long);
        sim.run(50);
    }

    sim.run(800);

    assert_eq!(start_order(&sim)[32..], ["plan-lasting-busy"]);
}

/// A team at its cap can't start what waits, so it is not in competition with the others.
#[test]
fn a_team_that_its_cap_holds_back_does_not_change_the_order_of_others() {
    let mut sim = shared_simulation(&[("capped", 100.0), ("free", 1.0)]);
    let mut limited = shared_policy(&[("capped", 100.0), ("free", 1.0)]);
    if let Some(team) = limited.teams.get_mut("capped") {
        team.cap = cpu(8 * CORE);
    }
    sim.engine.set_policy(limited);
    for number in 0..10 {
        check(&mut sim, "capped", number);
    }
    for number in 0..31 {
        check(&mut sim, "free", number);
    }
    sim.run(20);
    sim.engine.take_sharing_report(sim.now);

    for number in 31..60 {
        check(&mut sim, "free", number);
    }
    sim.run(100);

    let report = sim.engine.take_sharing_report(sim.now);
    assert_eq!(report.over_share, BTreeMap::new());
}

fn memory(cpu_millis: u64, memory_mib: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mib,
        accelerators: 0,
    }
}

/// Returns which of `stages` belong to teams over their share, of equal weight.
fn over_share(
    stages: &[(&Name, Resources)],
    used: &[(&Name, Resources)],
    capacity: &Capacity,
) -> Vec<bool> {
    let stages: Vec<Waiting<'_>> = stages
        .iter()
        .map(|(team, task)| Waiting {
            team: Some(team),
            task: *task,
            tasks: 1,
            over_quota: false,
            ordered_by_share: true,
        })
        .collect();
    let used: HashMap<Name, Usage> = used
        .iter()
        .map(|(team, used)| {
            let usage = Usage {
                within_rate: *used,
                ..Usage::default()
            };
            ((*team).clone(), usage)
        })
        .collect();
    let places = current::order(&stages, &used, &[], |_| Some(1.0), capacity);
    places.iter().map(|place| place.excess.is_some()).collect()
}

/// On workers of 16 cores, tasks of 4.5 cores leave 2.5 cores that nobody can use. Shares of the
/// whole capacity would then never be exceeded, although one team has more than the other.
#[test]
fn capacity_that_no_task_can_use_is_no_part_of_the_shares() {
    let (large, small) = (name("large"), name("small"));
    let task = memory(4500, 4813);
    let capacity = Capacity {
        total: memory(16_000, 32_768).times(10),
        in_use: task.times(30),
        usable: Resources::default(),
    };
    let used = [(&large, task.times(16)), (&small, task.times(14))];

    let over = over_share(&[(&large, task), (&small, task)], &used, &capacity);

    assert_eq!(over, [true, false]);
}

#[test]
fn a_team_that_holds_most_of_the_memory_is_over_its_share() {
    let (memory_team, cpu_team) = (name("memory"), name("cpu"));
    let task = memory(2000, 8192);
    let capacity = Capacity {
        total: memory(16_000, 32_768).times(10),
        in_use: memory(100_000, 300_000),
        usable: Resources::default(),
    };
    let used = [
        (&memory_team, memory(20_000, 220_000)),
        (&cpu_team, memory(70_000, 80_000)),
    ];

    let over = over_share(&[(&memory_team, task), (&cpu_team, task)], &used, &capacity);

    assert_eq!(over, [true, false]);
}

/// Returns whether the next stage of `first` is over its share of 32 tasks, while `second` has
/// `others` runs and a stage that waits. The remaining tasks are runs of `first` in excess of its
/// rate.
fn is_over_with_excess(within_rate: u64, others: u64, over_quota: bool) -> bool {
    let (first, second) = (name("first"), name("second"));
    let task = memory(8000, 64);
    let stage = |team, over_quota| Waiting {
        team: Some(team),
        task,
        tasks: 1,
        over_quota,
        ordered_by_share: true,
    };
    let usage = |within_rate, over_quota| Usage {
        within_rate: task.times(within_rate),
        over_quota: task.times(over_quota),
    };
    let used = [
        (first.clone(), usage(within_rate, 32 - within_rate - others)),
        (second.clone(), usage(others, 0)),
    ];
    let total = task.times(32);
    let capacity = Capacity {
        total,
        in_use: total,
        usable: Resources::default(),
    };
    let stages = [stage(&first, over_quota), stage(&second, false)];
    let places = current::order(&stages, &used.into(), &[], |_| Some(1.0), &capacity);
    places[0].excess.is_some()
}

/// The backlog of an overload delayed what the team sent within its rate afterwards, also where the
/// runs of all teams within their rates left more than its part by weight.
#[test]
fn runs_in_excess_of_a_rate_count_only_for_work_in_excess() {
    assert!(!is_over_with_excess(12, 10, false));
    assert!(is_over_with_excess(12, 10, true));
}

/// A team at its part by weight waited behind the others for capacity that they did not want.
#[test]
fn work_within_a_rate_may_have_what_the_others_leave() {
    // Beside 10 tasks of the other team and the one that waits, 21 are left.
    assert!(!is_over_with_excess(20, 10, false));
    assert!(is_over_with_excess(21, 10, false));
}

/// One pass places hundreds of stages, so a team with no runs could take the whole pool in it.
#[test]
fn stages_earlier_in_the_order_count_as_use_of_their_team() {
    let (first, second) = (name("first"), name("second"));
    let task = memory(8000, 64);
    let capacity = Capacity {
        total: memory(64_000, 131_072),
        in_use: Resources::default(),
        usable: memory(64_000, 131_072),
    };
    let mut stages = vec![(&first, task); 8];
    stages.extend(vec![(&second, task); 8]);

    let over = over_share(&stages, &[], &capacity);

    // Each team has its share with four of the eight tasks that fit.
    let expected: Vec<bool> = (0..16).map(|at| at % 8 >= 4).collect();
    assert_eq!(over, expected);
}

/// Returns the part of each team's checks that ended on time, in ascending order.
pub(crate) fn on_time_by_team(sim: &Simulation, teams: &[String]) -> Vec<f64> {
    let mut on_time: HashMap<&str, usize> = HashMap::new();
    for event in &sim.events {
        if let Event::Final {
            job,
            elapsed,
            objective,
            ..
        } = event
            && elapsed <= objective
            && let Some((team, _)) = job.split_once('-')
        {
            *on_time.entry(team).or_default() += 1;
        }
    }
    let part = |team: &String| {
        let prefix = format!("{team}-");
        let sent = sim.jobs.keys().filter(|id| id.starts_with(&prefix));
        let on_time = on_time.get(team.as_str()).copied().unwrap_or_default();
        on_time as f64 / sent.count() as f64
    };
    let mut parts: Vec<f64> = teams.iter().map(part).collect();
    parts.sort_by(f64::total_cmp);
    parts
}

/// The load of the first deployment: one of 20 teams sends 6 times its usual load for 6 s. Without
/// shares, 70.6 % of the checks of the worst tenth of the other teams were on time, although what
/// they sent was owed to them.
#[test]
fn one_team_that_sends_six_times_its_load_makes_no_tenth_of_the_others_late() {
    let teams: Vec<String> = (0..20).map(|number| format!("team{number:02}")).collect();
    let weights: Vec<(&str, f64)> = teams.iter().map(|team| (team.as_str(), 100.0)).collect();
    let mut sim = shared_simulation(&weights);
    let mut number = 0;
    let mut send = |sim: &mut Simulation, team: &str| {
        number += 1;
        check(sim, team, number);
    };
    // Each team sends a check of 0.8 s every 560 ms, which is 89 % of the 32 tasks that fit.
    for tick in 0..1000 {
        for (at, team) in teams.iter().enumerate() {
            if (tick + at * 14 / 5) % 56 == 0 {
                send(&mut sim, team);
            }
        }
        if (200..800).contains(&tick) && tick % 11 == 0 {
            send(&mut sim, &teams[0]);
        }
        sim.run(10);
    }
    sim.run(4000);

    let others = on_time_by_team(&sim, &teams[1..]);
    let worst_tenth = others[..2].iter().sum::<f64>() / 2.0;

    assert!(worst_tenth >= 0.99, "{others:?}");
}
