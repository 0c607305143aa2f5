//! The planned end of an entry VM.

mod util;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use basilbridge::{
    config::NodeConfig,
    embedded::Embedded,
    node::RunningNode, //
};
use basilbridge_common::{
    error::Error,
    job::{
        Kind,
        State, //
    },
};
use basilbridge_server::drain::Phase;
use util::{
    TIMEOUT,
    request,
    start_first_vm,
    start_further_vm,
    start_vm,
    team_client,
    wait_until_ready, //
};

const CLIENTS: usize = 4;

/// The VMs that the platform's balancer sends callers to.
type Balancer = Arc<Mutex<Vec<SocketAddr>>>;

fn config(name: &str) -> NodeConfig {
    let mut config = NodeConfig::local(name, "local");
    config.session_lease = Duration::from_millis(600);
    config.poll_interval = Duration::from_millis(100);
    config.drain_grace = Duration::from_millis(100);
    config
}

async fn next_vm(first: &Embedded, name: &str) -> RunningNode {
    let running = start_further_vm(&first.store, first.fleet.client(), config(name)).await;
    wait_until_ready(&running).await;
    running
}

/// Sends checks to one VM after another until it is told to stop; returns the first error.
async fn load(balancer: Balancer, stop: Arc<AtomicBool>, sent: Arc<AtomicUsize>) -> Option<Error> {
    while !stop.load(Ordering::SeqCst) {
        let number = sent.fetch_add(1, Ordering::SeqCst);
        let address = {
            let vms = balancer.lock().unwrap();
            vms[number % vms.len()]
        };
        let check = request(
            "checks",
            Kind::Interactive,
            r#"{"run_ms":2,"output":"dry"}"#,
        );
        if let Err(error) = team_client(address).submit(&check, TIMEOUT).await {
            return Some(error);
        }
    }
    None
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_of_all_vms_under_load_cuts_off_no_request() {
    let mut first = start_first_vm(config("entry-0")).await;
    wait_until_ready(&first.running).await;
    let mut old = vec![
        next_vm(&first, "entry-1").await,
        next_vm(&first, "entry-2").await,
    ];
    let addresses = [&first.running, &old[0], &old[1]].map(|vm| vm.callers.address);
    let balancer: Balancer = Arc::new(Mutex::new(addresses.to_vec()));
    let (stop, sent) = (Arc::default(), Arc::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
            tokio::spawn(load(Arc::clone(&balancer), stop, sent))
        })
        .collect();

    let mut new = Vec::new();
    for number in 3..6 {
        let fresh = next_vm(&first, &format!("entry-{number}")).await;
        balancer.lock().unwrap().push(fresh.callers.address);
        new.push(fresh);
        let leaving = match old.pop() {
            Some(leaving) => leaving,
            None => std::mem::replace(&mut first.running, new.remove(0)),
        };
        let node = Arc::clone(&leaving.node);
        let gone = leaving.callers.address;
        let (drained, ()) = tokio::join!(leaving.drain(), async {
            node.drain_state.wait_for_phase(Phase::Draining).await;
            assert!(!node.is_ready());
            balancer.lock().unwrap().retain(|address| *address != gone);
        });
        assert!(drained);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        assert_eq!(client.await.unwrap(), None);
    }

    assert!(sent.load(Ordering::SeqCst) > CLIENTS);
    assert_eq!(first.fleet.violations(), Default::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_waits_for_long_work_is_told_where_it_stands_when_the_vm_ends() {
    let vm = start_first_vm(config("entry-0")).await;
    wait_until_ready(&vm.running).await;
    let client = team_client(vm.running.callers.address);
    let job = request("plans", Kind::Batch, r#"{"run_ms":3600000}"#);
    let accepted = client.submit(&job, TIMEOUT).await.unwrap();
    let node = Arc::clone(&vm.running.node);
    let waiting = tokio::spawn(async move { client.wait(&accepted.id, TIMEOUT * 100).await });
    while node.drain_state.in_flight() == 0 {
        tokio::task::yield_now().await;
    }

    let drained = vm.running.drain().await;
    let status = waiting.await.unwrap().unwrap();

    assert!(drained);
    assert!(!status.state.is_final(), "{status:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_check_in_flight_is_answered_before_the_vm_ends() {
    let vm = start_vm().await;
    wait_until_ready(&vm.running).await;
    let client = team_client(vm.running.callers.address);
    let node = Arc::clone(&vm.running.node);
    let check = request(
        "checks",
        Kind::Interactive,
        r#"{"run_ms":500,"output":"dry"}"#,
    );
    let waiting = tokio::spawn(async move { client.submit(&check, TIMEOUT).await });
    while node.drain_state.in_flight() == 0 {
        tokio::task::yield_now().await;
    }

    let drained = vm.running.drain().await;
    let status = waiting.await.unwrap().unwrap();

    assert!(drained);
    assert_eq!(status.state, State::Succeeded);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_ends_at_its_limit_and_says_that_a_request_was_left() {
    let mut config = config("entry-0");
    config.drain_limit = Duration::from_millis(300);
    let vm = start_first_vm(config).await;
    wait_until_ready(&vm.running).await;
    let node = Arc::clone(&vm.running.node);
    let client = team_client(vm.running.callers.address);
    let check = request("checks", Kind::Interactive, r#"{"run_ms":3600000}"#);
    let waiting = tokio::spawn(async move { client.submit(&check, TIMEOUT * 100).await });
    while node.drain_state.in_flight() == 0 {
        tokio::task::yield_now().await;
    }

    let drained = vm.running.drain().await;

    assert!(!drained);
    waiting.abort();
}
