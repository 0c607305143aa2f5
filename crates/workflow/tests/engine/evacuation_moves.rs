//! Moves of runs from evacuated data centres. The data centre of the worker `north/w1` is `north`,
//! and tasks are placed there first.

use std::time::Duration;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_workflow::{
    advice_request::{
        AdviceReply,
        Approval, //
    },
    event::{
        Cause,
        Event, //
    },
    job::{
        Step,
        TaskId, //
    },
    policy::AdviceSettings,
    report::Outcome,
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        LONG_RUNNING,
        PLANS,
        TEAM,
        accepted,
        policy,
        queue,
        step, //
    },
};

const CORE: u64 = 1000;

/// Jobs named `soon...` run for 2 s, `mid...` for 6 s and all others for 60 s.
fn by_job(task: &TaskId, _: u32) -> (u64, Outcome, u64) {
    let time = match &*task.job {
        job if job.starts_with("soon") => 2000,
        job if job.starts_with("mid") => 6000,
        _ => 60_000,
    };
    (time, Outcome::Done, CORE)
}

fn simulation(workers: &[&str]) -> Simulation {
    let mut sim = Simulation::new(workers, by_job);
    sim.fleet.checkpoint = Some("c1".into());
    sim.run(50);
    sim
}

fn plan(count: u32, cpu_millis: u64) -> Step {
    let mut step = step(count, cpu_millis);
    step.checkpoints = true;
    step.estimate = Duration::from_secs(60);
    step
}

fn server(count: u32, max_unavailable: Option<u32>) -> Step {
    let mut step = step(count, CORE);
    step.long_running = true;
    step.max_unavailable = max_unavailable;
    step
}

/// Returns how many runs of a job are on workers of a data centre.
fn runs_in(sim: &Simulation, data_centre: &str, job: &str) -> usize {
    let prefix = format!("{data_centre}/");
    let workers = sim.fleet.workers.iter();
    let tasks = workers
        .filter(|(name, _)| name.starts_with(&prefix))
        .flat_map(|(_, worker)| worker.running.keys());
    tasks.filter(|task| *task.job == *job).count()
}

fn evacuation_stops(sim: &Simulation) -> usize {
    let is_stop = |event: &&Event| {
        matches!(
            event,
            Event::Stop {
                cause: Cause::Evacuated,
                ..
            }
        )
    };
    sim.events.iter().filter(is_stop).count()
}

/// Returns the events about data centres, with the number of runs of each.
fn reports(sim: &Simulation) -> Vec<(&'static str, usize)> {
    let reports = sim.events.iter().filter_map(|event| match event {
        Event::DataCentre {
            evacuated: true,
            runs,
            ..
        } => Some(("evacuated", *runs)),
        Event::DataCentre { runs, .. } => Some(("back", *runs)),
        Event::DataCentreEmpty { .. } => Some(("empty", 0)),
        Event::Staying { .. } => Some(("staying", 1)),
        _ => None,
    });
    reports.collect()
}

fn no_violations(sim: &Simulation) {
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

#[test]
fn a_task_with_a_checkpoint_goes_on_elsewhere() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan(1, CORE)]));
    sim.run(500);
    let before = runs_in(&sim, "north", "plan");

    sim.evacuate(&["north"]);
    sim.run(2000);

    assert_eq!(before, 1);
    assert_eq!(runs_in(&sim, "south", "plan"), 1);
    assert_eq!(evacuation_stops(&sim), 1);
    no_violations(&sim);
}

/// Guards the comparison with the cost of a move, which would waste the work of these tasks.
#[test]
fn a_task_that_ends_soon_or_has_no_checkpoint_is_left_to_end() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    let mut soon = plan(1, CORE);
    soon.estimate = Duration::from_secs(2);
    let mut mid = plan(1, CORE);
    mid.checkpoints = false;
    sim.submit("soon", accepted(PLANS, sim.now, vec![soon]));
    sim.submit("mid", accepted(PLANS, sim.now, vec![mid]));
    sim.run(500);

    sim.evacuate(&["north"]);
    sim.run(7000);

    assert_eq!(evacuation_stops(&sim), 0);
    assert_eq!((sim.starts_of("soon"), sim.starts_of("mid")), (1, 1));
}

