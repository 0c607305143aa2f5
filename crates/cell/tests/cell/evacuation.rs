//! Evacuation of data centres by rows of the configuration table. The data centre of the worker
//! `north/w1` is `north`.

use std::time::Duration;

use crate::{
    fake_platform::{
        FakePlatform,
        StoreMode, //
    },
    vm::{
        start,
        state,
        submit,
        until, //
    },
};

const ROW: &str = "closed/north";

fn is_owner(platform: &FakePlatform, vm: &str) -> bool {
    let claim = platform.value("title/0", "claim").unwrap_or_default();
    claim.contains(&format!("\"holder\":\"{vm}\"")) && !claim.contains("\"released\":true")
}

async fn pass(time: Duration) {
    let begun = tokio::time::Instant::now();
    until("the time to pass", async || begun.elapsed() >= time).await;
}

#[tokio::test]
async fn nothing_starts_in_an_evacuated_data_centre_until_its_row_is_removed() {
    let platform = FakePlatform::new(&["north/w1"]);
    let vm = start(&platform, "a").await;
    until("a claim", async || is_owner(&platform, "a")).await;
    submit(&vm, "j1").await;
    until("the end of the first job", async || {
        state(&vm, "j1").await.contains("completed")
    })
    .await;

    platform.write("operator", ROW, "{}");
    pass(Duration::from_millis(100)).await;
    submit(&vm, "j2").await;
    pass(Duration::from_millis(500)).await;
    let while_evacuated = platform.starts("j2");
    platform.remove("operator", ROW);

    until("the end of the second job", async || {
        state(&vm, "j2").await.contains("completed")
    })
    .await;
    assert_eq!(while_evacuated, 0);
}

/// Guards the complete read: a removal is not in a feed that has lost its history.
#[tokio::test]
async fn an_evacuation_that_is_revoked_while_the_store_is_away_is_over_afterwards() {
    let platform = FakePlatform::new(&["north/w1"]);
    let vm = start(&platform, "a").await;
    until("a claim", async || is_owner(&platform, "a")).await;
    platform.write("operator", ROW, "{}");
    submit(&vm, "j1").await;
    pass(Duration::from_millis(100)).await;

    platform.set_store_mode("a", StoreMode::Unavailable);
    platform.remove("operator", ROW);
    platform.compact();
    platform.set_store_mode("a", StoreMode::Normal);

    until("the end of the job", async || {
        state(&vm, "j1").await.contains("completed")
    })
    .await;
}

/// Guards `evacuation::refresh` at a takeover: the new owner holds a set from before the request.
#[tokio::test]
async fn a_new_owner_reads_the_evacuations_before_it_starts_a_task() {
    let platform = FakePlatform::new(&["north/w1"]);
    let first = start(&platform, "a").await;
    until("a claim", async || is_owner(&platform, "a")).await;
    let second = start(&platform, "b").await;
    until("readiness", async || {
        second.node.is_ready() && first.node.knows_peer("b")
    })
    .await;
    platform.set_store_mode("b", StoreMode::TableUnavailable("operator"));
    platform.write("operator", ROW, "{}");
    pass(Duration::from_millis(100)).await;
    submit(&first, "j1").await;

    let drained = tokio::spawn(first.drain());
    until("the change of ownership", async || is_owner(&platform, "b")).await;
    pass(Duration::from_millis(800)).await;
    platform.set_store_mode("b", StoreMode::Normal);
    pass(Duration::from_millis(500)).await;
    let while_evacuated = platform.starts_on("north/w1");
    platform.remove("operator", ROW);

    until("the end of the job", async || {
        state(&second, "j1").await.contains("completed")
    })
    .await;
    assert!(drained.await.expect("the drain does not panic"));
    assert_eq!(while_evacuated, 0);
}

/// Guards `evacuation::refresh` after a stall: an owner that was suspended during the request holds
/// a set from before. Blocking the only thread of the runtime stalls the VM as a suspension does.
#[tokio::test]
async fn an_owner_that_was_stalled_reads_the_evacuations_before_it_starts_a_task() {
    let platform = FakePlatform::new(&["north/w1"]);
    platform.write("workers", "north/w1", "leaving");
    let vm = start(&platform, "a").await;
    until("a claim", async || is_owner(&platform, "a")).await;
    submit(&vm, "j1").await;
    pass(Duration::from_millis(300)).await;
    platform.set_store_mode("a", StoreMode::TableUnavailable("operator"));
    platform.write("operator", ROW, "{}");
    platform.write("workers", "north/w1", "ready");

    std::thread::sleep(Duration::from_millis(900));
    pass(Duration::from_millis(800)).await;
    platform.set_store_mode("a", StoreMode::Normal);
    pass(Duration::from_millis(500)).await;
    let while_evacuated = platform.starts_on("north/w1");
    platform.remove("operator", ROW);

    until("the end of the job", async || {
        state(&vm, "j1").await.contains("completed")
    })
    .await;
    assert_eq!(while_evacuated, 0);
}
