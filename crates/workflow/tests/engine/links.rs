//! The owner behind a link that its orders share with its heartbeats.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Millis, //
};
use basilbridge_workflow::{
    budget::{
        self,
        Budget, //
    },
    engine::Engine,
    order::{
        Order,
        Poll,
        Start,
        Stop, //
    },
    report::Outcome,
    worker,
};

use crate::{
    fleet::Fleet,
    simulation::Simulation,
    util::{
        CHECKS,
        accepted,
        policy,
        settings,
        step, //
    },
};

const CORE: u64 = 1000;
const STEP_MILLIS: u64 = 10;
const HEARTBEAT_MILLIS: u64 = 500;
const POLL_BYTES: usize = 800;
const STOP_BYTES: usize = 300;
const HEARTBEAT_BYTES: usize = 400;

/// How late a heartbeat may be before the owner is replaced.
const UNREACHABLE_MILLIS: u64 = 650;

/// The smallest link of the users' deployments, 2 Mbit/s, and a payload of their largest kind.
const LINK_BYTES_PER_SECOND: u64 = 250_000;
const PAYLOAD: usize = 1200;

enum Message {
    Start(Start),
    Stop(Stop),
    Poll(worker::Key, Name, Poll, Millis),
    Heartbeat(Millis),
}

struct HeldPoll {
    key: worker::Key,
    poll: Poll,
    sent: Millis,
    until: Millis,
}

/// An owner that sends all messages through one link, in order.
struct Owner {
    now: Millis,
    engine: Engine,
    fleet: Fleet,
    queue: VecDeque<(usize, Message)>,
    /// Bytes that the link may still carry in this step.
    credit: usize,
    held: BTreeMap<Name, HeldPoll>,
    polled: Vec<Name>,
    /// The largest delay of a heartbeat, in milliseconds.
    heartbeat_delay: u64,
    done: usize,
}

impl Owner {
    fn new(workers: usize, budget: Budget) -> Self {
        let names: Vec<String> = (0..workers).map(|number| format!("w{number:03}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let sim = Simulation::new(&names, |_, _| (800, Outcome::Done, 14 * CORE));
        let mut settings = settings(0);
        settings.budget = budget;
        let mut engine = Engine::new(settings, policy(0), sim.now);
        for name in sim.fleet.workers.keys() {
            engine.register_worker(crate::util::entry(name, 1), sim.now);
        }
        engine.confirm_roster(&engine.roster());
        Self {
            now: sim.now,
            engine,
            fleet: sim.fleet,
            queue: VecDeque::new(),
            credit: 0,
            held: BTreeMap::new(),
            polled: Vec::new(),
            heartbeat_delay: 0,
            done: 0,
        }
    }

    /// Runs for `millis`, in which `tasks_per_second` arrive in jobs of ten.
    fn run(&mut self, millis: u64, tasks_per_second: u64) {
        let begun = self.now;
        let mut jobs = 0;
        while self.now.since(begun) < Duration::from_millis(millis) {
            self.now = Millis(self.now.0 + STEP_MILLIS);
            let passed = self.now.since(begun).as_millis() as u64;
            while jobs * 10 * 1000 < passed * tasks_per_second {
                jobs += 1;
                self.submit(jobs);
            }
            if passed.is_multiple_of(HEARTBEAT_MILLIS) {
                self.queue
                    .push_back((HEARTBEAT_BYTES, Message::Heartbeat(self.now)));
            }
            self.fleet.advance(self.now);
            self.pass();
            self.poll_idle();
            self.transmit();
            self.answer_polls();
        }
        let waiting = self.queue.iter().filter_map(|(_, message)| match message {
            Message::Heartbeat(sent) => Some(self.now.since(*sent).as_millis() as u64),
            _ => None,
        });
        self.heartbeat_delay = waiting.fold(self.heartbeat_delay, u64::max);
    }

    fn submit(&mut self, number: u64) {
        let mut job = accepted(CHECKS, self.now, vec![step(10, 14 * CORE)]);
        job.spec.payload = "x".repeat(PAYLOAD).into();
        let id: Name = format!("j{number}").into();
        self.engine
            .accept(&id, job, Version(1), None, false, self.now);
    }

    fn pass(&mut self) {
        self.engine.confirm_ownership(self.now, Version(1));
        self.engine.tick(self.now);
        self.engine.schedule(self.now);
        while let Some(round) = self.engine.begin_round() {
            for batch in &round.batches {
                self.engine
                    .handle_stored(batch, Version(self.now.0), self.now);
            }
            self.engine.finish_round(&round.ends);
        }
        self.engine.take_events();
        for order in self.engine.take_orders() {
            match order {
                Order::Start(start) => {
                    let bytes = budget::start_bytes(start.payload.len());
                    self.queue.push_back((bytes, Message::Start(start)));
                }
                Order::Stop(stop) => self.queue.push_back((STOP_BYTES, Message::Stop(stop))),
                Order::Throttle(_) | Order::RequestAdvice(_) => {}
            }
        }
    }

    fn poll_idle(&mut self) {
        let names: Vec<Name> = self.fleet.workers.keys().cloned().collect();
        for name in names {
            if self.held.contains_key(&name) || self.polled.contains(&name) {
                continue;
            }
            let key = self.engine.worker_key(&name).expect("it is registered");
            let poll = self.engine.poll(key, self.now).expect("it is registered");
            self.polled.push(name.clone());
            self.queue
                .push_back((POLL_BYTES, Message::Poll(key, name, poll, self.now)));
        }
    }

    fn transmit(&mut self) {
        self.credit += (LINK_BYTES_PER_SECOND * STEP_MILLIS / 1000) as usize;
        while let Some((bytes, _)) = self.queue.front() {
            if *bytes > self.credit {
                return;
            }
            self.credit -= *bytes;
            let Some((_, message)) = self.queue.pop_front() else {
                return;
            };
            self.deliver(message);
        }
        self.credit = 0;
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Start(start) => {
                let answer = self.fleet.start(1, &start, now);
                self.engine.handle_start_result(
                    start.target.key,
                    &start.task,
                    start.run,
                    answer,
                    now,
                );
            }
            Message::Stop(stop) => {
                let answer = self.fleet.stop(1, &stop, now);
                self.engine
                    .handle_stop_result(stop.target.key, &stop.task, stop.run, answer, now);
            }
            Message::Poll(key, name, poll, sent) => {
                self.polled.retain(|other| *other != name);
                let until = now.after(poll.max_wait);
                let held = HeldPoll {
                    key,
                    poll,
                    sent,
                    until,
                };
                self.held.insert(name, held);
            }
            Message::Heartbeat(sent) => {
                let delay = now.since(sent).as_millis() as u64;
                self.heartbeat_delay = self.heartbeat_delay.max(delay);
            }
        }
    }

    fn answer_polls(&mut self) {
        let now = self.now;
        let has_ended = |fleet: &Fleet, name: &Name, poll: &Poll| {
            let ended = &fleet.workers[name].ended;
            ended.iter().any(|end| end.sequence > poll.acknowledged)
        };
        let due: Vec<Name> = self
            .held
            .iter()
            .filter(|(name, held)| held.until <= now || has_ended(&self.fleet, name, &held.poll))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let Some(held) = self.held.remove(&name) else {
                continue;
            };
            if let Some(inventory) = self.fleet.poll(1, &held.poll, now) {
                let ended = inventory.ended.iter();
                self.done += ended
                    .filter(|end| {
                        end.outcome == Outcome::Done && !self.fleet.done.contains(&end.task)
                    })
                    .count();
                self.engine
                    .handle_inventory(held.key, held.sent, now, &inventory);
            }
        }
    }
}

