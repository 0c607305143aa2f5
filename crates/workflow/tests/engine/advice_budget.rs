//! Calls to the advice service while more advice is needed than the service can give.
//!
//! The load is that of a deployment on which calls that take 38 ms took 1.2 s under overload, since
//! they queued at the service, and 12,482 calls were made for some 5,000 steps, since tickets had
//! expired before their steps came to their turn.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_workflow::{
    active::objective,
    advice_request::{
        AdviceReply,
        Approval, //
    },
    job::{
        Step,
        TaskId, //
    },
    order::AdviceRequest,
    policy::{
        AdviceSettings,
        Policy, //
    },
    rank::LATE_FACTOR,
    report::Outcome, //
};

use crate::{
    simulation::{
        Link,
        Simulation, //
    },
    util::{
        CHECKS,
        PLANS,
        accepted,
        policy,
        queue,
        step, //
    },
};

const CORE: u64 = 1000;
const STEP: u64 = 10;
const RELAYS: usize = 4;

/// Short steps per second at which the relays are busy with calls of the usual size: a call for 30
/// workers takes 31 ms.
const SHORT_CALLS_PER_SECOND: f64 = RELAYS as f64 / 0.0313;

/// Short steps per second without overload.
const USUAL: f64 = SHORT_CALLS_PER_SECOND * 0.3;

/// Length of an overload in milliseconds.
const OVERLOAD: u64 = 4000;

/// Settings of the urgent queue and of the batch queue of the deployment.
const SHORT: AdviceSettings = AdviceSettings {
    per_call: Duration::from_millis(22),
    per_worker: Duration::from_micros(310),
    ticket_lifetime: Duration::from_millis(2500),
};
const LONG: AdviceSettings = AdviceSettings {
    per_call: Duration::from_millis(507),
    per_worker: Duration::from_micros(7200),
    ticket_lifetime: Duration::from_millis(2500),
};

/// An advice service that serves one call at a time for each calling VM.
#[derive(Debug, Default)]
struct Service {
    /// Time until which each VM's calls occupy it.
    busy_until: BTreeMap<Name, Millis>,
    /// Calls that are not answered, with the time of the answer; `None` stands for a failure.
    unanswered: Vec<(Millis, AdviceRequest, bool)>,
    /// All calls: time, request and time until the answer.
    calls: Vec<(Millis, AdviceRequest, Duration)>,
    dead: Vec<Name>,
    failed: usize,
}

impl Service {
    fn receive(&mut self, request: AdviceRequest, now: Millis) {
        if self.dead.contains(&request.assignment.relay) {
            self.unanswered.push((now, request, false));
            self.failed += 1;
            return;
        }
        let busy_until = self
            .busy_until
            .entry(request.assignment.relay.clone())
            .or_default();
        let ends = now.max(*busy_until).after(request.cost());
        *busy_until = ends;
        self.calls.push((now, request.clone(), ends.since(now)));
        self.unanswered.push((ends, request, true));
    }

    fn answer_due(&mut self, sim: &mut Simulation) {
        let now = sim.now;
        let due: Vec<_> = self
            .unanswered
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, request, is_answered) in due {
            let reply = is_answered.then(|| reply(&request));
            sim.engine.handle_advice(&request, reply.as_ref(), now);
        }
    }
}

/// Approves 70 % of the workers for short calls and 35 % for long ones.
fn reply(request: &AdviceRequest) -> AdviceReply {
    let percent = if request.advice == SHORT { 70 } else { 35 };
    let approves = |worker: &&Name| {
        let mut hasher = DefaultHasher::new();
        (&request.job, request.step, worker).hash(&mut hasher);
        hasher.finish() % 100 < percent
    };
    let approved = request.workers.iter().filter(approves);
    AdviceReply {
        approved: approved
            .map(|worker| Approval {
                worker: worker.clone(),
                ticket: "ticket".into(),
            })
            .collect(),
        ticket_lifetime: request.advice.ticket_lifetime,
    }
}

