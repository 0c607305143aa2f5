//! Takeovers while workers do not answer.

use basilbridge_common::id::Name;
use basilbridge_workflow::{
    job::{
        State,
        TaskId, //
    },
    progress::Placement,
    report::Outcome,
    silence::Record, //
};

use crate::{
    fleet::Behaviour,
    simulation::{
        Link,
        Simulation, //
    },
    util::{
        CHECKS,
        accepted,
        address,
        name,
        step, //
    },
};

const CORE: u64 = 1000;

/// The worker that goes dark.
const DARK: &str = "w3";

/// Time after the takeover in which the dark worker, silent for 2 s by then, surely has a lease, and
/// time after which it surely has none.
const LEASED_MILLIS: u64 = 3400;
const LEASES_END_MILLIS: u64 = 4000;

fn link(worker: &Name) -> Link {
    if **worker == *DARK {
        Link::LostOrder
    } else {
        Link::Normal
    }
}

/// A cell of three workers, each with a task of a job, of which one has been dark for 2 s.
fn cell_with_a_dark_worker() -> Simulation {
    let mut sim = Simulation::new(&["w1", "w2", DARK], |_, _| {
        (6_000, Outcome::Done, 40 * CORE)
    });
    let job = accepted(CHECKS, sim.now, vec![step(3, 40 * CORE)]);
    sim.submit("spread", job);
    sim.run(500);
    assert_eq!(sim.starts_of("spread"), 3);
    sim.run_on(2000, link);
    let job = accepted(CHECKS, sim.now, vec![step(2, 10 * CORE)]);
    sim.submit("waiting", job);
    sim
}

fn held_task(sim: &Simulation) -> TaskId {
    let record: &Record = &sim.silence;
    record.workers[DARK][0].clone()
}

#[test]
fn inherited_work_does_not_wait_for_a_worker_that_went_dark_before_the_takeover() {
    let mut sim = cell_with_a_dark_worker();

    sim.take_over();
    sim.run_on(300, link);

    // It started once the leases of the dark worker were over, 7.6 s later.
    assert_eq!(sim.starts_of("waiting"), 2);
}

#[test]
fn a_task_that_a_dark_worker_may_run_waits_until_the_leases_are_over() {
    let mut sim = cell_with_a_dark_worker();
    let held = held_task(&sim);

    sim.take_over();
    sim.run_on(LEASED_MILLIS, link);
    let early = sim.starts_of("spread");
    sim.run_on(LEASES_END_MILLIS - LEASED_MILLIS, link);

    assert_eq!(&*held.job, "spread");
    assert_eq!(early, 3);
    assert_eq!(sim.starts_of("spread"), 4);
    let violations = sim.fleet.violations.iter();
    let mut twice = violations.filter(|violation| violation.starts_with("spread"));
    assert_eq!(twice.next(), None);
}

#[test]
fn a_worker_that_answers_again_gets_no_work_while_the_store_holds_its_record() {
    let mut sim = cell_with_a_dark_worker();
    sim.store_down = true;

    let job = accepted(CHECKS, sim.now, vec![step(6, 20 * CORE)]);
    sim.submit("more", job);
    sim.run(500);
    let before = sim.fleet.workers[&name(DARK)].running.len();
    sim.store_down = false;
    sim.run(500);

    assert_eq!(before, 1);
    assert!(sim.fleet.workers[&name(DARK)].running.len() > 1);
}

#[test]
fn a_record_does_not_hold_after_an_owner_that_may_not_have_followed_it() {
    // An owner of an earlier version in between may have given the worker other tasks.
    let mut sim = cell_with_a_dark_worker();

    sim.epoch += 1;
    sim.settings.lineage.first_epoch = sim.epoch + 1;
    sim.take_over();
    sim.run_on(300, link);

    assert_eq!(sim.starts_of("waiting"), 0);
}

/// An owner that ended before it had written a record made all inherited work wait under the next one.
#[test]
fn a_record_holds_after_an_owner_that_has_written_none() {
    let mut sim = cell_with_a_dark_worker();

    sim.epoch += 1;
    sim.take_over();
    sim.run_on(300, link);

    assert_eq!(sim.starts_of("waiting"), 2);
}

/// The end of its leases is stored, so a later owner counts with it.
#[test]
fn the_leases_of_a_recorded_worker_that_answers_again_are_not_extended_before_its_record_is_withdrawn()
 {
    let mut sim = cell_with_a_dark_worker();
    sim.store_down = true;
    let key = sim.engine.worker_key(DARK).expect("it is listed");
    let recorded = sim
        .engine
        .poll(key, sim.now)
        .and_then(|poll| poll.lease_end);

    sim.run(1000);
    let answering = sim
        .engine
        .poll(key, sim.now)
        .and_then(|poll| poll.lease_end);
    sim.store_down = false;
    sim.run(200);
    let withdrawn = sim
        .engine
        .poll(key, sim.now)
        .and_then(|poll| poll.lease_end);

    assert_eq!(answering, recorded);
    assert!(withdrawn > recorded);
}

