//! Stand-ins for the platform and for workers.
//!
//! They check what they are told and count what must never happen, so that a test reads the
//! violations in place of trusting the scheduler's own record. See `docs/design/standins.md`.

pub mod http;
mod machine;
pub mod observations;
pub mod program;
pub mod store;
pub mod worker;
