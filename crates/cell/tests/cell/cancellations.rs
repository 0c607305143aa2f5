//! Cancellations of jobs that are not stored yet. See `docs/design/cancellations.md`.

use std::time::Duration;

use basilbridge_cell::node::RunningNode;
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
        start,
        start_with,
        state,
        submit,
        submit_within,
        until, //
    },
};

/// The deadline of a submission that gets no answer.
const CALLER_WAIT: Duration = Duration::from_millis(300);

/// Cancels a job.
async fn cancel(vm: &RunningNode, id: &str) -> StatusCode {
    call(vm, Method::DELETE, id, "").await.0
}

/// Runs another job to its end, so that the owner has seen what was stored before.
async fn run_another(vm: &RunningNode, id: &str) {
    submit(vm, id).await;
    until("the end of another job", async || {
        state(vm, id).await.contains("completed")
    })
    .await;
}

/// A job ran after its cancellation was acknowledged (UNASKED): its submission got no answer and
/// was carried out by the store after that.
#[tokio::test]
async fn a_job_that_is_stored_after_its_cancellation_does_not_run() {
    let platform = FakePlatform::new(&["w1"]);
    let vm = start(&platform, "a").await;
    until("readiness", async || vm.node.is_ready()).await;
    platform.set_store_mode("a", StoreMode::LateWrites("jobs"));
    let submitted = submit_within(&vm, "j1", CALLER_WAIT).await;
    platform.set_store_mode("a", StoreMode::Normal);

    // The VM uses no part of the store for a moment from which it got no answer.
    until("the answer to the cancellation", async || {
        cancel(&vm, "j1").await == StatusCode::GONE
    })
    .await;
    let late = platform.carry_out_late();
    run_another(&vm, "j2").await;

    assert_eq!(submitted, StatusCode::BAD_GATEWAY);
    assert!(late > 0);
    assert_eq!(platform.starts("j1"), 0);
    assert_eq!(call(&vm, Method::GET, "j1", "").await.0, StatusCode::GONE);
}

/// A job ran after its cancellation was acknowledged (UNASKED): a request with its name arrived
/// again later, at another VM or after a change of the owner.
#[tokio::test]
async fn a_job_that_is_submitted_again_after_its_cancellation_is_shown_as_cancelled() {
    let platform = FakePlatform::new(&["w1"]);
    let first = start(&platform, "a").await;
    until("readiness", async || first.node.is_ready()).await;
    run_another(&first, "j0").await;
    let other = start(&platform, "b").await;
    until("the entry of the peer", async || {
        other.node.is_ready() && first.node.knows_peer("b")
    })
    .await;

    let cancelled = [cancel(&first, "j1").await, cancel(&other, "j1").await];
    let submitted = [submit(&other, "j1").await, submit(&first, "j1").await];
    let again = cancel(&first, "j1").await;
    run_another(&other, "j2").await;
    first.drain().await;
    run_another(&other, "j3").await;

    assert_eq!(cancelled, [StatusCode::GONE; 2]);
    assert_eq!(submitted, [StatusCode::OK; 2]);
    assert_eq!(again, StatusCode::OK);
    assert!(state(&other, "j1").await.contains("cancelled"));
    assert_eq!(platform.starts("j1"), 0);
}

#[tokio::test]
async fn what_the_cancellation_of_an_unknown_job_leaves_is_removed_after_the_retention_time() {
    let platform = FakePlatform::new(&["w1"]);
    let vm = start_with(&platform, "a", |config| config.retention = Duration::ZERO).await;
    until("readiness", async || vm.node.is_ready()).await;

    let cancelled = cancel(&vm, "j1").await;
    until("the removal of the rows", async || {
        platform.rows_about("j1") == 0
    })
    .await;
    let submitted = submit(&vm, "j1").await;
    until("the end of the job", async || platform.starts("j1") == 3).await;

    assert_eq!(cancelled, StatusCode::GONE);
    assert_eq!(submitted, StatusCode::OK);
}
