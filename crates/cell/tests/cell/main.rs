//! Entry VMs against a store and workers in memory.

mod logs;
mod outside;
mod requests;
mod stalls;
mod titles;
mod vm;
