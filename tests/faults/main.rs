//! Tests of a cell whose VMs, workers and store fail, on one paused clock.

mod cell;
mod deposed;
mod evacuation;
mod fault;
mod fences;
mod history;
mod journal;
mod leaving;
mod outages;
mod ownership;
mod schedules;
mod work;
