//! An evacuation at the operators' port: planned, confirmed, shown and ended, while work goes on.

use std::time::Duration;

use basilbridge::{
    client::Client,
    commit,
    config::NodeConfig,
    embedded::{
        self,
        OPERATOR_KEY,
        TEAM_KEY, //
    },
    log,
    metrics::Metrics,
    node::{
        Node,
        RunningNode, //
    },
};
use basilbridge_common::{
    error,
    id::Version,
    job::{
        Kind,
        Request,
        State, //
    },
    timer,
    unit::Resources,
};
use basilbridge_operators::{
    data_centre::DataCentre,
    intent::{
        Format,
        Intent, //
    },
    plan,
};
use basilbridge_platform::vm::Vm;
use basilbridge_standins::{
    store::Store,
    worker::Fleet, //
};

const TIMEOUT: Duration = Duration::from_secs(20);
const WORKERS: u32 = 8;

/// An entry VM with the workers of two data centres, `north` (its own) and `south`.
struct System {
    vm: RunningNode,
    operator: Client,
    team: Client,
}

async fn start() -> System {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    let mut workers = embedded::stand_in_workers(&"north".into(), WORKERS);
    workers.extend(embedded::stand_in_workers(&"south".into(), WORKERS));
    store.set_vms(workers.iter().cloned().map(Vm::Worker).collect());
    let fleet = Fleet::new(timer.clone(), workers);
    let first = embedded::initial_configuration();
    commit::replace(store.platform(), timer.clone(), &first)
        .await
        .unwrap();
    let node = Node::new(
        NodeConfig::local("entry-0", "north"),
        timer,
        store.platform(),
        fleet.client(),
        log::silent(),
        Metrics::none(),
    );
    let vm = node.start().await.unwrap();
    let ready = async {
        while vm.node.owners().iter().filter(|o| o.is_recovered()).count() < 2 {
            vm.node.timer.sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(vm.node.timer.timeout(TIMEOUT, ready).await.is_some());
    System {
        operator: Client::new(vm.operators.address, Some(OPERATOR_KEY.to_owned())),
        team: Client::new(vm.callers.address, Some(TEAM_KEY.to_owned())),
        vm,
    }
}

/// Returns a request for a plan that evacuates these data centres and changes nothing else.
fn request(file: &str, evacuate: &[&str]) -> plan::Request {
    let text = format!(
        "evacuate = {evacuate:?}\n[[team]]\nname = \"workshop\"\nshare = 1\n\
         [[queue]]\nname = \"checks\"\n[[queue]]\nname = \"plans\"\n\
         [[queue]]\nname = \"collections\"\n"
    );
    plan::Request {
        name: file.to_owned(),
        intent: Intent::parse(file, &text, Format::Toml).unwrap(),
    }
}

fn job(kind: Kind, payload: &str) -> Request {
    Request {
        queue: "plans".into(),
        kind,
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
        payload: payload.to_owned(),
    }
}

impl System {
    async fn set_evacuated(&self, evacuate: &[&str]) {
        let plan = self.operator.plan(&request("i.toml", evacuate)).await;
        let id = plan.unwrap().edit.id;
        let accepted = self.operator.confirm(&id, TIMEOUT).await.unwrap();
        assert!(accepted.in_force);
    }

    async fn data_centre(&self, name: &str) -> DataCentre {
        let all = self.operator.data_centres().await.unwrap();
        all.into_iter().find(|found| *found.name == *name).unwrap()
    }

    /// Waits until this number of tasks run in a data centre.
    async fn wait_for_tasks(&self, name: &str, running: u64) {
        let reached = async {
            while self.data_centre(name).await.running != running {
                self.vm.node.timer.sleep(Duration::from_millis(20)).await;
            }
        };
        assert!(self.vm.node.timer.timeout(TIMEOUT, reached).await.is_some());
    }
}

/// Guards against a plan that hides what an evacuation leaves behind, and against new work that is
/// sent to the evacuated data centre although another one has room for it.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_is_planned_confirmed_and_shown_while_new_work_goes_elsewhere() {
    let system = start().await;
    // Without it, routing draws a shard, because no summary has come yet.
    system.set_evacuated(&["south"]).await;
    let long = r#"{"run_ms":600000}"#;
    for _ in 0..3 {
        let status = system.team.submit(&job(Kind::Batch, long), TIMEOUT).await;
        assert_eq!(&*status.unwrap().id.shard.data_centre, "north");
    }
    system.wait_for_tasks("north", 3).await;
    system.set_evacuated(&[]).await;

    let plan = system.operator.plan(&request("i.toml", &["north"])).await;
    let plan = plan.unwrap();
    let accepted = system.operator.confirm(&plan.edit.id, TIMEOUT).await;

    let expected = |evacuated| DataCentre {
        name: "north".into(),
        evacuated,
        workers: u64::from(WORKERS),
        running: 3,
        queued: 0,
    };
    assert_eq!(plan.data_centres, [expected(false)]);
    assert!(accepted.unwrap().in_force);
    assert_eq!(system.data_centre("north").await, expected(true));
    assert!(!system.data_centre("south").await.evacuated);
    for kind in [Kind::Batch, Kind::Interactive] {
        let status = system.team.submit(&job(kind, "short"), TIMEOUT).await;
        let id = status.unwrap().id;
        assert_eq!(&*id.shard.data_centre, "south");
        let end = system.team.wait(&id, TIMEOUT).await.unwrap();
        assert_eq!(end.state, State::Succeeded);
    }
    assert_eq!(system.data_centre("north").await, expected(true));
    let page = system.operator.audit(Version(3)).await.unwrap();
    let entry = page.entries.last().unwrap();
    assert_eq!(entry.id, plan.edit.id);
    assert_eq!(entry.changes[0].key, "evacuate/north");
}

/// Guards against work that is refused, or started in an evacuated data centre, when no data centre
/// is in use, and against one that is not used again.
#[tokio::test(flavor = "multi_thread")]
async fn work_waits_while_all_data_centres_are_evacuated() {
    let system = start().await;
    system.set_evacuated(&["north", "south"]).await;

    let status = system
        .team
        .submit(&job(Kind::Batch, "short"), TIMEOUT)
        .await;
    let id = status.unwrap().id;
    let waiting = system.team.wait(&id, Duration::from_secs(1)).await;
    let data_centre = system.data_centre(&id.shard.data_centre).await;
    system.set_evacuated(&[]).await;
    let end = system.team.wait(&id, TIMEOUT).await.unwrap();

    assert_eq!(waiting.unwrap().state, State::Queued);
    assert_eq!((data_centre.running, data_centre.queued), (0, 1));
    assert_eq!(end.state, State::Succeeded);
}

/// Guards against two operators who evacuate a data centre each and leave none in use.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_who_evacuate_at_the_same_time_one_gets_a_conflict() {
    let system = start().await;
    let north = system.operator.plan(&request("a", &["north"])).await;
    let south = system.operator.plan(&request("b", &["south"])).await;
    let (north, south) = (north.unwrap().edit.id, south.unwrap().edit.id);

    let (first, second) = tokio::join!(
        system.operator.confirm(&north, TIMEOUT),
        system.operator.confirm(&south, TIMEOUT),
    );

    let (winner, loser) = match first {
        Ok(_) => ("north", second),
        Err(_) => ("south", first),
    };
    let conflict = loser.unwrap_err();
    assert_eq!(conflict.kind, error::Kind::Conflict);
    let message = format!("evacuate: expected [], but there is now [\"{winner}\"]");
    assert!(conflict.message.contains(&message), "{}", conflict.message);
    let evacuated = system.operator.configuration().await.unwrap().evacuated;
    assert_eq!(evacuated.into_iter().collect::<Vec<_>>(), [winner.into()]);
}

/// Guards against a mistyped name that looks like an evacuated data centre.
#[tokio::test(flavor = "multi_thread")]
async fn a_plan_tells_that_a_data_centre_has_no_workers() {
    let system = start().await;

    let plan = system.operator.plan(&request("i.toml", &["nroth"])).await;

    let nothing = DataCentre::without_workers("nroth".into());
    assert_eq!(plan.unwrap().data_centres, [nothing]);
}
