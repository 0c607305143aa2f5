//! Retries of failed tasks: on which worker they run, and who is to blame for a failure.

use std::time::Duration;

use basilbridge_common::id::Name;
use basilbridge_workflow::{
    advice_request::{
        AdviceReply,
        Approval, //
    },
    job::{
        State,
        TaskId, //
    },
    policy::AdviceSettings,
    report::Outcome,
    retry::{
        self,
        Attempt, //
    },
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        LONG_RUNNING,
        accepted,
        name,
        policy,
        queue,
        step, //
    },
};

const CORE: u64 = 1000;

fn advice() -> AdviceSettings {
    AdviceSettings {
        per_call: Duration::from_millis(20),
        per_worker: Duration::from_micros(300),
        ticket_lifetime: Duration::from_secs(2),
    }
}

fn fails_once(_: &TaskId, run: u32) -> (u64, Outcome, u64) {
    let outcome = if run == 1 {
        Outcome::Failed
    } else {
        Outcome::Done
    };
    (200, outcome, CORE)
}

fn always_fails(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (200, Outcome::Failed, CORE)
}

/// Jobs that are named `busy` fill a worker for a while; the first run of any other job fails.
fn fails_once_beside_busy(task: &TaskId, run: u32) -> (u64, Outcome, u64) {
    match &*task.job {
        "busy" => (700, Outcome::Done, 64 * CORE),
        "very-busy" => (20_000, Outcome::Done, 64 * CORE),
        _ => fails_once(task, run),
    }
}

/// Runs for `millis`, during which the advice service approves the workers in `approved` only.
fn run_advised(sim: &mut Simulation, millis: u64, approved: &[&str]) {
    const CALL_TIME: u64 = 50;
    for _ in 0..millis / CALL_TIME {
        sim.run(CALL_TIME);
        for request in std::mem::take(&mut sim.requests) {
            let good = request.workers.iter();
            let good = good.filter(|name| approved.contains(&&***name));
            let reply = AdviceReply {
                approved: good
                    .map(|name| Approval {
                        worker: name.clone(),
                        ticket: "ticket".into(),
                    })
                    .collect(),
                ticket_lifetime: request.advice.ticket_lifetime,
            };
            sim.engine.handle_advice(&request, Some(&reply), sim.now);
        }
    }
}

fn use_advice(sim: &mut Simulation) {
    let mut advised = policy(0);
    for (name, priority) in [(CHECKS, 0), (LONG_RUNNING, 1)] {
        let queue = queue(name, priority, Some(advice()));
        advised.queues.insert(queue.name.clone(), queue);
    }
    sim.engine.set_policy(advised);
}

fn workers_of(sim: &Simulation, job: &str) -> Vec<Name> {
    let starts = sim.fleet.starts.iter();
    let of_job = starts.filter(|(_, task, ..)| *task.job == *job);
    of_job.map(|(.., worker)| worker.clone()).collect()
}

/// Found on the standard days trouble-2 and scale-2 of the Pasar Sewa site, and by hunts.
#[test]
fn a_task_is_retried_on_the_worker_that_failed_it_if_no_other_is_approved() {
    // The run takes longer than its ticket is valid.
    let mut sim = Simulation::new(&["w1", "w2", "w3"], |task, run| {
        let (_, outcome, cpu) = fails_once(task, run);
        (2500, outcome, cpu)
    });
    use_advice(&mut sim);

    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    run_advised(&mut sim, 8000, &["w2"]);

    assert_eq!(workers_of(&sim, "j1"), [name("w2"), name("w2")]);
    assert_eq!(sim.state("j1"), State::Completed);
}

#[test]
fn a_long_running_task_returns_to_a_quarantined_worker_if_no_other_is_approved() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], always_fails);
    use_advice(&mut sim);
    let mut long_running = step(1, CORE);
    long_running.long_running = true;
    for id in ["j1", "j2"] {
        sim.submit(id, accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    }
    run_advised(&mut sim, 300, &["w2"]);

    sim.submit("j3", accepted(LONG_RUNNING, sim.now, vec![long_running]));
    run_advised(&mut sim, 2500, &["w2"]);

    assert!(!workers_of(&sim, "j3").is_empty());
}

