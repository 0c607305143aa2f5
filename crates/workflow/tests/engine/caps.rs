//! Caps of client accounts after a change of the owner, while a worker does not answer. See
//! `docs/design/caps.md`.

use basilbridge_common::id::Name;
use basilbridge_workflow::{
    job::{
        Accepted,
        State,
        Step, //
    },
    policy::Team,
    possible_use::{
        Unseen,
        at_one_time, //
    },
    report::Outcome, //
};

use crate::{
    fleet::Behaviour,
    simulation::{
        Link,
        Simulation, //
    },
    util::{
        CHECKS,
        TEAM,
        accepted,
        cpu,
        name,
        policy,
        step, //
    },
};

/// What a task uses, a sixth of a worker.
const TASK_CPU: u64 = 10_000;

/// The worker that falls silent, the only one at first.
const SILENT: &str = "w0";

/// How long workers that answer take to do so.
const ANSWER_MILLIS: u64 = 100;

/// Time after the change of the owner in which the silent worker surely has a lease.
const LEASED_MILLIS: u64 = 3000;

const OTHER_TEAM: &str = "archive";

const LONG: Behaviour = |_, _| (9000, Outcome::Done, TASK_CPU);

/// When the worker falls silent: so long before the change of the owner that it is recorded, or
/// just then.
#[derive(Debug, Clone, Copy)]
enum Silence {
    Recorded,
    New,
}

const SILENCES: [Silence; 2] = [Silence::Recorded, Silence::New];

fn link(worker: &Name) -> Link {
    match **worker == *SILENT {
        true => Link::LostOrder,
        false => Link::Normal,
    }
}

fn tasks(count: u32) -> Vec<Step> {
    vec![step(count, TASK_CPU)]
}

/// Creates a cell of six workers, of which one does not answer a new owner. The account has a cap
/// of `cap` tasks, and a job of `steps` that has begun on that worker.
fn cell(cap: u64, steps: Vec<Step>, silence: Silence) -> Simulation {
    let mut sim = Simulation::new(&[SILENT], LONG);
    sim.policy = policy(cap * TASK_CPU);
    let other = Team {
        name: OTHER_TEAM.into(),
        weight: 100.0,
        cap: cpu(cap * TASK_CPU),
    };
    sim.policy.teams.insert(other.name.clone(), other);
    sim.take_over_from(true);
    sim.run(50);
    sim.submit("silent", accepted(CHECKS, sim.now, steps));
    sim.run(200);
    for worker in ["w1", "w2", "w3", "w4", "w5"] {
        sim.add_worker(worker);
    }
    sim.run(200);
    if let Silence::Recorded = silence {
        sim.run_on(1200, link);
    }
    sim.take_over_from(true);
    sim.run_on(ANSWER_MILLIS, link);
    sim
}

fn job_of(team: &str, sim: &Simulation, count: u32) -> Accepted {
    Accepted {
        team: Some(team.into()),
        ..accepted(CHECKS, sim.now, tasks(count))
    }
}

/// Returns the number of tasks that run.
fn running(sim: &Simulation) -> usize {
    let workers = sim.fleet.workers.values();
    workers.map(|worker| worker.running.len()).sum()
}

/// An account at its cap ran twice as much: what a silent worker ran did not count under a new
/// owner (QUOTA).
#[test]
fn an_account_at_its_cap_starts_nothing_until_a_silent_worker_answers_or_has_no_lease() {
    for silence in SILENCES {
        for is_back in [true, false] {
            let mut sim = cell(6, tasks(6), silence);

            sim.submit("new", job_of(TEAM, &sim, 6));
            let mut highest = 0;
            for turn in 0..1500 {
                sim.run_on(10, |worker| match is_back && turn > 200 {
                    true => Link::Normal,
                    false => link(worker),
                });
                highest = highest.max(running(&sim));
            }
            sim.run(30_000);

            assert_eq!(highest, 6, "{silence:?} {is_back}");
            assert_eq!(sim.state("new"), State::Completed, "{silence:?} {is_back}");
        }
    }
}

