//! The command line for submitters and operators.

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
        Err(error) => fail(&error),
    }
}

fn fail(error: &Error) -> ExitCode {
    eprintln!("basilbridge: {error}");
    if let Some(wait) = error.retry_after {
        eprintln!("come back after {wait:?}");
    }
    ExitCode::from(error.kind.properties().exit_code)
}
