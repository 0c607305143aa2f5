//! What callers are answered, and what holds of it.

use http::{
    Method,
    StatusCode, //
};

use crate::{
    outside::{
        Access,
        World, //
    },
    vm::{
        call,
        call_path,
        start,
        state,
        submit,
        until, //
    },
};

#[tokio::test]
async fn a_job_is_accepted_once_and_shown_as_completed() {
    let world = World::new(&["w1", "w2"]);
    let vm = start(&world, "a").await;
    until("readiness", async || vm.node.is_ready()).await;

    let first = submit(&vm, "j1").await;
    until("the end", async || {
        state(&vm, "j1").await.contains("completed")
    })
    .await;
    let again = submit(&vm, "j1").await;

    assert_eq!((first, again), (StatusCode::OK, StatusCode::OK));
    assert_eq!(world.starts("j1"), 3);
}

#[tokio::test]
async fn a_job_that_nobody_sent_is_gone_and_an_unknown_queue_is_not_found() {
    let world = World::new(&["w1"]);
    let vm = start(&world, "a").await;
    until("readiness", async || vm.node.is_ready()).await;

    let gone = call(&vm, Method::GET, "j9", "").await.0;
    let cancelled = call(&vm, Method::DELETE, "j9", "").await.0;
    let unknown = call_path(&vm, Method::POST, "/other/j1", "1").await.0;

    assert_eq!(gone, StatusCode::GONE);
    assert_eq!(cancelled, StatusCode::GONE);
    assert_eq!(unknown, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_vm_that_the_store_turns_away_hands_requests_on() {
    let world = World::new(&["w1"]);
    let (cut, open) = (start(&world, "a").await, start(&world, "b").await);
    until("readiness", async || {
        cut.node.is_ready() && open.node.is_ready()
    })
    .await;
    until("the peer", async || cut.node.knows_peer("b")).await;

    world.set_access("a", Access::Refused);
    until("the loss", async || !cut.node.is_store_reachable()).await;
    let accepted = submit(&cut, "j1").await;

    assert_eq!(accepted, StatusCode::OK);
    until("the end", async || {
        state(&open, "j1").await.contains("completed")
    })
    .await;
}

#[tokio::test]
async fn nothing_is_refused_that_may_still_run() {
    let world = World::new(&["w1"]);
    let (cut, open) = (start(&world, "a").await, start(&world, "b").await);
    until("readiness", async || {
        cut.node.is_ready() && open.node.is_ready()
    })
    .await;
    until("the peer", async || cut.node.knows_peer("b")).await;
    // The key is withdrawn, and only the peer hears of it.
    world.set_access("a", Access::Deaf);
    world.write("operator", "configuration", "10");
    until("the news", async || open.node.configuration().version == 10).await;

    let refused = submit(&open, "j0").await;
    let unknown = submit(&cut, "j1").await;

    assert_eq!(refused, StatusCode::UNAUTHORIZED);
    assert_eq!(unknown, StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn a_request_without_a_store_is_refused_at_once_with_a_time_to_come_back() {
    let world = World::new(&["w1"]);
    let vm = start(&world, "a").await;
    until("readiness", async || vm.node.is_ready()).await;

    world.set_access("a", Access::Refused);
    let (status, text) = call(&vm, Method::POST, "j1", "1").await;

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(text.contains("retry_after_ms"), "{text}");
    assert_eq!(world.starts("j1"), 0);
}
