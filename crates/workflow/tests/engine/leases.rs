//! When the leases of a worker that does not answer are over.

use std::time::Duration;

use basilbridge_common::unit::Millis;
use basilbridge_workflow::{
    job::{
        State,
        TaskId, //
    },
    lease::Lease,
    report::Outcome,
};
use quickcheck::Gen;

use crate::{
    simulation::Simulation,
    util::{
        PLANS,
        accepted,
        step, //
    },
};

const CORE: u64 = 1000;
const LENGTH: Duration = Duration::from_millis(5500);
const MAX_LENGTH: Duration = Duration::from_millis(6000);

/// Number of random exchanges of messages.
const EXCHANGES: u64 = 4000;

/// A message to the worker: when it arrives and what it carries.
#[derive(Debug, Clone, Copy)]
struct Message {
    arrives: u64,
    /// End of the lease by the worker's clock; `None` stands for an order of an earlier owner, which
    /// extends the lease as far as the worker grants.
    lease_end: Option<u64>,
    /// Time of the answer's arrival; `None` if it is lost.
    answered: Option<u64>,
}

/// A worker as its contract describes it, with a clock that may be 2 % slow.
#[derive(Debug)]
struct Worker {
    slow_by: f64,
    lease_end: f64,
    has_seen_epoch: bool,
}

impl Worker {
    fn clock(&self, now: u64) -> f64 {
        now as f64 * (1.0 - self.slow_by)
    }

    fn receive(&mut self, message: &Message) {
        let longest = self.clock(message.arrives) + MAX_LENGTH.as_millis() as f64;
        let requested = match message.lease_end {
            Some(end) => end as f64,
            None if self.has_seen_epoch => return,
            None => longest,
        };
        self.has_seen_epoch |= message.lease_end.is_some();
        self.lease_end = self.lease_end.max(requested.min(longest));
    }

    /// Returns the time when the lease is over.
    fn ends_at(&self) -> f64 {
        self.lease_end / (1.0 - self.slow_by)
    }
}

fn number(random: &mut Gen, below: u64) -> u64 {
    let values: Vec<u64> = (0..below).collect();
    *random.choose(&values).expect("the range is not empty")
}

/// Exchanges random messages with a worker and returns by how many milliseconds its lease outlasts
/// what the owner takes for its end.
fn overrun(seed: u64) -> Option<f64> {
    let mut random = Gen::from_size_and_seed(100, seed);
    let mut worker = Worker {
        slow_by: [0.0, 0.01, 0.02][number(&mut random, 3) as usize],
        lease_end: 0.0,
        has_seen_epoch: false,
    };
    let mut lease = Lease::default();
    let mut in_flight: Vec<Message> = Vec::new();
    let mut answers: Vec<(u64, u64)> = Vec::new();
    let mut now = 1000;
    let end = now + 200 * (5 + number(&mut random, 40));
    let deliver = |worker: &mut Worker, message: Message, answers: &mut Vec<(u64, u64)>| {
        worker.receive(&message);
        if let (Some(_), Some(at)) = (message.lease_end, message.answered) {
            answers.push((at, worker.clock(message.arrives) as u64));
        }
    };
    while now < end {
        now += 20;
        in_flight.sort_by_key(|message| message.arrives);
        while in_flight.first().is_some_and(|first| first.arrives <= now) {
            let message = in_flight.remove(0);
            deliver(&mut worker, message, &mut answers);
        }
        for (_, clock) in answers.extract_if(.., |(at, _)| *at <= now) {
            if !lease.is_stale(clock) {
                lease.read_clock(clock, Millis(now));
            }
        }
        let from_earlier_owner = number(&mut random, 4) == 0;
        if number(&mut random, 12) == 0 {
            let delay = [5, 200, 3000][number(&mut random, 3) as usize];
            let back = [5, 300, 2000][number(&mut random, 3) as usize];
            let own = lease.extend(LENGTH, Millis(now), Millis(now)).unwrap_or(0);
            let message = Message {
                arrives: now + delay,
                lease_end: (!from_earlier_owner).then_some(own),
                answered: (number(&mut random, 3) > 0).then_some(now + delay + back),
            };
            // One message of four is lost.
            if number(&mut random, 4) > 0 {
                in_flight.push(message);
            }
        }
    }
    let expected = lease.end(MAX_LENGTH)?;
    in_flight.sort_by_key(|message| message.arrives);
    for message in in_flight {
        // An earlier owner that goes on reaches the worker only before the epoch does.
        deliver(&mut worker, message, &mut answers);
    }
    let over = worker.ends_at() - expected.0 as f64;
    (over > 0.0).then_some(over)
}

#[test]
fn a_lease_ends_in_time_whatever_messages_arrive_late_or_not_at_all() {
    let overruns: Vec<(u64, f64)> = (0..EXCHANGES)
        .filter_map(|seed| Some((seed, overrun(seed)?)))
        .collect();

    assert_eq!(overruns, Vec::new());
}

#[test]
fn a_lease_that_an_earlier_owner_extended_before_the_first_answer_is_waited_for() {
    let first_answer = Millis(8000);
    let mut lease = Lease::default();

    lease.read_clock(500, first_answer);
    lease.extend(Duration::from_millis(1000), first_answer, first_answer);

    let end = lease.end(MAX_LENGTH).unwrap();
    assert!(end >= first_answer.after(MAX_LENGTH));
}

fn long(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (20_000, Outcome::Done, CORE)
}

/// A later owner may have claimed the workers meanwhile and have extended the lease. Found on the
/// small twin of the large Spine & Leaf site, quiet-1.
#[test]
fn tasks_of_a_silent_worker_wait_until_the_claim_is_known_to_have_outlasted_their_lease() {
    let mut sim = Simulation::new(&["w1", "w2"], long);
    sim.submit("j1", accepted(PLANS, sim.now, vec![step(1, CORE)]));
    sim.run(500);
    let silent = sim.fleet.starts[0].3.clone();
    sim.fleet.workers.get_mut(&silent).unwrap().reachable = false;
    sim.store_down = true;

    sim.run(9000);
    let while_unconfirmed = sim.starts_of("j1");
    let asked = sim.engine.take_needs_confirmation();
    sim.store_down = false;
    sim.run(30_000);

    assert_eq!(while_unconfirmed, 1);
    assert!(asked);
    assert_eq!(sim.starts_of("j1"), 2);
    assert_eq!(sim.state("j1"), State::Completed);
}
