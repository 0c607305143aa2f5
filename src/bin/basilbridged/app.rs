//! Builds the settings from the arguments and runs the daemon.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use basilbridge::{
    config::{
        InvalidSettings,
        MAX_DESCRIPTORS,
        NodeConfig, //
    },
    embedded, log,
    metrics::Metrics,
    node::{
        Node,
        RunningNode, //
    },
};
use basilbridge_common::timer;
use basilbridge_endpoints::http as endpoints;
use basilbridge_operators::key::Hash;
use basilbridge_platform::http as platform;
use miette::{
    IntoDiagnostic,
    Result,
    WrapErr,
    miette, //
};
use rustix::process::{
    Resource,
    getrlimit, //
};
use slog::Logger;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

use crate::clap_app::Arguments;

/// How long a worker may take to run a task without a deadline.
const MAX_TASK_WAIT: Duration = Duration::from_secs(600);

/// The daemon with its checked settings.
pub(crate) struct App<'a> {
    arguments: &'a Arguments,
    config: NodeConfig,
}

impl<'a> App<'a> {
    /// Builds the settings from the arguments and checks them.
    pub(crate) fn new(arguments: &'a Arguments) -> Result<Self, InvalidSettings> {
        let config = NodeConfig {
            name: arguments.name.as_str().into(),
            data_centre: arguments.data_centre.as_str().into(),
            callers: arguments.callers,
            operators: arguments.operators,
            peers: arguments.peers,
            task_lease: arguments.task_lease,
            session_lease: arguments.session_lease,
            poll_interval: arguments.poll_interval,
            racks_per_shard: arguments.racks_per_shard,
            default_wait: arguments.default_wait,
            drain_grace: arguments.drain_grace,
            drain_limit: arguments.drain_limit,
            max_requests: arguments.max_requests,
            memory_limit: arguments.memory_limit,
            max_descriptors: arguments.max_descriptors.unwrap_or_else(descriptor_limit),
            usage_half_life: arguments.usage_half_life,
            bootstrap_key: arguments.bootstrap_key.as_deref().map(Hash::of),
        };
        config.check()?;
        Ok(Self { arguments, config })
    }

    /// Runs until a signal stops the process.
    pub(crate) async fn run(self) -> Result<()> {
        let arguments = self.arguments;
        let log = log::logger(arguments.log_format, arguments.log_level);
        let metrics = match arguments.statsd {
            Some(server) => Metrics::udp(server)
                .into_diagnostic()
                .wrap_err("the metrics could not be set up")?,
            None => Metrics::none(),
        };
        let running = match arguments.platform {
            Some(platform) => self.start(platform, log, metrics).await,
            None => self.start_embedded(log, metrics).await,
        };
        let running = running
            .into_diagnostic()
            .wrap_err("the daemon could not start")?;
        run_until_signalled(running).await
    }

    /// Starts the VM with the platform at this address.
    async fn start(
        self,
        platform: SocketAddr,
        log: Logger,
        metrics: Metrics,
    ) -> io::Result<RunningNode> {
        let timer = timer::Service::start();
        let timeout = self.arguments.platform_timeout;
        let platform = platform::platform(platform, timer.clone(), timeout);
        let settings = endpoints::Settings::new(self.arguments.worker_timeout, MAX_TASK_WAIT);
        let workers = endpoints::client(timer.clone(), settings);
        let node = Node::new(self.config, timer, platform, workers, log, metrics);
        node.start().await
    }

    /// Starts the VM with stand-ins for the platform and the workers, and waits until it is ready.
    async fn start_embedded(self, log: Logger, metrics: Metrics) -> io::Result<RunningNode> {
        let workers = self.arguments.embedded_workers;
        let embedded = embedded::start(self.config, workers, log, metrics).await?;
        embedded.running.node.until_ready().await;
        print_instructions(&embedded.running);
        Ok(embedded.running)
    }
}

/// Returns how many descriptors the system lets this process open.
fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    let limit = limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    });
    limit.clamp(*MAX_DESCRIPTORS.start(), *MAX_DESCRIPTORS.end())
}

/// Prints the addresses and a few commands to try on an embedded VM.
fn print_instructions(running: &RunningNode) {
    const CLIENT: &str = "cargo run --release --bin basilbridge --";
    let (callers, operators) = (running.callers.address, running.operators.address);
    let (team, operator) = (embedded::TEAM_KEY, embedded::OPERATOR_KEY);
    println!(
        "basilbridge listens on http://{callers} for callers and http://{operators} for operators"
    );
    println!("commands to try in another terminal:");
    println!("  {CLIENT} --key {team} submit --queue checks --kind interactive glue");
    println!("  {CLIENT} --key {team} submit --queue plans --kind batch --count 3 --wait rebind");
    println!("  {CLIENT} --operator-key {operator} workers");
}

/// Waits for a signal and drains the VM; a second signal stops it at once.
async fn run_until_signalled(running: RunningNode) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let mut receive_signal = async || {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    receive_signal().await;
    tokio::select! {
        all_answered = running.drain() => match all_answered {
            true => Ok(()),
            false => Err(miette!("the drain limit passed before all requests were answered")),
        },
        () = receive_signal() => Err(miette!("a second signal stopped the drain")),
    }
}
