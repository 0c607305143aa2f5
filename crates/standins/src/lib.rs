//! Stand-ins for the platform and for workers, for tests and examples.
//!
//! They check the calls that they receive and count violations of the guarantees, so that tests do
//! not rely on the scheduler's own record. See `docs/design/standins.md`.

pub mod http;
pub mod observations;
pub mod program;
mod simulated_worker;
pub mod store;
pub mod worker;