fn advised_policy() -> Policy {
    let mut advised = policy(0);
    for (name, priority, settings) in [(CHECKS, 0, SHORT), (PLANS, 2, LONG)] {
        let queue = queue(name, priority, Some(settings));
        advised.queues.insert(queue.name.clone(), queue);
    }
    advised
}

fn quick(task: &TaskId, _: u32) -> (u64, Outcome, u64) {
    let millis = if task.job.starts_with("plan") {
        2000
    } else {
        200
    };
    (millis, Outcome::Done, CORE)
}

fn short_step() -> Step {
    let mut short = step(1, CORE);
    short.estimate = Duration::from_millis(200);
    short
}

fn long_step() -> Step {
    let mut long = step(1, CORE);
    long.estimate = Duration::from_secs(2);
    long
}

/// A deployment under load.
struct Load {
    sim: Simulation,
    service: Service,
    submitted: u64,
    /// Fractions of a job that are still to be submitted.
    due: [f64; 2],
    submitted_at: BTreeMap<Name, Millis>,
}

impl Load {
    fn new(workers: usize) -> Self {
        let names: Vec<String> = (0..workers).map(|number| format!("w{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut sim = Simulation::new(&names, quick);
        sim.policy = advised_policy();
        sim.engine.set_policy(sim.policy.clone());
        sim.relays.truncate(RELAYS);
        Self {
            sim,
            service: Service::default(),
            submitted: 0,
            due: [0.0; 2],
            submitted_at: BTreeMap::new(),
        }
    }

    /// Advances with so many short and long steps per second.
    fn run(&mut self, millis: u64, short: f64, long: f64) {
        for _ in 0..millis / STEP {
            for (kind, rate) in [short, long].into_iter().enumerate() {
                self.due[kind] += rate * STEP as f64 / 1000.0;
                while self.due[kind] >= 1.0 {
                    self.due[kind] -= 1.0;
                    self.submit(kind);
                }
            }
            self.sim.run(STEP);
            for request in std::mem::take(&mut self.sim.requests) {
                self.service.receive(request, self.sim.now);
            }
            self.service.answer_due(&mut self.sim);
        }
    }

    fn submit(&mut self, kind: usize) {
        let (prefix, queue, step) = if kind == 0 {
            ("check", CHECKS, short_step())
        } else {
            ("plan", PLANS, long_step())
        };
        let id = format!("{prefix}{}", self.submitted);
        self.submitted += 1;
        self.submitted_at.insert(id.as_str().into(), self.sim.now);
        let mut job = accepted(queue, self.sim.now, vec![step]);
        job.team = None;
        self.sim.submit(&id, job);
    }

    /// Returns the waits for the start of the jobs whose name begins with `prefix` and that were
    /// submitted from `from` until `until`. Jobs that have not started count until now.
    fn waits(&self, prefix: &str, from: Millis, until: Millis) -> Vec<Duration> {
        let mut started: BTreeMap<&Name, Millis> = BTreeMap::new();
        for (at, task, ..) in &self.sim.fleet.starts {
            started.entry(&task.job).or_insert(*at);
        }
        let submitted = self.submitted_at.iter();
        submitted
            .filter(|(job, at)| job.starts_with(prefix) && **at >= from && **at < until)
            .map(|(job, at)| started.get(job).copied().unwrap_or(self.sim.now).since(*at))
            .collect()
    }

    /// Returns the time from `from` on after which steps again start within `limit`.
    fn time_until_usual(&self, from: Millis, limit: Duration) -> Duration {
        let mut until_usual = Duration::ZERO;
        let mut at = from;
        while at < self.sim.now {
            let end = at.after(Duration::from_millis(100));
            if self
                .waits("check", at, end)
                .iter()
                .any(|wait| *wait > limit)
            {
                until_usual = end.since(from);
            }
            at = end;
        }
        until_usual
    }

    /// Returns the calls per step that has started.
    fn calls_per_step(&self) -> f64 {
        let mut jobs: Vec<&Name> = self
            .sim
            .fleet
            .starts
            .iter()
            .map(|start| &start.1.job)
            .collect();
        jobs.sort_unstable();
        jobs.dedup();
        self.service.calls.len() as f64 / jobs.len() as f64
    }

    /// Returns the longest time until the answer to a call with these settings since `from`.
    fn longest_call(&self, settings: AdviceSettings, from: Millis) -> Duration {
        let calls = self.service.calls.iter();
        let calls = calls.filter(|(at, call, _)| *at >= from && call.advice == settings);
        calls.map(|call| call.2).max().unwrap_or_default()
    }
}

/// What happened around an overload.
struct Overload {
    load: Load,
    begun: Millis,
    ended: Millis,
    /// Longest wait for the start of a short step before.
    usual_wait: Duration,
}

/// Runs an overload of so many times the short calls that the VMs can make, beside so many long
/// steps per second.
fn overload(factor: f64, long: f64) -> Overload {
    let mut load = Load::new(24);
    load.run(2000, USUAL, long);
    let begun = load.sim.now;
    load.run(OVERLOAD, SHORT_CALLS_PER_SECOND * factor, long);
    let ended = load.sim.now;
    load.run(OVERLOAD + 1000, USUAL, long);
    let waits = load.waits("check", Millis(0), begun);
    Overload {
        load,
        begun,
        ended,
        usual_wait: waits.into_iter().max().unwrap(),
    }
}

/// Asserts that steps submitted after an overload start as before within its own length, and how
/// many calls were made.
fn assert_bounded(overload: &Overload) {
    // A VM may just have begun one call of late work and hold a second one.
    let limit = overload.usual_wait + SHORT.cost(30) * 2;
    let until_usual = overload.load.time_until_usual(overload.ended, limit);
    let calls = overload.load.calls_per_step();
    println!(
        "calls a step {calls:.2}, wait before {:?}, as before after {until_usual:?}, longest \
         short call {:?}, calls {}, starts {}",
        overload.usual_wait,
        overload.load.longest_call(SHORT, Millis(0)),
        overload.load.service.calls.len(),
        overload.load.sim.fleet.starts.len()
    );
    assert!(until_usual <= Duration::from_millis(OVERLOAD));
    assert!(calls <= 1.2);
}

#[test]
fn service_is_as_before_after_twice_the_calls_that_the_vms_can_make() {
    let overload = overload(2.0, 2.0);

    assert_bounded(&overload);
}

#[test]
fn service_is_as_before_after_four_times_the_calls_that_the_vms_can_make() {
    let overload = overload(4.0, 2.0);

    assert_bounded(&overload);
}

#[test]
fn service_is_as_before_after_eight_times_the_calls_that_the_vms_can_make() {
    let overload = overload(8.0, 2.0);

    assert_bounded(&overload);
}

/// A deployment without overload must be served as before: one call a step, of the size that the
/// users' time objectives assume.
#[test]
fn at_light_load_each_step_makes_one_call_of_the_usual_size() {
    let mut load = Load::new(40);
    load.sim.relays = (0..33).map(|number| format!("vm{number}").into()).collect();

    load.run(4000, 20.0, 5.0);
    load.run(1000, 0.0, 0.0);

    let calls = load.service.calls.iter();
    let sizes: BTreeSet<usize> = calls.clone().map(|call| call.1.workers.len()).collect();
    assert_eq!(calls.len(), load.submitted_at.len());
    assert_eq!(sizes, [30].into());
    let limit = SHORT.cost(30) + Duration::from_millis(3 * STEP);
    let waits = load.waits("check", Millis(0), load.sim.now);
    assert!(waits.iter().all(|wait| *wait <= limit));
}

/// Both kinds ask for more than there is. A quarter of the VMs makes one long call after the other,
/// or short calls, in spite of the other kind.
#[test]
fn neither_kind_of_call_starves_while_both_are_in_excess() {
    let overload = overload(4.0, 20.0);

    let during = |from: Millis| from.after(Duration::from_millis(500));
    let calls = overload.load.service.calls.iter();
    let during: Vec<_> = calls
        .filter(|(at, ..)| *at >= during(overload.begun) && *at < overload.ended)
        .collect();
    let time_of = |settings: AdviceSettings| {
        let of_kind = during.iter().filter(|(_, call, _)| call.advice == settings);
        of_kind.map(|(_, call, _)| call.cost()).sum::<Duration>()
    };
    // A call that is under way when the time ends or begins counts in full or not at all.
    let quarter = Duration::from_millis((OVERLOAD - 500) * RELAYS as u64 / 4);
    println!("short {:?}, long {:?}", time_of(SHORT), time_of(LONG));
    assert!(time_of(SHORT) >= quarter.mul_f64(0.8));
    assert!(time_of(LONG) >= quarter.mul_f64(0.8));
}

/// 12,482 calls were made for 5,000 steps, many of them for jobs that were worth nothing any more.
#[test]
fn no_call_is_made_for_a_job_without_value_while_others_wait() {
    let overload = overload(4.0, 2.0);

    let checks = &advised_policy().queues[CHECKS];
    let job = accepted(CHECKS, Millis(0), vec![short_step()]);
    let worthless = objective(checks, &job) * LATE_FACTOR;
    let calls = overload.load.service.calls.iter();
    let in_vain = calls.filter(|(at, call, took)| {
        let begins = at.after(took.saturating_sub(call.cost()));
        *at >= overload.begun
            && *at < overload.ended
            && call.advice == SHORT
            && begins.since(overload.load.submitted_at[&call.job]) > worthless
    });
    assert_eq!(in_vain.count(), 0);
}

#[test]
fn calls_avoid_a_vm_that_has_died() {
    let mut load = Load::new(24);
    load.run(2000, USUAL, 2.0);
    let died = load.sim.now;
    load.service.dead.push("vm0".into());

    load.run(4000, USUAL, 2.0);

    let worst = load
        .waits("check", died, load.sim.now)
        .into_iter()
        .max()
        .unwrap();
    let failed = load.service.failed;
    println!("failed calls {failed}, longest wait {worst:?}");
    // One attempt each 1.5 s, and a second call may have been under way.
    assert!(failed <= 6);
    assert!(worst <= Duration::from_millis(300));
}

/// Calls of the earlier owner still occupy the service, and the new one does not know where.
#[test]
fn a_new_owner_queues_at_most_one_call_behind_those_of_its_predecessor() {
    let mut load = Load::new(24);
    load.run(2000, SHORT_CALLS_PER_SECOND * 2.0, 20.0);
    load.service.unanswered.clear();
    // The owner prefers its own VM.
    load.sim.relays.reverse();
    load.sim.take_over_from(true);
    let taken_over = load.sim.now;

    load.run(2000, SHORT_CALLS_PER_SECOND * 2.0, 20.0);

    let calls = load.service.calls.iter();
    let delayed = calls
        .filter(|(at, call, took)| *at >= taken_over && *took > call.cost() + SHORT.cost(30) * 3)
        .count();
    let longest = load.longest_call(SHORT, taken_over);
    println!("delayed calls {delayed}, longest {longest:?}");
    assert!(delayed <= RELAYS);
    assert!(longest <= LONG.cost(30) + SHORT.cost(30) * 2);
}

/// A start that waits for other orders to its worker may outlast its ticket, and the worker would
/// refuse it: 145 starts in one day.
#[test]
fn a_start_that_has_outlasted_its_ticket_is_not_sent() {
    let mut load = Load::new(24);
    load.run(50, 0.0, 0.0);
    load.sim.submit(
        "check0",
        accepted(CHECKS, load.sim.now, vec![step(1, CORE)]),
    );
    load.sim.run(STEP);
    for request in std::mem::take(&mut load.sim.requests) {
        let reply = reply(&request);
        let now = load.sim.now;
        load.sim.engine.handle_advice(&request, Some(&reply), now);
    }
    load.sim.run_on(3000, |_| Link::Queued);
    let queued = load.sim.queued.len();

    load.sim.send_queued();

    assert_eq!(queued, 1);
    assert_eq!(load.sim.fleet.starts.len(), 0);
    load.run(500, 0.0, 0.0);
    assert_eq!(load.sim.fleet.starts.len(), 1);
}
