//! Fixtures of the tests at the HTTP ports.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use basilbridge::{
    client,
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
};
use basilbridge_common::{
    job::{
        Kind,
        Request, //
    },
    timer,
    unit::Resources,
};
use basilbridge_endpoints::Client;
use basilbridge_standins::store::Store;

/// How long a test waits before it takes what it waits for as lost; no bound of the system.
pub(crate) const PATIENCE: Duration = Duration::from_secs(120);

pub(crate) async fn one_vm() -> Embedded {
    first_vm(NodeConfig::local("entry-0", "local")).await
}

/// Starts an entry VM with a platform and workers.
pub(crate) async fn first_vm(config: NodeConfig) -> Embedded {
    embedded::start(config, 16, log::silent(), Metrics::none())
        .await
        .unwrap()
}

/// Starts a further entry VM on a platform with these workers.
pub(crate) async fn further_vm(store: &Store, workers: Client, config: NodeConfig) -> RunningNode {
    let node = Node::new(
        config,
        timer::Service::start(),
        store.platform(),
        workers,
        log::silent(),
        Metrics::none(),
    );
    node.start().await.unwrap()
}

pub(crate) fn caller(address: SocketAddr) -> client::Client {
    client::Client::new(address, Some(embedded::TEAM_KEY.to_owned()))
}

pub(crate) fn request(queue: &str, kind: Kind, payload: &str) -> Request {
    Request {
        queue: queue.into(),
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

/// Waits until the VM has taken in the configuration and found an owner for a shard.
pub(crate) async fn ready(running: &RunningNode) {
    let ready = running.node.until_ready();
    let in_time = running.node.timer.timeout(PATIENCE, ready).await;
    assert!(in_time.is_some(), "the VM never became ready");
}