fn limited() -> Budget {
    Budget {
        cpu_millis: 0,
        link_bytes_per_second: LINK_BYTES_PER_SECOND,
    }
}

/// Heartbeats wait behind what was sent before, so an owner whose link is full is taken for gone.
/// Found on the small twin of the large Spine & Leaf site.
#[test]
fn heartbeats_are_in_time_at_up_to_twice_the_load_that_the_link_carries() {
    for tasks_per_second in [0, 60, 120, 240] {
        let mut owner = Owner::new(120, limited());

        owner.run(10_000, tasks_per_second);

        let delay = owner.heartbeat_delay;
        assert!(
            delay < UNREACHABLE_MILLIS,
            "{tasks_per_second} tasks per second: {delay} ms"
        );
        assert_eq!(owner.fleet.violations, Vec::<String>::new());
    }
}

#[test]
fn without_a_budget_the_same_load_delays_heartbeats_until_the_owner_is_replaced() {
    let mut owner = Owner::new(120, Budget::default());

    owner.run(10_000, 240);

    assert!(owner.heartbeat_delay > UNREACHABLE_MILLIS);
}

#[test]
fn a_load_beyond_the_link_is_served_in_part() {
    let mut at_capacity = Owner::new(120, limited());
    let mut overloaded = Owner::new(120, limited());

    at_capacity.run(10_000, 100);
    overloaded.run(10_000, 200);

    // Ten seconds of a load that the link just carries.
    assert!(overloaded.fleet.starts.len() * 10 >= at_capacity.fleet.starts.len() * 9);
}

#[test]
fn polls_use_a_fixed_part_of_the_link_however_many_workers_there_are() {
    let budget = limited();

    let waits = [10, 50, 120, 400].map(|workers| budget.poll_wait(workers, true).as_millis());

    assert_eq!(waits, [300, 640, 1536, 2000]);
}

#[test]
fn polls_of_a_thousand_workers_that_go_unanswered_do_not_fill_the_processor() {
    // The load: one worker of 1,100 is silent, and all are polled three times as often for it.
    let budget = |cpu_millis| Budget {
        cpu_millis,
        ..Budget::default()
    };

    let half_a_core = [48, 350, 1100].map(|workers| budget(500).poll_wait(workers, true));
    let small = budget(120).poll_wait(1100, false);

    assert_eq!(half_a_core.map(|wait| wait.as_millis()), [300, 300, 704]);
    assert_eq!(small, budget::MAX_POLL_WAIT);
}
