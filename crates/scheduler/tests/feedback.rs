//! Tests how a shard reacts to reported usage, failures and successes.

mod util;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use basilbridge_common::{
    job::Kind,
    unit::Millis, //
};
use basilbridge_scheduler::{
    attribution::Fault,
    shard::{
        Action,
        Shard, //
    },
    task::Task, //
};

const SLOTS: u32 = 4;

fn shard(workers: u32) -> Shard {
    let mut shard = Shard::default();
    for number in 0..workers {
        shard.set_worker(util::worker(number, util::resources(16, 16), SLOTS));
    }
    shard
}

fn family_task(job: u64, cores: u64) -> Task {
    Task {
        family: Some("scans".into()),
        ..util::task(job, Kind::Batch, util::resources(cores, 1))
    }
}

fn started_tasks(actions: &[Action]) -> Vec<(u64, String)> {
    let started = actions.iter().filter_map(|action| match action {
        Action::Start { task, worker } => Some((task.job.number, worker.name.to_string())),
        _ => None,
    });
    started.collect()
}

#[test]
fn a_worker_that_fails_every_task_gets_few_tasks_and_recovers_by_probes() {
    let mut shard = shard(2);
    for job in 0..2_000 {
        shard.submit(util::task(job, Kind::Batch, util::resources(1, 1)));
    }
    let mut failed_starts = 0;
    let mut starts_after_repair = 0;
    let mut now = Millis(0);
    for second in 0..200 {
        let is_broken = second < 100;
        for (job, worker) in started_tasks(&shard.decide(now)) {
            let id = util::id(job, 0);
            if worker != "worker-0" {
                shard.report_success(&id, now);
                shard.remove(&id);
            } else if is_broken {
                failed_starts += 1;
                shard.report_failure(&id, now);
                shard.requeue(&id);
            } else {
                starts_after_repair += 1;
                shard.report_success(&id, now);
                shard.remove(&id);
            }
        }
        now = now.after(Duration::from_secs(1));
    }

    // The slots that were filled before the first failure, and probes after 10, 20 and 40 s.
    assert!(failed_starts <= SLOTS + 4, "{failed_starts}");
    assert!(starts_after_repair > 50, "{starts_after_repair}");
}

#[test]
fn a_job_that_fails_on_several_workers_quarantines_none_of_them() {
    let mut shard = shard(3);
    let mut faults = BTreeMap::new();
    for index in 0..12 {
        let mut task = util::task(1, Kind::Batch, util::resources(1, 1));
        task.id.index = index;
        shard.submit(task);
    }
    let mut now = Millis(0);
    for _ in 0..3 {
        for (_, worker) in started_tasks(&shard.decide(now)) {
            let running = (0..12).map(|index| util::id(1, index));
            let on_worker = running.filter(|id| {
                let on = shard.worker_of(id);
                on.is_some_and(|on| *on.name == *worker)
            });
            let Some(id) = on_worker.max() else {
                continue;
            };
            let fault = shard.report_failure(&id, now);
            shard.remove(&id);
            *faults.entry(format!("{fault:?}")).or_insert(0) += 1;
        }
        now = now.after(Duration::from_secs(1));
    }

    for job in 10..22 {
        shard.submit(util::task(job, Kind::Batch, util::resources(1, 1)));
    }
    let max_tasks = shard.worker_loads().map(|load| load.max_tasks).sum::<u32>();

    assert!(faults[&format!("{:?}", Fault::Job)] >= 1, "{faults:?}");
    assert_eq!(max_tasks, 3 * SLOTS, "all workers are trusted");
}

#[test]
fn a_family_is_placed_by_the_larger_of_declared_and_estimated_size() {
    let mut shard = shard(1);
    shard.submit(family_task(1, 1));
    shard.decide(Millis(0));
    shard.report_usage(&util::id(1, 0), &util::resources(8, 1), Millis(1));

    shard.submit(family_task(2, 1));
    shard.submit(family_task(3, 1));
    let started = started_tasks(&shard.decide(Millis(2)));

    // Eight of the worker's sixteen cores are in use, so one more task of eight cores fits.
    assert_eq!(started.len(), 1);
    assert_eq!(shard.charge(&util::id(2, 0)), Some(util::resources(8, 1)));
}

#[test]
fn an_overcommitted_worker_checkpoints_and_stops_its_latest_task() {
    let mut shard = shard(1);
    let unrepeatable = Task {
        repeatable: false,
        ..util::task(1, Kind::Batch, util::resources(8, 1))
    };
    shard.submit(unrepeatable);
    shard.decide(Millis(0));
    shard.submit(family_task(2, 8));
    shard.decide(Millis(1));

    shard.report_usage(&util::id(1, 0), &util::resources(12, 1), Millis(2));
    let checkpoints = shard.decide(Millis(2));
    shard.record_checkpoint(&util::id(2, 0), Millis(3));
    let stops = shard.decide(Millis(3));

    assert!(matches!(&checkpoints[..], [Action::Checkpoint { task, .. }] if task.job.number == 2));
    assert!(matches!(&stops[..], [Action::Stop { task, .. }] if task.job.number == 2));
}