/// A cap that counts what may run held back an account below it, or counted a run twice once it was
/// known.
#[test]
fn an_account_below_its_cap_starts_as_much_as_its_cap_leaves_at_once() {
    for silence in SILENCES {
        let mut sim = cell(8, tasks(3), silence);

        sim.submit("new", job_of(TEAM, &sim, 6));
        sim.run_on(ANSWER_MILLIS, link);
        let at_once = sim.starts_of("new");
        sim.run(1000);
        let known = running(&sim);

        assert_eq!(at_once, 5, "{silence:?}");
        assert_eq!(known, 8, "{silence:?}");
    }
}

#[test]
fn what_a_silent_worker_runs_does_not_hold_back_another_account() {
    for silence in SILENCES {
        let mut sim = cell(6, tasks(6), silence);

        sim.submit("other", job_of(OTHER_TEAM, &sim, 6));
        sim.run_on(ANSWER_MILLIS, link);

        assert_eq!(sim.starts_of("other"), 6, "{silence:?}");
    }
}

/// Steps that run one after the other counted together.
#[test]
fn a_step_that_waits_for_another_one_does_not_count_beside_it() {
    let second = Step {
        after: vec![0],
        ..step(4, TASK_CPU)
    };
    for silence in SILENCES {
        let steps = vec![step(4, TASK_CPU), second.clone()];
        let mut sim = cell(8, steps, silence);

        sim.submit("new", job_of(TEAM, &sim, 4));
        sim.run_on(ANSWER_MILLIS, link);

        assert_eq!(sim.starts_of("new"), 4, "{silence:?}");
    }
}

/// Waiting tasks of an account counted as running, although the silent worker has no room for them.
#[test]
fn waiting_tasks_count_only_as_far_as_the_silent_worker_has_room() {
    let spread = Step {
        max_per_worker: Some(2),
        ..step(30, TASK_CPU)
    };
    let mut sim = cell(24, vec![spread], Silence::New);

    let running_before = running(&sim);
    sim.submit("new", job_of(TEAM, &sim, 4));
    sim.run_on(ANSWER_MILLIS, link);

    assert_eq!(running_before, 12);
    assert_eq!(sim.starts_of("new"), 4);
}

/// Ended tasks of a silent worker counted as running.
#[test]
fn tasks_that_have_ended_on_a_silent_worker_do_not_count() {
    const SHORT: Behaviour = |_, _| (1000, Outcome::Done, TASK_CPU);
    let mut sim = Simulation::new(&[SILENT], SHORT);
    sim.policy = policy(6 * TASK_CPU);
    sim.take_over_from(true);
    sim.run(50);
    sim.submit("ended", accepted(CHECKS, sim.now, tasks(6)));
    sim.run(200);
    sim.add_worker("w1");
    sim.progress_is_lost = true;
    sim.run(1000);
    sim.run_on(1200, link);

    sim.take_over_from(true);
    sim.progress_is_lost = false;
    sim.run_on(ANSWER_MILLIS, link);
    sim.submit("new", job_of(TEAM, &sim, 6));
    sim.run_on(ANSWER_MILLIS, link);

    assert_eq!(sim.fleet.workers[&name(SILENT)].ended.len(), 6);
    assert_eq!(sim.starts_of("new"), 6);
    sim.run_on(LEASED_MILLIS, link);
    assert_eq!(sim.starts_of("ended"), 6);
}

#[test]
fn what_may_run_at_one_time_is_the_most_of_each_branch() {
    let unseen = |tasks: u64, after: &'static [usize]| Unseen {
        resources: cpu(tasks),
        after,
    };

    let chain = [unseen(3, &[]), unseen(5, &[0]), unseen(2, &[1])];
    let fork = [unseen(3, &[]), unseen(2, &[0]), unseen(2, &[0])];
    let join = [unseen(3, &[]), unseen(4, &[]), unseen(5, &[0, 1])];
    let apart = [unseen(3, &[]), unseen(4, &[])];

    assert_eq!(at_one_time(&chain), cpu(5));
    // A little more than 4, which is what may run.
    assert_eq!(at_one_time(&fork), cpu(6));
    assert_eq!(at_one_time(&join), cpu(7));
    assert_eq!(at_one_time(&apart), cpu(7));
    assert_eq!(at_one_time(&[]), cpu(0));
}
