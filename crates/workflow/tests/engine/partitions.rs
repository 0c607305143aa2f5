//! An owner and its successor on two sides of a partition. See `docs/design/takeover.md`.

use std::{
    cmp::Reverse,
    time::Duration, //
};

use basilbridge_common::id::Name;
use basilbridge_workflow::{
    job::State,
    report::Outcome, //
};

use crate::{
    fleet::Behaviour,
    simulation::{
        Deposed,
        Link,
        Simulation, //
    },
    util::{
        CHECKS,
        accepted,
        step, //
    },
};

const STEP: u64 = 10;

const WORKERS: [&str; 12] = [
    "w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9", "w10", "w11",
];

/// Time from the partition until the successor claims, and until all paths are back.
const CLAIM_MILLIS: u64 = 1600;
const HEAL_MILLIS: u64 = 16_000;

/// Time within which inherited work starts whose worker has ended: the leases of the owner before, and
/// the time in which that owner finds out.
const WAIT_MILLIS: u64 = 8000;

/// A cell with a task on each of twelve workers, whose owner is cut off from the store and from all
/// workers but some.
struct Partition {
    sim: Simulation,
    deposed: Option<Deposed>,
    kept: Vec<Name>,
    /// The path from the old owner to the workers that it keeps.
    path: Link,
}

const LONG: Behaviour = |_, _| (25_000, Outcome::Done, TASK_CPU);
const SHORT: Behaviour = |_, _| (6000, Outcome::Done, TASK_CPU);

/// Capacity that a task takes, a sixth of that of a worker.
const TASK_CPU: u64 = 10_000;

impl Partition {
    fn new(kept: usize, behaviour: Behaviour) -> Self {
        let mut sim = Simulation::new(&WORKERS, behaviour);
        sim.take_over_from(true);
        sim.run(50);
        sim.submit("j1", accepted(CHECKS, sim.now, vec![step(24, TASK_CPU)]));
        Self::with(sim, kept)
    }

    /// Creates a cell in which nothing runs.
    fn idle(kept: usize, behaviour: Behaviour) -> Self {
        let mut sim = Simulation::new(&WORKERS, behaviour);
        sim.take_over_from(true);
        sim.run(50);
        Self::with(sim, kept)
    }

    fn with(mut sim: Simulation, kept: usize) -> Self {
        sim.run(1000);
        Self {
            kept: busiest(&sim).into_iter().take(kept).collect(),
            sim,
            deposed: None,
            path: Link::Normal,
        }
    }

    /// Returns how many tasks run on the workers that the old owner keeps.
    fn kept_tasks(&self) -> usize {
        let workers = self.kept.iter().map(|name| &self.sim.fleet.workers[name]);
        workers.map(|worker| worker.running.len()).sum()
    }

    /// Cuts the owner off; the successor claims after a while.
    fn split(&mut self) {
        self.sim.store_down = true;
        let (kept, path) = (self.kept.clone(), self.path);
        self.sim
            .run_on(CLAIM_MILLIS, |name| side(&kept, name, path));
        self.sim.store_down = false;
        self.deposed = Some(self.sim.take_over_beside(false));
    }

    /// Cuts the owner off from the workers. The successor claims as soon as it has noticed.
    fn split_workers(&mut self) -> Deposed {
        let (kept, path) = (self.kept.clone(), self.path);
        self.sim.run_on(200, |name| side(&kept, name, path));
        self.sim.take_over_beside(false)
    }

    /// Advances with the successor on one side and the old owner on the other.
    fn run(&mut self, millis: u64) {
        let (kept, path) = (self.kept.clone(), self.path);
        for _ in 0..millis / STEP {
            self.sim.run_on(STEP, |name| match kept.contains(name) {
                true => Link::LostOrder,
                false => Link::Normal,
            });
            if let Some(deposed) = &mut self.deposed
                && !self
                    .sim
                    .act_deposed(deposed, |name| side(&kept, name, path))
            {
                self.deposed = None;
            }
        }
    }

    /// Repairs all paths; the store refuses the old owner.
    fn heal(&mut self) {
        self.deposed = None;
        self.kept.clear();
    }

    /// Returns how many tasks have started more than once.
    fn restarts(&self) -> usize {
        self.sim.starts_of("j1") - 24
    }
}