#[test]
fn an_entry_at_which_nobody_answers_does_not_delay_each_takeover() {
    let mut sim = Simulation::new(&["w1", "w2"], |_, _| (60_000, Outcome::Done, 40 * CORE));
    let ghost = |sim: &mut Simulation| {
        sim.engine
            .register_worker(crate::util::entry("ghost", 1), sim.now);
        sim.engine.expect_workers([name("ghost")]);
        let key = sim.engine.worker_key("ghost").expect("it is listed");
        sim.engine.handle_poll_failure(key, sim.now);
    };
    ghost(&mut sim);
    sim.run(2000);
    let job = accepted(CHECKS, sim.now, vec![step(2, 10 * CORE)]);
    sim.submit("waiting", job);

    sim.take_over();
    ghost(&mut sim);
    sim.engine.inherit_silence(sim.silence.clone());
    sim.run(300);

    assert_eq!(sim.starts_of("waiting"), 2);
}

#[test]
fn a_crash_that_a_later_owner_learns_of_is_blamed_on_the_task() {
    // The worker is replaced after the takeover, by which its record ends before its leases do.
    let mut sim = cell_with_a_dark_worker();
    let held = held_task(&sim);
    let placement = Placement {
        run: 1,
        worker: name(DARK),
        boot: sim.fleet.workers[&name(DARK)].boot,
    };
    let (progress, _) = sim.stored.entry(name("spread")).or_default();
    let stage = progress.stages.entry(0).or_default();
    stage.tasks.entry(held.index).or_default().placement = Some(placement);

    sim.take_over();
    sim.run_on(300, link);
    let key = sim.engine.worker_key(DARK).expect("it is listed");
    sim.engine.handle_replaced(key, &address(DARK), sim.now);

    let job = sim.engine.job("spread").expect("it goes on");
    let task = &job.stages[0].tasks[held.index as usize];
    assert_eq!(task.history.crashes.len(), 1);
}

#[test]
fn a_dark_worker_that_is_back_goes_on_with_its_task() {
    let mut sim = cell_with_a_dark_worker();

    sim.take_over();
    sim.run_on(300, link);
    sim.run(1000);

    assert_eq!(sim.starts_of("spread"), 3);
    assert!(sim.silence.workers.is_empty());
}

/// Creates a cell whose owner has read the ends of two tasks of the dark worker and could not store
/// them. Then the worker goes dark, or is about to leave.
fn cell_with_unstored_ends(behaviour: Behaviour, is_leaving: bool) -> Simulation {
    let mut sim = Simulation::new(&[DARK], behaviour);
    sim.submit("pair", accepted(CHECKS, sim.now, vec![step(2, 20 * CORE)]));
    sim.run(200);
    sim.add_worker("w1");
    if is_leaving {
        sim.announce_departure(&DARK.into());
    }
    sim.progress_is_lost = true;
    sim.run(1000);
    if !is_leaving {
        sim.run_on(1200, link);
    }
    sim
}

/// An owner had read ends and not stored them when their worker fell silent, or while it was about
/// to leave. It recorded that the worker ran nothing, and its successor started the tasks again
/// (TWICE, BUDGET).
#[test]
fn tasks_whose_ends_are_read_and_not_stored_are_not_started_again_by_the_next_owner() {
    const DONE: Behaviour = |_, _| (1000, Outcome::Done, 20 * CORE);
    // The second attempt, which is the last one, ends under the next owner.
    const FAILED: Behaviour = |_, run| match run {
        1 => (1000, Outcome::Failed, 20 * CORE),
        _ => (2500, Outcome::Failed, 20 * CORE),
    };
    let cases = [
        (DONE, false, 2, State::Completed),
        (DONE, true, 2, State::Completed),
        (FAILED, false, 4, State::Failed),
        (FAILED, true, 4, State::Failed),
    ];
    for (behaviour, is_leaving, starts, state) in cases {
        let mut sim = cell_with_unstored_ends(behaviour, is_leaving);

        sim.take_over();
        sim.progress_is_lost = false;
        sim.run_on(3000, link);
        sim.run(1000);

        assert_eq!(sim.starts_of("pair"), starts, "{state:?} {is_leaving}");
        assert_eq!(sim.state("pair"), state, "{is_leaving}");
        assert_eq!(sim.fleet.violations, Vec::<String>::new(), "{is_leaving}");
    }
}
