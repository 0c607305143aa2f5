//! Tests of entry VMs against an in-memory platform.

mod advice;
mod elections;
mod fake_platform;
mod freshness;
mod logs;
mod requests;
mod rtt;
mod stalls;
mod traffic;
mod vm;
