//! Tests of the placement index against a linear scan, and of the cost of a search.

mod util;

use basilbridge_common::{
    job::Kind,
    unit::Resources, //
};
use basilbridge_scheduler::{
    placement::{
        Index,
        Query,
        SearchResult,
        Strategy, //
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
const STRATEGIES: [Strategy; 3] = [Strategy::FirstFit, Strategy::BestFit, Strategy::WorstFit];

fn number(g: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(g) % limit
}

/// Returns an index of workers with random usage.
fn fleet(count: u32, g: &mut Gen) -> Index {
    let mut index = Index::default();
    for worker_number in 0..count {
        let key = index.upsert(util::worker(worker_number, util::resources(64, 128), 8));
        let used = util::resources(number(g, 65), number(g, 129));
        index.assign(key, task::Key::default(), &used);
    }
    index
}

/// Returns an index of workers with either processors or memory left, never both. Every subtree of
/// two or more workers seems to have both, so none can be ruled out.
fn alternating_fleet(count: u32) -> Index {
    let mut index = Index::default();
    for worker_number in 0..count {
        let key = index.upsert(util::worker(worker_number, util::resources(64, 128), 8));
        let used = match worker_number % 2 {
            0 => util::resources(64, 0),
            _ => util::resources(0, 128),
        };
        index.assign(key, task::Key::default(), &used);
    }
    index
}

fn query(need: Resources, strategy: Strategy) -> Query<'static> {
    Query {
        need,
        strategy,
        excluded_racks: &[],
        exclude_probation: false,
    }
}

#[test]
fn a_search_agrees_with_a_linear_scan_unless_its_budget_runs_out() {
    for seed in util::seeds(FIXED_SEEDS) {
        let mut g = Gen::from_size_and_seed(64, seed);
        let count = 1 + number(&mut g, 200) as u32;
        let mut index = fleet(count, &mut g);
        for strategy in STRATEGIES {
            let need = util::resources(1 + number(&mut g, 64), 1 + number(&mut g, 128));

            let result = index.search(&query(need, strategy));

            let fits = index
                .iter()
                .any(|(_, load)| need.fits(&load.free_capacity()));
            match result {
                SearchResult::Worker(key) => {
                    let load = index.get(key).expect("the worker is known");
                    assert!(need.fits(&load.free_capacity()), "seed {seed}");
                }
                SearchResult::NoFit => assert!(!fits, "seed {seed}"),
                SearchResult::BudgetExhausted => {}
            }
        }
    }
}

#[test]
fn repeated_searches_find_the_only_worker_that_fits_in_both_dimensions() {
    let mut index = alternating_fleet(3_000);
    let only_fit = index.upsert(util::worker(3_000, util::resources(64, 128), 8));
    let need = util::resources(1, 1);

    let hit = (0..4_096).position(|_| {
        let result = index.search(&query(need, Strategy::FirstFit));
        result == SearchResult::Worker(only_fit)
    });

    assert!(hit.is_some(), "no search reached the only worker that fits");
}

#[test]
fn a_search_examines_at_most_logarithmically_many_nodes() {
    let mut budgets = Vec::new();
    for count in [50, 400, 3_000] {
        let mut g = Gen::from_size_and_seed(64, u64::from(count));
        let mut index = alternating_fleet(count);
        let mut max_visited = 0;
        for _ in 0..2_000 {
            let need = util::resources(1 + number(&mut g, 16), 1 + number(&mut g, 32));
            let before = index.nodes_examined();
            index.search(&query(need, Strategy::FirstFit));
            max_visited = max_visited.max(index.nodes_examined() - before);
        }
        assert!(max_visited <= index.search_budget());
        budgets.push(index.search_budget());
    }
    // The logarithm of 3,000 is a little over twice that of 50.
    assert!(budgets[2] <= 2 * budgets[0] + budgets[0] / 4, "{budgets:?}");
}

#[test]
fn a_worker_adopted_over_its_capacity_gets_no_task_until_one_fits() {
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
    for worker_number in 0..50 {
        shard.set_worker(util::worker(worker_number, util::resources(64, 128), 8));
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
