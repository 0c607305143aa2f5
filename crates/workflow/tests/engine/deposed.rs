//! What an owner that has been replaced, or ended unseen, may still do beside its successors. See
//! `docs/design/takeover.md`.

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_workflow::{
    job::{
        State,
        Step, //
    },
    report::Outcome, //
};

use crate::{
    fleet::{
        Behaviour,
        Worker, //
    },
    simulation::{
        Deposed,
        Link,
        Simulation, //
    },
    util::{
        CHECKS,
        accepted,
        policy,
        step, //
    },
};

const STEP: u64 = 10;

/// Capacity that a task takes, a sixth of that of a worker.
const TASK_CPU: u64 = 10_000;

/// Time from a partition until a successor claims.
const CLAIM_MILLIS: u64 = 1600;

/// Time within which a successor has heard all workers that it reaches.
const ANSWER_MILLIS: u64 = 300;

/// Time for which the deposed owner acts.
const PARTITION_MILLIS: u64 = 20_000;

/// Every other task ends soon, so that there is room to start the others again.
const MIXED: Behaviour = |task, _| match task.index % 2 {
    0 => (3000, Outcome::Done, TASK_CPU),
    _ => (25_000, Outcome::Done, TASK_CPU),
};

/// Returns the names of workers `w0`, `w1` and so on.
fn names(numbers: std::ops::Range<usize>) -> Vec<Name> {
    numbers.map(|number| format!("w{number}").into()).collect()
}

/// Creates a cell with two tasks on each of twelve workers, whose owner has outlived those before it.
fn busy_cell() -> Simulation {
    let workers = names(0..12);
    let workers: Vec<&str> = workers.iter().map(|name| &**name).collect();
    let mut sim = Simulation::new(&workers, MIXED);
    sim.take_over_from(true);
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![spread_step()]));
    sim.run(1000);
    sim
}

/// Returns a step with two tasks for each of twelve workers.
fn spread_step() -> Step {
    Step {
        max_per_worker: Some(2),
        ..step(24, TASK_CPU)
    }
}

/// Returns the link of one side, which reaches these workers only.
fn reach(workers: &[Name], name: &Name) -> Link {
    match workers.contains(name) {
        true => Link::Normal,
        false => Link::LostOrder,
    }
}

/// Cuts the owner off from the store and from all workers but `kept`, until the next one claims.
fn cut_off(sim: &mut Simulation, kept: &[Name]) -> Deposed {
    sim.store_down = true;
    sim.run_on(CLAIM_MILLIS, |name| reach(kept, name));
    sim.store_down = false;
    sim.take_over_beside(false)
}

/// Advances with a deposed owner that reaches `kept` and a successor that reaches all others.
fn run_beside(sim: &mut Simulation, deposed: &mut Option<Deposed>, kept: &[Name], millis: u64) {
    for _ in 0..millis / STEP {
        sim.run_on(STEP, |name| match kept.contains(name) {
            true => Link::LostOrder,
            false => Link::Normal,
        });
        if let Some(owner) = deposed
            && !sim.act_deposed(owner, |name| reach(kept, name))
        {
            *deposed = None;
        }
    }
}

/// Adds workers to the list and registers them with the owner.
fn add_workers(sim: &mut Simulation, added: &[Name]) {
    for name in added {
        let mut worker = Worker::new(1);
        worker.booted = sim.now;
        sim.fleet.workers.insert(name.clone(), worker);
    }
    sim.register_all();
}

/// Lets all paths be sound again until all jobs are done.
fn heal(sim: &mut Simulation) {
    sim.run(60_000);
    for id in sim.jobs.keys() {
        assert_eq!(sim.state(id), State::Completed, "{id}");
    }
}

