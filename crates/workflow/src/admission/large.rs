//! Whether the owner has room for a job of thousands of tasks.
//!
//! Answers the load of many such jobs at once, each in a legal body: the owner keeps some hundred
//! bytes for each of their steps and tasks until they are over, ran out of memory, and so did its
//! successor. See `docs/design/client-memory.md`.

use crate::job::{
    Spec,
    Step, //
};

/// The memory of a step and of its stage in each occurrence, in bytes.
const PER_STAGE: u64 = 400;

/// The memory of a task, in bytes.
const PER_TASK: u64 = 300;

/// The memory of a dependency between two steps, in bytes.
const PER_DEPENDENCY: u64 = 8;

/// The memory from which a job counts as large, in bytes: that of some 200 tasks. Other jobs are
/// bounded by the rates of their teams.
const LARGE: u64 = 64 * 1024;

/// The part of a VM's memory that large jobs may take while it is the owner.
const MEMORY_DIVISOR: u64 = 8;

/// Returns about how much memory an owner needs for a job, in bytes.
pub fn footprint(spec: &Spec) -> u64 {
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.count)).sum();
    let stages = (spec.steps.len() as u64).saturating_mul(PER_STAGE);
    let once = stages.saturating_add(tasks.saturating_mul(PER_TASK));
    let occurrences = once.saturating_mul(spec.occurrences().into());
    occurrences.saturating_add(text_bytes(spec))
}

/// Returns the memory of what the steps of all occurrences share.
fn text_bytes(spec: &Spec) -> u64 {
    let of_step = |step: &Step| {
        let names = [&step.label, &step.data_rack].into_iter().flatten();
        let names: usize = names.map(|name| name.len()).sum();
        names as u64 + PER_DEPENDENCY * step.after.len() as u64
    };
    let steps: u64 = spec.steps.iter().map(of_step).sum();
    steps + spec.payload.len() as u64
}

/// Returns whether only the owner may accept a job that needs this memory.
pub fn is_large(footprint: u64) -> bool {
    footprint >= LARGE
}

/// Returns whether an owner with so much memory may accept a large job beside large ones that need
/// `held`. One that is alone is always accepted.
pub fn admits(footprint: u64, held: u64, memory_bytes: u64) -> bool {
    held == 0 || held.saturating_add(footprint) <= memory_bytes / MEMORY_DIVISOR
}
