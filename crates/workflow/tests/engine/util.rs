//! Fixtures: settings, a policy, jobs and entries of workers.

use std::time::Duration;

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_workflow::{
    budget::Budget,
    engine::{
        Engine,
        Settings, //
    },
    job::{
        Accepted,
        Spec,
        Step, //
    },
    lineage::Lineage,
    policy::{
        AdviceSettings,
        Policy,
        Queue,
        Team, //
    },
    report::WorkerInfo,
};

pub(crate) const CHECKS: &str = "checks";
pub(crate) const PLANS: &str = "plans";
pub(crate) const LONG_RUNNING: &str = "lasting";
pub(crate) const TEAM: &str = "workshop";
pub(crate) const POOL: &str = "planner";

/// Processor capacity of a worker in thousandths of a core.
pub(crate) const WORKER_CPU: u64 = 64_000;

/// Lease that owners grant.
const LEASE: Duration = Duration::from_millis(5500);

/// Returns the lineage of an owner after `epoch` others that all kept the promises of this version.
pub(crate) fn lineage(epoch: u32) -> Lineage {
    Lineage {
        epoch,
        earlier_lease: LEASE,
        ..Lineage::first(LEASE)
    }
}

pub(crate) fn settings(epoch: u32) -> Settings {
    Settings {
        epoch,
        claimed_at: Version(0),
        predecessor_ended: false,
        lineage: lineage(epoch),
        lease: LEASE,
        max_lease: Duration::from_secs(6),
        evacuation_limit: None,
        capacity: None,
        budget: Budget::default(),
        usage_half_life: Duration::from_secs(4 * 3600),
    }
}

pub(crate) fn queue(name: &str, priority: u32, advice: Option<AdviceSettings>) -> Queue {
    Queue {
        name: name.into(),
        pool: POOL.into(),
        priority,
        max_attempts: 2,
        stretch: 1.5,
        slack: Duration::from_millis(250),
        advice,
    }
}

/// Returns three queues without advice and a team with a processor cap of `cap_cpu`; zero stands
/// for no limit.
pub(crate) fn policy(cap_cpu: u64) -> Policy {
    let queues = [
        queue(CHECKS, 0, None),
        queue(LONG_RUNNING, 1, None),
        queue(PLANS, 2, None),
    ];
    let team = Team {
        name: TEAM.into(),
        weight: 100.0,
        cap: cpu(cap_cpu),
    };
    Policy {
        queues: queues
            .into_iter()
            .map(|queue| (queue.name.clone(), queue))
            .collect(),
        teams: [(team.name.clone(), team)].into(),
        ..Policy::default()
    }
}

pub(crate) fn cpu(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mib: 0,
        accelerators: 0,
    }
}

pub(crate) fn step(count: u32, cpu_millis: u64) -> Step {
    Step {
        count,
        resources: Resources {
            cpu_millis,
            memory_mib: 64,
            accelerators: 0,
        },
        estimate: Duration::from_millis(800),
        after: Vec::new(),
        checkpoints: false,
        gang: false,
        same_rack: false,
        long_running: false,
        best_effort: false,
        label: None,
        data_rack: None,
        max_per_worker: None,
        latency_target: None,
        max_unavailable: None,
    }
}

pub(crate) fn accepted(queue: &str, accepted_at: Millis, steps: Vec<Step>) -> Accepted {
    Accepted {
        queue: queue.into(),
        team: Some(TEAM.into()),
        accepted_at,
        spec: Spec {
            payload: "work".into(),
            steps,
            schedule: None,
        },
    }
}

pub(crate) fn entry(name: &str, boot: u64) -> WorkerInfo {
    WorkerInfo {
        name: name.into(),
        address: address(name),
        pool: POOL.into(),
        boot,
        capacity: Resources {
            cpu_millis: WORKER_CPU,
            memory_mib: 131_072,
            accelerators: 0,
        },
        data_centre: data_centre(name),
        labels: vec!["a".into(), "r1".into()],
        leaving: false,
    }
}

/// Returns the data centre of a worker: that of `north/w1` is `north`, and that of `w1` is unknown.
fn data_centre(name: &str) -> Name {
    name.split_once('/').map_or("", |(name, _)| name).into()
}

/// Returns the address of a worker. A worker named `w1-2` has that of `w1`.
pub(crate) fn address(name: &str) -> Name {
    let machine = name.split('-').next().unwrap_or(name);
    format!("{machine}:1").into()
}

pub(crate) fn engine(epoch: u32, now: Millis) -> Engine {
    let mut engine = Engine::new(settings(epoch), policy(0), now);
    // The claim is a conditional write too.
    engine.confirm_ownership(now, Version(0));
    engine
}

pub(crate) fn name(text: &str) -> Name {
    text.into()
}
