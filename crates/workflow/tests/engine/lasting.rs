//! Long-running tasks across changes of the owner.

use std::collections::BTreeSet;

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Millis, //
};
use basilbridge_workflow::{
    job::{
        Step,
        TaskId, //
    },
    report::Outcome,
};
use quickcheck::Gen;

use crate::{
    simulation::{
        Link,
        Simulation, //
    },
    util::{
        CHECKS,
        LONG_RUNNING,
        accepted,
        step, //
    },
};

const CORE: u64 = 1000;

/// Capacity of a task, of which a worker can run one.
const TASK_CPU: u64 = 40 * CORE;

/// Longest time after which all leases of an earlier owner are over, with the time until it notices.
const LEASES_END_MILLIS: u64 = 8000;

/// Time for which a worker that has fallen silent surely has a lease.
const LEASED_MILLIS: u64 = 5400;

/// Number of random simulations.
const SEEDS: u64 = 100;

/// Time after which the first run of the first task fails.
const FAILURE_MILLIS: u64 = 2000;

fn lasting(count: u32) -> Step {
    let mut lasting = step(count, TASK_CPU);
    lasting.long_running = true;
    lasting
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: "service".into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn starts_of(sim: &Simulation, task: &TaskId) -> usize {
    let starts = sim.fleet.starts.iter();
    starts.filter(|(_, started, ..)| started == task).count()
}

fn worker_of(sim: &Simulation, task: &TaskId) -> Name {
    sim.fleet.worker_of(task).expect("it runs")
}

fn cut_off(sim: &mut Simulation, worker: &Name) {
    let worker = sim.fleet.workers.get_mut(worker);
    worker.expect("the test made it").reachable = false;
}

/// A cell of four workers, three of which run a task of a service. The first run of its first task
/// fails.
fn cell_with_a_service() -> Simulation {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], |task, run| {
        if task.index == 0 && run == 1 {
            (FAILURE_MILLIS, Outcome::Failed, TASK_CPU)
        } else {
            (600_000, Outcome::Done, TASK_CPU)
        }
    });
    let job = accepted(LONG_RUNNING, sim.now, vec![lasting(3)]);
    sim.submit("service", job);
    sim.run(500);
    assert_eq!(sim.starts_of("service"), 3);
    sim
}

/// Changes the owner while a worker has been dark for 300 ms, and waits until a task on another worker
/// has failed.
fn fail_after_a_takeover(sim: &mut Simulation) {
    let dark = worker_of(sim, &task(1));
    cut_off(sim, &dark);
    sim.run(300);
    sim.take_over();
    sim.run(FAILURE_MILLIS);
}

#[test]
fn a_lasting_task_that_fails_after_a_takeover_is_started_while_another_worker_does_not_answer() {
    let mut sim = cell_with_a_service();

    fail_after_a_takeover(&mut sim);

    assert_eq!(starts_of(&sim, &task(0)), 2);
    assert_eq!(starts_of(&sim, &task(1)), 1);
    assert!(!sim.engine.is_settled());
}

/// Its stored progress grew with each failure, until no row took it and no end was acknowledged.
#[test]
fn the_stored_progress_of_a_lasting_task_that_fails_again_and_again_stays_small() {
    const FAILURES: usize = 100;
    let mut sim = Simulation::new(&["w1", "w2"], |_, _| (20, Outcome::Failed, TASK_CPU));
    let job = accepted(LONG_RUNNING, sim.now, vec![lasting(1)]);
    sim.submit("service", job);

    while starts_of(&sim, &task(0)) <= FAILURES {
        sim.run(1000);
    }

    let job = sim.engine.job("service").expect("it lasts");
    let failed = &job.progress().stages[&0].tasks[&0].failed;
    assert!(failed.len() <= 16, "{}", failed.len());
    assert!(failed.last() > Some(&(FAILURES as u32 / 2)), "{failed:?}");
}

#[test]
fn a_lasting_task_of_a_job_that_is_older_than_the_lineage_waits_for_all_workers() {
    let mut sim = cell_with_a_service();
    sim.settings.lineage.first_version = Some(Version(1));

    fail_after_a_takeover(&mut sim);
    let early = starts_of(&sim, &task(0));
    sim.run(LEASES_END_MILLIS);

    assert_eq!(early, 1);
    assert_eq!(starts_of(&sim, &task(0)), 2);
}

