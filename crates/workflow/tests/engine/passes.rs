//! What a scheduling pass visits.

use basilbridge_workflow::report::Outcome;

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

/// Passes of a full cell in which nothing changes between them.
const PASSES: u64 = 20;

/// A cell of 50 workers with four runs each, and with work that waits for capacity.
fn full_cell() -> Simulation {
    let names: Vec<String> = (0..50).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut sim = Simulation::new(&names, |_, _| (60_000, Outcome::Done, 14 * CORE));
    for number in 0..20 {
        let job = accepted(PLANS, sim.now, vec![step(13, 14 * CORE)]);
        sim.submit(&format!("plan{number}"), job);
    }
    let job = accepted(CHECKS, sim.now, vec![step(100, 14 * CORE)]);
    sim.submit("check", job);
    sim.run(500);
    sim
}

#[test]
fn passes_do_not_visit_the_runs_of_workers_that_have_not_changed() {
    let mut sim = full_cell();
    let runs = sim.engine.open_counts().1 as u64;
    let before = sim.engine.visited_runs();

    for _ in 0..PASSES {
        sim.now.0 += 10;
        sim.engine.tick(sim.now);
        sim.engine.schedule(sim.now);
    }

    assert!(runs >= 150);
    // The time of each pass grows with the runs that it visits; all of them were visited several times
    // by each.
    assert!(sim.engine.visited_runs() - before <= runs);
}

#[test]
fn a_queue_that_a_new_policy_makes_the_most_urgent_may_preempt() {
    // The most urgent queue of a pool is found once for each policy, not for each worker.
    let mut sim = Simulation::new(&["w1"], |_, _| (60_000, Outcome::Done, 60 * CORE));
    let mut plan = step(1, 40 * CORE);
    plan.checkpoints = true;
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan]));
    sim.run(200);
    let mut policy = sim.policy.clone();
    policy.queues.remove(CHECKS);
    policy.queues.retain(|_, queue| *queue.name == *PLANS);
    sim.engine.set_policy(policy);
    sim.run(100);
    let before = sim.starts_of("check");

    sim.engine.set_policy(sim.policy.clone());
    sim.submit("check", accepted(CHECKS, sim.now, vec![step(1, 60 * CORE)]));
    sim.run(1500);

    assert_eq!((before, sim.starts_of("check")), (0, 1));
}

#[test]
fn a_changed_policy_is_seen_by_the_next_pass() {
    let mut sim = full_cell();
    let before = sim.engine.visited_runs();
    let runs = sim.engine.open_counts().1 as u64;

    sim.engine.set_policy(sim.policy.clone());
    sim.now.0 += 10;
    sim.engine.schedule(sim.now);

    assert_eq!(sim.engine.visited_runs() - before, runs);
}
