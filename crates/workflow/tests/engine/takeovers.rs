//! How long inherited work waits under owners that change one after the other.

use std::time::Duration;

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};
use basilbridge_workflow::{
    job::{
        State,
        Step, //
    },
    report::Outcome,
    store_clock::Reading, //
};

use crate::{
    simulation::{
        Link,
        Simulation, //
    },
    util::{
        CHECKS,
        accepted,
        step, //
    },
};

const CORE: u64 = 1000;

/// Time after the first takeover in which all leases of the owner before it are over, and the time that
/// owner takes to notice.
const FIRST_WAIT_MILLIS: u64 = 8000;

/// Time after which a new owner counts with the end of all earlier leases, also if it has heard no worker
/// out.
const NO_MAJORITY_WAIT_MILLIS: u64 = 14_000;

/// How long an owner is frozen.
const STALL: Duration = Duration::from_millis(3000);

/// A cell with a task whose worker fell silent just before its owner was replaced.
struct Cell {
    sim: Simulation,
    worker: Name,
}

impl Cell {
    fn new() -> Self {
        let mut sim = Simulation::new(&["w1", "w2", "w3"], |_, _| (60_000, Outcome::Done, CORE));
        sim.run(50);
        sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
        sim.run(2000);
        let worker = sim.fleet.starts[0].3.clone();
        let mut cell = Self { sim, worker };
        cell.run(300);
        cell.sim.take_over();
        cell
    }

    /// Advances while nothing reaches the silent worker.
    fn run(&mut self, millis: u64) {
        let silent = self.worker.clone();
        self.sim.run_on(millis, |name| match *name == silent {
            true => Link::LostOrder,
            false => Link::Normal,
        });
    }
}

/// Each owner let the wait begin anew, so that under owners that changed every few seconds the tasks of a
/// worker that had ended never started. Found on pasar-sewa, two changes of the owner in five seconds.
#[test]
fn inherited_work_waits_no_longer_if_the_owner_changes_again() {
    let mut cell = Cell::new();

    for _ in 0..2 {
        cell.run(3000);
        cell.sim.take_over();
    }
    cell.run(FIRST_WAIT_MILLIS - 6000);

    assert_eq!(cell.sim.starts_of("j1"), 2);
    assert_eq!(cell.sim.fleet.violations, Vec::<String>::new());
}

/// The same for a worker whose entry has expired, which the second owner can't poll.
#[test]
fn inherited_work_waits_no_longer_for_an_unlisted_worker_if_the_owner_changes_again() {
    let mut cell = Cell::new();

    cell.run(2000);
    let worker = cell.worker.clone();
    cell.sim.unlist(&worker);
    for _ in 0..2 {
        cell.run(2000);
        cell.sim.take_over();
    }
    cell.run(FIRST_WAIT_MILLIS - 6000);

    assert_eq!(cell.sim.starts_of("j1"), 2);
    assert_eq!(cell.sim.fleet.violations, Vec::<String>::new());
}

/// A time that is handed on may arrive later, never earlier, however long the calls took that read the
/// store's clock on both VMs.
#[test]
fn a_time_that_is_told_by_the_store_never_becomes_earlier() {
    let end = Millis(90_000);
    let took = |millis: u64| Reading {
        sent: Millis(80_000),
        received: Millis(80_000 + millis),
        store: Millis(500 + millis / 2),
    };

    for (first, second) in [(0, 0), (0, 900), (900, 0), (900, 900)] {
        let told = took(first).to_store(end);
        let heard = took(second).to_local(told);

        assert!(heard >= end, "{first} {second}: {heard:?}");
    }
}

/// An owner replaced the record that it had inherited by one without the workers that had not answered
/// it yet, so that the wait began anew if it ended within a second.
#[test]
fn an_owner_that_lives_for_a_moment_hands_on_what_it_has_inherited() {
    let mut cell = Cell::new();

    cell.run(3000);
    for _ in 0..4 {
        cell.sim.take_over();
        cell.run(250);
    }
    cell.run(FIRST_WAIT_MILLIS - 4000);

    assert_eq!(cell.sim.starts_of("j1"), 2);
    assert_eq!(cell.sim.fleet.violations, Vec::<String>::new());
}

/// A worker whose list of ends was cut short held a lease of the new owner, but its other ends were not
/// waited for once the leases of the owner before were over.
#[test]
fn ends_that_a_worker_has_not_listed_yet_are_waited_for_beyond_the_leases_of_earlier_owners() {
    let mut sim = Simulation::new(&["w1", "w2"], |_, _| (100, Outcome::Done, 50));
    sim.run(50);
    sim.store_down = true;
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(2000, 50)]));
    sim.run(1000);

    sim.take_over();
    for _ in 0..NO_MAJORITY_WAIT_MILLIS / 10 {
        sim.engine.confirm_ownership(sim.now, Version(sim.version));
        sim.run(10);
    }
    let meanwhile = sim.starts_of("j1");
    sim.store_down = false;
    sim.run(4000);

    assert_eq!(meanwhile, 2000);
    assert_eq!(sim.starts_of("j1"), 2000);
    assert_eq!(sim.state("j1"), State::Completed);
}

/// An owner that was frozen extended leases with which the next one did not count.
#[test]
fn an_owner_that_was_stalled_extends_leases_only_once_it_is_known_to_hold_the_claim() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], |_, _| (60_000, Outcome::Done, CORE));
    sim.run(50);
    let key = sim.engine.worker_key("w1").expect("it is listed");
    let lease = |sim: &mut Simulation| {
        let poll = sim.engine.poll(key, sim.now);
        poll.and_then(|poll| poll.lease_end)
    };
    let before = lease(&mut sim);

    sim.now = sim.now.after(STALL);
    sim.engine.hold_leases(STALL, sim.now);
    let stalled = lease(&mut sim);
    // What was sent in the millisecond of the stall may have been sent before it.
    sim.now = Millis(sim.now.0 + 1);
    sim.engine.confirm_ownership(sim.now, Version(sim.version));
    let confirmed = lease(&mut sim);
    sim.engine.hold_leases(STALL, sim.now);
    sim.store_down = true;
    sim.run(50);
    let answered = lease(&mut sim);

    assert_eq!(stalled, before);
    assert!(confirmed > before);
    assert!(answered > confirmed);
}

/// A best-effort task that an owner had slowed down stayed slow under the next one, which took it
/// for one at full speed.
#[test]
fn a_best_effort_task_that_an_earlier_owner_may_have_slowed_down_is_sped_up_once() {
    let mut sim = Simulation::new(&["w1"], |_, _| (60_000, Outcome::Done, CORE));
    let best_effort = Step {
        best_effort: true,
        ..step(1, CORE)
    };
    let steps = vec![best_effort, step(1, CORE)];
    sim.submit("j1", accepted(CHECKS, sim.now, steps));
    sim.run(200);
    let before = sim.throttles.len();

    sim.take_over_from(true);
    sim.run(500);

    let after = sim
        .throttles
        .iter()
        .map(|throttle| (throttle.task.step, throttle.percent));
    assert_eq!(before, 0);
    assert_eq!(after.collect::<Vec<_>>(), [(0, 100)]);
}
