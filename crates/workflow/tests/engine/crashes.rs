//! Workers that crash: which task is to blame, and how soon the others run again.

use std::time::Duration;

use basilbridge_workflow::{
    job::{
        State,
        TaskId, //
    },
    report::Outcome, //
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        LONG_RUNNING,
        accepted,
        entry,
        name,
        step, //
    },
};

const CORE: u64 = 1000;

/// Crashes after which a task may be started twice more, from the users' rules.
const CRASH_BUDGET: usize = 3;

/// Time after its last run within which a long-running task runs again, from the users' rules.
const RESTART_TIME: Duration = Duration::from_secs(6);

fn quick(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (200, Outcome::Done, CORE)
}

fn endless(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (1_000_000, Outcome::Done, CORE)
}

fn is_deadly(task: &TaskId) -> bool {
    task.job.starts_with("deadly") && task.index == 0
}

fn first_task(job: &str) -> TaskId {
    TaskId {
        job: job.into(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// Returns a simulation of six workers on which tasks behave like `behaviour`, except that the first
/// task of each job whose name begins with `deadly` crashes its worker.
fn deadly_simulation(behaviour: fn(&TaskId, u32) -> (u64, Outcome, u64)) -> Simulation {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4", "w5", "w6"], behaviour);
    sim.fleet.is_deadly = is_deadly;
    sim.run(50);
    sim
}

/// Issue 27, found on the day `deadly` of all sites: the task was started as long as the day lasted.
#[test]
fn a_task_that_crashes_each_worker_is_given_up() {
    let mut sim = deadly_simulation(quick);

    sim.submit("deadly", accepted(CHECKS, sim.now, vec![step(6, CORE)]));
    sim.run(60_000);

    assert_eq!(sim.state("deadly"), State::Failed);
    assert!(sim.fleet.crashes_under(&first_task("deadly")) < CRASH_BUDGET + 3);
}

/// Issue 27, LOST on the day `deadly` of the Pasar Sewa sites: the tasks waited for the end of a lease
/// of 10 s.
#[test]
fn tasks_of_a_crashed_worker_start_once_another_worker_answers_at_its_address() {
    let mut sim = deadly_simulation(endless);
    sim.settings.lease = Duration::from_millis(9500);
    sim.settings.max_lease = Duration::from_secs(10);
    sim.take_over();
    sim.run(50);
    let mut long_running = step(1, CORE);
    long_running.long_running = true;
    sim.submit("j1", accepted(LONG_RUNNING, sim.now, vec![long_running]));
    sim.run(500);
    let worker = sim.fleet.starts[0].3.clone();
    let crashed_at = sim.now;

    sim.fleet.crash(&worker, sim.now);
    sim.run(12_000);

    let restarted_at = sim.fleet.starts.get(1).map(|start| start.0);
    let idle = restarted_at.map(|at| at.since(crashed_at));
    assert!(idle.is_some_and(|idle| idle < RESTART_TIME), "{idle:?}");
}

#[test]
fn inherited_tasks_do_not_wait_for_the_lease_of_a_worker_that_was_replaced() {
    let mut sim = deadly_simulation(endless);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.run(50);
    let worker = sim.fleet.starts[0].3.clone();
    sim.fleet.crash(&worker, sim.now);
    sim.run(3000);
    sim.take_over_from(true);
    // The list names the crashed worker until it has missed its heartbeats.
    sim.engine.expect_workers([worker.clone()]);
    sim.engine.register_worker(entry(&worker, 1), sim.now);

    sim.run(1000);

    assert_eq!(sim.starts_of("j1"), 2);
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

#[test]
fn a_worker_that_is_listed_after_it_was_replaced_is_used_again() {
    let mut sim = Simulation::new(&["w1"], quick);
    sim.run(50);
    let worker = name("w1");
    let key = sim.engine.worker_key("w1").expect("it is listed");
    sim.engine.handle_replaced(key, sim.now);
    let polled_when_replaced = sim.engine.poll(key, sim.now).is_some();
    let boot = sim.fleet.reboot(&worker, sim.now);

    sim.engine.register_worker(entry("w1", boot), sim.now);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.run(500);

    assert!(!polled_when_replaced);
    assert_eq!(sim.state("j1"), State::Completed);
}
