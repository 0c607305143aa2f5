//! Workers whose capacity shrinks and grows while they run tasks.

use basilbridge_common::unit::Millis;
use basilbridge_workflow::{
    event::{
        Cause,
        Event, //
    },
    job::{
        State,
        TaskId, //
    },
    report::Outcome,
    reserve, //
};

use crate::{
    simulation::{
        Link,
        Simulation, //
    },
    util::{
        CHECKS,
        PLANS,
        WORKER_CPU,
        accepted,
        cpu,
        entry,
        step, //
    },
};

const CORE: u64 = 1000;

fn heavy(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (1000, Outcome::Done, 20 * CORE)
}

fn long_and_heavy(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (60_000, Outcome::Done, 20 * CORE)
}

#[test]
fn no_task_starts_on_a_worker_that_has_shrunk_below_its_runs() {
    let mut sim = Simulation::new(&["w1"], heavy);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(2, 20 * CORE)]));
    sim.run(100);

    sim.resize("w1", 30 * CORE);
    sim.submit("j2", accepted(CHECKS, sim.now, vec![step(2, 20 * CORE)]));
    sim.run(500);
    let beside = sim.starts_of("j2");
    sim.run(3000);

    assert_eq!(beside, 0);
    assert_eq!(sim.state("j2"), State::Completed);
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

/// Issue 27, LIMIT: a worker takes few orders at once, so a start can wait in the owner for seconds.
#[test]
fn a_start_that_waits_to_be_sent_is_withheld_if_its_worker_shrinks() {
    let mut sim = Simulation::new(&["w1"], heavy);
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(3, 20 * CORE)]));
    sim.run_on(20, |_| Link::Queued);

    sim.resize("w1", 45 * CORE);
    sim.send_queued();
    let started = sim.starts_of("j1");
    sim.run(5000);

    assert_eq!(started, 2);
    assert_eq!(sim.state("j1"), State::Completed);
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

#[test]
fn a_start_that_waits_to_be_sent_is_withheld_if_its_job_is_cancelled() {
    let mut sim = Simulation::new(&["w1"], heavy);
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(2, 20 * CORE)]));
    sim.run_on(20, |_| Link::Queued);

    sim.engine.cancel("j1", sim.now);
    sim.send_queued();
    sim.run(1000);

    assert_eq!(sim.starts_of("j1"), 0);
    assert_eq!(sim.state("j1"), State::Cancelled);
    assert!(sim.engine.job("j1").is_none());
}

#[test]
fn a_start_that_waits_to_be_sent_is_withheld_if_its_worker_begins_to_leave() {
    let mut sim = Simulation::new(&["w1", "w2"], heavy);
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, 20 * CORE)]));
    sim.run_on(20, |_| Link::Queued);
    let worker = sim.engine.worker("w1").expect("it is listed");
    let (leaving, other) = if worker.runs.is_empty() {
        ("w2", "w1")
    } else {
        ("w1", "w2")
    };

    let mut info = sim
        .engine
        .worker(leaving)
        .expect("it is listed")
        .info
        .clone();
    info.leaving = true;
    sim.engine.register_worker(info, sim.now);
    sim.send_queued();
    sim.run(2000);

    let workers: Vec<&str> = sim.fleet.starts.iter().map(|start| &*start.3).collect();
    assert_eq!(workers, [other]);
}

/// The room that a stop would free is counted from what the worker has, not from nothing.
#[test]
fn no_run_is_preempted_where_the_shrunk_capacity_still_would_not_do() {
    let mut sim = Simulation::new(&["w1"], long_and_heavy);
    let mut plan = step(3, 20 * CORE);
    plan.checkpoints = true;
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan]));
    sim.run(100);

    sim.resize("w1", 10 * CORE);
    sim.submit("check", accepted(CHECKS, sim.now, vec![step(1, 20 * CORE)]));
    sim.run(500);

    let preempted = sim.events.iter().filter(|event| {
        matches!(
            event,
            Event::Stop {
                cause: Cause::Preempted,
                ..
            }
        )
    });
    assert_eq!(preempted.count(), 0);
}

#[test]
fn a_worker_that_has_grown_again_is_filled_again() {
    let mut sim = Simulation::new(&["w1"], heavy);
    sim.resize("w1", 5 * CORE);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(3, 20 * CORE)]));
    sim.run(1000);
    let while_small = sim.starts_of("j1");

    sim.resize("w1", WORKER_CPU);
    sim.run(100);

    assert_eq!((while_small, sim.starts_of("j1")), (0, 3));
}

#[test]
fn absurd_amounts_of_an_entry_or_a_job_are_refused() {
    // They would saturate the sums of a pool, or wrap them.
    let mut huge_worker = entry("w1", 1);
    huge_worker.capacity.memory_mib = u64::MAX;
    let huge_task = accepted(CHECKS, Millis(0), vec![step(1, u64::MAX)]);
    let all = cpu(u64::MAX);

    assert!(entry("w1", 1).check().is_ok());
    assert!(huge_worker.check().is_err());
    assert!(huge_task.spec.check().is_err());
    assert!(!reserve::admits(&cpu(64_000), &cpu(64_000), &all));
}
