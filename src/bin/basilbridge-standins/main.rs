//! Stand-ins for the platform and the workers, in a separate process.

mod app;
mod clap_app;

use std::process::ExitCode;

use clap::Parser;

use crate::clap_app::Arguments;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime.and_then(|runtime| runtime.block_on(app::run(&arguments))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("basilbridge-standins: {error}");
            ExitCode::FAILURE
        }
    }
}
