//! The command-line client for callers and operators.

mod app;
mod audit;
mod clap_app;
mod edit;
mod key;
mod plan;
mod printer;
mod teams;

use std::process::ExitCode;

use basilbridge_common::error::Error;
use clap::Parser;

use crate::clap_app::Arguments;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(app::run(&arguments)),
        Err(error) => {
            eprintln!("basilbridge: {error}");
            return ExitCode::FAILURE;
        }
    };
    match result {
        Ok(code) => code,
        Err(error) => report(&error),
    }
}

/// Prints an error and returns its exit code.
fn report(error: &Error) -> ExitCode {
    eprintln!("basilbridge: {error}");
    if let Some(wait) = error.retry_after {
        eprintln!("try again after {wait:?}");
    }
    ExitCode::from(error.kind.properties().exit_code)
}
