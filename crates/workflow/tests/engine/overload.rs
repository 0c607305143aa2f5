//! Placement under overload, where not all work fits.

use std::time::Duration;

use basilbridge_workflow::{
    event::Event,
    job::TaskId,
    policy::AdviceSettings,
    report::Outcome, //
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        PLANS,
        TEAM,
        accepted,
        policy,
        queue,
        step, //
    },
};

const CORE: u64 = 1000;

/// Returns the behaviour of a run: tasks of plans take 20 s, those of checks 0.8 s.
fn by_job(task: &TaskId, _: u32) -> (u64, Outcome, u64) {
    if task.job.starts_with("plan") {
        (20_000, Outcome::Done, 8 * CORE)
    } else {
        (800, Outcome::Done, 4 * CORE)
    }
}

fn plan(sim: &mut Simulation, number: usize, tasks: u32) {
    let mut long = step(tasks, 8 * CORE);
    long.estimate = Duration::from_secs(20);
    long.checkpoints = true;
    let job = accepted(PLANS, sim.now, vec![long]);
    sim.submit(&format!("plan{number}"), job);
}

fn check(sim: &mut Simulation, number: usize, tasks: u32) {
    let job = accepted(CHECKS, sim.now, vec![step(tasks, 4 * CORE)]);
    sim.submit(&format!("check{number}"), job);
}

fn longest_wait(sim: &Simulation, prefix: &str) -> Duration {
    let waits = sim.events.iter().filter_map(|event| match event {
        Event::Start { task, waited, .. } if task.job.starts_with(prefix) => Some(*waited),
        _ => None,
    });
    waits.max().unwrap_or_default()
}

#[test]
fn a_burst_of_checks_starts_at_once_beside_long_tasks() {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], by_job);
    for number in 0..10 {
        plan(&mut sim, number, 8);
    }
    sim.run(500);

    for number in 0..8 {
        check(&mut sim, number, 1);
    }
    sim.run(1000);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
    assert!(longest_wait(&sim, "check") <= Duration::from_millis(20));
}

#[test]
fn checks_beyond_the_reserve_preempt_long_tasks_with_checkpoints() {
    let mut sim = Simulation::new(&["w1", "w2"], by_job);
    for number in 0..10 {
        plan(&mut sim, number, 8);
    }
    sim.run(500);

    for number in 0..10 {
        check(&mut sim, number, 2);
    }
    sim.run(1500);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
    // A stop takes 300 ms to take effect on these workers.
    assert!(longest_wait(&sim, "check") <= Duration::from_millis(400));
}

#[test]
fn long_tasks_leave_part_of_the_cap_of_their_team_for_checks() {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], by_job);
    sim.engine.set_policy(policy(64 * CORE));
    for number in 0..4 {
        plan(&mut sim, number, 8);
    }
    sim.run(500);

    check(&mut sim, 0, 2);
    sim.run(500);

    assert!(longest_wait(&sim, "check") <= Duration::from_millis(20));
}

#[test]
fn checks_of_a_team_at_its_cap_preempt_its_own_long_tasks() {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], by_job);
    sim.engine.set_policy(policy(64 * CORE));
    for number in 0..4 {
        plan(&mut sim, number, 8);
    }
    sim.run(500);

    check(&mut sim, 0, 6);
    sim.run(2000);

    assert!(longest_wait(&sim, "check") <= Duration::from_millis(400));
    let used = sim.engine.used_by(TEAM).cpu_millis;
    assert!(used <= 64 * CORE);
}

#[test]
fn no_advice_is_requested_for_work_that_the_cap_of_its_team_blocks() {
    let mut sim = Simulation::new(&["w1", "w2"], by_job);
    let mut limited = policy(2 * CORE);
    let advice = AdviceSettings {
        per_call: Duration::from_millis(23),
        per_worker: Duration::from_micros(320),
        ticket_lifetime: Duration::from_millis(2500),
    };
    let checks = queue(CHECKS, 0, Some(advice));
    limited.queues.insert(checks.name.clone(), checks);
    sim.engine.set_policy(limited);

    check(&mut sim, 0, 1);
    sim.run(500);

    assert_eq!(sim.requests.len(), 0);
}
