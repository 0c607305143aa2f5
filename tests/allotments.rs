//! Allotments in the table service while claims, limits and answers change by seed.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use basilbridge::{
    allotment::Allocator,
    allotment_table,
    journal::Ownership,
    participant::{
        Limits,
        Participant, //
    },
    session, //
};
use basilbridge_common::{
    error::{
        Error,
        Kind, //
    },
    id::{
        Epoch,
        Name,
        Session,
        Shard,
        Version, //
    },
    timer,
    unit::{
        Resources, //
    },
};
use basilbridge_platform::table::{
    Query,
    Service, //
};
use basilbridge_scheduler::{
    allotment::Ledger,
    limit::Pool, //
};
use basilbridge_standins::store::{
    FaultSettings, //
    Store,
};
use futures_util::{
    FutureExt,
    future, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const VMS: usize = 3;
const SHARDS: usize = 5;
const WORKERS: usize = 2;
const STEPS: usize = 150;

const fn cores(count: u64) -> Resources {
    Resources {
        cpu_millis: count * 1000,
        memory_mib: count * 2048,
        accelerators: 0,
    }
}

fn team() -> Name {
    "club".into()
}

fn shard(number: usize) -> Shard {
    Shard {
        data_centre: "brno".into(),
        number: number as u32,
    }
}

/// One time of ownership of a shard.
struct Owner {
    vm: usize,
    title: Ownership,
    book: Arc<Mutex<Ledger>>,
}

#[derive(Clone, Copy)]
struct Task {
    need: Resources,
    worker: usize,
}

/// A shard with its workers, which take starts only from the latest epoch that has claimed them.
struct Place {
    owners: Vec<Owner>,
    fences: [Epoch; WORKERS],
    running: Vec<Task>,
}

struct World {
    store: Store,
    timer: timer::Service,
    random: SmallRng,
    places: Vec<Place>,
    limits: Vec<(Version, Resources)>,
    /// The position in `limits` that each VM knows.
    known: [usize; VMS],
    stopped: usize,
    last: Pool,
}

type Shared = Arc<Mutex<World>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap()
}

fn world(seed: u64) -> Shared {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    store.set_faults(FaultSettings {
        writes_per_second: u32::MAX,
        reads_per_second: u32::MAX,
        ..FaultSettings::default()
    });
    let place = |_| Place {
        owners: Vec::new(),
        fences: [Epoch(0); WORKERS],
        running: Vec::new(),
    };
    Arc::new(Mutex::new(World {
        store,
        timer,
        random: SmallRng::seed_from_u64(seed),
        places: (0..SHARDS).map(place).collect(),
        limits: vec![(Version(1), cores(24))],
        known: [0; VMS],
        stopped: 0,
        last: Pool::default(),
    }))
}

/// A table service that refuses, loses answers and carries writes out late.
fn faulty(world: &Shared) -> Service {
    let (writer, reader) = (Arc::clone(world), Arc::clone(world));
    Service::new(
        Arc::new(move |transaction| {
            let mut world = lock(&writer);
            let (store, timer) = (world.store.clone(), world.timer.clone());
            let delay = Duration::from_millis(world.random.random_range(0..40));
            let fault = world.random.random_range(0..10);
            async move {
                timer.sleep(delay).await;
                let unknown = Err(Error::new(Kind::WriteUnknown, "lost"));
                match fault {
                    0 => Err(Error::new(Kind::StoreUnavailable, "refused")),
                    1 => store.transact(transaction).await.and(unknown),
                    2 => {
                        tokio::spawn(async move {
                            timer.sleep(delay * 20).await;
                            store.transact(transaction).await
                        });
                        unknown
                    }
                    _ => store.transact(transaction).await,
                }
            }
            .boxed()
        }),
        Arc::new(move |query| {
            let world = lock(&reader);
            let store = world.store.clone();
            async move { store.scan(query).await }.boxed()
        }),
    )
}

impl World {
    fn limits_of(&self, vm: usize) -> Limits {
        let (version, limit) = self.limits[self.known[vm]];
        Limits::new(version, BTreeMap::from([(team(), limit)]))
    }

    fn running(&self) -> Resources {
        let tasks = self.places.iter().flat_map(|place| &place.running);
        tasks.fold(Resources::default(), |sum, task| sum.plus(&task.need))
    }

    /// Starts or ends a task in a shard that a VM believes to own.
    fn work(&mut self, vm: usize) {
        let number = self.random.random_range(0..SHARDS);
        let worker = self.random.random_range(0..WORKERS);
        let need = cores(self.random.random_range(1..5));
        let starts = self.random.random_bool(0.6);
        let place = &mut self.places[number];
        if !starts {
            place.end_one(worker);
            return;
        }
        let fence = place.fences[worker];
        let owner = place.owners.iter().rev().find(|owner| owner.vm == vm);
        let Some(owner) = owner.filter(|owner| owner.title.epoch == fence) else {
            return;
        };
        let mut book = lock(&owner.book);
        book.begin_pass();
        if book.admits(&team(), &need) {
            book.start(&team(), &need);
            place.running.push(Task { need, worker });
        }
    }

