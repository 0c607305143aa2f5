//! Runs one entry VM on a paused clock and counts its calls to the table service and to workers.
//!
//! The table service and the workers are stand-ins behind closures that count calls and bytes. All
//! counts are deterministic, so that a test compares them with `docs/CAPACITY.md`.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use basilbridge::{
    commit,
    config::NodeConfig,
    embedded,
    log,
    metrics::Metrics,
    node::Node, //
};
use basilbridge_common::{
    call::{
        Call,
        Verb, //
    },
    id::Session,
    job::{
        Kind,
        Request, //
    },
    timer,
    unit::Resources,
};
use basilbridge_endpoints::Client;
use basilbridge_operators::{
    configuration::{
        Configuration,
        Team, //
    },
    key::Hash,
};
use basilbridge_platform::{
    Platform,
    table,
    vm::Vm, //
};
use basilbridge_standins::{
    store::{
        FaultSettings, //
        Store,
    },
    worker::Fleet,
};
use futures_util::FutureExt;
use serde::Serialize;
use tokio::task::JoinSet;

/// The id of the first session, as long as ids usually are.
const FIRST_SESSION: u64 = 10_000_000_000_000_000_000;

/// The time for which a cell runs before counting starts.
const WARM_UP: Duration = Duration::from_secs(10);

/// The time for which calls are counted.
pub(crate) const MEASURED: Duration = Duration::from_secs(60);

/// The size of a cell and its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Load {
    /// The number of workers.
    pub(crate) workers: u32,
    /// The number of service jobs, which run all the time.
    pub(crate) running: u32,
    /// The number of batch jobs that wait for free capacity.
    pub(crate) waiting: u32,
    /// The number of batch jobs, of one short task each, that are submitted per second.
    pub(crate) jobs: u32,
    /// The number of teams in the configuration.
    pub(crate) teams: u32,
    /// The number of entry VMs. Only calls of the first, which owns the shards, are counted.
    pub(crate) vms: u32,
}

/// The load of which each row of the table varies one amount.
pub(crate) const BASE: Load = Load {
    workers: 64,
    running: 64,
    waiting: 0,
    jobs: 0,
    teams: 10,
    vms: 1,
};

/// The calls and bytes that one entry VM sent and received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Traffic {
    /// Transactions at the table service.
    pub(crate) table_writes: u64,
    /// Bytes of transactions and their results, as JSON.
    pub(crate) write_bytes: u64,
    /// Scans at the table service.
    pub(crate) table_reads: u64,
    /// Bytes of scans and the returned rows, as JSON.
    pub(crate) read_bytes: u64,
    /// Commands sent to workers.
    pub(crate) commands: u64,
    /// Bytes of commands and responses, as JSON.
    pub(crate) command_bytes: u64,
}

/// Counters behind [`Traffic`], shared with the closures that count.
#[derive(Default)]
struct Counters {
    table_writes: AtomicU64,
    write_bytes: AtomicU64,
    table_reads: AtomicU64,
    read_bytes: AtomicU64,
    commands: AtomicU64,
    command_bytes: AtomicU64,
}

impl Counters {
    fn read(&self) -> Traffic {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            table_writes: get(&self.table_writes),
            write_bytes: get(&self.write_bytes),
            table_reads: get(&self.table_reads),
            read_bytes: get(&self.read_bytes),
            commands: get(&self.commands),
            command_bytes: get(&self.command_bytes),
        }
    }
}

impl Traffic {
    /// Returns the traffic since an earlier reading.
    fn since(self, earlier: Self) -> Self {
        Self {
            table_writes: self.table_writes - earlier.table_writes,
            write_bytes: self.write_bytes - earlier.write_bytes,
            table_reads: self.table_reads - earlier.table_reads,
            read_bytes: self.read_bytes - earlier.read_bytes,
            commands: self.commands - earlier.commands,
            command_bytes: self.command_bytes - earlier.command_bytes,
        }
    }
}

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

/// Returns the length of a value as JSON, in bytes.
fn json_length(value: &impl Serialize) -> u64 {
    serde_json::to_vec(value).map_or(0, |text| text.len() as u64)
}

