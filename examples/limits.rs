//! Counts the calls to the table service that the allotment of team limits needs, up to the target
//! size of the fleet.
//!
//! `cargo run --release --example limits`; `docs/design/limits.md` quotes what it prints.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        VecDeque, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use basilbridge::{
    allotment::Allocator,
    participant::{
        Limits,
        Participant, //
    },
    session, //
};
use basilbridge_common::{
    id::{
        Name,
        Session,
        Shard,
        Version, //
    },
    timer,
    unit::Resources,
};
use basilbridge_scheduler::allotment::Ledger;
use basilbridge_standins::store::Store;
use hdrhistogram::Histogram;
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

/// The simulated time, in seconds.
const SECONDS: u64 = 60;
/// The first seconds, in which all teams request their first allotments, are not counted.
const WARM_UP_SECONDS: u64 = 30;
/// The time between two scheduling passes of a shard.
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_SECOND: u64 = 10;
/// The number of ticks between allotment rounds of a VM on which no task waits.
const TICKS_PER_ROUND: u64 = 5;
/// The upper bound of the run time of a task, in seconds.
const MAX_RUN_SECONDS: u64 = 60;

/// The size of a fleet and its load.
struct Size {
    vms: usize,
    shards: usize,
    teams: usize,
    shards_of_team: usize,
    starts_per_second: u64,
    /// The limit of a team as a percentage of its mean resource use.
    limit_percent: u64,
}

/// A task that waits for its start.
struct WaitingTask {
    since: u64,
    team: usize,
}

/// The ledger and the queue of a shard.
struct ShardState {
    ledger: Arc<Mutex<Ledger>>,
    queue: VecDeque<WaitingTask>,
}

/// The state of a simulation.
struct Simulation {
    shard_states: Vec<ShardState>,
    names: Vec<Name>,
    /// The ticks at which running tasks end, with the indexes of their shards and teams.
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    random: SmallRng,
    /// The times from submission to start, in milliseconds.
    waits: Histogram<u64>,
    starts: u64,
}

const TASK: Resources = Resources {
    cpu_millis: 1000,
    memory_mib: 2048,
    accelerators: 0,
};

impl Simulation {
    /// Submits the tasks of a tick to random teams and shards.
    fn submit(&mut self, size: &Size, tick: u64) {
        for _ in 0..size.starts_per_second / TICKS_PER_SECOND {
            let team = self.random.random_range(0..size.teams);
            let choice = self.random.random_range(0..size.shards_of_team);
            let shard = (team * 7 + choice * 31) % size.shards;
            let since = tick;
            self.shard_states[shard]
                .queue
                .push_back(WaitingTask { since, team });
        }
    }

    /// Ends the tasks whose run time is over.
    fn end_due(&mut self, tick: u64) {
        while let Some(Reverse((due, shard, team))) = self.ends.peek().copied()
            && due <= tick
        {
            self.ends.pop();
            let mut ledger = self.shard_states[shard].ledger.lock().unwrap();
            ledger.end(&self.names[team], &TASK);
        }
    }

    /// Starts the tasks that the ledger admits and returns whether others wait for an allotment.
    fn start_tasks(&mut self, shard: usize, tick: u64) -> bool {
        let state = &mut self.shard_states[shard];
        let mut ledger = state.ledger.lock().unwrap();
        ledger.begin_pass();
        let queue = std::mem::take(&mut state.queue);
        for waiting in queue {
            let team = &self.names[waiting.team];
            if !ledger.admits(team, &TASK) {
                state.queue.push_back(waiting);
                continue;
            }
            ledger.start(team, &TASK);
            let run_ticks = self
                .random
                .random_range(1..MAX_RUN_SECONDS * TICKS_PER_SECOND);
            self.ends
                .push(Reverse((tick + run_ticks, shard, waiting.team)));
            let millis = (tick - waiting.since) * TICK.as_millis() as u64;
            self.waits.saturating_record(millis);
            self.starts += 1;
        }
        ledger.is_waiting()
    }
}

