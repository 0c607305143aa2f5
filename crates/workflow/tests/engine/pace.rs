//! Workers that turn slow: which ones are found, and what is moved away from them.

use std::time::Duration;

use basilbridge_common::id::Name;
use basilbridge_workflow::{
    event::{
        Cause,
        Event, //
    },
    job::{
        State,
        TaskId, //
    },
    pace::{
        self,
        Durations, //
    },
    report::Outcome,
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        PLANS,
        accepted,
        step, //
    },
};

const CORE: u64 = 1000;
const WORKERS: [&str; 12] = [
    "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9", "w10", "w11", "w12",
];

/// The slowdown of the users' fault scenarios, in percent.
const SLOWNESS: u64 = 875;

fn regular(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (800, Outcome::Done, 14 * CORE)
}

/// The time of a task is 0.1 to 1.9 times its estimate, depending on its job.
fn irregular(task: &TaskId, _: u32) -> (u64, Outcome, u64) {
    let number: u64 = task.job[1..].parse().unwrap_or_default();
    (80 + 720 * (number % 3), Outcome::Done, 14 * CORE)
}

/// Submits jobs of ten tasks, four a second, for `millis`.
fn submit_for(sim: &mut Simulation, millis: u64) {
    const INTERVAL: u64 = 250;
    for _ in 0..millis / INTERVAL {
        let id = format!("j{}", sim.jobs.len());
        let job = accepted(CHECKS, sim.now, vec![step(10, 14 * CORE)]);
        sim.submit(&id, job);
        sim.run(INTERVAL);
    }
}

/// Returns how many jobs from number `first` on have ended within `limit`.
fn ended_within(sim: &Simulation, first: usize, limit: Duration) -> usize {
    let ended = sim.events.iter().filter(|event| match event {
        Event::Final {
            job,
            state: State::Completed,
            elapsed,
            ..
        } => {
            job[1..]
                .parse::<usize>()
                .is_ok_and(|number| number >= first)
                && *elapsed <= limit
        }
        _ => false,
    });
    ended.count()
}

fn moved(sim: &Simulation) -> usize {
    let stops = sim.events.iter().filter(|event| {
        matches!(
            event,
            Event::Stop {
                cause: Cause::Slow,
                ..
            }
        )
    });
    stops.count()
}

fn set_slowness(sim: &mut Simulation, names: &[&str], slowness: u64) {
    for name in names {
        let name = Name::from(*name);
        let worker = sim.fleet.workers.get_mut(&name).expect("it is there");
        worker.slowness = slowness;
    }
}

/// The pattern of the standard day scale-1 of the large Spine & Leaf site: 9 % of the workers are
/// 8.75 times slower for 8 s.
#[test]
fn jobs_are_in_time_beside_a_worker_that_has_turned_slow() {
    let mut sim = Simulation::new(&WORKERS, regular);
    submit_for(&mut sim, 5000);
    let first = sim.jobs.len();
    set_slowness(&mut sim, &["w3"], SLOWNESS);

    submit_for(&mut sim, 8000);
    set_slowness(&mut sim, &["w3"], 100);
    sim.run(4000);

    let in_time = ended_within(&sim, first, Duration::from_millis(2400));
    assert!(in_time * 10 >= (sim.jobs.len() - first) * 9, "{in_time}");
    assert!(moved(&sim) > 0);
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

#[test]
fn nothing_is_moved_if_all_workers_turn_slow() {
    let mut sim = Simulation::new(&WORKERS, regular);
    submit_for(&mut sim, 5000);
    set_slowness(&mut sim, &WORKERS, 400);

    submit_for(&mut sim, 5000);
    sim.run(20_000);

    assert_eq!(moved(&sim), 0);
    assert_eq!(ended_within(&sim, 0, Duration::MAX), sim.jobs.len());
}

#[test]
fn nothing_is_moved_if_estimates_are_far_off() {
    let mut sim = Simulation::new(&WORKERS, irregular);

    submit_for(&mut sim, 10_000);
    sim.run(5000);

    assert_eq!(moved(&sim), 0);
    assert_eq!(ended_within(&sim, 0, Duration::MAX), sim.jobs.len());
}

#[test]
fn a_worker_that_is_slow_by_turns_runs_nothing_twice() {
    let mut sim = Simulation::new(&WORKERS, regular);
    submit_for(&mut sim, 5000);

    for turn in 0..6 {
        let slowness = if turn % 2 == 0 { SLOWNESS } else { 100 };
        set_slowness(&mut sim, &["w3"], slowness);
        submit_for(&mut sim, 1500);
    }
    sim.run(10_000);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
    assert_eq!(ended_within(&sim, 0, Duration::MAX), sim.jobs.len());
}

#[test]
fn a_task_near_its_end_is_not_moved() {
    let here = Duration::from_millis(7000);
    let elsewhere = Duration::from_millis(800);

    assert!(pace::should_move(10.0, here, elsewhere));
    assert!(!pace::should_move(80.0, here, elsewhere));
}

#[test]
fn a_few_slow_runs_do_not_make_slowness_usual() {
    let estimate = Duration::from_millis(800);
    let mut durations = Durations::default();
    for run in 0..200 {
        let factor = if run % 11 == 0 { 9 } else { 1 };
        durations.record(estimate * factor, estimate);
    }

    assert!(durations.is_slow(estimate * 9, estimate));
    assert!(!durations.is_slow(estimate * 2, estimate));
}

/// Workers of three kinds, of which the slowest takes 1.6 times as long as the fastest. The slack of
/// an urgent job is half of its work, so on a slow worker any further delay makes it late.
#[test]
fn urgent_jobs_run_on_the_fast_workers_and_long_ones_leave_those_free() {
    const FAST: [&str; 4] = ["w1", "w4", "w7", "w10"];
    const SLOW: [&str; 4] = ["w3", "w6", "w9", "w12"];
    let mut sim = Simulation::new(&WORKERS, regular);
    set_slowness(&mut sim, &FAST, 80);
    set_slowness(&mut sim, &SLOW, 125);
    submit_for(&mut sim, 5000);
    sim.run(2000);
    sim.events.clear();

    for number in 0..20 {
        let long = accepted(PLANS, sim.now, vec![step(2, 14 * CORE)]);
        sim.submit(&format!("p{number}"), long);
        let urgent = accepted(CHECKS, sim.now, vec![step(4, 14 * CORE)]);
        sim.submit(&format!("u{number}"), urgent);
        sim.run(250);
    }
    sim.run(2000);

    let ends_on = |job: char, workers: &[&str]| {
        let ends = sim.events.iter().filter(|event| {
            matches!(event, Event::End { task, worker, .. }
                if task.job.starts_with(job) && workers.contains(&&**worker))
        });
        ends.count()
    };
    assert_eq!(ends_on('u', &FAST), 80);
    assert_eq!(ends_on('p', &FAST), 0);
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}
