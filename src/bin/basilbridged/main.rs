//! The daemon that every entry VM runs.

mod app;
mod cell;
mod clap_app;

use std::process::ExitCode;

use clap::Parser;
use miette::{
    IntoDiagnostic,
    Result,
    WrapErr, //
};

use crate::{
    app::App,
    clap_app::Arguments, //
};

/// The exit code for invalid settings.
pub(crate) const EXIT_SETTINGS: u8 = 78;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(path) = &arguments.cell {
        return cell::main(path, &arguments);
    }
    let app = match App::new(&arguments) {
        Ok(app) => app,
        Err(invalid) => {
            eprintln!("{:?}", miette::Report::new(invalid));
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(app) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(app: App<'_>) -> Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .into_diagnostic()
        .wrap_err("the runtime could not be started")?
        .block_on(app.run())
}