/// Returns the stand-in platform with a table service that counts calls.
fn counted_platform(store: &Store, counters: &Arc<Counters>) -> Platform {
    let platform = store.platform();
    let (inner_writer, inner_reader) = (platform.tables.clone(), platform.tables.clone());
    let (writes, reads) = (Arc::clone(counters), Arc::clone(counters));
    let tables = table::Service::new(
        Arc::new(move |transaction| {
            let (tables, counters) = (inner_writer.clone(), Arc::clone(&writes));
            async move {
                add(&counters.table_writes, 1);
                add(&counters.write_bytes, json_length(&transaction));
                let outcome = tables.transact(transaction).await?;
                add(&counters.write_bytes, json_length(&outcome));
                Ok(outcome)
            }
            .boxed()
        }),
        Arc::new(move |query| {
            let (tables, counters) = (inner_reader.clone(), Arc::clone(&reads));
            async move {
                add(&counters.table_reads, 1);
                add(&counters.read_bytes, json_length(&query));
                let rows = tables.scan(query).await?;
                add(&counters.read_bytes, json_length(&rows));
                Ok(rows)
            }
            .boxed()
        }),
    );
    Platform { tables, ..platform }
}

/// Returns a client of the stand-in workers that counts commands.
fn counted_workers(fleet: &Fleet, counters: &Arc<Counters>) -> Client {
    let (client, counters) = (fleet.client(), Arc::clone(counters));
    Client::new(Arc::new(move |worker, command| {
        let (client, counters) = (client.clone(), Arc::clone(&counters));
        async move {
            add(&counters.commands, 1);
            add(&counters.command_bytes, json_length(&command));
            let answer = client.send(&worker, command).await?;
            add(&counters.command_bytes, json_length(&answer));
            Ok(answer)
        }
        .boxed()
    }))
}

/// A cell whose first entry VM is measured under a load.
pub(crate) struct Cell {
    node: Arc<Node>,
    timer: timer::Service,
    counters: Arc<Counters>,
    load: Load,
    _running: basilbridge::node::RunningNode,
    _other_sessions: JoinSet<()>,
}

impl Cell {
    /// Starts the entry VMs, and submits the jobs of `load` that run or wait all the time.
    pub(crate) async fn start(load: Load) -> Self {
        let timer = timer::Service::start();
        let store = Store::new(timer.clone());
        // The rate cap of the table service would hide the demand of a single VM.
        store.set_faults(FaultSettings {
            writes_per_second: u32::MAX,
            reads_per_second: u32::MAX,
            ..FaultSettings::default()
        });
        let workers = embedded::stand_in_workers(&"local".into(), load.workers);
        store.set_vms(workers.iter().cloned().map(Vm::Worker).collect());
        let fleet = Fleet::new(timer.clone(), workers);
        let counters = Arc::new(Counters::default());
        let first = configuration(load.teams);
        commit::replace(store.platform(), timer.clone(), &first)
            .await
            .expect("the stand-in accepts the first configuration");
        // A fixed session id, since the length of an id changes the counted bytes.
        let node = Node::with_session(
            Session(FIRST_SESSION),
            NodeConfig::local("entry-0", "local"),
            timer.clone(),
            counted_platform(&store, &counters),
            counted_workers(&fleet, &counters),
            log::silent(),
            Metrics::none(),
        );
        let running = node.start().await.expect("loopback ports can be bound");
        timer.sleep(WARM_UP).await;
        let other_sessions = keep_other_sessions(load.vms - 1, &store, &timer);
        let cell = Self {
            node,
            timer,
            counters,
            load,
            _running: running,
            _other_sessions: other_sessions,
        };
        cell.submit_initial_load().await;
        cell
    }

