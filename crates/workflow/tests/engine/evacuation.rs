//! No task starts on a worker of an evacuated data centre. The data centre of the worker `north/w1`
//! is `north`.

use std::time::Duration;

use basilbridge_common::unit::{
    Millis,
    Resources, //
};
use basilbridge_workflow::{
    advice_request::{
        AdviceReply,
        Approval, //
    },
    availability::{
        self,
        Obstacle,
        Reason, //
    },
    engine::Settings,
    event::{
        Cause,
        Event, //
    },
    job::{
        State,
        TaskId, //
    },
    order::Order,
    policy::AdviceSettings,
    report::Outcome,
    worker::{
        Phase,
        Run,
        Worker, //
    },
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
        entry,
        name,
        policy,
        queue,
        settings,
        step, //
    },
};

const CORE: u64 = 1000;

fn quick(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (200, Outcome::Done, CORE)
}

fn long(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (60_000, Outcome::Done, CORE)
}

fn whole_worker(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (2000, Outcome::Done, WORKER_CPU)
}

fn short_advice() -> AdviceSettings {
    AdviceSettings {
        per_call: Duration::from_millis(23),
        per_worker: Duration::from_micros(320),
        ticket_lifetime: Duration::from_millis(2500),
    }
}

/// Returns how many runs were started on workers of a data centre since `since`.
fn starts_in(sim: &Simulation, data_centre: &str, since: Millis) -> usize {
    let prefix = format!("{data_centre}/");
    let starts = sim.fleet.starts.iter();
    starts
        .filter(|(at, _, _, worker)| *at > since && worker.starts_with(&prefix))
        .count()
}

fn task(job: &str) -> TaskId {
    TaskId {
        job: job.into(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// Returns a run of a job that is not known.
fn unknown_run() -> Run {
    Run {
        run: 1,
        position: None,
        pool: POOL.into(),
        demand: Resources::default(),
        team: None,
        over_quota: false,
        phase: Phase::Confirmed(Millis(0)),
        start_bytes: 0,
        started_at: Millis(0),
        proven_at: None,
        whole: false,
        reading: None,
        percent: 0.0,
        progressed_at: Millis(0),
        measurement: 0.0,
        throttle_percent: Some(100),
        stop_sent: None,
    }
}

fn stops(sim: &Simulation, cause: Cause) -> usize {
    let is_stop =
        |event: &&Event| matches!(event, Event::Stop { cause: given, .. } if *given == cause);
    sim.events.iter().filter(is_stop).count()
}

#[test]
fn each_reason_that_keeps_a_worker_from_new_work_is_told_with_its_end() {
    let now = Millis(10_000);
    let usable = {
        let mut worker = Worker::new(entry("north/w1", 1));
        worker.reboot(1);
        worker.read_clock(5, now);
        worker.is_on_roster = true;
        worker.is_boot_confirmed = true;
        worker
    };
    let reason_after = |change: fn(&mut Worker)| {
        let mut worker = usable.clone();
        change(&mut worker);
        availability::obstacle(&worker, now).map(|obstacle| obstacle.reason)
    };

    assert_eq!(reason_after(|_| {}), None);
    assert_eq!(
        reason_after(|worker| worker.listed = false),
        Some(Reason::Unlisted)
    );
    assert_eq!(
        reason_after(|worker| worker.is_boot_confirmed = false),
        Some(Reason::Unconfirmed)
    );
    assert_eq!(
        reason_after(|worker| worker.info.leaving = true),
        Some(Reason::Leaving)
    );
    assert_eq!(
        reason_after(|worker| worker.evacuated = true),
        Some(Reason::Evacuated)
    );
    assert_eq!(
        reason_after(|worker| worker.info.boot = 2),
        Some(Reason::Rebooted)
    );
    assert_eq!(
        reason_after(|worker| worker.is_on_roster = false),
        Some(Reason::OffRoster)
    );
    assert_eq!(
        reason_after(|worker| worker.unresponsive = true),
        Some(Reason::Unresponsive)
    );
    assert_eq!(
        reason_after(|worker| worker.last_response = Some(Millis(7500))),
        Some(Reason::Unresponsive)
    );
    assert_eq!(
        reason_after(|worker| worker.add_run(task("j1"), unknown_run())),
        Some(Reason::UnknownRuns)
    );
    let backing_off = {
        let mut worker = usable.clone();
        worker.avoid_until = Millis(10_500);
        worker
    };
    assert_eq!(
        availability::obstacle(&backing_off, now),
        Some(Obstacle {
            reason: Reason::BackingOff,
            until: Some(Millis(10_500)),
        })
    );
}

/// Guards `availability::obstacle`: without it a pass would place tasks there.
#[test]
fn work_waits_while_all_data_centres_are_evacuated_and_starts_once_one_is_back() {
    let mut sim = Simulation::new(&["north/w1", "south/w2"], quick);
    sim.run(50);

    sim.evacuate(&["north", "south"]);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(3, CORE)]));
    sim.run(3000);
    let meanwhile = sim.starts_of("j1");
    let revoked_at = sim.now;
    sim.evacuate(&["north"]);
    sim.run(1000);

    assert_eq!(meanwhile, 0);
    assert_eq!(starts_in(&sim, "south", revoked_at), 3);
    assert_eq!(starts_in(&sim, "north", Millis(0)), 0);
    assert_eq!(sim.state("j1"), State::Completed);
}

