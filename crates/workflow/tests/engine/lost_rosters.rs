//! Successors of owners that ended together with most workers, and owners that wake after a suspension.
//! See `docs/design/takeover.md`.

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
    report::{
        Inventory,
        Outcome, //
    },
};

use crate::{
    fleet::Behaviour,
    simulation::{
        Link,
        Simulation, //
    },
    util::{
        self,
        CHECKS,
        accepted,
        entry,
        step, //
    },
};

/// Capacity that a task takes, a sixth of that of a worker.
const TASK_CPU: u64 = 10_000;

const SHORT: Behaviour = |_, _| (600, Outcome::Done, TASK_CPU);

/// Time after which an owner that is known to have ended holds no lease any more, and a margin.
const LEASE_MILLIS: u64 = 8000;

/// Creates a cell of 12 workers whose owner ends together with `lost` of them, which never return and
/// are not listed any more. As many new workers join.
fn lose(lost: usize, is_known_ended: bool) -> Simulation {
    let workers: Vec<String> = (0..12).map(|number| format!("w{number}")).collect();
    let workers: Vec<&str> = workers.iter().map(String::as_str).collect();
    let mut sim = Simulation::new(&workers, SHORT);
    sim.take_over_from(true);
    sim.run(1000);
    for number in 0..lost {
        let name: Name = format!("w{number}").into();
        sim.fleet.workers.remove(&name);
    }
    sim.take_over_from(is_known_ended);
    for number in 0..lost {
        sim.add_worker(&format!("n{number}"));
    }
    sim
}

/// The roster stayed closed for ever: the successor gave up the lost workers at the end of their leases,
/// and never counted half of the roster as answered after that.
#[test]
fn new_workers_get_work_after_the_leases_of_lost_ones_are_over() {
    for lost in [7, 11, 12] {
        let mut sim = lose(lost, true);
        sim.run(LEASE_MILLIS);
        assert!(sim.engine.is_settled(), "{lost}");

        sim.submit("j1", accepted(CHECKS, sim.now, vec![step(72, TASK_CPU)]));
        sim.run(20_000);

        let names = sim.fleet.starts.iter().map(|(.., name)| name);
        let on_new = names.filter(|name| name.starts_with('n')).count();
        assert_eq!(
            sim.state("j1"),
            State::Completed,
            "{lost} lost, {on_new} on new ones"
        );
        assert!(on_new > 0, "{lost}");
    }
}

/// New work waited with the inherited, since no new worker joins the roster before half of it has answered.
#[test]
fn new_work_starts_on_new_workers_while_inherited_work_waits_for_lost_ones() {
    let mut sim = lose(12, false);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(12, TASK_CPU)]));

    sim.run(20_000);

    assert_eq!(sim.state("j1"), State::Completed);
}

/// After half an hour the successor gives up the lost workers, and the roster stayed closed.
#[test]
fn new_workers_get_work_once_a_successor_waits_for_lost_ones_no_more() {
    let mut sim = lose(12, false);
    sim.now = sim.now.after(Duration::from_secs(31 * 60));
    sim.run(1000);
    assert!(sim.engine.is_settled());

    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(12, TASK_CPU)]));
    sim.run(20_000);

    assert_eq!(sim.state("j1"), State::Completed);
}

/// A poll that was prepared after a suspension set the end that later polls asked for.
#[test]
fn an_owner_that_was_suspended_extends_no_lease_by_a_proof_from_before() {
    const SUSPENSION: u64 = 20_000;
    let start = Millis(1_000_000);
    let mut engine = util::engine(0, start);
    engine.register_worker(entry("w0", 1), start);
    let key = engine.worker_key("w0").expect("it is registered");
    let answer = |clock| Inventory {
        boot: 1,
        clock,
        running: Vec::new(),
        ended: Vec::new(),
    };
    engine.handle_inventory(key, start, start, &answer(50_000));
    engine.confirm_ownership(start, Version(1));
    let before = engine.poll(key, start).and_then(|poll| poll.lease_end);

    // The clock of the owner stands still meanwhile, that of the worker does not.
    let awake = start.after(Duration::from_millis(20));
    engine.handle_inventory(key, awake, awake, &answer(50_000 + SUSPENSION));
    engine.hold_leases(Duration::from_millis(SUSPENSION), awake);
    let _unsent = engine.poll(key, awake);
    let later = awake.after(Duration::from_millis(100));
    let after = engine.poll(key, later).and_then(|poll| poll.lease_end);

    assert!(after <= before, "{before:?}, then {after:?}");
}

/// An owner that was suspended while it was replaced extended leases that its successor took for over.
#[test]
fn tasks_on_a_worker_that_only_a_suspended_owner_reaches_run_once() {
    const STEP: u64 = 10;
    // Every other task ends soon, so that there is room to start the others again.
    const MIXED: Behaviour = |task, _| match task.index % 2 {
        0 => (3000, Outcome::Done, TASK_CPU),
        _ => (25_000, Outcome::Done, TASK_CPU),
    };
    let workers: Vec<String> = (0..12).map(|number| format!("w{number}")).collect();
    let workers: Vec<&str> = workers.iter().map(String::as_str).collect();
    let mut sim = Simulation::new(&workers, MIXED);
    sim.take_over_from(true);
    sim.run(50);
    let spread = step(24, TASK_CPU);
    let spread = Step {
        max_per_worker: Some(2),
        ..spread
    };
    sim.submit("j1", accepted(CHECKS, sim.now, vec![spread]));
    sim.run(1000);
    let kept: [Name; 1] = ["w0".into()];
    let reach = |name: &Name, is_kept| match kept.contains(name) == is_kept {
        true => Link::Normal,
        false => Link::LostOrder,
    };

    // The owner is suspended, and then cut off from the store and most workers.
    let suspended_at = sim.now;
    let mut deposed = sim.take_over_beside(false);
    sim.run_on(5000, |name| reach(name, false));
    let suspension = sim.now.since(suspended_at);
    sim.wake_deposed(&mut deposed, suspension, &kept);
    let mut goes_on = true;
    for _ in 0..15_000 / STEP {
        sim.run_on(STEP, |name| reach(name, false));
        goes_on = goes_on && sim.act_deposed(&mut deposed, |name| reach(name, true));
    }

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}