    /// Lets the latest owner of a shard claim one more worker, and settle after the last.
    fn fence(&mut self, number: usize, worker: usize) {
        let place = &mut self.places[number];
        let Some(owner) = place.owners.last() else {
            return;
        };
        if place.fences[worker] == owner.title.epoch {
            return;
        }
        place.fences[worker] = owner.title.epoch;
        let mut book = lock(&owner.book);
        let found = place.running.iter().filter(|task| task.worker == worker);
        found.for_each(|task| book.add_recovered(&team(), &task.need));
        if place.fences.iter().all(|fence| *fence == owner.title.epoch) {
            book.finish_recovery();
        }
    }

    fn seats(world: &Shared, vm: usize) -> Vec<Participant> {
        let locked = lock(world);
        let places = locked.places.iter().enumerate();
        let owners = places.filter_map(|(number, place)| {
            let owner = place.owners.iter().rev().find(|owner| owner.vm == vm)?;
            Some((number, owner.title.clone(), Arc::clone(&owner.book)))
        });
        owners
            .map(|(number, title, book)| seat(world, number, title, book))
            .collect()
    }
}

impl Place {
    fn end_one(&mut self, worker: usize) -> bool {
        let Some(at) = self.running.iter().position(|task| task.worker == worker) else {
            return false;
        };
        let task = self.running.swap_remove(at);
        // Only the owner that has claimed the worker hears of the end.
        let fence = self.fences[worker];
        let owner = self.owners.iter().find(|owner| owner.title.epoch == fence);
        if let Some(owner) = owner {
            lock(&owner.book).end(&team(), &task.need);
        }
        true
    }
}

fn seat(world: &Shared, number: usize, title: Ownership, book: Arc<Mutex<Ledger>>) -> Participant {
    let world = Arc::clone(world);
    Participant {
        ownership: title,
        ledger: Arc::new(move |work| work(&mut lock(&book))),
        notify_granted: Arc::new(|| {}),
        stop: Arc::new(move |_, _| {
            let mut world = lock(&world);
            let stopped = (0..WORKERS).any(|worker| world.places[number].end_one(worker));
            world.stopped += usize::from(stopped);
        }),
    }
}

/// Claims a shard for a VM, as a new owner does.
async fn claim(world: &Shared, tables: &Service, number: usize, vm: usize) {
    let shard = shard(number);
    let row = tables.get(session::SHARDS_TABLE, &shard.to_string()).await;
    let row = row.unwrap();
    let known = row.value.as_deref().map(serde_json::from_str);
    let known = known.map(|claim| (claim.unwrap(), row.version));
    let session = Session(vm as u64);
    let titles = session::claim(tables, session, &[(shard, known)]).await;
    let Some(title) = titles.ok().and_then(|titles| titles.into_iter().next()) else {
        return;
    };
    let mut book = Ledger::default();
    book.set_limited(&lock(world).limits_of(vm).names);
    let owner = Owner {
        vm,
        title,
        book: Arc::new(Mutex::new(book)),
    };
    lock(world).places[number].owners.push(owner);
}

/// What is wrong with the rows and what runs, if anything.
async fn check(world: &Shared) -> Result<(), String> {
    let store = lock(world).store.clone();
    let all = |table: &str| Query {
        table: table.into(),
        prefix: String::new(),
        after: None,
        limit: 1000,
    };
    let pools = store.scan(all(allotment_table::POOLS_TABLE)).await.unwrap();
    let rows = store
        .scan(all(allotment_table::ALLOTMENTS_TABLE))
        .await
        .unwrap();
    let pool: Pool = pools.first().map_or_else(Pool::default, |row| {
        serde_json::from_str(row.value.as_deref().unwrap()).unwrap()
    });
    let held = rows.iter().fold(Resources::default(), |sum, row| {
        sum.plus(&serde_json::from_str(row.value.as_deref().unwrap()).unwrap())
    });
    let mut world = lock(world);
    let last = std::mem::replace(&mut world.last, pool.clone());
    let grows = !pool.granted.fits(&last.granted);
    let overdrawn = last.version == pool.version && pool.excess() != Resources::default();
    let highest = world.limits.iter().map(|(_, limit)| limit);
    let highest = highest.fold(Resources::default(), |most, limit| most.max(limit));
    let running = world.running();
    let sound = held == pool.granted
        && held.fits(&highest)
        && running.fits(&held)
        && pool.version >= last.version
        && !(overdrawn && grows);
    match sound {
        true => Ok(()),
        false => Err(format!("{running:?} run, {held:?} held, {pool:?}")),
    }
}

async fn step(world: &Shared, tables: &Service, desks: &mut [Allocator]) {
    let (operation, number, vm, worker) = {
        let random = &mut lock(world).random;
        (
            random.random_range(0..20),
            random.random_range(0..SHARDS),
            random.random_range(0..VMS),
            random.random_range(0..WORKERS),
        )
    };
    match operation {
        0 => claim(world, tables, number, vm).await,
        1..6 => lock(world).fence(number, worker),
        6 => {
            let limit = cores(lock(world).random.random_range(8..32));
            let mut world = lock(world);
            let version = Version(world.limits.len() as u64 + 1);
            world.limits.push((version, limit));
        }
        7 => {
            let mut world = lock(world);
            world.known[vm] = world.limits.len() - 1;
        }
        8..14 => (0..4).for_each(|_| lock(world).work(vm)),
        _ => rounds(world, desks).await,
    }
}

