//! Tests of the configuration, its audit trail and its keys on several entry VMs.

mod cell;
mod histories;
mod in_force;
mod trail;
