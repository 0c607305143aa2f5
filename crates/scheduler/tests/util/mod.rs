//! Fixtures shared by the tests and benchmarks.

#![allow(
    dead_code,
    reason = "each test program uses its own part of the fixtures"
)]

use basilbridge_common::{
    id::{
        self,
        Epoch, //
    },
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
    worker::Worker,
};
use basilbridge_scheduler::task::Task;

/// The number of workers in a rack.
pub(crate) const WORKERS_PER_RACK: u32 = 8;

/// Returns resources without accelerators.
pub(crate) fn resources(cores: u64, memory_gib: u64) -> Resources {
    Resources {
        cpu_millis: cores * 1000,
        memory_mib: memory_gib * 1024,
        accelerators: 0,
    }
}

/// Returns the worker with this number.
pub(crate) fn worker(number: u32, capacity: Resources, slots: u32) -> Worker {
    Worker {
        name: format!("worker-{number}").into(),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: "prague".into(),
        rack: number / WORKERS_PER_RACK,
        capacity,
        slots,
        leaving: false,
    }
}

/// Returns the id of a task in the job with this number.
pub(crate) fn id(job: u64, index: u32) -> id::Task {
    id::Task {
        job: id::Job {
            shard: id::Shard {
                data_centre: "prague".into(),
                number: 0,
            },
            epoch: Epoch(1),
            number: job,
        },
        index,
    }
}

/// Returns the only task of a job: repeatable, without a deadline, owned by team `first`.
pub(crate) fn task(job: u64, kind: Kind, need: Resources) -> Task {
    Task {
        id: id(job, 0),
        team: "first".into(),
        kind,
        resources: need,
        repeatable: true,
        family: None,
        run_time: None,
        accepted: Millis(0),
        deadline: None,
        preemptions: 0,
    }
}

/// Returns the seeds to run: `0..fixed`, or as many as the environment variable `BASILBRIDGE_SEEDS`
/// says.
pub(crate) fn seeds(fixed: u64) -> std::ops::Range<u64> {
    let seeds = std::env::var("BASILBRIDGE_SEEDS").ok();
    0..seeds.and_then(|text| text.parse().ok()).unwrap_or(fixed)
}
