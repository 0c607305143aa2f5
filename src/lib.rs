//! A cluster scheduler for mixed workloads that keeps its state in the platform's services.
//!
//! Each entry VM runs one [`node::Node`]. A node owns shards of workers, each under an epoch that
//! it claims through the platform's table service. `docs/ARCHITECTURE.md` follows one request.

pub mod acknowledgement;
pub mod active_configuration;
pub mod admission;
pub mod allotment;
pub mod allotment_table;
mod answer;
pub mod audit;
pub mod budget;
pub mod client;
pub mod commit;
pub mod config;
pub mod crash;
pub mod data_centre;
pub mod directory;
pub mod dispatch;
pub mod embedded;
pub mod fleet;
pub mod gossip;
pub mod journal;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod owner;
pub mod ownership;
pub mod participant;
pub mod plan;
pub mod record;
pub mod renewal;
pub mod retry;
pub mod router;
pub mod session;
pub mod snapshot;
mod state;
pub mod takeover;