/// Returns the workers, those with the most tasks first.
fn busiest(sim: &Simulation) -> Vec<Name> {
    let workers = sim.fleet.workers.iter();
    let mut workers: Vec<_> = workers
        .map(|(name, worker)| (Reverse(worker.running.len()), name.clone()))
        .collect();
    workers.sort();
    workers.into_iter().map(|(_, name)| name).collect()
}

fn side(kept: &[Name], name: &Name, path: Link) -> Link {
    match kept.contains(name) {
        true => path,
        false => Link::LostOrder,
    }
}

fn held(partition: &Partition) {
    assert_eq!(partition.sim.fleet.violations, Vec::<String>::new());
    for id in partition.sim.jobs.keys() {
        assert_eq!(partition.sim.state(id), State::Completed, "{id}");
    }
}

/// The old owner went on to extend the leases of the workers that it kept, and their tasks started again
/// beside them.
#[test]
fn tasks_on_a_worker_that_only_a_deposed_owner_reaches_run_once() {
    for kept in [1, 3, 6, 8, 11] {
        let mut partition = Partition::new(kept, LONG);

        partition.split();
        partition.run(HEAL_MILLIS - CLAIM_MILLIS);
        partition.heal();
        partition.run(60_000);

        assert_eq!(
            partition.sim.fleet.violations,
            Vec::<String>::new(),
            "{kept}"
        );
        held(&partition);
    }
}

/// Tasks ended as done on the other side, started again, and their first ends were acknowledged later.
#[test]
fn tasks_that_end_behind_a_partition_are_not_started_again_before_their_leases_are_over() {
    for kept in [1, 3, 6, 8, 11] {
        let mut partition = Partition::new(kept, SHORT);

        partition.split();
        partition.run(HEAL_MILLIS - CLAIM_MILLIS);
        partition.heal();
        partition.run(40_000);

        held(&partition);
    }
}

/// Orders of the old owner still arrived, and their answers were lost.
#[test]
fn an_owner_that_hears_no_answers_extends_no_leases() {
    for kept in [1, 6, 11] {
        let mut partition = Partition::new(kept, LONG);
        partition.path = Link::LostReply;

        partition.split();
        partition.run(HEAL_MILLIS - CLAIM_MILLIS);
        partition.heal();
        partition.run(60_000);

        held(&partition);
    }
}

/// The second of two owners in a row was cut off with other workers than the first.
#[test]
fn tasks_run_once_while_two_owners_after_another_are_cut_off() {
    let mut partition = Partition::new(3, LONG);

    partition.split();
    partition.run(4000);
    let mut first = partition.deposed.take().expect("no worker has refused it");
    let kept = partition.kept.clone();
    partition.kept = busiest(&partition.sim)
        .into_iter()
        .skip(3)
        .take(4)
        .collect();
    partition.split();
    for _ in 0..1200 {
        partition.run(STEP);
        partition
            .sim
            .act_deposed(&mut first, |name| side(&kept, name, Link::Normal));
    }
    partition.heal();
    partition.run(60_000);

    held(&partition);
}

/// An owner that had sent heartbeats for four seconds was taken to have outlived those before it, also if
/// most workers still accepted one of them. Its end then hid that the other lived on.
#[test]
fn the_end_of_a_successor_does_not_show_that_the_owner_before_it_has_ended() {
    for kept in [3, 8] {
        let mut partition = Partition::new(kept, LONG);

        partition.split();
        partition.run(5000);
        let is_sole = partition.sim.engine.is_sole();
        partition.sim.take_over_from(is_sole);
        partition.run(HEAL_MILLIS);
        partition.heal();
        partition.run(60_000);

        assert_eq!(is_sole, kept == 3);
        held(&partition);
    }
}

/// New workers on the side of a successor outnumbered those that accept the old owner.
#[test]
fn workers_that_join_behind_a_partition_do_not_outvote_those_that_accept_the_old_owner() {
    let mut partition = Partition::new(8, LONG);

    partition.split();
    for number in 0..12 {
        partition.sim.add_worker(&format!("new{number}"));
    }
    partition.run(2000);
    partition.sim.take_over();
    partition.run(HEAL_MILLIS);
    partition.heal();
    partition.run(60_000);

    held(&partition);
}

