//! An entry VM that schedules jobs of steps on a platform with a store.
//!
//! Every VM takes jobs and answers callers from the store. One of them at a time owns the workers
//! and runs the [`basilbridge_workflow::engine::Engine`]; any other takes over when it falls
//! silent. `docs/design/programs.md` shows the programs and what they write.

mod adviser;
mod announce;
pub mod clients;
pub mod config;
pub mod configuration;
mod dispatch;
mod feed;
pub mod ingress;
mod intake;
mod journal;
mod load;
pub mod log;
mod looks;
pub mod metrics;
pub mod node;
mod owner;
mod peer;
mod record;
mod request;
mod sweep;
mod title;
pub mod wake;