/// Guards the count of what would be repeated: a run without a checkpoint starts anew.
#[test]
fn a_task_that_has_written_no_checkpoint_yet_is_moved_only_early() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    sim.fleet.checkpoint = None;
    let mut mid = plan(1, CORE);
    mid.estimate = Duration::from_secs(6);
    sim.submit("mid", accepted(PLANS, sim.now, vec![mid]));
    sim.run(2000);

    sim.evacuate(&["north"]);
    sim.run(1000);

    assert_eq!(evacuation_stops(&sim), 0);
}

#[test]
fn a_task_stays_while_no_capacity_is_free_elsewhere_and_moves_once_there_is() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan(1, 40 * CORE)]));
    sim.run(100);
    sim.submit("soon", accepted(CHECKS, sim.now, vec![step(1, 40 * CORE)]));
    sim.run(100);

    sim.evacuate(&["north"]);
    sim.run(1000);
    let meanwhile = evacuation_stops(&sim);
    sim.run(3000);

    assert_eq!(meanwhile, 0);
    assert_eq!(runs_in(&sim, "south", "plan"), 1);
    no_violations(&sim);
}

/// Guards `Room::reserve`: work that waits comes before runs that need not move.
#[test]
fn a_task_does_not_move_into_capacity_that_other_work_waits_for() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    sim.evacuate(&["north"]);
    sim.submit("mid", accepted(CHECKS, sim.now, vec![step(1, 40 * CORE)]));
    sim.run(100);
    sim.evacuate(&["south"]);
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan(1, 8 * CORE)]));
    sim.run(100);

    // Fits only once the first check has ended.
    sim.submit("soon", accepted(CHECKS, sim.now, vec![step(1, 60 * CORE)]));
    sim.evacuate(&["north"]);
    sim.run(5000);
    let meanwhile = (evacuation_stops(&sim), sim.starts_of("soon"));
    sim.run(4000);

    assert_eq!(meanwhile, (0, 0));
    assert_eq!(sim.starts_of("soon"), 1);
    assert_eq!(runs_in(&sim, "south", "plan"), 1);
    no_violations(&sim);
}

/// Guards `Room::capped_teams`: the work that waits would get the part of the cap that the moving
/// run gives up, and the run would wait instead.
#[test]
fn a_task_does_not_move_while_work_of_its_team_waits_for_the_cap() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    sim.engine.set_policy(policy(10 * CORE));
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan(1, 8 * CORE)]));
    sim.run(100);
    assert_eq!(sim.engine.used_by(TEAM).cpu_millis, 8 * CORE);

    sim.submit("late", accepted(PLANS, sim.now, vec![plan(1, 8 * CORE)]));
    sim.evacuate(&["north"]);
    sim.run(2000);

    assert_eq!(evacuation_stops(&sim), 0);
    assert_eq!(runs_in(&sim, "north", "plan"), 1);
}

#[test]
fn a_gang_moves_as_a_whole_and_only_if_all_of_it_fits() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    let mut gang = plan(2, 40 * CORE);
    gang.gang = true;
    sim.submit("gang", accepted(CHECKS, sim.now, vec![gang]));
    sim.run(500);
    let before = (
        runs_in(&sim, "north", "gang"),
        runs_in(&sim, "south", "gang"),
    );

    sim.evacuate(&["north"]);
    sim.run(2000);
    let stops_without_room = evacuation_stops(&sim);
    let infos = ["south/w3"].map(|name| crate::util::entry(name, 1));
    sim.fleet
        .workers
        .extend(crate::fleet::Fleet::new(&["south/w3"], by_job).workers);
    for info in infos {
        sim.engine.register_worker(info, sim.now);
    }
    sim.run(3000);

    assert_eq!(before, (1, 1));
    assert_eq!(stops_without_room, 0);
    assert_eq!(evacuation_stops(&sim), 2);
    assert_eq!(runs_in(&sim, "south", "gang"), 2);
    no_violations(&sim);
}

