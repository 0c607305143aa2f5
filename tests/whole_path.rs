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
    PATIENCE,
    caller,
    further_vm,
    one_vm,
    ready,
    request, //
};

#[tokio::test(flavor = "multi_thread")]
async fn a_check_is_answered_on_the_same_request() {
    let vm = one_vm().await;
    ready(&vm.running).await;
    let client = caller(vm.running.callers.address);

    let status = client
        .submit(&request("checks", Kind::Interactive, "glue"), PATIENCE)
        .await
        .unwrap();

    assert_eq!(status.state, State::Succeeded);
    assert_eq!(status.outputs[0].text, "glue");
    assert_eq!(vm.fleet.violations(), Default::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_job_is_accepted_and_can_be_waited_for() {
    let vm = one_vm().await;
    ready(&vm.running).await;
    let client = caller(vm.running.callers.address);
    let mut job = request("plans", Kind::Batch, r#"{"run_ms":5,"output":"bound"}"#);
    job.count = 3;

    let accepted = client.submit(&job, PATIENCE).await.unwrap();
    let ended = client.wait(&accepted.id, PATIENCE).await.unwrap();

    assert_eq!(ended.state, State::Succeeded);
    assert_eq!(ended.outputs.len(), 3);
    assert!(ended.outputs.iter().all(|output| output.text == "bound"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_to_a_vm_that_does_not_own_the_shard_is_answered_too() {
    let first = one_vm().await;
    ready(&first.running).await;
    let second = further_vm(
        &first.store,
        first.fleet.client(),
        NodeConfig::local("entry-1", "local"),
    )
    .await;
    ready(&second).await;
    assert!(second.node.owners().is_empty());
    let client = caller(second.callers.address);

    let status = client
        .submit(&request("checks", Kind::Interactive, "spine"), PATIENCE)
        .await
        .unwrap();

    assert_eq!(status.outputs[0].text, "spine");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_key_is_refused_and_nothing_runs() {
    let vm = one_vm().await;
    ready(&vm.running).await;
    let address = vm.running.callers.address;
    let client = basilbridge::client::Client::new(address, Some("wrong".to_owned()));

    let error = client
        .submit(&request("checks", Kind::Interactive, "glue"), PATIENCE)
        .await
        .unwrap_err();

    assert_eq!(error.kind, ErrorKind::Unauthorized);
    assert_eq!(vm.fleet.counts().starts, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_task_larger_than_any_worker_is_refused_with_the_reason() {
    let vm = one_vm().await;
    ready(&vm.running).await;
    let client = caller(vm.running.callers.address);
    let mut job = request("checks", Kind::Batch, "glue");
    job.resources.cpu_millis = 1_000_000;

    let error = client.submit(&job, PATIENCE).await.unwrap_err();

    assert_eq!(error.kind, ErrorKind::Impossible);
}
