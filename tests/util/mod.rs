//! Fixtures for tests that use the HTTP ports.

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

/// Time after which a waiting test fails. The system under test sets no such limit.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(120);

/// Starts an entry VM with the default configuration, a platform and workers.
pub(crate) async fn start_vm() -> Embedded {
    start_first_vm(NodeConfig::local("entry-0", "local")).await
}

/// Starts an entry VM with this configuration, a platform and 16 workers.
pub(crate) async fn start_first_vm(config: NodeConfig) -> Embedded {
    embedded::start(config, 16, log::silent(), Metrics::none())
        .await
        .unwrap()
}

/// Starts another entry VM on an existing store and with existing workers.
pub(crate) async fn start_further_vm(
    store: &Store,
    workers: Client,
    config: NodeConfig,
) -> RunningNode {
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

/// Returns a client with the key of the stand-in team.
pub(crate) fn team_client(address: SocketAddr) -> client::Client {
    client::Client::new(address, Some(embedded::TEAM_KEY.to_owned()))
}

/// Returns a repeatable request of one task that needs one core and 256 MiB.
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

/// Waits until the VM has loaded the configuration and found an owner for a shard.
pub(crate) async fn wait_until_ready(running: &RunningNode) {
    let ready = running.node.until_ready();
    let in_time = running.node.timer.timeout(TIMEOUT, ready).await;
    assert!(in_time.is_some(), "the VM was not ready within {TIMEOUT:?}");
}