    /// Submits the jobs of the load for [`MEASURED`] and returns the traffic in that time.
    pub(crate) async fn measure(&self) -> Traffic {
        const SECOND: Duration = Duration::from_secs(1);
        let before = self.counters.read();
        for _ in 0..MEASURED.as_secs() {
            for _ in 0..self.load.jobs {
                self.submit(Kind::Batch, SMALL, r#"{"run_ms":500,"output":"done"}"#)
                    .await;
            }
            self.timer.sleep(SECOND).await;
        }
        self.counters.read().since(before)
    }

    /// Submits the service jobs and the waiting jobs.
    async fn submit_initial_load(&self) {
        for _ in 0..self.load.running {
            self.submit(Kind::Service, SMALL, r#"{"run_ms":null}"#)
                .await;
        }
        self.timer.sleep(WARM_UP).await;
        for _ in 0..self.load.waiting {
            self.submit(Kind::Batch, WHOLE_WORKER, r#"{"run_ms":500}"#)
                .await;
        }
        self.timer.sleep(WARM_UP).await;
    }

    /// Submits a job to the least loaded shard.
    async fn submit(&self, kind: Kind, resources: Resources, payload: &str) {
        let owners = self.node.owners();
        let owner = owners
            .iter()
            .min_by_key(|owner| (owner.load(), owner.ownership.shard.clone()))
            .expect("the VM owns a shard");
        let request = Request {
            queue: "work".into(),
            kind,
            resources,
            count: 1,
            repeatable: true,
            idempotency_key: None,
            family: None,
            run_time: None,
            deadline: None,
            payload: payload.to_owned(),
        };
        let call = Call {
            request_id: "capacity".into(),
            team: "team-0".into(),
            remaining: Duration::from_secs(10),
            verb: Verb::Submit(owner.ownership.shard.clone(), Box::new(request)),
        };
        owner.handle(call).await.expect("the owner accepts the job");
    }
}

const SMALL: Resources = Resources {
    cpu_millis: 1000,
    memory_mib: 1024,
    accelerators: 0,
};

const WHOLE_WORKER: Resources = Resources {
    cpu_millis: 64_000,
    memory_mib: 131_072,
    accelerators: 0,
};

/// Keeps the sessions of `count` other VMs, which own no shard, until the set is dropped.
fn keep_other_sessions(count: u32, store: &Store, timer: &timer::Service) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for number in 1..=count {
        let node = Node::with_session(
            Session(FIRST_SESSION + u64::from(number)),
            NodeConfig::local(&format!("entry-{number}"), "elsewhere"),
            timer.clone(),
            store.platform(),
            Fleet::new(timer.clone(), []).client(),
            log::silent(),
            Metrics::none(),
        );
        let address = SocketAddr::from(([127, 0, 0, 1], number as u16));
        tasks.spawn(node.keep_session(address));
    }
    tasks
}

/// Returns a configuration with this number of teams, each with one key.
pub(crate) fn configuration(teams: u32) -> Configuration {
    let team = |number: u32| Team {
        name: format!("team-{number}").into(),
        share: 1,
        limit: None,
        keys: vec![Hash::of(&format!("key-{number}"))],
    };
    Configuration {
        teams: (0..teams).map(team).collect(),
        ..Configuration::default()
    }
}

/// A row of the table.
pub(crate) struct Row {
    /// The name of the varied amount.
    pub(crate) varied: &'static str,
    /// The value of the varied amount.
    pub(crate) amount: u32,
    /// The load with this amount.
    pub(crate) load: Load,
}

/// Returns the rows of the table.
pub(crate) fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    let mut add = |varied, amounts: [u32; 3], vary: fn(u32) -> Load| {
        for amount in amounts {
            let load = vary(amount);
            rows.push(Row {
                varied,
                amount,
                load,
            });
        }
    };
    add("workers", [64, 128, 256], |workers| Load {
        workers,
        ..BASE
    });
    add("running", [64, 128, 256], |running| Load {
        running,
        ..BASE
    });
    add("waiting", [1000, 2000, 4000], |waiting| Load {
        waiting,
        ..BASE
    });
    add("jobs a second", [10, 20, 40], |jobs| Load { jobs, ..BASE });
    add("teams", [10, 100, 1000], |teams| Load { teams, ..BASE });
    add("VMs", [1, 3, 9], |vms| Load { vms, ..BASE });
    rows
}

/// The heading of the table, in Markdown.
pub(crate) const HEADING: &str = "| varied | amount | writes/s | write B/s | reads/s | read B/s \
    | commands/s | command B/s |\n|---|---|---|---|---|---|---|---|";

impl Row {
    /// Returns the row as a line of Markdown, with rates per second.
    pub(crate) fn line(&self, traffic: &Traffic) -> String {
        let seconds = MEASURED.as_secs_f64();
        let rate = |count: u64| count as f64 / seconds;
        format!(
            "| {} | {} | {:.2} | {:.0} | {:.2} | {:.0} | {:.2} | {:.0} |",
            self.varied,
            self.amount,
            rate(traffic.table_writes),
            rate(traffic.write_bytes),
            rate(traffic.table_reads),
            rate(traffic.read_bytes),
            rate(traffic.commands),
            rate(traffic.command_bytes),
        )
    }
}