/// A worker that had answered the successor booted and forgot its epoch, and the old owner started its
/// lost tasks there.
#[test]
fn a_deposed_owner_starts_nothing_on_a_worker_that_has_booted_since() {
    let mut sim = busy_cell();
    let kept = names(0..1);

    let mut deposed = Some(cut_off(&mut sim, &[]));
    run_beside(&mut sim, &mut None, &[], ANSWER_MILLIS);
    sim.fleet.reboot(&kept[0], sim.now);
    if let Some(deposed) = &mut deposed {
        sim.list_to(deposed);
    }
    run_beside(&mut sim, &mut deposed, &kept, PARTITION_MILLIS);
    heal(&mut sim);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

/// The old owner had still had the store just before, and its successor began tasks that waited at once.
#[test]
fn a_waiting_task_is_not_started_on_a_booted_worker_and_by_the_successor() {
    let mut sim = busy_cell();
    let kept = names(0..1);
    // More than the workers have room for, so that some wait.
    sim.submit("j2", accepted(CHECKS, sim.now, vec![step(60, TASK_CPU)]));
    sim.run(200);

    let mut deposed = Some(sim.take_over_beside(false));
    add_workers(&mut sim, &names(12..13));
    run_beside(&mut sim, &mut None, &[], 100);
    sim.fleet.reboot(&kept[0], sim.now);
    if let Some(deposed) = &mut deposed {
        sim.list_to(deposed);
    }
    run_beside(&mut sim, &mut deposed, &kept, PARTITION_MILLIS);
    heal(&mut sim);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

/// Each of two owners had most of the workers that it knew: the roster had grown in between.
#[test]
fn workers_that_were_listed_after_a_claim_give_no_majority_over_a_deposed_owner() {
    let mut sim = busy_cell();
    let kept = names(0..7);

    let mut deposed = Some(cut_off(&mut sim, &kept));
    add_workers(&mut sim, &names(12..21));
    run_beside(&mut sim, &mut deposed, &kept, 1000);
    // The second owner ends.
    sim.take_over_from(false);
    run_beside(&mut sim, &mut deposed, &kept, PARTITION_MILLIS);
    heal(&mut sim);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

/// The old owner did not know that its last roster was stored, and counted by the one before.
#[test]
fn an_owner_has_no_majority_by_a_roster_that_may_have_been_replaced() {
    let mut sim = busy_cell();
    let kept = names(0..7);

    // The write of the roster takes effect, and its answer is lost.
    add_workers(&mut sim, &names(12..21));
    let roster = sim.engine.roster();
    sim.engine.announce_roster(&roster);
    sim.roster = roster;
    let mut deposed = Some(cut_off(&mut sim, &kept));
    run_beside(&mut sim, &mut deposed, &kept, PARTITION_MILLIS);
    heal(&mut sim);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

/// The old owner left out workers by a record of silent ones that was never stored.
#[test]
fn an_owner_has_no_majority_by_a_record_of_silent_workers_that_may_not_be_stored() {
    let mut sim = busy_cell();
    let (silent, kept) = (names(0..5), names(5..9));

    // The write of the record has no effect, and its answer is lost.
    sim.store_down = true;
    sim.run_on(1000, |name| match silent.contains(name) {
        true => Link::LostOrder,
        false => Link::Normal,
    });
    let mut deposed = Some(cut_off(&mut sim, &kept));
    run_beside(&mut sim, &mut deposed, &kept, PARTITION_MILLIS);
    heal(&mut sim);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

/// The old owner left out no worker, since it did not know that its record of silent ones was stored.
#[test]
fn an_owner_has_no_majority_beside_a_record_of_silent_workers_that_may_be_stored() {
    let mut sim = busy_cell();
    let (silent, kept) = (names(0..5), names(0..7));

    // The write of the record takes effect, and its answer is lost.
    sim.store_down = true;
    sim.run_on(1000, |name| match silent.contains(name) {
        true => Link::LostOrder,
        false => Link::Normal,
    });
    sim.silence = sim.engine.silence(sim.now);
    let mut deposed = Some(cut_off(&mut sim, &kept));
    run_beside(&mut sim, &mut deposed, &kept, PARTITION_MILLIS);
    heal(&mut sim);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

/// Returns the processor capacity that tasks of all jobs have running.
fn running_cpu(sim: &Simulation) -> u64 {
    let workers = sim.fleet.workers.values();
    let running = workers.flat_map(|worker| worker.running.values());
    running.map(|run| run.resources.cpu_millis).sum()
}

/// A new owner did not count what its team still ran on workers that had not answered it (QUOTA).
#[test]
fn new_jobs_of_a_team_stay_within_its_cap_beside_runs_that_are_not_known_yet() {
    const CAP_CPU: u64 = 24 * TASK_CPU;
    let workers = names(0..12);
    let workers: Vec<&str> = workers.iter().map(|name| &**name).collect();
    let mut sim = Simulation::new(&workers, MIXED);
    sim.policy = policy(CAP_CPU);
    sim.take_over_from(true);
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![spread_step()]));
    sim.run(1000);
    let silent = names(0..6);

    // The owner ends, and workers are cut off.
    sim.take_over_from(true);
    let mut highest = 0;
    for turn in 0..300 {
        if turn == 30 {
            sim.submit("j2", accepted(CHECKS, sim.now, vec![step(24, TASK_CPU)]));
        }
        sim.run_on(STEP, |name| match silent.contains(name) {
            true => Link::LostOrder,
            false => Link::Normal,
        });
        highest = highest.max(running_cpu(&sim));
    }

    assert!(highest <= CAP_CPU, "{highest} of {CAP_CPU}");
    heal(&mut sim);
}

/// Creates a busy cell of which all workers are replaced while nobody owns them. The list no longer names
/// the old ones, which answer no successor.
fn replaced_cell(has_owner_ended: bool) -> Simulation {
    let mut sim = busy_cell();
    for name in names(0..12) {
        sim.fleet.workers.remove(&name);
        sim.unlisted.insert(name);
    }
    sim.now = Millis(sim.now.0 + 10_000);
    sim.take_over_from(has_owner_ended);
    add_workers(&mut sim, &names(12..24));
    sim
}

/// The successor let no worker join its roster before half of the old ones had answered, and none did.
#[test]
fn new_jobs_start_on_new_workers_once_the_old_ones_are_gone() {
    for has_owner_ended in [true, false] {
        let mut sim = replaced_cell(has_owner_ended);

        sim.announce("j2", accepted(CHECKS, sim.now, vec![step(6, TASK_CPU)]));
        sim.run(1000);

        assert_eq!(sim.starts_of("j2"), 6, "{has_owner_ended}");
    }
}

/// The successor waited for most of the old workers to answer, also once the owner before was known to have
/// ended. Until then that one may go on with them behind a partition.
#[test]
fn work_of_workers_that_are_all_gone_starts_again_once_their_owner_has_ended() {
    for has_owner_ended in [true, false] {
        let mut sim = replaced_cell(has_owner_ended);

        if !has_owner_ended {
            sim.run(20_000);
            assert_eq!(sim.starts_of("j1"), 24);
            sim.engine.record_predecessor_end(sim.now);
        }
        sim.run(15_000);

        assert_eq!(sim.starts_of("j1"), 48, "{has_owner_ended}");
    }
}
