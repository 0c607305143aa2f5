//! Which calls for advice go first, through which VM, and about whom.

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
        LASTING,
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

fn with_long_call() -> Load {
    Load {
        pending: LONG,
        long: 1,
    }
}

#[test]
fn a_short_call_finds_a_vm_without_a_long_one_under_any_number_of_long_ones() {
    let mut loads = vec![Load::default(); 7];
    while let Some(vm) = advice::route(&loads, LONG, true) {
        loads[vm] = with_long_call();
    }

    let vm = advice::route(&loads, SHORT, true).unwrap();

    assert_eq!(loads[vm].long, 0);
    assert_eq!(loads.iter().filter(|load| load.long > 0).count(), 4);
}

#[test]
fn without_short_calls_all_vms_take_long_ones_and_none_takes_two() {
    let mut loads = vec![Load::default(); 7];
    while let Some(vm) = advice::route(&loads, LONG, false) {
        loads[vm] = with_long_call();
    }

    assert!(loads.iter().all(|load| load.long == 1));
}

#[test]
fn a_call_names_workers_without_room_too_so_that_one_call_suffices() {
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
fn the_question_of_a_lasting_task_goes_ahead_of_those_of_jobs_that_end() {
    let mut sim = Simulation::new(&["w1"], quick);
    let mut advised = policy(0);
    for (name, priority) in [(CHECKS, 0), (LASTING, 1)] {
        let queue = queue(name, priority, Some(slow_advice()));
        advised.queues.insert(queue.name.clone(), queue);
    }
    sim.engine.set_policy(advised);
    let mut lasting = step(1, CORE);
    lasting.long_running = true;

    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.submit("j2", accepted(LASTING, sim.now, vec![lasting]));
    sim.run(100);

    sim.requests.sort_by_key(|request| request.rank);
    assert_eq!(&*sim.requests[0].job, "j2");
    assert_eq!(sim.requests[0].rank.band, Band::Overdue);
}