/// Guards `Engine::may_be_away`. A task counts as away until it has been at work for 5.5 s.
#[test]
fn no_more_long_running_tasks_are_away_than_their_step_allows() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    sim.report_at_work = true;
    sim.submit(
        "server",
        accepted(LONG_RUNNING, sim.now, vec![server(3, Some(1))]),
    );
    sim.run(7000);
    let before = runs_in(&sim, "north", "server");

    sim.evacuate(&["north"]);
    let mut moves: Vec<Millis> = Vec::new();
    let mut fewest = 3;
    for _ in 0..1500 {
        sim.run(10);
        let running = runs_in(&sim, "north", "server") + runs_in(&sim, "south", "server");
        fewest = fewest.min(running);
        if evacuation_stops(&sim) > moves.len() {
            moves.push(sim.now);
        }
    }

    assert_eq!(before, 3);
    assert_eq!(fewest, 2);
    assert_eq!(runs_in(&sim, "south", "server"), 3);
    for pair in moves.windows(2) {
        assert!(pair[1].since(pair[0]) >= Duration::from_millis(5500));
    }
    no_violations(&sim);
}

/// Guards the count of tasks that are away for another reason.
#[test]
fn no_long_running_task_moves_while_another_of_its_step_is_away() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    sim.report_at_work = true;
    sim.submit(
        "server",
        accepted(LONG_RUNNING, sim.now, vec![server(2, Some(1))]),
    );
    sim.run(7000);
    // The second task has to start again and counts as away until it is at work.
    let task = TaskId {
        job: "server".into(),
        occurrence: 0,
        step: 0,
        index: 1,
    };
    let worker = sim.fleet.worker_of(&task).expect("it runs");
    let run = {
        let worker = sim.fleet.workers.get_mut(&worker).expect("it is there");
        worker.running.get_mut(&task).expect("it runs")
    };
    (run.ends, run.outcome) = (sim.now, Outcome::Failed);
    sim.run(100);

    sim.evacuate(&["north"]);
    sim.run(4000);

    assert_eq!(evacuation_stops(&sim), 0);
}

#[test]
fn a_long_running_task_that_can_not_move_stays_and_is_reported_once() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    sim.report_at_work = true;
    sim.submit(
        "server",
        accepted(LONG_RUNNING, sim.now, vec![server(1, None)]),
    );
    sim.run(7000);

    sim.evacuate(&["north"]);
    sim.run(3000);

    assert_eq!(runs_in(&sim, "north", "server"), 1);
    assert_eq!(reports(&sim), [("evacuated", 1), ("staying", 1)]);
}

/// Guards `MAX_MOVING_FRACTION`: with 16 workers left, two tasks move at the same time.
#[test]
fn runs_move_a_few_at_a_time_until_the_data_centre_is_empty() {
    let names: Vec<String> = (0..16).map(|number| format!("south/w{number}")).collect();
    let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
    names.push("north/w1");
    let mut sim = simulation(&names);
    sim.evacuate(&["south"]);
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan(20, CORE)]));
    sim.run(500);
    let before = runs_in(&sim, "north", "plan");

    sim.evacuate(&["north"]);
    let mut most_moving = 0;
    for _ in 0..1500 {
        sim.run(10);
        let started_again = sim.starts_of("plan") - before;
        most_moving = most_moving.max(evacuation_stops(&sim) - started_again);
    }

    assert_eq!(before, 20);
    assert_eq!(most_moving, 2);
    assert_eq!(runs_in(&sim, "south", "plan"), 20);
    assert_eq!(
        reports(&sim).last(),
        Some(&("empty", 0)),
        "{:?}",
        reports(&sim)
    );
    no_violations(&sim);
}

