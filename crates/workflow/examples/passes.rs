//! Measures the duration of a scheduling pass by the number of workers and of waiting jobs.
//!
//! `cargo run --release -p basilbridge-workflow --example passes`; docs/CAPACITY.md lists the
//! results. With a number as an argument, the jobs belong to that many teams of equal weight.

use std::time::{
    Duration,
    Instant, //
};

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
    advice_request::{
        AdviceReply,
        Approval, //
    },
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
    order::Order,
    policy::{
        AdviceSettings,
        Policy,
        Queue,
        Team, //
    },
    report::{
        Inventory,
        StartResult,
        WorkerInfo, //
    },
};

/// Number of passes per result, which is their mean duration.
const PASSES: u64 = 400;

/// Number of tasks per job.
const TASKS: u32 = 14;

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.into(),
        pool: "pool".into(),
        priority,
        max_attempts: 2,
        stretch: 1.5,
        slack: Duration::from_millis(300),
        advice: Some(AdviceSettings {
            per_call: Duration::from_millis(25),
            per_worker: Duration::from_micros(360),
            ticket_lifetime: Duration::from_millis(2500),
        }),
    }
}

/// Returns the number of teams, from the first argument.
fn team_count() -> u32 {
    let argument = std::env::args().nth(1);
    argument.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn team_name(number: u32) -> Name {
    format!("team-{number}").into()
}

fn engine(workers: u32, teams: u32) -> Engine {
    let teams = (0..teams).map(|number| Team {
        name: team_name(number),
        // High enough that no job is in excess of the rate.
        weight: 1e6,
        cap: Resources::default(),
    });
    let queues = [queue("checks", 0), queue("plans", 2)];
    let policy = Policy {
        queues: queues
            .into_iter()
            .map(|queue| (queue.name.clone(), queue))
            .collect(),
        teams: teams.map(|team| (team.name.clone(), team)).collect(),
        ..Policy::default()
    };
    let settings = Settings {
        epoch: 0,
        claimed_at: Version(0),
        predecessor_ended: true,
        lineage: Lineage::first(Duration::from_millis(5500)),
        lease: Duration::from_millis(5500),
        max_lease: Duration::from_secs(6),
        evacuation_limit: None,
        capacity: None,
        budget: Budget::default(),
        usage_half_life: Duration::from_secs(4 * 3600),
    };
    let mut engine = Engine::new(settings, policy, Millis(0));
    let relays: Vec<Name> = (0..33)
        .map(|number| format!("vm-{number}").into())
        .collect();
    engine.set_relays(&relays);
    for number in 0..workers {
        let name: Name = format!("worker-{number}").into();
        let entry = WorkerInfo {
            name: name.clone(),
            address: name.clone(),
            pool: "pool".into(),
            boot: 1,
            capacity: Resources {
                cpu_millis: 64_000,
                memory_mib: 131_072,
                accelerators: 0,
            },
            data_centre: "".into(),
            labels: vec!["a".into(), format!("rack-{}", number / 8).into()],
            leaving: false,
        };
        engine.register_worker(entry, Millis(0));
        poll(&mut engine, &name, Millis(0));
    }
    engine
}

fn poll(engine: &mut Engine, name: &Name, now: Millis) {
    let Some(key) = engine.worker_key(name) else {
        return;
    };
    let inventory = Inventory {
        boot: 1,
        clock: now.0 + 1,
        ..Inventory::default()
    };
    engine.handle_inventory(key, now, now, &inventory);
}

fn submit(engine: &mut Engine, name: String, queue: &str, team: Option<Name>, now: Millis) {
    let step = Step {
        count: TASKS,
        resources: Resources {
            cpu_millis: 9_000,
            memory_mib: 13_000,
            accelerators: 0,
        },
        estimate: Duration::from_millis(800),
        after: Vec::new(),
        checkpoints: true,
        gang: false,
        same_rack: false,
        long_running: false,
        best_effort: false,
        label: None,
        data_rack: None,
        max_per_worker: None,
        latency_target: None,
        max_unavailable: None,
    };
    let accepted = Accepted {
        queue: queue.into(),
        team,
        accepted_at: now,
        spec: Spec {
            payload: "work".into(),
            steps: vec![step],
            schedule: None,
        },
    };
    engine.accept(&name.into(), accepted, Version(1), None, false, now);
}

/// Answers all pending orders: requests for advice with approval of two workers out of three,
/// starts with success.
fn answer(engine: &mut Engine, now: Millis) {
    for order in engine.take_orders() {
        match order {
            Order::RequestAdvice(request) => {
                let approved = request
                    .workers
                    .iter()
                    .enumerate()
                    .filter(|(at, _)| at % 3 > 0);
                let approved = approved.map(|(_, worker)| Approval {
                    worker: worker.clone(),
                    ticket: "ticket".into(),
                });
                let advised = AdviceReply {
                    approved: approved.collect(),
                    ticket_lifetime: request.advice.ticket_lifetime,
                };
                engine.handle_advice(&request, Some(&advised), now);
            }
            Order::Start(start) => {
                engine.handle_start_result(
                    start.target.key,
                    &start.task,
                    start.run,
                    StartResult::Running,
                    now,
                );
            }
            Order::Stop(_) | Order::Throttle(_) => {}
        }
    }
    engine.take_events();
}

fn main() {
    let teams = team_count();
    println!("workers  jobs waiting  time of a pass");
    for (workers, waiting) in [
        (50, 25),
        (100, 50),
        (350, 100),
        (350, 300),
        (1000, 60),
        (1000, 300),
    ] {
        let mut engine = engine(workers, teams);
        let mut now = Millis(10);
        // Seven tasks fill a worker; the jobs beyond that wait.
        let running_jobs = workers * 7 / TASKS;
        for number in 0..running_jobs + waiting {
            let queue = if number % 4 == 0 { "plans" } else { "checks" };
            let team = (teams > 0).then(|| team_name(number % teams.max(1)));
            submit(&mut engine, format!("job-{number}"), queue, team, now);
        }
        for _ in 0..600 {
            now = now.after(Duration::from_millis(4));
            engine.tick(now);
            engine.schedule(now);
            answer(&mut engine, now);
        }
        let mut spent = Duration::ZERO;
        for _ in 0..PASSES {
            now = now.after(Duration::from_millis(4));
            let started_at = Instant::now();
            engine.tick(now);
            engine.schedule(now);
            spent += started_at.elapsed();
            answer(&mut engine, now);
        }
        let each = spent / PASSES as u32;
        println!(
            "{workers:7}  {waiting:12}  {:9.1} us",
            each.as_secs_f64() * 1e6
        );
    }
}
