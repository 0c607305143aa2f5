//! Names, units, error kinds and the timer service that every package shares.
//!
//! This package does no I/O. See `docs/ARCHITECTURE.md` for its place among the others.

pub mod backoff;
pub mod call;
pub mod error;
pub mod flag;
pub mod id;
pub mod job;
pub mod timer;
pub mod unit;
pub mod worker;
