//! Who owns the workers, and how the title changes hands.

use std::time::Duration;

use crate::{
    outside::{
        Access,
        World, //
    },
    vm::{
        start,
        start_with,
        state,
        submit,
        until,
        waiting, //
    },
};

fn holder(world: &World) -> Option<String> {
    let claim = world.value("title/0", "claim")?;
    let claim: serde_json::Value = serde_json::from_str(&claim).expect("a claim is JSON");
    let released = claim["released"].as_bool().unwrap_or(false);
    (!released).then(|| claim["holder"].as_str().unwrap_or_default().to_owned())
}

#[tokio::test]
async fn the_title_of_a_vm_that_leaves_goes_to_another() {
    let world = World::new(&["w1"]);
    let first = start(&world, "a").await;
    until("a claim", async || holder(&world).is_some()).await;
    let second = start(&world, "b").await;
    until("readiness", async || second.node.is_ready()).await;

    let answered = first.drain().await;

    assert!(answered);
    until("the change", async || {
        holder(&world).as_deref() == Some("b")
    })
    .await;
    submit(&second, "j1").await;
    until("the end", async || {
        state(&second, "j1").await.contains("completed")
    })
    .await;
}

#[tokio::test]
async fn an_owner_that_the_store_turns_away_hands_over_to_a_peer() {
    let world = World::new(&["w1"]);
    let first = start(&world, "a").await;
    until("a claim", async || holder(&world).is_some()).await;
    let second = start(&world, "b").await;
    until("the peer", async || {
        first.node.knows_peer("b") && second.node.is_ready()
    })
    .await;
    submit(&second, "j1").await;

    world.set_access("a", Access::Refused);

    until("the change", async || {
        holder(&world).as_deref() == Some("b")
    })
    .await;
    until("the end", async || {
        state(&second, "j1").await.contains("completed")
    })
    .await;
    assert_eq!(world.starts("j1"), 3);
}

/// While the part of the store that holds the title is away, no peer could claim it.
#[tokio::test]
async fn an_owner_goes_on_while_the_title_is_away_for_all_and_other_rows_are_not() {
    let world = World::new(&["w1"]);
    let (first, second) = (start(&world, "a").await, start(&world, "b").await);
    until("a claim", async || holder(&world).is_some()).await;
    until("the peers", async || {
        first.node.knows_peer("b") && second.node.knows_peer("a")
    })
    .await;
    let (before, epoch) = (holder(&world), world.value("title/0", "claim"));
    let owner = if before.as_deref() == Some("a") {
        &first
    } else {
        &second
    };

    for vm in ["a", "b"] {
        world.set_access(vm, Access::Without("title"));
    }
    let begun = tokio::time::Instant::now();
    until("three signs missed", async || {
        begun.elapsed().as_millis() > 1600
    })
    .await;
    submit(owner, "j1").await;

    until("the starts", async || world.starts("j1") == 3).await;
    assert_eq!(holder(&world), before);
    assert_eq!(world.value("title/0", "claim"), epoch);
}

#[tokio::test]
async fn an_owner_that_has_not_read_the_jobs_does_not_tell_that_none_waits() {
    let world = World::new(&[]);
    let first = start(&world, "a").await;
    until("readiness", async || first.node.is_ready()).await;
    submit(&first, "j1").await;
    until("the count", async || waiting(&first).await.contains('1')).await;
    assert!(first.drain().await);
    world.set_access("b", Access::Without("progress"));

    let second = start(&world, "b").await;
    until("the change", async || {
        holder(&world).as_deref() == Some("b")
    })
    .await;
    let begun = tokio::time::Instant::now();
    until("a sign", async || begun.elapsed().as_millis() > 700).await;

    let told = waiting(&second).await;
    assert!(!told.contains("\"waiting\":0"), "{told}");
}

#[tokio::test]
async fn a_small_owner_leaves_the_title_to_a_large_vm() {
    let world = World::new(&["w1"]);
    let small = start_with(&world, "a", |config| config.cpu_millis = 120).await;
    until("a claim", async || holder(&world).as_deref() == Some("a")).await;
    submit(&small, "j1").await;

    let large = start_with(&world, "b", |config| config.cpu_millis = 500).await;

    until("the change", async || {
        holder(&world).as_deref() == Some("b")
    })
    .await;
    until("the end", async || {
        state(&large, "j1").await.contains("completed")
    })
    .await;
    assert_eq!(world.starts("j1"), 3);
}

#[tokio::test]
async fn an_owner_goes_on_while_the_store_is_away_for_all() {
    let world = World::new(&["w1"]);
    let (first, second) = (start(&world, "a").await, start(&world, "b").await);
    until("a claim", async || holder(&world).is_some()).await;
    until("readiness", async || {
        first.node.is_ready() && second.node.is_ready()
    })
    .await;
    let before = holder(&world);
    submit(&first, "j1").await;

    for vm in ["a", "b"] {
        world.set_access(vm, Access::Refused);
    }
    until("the loss", async || !first.node.is_store_reachable()).await;
    until("the starts", async || world.starts("j1") == 3).await;
    for vm in ["a", "b"] {
        world.set_access(vm, Access::Open);
    }
    until("the end", async || {
        state(&first, "j1").await.contains("completed")
    })
    .await;

    assert_eq!(holder(&world), before);
    assert_eq!(world.starts("j1"), 3);
}

#[tokio::test]
async fn the_newest_of_several_configurations_that_a_feed_tells_is_in_force() {
    let world = World::new(&["w1"]);
    let vm = start(&world, "a").await;
    until("readiness", async || vm.node.is_ready()).await;
    world.set_access("a", Access::Refused);
    until("the loss", async || !vm.node.is_store_reachable()).await;

    for version in ["3", "4", "5"] {
        world.write("operator", "configuration", version);
    }
    world.set_access("a", Access::Open);

    until("the news", async || vm.node.configuration().version > 2).await;
    assert_eq!(vm.node.configuration().version, 5);
}

#[tokio::test]
async fn a_history_that_is_gone_starts_no_job_again() {
    let world = World::new(&["w1"]);
    let vm = start(&world, "a").await;
    until("readiness", async || vm.node.is_ready()).await;
    submit(&vm, "j1").await;
    until("the end", async || {
        state(&vm, "j1").await.contains("completed")
    })
    .await;

    world.compact();
    submit(&vm, "j2").await;
    until("the end", async || {
        state(&vm, "j2").await.contains("completed")
    })
    .await;

    assert_eq!(world.starts("j1"), 3);
    assert_eq!(world.starts("j2"), 3);
}

#[tokio::test]
async fn rows_of_a_job_are_removed_once_its_state_is_owed_no_more() {
    let world = World::new(&["w1"]);
    let vm = start_with(&world, "a", |config| config.retention = Duration::ZERO).await;
    until("readiness", async || vm.node.is_ready()).await;

    submit(&vm, "j1").await;
    until("the removal", async || {
        state(&vm, "j1").await.contains("gone")
    })
    .await;

    assert_eq!(world.rows_about("j1"), 0);
    assert_eq!(world.starts("j1"), 3);
}