#[test]
fn nothing_is_stopped_while_all_data_centres_are_evacuated() {
    let mut sim = simulation(&["north/w1", "south/w2"]);
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan(2, CORE)]));
    sim.run(500);

    sim.evacuate(&["north", "south"]);
    sim.run(3000);

    assert_eq!(evacuation_stops(&sim), 0);
}

/// Guards the wait of `announce_evacuations`: a new owner has to know the runs that it reports.
#[test]
fn a_new_owner_continues_an_evacuation_and_runs_nothing_twice() {
    let mut sim = simulation(&["north/w1", "south/w2", "south/w3"]);
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan(4, CORE)]));
    sim.run(500);
    sim.evacuate(&["north"]);
    sim.run(300);
    sim.events.clear();

    sim.take_over();
    sim.run(12_000);

    assert_eq!(runs_in(&sim, "south", "plan"), 4);
    let reports = reports(&sim);
    assert!(
        matches!(reports[..], [("evacuated", 1..=4), ("empty", 0)]),
        "{reports:?}"
    );
    no_violations(&sim);
}

/// Guards the wait of `Engine::evacuate`: inherited tasks that are stopped can't start again before
/// all workers have answered, or their leases are over.
#[test]
fn a_new_owner_stops_nothing_before_it_may_start_it_again() {
    let mut sim = simulation(&["north/w1", "south/w2", "south/w3"]);
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan(1, CORE)]));
    sim.run(500);
    sim.evacuated = ["north".into()].into();
    let silent = sim.fleet.workers.get_mut("south/w3");
    silent.expect("the test made it").reachable = false;

    sim.take_over();
    sim.run(4000);
    let meanwhile = evacuation_stops(&sim);
    sim.run(8000);

    assert_eq!(meanwhile, 0);
    assert_eq!(runs_in(&sim, "south", "plan"), 1);
    no_violations(&sim);
}

#[test]
fn each_evacuation_and_its_end_are_reported_with_the_runs_there() {
    let mut sim = simulation(&["north/w1"]);
    sim.submit("soon", accepted(CHECKS, sim.now, vec![step(2, CORE)]));
    sim.run(500);

    sim.evacuate(&["north"]);
    sim.run(3000);
    sim.evacuate(&[]);
    sim.run(100);
    sim.evacuate(&["north"]);
    sim.run(100);

    assert_eq!(
        reports(&sim),
        [
            ("evacuated", 2),
            ("empty", 0),
            ("back", 0),
            ("evacuated", 0)
        ]
    );
}

/// Guards the choice by verdict: a task that was stopped would find no worker.
#[test]
fn a_task_does_not_move_to_workers_that_the_advice_service_rejects() {
    let stops_after = |approved: &[&str]| {
        let mut sim = simulation(&["north/w1", "south/w2", "south/w3"]);
        let mut advised = policy(0);
        let advice = AdviceSettings {
            per_call: Duration::from_millis(507),
            per_worker: Duration::from_millis(7),
            ticket_lifetime: Duration::from_millis(2500),
        };
        let plans = queue(PLANS, 2, Some(advice));
        advised.queues.insert(plans.name.clone(), plans);
        sim.engine.set_policy(advised);
        sim.submit("plan", accepted(PLANS, sim.now, vec![plan(1, CORE)]));
        sim.run(50);
        let request = sim.requests.remove(0);
        let approval = |worker: &&str| Approval {
            worker: Name::from(*worker),
            ticket: "ticket".into(),
        };
        let reply = AdviceReply {
            approved: approved.iter().map(approval).collect(),
            ticket_lifetime: Duration::from_millis(2500),
        };
        sim.engine.handle_advice(&request, Some(&reply), sim.now);
        sim.run(500);
        assert_eq!(runs_in(&sim, "north", "plan"), 1);
        sim.evacuate(&["north"]);
        sim.run(1500);
        evacuation_stops(&sim)
    };

    assert_eq!(stops_after(&["north/w1"]), 0);
    assert_eq!(stops_after(&["north/w1", "south/w2"]), 1);
}
