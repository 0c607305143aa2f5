//! Keys and the audit trail at the operators' port.

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
    error::Kind as ErrorKind,
    id::Version,
    job::{
        Kind,
        Request, //
    },
    unit::Resources,
};
use basilbridge_operators::{
    audit,
    change::{
        Edit,
        Holder,
        Operation, //
    },
    key::{
        self,
        Hash, //
    },
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

fn check() -> Request {
    Request {
        queue: "checks".into(),
        kind: Kind::Interactive,
        resources: Resources {
            cpu_millis: 1000,
            memory_mib: 256,
            accelerators: 0,
        },
        count: 1,
        repeatable: true,
        idempotency_key: None,
        family: None,
        run_time: None,
        deadline: None,
        payload: "glue".to_owned(),
    }
}

fn operator(vm: &Embedded, key: &str) -> Client {
    Client::new(vm.running.operators.address, Some(key.to_owned()))
}

fn team(vm: &Embedded, key: &str) -> Client {
    Client::new(vm.running.callers.address, Some(key.to_owned()))
}

fn edit(id: &str, operation: Operation) -> Edit {
    Edit {
        id: id.into(),
        operator: "what a client says of itself".to_owned(),
        intent: "test".to_owned(),
        base: None,
        operations: vec![operation],
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_works_from_when_it_is_given_until_it_is_withdrawn() {
    let vm = one_vm().await;
    let operator = operator(&vm, OPERATOR_KEY);
    let key = key::generate().unwrap();
    let holder = Holder::Team("workshop".into());
    let check = check();
    let submit = async || team(&vm, &key).submit(&check, PATIENCE).await;

    let before = submit().await.unwrap_err();
    let give = edit("give", Operation::GiveKey(holder.clone(), Hash::of(&key)));
    let given = operator.edit(&give, PATIENCE).await.unwrap();
    let during = submit().await;
    let withdraw = edit("withdraw", Operation::WithdrawKey(holder, Hash::of(&key)));
    let withdrawn = operator.edit(&withdraw, PATIENCE).await.unwrap();
    let after = submit().await.unwrap_err();

    assert_eq!(before.kind, ErrorKind::Unauthorized);
    assert!(given.in_force && withdrawn.in_force);
    assert!(during.is_ok(), "{during:?}");
    assert_eq!(after.kind, ErrorKind::Unauthorized);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_teams_key_is_no_operators_key() {
    let vm = one_vm().await;
    let team = operator(&vm, embedded::TEAM_KEY);
    let give = edit("give", Operation::GiveKey(Holder::Operator, Hash::of("k")));

    let edited = team.edit(&give, PATIENCE).await.unwrap_err();
    let read = team.audit(Version(0)).await.unwrap_err();

    assert_eq!(edited.kind, ErrorKind::Unauthorized);
    assert_eq!(read.kind, ErrorKind::Unauthorized);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_trail_tells_who_made_a_change_by_the_key_that_came_with_it() {
    let vm = one_vm().await;
    let operator = operator(&vm, OPERATOR_KEY);
    let give = edit("give", Operation::GiveKey(Holder::Operator, Hash::of("k")));
    operator.edit(&give, PATIENCE).await.unwrap();

    let page = operator.audit(Version(0)).await.unwrap();

    assert_eq!(audit::verify(&page.entries, &page.head), Ok(()));
    let last = page.entries.last().unwrap();
    assert_eq!(last.operator, Hash::of(OPERATOR_KEY).fingerprint());
    assert_eq!(&*last.id, "give");
    assert_eq!(last.changes.len(), 1);
}

#[test]
fn keys_differ_and_are_long() {
    let keys: Vec<_> = (0..100).map(|_| key::generate().unwrap()).collect();

    let mut distinct = keys.clone();
    distinct.sort();
    distinct.dedup();

    assert_eq!(distinct.len(), keys.len());
    assert!(keys.iter().all(|key| key.len() == 64));
}