#[test]
fn a_lasting_task_whose_end_the_owner_before_has_stored_is_started_at_once_after_a_takeover() {
    let mut sim = cell_with_a_service();
    let dark = worker_of(&sim, &task(0));
    while sim.fleet.workers[&dark].running.contains_key(&task(0)) {
        sim.run(10);
    }
    sim.store();
    cut_off(&mut sim, &dark);

    sim.take_over();
    sim.run(300);

    assert_eq!(starts_of(&sim, &task(0)), 2);
    assert!(!sim.engine.is_settled());
}

#[test]
fn a_lasting_task_that_is_submitted_during_a_takeover_does_not_wait() {
    let mut sim = cell_with_a_service();
    let dark = worker_of(&sim, &task(1));
    cut_off(&mut sim, &dark);
    sim.run(300);

    sim.take_over();
    let job = accepted(LONG_RUNNING, sim.now, vec![lasting(1)]);
    sim.submit("new", job);
    sim.run(300);

    assert_eq!(sim.starts_of("new"), 1);
}

/// Changes the owner twice after a worker with a task has been dark for `dark_millis`. Returns how
/// often the task had started before the leases were over, and after.
fn starts_of_a_silent_task(dark_millis: u64) -> (usize, usize) {
    let mut sim = cell_with_a_service();
    let dark = worker_of(&sim, &task(1));
    cut_off(&mut sim, &dark);
    sim.run(dark_millis);

    sim.take_over();
    sim.run(1500);
    sim.take_over();
    sim.run(LEASED_MILLIS - 1500 - dark_millis);
    let early = starts_of(&sim, &task(1));
    sim.run(LEASES_END_MILLIS);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
    (early, starts_of(&sim, &task(1)))
}

#[test]
fn a_lasting_task_of_a_silent_worker_is_started_only_after_its_leases_are_over() {
    // One of 2 s is recorded as silent.
    assert_eq!(starts_of_a_silent_task(100), (1, 2));
    assert_eq!(starts_of_a_silent_task(2000), (1, 2));
}

