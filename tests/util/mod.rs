//! Fixtures of the tests at the HTTP ports.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use basilbridge::{
    client::Client,
    embedded,
    node::Running, //
};
use basilbridge_common::{
    job::{
        Kind,
        Request, //
    },
    unit::Resources,
};

pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

pub(crate) fn caller(address: SocketAddr) -> Client {
    Client::new(address, Some(embedded::TEAM_KEY.to_owned()))
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
pub(crate) async fn ready(running: &Running) {
    for _ in 0..1000 {
        if running.node.is_ready() {
            return;
        }
        running.node.timer.sleep(Duration::from_millis(10)).await;
    }
    panic!("the VM never became ready");
}
