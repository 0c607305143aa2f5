//! Limits, routing and order of calls to the advice service.

use std::time::Duration;

use basilbridge_workflow::{
    advice::{
        self,
        Load, //
    },
    job::TaskId,
    policy::AdviceSettings,
    rank::Band,
    report::Outcome, //
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        LONG_RUNNING,
        accepted,
        policy,
        queue,
        step, //
    },
};

const CORE: u64 = 1000;
const SHORT: Duration = Duration::from_millis(33);
const LONG: Duration = Duration::from_millis(530);

fn quick(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (200, Outcome::Done, CORE)
}

fn slow_advice() -> AdviceSettings {
    AdviceSettings {
        per_call: Duration::from_millis(450),
        per_worker: Duration::from_micros(6500),
        ticket_lifetime: Duration::from_millis(2500),
    }
}

fn load_with_long_call() -> Load {
    Load {
        pending: LONG,
        long: 1,
    }
}

#[test]
fn a_short_call_always_finds_a_vm_without_a_long_call() {
    let mut loads = vec![Load::default(); 7];
    while let Some(vm) = advice::route(&loads, LONG, true) {
        loads[vm] = load_with_long_call();
    }

    let vm = advice::route(&loads, SHORT, true).unwrap();

    assert_eq!(loads[vm].long, 0);
    assert_eq!(loads.iter().filter(|load| load.long > 0).count(), 4);
}

#[test]
fn without_short_calls_every_vm_makes_one_long_call() {
    let mut loads = vec![Load::default(); 7];
    while let Some(vm) = advice::route(&loads, LONG, false) {
        loads[vm] = load_with_long_call();
    }

    assert!(loads.iter().all(|load| load.long == 1));
}

#[test]
fn a_call_also_names_workers_without_free_capacity() {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], quick);
    let mut advised = policy(0);
    let checks = queue(CHECKS, 0, Some(slow_advice()));
    advised.queues.insert(checks.name.clone(), checks);
    sim.engine.set_policy(advised);

    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(2, CORE)]));
    sim.run(100);

    assert_eq!(sim.requests.len(), 1);
    assert_eq!(sim.requests[0].workers.len(), 4);
}

#[test]
fn requests_for_long_running_tasks_precede_those_of_other_jobs() {
    let mut sim = Simulation::new(&["w1"], quick);
    let mut advised = policy(0);
    for (name, priority) in [(CHECKS, 0), (LONG_RUNNING, 1)] {
        let queue = queue(name, priority, Some(slow_advice()));
        advised.queues.insert(queue.name.clone(), queue);
    }
    sim.engine.set_policy(advised);
    let mut long_running = step(1, CORE);
    long_running.long_running = true;

    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.submit("j2", accepted(LONG_RUNNING, sim.now, vec![long_running]));
    sim.run(100);

    sim.requests.sort_by_key(|request| request.rank);
    assert_eq!(&*sim.requests[0].job, "j2");
    assert_eq!(sim.requests[0].rank.band, Band::Overdue);
}