#[test]
fn an_evacuation_that_was_revoked_and_requested_again_is_in_force() {
    let mut sim = Simulation::new(&["north/w1", "south/w2"], quick);
    sim.run(50);
    sim.evacuate(&["north"]);
    sim.run(500);
    sim.evacuate(&[]);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.run(500);
    let between = starts_in(&sim, "north", Millis(0));

    sim.evacuate(&["north"]);
    let since = sim.now;
    sim.submit("j2", accepted(CHECKS, sim.now, vec![step(3, CORE)]));
    sim.run(1000);

    assert_eq!(between, 1);
    assert_eq!(starts_in(&sim, "north", since), 0);
    assert_eq!(sim.state("j2"), State::Completed);
}

/// Guards `Engine::may_send`: a worker takes few orders at once, so a start can wait in the owner
/// for seconds.
#[test]
fn a_start_that_waits_to_be_sent_is_withheld_and_its_task_starts_elsewhere() {
    let mut sim = Simulation::new(&["north/w1", "south/w2"], quick);
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(2, CORE)]));
    sim.run_on(20, |_| Link::Queued);
    let waiting = sim.queued.len();

    sim.evacuate(&["north"]);
    sim.send_queued();
    sim.run(1000);

    assert_eq!(waiting, 2);
    assert_eq!(starts_in(&sim, "north", Millis(0)), 0);
    assert_eq!(sim.state("j1"), State::Completed);
}

#[test]
fn a_start_without_an_answer_is_not_repeated_there() {
    let mut sim = Simulation::new(&["north/w1", "south/w2"], quick);
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.run_on(20, |_| Link::LostOrder);

    sim.evacuate(&["north"]);
    let since = sim.now;
    sim.run(3000);

    assert_eq!(starts_in(&sim, "north", since), 0);
    assert_eq!(sim.state("j1"), State::Completed);
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

/// Guards `evacuation::start_end`: with the lease of 5.5 s a start that is delayed on its way would
/// be accepted after the limit of 5 s.
#[test]
fn a_start_is_valid_only_for_a_part_of_the_time_limit_of_an_evacuation() {
    let mut sim = Simulation::new(&["north/w1"], quick);
    sim.settings = Settings {
        evacuation_limit: Some(Duration::from_secs(5)),
        ..settings(0)
    };
    sim.take_over();
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.engine.schedule(sim.now);

    let orders = sim.engine.take_orders();

    let start = orders.iter().find_map(|order| match order {
        Order::Start(start) => Some(start),
        _ => None,
    });
    let clock = sim.now.0;
    assert!(start.expect("a start is ordered").lease_end <= clock + 4000);
}

/// Guards the pool: a call costs time for each worker that it names, and the tickets would be of no
/// use.
#[test]
fn no_advice_is_requested_about_workers_of_an_evacuated_data_centre() {
    let mut sim = Simulation::new(&["north/w1", "north/w2", "south/w3"], quick);
    let mut advised = policy(0);
    let checks = queue(CHECKS, 0, Some(short_advice()));
    advised.queues.insert(checks.name.clone(), checks);
    sim.engine.set_policy(advised);
    sim.run(50);

    sim.evacuate(&["north"]);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(2, CORE)]));
    sim.run(100);
    let partly = std::mem::take(&mut sim.requests);
    sim.evacuate(&["north", "south"]);
    sim.submit("j2", accepted(CHECKS, sim.now, vec![step(2, CORE)]));
    sim.run(500);

    assert_eq!(partly.len(), 1);
    assert_eq!(partly[0].workers, [name("south/w3")]);
    assert_eq!(sim.requests.len(), 0);
}

#[test]
fn a_ticket_from_before_the_evacuation_is_not_used() {
    let mut sim = Simulation::new(&["north/w1"], quick);
    let mut advised = policy(0);
    let checks = queue(CHECKS, 0, Some(short_advice()));
    advised.queues.insert(checks.name.clone(), checks);
    sim.engine.set_policy(advised);
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(2, CORE)]));
    sim.run(50);
    let request = sim.requests.remove(0);
    let reply = AdviceReply {
        approved: vec![Approval {
            worker: "north/w1".into(),
            ticket: "ticket".into(),
        }],
        ticket_lifetime: Duration::from_millis(2500),
    };

    sim.evacuate(&["north"]);
    sim.engine.handle_advice(&request, Some(&reply), sim.now);
    sim.run(1000);

    assert_eq!(sim.starts_of("j1"), 0);
}