#[test]
fn a_lasting_task_that_two_workers_may_run_waits_for_both() {
    // One has it by its stored start, the other one by the record of silent workers.
    let mut sim = cell_with_a_service();
    let dark = worker_of(&sim, &task(1));
    let idle: Name = ["w1", "w2", "w3", "w4"]
        .map(Name::from)
        .into_iter()
        .find(|name| sim.fleet.workers[name].running.is_empty())
        .expect("three of four have a task");
    cut_off(&mut sim, &dark);
    cut_off(&mut sim, &idle);
    sim.silence.workers.insert(idle.clone(), vec![task(1)]);

    sim.take_over();
    sim.run(300);
    let worker = sim.fleet.workers.get_mut(&idle);
    worker.expect("the test made it").reachable = true;
    sim.run(1500);

    assert_eq!(starts_of(&sim, &task(1)), 1);
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

#[test]
fn a_start_of_a_lasting_task_is_sent_only_once_it_is_stored() {
    let mut sim = Simulation::new(&["w1"], |_, _| (600_000, Outcome::Done, TASK_CPU));
    sim.run(100);
    sim.store_down = true;

    let job = accepted(LONG_RUNNING, sim.now, vec![lasting(1)]);
    sim.submit("service", job);
    // The engine gives up a start without a result after 10 s.
    sim.run(12_000);
    let unstored = sim.starts_of("service");
    sim.store_down = false;
    sim.run(1000);

    assert_eq!(unstored, 0);
    assert_eq!(sim.starts_of("service"), 1);
}

#[test]
fn a_gang_that_lasts_starts_together_once_it_is_stored() {
    let mut sim = Simulation::new(&["w1", "w2"], |_, _| (600_000, Outcome::Done, TASK_CPU));
    sim.run(100);
    sim.store_down = true;

    let mut gang = lasting(2);
    gang.gang = true;
    sim.submit("service", accepted(LONG_RUNNING, sim.now, vec![gang]));
    sim.run(500);
    let unstored = sim.starts_of("service");
    sim.store_down = false;
    sim.run(200);

    let times: BTreeSet<Millis> = sim.fleet.starts.iter().map(|(at, ..)| *at).collect();
    assert_eq!(unstored, 0);
    assert_eq!(sim.starts_of("service"), 2);
    assert_eq!(times.len(), 1);
}

#[test]
fn a_start_whose_job_is_cancelled_before_it_is_stored_is_not_sent() {
    let mut sim = Simulation::new(&["w1"], |_, _| (600_000, Outcome::Done, TASK_CPU));
    sim.run(100);
    sim.store_down = true;

    let job = accepted(LONG_RUNNING, sim.now, vec![lasting(1)]);
    sim.submit("service", job);
    sim.run(100);
    sim.engine.cancel("service", sim.now);
    sim.store_down = false;
    sim.run(1000);

    assert_eq!(sim.starts_of("service"), 0);
    assert!(sim.engine.job("service").is_none());
}

fn number(random: &mut Gen, below: u64) -> u64 {
    let values: Vec<u64> = (0..below).collect();
    *random.choose(&values).expect("the range is not empty")
}

/// Runs a service and a batch through random faults and changes of the owner.
fn survive(seed: u64) -> Simulation {
    const WORKERS: [&str; 5] = ["w1", "w2", "w3", "w4", "w5"];
    let mut random = Gen::from_size_and_seed(100, seed);
    let mut sim = Simulation::new(&WORKERS, |task, run| match &*task.job {
        "service" if (task.index + run).is_multiple_of(2) => (900, Outcome::Failed, TASK_CPU),
        "service" => (600_000, Outcome::Done, TASK_CPU),
        _ => (1500, Outcome::Done, 10 * CORE),
    });
    sim.fleet.keeps_name = seed.is_multiple_of(2);
    let job = accepted(LONG_RUNNING, sim.now, vec![lasting(3)]);
    sim.submit("service", job);
    let job = accepted(CHECKS, sim.now, vec![step(20, 10 * CORE)]);
    sim.submit("batch", job);
    for _ in 0..15 {
        let workers: Vec<Name> = sim.fleet.workers.keys().cloned().collect();
        let chosen = workers[number(&mut random, workers.len() as u64) as usize].clone();
        match number(&mut random, 8) {
            0 | 1 => cut_off(&mut sim, &chosen),
            2 => {
                for worker in sim.fleet.workers.values_mut() {
                    worker.reachable = true;
                }
            }
            3 if workers.len() > 3 => sim.fleet.crash(&chosen, sim.now),
            4 => sim.unlist(&chosen),
            5 => sim.list_again(),
            6 => sim.store_down = !sim.store_down,
            _ => {
                // The store turns only the owner away.
                sim.store_down = false;
                sim.take_over();
            }
        }
        let delay = 100 * number(&mut random, 20);
        let link = match number(&mut random, 4) {
            0 => Link::Delayed(delay),
            1 => Link::LostReply,
            _ => Link::Normal,
        };
        let millis = 10 * (1 + number(&mut random, 50));
        sim.run_on(millis, |worker| {
            if *worker == chosen {
                link
            } else {
                Link::Normal
            }
        });
    }
    sim
}

/// Ends all faults and waits until nothing is left of them.
fn heal(sim: &mut Simulation) {
    for worker in sim.fleet.workers.values_mut() {
        worker.reachable = true;
    }
    sim.store_down = false;
    sim.list_again();
    sim.run(2 * LEASES_END_MILLIS);
}

#[test]
fn no_lasting_task_runs_twice_or_is_lost_in_random_changes_of_the_owner() {
    for seed in 0..SEEDS {
        let mut sim = survive(seed);
        if seed.is_multiple_of(10) {
            heal(&mut sim);

            let recent = Millis(sim.now.0 - 2000);
            let starts = sim.fleet.starts.iter();
            let lost: Vec<TaskId> = (0..3)
                .map(task)
                .filter(|task| {
                    let mut recent = starts.clone().filter(|(at, ..)| *at > recent);
                    // It may be between two runs.
                    sim.fleet.worker_of(task).is_none()
                        && !recent.any(|(_, started, ..)| started == task)
                })
                .collect();
            assert_eq!(lost, Vec::<TaskId>::new(), "seed {seed}");
        }
        assert_eq!(sim.fleet.violations, Vec::<String>::new(), "seed {seed}");
    }
}
