//! Routers that share lagging summaries, beside the plain choice of the least loaded shard.

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
const ROOM: u64 = 64;

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

fn near() -> Name {
    "brno".into()
}

/// A shard that runs as much as it can and has a queue.
fn full() -> Summary {
    Summary {
        queued: 16,
        running: ROOM,
        free: cores(0),
    }
}

fn empty() -> Summary {
    Summary {
        queued: 0,
        running: 0,
        free: cores(ROOM),
    }
}

/// A router that knows one empty shard among full ones.
fn table(shards: &[Shard], routers: usize) -> Table {
    let mut table = Table::default();
    table.set_routers(routers);
    for (number, shard) in shards.iter().enumerate() {
        let summary = if number == 0 { empty() } else { full() };
        table.update(shard.clone(), summary, Millis(1000));
    }
    table
}

/// Returns how many tasks each shard gets when all routers send before any hears news.
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

fn two_choices(table: &mut Table, shards: &[Shard], random: &mut SmallRng) -> Shard {
    let chosen = table.choose(shards, &near(), &cores(1), Millis(1000), random);
    let chosen = chosen.unwrap().clone();
    table.record_sent(&chosen, &cores(1), 1);
    chosen
}

#[test]
fn routers_with_old_news_of_one_empty_shard_fill_it_without_a_herd() {
    let plain = burst(|_, shards, _| shards[0].clone());
    let routed = burst(two_choices);

    let first = shard("brno", 0);
    let even = ROUTERS * TASKS / SHARDS;
    assert_eq!(plain[&first], ROUTERS * TASKS);
    println!("plain {}, two choices {}", plain[&first], routed[&first]);
    assert!(routed[&first] >= ROOM as usize / 2, "{routed:?}");
    assert!(routed[&first] <= ROOM as usize + 2 * even, "{routed:?}");
    let most = routed.iter().filter(|(shard, _)| **shard != first);
    let most = most.map(|(_, count)| *count).max().unwrap();
    assert!(most <= 2 * even, "{routed:?}");
}

#[test]
fn a_near_shard_with_room_goes_before_a_far_one_and_a_full_one_does_not() {
    let mut all = shards("brno", 2);
    all.extend(shards("praha", 2));
    let mut table = Table::default();
    let mut random = SmallRng::seed_from_u64(1);
    for shard in &all {
        table.update(shard.clone(), empty(), Millis(1000));
    }

    let with_room = table.choose(&all, &near(), &cores(1), Millis(1000), &mut random);
    for shard in &all[..2] {
        table.update(shard.clone(), full(), Millis(1000));
    }
    let without = table.choose(&all, &near(), &cores(1), Millis(1000), &mut random);

    assert_eq!(with_room.unwrap().data_centre, near());
    assert_eq!(without.unwrap().data_centre, "praha".into());
}

#[test]
fn old_news_of_room_counts_less_than_fresh_news() {
    let all = shards("brno", 2);
    let mut table = Table::default();
    let old = Millis(1000);
    let now = old.after(HALF_LIFE * 10);
    table.update(all[0].clone(), empty(), old);
    table.update(all[1].clone(), empty(), now);
    let mut random = SmallRng::seed_from_u64(1);

    let chosen: Vec<_> = (0..100)
        .filter_map(|_| table.choose(&all, &near(), &cores(1), now, &mut random))
        .collect();

    let fresh = chosen.iter().filter(|chosen| ***chosen == all[1]).count();
    assert!(fresh >= 95, "{fresh}");
}

#[test]
fn shards_that_nothing_is_known_of_share_the_work() {
    let all = shards("brno", 4);
    let mut table = Table::default();
    let mut random = SmallRng::seed_from_u64(1);
    let mut counts = HashMap::<Shard, usize>::new();

    for second in 0..200 {
        let now = Millis(0).after(Duration::from_secs(second));
        let chosen = table.choose(&all, &near(), &cores(1), now, &mut random);
        let chosen = chosen.unwrap().clone();
        table.record_sent(&chosen, &cores(1), 1);
        *counts.entry(chosen).or_default() += 1;
    }

    assert!(
        counts.values().all(|count| (25..=100).contains(count)),
        "{counts:?}"
    );
}
