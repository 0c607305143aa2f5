//! Tests of the engine with workers and a store that keep their contracts, on a manual clock.

mod advice;
mod capacity;
mod crashes;
mod election;
mod fleet;
mod jobs;
mod leases;
mod links;
mod overload;
mod pace;
mod past_use;
mod ranks;
mod retries;
mod schedules;
mod sharing;
mod simulation;
mod util;