/// Has all VMs move allotments at the same time.
async fn rounds(world: &Shared, desks: &mut [Allocator]) {
    let timer = lock(world).timer.clone();
    let calls = desks.iter_mut().enumerate().map(|(vm, desk)| {
        let (seats, limits) = (World::seats(world, vm), lock(world).limits_of(vm));
        let now = timer.now();
        async move { desk.run_round(now, &limits, &seats, 1).await }
    });
    future::join_all(calls).await;
    let pause = lock(world).random.random_range(1..400);
    timer.sleep(Duration::from_millis(pause)).await;
}

fn desks(world: &Shared) -> Vec<Allocator> {
    (0..VMS)
        .map(|vm| Allocator::new(faulty(world), Session(vm as u64), vm as u64))
        .collect()
}

async fn schedule(seed: u64) -> Result<(), String> {
    let world = world(seed);
    let mut desks = desks(&world);
    let tables = lock(&world).store.platform().tables;
    for number in 0..SHARDS {
        claim(&world, &tables, number, number % VMS).await;
    }
    for _ in 0..STEPS {
        step(&world, &tables, &mut desks).await;
        check(&world).await?;
    }
    finish(&world, &mut desks).await;
    check(&world).await?;
    let world = lock(&world);
    let (_, limit) = world.limits[world.limits.len() - 1];
    match world.running().fits(&limit) {
        true => Ok(()),
        false => Err(format!("{:?} run under {limit:?}", world.running())),
    }
}

/// Lets all VMs know the last limit, and gives them time to stop what runs over it.
async fn finish(world: &Shared, desks: &mut [Allocator]) {
    for number in 0..SHARDS {
        (0..WORKERS).for_each(|worker| lock(world).fence(number, worker));
    }
    {
        let mut world = lock(world);
        world.known = [world.limits.len() - 1; VMS];
    }
    for _ in 0..200 {
        rounds(world, desks).await;
    }
}

#[tokio::test(start_paused = true)]
async fn what_runs_is_always_within_the_allotments_and_they_within_the_limit() {
    for seed in 0..100 {
        let result = schedule(seed).await;
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

/// Two VMs with a shard each, under one limit.
async fn pair(limit: Resources) -> (Shared, Vec<Allocator>) {
    let world = world(0);
    lock(&world).limits = vec![(Version(1), limit)];
    let tables = lock(&world).store.platform().tables;
    for vm in 0..2 {
        claim(&world, &tables, vm, vm).await;
        (0..WORKERS).for_each(|worker| lock(&world).fence(vm, worker));
    }
    let desk = |vm| Allocator::new(tables.clone(), Session(vm), vm);
    (Arc::clone(&world), (0..2).map(desk).collect())
}

/// Starts as many tasks of one core as the book admits, and says how many run.
fn start_all(world: &Shared, number: usize, most: usize) -> usize {
    let place = &mut lock(world).places[number];
    let owner = &place.owners[0];
    let mut book = lock(&owner.book);
    book.begin_pass();
    while place.running.len() < most && book.admits(&team(), &cores(1)) {
        book.start(&team(), &cores(1));
        let need = cores(1);
        place.running.push(Task { need, worker: 0 });
    }
    place.running.len()
}

#[tokio::test(start_paused = true)]
async fn a_shard_that_waits_gets_a_part_although_another_one_has_work_for_the_whole_limit() {
    let (world, mut desks) = pair(cores(8)).await;
    for _ in 0..20 {
        start_all(&world, 0, 100);
        rounds(&world, &mut desks).await;
    }
    assert_eq!(start_all(&world, 0, 100), 8);

    let mut got = 0;
    for _ in 0..60 {
        lock(&world).places[0].end_one(0);
        start_all(&world, 0, 100);
        got = start_all(&world, 1, 100);
        rounds(&world, &mut desks).await;
    }

    assert!(got >= 2, "{got}");
    assert_eq!(check(&world).await, Ok(()));
}

#[tokio::test(start_paused = true)]
async fn while_the_store_is_down_work_goes_on_within_the_allotment_and_no_further() {
    let (world, mut desks) = pair(cores(8)).await;
    for _ in 0..4 {
        start_all(&world, 0, 2);
        rounds(&world, &mut desks).await;
    }
    let before = start_all(&world, 0, 2);
    let held = lock(&lock(&world).places[0].owners[0].book).held(&team());
    let store = lock(&world).store.clone();
    let down = FaultSettings {
        down: true,
        ..store.faults()
    };
    store.set_faults(down);

    for _ in 0..20 {
        lock(&world).places[0].end_one(0);
        start_all(&world, 0, 100);
        rounds(&world, &mut desks).await;
    }

    assert_eq!(before, 2);
    let running = start_all(&world, 0, 100) as u64;
    assert_eq!(running, held.cpu_millis / 1000);
}
