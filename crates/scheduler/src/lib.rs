//! The decisions: placement, shares, limits and ownership.
//!
//! Nothing here does I/O, reads a clock or waits, so that each decision is tested and measured
//! alone. Times come in as [`Millis`](basilbridge_common::unit::Millis).

pub mod allotment;
pub mod attribution;
mod decision;
pub mod estimate;
mod feedback;
pub mod gossip;
pub mod headroom;
pub mod limit;
pub mod placement;
pub mod policy;
mod preemption;
pub mod queue;
mod reservation;
pub mod retry;
pub mod route;
pub mod shard;
pub mod share;
pub mod shed;
pub mod task;
pub mod usage;
