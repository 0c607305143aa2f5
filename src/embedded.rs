//! Runs an entry VM with stand-ins for the platform and the workers in one process.

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr, //
};

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    timer,
    unit::Resources,
    worker::Worker,
};
use basilbridge_operators::{
    configuration::{
        Configuration,
        Queue,
        Team, //
    },
    key::Hash,
};
use basilbridge_platform::vm::Vm;
use basilbridge_standins::{
    store::Store,
    worker::Fleet, //
};
use slog::Logger;

use crate::{
    commit,
    config::NodeConfig,
    metrics::Metrics,
    node::{
        Node,
        RunningNode, //
    },
};

/// The key of the team in the initial configuration.
pub const TEAM_KEY: &str = "try-basilbridge";

/// The key of the operator in the initial configuration.
pub const OPERATOR_KEY: &str = "operate-basilbridge";

/// A running entry VM with its stand-ins.
pub struct Embedded {
    /// The running entry VM.
    pub running: RunningNode,
    /// The stand-in for the platform.
    pub store: Store,
    /// The stand-ins for the workers.
    pub fleet: Fleet,
}

/// Starts an entry VM with `workers` stand-in workers.
pub async fn start(
    config: NodeConfig,
    workers: u32,
    log: Logger,
    metrics: Metrics,
) -> io::Result<Embedded> {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    let workers = stand_in_workers(&config.data_centre, workers);
    store.set_vms(workers.iter().cloned().map(Vm::Worker).collect());
    let fleet = Fleet::new(timer.clone(), workers);
    commit::replace(store.platform(), timer.clone(), &initial_configuration())
        .await
        .map_err(io::Error::other)?;
    let node = Node::new(
        config,
        timer,
        store.platform(),
        fleet.client(),
        log,
        metrics,
    );
    let running = node.start().await?;
    Ok(Embedded {
        running,
        store,
        fleet,
    })
}

/// Returns `count` workers with the capacity of Spine & Leaf's, eight per rack.
///
/// The first worker of each rack has an accelerator.
pub fn stand_in_workers(data_centre: &Name, count: u32) -> Vec<Worker> {
    const WORKERS_PER_RACK: u32 = 8;
    (0..count)
        .map(|number| Worker {
            name: format!("{data_centre}-worker-{number}").into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            data_centre: data_centre.clone(),
            rack: number / WORKERS_PER_RACK,
            capacity: Resources {
                cpu_millis: 64_000,
                memory_mib: 131_072,
                accelerators: u64::from(number % WORKERS_PER_RACK == 0),
            },
            slots: 8,
            leaving: false,
        })
        .collect()
}

/// Returns a configuration with one team, three queues and one operator key.
pub fn initial_configuration() -> Configuration {
    let queue = |name: &str| Queue {
        name: name.into(),
        open_for: None,
    };
    Configuration {
        version: Version(0),
        teams: vec![Team {
            name: "workshop".into(),
            share: 1,
            limit: None,
            keys: vec![Hash::of(TEAM_KEY)],
        }],
        queues: vec![queue("checks"), queue("plans"), queue("collections")],
        workloads: Vec::new(),
        evacuated: BTreeSet::new(),
        operator_keys: vec![Hash::of(OPERATOR_KEY)],
    }
}
