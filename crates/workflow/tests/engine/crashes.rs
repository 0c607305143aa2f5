//! Workers that crash: which task is to blame, and how soon the others run again.

use std::time::Duration;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_workflow::{
    crash::{
        self,
        Neighbours,
        Suspect, //
    },
    job::{
        Schedule,
        State,
        TaskId, //
    },
    report::Outcome, //
};

use crate::{
    simulation::{
        Link,
        Simulation, //
    },
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

/// Time after that from which on a task that does not run counts as lost, with room for it.
const LOST_TIME: Duration = Duration::from_secs(3);

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
    sim.engine
        .handle_replaced(key, &crate::util::address(&worker), sim.now);
    let polled_when_replaced = sim.engine.poll(key, sim.now).is_some();
    let boot = sim.fleet.reboot(&worker, sim.now);

    sim.engine.register_worker(entry("w1", boot), sim.now);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.run(500);

    assert!(!polled_when_replaced);
    assert_eq!(sim.state("j1"), State::Completed);
}

/// Runs until the number of crashes has grown, at most `millis`. Returns whether it has.
fn run_until_crash(sim: &mut Simulation, millis: u64) -> bool {
    let before = sim.fleet.crashes.len();
    for _ in 0..millis / 10 {
        sim.run(10);
        if sim.fleet.crashes.len() > before {
            return true;
        }
    }
    false
}

fn steady(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (2000, Outcome::Done, CORE)
}

