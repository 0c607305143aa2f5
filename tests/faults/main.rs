//! What holds while VMs, workers and the store fail, on one paused clock.

mod cell;
mod fault;
mod fences;
mod history;
mod journal;
mod leaving;
mod outages;
mod ownership;
mod schedules;
mod work;
