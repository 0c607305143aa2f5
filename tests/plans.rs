//! Plans at the operators' port: shown first, confirmed exactly, applied once.

use std::time::Duration;

use basilbridge::{
    client::Client,
    config::NodeConfig,
    embedded::{
        self,
        Embedded,
        OPERATOR_KEY, //
    },
    log,
    metrics::Metrics,
};
use basilbridge_common::{
    error::Kind,
    id::Version, //
};
use basilbridge_operators::{
    intent::{
        Format,
        Intent, //
    },
    plan::Request,
};

const PATIENCE: Duration = Duration::from_secs(20);

async fn one_vm() -> Embedded {
    let config = NodeConfig::local("entry-0", "local");
    let vm = embedded::start(config, 16, log::silent(), Metrics::none())
        .await
        .unwrap();
    let ready = vm.running.node.until_ready();
    let timer = &vm.running.node.timer;
    assert!(timer.timeout(PATIENCE, ready).await.is_some());
    vm
}

fn operator(vm: &Embedded) -> Client {
    Client::new(vm.running.operators.address, Some(OPERATOR_KEY.to_owned()))
}

/// An intent with the team of the first try, at a share, and its queues.
fn intent(share: u32) -> Request {
    let text = format!(
        "[[team]]\nname = \"workshop\"\nshare = {share}\n\
         [[queue]]\nname = \"checks\"\n[[queue]]\nname = \"plans\"\n"
    );
    Request {
        name: "intent.toml".to_owned(),
        intent: Intent::parse("intent.toml", &text, Format::Toml).unwrap(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_changes_nothing_and_its_confirmation_gives_what_it_showed() {
    let vm = one_vm().await;
    let client = operator(&vm);
    let before = client.configuration().await.unwrap();

    let plan = client.plan(&intent(5)).await.unwrap();
    let again = client.plan(&intent(5)).await.unwrap();
    let planned = client.configuration().await.unwrap();
    let accepted = client.confirm(&plan.edit.id, PATIENCE).await.unwrap();

    assert_eq!(plan, again);
    assert_eq!(planned, before);
    let keys: Vec<_> = plan
        .changes
        .iter()
        .map(|change| change.key.as_str())
        .collect();
    assert_eq!(keys, ["queue/collections", "team/workshop"]);
    assert!(accepted.in_force);
    let after = client.configuration().await.unwrap();
    assert_eq!(after, {
        let mut expected = intent(5).intent.applied_to(&before);
        expected.version = accepted.version;
        expected
    });
    assert!(client.plan(&intent(5)).await.unwrap().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_that_is_confirmed_twice_takes_effect_once() {
    let vm = one_vm().await;
    let client = operator(&vm);
    let start = client.plan(&intent(1)).await.unwrap();
    client.confirm(&start.edit.id, PATIENCE).await.unwrap();
    let plan = client.plan(&intent(5)).await.unwrap();
    let first = client.confirm(&plan.edit.id, PATIENCE).await.unwrap();
    let back = client.plan(&intent(1)).await.unwrap();
    client.confirm(&back.edit.id, PATIENCE).await.unwrap();

    let again = client.confirm(&plan.edit.id, PATIENCE).await.unwrap();
    let anew = client.plan(&intent(5)).await.unwrap();

    assert_eq!(again.version, first.version);
    let configuration = client.configuration().await.unwrap();
    assert_eq!(configuration.team("workshop").unwrap().share, 1);
    assert_eq!(anew.changes, plan.changes);
    assert_ne!(anew.edit.id, plan.edit.id);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_plans_from_one_state_the_second_conflicts_and_shows_what_is_there_now() {
    let vm = one_vm().await;
    let client = operator(&vm);
    let first = client.plan(&intent(5)).await.unwrap();
    let second = client.plan(&intent(7)).await.unwrap();
    client.confirm(&first.edit.id, PATIENCE).await.unwrap();

    let conflict = client.confirm(&second.edit.id, PATIENCE).await.unwrap_err();

    assert_eq!(conflict.kind, Kind::Conflict);
    let now = "team/workshop: expected {\"share\":1}, but there is now {\"share\":5}";
    assert!(conflict.message.contains(now), "{}", conflict.message);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_trail_names_the_plan_its_intent_and_its_operator() {
    let vm = one_vm().await;
    let client = operator(&vm);
    let plan = client.plan(&intent(5)).await.unwrap();
    client.confirm(&plan.edit.id, PATIENCE).await.unwrap();

    let page = client.audit(Version(1)).await.unwrap();

    let entry = &page.entries[0];
    assert_eq!(entry.id, plan.edit.id);
    assert_eq!(entry.intent, "intent.toml");
    assert_eq!(entry.changes, plan.changes);
    assert_eq!(entry.operator.len(), 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_that_nobody_made_is_not_found() {
    let vm = one_vm().await;
    let client = operator(&vm);

    for id in ["0123456789abcdef", "nothing", ".."] {
        let error = client.confirm(id, PATIENCE).await.unwrap_err();

        assert_eq!(error.kind, Kind::NotFound, "{id}");
    }
}
