//! Refusals of jobs while there is a shortage.

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
        until,
        waiting, //
    },
};

/// Tasks of a job that take all of a worker, which takes 0.12 s for them.
const TASKS: &str = "64";

/// Jobs beyond what a team with a weight of 10 may have saved up.
const MANY: usize = 400;

/// Submits jobs until one is refused. Returns its name and the answer.
async fn submit_until_refused(vm: &RunningNode, prefix: &str) -> (String, String) {
    for number in 0..MANY {
        let id = format!("{prefix}{number}x");
        let (status, text) = call(vm, Method::POST, &id, TASKS).await;
        if status == StatusCode::TOO_MANY_REQUESTS {
            return (id, text);
        }
        assert_eq!(status, StatusCode::OK, "{text}");
    }
    panic!("none of {MANY} jobs was refused");
}

fn heartbeat(platform: &FakePlatform) -> String {
    platform.value("title/0", "pulse").unwrap_or_default()
}

async fn until_jobs_are_read(platform: &FakePlatform) {
    until(
        "a heartbeat of an owner that has read the jobs",
        async || heartbeat(platform).contains("unstarted\":{"),
    )
    .await;
}

/// Returns how many jobs a VM has refused for a shortage.
fn refusals(vm: &RunningNode) -> u64 {
    let text = vm.node.metrics.text();
    let counts = text.lines().filter_map(|line| {
        let (name, value) = line.split_once(' ')?;
        name.starts_with("basilbridge_jobs_refused_")
            .then(|| value.parse::<u64>().expect("it is a number"))
    });
    counts.sum()
}

#[tokio::test]
async fn a_job_beyond_the_rate_of_its_team_is_refused_and_not_stored_while_others_wait() {
    let platform = FakePlatform::new(&["w1"]);
    let vm = start(&platform, "a").await;
    until_jobs_are_read(&platform).await;
    let before = heartbeat(&platform);

    let (id, text) = submit_until_refused(&vm, "j").await;
    let repeated = call(&vm, Method::POST, "j0x", TASKS).await.0;

    assert!(!before.contains("outlook"), "{before}");
    assert!(text.contains("overloaded"), "{text}");
    assert!(text.contains("retry_after_ms"), "{text}");
    assert_eq!(platform.rows_about(&id), 0);
    // Guards against a refusal of a job that runs.
    assert_eq!(repeated, StatusCode::OK);
    assert_eq!(refusals(&vm), 1);
}

#[tokio::test]
async fn all_vms_refuse_by_the_outlook_of_the_owner() {
    let platform = FakePlatform::new(&["w1"]);
    let (first, second) = (start(&platform, "a").await, start(&platform, "b").await);
    until_jobs_are_read(&platform).await;
    until("readiness", async || {
        first.node.is_ready() && second.node.is_ready()
    })
    .await;

    submit_until_refused(&first, "j").await;
    submit_until_refused(&second, "k").await;

    assert_eq!(refusals(&first), 1);
    assert_eq!(refusals(&second), 1);
}

/// Guards against a caller that is refused, or counted, by two VMs for one request.
#[tokio::test]
async fn a_forwarded_request_is_judged_by_the_vm_that_answers_it() {
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

    let mut sent = 0;
    until("a refusal by the other VM", async || {
        sent += 1;
        let status = call(&cut_off, Method::POST, &format!("j{sent}x"), TASKS)
            .await
            .0;
        status == StatusCode::TOO_MANY_REQUESTS
    })
    .await;

    assert_eq!(refusals(&cut_off), 0);
    assert_eq!(refusals(&connected), 1);
}

/// Guards against a VM that does not see the heartbeats of an owner of an earlier version, and
/// claims the ownership.
#[tokio::test]
async fn a_heartbeat_without_an_outlook_is_understood() {
    let platform = FakePlatform::new(&[]);
    let claim = r#"{"holder":"z","nonce":1,"epoch":0}"#;
    platform.write("title/0", "claim", claim);
    let vm = start(&platform, "a").await;

    let mut beat = 0;
    until("the count of the heartbeat", async || {
        beat += 1;
        let heartbeat = format!(r#"{{"beat":{beat},"unstarted":{{"checks":7}}}}"#);
        platform.write("title/0", "pulse", &heartbeat);
        vm.node.is_ready() && waiting(&vm).await.contains('7')
    })
    .await;

    assert_eq!(platform.value("title/0", "claim").as_deref(), Some(claim));
}

/// Guards against a refusal of a job that may be stored.
#[tokio::test]
async fn a_job_that_can_not_be_looked_up_is_not_refused_for_a_shortage() {
    let platform = FakePlatform::new(&["w1"]);
    let vm = start(&platform, "a").await;
    until_jobs_are_read(&platform).await;
    submit_until_refused(&vm, "j").await;

    platform.set_store_mode("a", StoreMode::TableUnavailable("jobs/"));
    let status = call(&vm, Method::POST, "k1", TASKS).await.0;

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(platform.rows_about("k1"), 0);
}

/// Callers that return four times after one second are gone before an outage of 4.2 s is over.
#[tokio::test]
async fn the_retry_time_grows_while_the_store_is_unavailable() {
    let platform = FakePlatform::new(&["w1"]);
    let vm = start(&platform, "a").await;
    until_jobs_are_read(&platform).await;

    platform.set_store_mode("a", StoreMode::Unavailable);
    let first = call(&vm, Method::POST, "j1", "1").await.1;

    assert!(first.contains("\"retry_after_ms\":1000"), "{first}");
    until("the longest retry time", async || {
        let later = call(&vm, Method::POST, "j1", "1").await.1;
        later.contains("\"retry_after_ms\":3000")
    })
    .await;
}
