//! An entry VM that schedules jobs of steps on a platform with a store.
//!
//! Every VM accepts jobs and answers callers from the store. One VM at a time owns the workers and
//! runs the [`basilbridge_workflow::engine::Engine`]; another one takes over when its heartbeats
//! stop. `docs/design/programs.md` describes the programs and the rows that they write.

mod admission;
mod advisor;
mod announce;
pub mod call_size;
pub mod clients;
pub mod config;
pub mod configuration;
pub mod delivery;
mod dispatch;
mod election;
mod evacuation;
mod feed;
pub mod freshness;
pub mod heartbeat;
pub mod ingress;
mod job_store;
mod journal;
mod large_job;
mod large_progress;
mod load;
pub mod log;
pub mod metrics;
pub mod node;
mod owned_row;
mod owner;
pub mod packing;
mod peer;
mod polling;
pub mod profile;
mod record;
pub mod report;
mod request;
mod request_memory;
mod roster;
pub mod roster_rows;
pub mod rtt;
pub mod segments;
pub mod sharing;
mod silence;
pub mod stall;
pub mod sweep;
mod tombstone;
pub mod traffic;
