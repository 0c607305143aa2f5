//! The time of single decisions.
//!
//! Run by `cargo bench -p basilbridge-scheduler --bench decision`.

#[path = "../tests/util/mod.rs"]
mod util;

use std::hint::black_box;

use basilbridge_common::{
    job::Kind,
    unit::Millis, //
};
use basilbridge_scheduler::shard::Shard;
use criterion::{
    BatchSize,
    Criterion,
    criterion_group,
    criterion_main, //
};

/// Returns a shard whose slots are all taken and where as many tasks again wait, of six teams.
fn full(workers: u32) -> Shard {
    let mut shard = Shard::default();
    for number in 0..workers {
        shard.set_worker(util::worker(number, util::resources(64, 128), 8));
    }
    for job in 0..u64::from(workers) * 16 {
        let mut task = util::task(job, Kind::Batch, util::resources(8, 16));
        task.team = format!("team-{}", job % 6).into();
        shard.submit(task);
    }
    shard.decide(Millis(0));
    shard
}

/// One task ends and another takes its place.
fn turnover(criterion: &mut Criterion) {
    for workers in [50, 400, 3_000] {
        let mut shard = full(workers);
        let running = u64::from(workers) * 8;
        let mut ended = 0;
        let mut next = running * 2;
        criterion.bench_function(&format!("turnover/{workers} workers"), |bencher| {
            bencher.iter(|| {
                let mut task = util::task(next, Kind::Batch, util::resources(8, 16));
                task.team = format!("team-{}", next % 6).into();
                shard.submit(task);
                next += 1;
                // Jobs start about in order, so the oldest that is still there runs.
                while shard.worker_of(&util::id(ended, 0)).is_none() && ended < next {
                    ended += 1;
                }
                shard.remove(&util::id(ended, 0));
                black_box(shard.decide(Millis(1)));
            });
        });
    }
}

/// An empty shard is filled in one decision.
fn fill(criterion: &mut Criterion) {
    for workers in [50, 3_000] {
        criterion.bench_function(&format!("fill/{workers} workers"), |bencher| {
            let prepare = || {
                let mut shard = Shard::default();
                for number in 0..workers {
                    shard.set_worker(util::worker(number, util::resources(64, 128), 8));
                }
                for job in 0..u64::from(workers) * 8 {
                    shard.submit(util::task(job, Kind::Batch, util::resources(8, 16)));
                }
                shard
            };
            let decide = |mut shard: Shard| {
                black_box(shard.decide(Millis(0)));
                shard
            };
            bencher.iter_batched(prepare, decide, BatchSize::LargeInput);
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10);
    targets = turnover, fill
}
criterion_main!(benches);
