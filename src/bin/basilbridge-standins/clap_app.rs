//! The flags of the stand-ins.

use std::net::SocketAddr;

use clap::Parser;

/// Stands in for the platform and for workers.
#[derive(Debug, Parser)]
#[command(name = "basilbridge-standins", version)]
pub(crate) struct Arguments {
    /// Where the platform's service answers.
    #[arg(long, default_value = "127.0.0.1:7399")]
    pub(crate) platform: SocketAddr,

    /// The data centres.
    #[arg(long, value_delimiter = ',', default_value = "local")]
    pub(crate) data_centres: Vec<String>,

    /// The workers of each data centre.
    #[arg(long, default_value_t = 16)]
    pub(crate) workers: u32,
}
