//! Serves the stand-ins until the process is told to stop.

use std::io;

use basilbridge::embedded;
use basilbridge_common::timer;
use basilbridge_platform::vm::Vm;
use basilbridge_standins::{
    http,
    store::Store,
    worker::Fleet, //
};

use crate::clap_app::Arguments;

/// Serves the platform and the workers.
pub(crate) async fn run(arguments: &Arguments) -> io::Result<()> {
    let timer = timer::Service::start();
    let workers = arguments
        .data_centres
        .iter()
        .flat_map(|name| embedded::stand_in_workers(&name.as_str().into(), arguments.workers));
    let fleet = Fleet::new(timer.clone(), workers);
    let served = http::serve_fleet(&fleet).await?;
    let store = Store::new(timer);
    store.set_vms(
        served
            .iter()
            .map(|(worker, _)| Vm::Worker(worker.clone()))
            .collect(),
    );
    let server = http::serve_store(arguments.platform, store).await?;
    println!(
        "the platform answers at http://{} and lists {} workers",
        server.address,
        served.len()
    );
    tokio::signal::ctrl_c().await
}
