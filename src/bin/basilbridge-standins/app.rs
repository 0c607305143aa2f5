//! Serves the stand-ins until the process is interrupted.

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

/// Serves the stand-ins for the platform and the workers.
pub(crate) async fn run(arguments: &Arguments) -> io::Result<()> {
    let timer = timer::Service::start();
    let workers = arguments
        .data_centres
        .iter()
        .flat_map(|name| embedded::stand_in_workers(&name.as_str().into(), arguments.workers));
    let fleet = Fleet::new(timer.clone(), workers);
    let served_workers = http::serve_fleet(&fleet).await?;
    let store = Store::new(timer);
    store.set_vms(
        served_workers
            .iter()
            .map(|(worker, _)| Vm::Worker(worker.clone()))
            .collect(),
    );
    let server = http::serve_store(arguments.platform, store).await?;
    println!(
        "the platform listens on http://{} and lists {} workers",
        server.address,
        served_workers.len()
    );
    tokio::signal::ctrl_c().await
}
