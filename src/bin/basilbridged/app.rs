//! Turns the flags into one configuration and runs the daemon.

use std::time::Duration;

use basilbridge::{
    config::Config,
    embedded, log,
    node::{
        Node,
        Running, //
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
use slog::Logger;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

use crate::clap_app::Arguments;

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);
const LONGEST_WAIT: Duration = Duration::from_secs(300);

/// The daemon, ready to run.
pub(crate) struct App {
    config: Config,
    embedded_workers: Option<u32>,
    platform: Option<std::net::SocketAddr>,
    log: Logger,
}

impl App {
    /// Checks the flags.
    pub(crate) fn new(arguments: &Arguments) -> Result<Self> {
        let mut config = Config::local(&arguments.name, &arguments.data_centre);
        config.callers = arguments.callers;
        config.operators = arguments.operators;
        config.peers = arguments.peers;
        config.bootstrap_key = arguments.bootstrap_key.as_deref().map(Hash::of);
        if config.data_centre.contains(['-', '.', '/']) {
            return Err(miette!(
                help = "use letters, digits and underscores",
                "--data-centre `{}` holds a dash, dot or slash",
                config.data_centre
            ));
        }
        Ok(Self {
            config,
            embedded_workers: arguments.embedded.then_some(arguments.embedded_workers),
            platform: arguments.platform,
            log: log::logger(arguments.log_format, slog::Level::Info),
        })
    }

    /// Runs until the process is told to stop.
    pub(crate) async fn run(self) -> Result<()> {
        match (self.embedded_workers, self.platform) {
            (Some(workers), _) => {
                let embedded = embedded::start(self.config, workers, self.log)
                    .await
                    .into_diagnostic()
                    .wrap_err("the daemon could not start")?;
                greet(&embedded.running);
                until_stopped(embedded.running).await
            }
            (None, Some(platform)) => {
                let timer = timer::Service::start();
                let platform = platform::platform(platform, timer.clone(), PLATFORM_TIMEOUT);
                let settings = endpoints::Settings::new(WORKER_TIMEOUT, LONGEST_WAIT);
                let workers = endpoints::client(timer.clone(), settings);
                let node = Node::new(self.config, timer, platform, workers, self.log);
                let running = node
                    .start()
                    .await
                    .into_diagnostic()
                    .wrap_err("the daemon could not start")?;
                until_stopped(running).await
            }
            (None, None) => Err(miette!("--platform is missing")),
        }
    }
}

fn greet(running: &Running) {
    let callers = running.callers.address;
    let operators = running.operators.address;
    println!("callers reach basilbridge at http://{callers}, operators at http://{operators}");
    println!("try next:");
    let (team, operator) = (embedded::TEAM_KEY, embedded::OPERATOR_KEY);
    println!("  basilbridge --key {team} submit --queue checks --kind interactive glue");
    println!("  basilbridge --key {team} submit --queue plans --kind batch --count 3 rebind");
    println!("  basilbridge --operator-key {operator} workers");
}

/// Drains the VM when the process is told to stop; a second signal ends it at once.
async fn until_stopped(running: Running) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let mut signalled = async || {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    signalled().await;
    tokio::select! {
        answered = running.drain() => match answered {
            true => Ok(()),
            false => Err(miette!("the drain was over before all requests were answered")),
        },
        () = signalled() => Err(miette!("a second signal cut the drain short")),
    }
}
