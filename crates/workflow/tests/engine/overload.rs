//! Placement under overload, where not all work fits.

use std::time::Duration;

use basilbridge_common::{
    id::Name,
    unit::Resources, //
};
use basilbridge_workflow::{
    advice_request::{
        AdviceReply,
        Approval, //
    },
    event::Event,
    job::{
        State,
        TaskId, //
    },
    policy::AdviceSettings,
    report::Outcome,
    reserve, //
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        PLANS,
        TEAM,
        accepted,
        cpu,
        entry,
        policy,
        queue,
        step, //
    },
};

const CORE: u64 = 1000;

/// Returns the behaviour of a run: tasks of plans take 20 s, those of checks 0.8 s.
fn by_job(task: &TaskId, _: u32) -> (u64, Outcome, u64) {
    if task.job.starts_with("plan") {
        (20_000, Outcome::Done, 8 * CORE)
    } else {
        (800, Outcome::Done, 4 * CORE)
    }
}

fn plan(sim: &mut Simulation, number: usize, tasks: u32) {
    let mut long = step(tasks, 8 * CORE);
    long.estimate = Duration::from_secs(20);
    long.checkpoints = true;
    let job = accepted(PLANS, sim.now, vec![long]);
    sim.submit(&format!("plan{number}"), job);
}

fn check(sim: &mut Simulation, number: usize, tasks: u32) {
    let job = accepted(CHECKS, sim.now, vec![step(tasks, 4 * CORE)]);
    sim.submit(&format!("check{number}"), job);
}

fn longest_wait(sim: &Simulation, prefix: &str) -> Duration {
    let waits = sim.events.iter().filter_map(|event| match event {
        Event::Start { task, waited, .. } if task.job.starts_with(prefix) => Some(*waited),
        _ => None,
    });
    waits.max().unwrap_or_default()
}

#[test]
fn a_burst_of_checks_starts_at_once_beside_long_tasks() {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], by_job);
    for number in 0..10 {
        plan(&mut sim, number, 8);
    }
    sim.run(500);

    for number in 0..8 {
        check(&mut sim, number, 1);
    }
    sim.run(1000);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
    assert!(longest_wait(&sim, "check") <= Duration::from_millis(20));
}

#[test]
fn checks_beyond_the_reserve_preempt_long_tasks_with_checkpoints() {
    let mut sim = Simulation::new(&["w1", "w2"], by_job);
    for number in 0..10 {
        plan(&mut sim, number, 8);
    }
    sim.run(500);

    for number in 0..10 {
        check(&mut sim, number, 2);
    }
    sim.run(1500);

    assert_eq!(sim.fleet.violations, Vec::<String>::new());
    // A stop takes 300 ms to take effect on these workers.
    assert!(longest_wait(&sim, "check") <= Duration::from_millis(400));
}

/// Urgent jobs of several seconds stopped less urgent ones that were about to end, which were then
/// late themselves: 8 of 100 photo checks, beside scans that had seconds of slack.
#[test]
fn an_urgent_job_with_slack_waits_until_less_urgent_tasks_end() {
    fn long_checks(task: &TaskId, _: u32) -> (u64, Outcome, u64) {
        let duration = if task.job.starts_with("plan") {
            2000
        } else {
            8000
        };
        (duration, Outcome::Done, 8 * CORE)
    }
    let mut sim = Simulation::new(&["w1"], long_checks);
    plan(&mut sim, 0, 6);
    sim.run(500);

    let mut urgent = step(8, 8 * CORE);
    urgent.estimate = Duration::from_secs(8);
    sim.submit("check0", accepted(CHECKS, sim.now, vec![urgent]));
    sim.run(12_000);

    let is_stop = |event: &&Event| matches!(event, Event::Stop { .. });
    assert_eq!(sim.events.iter().filter(is_stop).count(), 0);
    assert!(longest_wait(&sim, "check") <= Duration::from_millis(1600));
    assert_eq!(sim.state("check0"), State::Completed);
}

#[test]
fn long_tasks_leave_part_of_the_cap_of_their_team_for_checks() {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], by_job);
    sim.engine.set_policy(policy(64 * CORE));
    for number in 0..4 {
        plan(&mut sim, number, 8);
    }
    sim.run(500);

    check(&mut sim, 0, 2);
    sim.run(500);

    assert!(longest_wait(&sim, "check") <= Duration::from_millis(20));
}

#[test]
fn checks_of_a_team_at_its_cap_preempt_its_own_long_tasks() {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], by_job);
    sim.engine.set_policy(policy(64 * CORE));
    for number in 0..4 {
        plan(&mut sim, number, 8);
    }
    sim.run(500);

    check(&mut sim, 0, 6);
    sim.run(2000);

    assert!(longest_wait(&sim, "check") <= Duration::from_millis(400));
    let used = sim.engine.used_by(TEAM).cpu_millis;
    assert!(used <= 64 * CORE);
}

