//! Counts the calls to the table service that upper limits cost at the target size.
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

const SECONDS: u64 = 60;
/// The first seconds, in which all teams ask for their first allotments, are not counted.
const WARM_UP_SECONDS: u64 = 30;
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_SECOND: u64 = 10;
const TICKS_PER_ROUND: u64 = 5;
const LONGEST_RUN_SECONDS: u64 = 60;

/// One size of fleet and load.
struct Size {
    vms: usize,
    shards: usize,
    teams: usize,
    shards_of_team: usize,
    starts_per_second: u64,
    /// The limit of a team as a part of its mean use, in hundredths.
    limit_percent: u64,
}

struct Waiting {
    since: u64,
    team: usize,
}

struct Place {
    book: Arc<Mutex<Ledger>>,
    queue: VecDeque<Waiting>,
}

struct Run {
    places: Vec<Place>,
    names: Vec<Name>,
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    random: SmallRng,
    waits: Histogram<u64>,
    starts: u64,
}

const TASK: Resources = Resources {
    cpu_millis: 1000,
    memory_mib: 2048,
    accelerators: 0,
};

impl Run {
    fn submit(&mut self, size: &Size, tick: u64) {
        for _ in 0..size.starts_per_second / TICKS_PER_SECOND {
            let team = self.random.random_range(0..size.teams);
            let choice = self.random.random_range(0..size.shards_of_team);
            let shard = (team * 7 + choice * 31) % size.shards;
            let since = tick;
            self.places[shard].queue.push_back(Waiting { since, team });
        }
    }

    fn end(&mut self, tick: u64) {
        while let Some(Reverse((due, shard, team))) = self.ends.peek().copied()
            && due <= tick
        {
            self.ends.pop();
            let mut book = self.places[shard].book.lock().unwrap();
            book.end(&self.names[team], &TASK);
        }
    }

    /// Starts what is admitted and says whether anything waits.
    fn start(&mut self, shard: usize, tick: u64) -> bool {
        let place = &mut self.places[shard];
        let mut book = place.book.lock().unwrap();
        book.begin_pass();
        let queue = std::mem::take(&mut place.queue);
        for waiting in queue {
            let team = &self.names[waiting.team];
            if !book.admits(team, &TASK) {
                place.queue.push_back(waiting);
                continue;
            }
            book.start(team, &TASK);
            let run = self
                .random
                .random_range(1..LONGEST_RUN_SECONDS * TICKS_PER_SECOND);
            self.ends.push(Reverse((tick + run, shard, waiting.team)));
            let millis = (tick - waiting.since) * TICK.as_millis() as u64;
            self.waits.saturating_record(millis);
            self.starts += 1;
        }
        book.is_waiting()
    }
}

async fn measure(size: &Size) {
    let timer = timer::Service::manual();
    let store = Store::new(timer.clone());
    let tables = store.platform().tables;
    timer.advance(Duration::from_secs(1));
    let names: Vec<Name> = (0..size.teams)
        .map(|team| format!("team-{team}").into())
        .collect();
    let mean = size.starts_per_second * LONGEST_RUN_SECONDS / 2 / size.teams as u64;
    let limit = TASK.times((mean * size.limit_percent / 100).max(1));
    let limits = names.iter().map(|name| (name.clone(), limit));
    let limits = Limits::new(Version(1), limits.collect::<BTreeMap<_, _>>());
    let mut seats: Vec<Vec<Participant>> = vec![Vec::new(); size.vms];
    let mut places = Vec::new();
    for number in 0..size.shards {
        let shard = Shard {
            data_centre: "one".into(),
            number: number as u32,
        };
        let vm = number % size.vms;
        let wanted = [(shard, None)];
        let titles = session::claim(&tables, Session(vm as u64), &wanted).await;
        let mut book = Ledger::default();
        book.finish_recovery();
        book.set_limited(&limits.names);
        let book = Arc::new(Mutex::new(book));
        let shared = Arc::clone(&book);
        seats[vm].push(Participant {
            ownership: titles.unwrap().remove(0),
            ledger: Arc::new(move |work| work(&mut shared.lock().unwrap())),
            notify_granted: Arc::new(|| {}),
            stop: Arc::new(|_, _| {}),
        });
        places.push(Place {
            book,
            queue: VecDeque::new(),
        });
        if number % 100 == 99 {
            timer.advance(Duration::from_secs(1));
        }
    }
    timer.advance(Duration::from_secs(1));
    let mut desks: Vec<_> = (0..size.vms)
        .map(|vm| Allocator::new(tables.clone(), Session(vm as u64), vm as u64))
        .collect();
    let mut run = Run {
        places,
        names,
        ends: BinaryHeap::new(),
        random: SmallRng::seed_from_u64(1),
        waits: Histogram::new_with_max(1_000_000, 3).unwrap(),
        starts: 0,
    };
    let mut before = store.counts();
    let mut busiest = (0, 0);
    let mut first = before;
    for tick in 0..SECONDS * TICKS_PER_SECOND {
        if tick == WARM_UP_SECONDS * TICKS_PER_SECOND {
            before = store.counts();
            first = before;
            busiest = (0, 0);
            run.starts = 0;
            run.waits.reset();
        }
        run.end(tick);
        run.submit(size, tick);
        for vm in 0..size.vms {
            let mine = (vm..size.shards).step_by(size.vms);
            let waits = mine.fold(false, |any, shard| run.start(shard, tick) | any);
            if waits || tick % TICKS_PER_ROUND == 0 {
                let now = timer.now();
                desks[vm]
                    .run_round(now, &limits, &seats[vm], size.vms)
                    .await;
            }
        }
        timer.advance(TICK);
        if tick % TICKS_PER_SECOND == TICKS_PER_SECOND - 1 {
            let counts = store.counts();
            busiest.0 = busiest.0.max(counts.writes - before.writes);
            busiest.1 = busiest.1.max(counts.reads - before.reads);
            before = counts;
        }
    }
    let last = store.counts();
    let running = run.ends.len() as u64;
    let granted = size.teams as u64 * limit.cpu_millis / 1000;
    println!(
        "{:>4} {:>7} {:>6} {:>9} {:>6} | {:>9.1} {:>8} {:>8.1} {:>8} {:>8} | {:>7} {:>7} {:>7} | {:>8} {:>8}",
        size.vms,
        size.shards,
        size.teams,
        size.starts_per_second,
        size.limit_percent,
        (last.writes - first.writes) as f64 / (SECONDS - WARM_UP_SECONDS) as f64,
        busiest.0,
        (last.reads - first.reads) as f64 / (SECONDS - WARM_UP_SECONDS) as f64,
        busiest.1,
        last.over_cap - first.over_cap,
        run.waits.value_at_quantile(0.5),
        run.waits.value_at_quantile(0.99),
        run.starts,
        running,
        granted,
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
