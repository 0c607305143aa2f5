//! Answers to callers' requests.

use std::time::Duration;

use http::{
    Method,
    StatusCode, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

use crate::{
    fake_platform::{
        FakePlatform,
        HOST,
        PREFIX,
        StoreMode, //
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
    let platform = FakePlatform::new(&["w1", "w2"]);
    let vm = start(&platform, "a").await;
    until("readiness", async || vm.node.is_ready()).await;

    let first = submit(&vm, "j1").await;
    until("the end of the job", async || {
        state(&vm, "j1").await.contains("completed")
    })
    .await;
    let again = submit(&vm, "j1").await;

    assert_eq!((first, again), (StatusCode::OK, StatusCode::OK));
    assert_eq!(platform.starts("j1"), 3);
}

#[tokio::test]
async fn an_unknown_job_is_gone_and_an_unknown_queue_is_not_found() {
    let platform = FakePlatform::new(&["w1"]);
    let vm = start(&platform, "a").await;
    until("readiness", async || vm.node.is_ready()).await;

    let gone = call(&vm, Method::GET, "j9", "").await.0;
    let cancelled = call(&vm, Method::DELETE, "j9", "").await.0;
    let unknown = call_path(&vm, Method::POST, "/other/j1", "1").await.0;

    assert_eq!(gone, StatusCode::GONE);
    assert_eq!(cancelled, StatusCode::GONE);
    assert_eq!(unknown, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_vm_without_access_to_the_store_forwards_requests() {
    let platform = FakePlatform::new(&["w1"]);
    let (cut_off, connected) = (start(&platform, "a").await, start(&platform, "b").await);
    until("readiness", async || {
        cut_off.node.is_ready() && connected.node.is_ready()
    })
    .await;
    until("the entry of the peer", async || {
        cut_off.node.knows_peer("b")
    })
    .await;

    platform.set_store_mode("a", StoreMode::Unavailable);
    until("the loss of the store", async || {
        !cut_off.node.is_store_reachable()
    })
    .await;
    let accepted = submit(&cut_off, "j1").await;

    assert_eq!(accepted, StatusCode::OK);
    until("the end of the job", async || {
        state(&connected, "j1").await.contains("completed")
    })
    .await;
}

#[tokio::test]
async fn a_request_with_unknown_outcome_is_not_reported_as_refused() {
    let platform = FakePlatform::new(&["w1"]);
    let connected = start(&platform, "b").await;
    until("readiness", async || connected.node.is_ready()).await;
    // The owner reads the configuration's table again after a stall, so the other VM must not be it.
    submit(&connected, "j0").await;
    until("the end of the first job", async || {
        state(&connected, "j0").await.contains("completed")
    })
    .await;
    let cut_off = start(&platform, "a").await;
    until("readiness", async || {
        cut_off.node.is_ready() && connected.node.is_ready()
    })
    .await;
    until("the entry of the peer", async || {
        cut_off.node.knows_peer("b")
    })
    .await;
    // The key is withdrawn, and only the peer receives the new configuration.
    platform.set_store_mode("a", StoreMode::DroppedResponses);
    platform.write("operator", "configuration", "10");
    until("the new configuration", async || {
        connected.node.configuration().version == 10
    })
    .await;

    let refused = submit(&connected, "j2").await;
    let unknown = submit(&cut_off, "j1").await;

    assert_eq!(refused, StatusCode::UNAUTHORIZED);
    assert_eq!(unknown, StatusCode::BAD_GATEWAY);
}

/// A VM that judged by its old configuration again after its peers had answered for it would undo a
/// change that callers have seen. Found on the standard day scale-2 of the grown Spine & Leaf site.
#[tokio::test]
async fn a_vm_whose_peers_have_answered_reads_its_configuration_before_it_answers_itself() {
    let platform = FakePlatform::new(&["w1"]);
    let (cut_off, connected) = (start(&platform, "a").await, start(&platform, "b").await);
    until("the entry of the peer", async || {
        cut_off.node.is_ready() && connected.node.is_ready() && cut_off.node.knows_peer("b")
    })
    .await;
    platform.set_store_mode("a", StoreMode::Unavailable);
    until("the loss of the store", async || {
        !cut_off.node.is_store_reachable()
    })
    .await;
    // The key is withdrawn.
    platform.write("operator", "configuration", "10");
    until("the new configuration", async || {
        connected.node.configuration().version == 10
    })
    .await;
    let forwarded = submit(&cut_off, "j1").await;

    platform.set_store_mode("a", StoreMode::TableUnavailable("operator"));
    until("the return of the store", async || {
        cut_off.node.is_store_reachable()
    })
    .await;
    let answered = submit(&cut_off, "j2").await;

    assert_eq!(forwarded, StatusCode::UNAUTHORIZED);
    assert_eq!(answered, StatusCode::UNAUTHORIZED);
}

/// A VM that read its configuration again after each request that a peer had answered was late with
/// the next ones, which went to peers as well: with thousands of routes small VMs stayed slow for
/// ten seconds.
#[tokio::test]
async fn a_vm_whose_peers_judge_by_the_same_configuration_does_not_read_it_again() {
    let platform = FakePlatform::new(&["w1"]);
    let (cut_off, connected) = (start(&platform, "a").await, start(&platform, "b").await);
    until("the entry of the peer", async || {
        cut_off.node.is_ready() && connected.node.is_ready() && cut_off.node.knows_peer("b")
    })
    .await;
    // A new owner reads the table once.
    let first = submit(&connected, "j0").await;
    until("the end of the first job", async || {
        state(&connected, "j0").await.contains("completed")
    })
    .await;
    platform.set_store_mode("a", StoreMode::TableUnavailable("jobs"));
    let before = platform.reads("operator");

    let mut accepted = Vec::new();
    for job in ["j1", "j2", "j3", "j4"] {
        accepted.push(submit(&cut_off, job).await);
    }

    assert_eq!(first, StatusCode::OK);
    assert_eq!(accepted, vec![StatusCode::OK; 4]);
    assert_eq!(platform.reads("operator"), before);
}

/// Each request that a peer answered made a VM that had just started begin the read of its
/// configuration anew, so a VM with a small link did not get one for eight seconds.
#[tokio::test]
async fn requests_that_peers_answer_do_not_interrupt_the_first_read_of_the_configuration() {
    let platform = FakePlatform::new(&["w1"]);
    let connected = start(&platform, "b").await;
    until("readiness", async || connected.node.is_ready()).await;
    platform.delay_reads("operator", Duration::from_millis(300));
    let started = start(&platform, "a").await;
    until("the entry of the peer", async || {
        started.node.knows_peer("b")
    })
    .await;

    let mut number = 0;
    until("the configuration", async || {
        number += 1;
        submit(&started, &format!("j{number}")).await;
        started.node.configuration().version > 0
    })
    .await;

    // The other VM reads the table too, once it is the owner.
    assert_eq!(platform.reads_by("a", "operator"), 1);
}

#[tokio::test]
async fn a_request_without_a_store_is_refused_at_once_with_a_retry_time() {
    let platform = FakePlatform::new(&["w1"]);
    let vm = start(&platform, "a").await;
    until("readiness", async || vm.node.is_ready()).await;

    platform.set_store_mode("a", StoreMode::Unavailable);
    let (status, text) = call(&vm, Method::POST, "j1", "1").await;

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(text.contains("retry_after_ms"), "{text}");
    assert_eq!(platform.starts("j1"), 0);
}

#[tokio::test]
async fn a_job_that_no_owner_could_hold_is_refused_and_not_stored() {
    let platform = FakePlatform::new(&["w1"]);
    let vm = start(&platform, "a").await;
    until("readiness", async || vm.node.is_ready()).await;

    let refused = call(&vm, Method::POST, "j1", "4000000000").await.0;

    assert_eq!(refused, StatusCode::BAD_REQUEST);
    assert_eq!(platform.rows_about("j1"), 0);
}

#[tokio::test]
async fn the_body_of_a_request_with_an_unknown_key_is_not_waited_for() {
    let platform = FakePlatform::new(&["w1"]);
    let vm = start(&platform, "a").await;
    until("readiness", async || vm.node.is_ready()).await;
    let mut stream = TcpStream::connect(vm.callers_address()).await.unwrap();
    let head = format!(
        "POST {PREFIX}j1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer unknown\r\n\
         content-length: 200000\r\n\r\n"
    );

    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();

    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
}
