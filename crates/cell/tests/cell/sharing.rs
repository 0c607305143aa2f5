//! The stored past use of teams, and the log line about their shares.

use std::time::Duration;

use basilbridge_cell::sharing::summary;
use basilbridge_workflow::sharing::Report;
use serde_json::Value;

use crate::{
    fake_platform::FakePlatform,
    vm::{
        call,
        start,
        start_with,
        state,
        until, //
    },
};

/// The team of the fake platform's only key.
const TEAM: &str = "binders";

/// Returns the time and the core seconds of the team in the stored row.
fn stored_use(platform: &FakePlatform) -> Option<(u64, u64)> {
    let row = platform.value("title/0", "usage")?;
    let row: Value = serde_json::from_str(&row).expect("the row is JSON");
    Some((row["at"].as_u64()?, row["teams"][TEAM][0].as_u64()?))
}

/// Past use covers hours, and owners change more often than that.
#[tokio::test]
async fn a_new_owner_continues_with_the_stored_past_use() {
    let platform = FakePlatform::new(&["w1"]);
    let first = start(&platform, "a").await;
    until("readiness", async || first.node.is_ready()).await;
    // 100 tasks of one core run for 0.12 s each.
    call(&first, http::Method::POST, "j1", "100").await;
    until("the end of the job", async || {
        state(&first, "j1").await.contains("completed")
    })
    .await;
    until("a row of past use", async || {
        stored_use(&platform).is_some_and(|(_, used)| used >= 10)
    })
    .await;
    let (stored_at, stored) = stored_use(&platform).expect("it was just stored");
    assert!(first.drain().await);

    let second = start(&platform, "b").await;
    until("readiness", async || second.node.is_ready()).await;
    until("a row of the new owner", async || {
        stored_use(&platform).is_some_and(|(at, _)| at > stored_at)
    })
    .await;

    let (_, continued) = stored_use(&platform).expect("it was just stored");
    assert!(continued.abs_diff(stored) <= 1, "{stored} {continued}");
}

#[tokio::test]
async fn no_past_use_is_stored_with_a_half_life_of_zero() {
    let platform = FakePlatform::new(&["w1"]);
    let vm = start_with(&platform, "a", |config| {
        config.usage_half_life = Duration::ZERO;
    })
    .await;
    until("readiness", async || vm.node.is_ready()).await;
    call(&vm, http::Method::POST, "j1", "100").await;

    until("the tenth heartbeat", async || {
        let heartbeat = platform.value("title/0", "pulse");
        let heartbeat: Option<Value> = heartbeat.and_then(|text| serde_json::from_str(&text).ok());
        heartbeat.is_some_and(|heartbeat| heartbeat["beat"].as_u64() > Some(10))
    })
    .await;

    assert_eq!(platform.value("title/0", "usage"), None);
}

/// With hundreds of teams over their share, the one that matters most must not be cut off.
#[test]
fn the_log_line_names_the_ten_teams_with_the_highest_ratios() {
    let ratios = (0..12_u32).map(|number| (number, 1.0 + f64::from(number) / 4.0));
    let report = Report {
        over_share: ratios
            .map(|(number, ratio)| (("pool".into(), format!("t{number}").into()), ratio))
            .collect(),
        past_use: [("t1".into(), 2.5)].into(),
    };

    let (over_share, past_use) = summary(&report);

    assert!(
        over_share.starts_with("pool/t11=3.75 pool/t10=3.50 "),
        "{over_share}"
    );
    assert!(over_share.ends_with(" pool/t2=1.50"), "{over_share}");
    assert_eq!(past_use, "t1=2.50");
}