/// Guards the pool: urgent work could not use what a preemption there frees.
#[test]
fn nothing_is_preempted_in_an_evacuated_data_centre() {
    let mut sim = Simulation::new(&["north/w1"], whole_worker);
    let mut plan = step(1, WORKER_CPU / 2);
    plan.checkpoints = true;
    sim.run(50);
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan]));
    sim.run(300);

    sim.evacuate(&["north"]);
    sim.submit(
        "check",
        accepted(CHECKS, sim.now, vec![step(1, WORKER_CPU)]),
    );
    sim.run(500);

    assert_eq!(sim.starts_of("plan"), 1);
    assert_eq!(stops(&sim, Cause::Preempted), 0);
}

/// Guards `Engine::preempt_own_team`.
#[test]
fn nothing_is_preempted_there_for_the_cap_of_a_team_either() {
    let mut sim = Simulation::new(&["north/w1", "south/w2"], whole_worker);
    sim.engine.set_policy(policy(WORKER_CPU));
    let mut plan = step(1, WORKER_CPU / 2);
    plan.checkpoints = true;
    sim.run(50);
    sim.submit("plan", accepted(PLANS, sim.now, vec![plan]));
    sim.run(300);

    sim.evacuate(&["north"]);
    sim.submit(
        "check",
        accepted(CHECKS, sim.now, vec![step(1, WORKER_CPU)]),
    );
    sim.run(500);

    assert_eq!(starts_in(&sim, "north", Millis(0)), 1);
    assert_eq!(stops(&sim, Cause::Preempted), 0);
}

/// Guards `Engine::may_send` for gangs: the members that were started wait for the others.
#[test]
fn a_gang_of_which_half_is_placed_starts_anew_elsewhere() {
    let mut sim = Simulation::new(&["north/w1", "south/w2", "south/w3"], long);
    let mut gang = step(2, 40 * CORE);
    gang.gang = true;
    sim.run(50);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![gang]));
    sim.run_on(20, |worker| {
        if worker.starts_with("north/") {
            Link::Queued
        } else {
            Link::Normal
        }
    });
    let placed = (sim.queued.len(), sim.starts_of("j1"));

    sim.evacuate(&["north"]);
    let since = sim.now;
    sim.send_queued();
    sim.run(2000);

    assert_eq!(placed, (1, 1));
    assert_eq!(starts_in(&sim, "north", Millis(0)), 0);
    assert_eq!(starts_in(&sim, "south", since), 2);
    assert_eq!(stops(&sim, Cause::Gang), 1);
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

/// Guards the placement of gangs, which chooses all workers at once.
#[test]
fn a_gang_does_not_start_on_an_evacuated_worker_to_be_complete() {
    let mut sim = Simulation::new(&["north/w1", "south/w2"], long);
    let mut gang = step(2, 40 * CORE);
    gang.gang = true;
    sim.run(50);

    sim.evacuate(&["north"]);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![gang]));
    sim.run(1000);

    assert_eq!(sim.starts_of("j1"), 0);
}

/// Guards the registration of workers: a new owner is told of the evacuation before it knows any
/// worker, and of some workers only when they boot.
#[test]
fn a_new_owner_starts_nothing_there_and_neither_on_workers_that_register_later() {
    let mut sim = Simulation::new(&["north/w1", "south/w2"], quick);
    sim.run(50);
    sim.evacuate(&["north"]);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(2, CORE)]));

    sim.take_over();
    sim.run(500);
    let boot = sim.fleet.reboot(&name("north/w1"), sim.now);
    sim.engine.register_worker(entry("north/w1", boot), sim.now);
    sim.submit("j2", accepted(CHECKS, sim.now, vec![step(2, CORE)]));
    sim.run(2000);

    assert_eq!(starts_in(&sim, "north", Millis(0)), 0);
    assert_eq!(sim.state("j1"), State::Completed);
    assert_eq!(sim.state("j2"), State::Completed);
}

#[test]
fn the_capacity_of_an_evacuated_data_centre_is_no_part_of_the_reserve() {
    let mut sim = Simulation::new(&["north/w1", "south/w2"], long);
    sim.run(50);

    sim.evacuate(&["north"]);
    // With the capacity of both, the free part would exceed the reserve.
    sim.submit("plan", accepted(PLANS, sim.now, vec![step(1, 60 * CORE)]));
    sim.run(500);

    assert_eq!(sim.starts_of("plan"), 0);
}