fn assert_given_up(sim: &Simulation, job: &str) {
    let crashes = sim.fleet.crashes_under(&first_task(job));
    assert_eq!(sim.state(job), State::Failed, "{crashes} crashes");
    assert!(crashes < CRASH_BUDGET + 3, "{crashes} crashes");
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

#[test]
fn sound_jobs_beside_deadly_ones_are_done() {
    let mut sim = deadly_simulation(steady);
    let sound: Vec<String> = (0..12).map(|index| format!("sound-{index}")).collect();

    for id in &sound {
        sim.submit(id, accepted(CHECKS, sim.now, vec![step(3, CORE)]));
    }
    for id in ["deadly-1", "deadly-2", "deadly-3"] {
        sim.submit(id, accepted(CHECKS, sim.now, vec![step(4, CORE)]));
    }
    sim.run(45_000);

    for id in &sound {
        assert_eq!(sim.state(id), State::Completed, "{id}");
    }
    for id in ["deadly-1", "deadly-2", "deadly-3"] {
        assert_given_up(&sim, id);
    }
}

#[test]
fn a_deadly_task_is_given_up_if_its_workers_return_under_their_names() {
    let mut sim = deadly_simulation(quick);
    sim.fleet.keeps_name = true;

    sim.submit("deadly", accepted(CHECKS, sim.now, vec![step(2, CORE)]));
    sim.run(60_000);

    assert_given_up(&sim, "deadly");
}

#[test]
fn a_deadly_task_is_given_up_if_the_answers_to_its_starts_are_lost() {
    let mut sim = deadly_simulation(quick);

    sim.submit("deadly", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    for _ in 0..6000 {
        let is_placed = sim.fleet.worker_of(&first_task("deadly")).is_some();
        // Only the pass that sends a start has a link that loses the answer.
        sim.run_on(10, |_| {
            if is_placed {
                Link::Normal
            } else {
                Link::LostReply
            }
        });
        sim.run(20);
    }

    assert_given_up(&sim, "deadly");
}

/// The owner ends soon after each crash, before it is certain.
#[test]
fn a_deadly_task_is_given_up_although_the_owner_changes_after_each_crash() {
    let mut sim = deadly_simulation(quick);

    sim.submit("deadly", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    while run_until_crash(&mut sim, 20_000) {
        sim.run(100);
        sim.take_over_from(true);
    }
    sim.run(10_000);

    assert_given_up(&sim, "deadly");
}

/// The owner ends together with each worker. It leaves no record of the first crash, and one of the
/// start that led to each later one.
#[test]
fn a_deadly_task_is_given_up_although_the_owner_ends_at_each_crash() {
    let mut sim = deadly_simulation(quick);

    sim.submit("deadly", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    run_until_crash(&mut sim, 20_000);
    sim.run(100);
    while run_until_crash(&mut sim, 20_000) {
        sim.take_over_from(true);
    }
    sim.run(10_000);

    assert_given_up(&sim, "deadly");
}

#[test]
fn a_deadly_gang_is_given_up() {
    // The other members end once one of them has not appeared in time.
    let mut sim = deadly_simulation(|_, _| (3000, Outcome::Alone, CORE));
    let mut gang = step(3, CORE);
    gang.gang = true;
    gang.max_per_worker = Some(1);

    sim.submit("deadly", accepted(CHECKS, sim.now, vec![gang]));
    sim.run(60_000);

    assert_given_up(&sim, "deadly");
}

#[test]
fn a_deadly_long_running_task_is_given_up() {
    let mut sim = deadly_simulation(endless);
    let mut long_running = step(2, CORE);
    long_running.long_running = true;

    sim.submit(
        "deadly",
        accepted(LONG_RUNNING, sim.now, vec![long_running]),
    );
    sim.run(60_000);

    assert_given_up(&sim, "deadly");
}

#[test]
fn a_deadly_task_of_a_scheduled_job_is_given_up() {
    let mut sim = deadly_simulation(quick);
    let mut scheduled = accepted(CHECKS, sim.now, vec![step(1, CORE)]);
    scheduled.spec.schedule = Some(Schedule {
        times: 3,
        first: Millis(sim.now.0 + 1000),
        interval: Duration::from_secs(2),
    });

    sim.submit("deadly", scheduled);
    sim.run(60_000);

    assert_eq!(sim.state("deadly"), State::Failed);
    for occurrence in 0..3 {
        let task = TaskId {
            occurrence,
            ..first_task("deadly")
        };
        assert!(sim.fleet.crashes_under(&task) < CRASH_BUDGET + 3);
    }
}

#[test]
fn a_sound_task_survives_three_outages_of_all_workers() {
    let mut sim = deadly_simulation(steady);
    sim.submit("sound", accepted(CHECKS, sim.now, vec![step(1, CORE)]));

    for _ in 0..3 {
        while sim.fleet.worker_of(&first_task("sound")).is_none() {
            sim.run(10);
        }
        let workers: Vec<Name> = sim.fleet.workers.keys().cloned().collect();
        for worker in workers {
            sim.fleet.crash(&worker, sim.now);
        }
    }
    sim.run(10_000);

    assert_eq!(sim.state("sound"), State::Completed);
}

#[test]
fn a_sound_task_survives_a_machine_that_crashes_by_itself() {
    let mut sim = Simulation::new(&["w1"], steady);
    sim.submit("sound", accepted(CHECKS, sim.now, vec![step(1, CORE)]));

    for _ in 0..3 {
        while sim.fleet.worker_of(&first_task("sound")).is_none() {
            sim.run(10);
        }
        let worker = sim.fleet.worker_of(&first_task("sound")).expect("it runs");
        sim.fleet.crash(&worker, sim.now);
    }
    sim.run(10_000);

    assert_eq!(sim.state("sound"), State::Completed);
}

#[test]
fn a_long_running_task_is_not_given_up_for_crashes_that_are_far_apart() {
    let mut sim = deadly_simulation(endless);
    let mut long_running = step(1, CORE);
    long_running.long_running = true;
    sim.submit("sound", accepted(LONG_RUNNING, sim.now, vec![long_running]));

    for _ in 0..6 {
        sim.run(1000);
        sim.report_at_work = true;
        sim.run(8000);
        let worker = sim.fleet.worker_of(&first_task("sound")).expect("it runs");
        sim.fleet.crash(&worker, sim.now);
        sim.run(4000);
    }

    assert_eq!(sim.starts_of("sound"), 7);
    assert_ne!(sim.state("sound"), State::Failed);
}

#[test]
fn a_task_is_not_blamed_for_a_worker_that_was_cut_off() {
    let mut sim = deadly_simulation(endless);
    sim.submit("sound", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.run(100);
    let cut = sim.fleet.starts[0].3.clone();

    sim.run_on(8000, |name| {
        if *name == cut {
            Link::LostOrder
        } else {
            Link::Normal
        }
    });
    let while_cut = sim.history("sound").crashes.len();
    sim.run(1000);

    assert_eq!(while_cut, 1);
    assert_eq!(sim.history("sound").crashes.len(), 0);
    assert_eq!(sim.starts_of("sound"), 2);
}

fn suspect(crashes: usize, started_at: u64, proven_at: Option<u64>) -> Suspect {
    Suspect {
        crashes,
        started_at: Millis(started_at),
        proven_at: proven_at.map(Millis),
    }
}

#[test]
fn a_task_that_was_blamed_before_is_blamed_alone_beside_runs_that_proved_harmless() {
    let runs = [
        suspect(0, 100, Some(900)),
        suspect(2, 1000, None),
        suspect(1, 200, Some(950)),
    ];

    let verdict = crash::blame(&runs);

    assert_eq!(verdict.blamed, [1]);
    assert!(verdict.is_clear);
}

/// Found on the day `deadly-owners` of the Pasar Sewa site: the first crashes of a task were blamed on
/// a suspect beside it alone, so that it was started too often.
#[test]
fn each_new_run_is_blamed() {
    let verdict = crash::blame(&[
        suspect(1, 1000, None),
        suspect(0, 1100, None),
        suspect(0, 100, Some(200)),
    ]);

    assert_eq!(verdict.blamed, [0, 1]);
    assert!(!verdict.is_clear);
}

#[test]
fn the_task_that_was_blamed_most_is_blamed_if_none_is_new() {
    let verdict = crash::blame(&[
        suspect(2, 1000, Some(1300)),
        suspect(1, 100, Some(300)),
        suspect(0, 100, Some(300)),
    ]);

    assert_eq!(verdict.blamed, [0]);
    assert!(verdict.is_clear);
}

#[test]
fn all_runs_are_blamed_if_none_is_new_and_none_was_blamed_before() {
    let verdict = crash::blame(&[suspect(0, 1000, Some(1200)), suspect(0, 100, Some(300))]);

    assert_eq!(verdict.blamed, [0, 1]);
    assert!(!verdict.is_clear);
}

#[test]
fn many_crashes_at_the_same_time_show_an_outage() {
    let neighbours = |crashed, crashed_in_rack| Neighbours {
        all: 47,
        crashed,
        in_rack: 7,
        crashed_in_rack,
    };

    assert!(!neighbours(3, 1).show_outage());
    assert!(neighbours(6, 0).show_outage());
    assert!(neighbours(4, 4).show_outage());
}

#[test]
fn a_suspect_waits_for_a_worker_of_its_own_but_not_for_long() {
    let beside_unproven_suspect = crash::Colocation {
        unproven_suspect: true,
        suspect: true,
        unproven: true,
        ..crash::Colocation::default()
    };
    let beside_new = crash::Colocation {
        unproven: true,
        ..crash::Colocation::default()
    };
    let admits = |company, crashes, millis, long_running| {
        crash::admits(
            company,
            1,
            crashes,
            Duration::from_millis(millis),
            long_running,
        )
    };

    assert!(admits(crash::Colocation::default(), 1, 0, false));
    assert!(!admits(beside_new, 1, 900, false));
    assert!(admits(beside_new, 1, 1000, false));
    assert!(!admits(beside_new, 2, 1900, false));
    assert!(admits(beside_new, 3, 2000, false));
    assert!(admits(beside_new, 1, 0, true));
    assert!(!admits(beside_unproven_suspect, 1, 60_000, true));
}

const LARGE_JOBS: usize = 20;
const LASTING_TASKS: usize = LARGE_JOBS * 60;

/// Twelve workers, of which one crashes under hundreds of long-running tasks.
fn crash_under_hundreds(is_deadly: fn(&TaskId) -> bool) -> Simulation {
    let names: Vec<String> = (0..12).map(|number| format!("w{number:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut sim = Simulation::new(&names, endless);
    sim.run(50);
    let mut lasting = step((LASTING_TASKS / LARGE_JOBS) as u32, CORE / 20);
    lasting.long_running = true;
    lasting.max_per_worker = Some(6);
    for number in 0..LARGE_JOBS {
        let job = accepted(LONG_RUNNING, sim.now, vec![lasting.clone()]);
        sim.submit(&format!("large-{number}"), job);
    }
    sim.run(4000);
    assert_eq!(running(&sim), LASTING_TASKS);
    sim.fleet.is_deadly = is_deadly;
    let worker = sim.fleet.worker_of(&first_task("large-0"));
    sim.fleet.crash(&worker.expect("it runs"), sim.now);
    sim
}

fn running(sim: &Simulation) -> usize {
    let workers = sim.fleet.workers.values();
    workers.map(|worker| worker.running.len()).sum()
}

/// All were suspects of the crash, and a worker was given one at a time. Found by a review (review/12).
#[test]
fn hundreds_of_long_running_tasks_of_a_crashed_worker_run_again_in_time() {
    let mut sim = crash_under_hundreds(|_| false);
    let missing = LASTING_TASKS - running(&sim);

    sim.run((RESTART_TIME + LOST_TIME).as_millis() as u64);

    assert!(missing > 100, "{missing}");
    assert_eq!(LASTING_TASKS - running(&sim), 0);
}

#[test]
fn a_deadly_task_among_hundreds_is_given_up_and_no_other_one_is() {
    let mut sim = crash_under_hundreds(|task| *task == first_task("large-0"));

    sim.run(40_000);

    assert_eq!(sim.state("large-0"), State::Failed);
    assert!(sim.fleet.crashes_under(&first_task("large-0")) < CRASH_BUDGET + 3);
    assert_eq!(running(&sim), LASTING_TASKS - LASTING_TASKS / LARGE_JOBS);
}

#[test]
fn many_deadly_jobs_are_all_given_up() {
    let mut sim = deadly_simulation(steady);
    let ids: Vec<String> = (0..40).map(|index| format!("deadly-{index}")).collect();

    for id in &ids {
        sim.submit(id, accepted(CHECKS, sim.now, vec![step(2, 10 * CORE)]));
        sim.run(200);
    }
    sim.run(120_000);

    for id in &ids {
        assert_given_up(&sim, id);
    }
}

/// Found on the day `deadly-owners` of the Vodní záchrana site: the new owner stored the progress of
/// the job before it could decide about the run, and forgot that this was still to be done.
#[test]
fn an_inherited_placement_is_resolved_although_its_job_is_stored_meanwhile() {
    let mut sim = deadly_simulation(steady);
    sim.submit("deadly", accepted(CHECKS, sim.now, vec![step(2, CORE)]));
    run_until_crash(&mut sim, 20_000);
    run_until_crash(&mut sim, 20_000);
    let before = sim.history("deadly").crashes.len();
    sim.take_over_from(true);
    let silent = sim.fleet.worker_of(&TaskId {
        index: 1,
        ..first_task("deadly")
    });

    // A worker that does not answer keeps the owner from deciding until the other task has ended.
    let other = sim
        .fleet
        .workers
        .keys()
        .find(|name| Some(*name) != silent.as_ref());
    let other = other.expect("there are several").clone();
    sim.run_on(3000, |name| {
        if *name == other {
            Link::LostOrder
        } else {
            Link::Normal
        }
    });
    // The worker that crashed last is awaited until another one answers at its address.
    sim.run(400);

    assert_eq!(before, 1);
    assert_eq!(sim.history("deadly").crashes.len(), 2);
}

/// Found on the same day: several suspects chose one worker, and recorded another one again and again
/// after the first had started there.
#[test]
fn suspects_that_start_together_are_recorded_on_different_workers() {
    let mut sim = deadly_simulation(steady);
    sim.submit("sound", accepted(CHECKS, sim.now, vec![step(5, CORE)]));
    sim.submit("deadly", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    run_until_crash(&mut sim, 1000);
    while sim.history("sound").crashes.is_empty() {
        sim.run(10);
    }
    let (version, starts) = (sim.version, sim.starts_of("sound"));

    sim.run(100);

    assert_eq!(sim.starts_of("sound"), starts + 5);
    assert!(
        sim.version - version <= 4,
        "{} writes",
        sim.version - version
    );
}

/// Found by soak seeds 316 and 344: two owners in a row ended before it was certain that the worker of
/// the task had crashed, and only one that refuses connections was recorded.
#[test]
fn a_crash_of_a_worker_that_only_falls_silent_survives_its_owner() {
    let mut sim = deadly_simulation(quick);
    sim.submit("deadly", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    run_until_crash(&mut sim, 1000);
    sim.run(20);

    sim.take_over_from(true);
    // The new owner waits for the worker until another one answers at its address.
    sim.run(crate::fleet::CRASH_TIME);

    assert_eq!(sim.history("deadly").crashes.len(), 1);
}
