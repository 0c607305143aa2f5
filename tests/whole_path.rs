//! A request's way from the caller's port to a worker and back.

mod util;

use basilbridge::config::NodeConfig;
use basilbridge_common::{
    error::Kind as ErrorKind,
    job::{
        Kind,
        State, //
    },
};
use util::{
    TIMEOUT,
    request,
    start_further_vm,
    start_vm,
    team_client,
    wait_until_ready, //
};

#[tokio::test(flavor = "multi_thread")]
async fn a_check_is_answered_on_the_same_request() {
    let vm = start_vm().await;
    wait_until_ready(&vm.running).await;
    let client = team_client(vm.running.callers.address);

    let status = client
        .submit(&request("checks", Kind::Interactive, "glue"), TIMEOUT)
        .await
        .unwrap();

    assert_eq!(status.state, State::Succeeded);
    assert_eq!(status.outputs[0].text, "glue");
    assert_eq!(vm.fleet.violations(), Default::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_job_is_accepted_and_can_be_waited_for() {
    let vm = start_vm().await;
    wait_until_ready(&vm.running).await;
    let client = team_client(vm.running.callers.address);
    let mut job = request("plans", Kind::Batch, r#"{"run_ms":5,"output":"bound"}"#);
    job.count = 3;

    let accepted = client.submit(&job, TIMEOUT).await.unwrap();
    let ended = client.wait(&accepted.id, TIMEOUT).await.unwrap();

    assert_eq!(ended.state, State::Succeeded);
    assert_eq!(ended.outputs.len(), 3);
    assert!(ended.outputs.iter().all(|output| output.text == "bound"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_to_a_vm_that_does_not_own_the_shard_is_answered_too() {
    let first = start_vm().await;
    wait_until_ready(&first.running).await;
    let second = start_further_vm(
        &first.store,
        first.fleet.client(),
        NodeConfig::local("entry-1", "local"),
    )
    .await;
    wait_until_ready(&second).await;
    assert!(second.node.owners().is_empty());
    let client = team_client(second.callers.address);

    let status = client
        .submit(&request("checks", Kind::Interactive, "spine"), TIMEOUT)
        .await
        .unwrap();

    assert_eq!(status.outputs[0].text, "spine");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_key_is_refused_and_nothing_runs() {
    let vm = start_vm().await;
    wait_until_ready(&vm.running).await;
    let address = vm.running.callers.address;
    let client = basilbridge::client::Client::new(address, Some("wrong".to_owned()));

    let error = client
        .submit(&request("checks", Kind::Interactive, "glue"), TIMEOUT)
        .await
        .unwrap_err();

    assert_eq!(error.kind, ErrorKind::Unauthorized);
    assert_eq!(vm.fleet.counts().starts, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_task_larger_than_any_worker_is_refused_with_the_reason() {
    let vm = start_vm().await;
    wait_until_ready(&vm.running).await;
    let client = team_client(vm.running.callers.address);
    let mut job = request("checks", Kind::Batch, "glue");
    job.resources.cpu_millis = 1_000_000;

    let error = client.submit(&job, TIMEOUT).await.unwrap_err();

    assert_eq!(error.kind, ErrorKind::Impossible);
}
