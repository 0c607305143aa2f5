//! Random loads and faults by seed, with the invariants that must hold: no task runs on two
//! workers, none runs again after its end was acknowledged, no worker is overcommitted, and all
//! jobs finish.

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_workflow::{
    job::TaskId,
    report::Outcome, //
};
use quickcheck::Gen;

use crate::{
    simulation::{
        Link,
        Simulation, //
    },
    util::{
        CHECKS,
        PLANS,
        accepted,
        step, //
    },
};

/// Number of schedules; the environment variable `SCHEDULES` overrides it.
const SCHEDULES: u64 = 40;

const CORE: u64 = 1000;

fn mixed_behaviour(task: &TaskId, run: u32) -> (u64, Outcome, u64) {
    let duration = 100 + 400 * u64::from(task.index % 5);
    let fails = task.index % 7 == 3 && run % 1000 == 1;
    let outcome = if fails {
        Outcome::Failed
    } else {
        Outcome::Done
    };
    (duration, outcome, 9 * CORE)
}

fn from_environment(name: &str, default: u64) -> u64 {
    let set = std::env::var(name).ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn one_of(random: &mut Gen, count: usize) -> usize {
    let choices: Vec<usize> = (0..count).collect();
    *random.choose(&choices).expect("the count is not zero")
}

fn inject_fault(sim: &mut Simulation, random: &mut Gen) {
    let names: Vec<Name> = sim.fleet.workers.keys().cloned().collect();
    let name = random.choose(&names).expect("there are workers").clone();
    match one_of(random, 8) {
        0 => sim.take_over(),
        1 => {
            sim.fleet.reboot(&name, sim.now);
            // The list may report the boot only after orders have reached it.
            if one_of(random, 2) == 0 {
                sim.run(20);
            }
            sim.register_all();
        }
        2 => {
            let worker = sim.fleet.workers.get_mut(&name).expect("it is listed");
            worker.reachable = !worker.reachable;
        }
        3 => sim.store_down = !sim.store_down,
        _ => {}
    }
}

fn run_schedule(seed: u64) -> Vec<String> {
    let mut random = Gen::from_size_and_seed(100, seed);
    let mut sim = Simulation::new(&["w1", "w2", "w3"], mixed_behaviour);
    for number in 0..12 {
        let queue = if number % 3 == 0 { PLANS } else { CHECKS };
        let mut second = step(4, 9 * CORE);
        second.after = vec![0];
        let steps = vec![step(1 + number % 6, 9 * CORE), second];
        sim.submit(&format!("j{number}"), accepted(queue, sim.now, steps));
        let link_fault = one_of(&mut random, 10);
        let delay_millis = 200 * one_of(&mut random, 20) as u64;
        let mut count = 0;
        sim.run_on(300, |_| {
            count += 1;
            match (link_fault, count % 5) {
                (7, 0) => Link::LostReply,
                (8, 0) => Link::LostOrder,
                (9, 0) => Link::Delayed(delay_millis),
                _ => Link::Normal,
            }
        });
        inject_fault(&mut sim, &mut random);
    }
    for worker in sim.fleet.workers.values_mut() {
        worker.reachable = true;
    }
    sim.store_down = false;
    sim.run(60_000);
    let mut faults = std::mem::take(&mut sim.fleet.violations);
    for id in sim.jobs.keys() {
        let state = sim.state(id);
        if !state.is_final() {
            faults.push(format!("{id} is {state:?} at {:?}", Millis(sim.now.0)));
        }
    }
    faults
}

#[test]
fn invariants_hold_under_random_loads_and_faults() {
    let first = from_environment("FIRST_SEED", 0);
    let count = from_environment("SCHEDULES", SCHEDULES);

    let broken: Vec<(u64, Vec<String>)> = (first..first + count)
        .map(|seed| (seed, run_schedule(seed)))
        .filter(|(_, faults)| !faults.is_empty())
        .collect();

    assert_eq!(broken, Vec::new());
}
