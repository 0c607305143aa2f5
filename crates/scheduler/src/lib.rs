//! The decisions: placement, shares, limits and ownership.
//!
//! Nothing here does I/O, reads a clock or waits, so that each decision is tested and measured
//! alone. Times come in as [`Millis`](basilbridge_common::unit::Millis).

pub mod allotment;
pub mod gossip;
pub mod limit;
pub mod placement;
pub mod queue;
pub mod route;
pub mod shard;
pub mod usage;
