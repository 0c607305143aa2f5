//! The daemon that every entry VM runs.

mod app;
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

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<()> {
    let app = App::new(arguments)?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .into_diagnostic()
        .wrap_err("the threads could not be started")?
        .block_on(app.run())
}
