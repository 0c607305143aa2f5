//! Upper limits of teams and the spread of work over several entry VMs and shards.

mod util;

use std::time::Duration;

use basilbridge::{
    client::Client,
    commit,
    config::NodeConfig,
    embedded::{
        self,
        Embedded, //
    },
    log,
    metrics::Metrics,
    node::{
        Node,
        RunningNode, //
    },
    owner::Owner,
};
use basilbridge_common::{
    id::Session,
    job::{
        Kind,
        Request,
        State, //
    },
    timer,
    unit::Resources,
};
use basilbridge_platform::vm::Vm;
use basilbridge_standins::{
    store::{
        FaultSettings,
        Store, //
    },
    worker::Fleet, //
};
use futures_util::future;
use util::{
    TIMEOUT,
    request,
    start_further_vm,
    start_vm,
    team_client,
    wait_until_ready, //
};

const fn cores(count: u64) -> Resources {
    Resources {
        cpu_millis: count * 1000,
        memory_mib: count * 256,
        accelerators: 0,
    }
}

struct Cell {
    fleet: Fleet,
    vms: Vec<RunningNode>,
}

/// Starts three entry VMs with four shards of eight workers, where the one team has a limit.
async fn cell(limit: Resources) -> Cell {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    let workers = embedded::stand_in_workers(&"local".into(), 32);
    store.set_vms(workers.iter().cloned().map(Vm::Worker).collect());
    let fleet = Fleet::new(timer, workers);
    set_limit(&store, limit).await;
    // The VMs all write their sessions before any of them claims, so that each gets shards.
    store.set_faults(FaultSettings {
        delay: Duration::from_millis(20),
        ..FaultSettings::default()
    });
    let starts = (0..3).map(|number| start(&store, &fleet, number));
    let vms = future::join_all(starts).await;
    for vm in &vms {
        wait_until_ready(vm).await;
    }
    store.set_faults(FaultSettings::default());
    Cell { fleet, vms }
}

async fn start(store: &Store, fleet: &Fleet, number: u32) -> RunningNode {
    let config = NodeConfig {
        racks_per_shard: 1,
        // The ends of batch tasks are heard with the renewals, ten in each lease.
        task_lease: Duration::from_secs(2),
        ..NodeConfig::local(&format!("entry-{number}"), "local")
    };
    let timer = timer::Service::start();
    let (platform, workers) = (store.platform(), fleet.client());
    // Shards are spread by a hash of sessions. With random ones, one VM owns all four shards in one
    // run of 27.
    let node = Node::with_session(
        Session(u64::from(number) + 1),
        config,
        timer,
        platform,
        workers,
        log::silent(),
        Metrics::none(),
    );
    node.start().await.unwrap()
}

async fn set_limit(store: &Store, limit: Resources) {
    let mut next = embedded::initial_configuration();
    next.teams[0].limit = Some(limit);
    commit::replace(store.platform(), timer::Service::start(), &next)
        .await
        .unwrap();
}

fn job(count: u32, run_ms: u32) -> Request {
    let payload = format!(r#"{{"run_ms":{run_ms},"output":"done"}}"#);
    Request {
        count,
        ..request("plans", Kind::Batch, &payload)
    }
}

fn clients(cell: &Cell) -> Vec<Client> {
    let vms = cell.vms.iter();
    vms.map(|vm| team_client(vm.callers.address)).collect()
}

/// Waits until what runs satisfies a condition, and says whether it did in time.
async fn runs(vm: &Embedded, condition: impl Fn(&Resources) -> bool) -> bool {
    for _ in 0..1000 {
        if condition(&vm.fleet.used()) {
            return true;
        }
        let timer = &vm.running.node.timer;
        timer.sleep(Duration::from_millis(10)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn more_work_than_a_limit_allows_runs_within_it_and_ends() {
    let cell = cell(cores(12)).await;
    let clients = clients(&cell);

    let ended = clients.iter().map(|client| async {
        let accepted = client.submit(&job(60, 30), TIMEOUT).await.unwrap();
        client.wait(&accepted.id, TIMEOUT).await.unwrap().state
    });
    let ended = future::join_all(ended).await;

    assert!(
        cell.vms
            .iter()
            .filter(|vm| !vm.node.owners().is_empty())
            .count()
            > 1
    );
    assert_eq!(ended, [State::Succeeded; 3]);
    let counts = cell.fleet.counts();
    assert!(counts.peak.fits(&cores(12)), "{:?}", counts.peak);
    assert_eq!(cell.fleet.violations(), Default::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn what_runs_over_a_lowered_limit_is_stopped_and_waits() {
    let first = start_vm().await;
    let second = start_further_vm(
        &first.store,
        first.fleet.client(),
        NodeConfig::local("entry-1", "local"),
    )
    .await;
    wait_until_ready(&second).await;
    let client = team_client(second.callers.address);
    client.submit(&job(12, 60_000), TIMEOUT).await.unwrap();
    assert!(runs(&first, |used| *used == cores(12)).await);

    set_limit(&first.store, cores(5)).await;
    let lowered = runs(&first, |used| used.fits(&cores(5))).await;

    assert!(lowered, "{:?} runs", first.fleet.used());
    assert_eq!(first.fleet.violations(), Default::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_comes_to_one_vm_is_spread_over_the_shards_of_all() {
    let cell = cell(cores(1000)).await;
    let client = team_client(cell.vms[0].callers.address);

    for _ in 0..40 {
        client.submit(&job(1, 60_000), TIMEOUT).await.unwrap();
    }

    let owners = cell.vms.iter().flat_map(|vm| vm.node.owners());
    let loads = owners.map(|owner| {
        let (queued, running) = owner.load();
        (queued + running, owner.ownership.shard.to_string())
    });
    let loads: Vec<_> = loads.collect();
    let total: usize = loads.iter().map(|(load, _)| load).sum();
    assert_eq!(total, 40);
    assert!(loads.iter().all(|(load, _)| *load >= 2), "{loads:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn every_shard_hears_the_weight_of_a_team_and_what_it_runs_elsewhere() {
    let cell = cell(cores(1000)).await;
    let client = team_client(cell.vms[0].callers.address);
    for _ in 0..40 {
        client.submit(&job(1, 60_000), TIMEOUT).await.unwrap();
    }

    // A change by less than a twentieth of what a VM has told is not told.
    let mut counted = Vec::new();
    for _ in 0..1000 {
        counted = cell
            .vms
            .iter()
            .flat_map(|vm| vm.node.owners())
            .map(|owner| fleet_use(&owner))
            .collect();
        if counted
            .iter()
            .all(|cores| (38_000..=42_000).contains(cores))
        {
            return;
        }
        let timer = &cell.vms[0].node.timer;
        timer.sleep(Duration::from_millis(10)).await;
    }
    panic!("{counted:?}");
}

/// What a shard counts the team with in the whole fleet, in thousandths of a core.
fn fleet_use(owner: &Owner) -> u64 {
    let (_, uses) = owner.summary();
    let here = uses.iter().map(|(_, used)| used.cpu_millis);
    let teams = owner.teams();
    let elsewhere = teams.iter().map(|team| team.elsewhere.cpu_millis);
    here.sum::<u64>() + elsewhere.sum::<u64>()
}
