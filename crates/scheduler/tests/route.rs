//! Tests routing from summaries that are out of date, compared with choosing the least loaded
//! shard.

use std::{
    collections::HashMap,
    time::Duration, //
};

use basilbridge_common::{
    id::{
        Name,
        Shard, //
    },
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_scheduler::route::{
    HALF_LIFE,
    Summary,
    Table, //
};
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};

const ROUTERS: usize = 9;
const SHARDS: usize = 20;
const TASKS: usize = 50;
const CORES_PER_SHARD: u64 = 64;

const fn cores(count: u64) -> Resources {
    Resources {
        cpu_millis: count * 1000,
        memory_mib: count * 2048,
        accelerators: 0,
    }
}

fn shard(data_centre: &str, number: usize) -> Shard {
    Shard {
        data_centre: data_centre.into(),
        number: number as u32,
    }
}

fn shards(data_centre: &str, count: usize) -> Vec<Shard> {
    (0..count)
        .map(|number| shard(data_centre, number))
        .collect()
}

fn local() -> Name {
    "brno".into()
}

/// Returns the summary of a shard without free capacity that has a queue.
fn full_summary() -> Summary {
    Summary {
        queued: 16,
        running: CORES_PER_SHARD,
        free: cores(0),
    }
}

/// Returns the summary of a shard that runs nothing.
fn empty_summary() -> Summary {
    Summary {
        queued: 0,
        running: 0,
        free: cores(CORES_PER_SHARD),
    }
}

/// Returns the table of a router that knows one empty shard among full ones.
fn table(shards: &[Shard], routers: usize) -> Table {
    let mut table = Table::default();
    table.set_routers(routers);
    for (number, shard) in shards.iter().enumerate() {
        let summary = if number == 0 {
            empty_summary()
        } else {
            full_summary()
        };
        table.update(shard.clone(), summary, Millis(1000));
    }
    table
}

/// Returns how many tasks each shard gets if all routers send theirs before any receives a new
/// summary.
fn burst(choose: impl Fn(&mut Table, &[Shard], &mut SmallRng) -> Shard) -> HashMap<Shard, usize> {
    let shards = shards("brno", SHARDS);
    let mut counts = HashMap::new();
    for router in 0..ROUTERS {
        let mut table = table(&shards, ROUTERS);
        let mut random = SmallRng::seed_from_u64(router as u64);
        for _ in 0..TASKS {
            let chosen = choose(&mut table, &shards, &mut random);
            *counts.entry(chosen).or_default() += 1;
        }
    }
    counts
}

/// Chooses a shard with [`Table::choose`] and records the task as sent there.
fn two_choices(table: &mut Table, shards: &[Shard], random: &mut SmallRng) -> Shard {
    let chosen = table.choose(shards, &local(), &cores(1), Millis(1000), random);
    let chosen = chosen.unwrap().clone();
    table.record_sent(&chosen, &cores(1), 1);
    chosen
}

#[test]
fn routers_with_stale_summaries_of_one_empty_shard_fill_it_without_herding() {
    let least_loaded = burst(|_, shards, _| shards[0].clone());
    let routed = burst(two_choices);

    let first = shard("brno", 0);
    let even = ROUTERS * TASKS / SHARDS;
    assert_eq!(least_loaded[&first], ROUTERS * TASKS);
    println!(
        "least loaded {}, two choices {}",
        least_loaded[&first], routed[&first]
    );
    assert!(routed[&first] >= CORES_PER_SHARD as usize / 2, "{routed:?}");
    assert!(
        routed[&first] <= CORES_PER_SHARD as usize + 2 * even,
        "{routed:?}"
    );
    let other_counts = routed.iter().filter(|(shard, _)| **shard != first);
    let max_count = other_counts.map(|(_, count)| *count).max().unwrap();
    assert!(max_count <= 2 * even, "{routed:?}");
}

#[test]
fn a_local_shard_with_free_capacity_is_preferred_to_a_remote_one_and_a_full_one_is_not() {
    let mut all = shards("brno", 2);
    all.extend(shards("praha", 2));
    let mut table = Table::default();
    let mut random = SmallRng::seed_from_u64(1);
    for shard in &all {
        table.update(shard.clone(), empty_summary(), Millis(1000));
    }

    let while_free = table.choose(&all, &local(), &cores(1), Millis(1000), &mut random);
    for shard in &all[..2] {
        table.update(shard.clone(), full_summary(), Millis(1000));
    }
    let while_full = table.choose(&all, &local(), &cores(1), Millis(1000), &mut random);

    assert_eq!(while_free.unwrap().data_centre, local());
    assert_eq!(while_full.unwrap().data_centre, "praha".into());
}

#[test]
fn free_capacity_in_an_old_summary_counts_less_than_in_a_fresh_one() {
    let all = shards("brno", 2);
    let mut table = Table::default();
    let old = Millis(1000);
    let now = old.after(HALF_LIFE * 10);
    table.update(all[0].clone(), empty_summary(), old);
    table.update(all[1].clone(), empty_summary(), now);
    let mut random = SmallRng::seed_from_u64(1);

    let chosen: Vec<_> = (0..100)
        .filter_map(|_| table.choose(&all, &local(), &cores(1), now, &mut random))
        .collect();

    let fresh = chosen.iter().filter(|chosen| ***chosen == all[1]).count();
    assert!(fresh >= 95, "{fresh}");
}

#[test]
fn shards_without_a_summary_share_the_tasks() {
    let all = shards("brno", 4);
    let mut table = Table::default();
    let mut random = SmallRng::seed_from_u64(1);
    let mut counts = HashMap::<Shard, usize>::new();

    for second in 0..200 {
        let now = Millis(0).after(Duration::from_secs(second));
        let chosen = table.choose(&all, &local(), &cores(1), now, &mut random);
        let chosen = chosen.unwrap().clone();
        table.record_sent(&chosen, &cores(1), 1);
        *counts.entry(chosen).or_default() += 1;
    }

    assert!(
        counts.values().all(|count| (25..=100).contains(count)),
        "{counts:?}"
    );
}
