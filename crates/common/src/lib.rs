//! Identifiers, units, error kinds and the timer service, which all packages share.
//!
//! This package does no I/O. See `docs/ARCHITECTURE.md` for the dependencies between packages.

pub mod backoff;
pub mod call;
pub mod crash;
pub mod error;
pub mod flag;
pub mod id;
pub mod job;
pub mod timer;
pub mod unit;
pub mod worker;
