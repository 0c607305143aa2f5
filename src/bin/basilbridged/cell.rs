//! Runs an entry VM that schedules jobs of several steps, with the platform of a settings file.

use std::{
    path::Path,
    process::ExitCode, //
};

use basilbridge::log;
use basilbridge_adapter::settings::{
    self,
    Settings, //
};
use basilbridge_cell::node::{
    Node,
    RunningNode, //
};
use basilbridge_common::timer;
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

use crate::{
    EXIT_SETTINGS,
    clap_app::Arguments, //
};

/// Reads and checks the settings, and runs until a signal stops the process.
pub(crate) fn main(path: &Path, arguments: &Arguments) -> ExitCode {
    let settings = match read_settings(path, arguments) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    let log = log::json_lines(arguments.log_level);
    match run(path, settings, arguments, log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Reads a settings file, adds the settings of the arguments and checks both.
fn read_settings(path: &Path, arguments: &Arguments) -> Result<Settings> {
    let mut settings = settings::read(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("the settings file {} can't be used", path.display()))?;
    settings.cell.usage_half_life = arguments.usage_half_life;
    settings.cell.check().into_diagnostic()?;
    Ok(settings)
}

fn run(path: &Path, settings: Settings, arguments: &Arguments, log: Logger) -> Result<()> {
    // A VM has a fraction of one processor, where further threads only add overhead.
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()
        .wrap_err("the runtime could not be started")?
        .block_on(async {
            let timer = timer::Service::start();
            let clients = basilbridge_adapter::clients(&settings, &timer);
            let node = Node::new(settings.cell.clone(), timer, clients, log.clone());
            let running = node
                .start()
                .await
                .into_diagnostic()
                .wrap_err("the daemon could not start")?;
            run_until_signalled(running, path, settings, arguments, &log).await
        })
}

/// Waits for a signal to stop and drains the VM; a hangup checks the settings file again.
async fn run_until_signalled(
    mut running: RunningNode,
    path: &Path,
    settings: Settings,
    arguments: &Arguments,
    log: &Logger,
) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let mut reload = signal(SignalKind::hangup()).into_diagnostic()?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => check_reload(path, &settings, arguments, log),
            message = running.wait_for_panic() => {
                slog::crit!(log, "a background task has panicked"; "error" => &message);
                return Err(miette!("a background task has panicked: {message}"));
            }
        }
    }
    match running.drain().await {
        true => Ok(()),
        false => Err(miette!(
            "the drain limit passed before all calls were answered"
        )),
    }
}

/// Reads the settings file again and logs whether it changed; changes apply at the next start.
fn check_reload(path: &Path, current: &Settings, arguments: &Arguments, log: &Logger) {
    match read_settings(path, arguments) {
        Ok(settings) => slog::info!(log, "reload"; "changed" => settings != *current),
        Err(report) => slog::error!(log, "reload failed"; "error" => %report),
    }
}
