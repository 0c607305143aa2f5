//! Workers whose capacity shrinks and grows while they run tasks.

use std::time::Duration;

use basilbridge_common::unit::Millis;
use basilbridge_workflow::{
    capacity,
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
        POOL,
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

/// Capacities count for 3 s and a heartbeat after they have shrunk.
const BOUNDS: capacity::Bounds = capacity::Bounds {
    lifetime: Duration::from_secs(3),
    heartbeat: Duration::from_millis(1500),
};

/// Time by which starts are sent earlier.
const MARGIN: Duration = Duration::from_millis(200);

/// Stands for a store that was never silent.
const NEVER: Millis = Millis(0);

/// Returns a cell whose owner has learned the list of workers at its start and does not learn it
/// again.
fn cell_with_silent_list() -> Simulation {
    let mut sim = Simulation::new(&["w1"], heavy);
    sim.settings.capacity = Some(BOUNDS);
    sim.take_over_from(true);
    sim.engine.confirm_capacities(sim.now, NEVER);
    sim.run(100);
    sim
}

/// Issue 56, LIMIT: a worker had shrunk while the list of workers could not be read, and tasks went
/// on to start by the capacity of before.
#[test]
fn no_task_starts_by_a_capacity_that_may_have_shrunk_long_ago() {
    let mut sim = cell_with_silent_list();
    let listed_at = sim.now;
    sim.submit("early", accepted(CHECKS, sim.now, vec![step(1, 20 * CORE)]));
    sim.run(100);

    sim.run(3000);
    sim.submit("late", accepted(CHECKS, sim.now, vec![step(1, 20 * CORE)]));
    sim.run(1000);
    let by_old = sim.starts_of("late");
    sim.engine.confirm_capacities(listed_at, NEVER);
    sim.run(100);
    let by_older = sim.starts_of("late");
    sim.engine.confirm_capacities(sim.now, NEVER);
    sim.run(100);

    assert_eq!(sim.starts_of("early"), 1);
    assert_eq!((by_old, by_older), (0, 0));
    assert_eq!(sim.starts_of("late"), 1);
}

/// The store was back, and workers had not told yet what had changed while it was silent.
#[test]
fn no_task_starts_by_a_list_that_workers_could_not_write_to() {
    let mut sim = cell_with_silent_list();
    sim.run(5000);
    let returned_at = sim.now;
    sim.submit("late", accepted(CHECKS, sim.now, vec![step(1, 20 * CORE)]));

    sim.run(1400);
    sim.engine.confirm_capacities(sim.now, returned_at);
    sim.run(90);
    let early = sim.starts_of("late");
    sim.run(10);
    sim.engine.confirm_capacities(sim.now, returned_at);
    sim.run(100);

    assert_eq!(early, 0);
    assert_eq!(sim.starts_of("late"), 1);
}

/// A start that waited for other orders was sent when its capacity was too old.
#[test]
fn a_start_that_waits_is_not_sent_by_a_capacity_that_may_have_shrunk_long_ago() {
    let mut sim = cell_with_silent_list();
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, 20 * CORE)]));
    sim.run_on(20, |_| Link::Queued);

    sim.now = sim.now.after(BOUNDS.lifetime);
    sim.send_queued();

    assert_eq!(sim.starts_of("j1"), 0);
}

/// Workers that refuse what exceeds their capacity got no work in an outage of the store.
#[test]
fn tasks_start_by_old_capacities_where_workers_guard_them() {
    let mut sim = cell_with_silent_list();
    sim.policy.guarded_pools.insert(POOL.into());
    sim.engine.set_policy(sim.policy.clone());

    sim.run(10_000);
    sim.submit("late", accepted(CHECKS, sim.now, vec![step(1, 20 * CORE)]));
    sim.run(100);

    assert_eq!(sim.starts_of("late"), 1);
}

#[test]
fn a_capacity_is_outdated_before_the_time_for_which_a_larger_one_counts_is_over() {
    let told_at = Millis(1_000_000);
    let after = |duration| BOUNDS.is_outdated(told_at, told_at.after(duration));

    let last = BOUNDS.lifetime - MARGIN;
    assert!(!after(last - Duration::from_millis(1)));
    assert!(after(last));
}
