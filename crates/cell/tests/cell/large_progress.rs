//! Progress that outgrows a row of the store is stored all the same, before ends are acknowledged.

use std::time::Duration;

use basilbridge_cell::{
    config::NodeConfig,
    node::RunningNode, //
};
use http::{
    Method,
    StatusCode, //
};

use crate::{
    fake_platform::{
        FakePlatform,
        StoreMode, //
    },
    vm::{
        call,
        start_with,
        state,
        until, //
    },
};

/// The end of the last tasks, after the takeover.
const LONG: Duration = Duration::from_secs(9);
const SHORT: Duration = Duration::from_millis(1500);

/// A platform whose workers run `tasks` at a time and whose rows are small. Each tenth task ends soon, all
/// others save checkpoints of `characters`.
fn platform(tasks: usize, row_bytes: usize, characters: usize) -> FakePlatform {
    let names: Vec<String> = (0..tasks.div_ceil(64))
        .map(|number| format!("w{number}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let platform = FakePlatform::new(&names);
    platform.set_row_bytes(row_bytes);
    platform.set_run_time(LONG);
    platform.set_tenth_run_time(SHORT);
    platform.save_checkpoints(characters);
    platform
}

async fn start(platform: &FakePlatform, name: &str) -> RunningNode {
    let row_bytes = platform.row_bytes();
    start_with(platform, name, |config| config.row_bytes = row_bytes).await
}

async fn accept(vm: &RunningNode, id: &str, tasks: usize) {
    until("the acceptance of the job", async || {
        call(vm, Method::POST, id, &tasks.to_string()).await.0 == StatusCode::OK
    })
    .await;
}

async fn until_completed(vm: &RunningNode, id: &str) {
    until("the end of the job", async || {
        state(vm, id).await.contains("completed")
    })
    .await;
}

/// Waits until each tenth task has ended and all these ends are acknowledged.
async fn until_acknowledged(platform: &FakePlatform, id: &str, tasks: usize) {
    until("the starts", async || platform.starts(id) == tasks).await;
    until("the ends", async || platform.ends() == tasks as u64 / 10).await;
    until("the acknowledgement of the ends", async || {
        platform.listed_ends() == 0
    })
    .await;
}

/// Ends were acknowledged that no row held, and their tasks ran again under the next owner: the record
/// did not fit into a row, was left out of its transaction and counted as stored.
#[tokio::test]
async fn tasks_whose_ends_are_acknowledged_do_not_run_again_under_the_next_owner() {
    const TASKS: usize = 400;
    let platform = platform(TASKS, 4096, 16);
    let first = start(&platform, "a").await;
    accept(&first, "j1", TASKS).await;
    until_acknowledged(&platform, "j1", TASKS).await;

    drop(first);
    let second = start(&platform, "b").await;

    until_completed(&second, "j1").await;
    assert_eq!(platform.starts("j1"), TASKS);
    assert_eq!(platform.refused_sizes(), 0);
    until("the removal of the segments", async || {
        platform.rows_in("segments/0") == 0
    })
    .await;
}

/// A version of the progress that takes several calls is read as a whole or not at all, also if the
/// store carries out some of the calls late.
#[tokio::test]
async fn progress_of_several_calls_survives_calls_that_are_carried_out_late() {
    const TASKS: usize = 3200;
    let platform = platform(TASKS, 12_288, 256);
    let first = start(&platform, "a").await;
    accept(&first, "j1", TASKS).await;
    until("the starts", async || platform.starts("j1") == TASKS).await;
    platform.set_store_mode("a", StoreMode::LateWrites("segments"));
    // A version of a single call writes the head, too.
    until("calls about segments alone", async || {
        platform.late_writes_to("segments/0") > 2
    })
    .await;
    platform.set_store_mode("a", StoreMode::Normal);
    platform.carry_out_late();

    until_acknowledged(&platform, "j1", TASKS).await;
    platform.carry_out_late();
    drop(first);
    let second = start(&platform, "b").await;

    until_completed(&second, "j1").await;
    assert_eq!(platform.starts("j1"), TASKS);
    assert_eq!(platform.refused_sizes(), 0);
}

/// Jobs that each fit into a row were sent as one call of more than the store takes, again and again,
/// so that none of them was stored and no end was acknowledged.
#[tokio::test]
async fn jobs_that_fit_into_rows_but_not_into_one_call_are_stored() {
    const JOBS: usize = 45;
    const TASKS: usize = 90;
    let platform = platform(JOBS * TASKS, NodeConfig::DEFAULT_ROW_BYTES, 256);
    let vm = start(&platform, "a").await;
    for number in 0..JOBS {
        accept(&vm, &format!("j{number}"), TASKS).await;
    }

    platform.set_store_mode("a", StoreMode::TableUnavailable("progress"));
    until("the ends of a tenth of the tasks", async || {
        platform.ends() == (JOBS * TASKS) as u64 / 10
    })
    .await;

    platform.set_store_mode("a", StoreMode::Normal);

    until("the acknowledgement of the ends", async || {
        platform.listed_ends() == 0
    })
    .await;
    assert_eq!(platform.refused_sizes(), 0);
}
