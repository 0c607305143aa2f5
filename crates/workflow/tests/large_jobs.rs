//! Jobs of thousands of tasks, many at once: the owner accepts what its memory holds.

use std::time::Duration;

use basilbridge_common::unit::Resources;
use basilbridge_workflow::{
    admission::large::{
        admits,
        footprint,
        is_large, //
    },
    budget::Budget,
    job::{
        Spec,
        Step, //
    },
};

/// The memory of the smallest VM of the users' deployments.
const MEMORY_BYTES: u64 = 160_000_000;

fn spec(steps: usize, count: u32) -> Spec {
    let step = Step {
        count,
        resources: Resources::default(),
        estimate: Duration::ZERO,
        after: Vec::new(),
        checkpoints: false,
        gang: false,
        same_rack: false,
        long_running: false,
        best_effort: false,
        label: None,
        data_rack: None,
        max_per_worker: None,
        latency_target: None,
        max_unavailable: None,
    };
    Spec {
        payload: "10".into(),
        steps: vec![step; steps],
        schedule: None,
    }
}

/// Offers jobs to an owner that finishes none of them. Returns the memory that it then needs.
fn offer(jobs: impl Iterator<Item = Spec>) -> u64 {
    jobs.fold(0, |held, job| {
        let needed = footprint(&job);
        match admits(needed, held, MEMORY_BYTES) {
            true => held + needed,
            false => held,
        }
    })
}

#[test]
fn three_hundred_jobs_of_thousands_of_steps_leave_memory_for_others() {
    let many_steps = offer((0..300).map(|_| spec(13_000, 1)));
    let many_tasks = offer((0..300).map(|_| spec(1, 20_000)));

    assert!(many_steps <= MEMORY_BYTES / 8, "{many_steps}");
    assert!(many_tasks <= MEMORY_BYTES / 8, "{many_tasks}");
}

#[test]
fn a_large_job_is_accepted_if_it_is_alone() {
    let largest = footprint(&spec(1, 100_000));

    assert!(largest > MEMORY_BYTES / 8);
    assert!(admits(largest, 0, MEMORY_BYTES));
}

#[test]
fn ordinary_jobs_are_not_large() {
    assert!(!is_large(footprint(&spec(8, 20))));
}

#[test]
fn long_names_and_many_dependencies_count() {
    let mut named = spec(10, 1);
    named.steps[0].data_rack = Some("r".repeat(200_000).into());
    let mut dependent = spec(2, 1);
    dependent.steps[1].after = vec![0; 100_000];

    assert!(is_large(footprint(&named)));
    assert!(is_large(footprint(&dependent)));
}

#[test]
fn a_small_owner_sends_some_hundred_starts_at_once() {
    const START_BYTES: usize = 450;
    let quarter_of_a_core = Budget {
        link_bytes_per_second: 125_000_000,
        cpu_millis: 250,
    };

    let starts = quarter_of_a_core.start_window() / START_BYTES;

    assert!((200..1000).contains(&starts), "{starts}");
}
