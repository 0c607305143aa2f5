//! What a new owner learns of the workers that may run something: from the owner before, and from
//! their lists.

use basilbridge_common::id::Name;
use basilbridge_workflow::{
    job::State,
    report::Outcome,
    roster::Roster, //
};

use crate::{
    simulation::{
        Link,
        Simulation, //
    },
    util::{
        CHECKS,
        accepted,
        entry,
        name,
        step, //
    },
};

const CORE: u64 = 1000;

/// Returns a cell with a task that runs on one of two workers, whose name is returned too.
fn cell_with_a_long_task() -> (Simulation, Name) {
    let mut sim = Simulation::new(&["w1", "w2"], |_, _| (3000, Outcome::Done, CORE));
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.run(50);
    let worker = sim.fleet.starts[0].3.clone();
    (sim, worker)
}

/// The second of two owners that changed within a second did not wait for a worker whose entry had
/// expired: the first one still waited for it and had dropped its name from the store.
#[test]
fn a_task_of_an_unlisted_worker_is_started_once_across_two_changes_of_the_owner() {
    let (mut sim, worker) = cell_with_a_long_task();
    let cut = |name: &Name| match *name == worker {
        true => Link::LostOrder,
        false => Link::Normal,
    };

    sim.unlist(&worker);
    for _ in 0..2 {
        sim.take_over();
        sim.run_on(500, cut);
    }
    sim.list_again();
    sim.run(4000);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
    assert_eq!(sim.starts_of("j1"), 1);
}

/// The same for a worker that the first owner had recorded as silent, which holds for the next owner
/// only.
#[test]
fn a_task_of_an_unlisted_silent_worker_is_started_once_across_two_changes_of_the_owner() {
    let (mut sim, worker) = cell_with_a_long_task();
    let cut = |name: &Name| match *name == worker {
        true => Link::LostOrder,
        false => Link::Normal,
    };
    sim.run_on(1000, cut);

    sim.unlist(&worker);
    let record = sim.silence.clone();
    for _ in 0..2 {
        sim.take_over();
        sim.silence = record.clone();
        sim.run_on(10, cut);
        sim.silence = record.clone();
    }
    sim.run_on(300, cut);
    sim.list_again();
    sim.run(4000);

    assert!(record.workers.contains_key(&worker));
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
    assert_eq!(sim.starts_of("j1"), 1);
}

/// A worker lists 500 ends at once. A new owner took a first list of that length for complete, and
/// started the tasks again whose ends stood behind them.
#[test]
fn tasks_whose_ends_stand_beyond_the_first_list_are_not_started_again_after_a_takeover() {
    let mut sim = Simulation::new(&["w1", "w2"], |_, _| (100, Outcome::Done, 50));
    sim.run(50);
    sim.store_down = true;
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(2000, 50)]));
    sim.run(1000);
    let listed = sim.fleet.workers.values().map(|worker| worker.ended.len());
    let most = listed.max();
    sim.store_down = false;

    sim.take_over();
    sim.run(4000);

    assert!(most > Some(600), "{most:?}");
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
    assert_eq!(sim.starts_of("j1"), 2000);
    assert_eq!(sim.state("j1"), State::Completed);
}

/// An owner that was replaced unnoticed started tasks on a worker that its successor did not know,
/// and which the successor therefore did not wait for.
#[test]
fn a_worker_gets_no_work_before_its_name_is_stored() {
    let mut sim = Simulation::new(&["w1"], |_, _| (3000, Outcome::Done, CORE));
    sim.run(50);
    sim.store_down = true;
    let fresh = crate::fleet::Worker::new(1);
    sim.fleet.workers.insert(name("w2"), fresh);
    sim.engine.register_worker(entry("w2", 1), sim.now);

    let mut spread = step(2, CORE);
    spread.max_per_worker = Some(1);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![spread]));
    sim.run(500);
    let before = sim.starts_of("j1");
    sim.store_down = false;
    sim.run(500);

    assert_eq!(before, 1);
    assert_eq!(sim.starts_of("j1"), 2);
}

/// A roster that can't be read names nobody, which must not be taken for no workers.
#[test]
fn a_roster_that_cannot_be_read_delays_inherited_tasks_until_all_leases_are_over() {
    let (mut sim, worker) = cell_with_a_long_task();
    sim.unlist(&worker);
    sim.roster = Roster::default();
    sim.take_over();
    sim.engine.expect_unknown_workers();

    sim.run_on(2000, |name| match *name == worker {
        true => Link::LostOrder,
        false => Link::Normal,
    });

    assert_eq!(sim.starts_of("j1"), 1);
}
