//! Jobs of many tasks are judged by the owner, wherever they are submitted.

use std::time::Duration;

use http::{
    Method,
    StatusCode, //
};

use crate::{
    fake_platform::FakePlatform,
    vm::{
        call,
        start_with,
        submit,
        until, //
    },
};

/// The body of a job that is large, and the memory of VMs of which three such jobs take an eighth.
const LARGE: &str = "1000";
const MEMORY_BYTES: u64 = 8_000_000;

#[tokio::test]
async fn each_vm_accepts_large_jobs_as_far_as_the_memory_of_the_owner_goes() {
    let platform = FakePlatform::new(&["w1", "w2"]);
    platform.set_run_time(Duration::from_secs(3600));
    let small = |config: &mut basilbridge_cell::config::NodeConfig| {
        config.memory_bytes = MEMORY_BYTES;
    };
    let first = start_with(&platform, "a", small).await;
    let second = start_with(&platform, "b", small).await;
    until(
        "an owner that has read the jobs, known to both",
        async || {
            let accepted = call(&first, Method::POST, "j1", LARGE).await.0;
            let known = call(&second, Method::POST, "j1", LARGE).await.0;
            (accepted, known) == (StatusCode::OK, StatusCode::OK)
        },
    )
    .await;

    let mut statuses = Vec::new();
    for (vm, id) in [
        (&first, "j2"),
        (&second, "j3"),
        (&first, "j4"),
        (&second, "j5"),
    ] {
        statuses.push(call(vm, Method::POST, id, LARGE).await.0);
    }
    let ordinary = submit(&second, "j6").await;

    let refused = StatusCode::TOO_MANY_REQUESTS;
    assert_eq!(statuses, [StatusCode::OK, StatusCode::OK, refused, refused]);
    assert_eq!(ordinary, StatusCode::OK);
}
