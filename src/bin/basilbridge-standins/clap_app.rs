//! The command-line arguments of the stand-ins.

use std::net::SocketAddr;

use clap::Parser;

/// Runs stand-ins for the platform and for workers.
#[derive(Debug, Parser)]
#[command(name = "basilbridge-standins", version)]
pub(crate) struct Arguments {
    /// The address on which the platform's service listens.
    #[arg(long, default_value = "127.0.0.1:7399")]
    pub(crate) platform: SocketAddr,

    /// The names of the data centres, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "local")]
    pub(crate) data_centres: Vec<String>,

    /// The number of workers in each data centre.
    #[arg(long, default_value_t = 16)]
    pub(crate) workers: u32,
}
