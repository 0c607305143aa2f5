//! The decisions about jobs that are graphs of steps.
//!
//! [`engine::Engine`] takes in what is submitted, what workers report and what the store has kept,
//! and gives back orders for workers, questions for the advice service and records to store. It
//! does no I/O and has no clock, so a test can replay any load or fault. `docs/design/programs.md`
//! shows the programs round it.

pub mod active;
pub mod advice;
pub mod advice_request;
pub mod choice;
pub mod election;
pub mod end;
pub mod engine;
pub mod event;
pub mod excess;
pub mod job;
pub mod journal;
pub mod order;
mod place;
pub mod policy;
mod pool;
mod preempt;
pub mod progress;
pub mod rank;
pub mod report;
pub mod reserve;
pub mod schedule;
pub mod stage;
pub mod takeover;
pub mod throttle;
pub mod worker;
