//! The placement index against a slow scan, and the work of a search.

mod util;

use basilbridge_common::{
    job::Kind,
    unit::Resources, //
};
use basilbridge_scheduler::{
    placement::{
        Found,
        Index,
        Order,
        Wanted, //
    },
    shard::{
        Action,
        Shard, //
    },
    task,
};
use quickcheck::{
    Arbitrary,
    Gen, //
};

const FIXED_SEEDS: u64 = 200;
const ORDERS: [Order; 3] = [Order::First, Order::Tightest, Order::Emptiest];

fn number(g: &mut Gen, most: u64) -> u64 {
    u64::arbitrary(g) % most
}

/// Returns an index of workers that are full to different degrees.
fn fleet(count: u32, g: &mut Gen) -> Index {
    let mut index = Index::default();
    for machine in 0..count {
        let key = index.set(util::worker(machine, util::resources(64, 128), 8));
        let used = util::resources(number(g, 65), number(g, 129));
        index.take(key, task::Key::default(), &used);
    }
    index
}

/// Returns an index of workers that have processors or memory left, never both, so that no part
/// of the tree can be ruled out by the largest room in it.
fn checkered(count: u32) -> Index {
    let mut index = Index::default();
    for machine in 0..count {
        let key = index.set(util::worker(machine, util::resources(64, 128), 8));
        let used = match machine % 2 {
            0 => util::resources(64, 0),
            _ => util::resources(0, 128),
        };
        index.take(key, task::Key::default(), &used);
    }
    index
}

fn wanted(need: Resources, order: Order) -> Wanted<'static> {
    Wanted {
        need,
        order,
        avoid: &[],
        trusted: false,
    }
}

#[test]
fn a_search_finds_a_worker_exactly_when_a_slow_scan_does() {
    for seed in util::seeds(FIXED_SEEDS) {
        let mut g = Gen::from_size_and_seed(64, seed);
        let count = 1 + number(&mut g, 200) as u32;
        let mut index = fleet(count, &mut g);
        for order in ORDERS {
            let need = util::resources(1 + number(&mut g, 64), 1 + number(&mut g, 128));

            let found = index.choose(&wanted(need, order));

            let fits = index
                .iter()
                .any(|(_, slot)| need.fits(&slot.free_capacity()));
            match found {
                Found::Worker(key) => {
                    let slot = index.get(key).expect("the worker is known");
                    assert!(need.fits(&slot.free_capacity()), "seed {seed}");
                }
                Found::Nothing => assert!(!fits, "seed {seed}"),
                Found::Unknown => {}
            }
        }
    }
}

#[test]
fn repeated_searches_find_the_only_worker_that_fits_in_both_dimensions() {
    let mut index = checkered(3_000);
    let only = index.set(util::worker(3_000, util::resources(64, 128), 8));
    let need = util::resources(1, 1);

    let tries = (0..4_096).position(|_| {
        let found = index.choose(&wanted(need, Order::First));
        found == Found::Worker(only)
    });

    assert!(
        tries.is_some(),
        "a search that was cut off looks elsewhere next"
    );
}

#[test]
fn a_search_looks_at_no_more_than_the_logarithm_of_the_shard() {
    let mut worst = Vec::new();
    for count in [50, 400, 3_000] {
        let mut g = Gen::from_size_and_seed(64, u64::from(count));
        let mut index = checkered(count);
        let mut most = 0;
        for _ in 0..2_000 {
            let need = util::resources(1 + number(&mut g, 16), 1 + number(&mut g, 32));
            let before = index.nodes_examined();
            index.choose(&wanted(need, Order::First));
            most = most.max(index.nodes_examined() - before);
        }
        assert!(most <= index.budget());
        worst.push(index.budget());
    }
    // The logarithm of 3,000 is a little over twice that of 50.
    assert!(worst[2] <= 2 * worst[0] + worst[0] / 4, "{worst:?}");
}

#[test]
fn a_worker_that_was_adopted_over_full_takes_nothing_until_it_has_room() {
    let mut shard = Shard::default();
    let worker = util::worker(0, util::resources(4, 4), 8);
    shard.set_worker(worker.clone());
    for job in 1..=2 {
        let task = util::task(job, Kind::Batch, util::resources(4, 4));
        shard.adopt(task, &worker.name);
    }
    shard.submit(util::task(3, Kind::Batch, util::resources(1, 1)));

    shard.remove(&util::id(1, 0));
    let with_one_left = shard.decide(util::task(3, Kind::Batch, Resources::default()).accepted);
    shard.remove(&util::id(2, 0));
    let with_none_left = shard.decide(basilbridge_common::unit::Millis(1));

    assert_eq!(with_one_left, []);
    assert!(matches!(&with_none_left[..], [Action::Start { .. }]));
}

#[test]
fn a_million_waiting_tasks_make_no_decision_look_at_more() {
    let mut shard = Shard::default();
    for machine in 0..50 {
        shard.set_worker(util::worker(machine, util::resources(64, 128), 8));
    }
    for job in 0..1_000_000 {
        shard.submit(util::task(job, Kind::Batch, util::resources(8, 16)));
    }
    let started = shard.decide(basilbridge_common::unit::Millis(0)).len();
    let before = shard.nodes_examined();

    shard.remove(&util::id(0, 0));
    let after_one_end = shard.decide(basilbridge_common::unit::Millis(1)).len();

    assert_eq!((started, after_one_end), (400, 1));
    assert!(
        shard.nodes_examined() - before < 100,
        "{}",
        shard.nodes_examined() - before
    );
}
