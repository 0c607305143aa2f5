//! Scheduling and failure handling of jobs that are graphs of steps.
//!
//! [`engine::Engine`] takes submitted jobs, reports of workers and stored progress, and returns
//! orders for workers, requests to the advice service and records to store. It does no I/O and
//! reads no clock, so tests can replay any load or fault. `docs/design/programs.md` describes the
//! programs around it.

pub mod active;
pub mod admission;
pub mod advice;
pub mod advice_request;
mod advice_workers;
pub mod approvals;
pub mod availability;
pub mod budget;
pub mod capacity;
pub mod crash;
mod crash_handling;
pub mod election;
mod electorate;
pub mod engine;
mod evacuation;
pub mod event;
pub mod job;
pub mod journal;
pub mod lease;
pub mod lineage;
pub mod load;
pub mod order;
pub mod pace;
pub mod packed;
mod placement;
pub mod policy;
mod pool;
pub mod possible_use;
mod preemption;
pub mod progress;
pub mod quota;
pub mod rank;
pub mod report;
pub mod reserve;
pub mod retry;
pub mod roster;
pub mod runs;
pub mod schedule;
pub mod segment;
pub mod selection;
pub mod sharing;
pub mod silence;
mod slowness;
pub mod stage;
mod start_record;
pub mod store_clock;
pub mod takeover;
pub mod tenure;
pub mod throttle;
pub mod wait;
pub mod worker;
pub mod worker_reply;
