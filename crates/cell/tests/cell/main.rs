//! Tests of entry VMs against an in-memory platform.

mod admission;
mod advice;
mod cancellations;
mod delivery;
mod elections;
mod evacuation;
mod fake_platform;
mod freshness;
mod large_jobs;
mod large_progress;
mod logs;
mod profile;
mod requests;
mod rosters;
mod rtt;
mod sharing;
mod stalls;
mod sweep;
mod traffic;
mod vm;
