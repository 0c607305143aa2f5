//! When workers may forget the ends of their runs.

use basilbridge_workflow::report::Outcome;

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        accepted,
        name,
        step, //
    },
};

const CORE: u64 = 1000;

/// More jobs than one transaction of the store holds.
const JOBS: usize = 60;

/// A cell in which the tasks of 60 jobs have ended, and nothing is stored.
fn cell_with_unstored_ends() -> Simulation {
    let mut sim = Simulation::new(&["w1"], |_, _| (100, Outcome::Done, CORE));
    sim.run(20);
    sim.store_down = true;
    submit(&mut sim, "first");
    sim.run(400);
    sim
}

fn submit(sim: &mut Simulation, prefix: &str) {
    for number in 0..JOBS {
        let job = accepted(CHECKS, sim.now, vec![step(1, CORE)]);
        sim.submit(&format!("{prefix}{number}"), job);
    }
}

#[test]
fn ends_are_acknowledged_while_jobs_change_faster_than_they_are_stored() {
    let mut sim = cell_with_unstored_ends();
    let key = sim.engine.worker_key(&name("w1")).expect("it is listed");

    // In the time of each write, 60 more jobs change.
    let round = sim.engine.begin_round().expect("ends are not stored");
    for (turn, batch) in round.batches.iter().enumerate() {
        submit(&mut sim, &format!("later{turn}-"));
        sim.fleet.advance(sim.now);
        sim.store_batch(batch);
    }
    sim.engine.finish_round(&round.ends);

    let poll = sim.engine.poll(key, sim.now).expect("it is polled");
    assert!(poll.acknowledged >= JOBS as u64);
}