#[test]
fn no_advice_is_requested_for_work_that_the_cap_of_its_team_blocks() {
    let mut sim = Simulation::new(&["w1", "w2"], by_job);
    let mut limited = policy(2 * CORE);
    let advice = AdviceSettings {
        per_call: Duration::from_millis(23),
        per_worker: Duration::from_micros(320),
        ticket_lifetime: Duration::from_millis(2500),
    };
    let checks = queue(CHECKS, 0, Some(advice));
    limited.queues.insert(checks.name.clone(), checks);
    sim.engine.set_policy(limited);

    check(&mut sim, 0, 1);
    sim.run(500);

    assert_eq!(sim.requests.len(), 0);
}

const SCANS: &str = "scans";
const PHOTOS: &str = "photos";
const ACCELERATED: &str = "vision";

/// Returns workers of a second pool with eight accelerators each, and two queues for it, neither of
/// which is as urgent as the checks of the first pool.
fn accelerated_simulation(workers: &[&str]) -> Simulation {
    let mut sim = Simulation::new(workers, by_job);
    let mut mixed = policy(0);
    for (name, priority) in [(SCANS, 1), (PHOTOS, 2)] {
        let mut queue = queue(name, priority, None);
        queue.pool = ACCELERATED.into();
        mixed.queues.insert(queue.name.clone(), queue);
    }
    sim.engine.set_policy(mixed);
    for name in workers {
        let mut info = entry(name, 1);
        info.pool = ACCELERATED.into();
        info.capacity.accelerators = 8;
        sim.engine.register_worker(info, sim.now);
    }
    sim
}

fn submit_accelerated(sim: &mut Simulation, id: &str, queue: &str, tasks: u32, accelerators: u64) {
    let mut step = step(tasks, 4 * CORE);
    step.resources.accelerators = accelerators;
    step.gang = queue == SCANS;
    step.checkpoints = queue == PHOTOS;
    let job = accepted(queue, sim.now, vec![step]);
    sim.submit(id, job);
}

/// The pattern of Pasar Sewa: tasks with one accelerator each hold a part of every worker, and a
/// gang needs all eight of two workers.
#[test]
fn a_gang_that_needs_whole_workers_preempts_less_urgent_tasks_of_its_pool() {
    let mut sim = accelerated_simulation(&["w1", "w2", "w3"]);
    for number in 0..3 {
        submit_accelerated(&mut sim, &format!("plan{number}"), PHOTOS, 8, 1);
    }
    sim.run(500);

    submit_accelerated(&mut sim, "check1", SCANS, 2, 8);
    sim.run(1000);

    assert_eq!(sim.starts_of("check1"), 2);
    assert!(longest_wait(&sim, "check") <= Duration::from_millis(500));
    assert_eq!(sim.fleet.violations, Vec::<String>::new());
}

#[test]
fn nothing_is_stopped_for_a_gang_that_would_not_fit_then_either() {
    let mut sim = accelerated_simulation(&["w1", "w2", "w3"]);
    for number in 0..3 {
        submit_accelerated(&mut sim, &format!("plan{number}"), PHOTOS, 8, 1);
    }
    sim.run(500);

    submit_accelerated(&mut sim, "check1", SCANS, 4, 8);
    sim.run(1000);

    let stops = sim.events.iter();
    let stops = stops.filter(|event| matches!(event, Event::Stop { .. }));
    assert_eq!(stops.count(), 0);
}

#[test]
fn the_reserve_keeps_accelerators_free_of_less_urgent_work() {
    let capacity = Resources {
        accelerators: 100,
        ..cpu(1000 * CORE)
    };
    let photo = Resources {
        accelerators: 1,
        ..cpu(CORE)
    };
    let free = |accelerators| Resources {
        accelerators,
        ..cpu(900 * CORE)
    };

    assert!(reserve::admits(&free(16), &capacity, &photo));
    assert!(!reserve::admits(&free(15), &capacity, &photo));
    assert!(reserve::admits(&free(0), &capacity, &cpu(CORE)));
}

/// A worker that holds a task of a spread step can't take another one, however much room it has.
/// A ticket for it would be of no use, and a call takes a second.
#[test]
fn no_advice_is_requested_about_workers_that_hold_the_other_tasks_of_a_spread_step() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], by_job);
    let mut advised = policy(0);
    let advice = AdviceSettings {
        per_call: Duration::from_millis(560),
        per_worker: Duration::from_millis(8),
        ticket_lifetime: Duration::from_secs(2),
    };
    let plans = queue(PLANS, 2, Some(advice));
    advised.queues.insert(plans.name.clone(), plans);
    sim.engine.set_policy(advised);
    let mut spread = step(2, 8 * CORE);
    spread.max_per_worker = Some(1);
    sim.submit("plan1", accepted(PLANS, sim.now, vec![spread]));
    sim.run(50);
    let first = sim.requests.remove(0);
    let reply = AdviceReply {
        approved: vec![Approval {
            worker: "w2".into(),
            ticket: "ticket".into(),
        }],
        ticket_lifetime: Duration::from_secs(2),
    };

    sim.engine.handle_advice(&first, Some(&reply), sim.now);
    sim.run(4000);

    let named: Vec<&Name> = sim
        .requests
        .iter()
        .flat_map(|request| &request.workers)
        .collect();
    assert_eq!(sim.starts_of("plan1"), 1);
    assert_eq!(named, Vec::<&Name>::new());
}
