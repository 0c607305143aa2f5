//! Calls to the advice service while more advice is needed than the service can give.
//!
//! The load is that of a deployment on which calls that take 38 ms took 1.2 s under overload, since
//! they queued at the service, and 12,482 calls were made for some 5,000 steps, since tickets had
//! expired before their steps came to their turn.

use std::{
    collections::BTreeMap,
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
    advice_request::{
        AdviceReply,
        Approval, //
    },
    job::TaskId,
    order::AdviceRequest,
    policy::{
        AdviceSettings,
        Policy, //
    },
    report::Outcome,
};

use crate::{
    simulation::Simulation,
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
}

impl Service {
    fn receive(&mut self, request: AdviceRequest, now: Millis) {
        if self.dead.contains(&request.assignment.relay) {
            self.unanswered.push((now, request, false));
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
    fn new() -> Self {
        let names: Vec<String> = (0..24).map(|number| format!("w{number}")).collect();
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
        let (prefix, queue, estimate) = [("check", CHECKS, 200), ("plan", PLANS, 2000)][kind];
        let mut step = step(1, CORE);
        step.estimate = Duration::from_millis(estimate);
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

    fn starts(&self, prefix: &str, from: Millis) -> usize {
        let starts = self.sim.fleet.starts.iter();
        starts
            .filter(|(at, task, ..)| *at >= from && task.job.starts_with(prefix))
            .count()
    }
}

fn overload(factor: f64) {
    let mut load = Load::new();
    let usual = SHORT_CALLS_PER_SECOND * 0.3;
    load.run(2000, usual, 2.0);
    let begun = load.sim.now;
    load.run(OVERLOAD, SHORT_CALLS_PER_SECOND * factor, 2.0);
    let over = load.sim.now;
    load.run(6000, usual, 2.0);

    let before = load
        .waits("check", Millis(0), begun)
        .into_iter()
        .max()
        .unwrap();
    let until_usual = load.time_until_usual(over, before + SHORT.cost(30) * 2);
    let calls = load.calls_per_step();
    let slowest = load.service.calls.iter().map(|call| call.2).max().unwrap();
    let plans = load.starts("plan", begun);
    println!(
        "factor {factor}: calls a step {calls:.2}, longest call {slowest:?}, wait before \
         {before:?}, as before after {until_usual:?}, plans {plans}, calls {}, starts {}",
        load.service.calls.len(),
        load.sim.fleet.starts.len()
    );
    assert!(until_usual <= Duration::from_millis(OVERLOAD));
    assert!(calls <= 1.2);
}

#[test]
fn service_is_as_before_after_twice_the_calls_that_the_vms_can_make() {
    overload(2.0);
}

#[test]
fn service_is_as_before_after_eight_times_the_calls_that_the_vms_can_make() {
    overload(8.0);
}