/// A worker that had answered the successor forgets its epoch when it boots anew, and accepts the old
/// owner again.
#[test]
fn a_worker_that_boots_anew_proves_nothing_to_an_owner_without_the_store() {
    let mut partition = Partition::new(6, LONG);
    let rebooted = busiest(&partition.sim)[6].clone();

    partition.deposed = Some(partition.split_workers());
    partition.run(200);
    partition.sim.fleet.reboot(&rebooted, partition.sim.now);
    partition.kept.push(rebooted);
    partition.run(HEAL_MILLIS);
    partition.heal();
    partition.run(60_000);

    held(&partition);
}

/// A successor that most workers never answer, since they have ended, must not wait forever.
#[test]
fn the_answers_of_workers_prove_nothing_half_an_hour_after_the_last_word_from_the_store() {
    let mut sim = Simulation::new(&WORKERS, LONG);
    sim.run(100);
    let mut is_proven_after = |minutes: u64| {
        sim.store_down = true;
        sim.now = sim.now.after(Duration::from_secs(60 * minutes));
        sim.run(100);
        sim.engine.is_proven(sim.now)
    };

    let in_time = is_proven_after(29);
    let too_late = is_proven_after(2);

    assert!(in_time);
    assert!(!too_late);
}

/// Work of a worker that is cut off with the old owner waits no longer than its leases last.
#[test]
fn inherited_work_of_the_smaller_side_starts_once_its_leases_are_over() {
    let mut partition = Partition::new(3, LONG);
    let tasks = partition.kept_tasks();

    partition.split();
    partition.run(WAIT_MILLIS);

    assert_eq!(partition.restarts(), tasks);
    assert_eq!(partition.sim.fleet.violations, Vec::<String>::new());
}

/// An owner without the store can't know that it has been replaced, but the workers do.
#[test]
fn no_lease_ends_while_the_store_is_away_for_all() {
    let mut partition = Partition::new(12, LONG);

    partition.sim.store_down = true;
    partition.sim.run(20_000);
    partition.sim.store_down = false;
    partition.sim.run(20_000);

    assert_eq!(partition.restarts(), 0);
    held(&partition);
}

/// The successor took a job for new that its feed delivered late, after the old owner had started it.
#[test]
fn a_job_that_was_announced_to_a_deposed_owner_runs_once_if_the_feed_is_late() {
    let mut partition = Partition::idle(1, LONG);

    let mut deposed = partition.split_workers();
    let job = accepted(CHECKS, partition.sim.now, vec![step(1, TASK_CPU)]);
    partition.sim.announce_to(&mut deposed, "j2", job);
    partition.deposed = Some(deposed);
    partition.sim.feed_is_silent = true;
    partition.run(3000);
    partition.sim.deliver("j2");
    partition.sim.feed_is_silent = false;
    partition.run(HEAL_MILLIS);
    partition.heal();
    partition.run(60_000);

    held(&partition);
}

/// The old owner started a job that it was told of long after it had been replaced.
#[test]
fn a_deposed_owner_does_not_start_a_job_that_was_stored_after_its_replacement() {
    let mut partition = Partition::idle(1, LONG);

    partition.split();
    partition.run(3000);
    let job = accepted(CHECKS, partition.sim.now, vec![step(1, TASK_CPU)]);
    let mut deposed = partition.deposed.take().expect("no worker has refused it");
    partition.sim.announce_to(&mut deposed, "j2", job);
    partition.deposed = Some(deposed);
    partition.sim.deliver("j2");
    partition.run(HEAL_MILLIS);
    partition.heal();
    partition.run(60_000);

    assert_eq!(partition.sim.starts_of("j2"), 1);
    held(&partition);
}

/// The successor forgot the end of a job that it did not know yet, acknowledged it, and started the job.
#[test]
fn an_end_of_a_job_that_the_feed_delivers_late_is_kept() {
    let mut partition = Partition::idle(1, |_, _| (500, Outcome::Done, TASK_CPU));

    let mut deposed = partition.split_workers();
    let job = accepted(CHECKS, partition.sim.now, vec![step(1, TASK_CPU)]);
    partition.sim.announce_to(&mut deposed, "j2", job);
    partition.deposed = Some(deposed);
    partition.sim.feed_is_silent = true;
    partition.run(1000);
    partition.heal();
    partition.run(5000);
    partition.sim.deliver("j2");
    partition.sim.feed_is_silent = false;
    partition.run(60_000);

    assert_eq!(partition.sim.starts_of("j2"), 1);
    held(&partition);
}
