//! The engine against workers and a store that keep their contracts, on a manual clock.

mod cell;
mod fleet;
mod jobs;
mod overload;
mod schedules;
mod util;
