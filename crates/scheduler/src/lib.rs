//! Scheduling logic: placement, fair shares, limits, preemption and routing.
//!
//! The crate performs no I/O, reads no clock and never blocks, so that each decision can be tested
//! and benchmarked in isolation. Callers pass the current time as
//! [`Millis`](basilbridge_common::unit::Millis).

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
