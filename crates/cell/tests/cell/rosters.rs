//! The names of more workers than a row takes.

use basilbridge_cell::config::NodeConfig;

use crate::{
    fake_platform::FakePlatform,
    vm::{
        call,
        start_with,
        state,
        until, //
    },
};

use http::{
    Method,
    StatusCode, //
};

/// The size of a row in base64, which takes the names of some 100 workers.
const ROW_BYTES: usize = 4096;
const WORKERS: usize = 300;

fn small_rows(config: &mut NodeConfig) {
    config.row_bytes = ROW_BYTES;
}

/// A platform with workers whose names look random, and more of them than a row takes.
fn platform() -> FakePlatform {
    let names: Vec<String> = (1..=WORKERS as u64)
        .map(|number| format!("w-{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let platform = FakePlatform::new(&names);
    platform.set_row_bytes(ROW_BYTES);
    platform
}

/// The store refused the row of all names again and again, and no task started on any worker.
#[tokio::test]
async fn work_starts_and_survives_the_owner_where_the_names_of_workers_exceed_a_row() {
    let platform = platform();
    let first = start_with(&platform, "a", small_rows).await;
    until("the acceptance of a job", async || {
        call(&first, Method::POST, "j1", "300").await.0 == StatusCode::OK
    })
    .await;
    until("its end", async || {
        state(&first, "j1").await.contains("completed")
    })
    .await;
    let rows = platform.rows_in("roster/0");

    drop(first);
    let second = start_with(&platform, "b", small_rows).await;

    until("the acceptance of a job", async || {
        call(&second, Method::POST, "j2", "300").await.0 == StatusCode::OK
    })
    .await;
    until("its end", async || {
        state(&second, "j2").await.contains("completed")
    })
    .await;
    assert!(rows > 1, "{rows}");
    assert_eq!(platform.refused_sizes(), 0);
    assert_eq!((platform.starts("j1"), platform.starts("j2")), (300, 300));
}