/// Without its queue a job has no limit of attempts, so that its last failure did not end it, and its task
/// started again once the queue was back.
#[test]
fn a_task_that_has_used_up_its_attempts_while_its_queue_was_away_is_not_started_again() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], always_fails);
    let with_queue = policy(0);
    let mut without_queue = policy(0);
    without_queue.queues.remove(CHECKS);
    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    while sim.starts_of("j1") < 2 {
        sim.run(20);
    }
    sim.engine.set_policy(without_queue);
    sim.run(500);

    sim.engine.set_policy(with_queue);
    sim.run(1000);

    assert_eq!(sim.starts_of("j1"), 2);
    assert_eq!(sim.state("j1"), State::Failed);
}

/// Found in a replay of trouble-2 of the Pasar Sewa site: the retry went back to the worker that
/// had just failed the task, and its job was given up.
#[test]
fn a_retry_waits_for_a_busy_worker_rather_than_return_to_the_one_that_failed() {
    let mut sim = Simulation::new(&["w1", "w2"], fails_once_beside_busy);
    sim.submit("busy", accepted(CHECKS, sim.now, vec![step(1, 64 * CORE)]));
    sim.run(50);

    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.run(2000);

    let workers = workers_of(&sim, "j1");
    assert_eq!(workers.len(), 2);
    assert_ne!(workers[0], workers[1]);
    assert_eq!(sim.state("j1"), State::Completed);
}

#[test]
fn a_retry_returns_to_the_worker_that_failed_if_no_other_is_free_in_time() {
    let mut sim = Simulation::new(&["w1", "w2"], fails_once_beside_busy);
    let busy = accepted(CHECKS, sim.now, vec![step(1, 64 * CORE)]);
    sim.submit("very-busy", busy);
    sim.run(50);

    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.run(2000);

    assert_eq!(workers_of(&sim, "j1").len(), 2);
    assert_eq!(sim.state("j1"), State::Completed);
}

#[test]
fn jobs_that_fail_everywhere_leave_no_worker_suspect() {
    let mut sim = Simulation::new(&["w1", "w2"], always_fails);

    for id in ["j1", "j2", "j3"] {
        sim.submit(id, accepted(CHECKS, sim.now, vec![step(1, CORE)]));
        sim.run(1000);
    }

    for name in ["w1", "w2"] {
        let worker = sim.engine.worker(name).unwrap();
        assert_eq!(worker.failed_jobs, Vec::<Name>::new());
        assert_eq!(worker.quarantines, 0);
    }
    assert_eq!(sim.state("j3"), State::Failed);
}

#[test]
fn a_worker_that_fails_what_succeeds_elsewhere_is_quarantined() {
    let mut sim = Simulation::new(&["w1", "w2"], |task, run| {
        let on_first = run == 1 && !task.job.starts_with("good");
        let outcome = if on_first {
            Outcome::Failed
        } else {
            Outcome::Done
        };
        (200, outcome, CORE)
    });

    for id in ["j1", "j2"] {
        sim.submit(id, accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    }
    sim.run(1000);

    let first = sim.fleet.starts[0].3.clone();
    assert_eq!(sim.engine.worker(&first).unwrap().quarantines, 1);
    assert_eq!(sim.state("j1"), State::Completed);
    assert_eq!(sim.state("j2"), State::Completed);
}

#[test]
fn the_last_attempt_is_not_made_on_a_suspect_worker_while_another_may_come_free() {
    let attempt = Attempt {
        failed_here: false,
        suspect: true,
        slow: false,
        is_last: true,
        long_running: false,
        waited: Duration::from_millis(100),
    };

    let with_alternative = retry::admits(&attempt, true);
    let without = retry::admits(&attempt, false);
    let earlier = retry::admits(
        &Attempt {
            is_last: false,
            ..attempt
        },
        true,
    );

    assert!(!with_alternative);
    assert!(without);
    assert!(earlier);
}

#[test]
fn a_long_running_task_does_not_wait_for_a_better_worker() {
    let attempt = Attempt {
        failed_here: true,
        suspect: true,
        slow: false,
        is_last: false,
        long_running: true,
        waited: Duration::ZERO,
    };

    assert!(retry::admits(&attempt, true));
}