/// Simulates a fleet of this size and prints a line of the table.
async fn measure(size: &Size) {
    let timer = timer::Service::manual();
    let store = Store::new(timer.clone());
    let tables = store.platform().tables;
    timer.advance(Duration::from_secs(1));
    let names: Vec<Name> = (0..size.teams)
        .map(|team| format!("team-{team}").into())
        .collect();
    let mean = size.starts_per_second * MAX_RUN_SECONDS / 2 / size.teams as u64;
    let limit = TASK.times((mean * size.limit_percent / 100).max(1));
    let limits = names.iter().map(|name| (name.clone(), limit));
    let limits = Limits::new(Version(1), limits.collect::<BTreeMap<_, _>>());
    let mut participants: Vec<Vec<Participant>> = vec![Vec::new(); size.vms];
    let mut shard_states = Vec::new();
    for number in 0..size.shards {
        let shard = Shard {
            data_centre: "one".into(),
            number: number as u32,
        };
        let vm = number % size.vms;
        let claims = [(shard, None)];
        let ownerships = session::claim(&tables, Session(vm as u64), &claims).await;
        let mut ledger = Ledger::default();
        ledger.finish_recovery();
        ledger.set_limited(&limits.names);
        let ledger = Arc::new(Mutex::new(ledger));
        let shared = Arc::clone(&ledger);
        participants[vm].push(Participant {
            ownership: ownerships.unwrap().remove(0),
            ledger: Arc::new(move |work| work(&mut shared.lock().unwrap())),
            notify_granted: Arc::new(|| {}),
            stop: Arc::new(|_, _| {}),
        });
        shard_states.push(ShardState {
            ledger,
            queue: VecDeque::new(),
        });
        if number % 100 == 99 {
            timer.advance(Duration::from_secs(1));
        }
    }
    timer.advance(Duration::from_secs(1));
    let mut allocators: Vec<_> = (0..size.vms)
        .map(|vm| Allocator::new(tables.clone(), Session(vm as u64), vm as u64))
        .collect();
    let mut simulation = Simulation {
        shard_states,
        names,
        ends: BinaryHeap::new(),
        random: SmallRng::seed_from_u64(1),
        waits: Histogram::new_with_max(1_000_000, 3).unwrap(),
        starts: 0,
    };
    let mut before = store.counts();
    let mut peaks = (0, 0);
    let mut first = before;
    for tick in 0..SECONDS * TICKS_PER_SECOND {
        if tick == WARM_UP_SECONDS * TICKS_PER_SECOND {
            before = store.counts();
            first = before;
            peaks = (0, 0);
            simulation.starts = 0;
            simulation.waits.reset();
        }
        simulation.end_due(tick);
        simulation.submit(size, tick);
        for vm in 0..size.vms {
            let owned = (vm..size.shards).step_by(size.vms);
            let waits = owned.fold(false, |any, shard| {
                simulation.start_tasks(shard, tick) | any
            });
            if waits || tick % TICKS_PER_ROUND == 0 {
                let now = timer.now();
                allocators[vm]
                    .run_round(now, &limits, &participants[vm], size.vms)
                    .await;
            }
        }
        timer.advance(TICK);
        if tick % TICKS_PER_SECOND == TICKS_PER_SECOND - 1 {
            let counts = store.counts();
            peaks.0 = peaks.0.max(counts.writes - before.writes);
            peaks.1 = peaks.1.max(counts.reads - before.reads);
            before = counts;
        }
    }
    let last = store.counts();
    let running = simulation.ends.len() as u64;
    let total_limit = size.teams as u64 * limit.cpu_millis / 1000;
    println!(
        "{:>4} {:>7} {:>6} {:>9} {:>6} | {:>9.1} {:>8} {:>8.1} {:>8} {:>8} | {:>7} {:>7} {:>7} | {:>8} {:>8}",
        size.vms,
        size.shards,
        size.teams,
        size.starts_per_second,
        size.limit_percent,
        (last.writes - first.writes) as f64 / (SECONDS - WARM_UP_SECONDS) as f64,
        peaks.0,
        (last.reads - first.reads) as f64 / (SECONDS - WARM_UP_SECONDS) as f64,
        peaks.1,
        last.over_cap - first.over_cap,
        simulation.waits.value_at_quantile(0.5),
        simulation.waits.value_at_quantile(0.99),
        simulation.starts,
        running,
        total_limit,
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!(
        " vms  shards  teams  starts/s limit% |  writes/s  busiest  reads/s  busiest over cap | wait50 wait99 starts | running   limits"
    );
    let size = |vms, shards, teams, starts_per_second, limit_percent| Size {
        vms,
        shards,
        teams,
        shards_of_team: 4.min(shards),
        starts_per_second,
        limit_percent,
    };
    for limit_percent in [100, 1000] {
        measure(&size(9, 3, 6, 100, limit_percent)).await;
        measure(&size(9, 440, 1000, 1900, limit_percent)).await;
        measure(&size(440, 440, 1000, 1900, limit_percent)).await;
    }
}
