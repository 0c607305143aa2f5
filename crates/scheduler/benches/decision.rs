//! Measures the time of single decisions.
//!
//! Run by `cargo bench -p basilbridge-scheduler --bench decision`.

#[path = "../tests/util/mod.rs"]
mod util;

use std::{
    collections::VecDeque,
    hint::black_box, //
};

use basilbridge_common::{
    id,
    job::Kind,
    unit::Millis, //
};
use basilbridge_scheduler::shard::{
    Action,
    Shard, //
};
use criterion::{
    BatchSize,
    Criterion,
    criterion_group,
    criterion_main, //
};

fn submit(shard: &mut Shard, job: u64) {
    let mut task = util::task(job, Kind::Batch, util::resources(8, 16));
    task.team = format!("team-{}", job % 6).into();
    shard.submit(task);
}

/// Returns the tasks that a decision starts.
fn started(actions: Vec<Action>) -> impl Iterator<Item = id::Task> {
    actions.into_iter().filter_map(|action| match action {
        Action::Start { task, .. } => Some(task),
        _ => None,
    })
}

/// Measures a decision in which one task ends and another starts, while all slots are taken and as
/// many tasks of six teams wait.
fn turnover(criterion: &mut Criterion) {
    for workers in [50, 400, 3_000] {
        let mut shard = Shard::default();
        for number in 0..workers {
            shard.set_worker(util::worker(number, util::resources(64, 128), 8));
        }
        let mut next_job = u64::from(workers) * 16;
        (0..next_job).for_each(|job| submit(&mut shard, job));
        let mut running: VecDeque<_> = started(shard.decide(Millis(0))).collect();
        criterion.bench_function(&format!("turnover/{workers} workers"), |bencher| {
            bencher.iter(|| {
                submit(&mut shard, next_job);
                next_job += 1;
                let ended = running
                    .pop_front()
                    .expect("a task starts for each one that ends");
                shard.remove(&ended);
                running.extend(started(shard.decide(Millis(1))));
            });
        });
        assert_eq!(shard.running(), running.len(), "the shard stays full");
    }
}

/// Measures a decision that fills an empty shard.
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
