//! How much room is kept free for urgent work.
//!
//! Answers the load in which long tasks fill all workers just before short urgent ones come: a
//! short task waits for a stop to take effect, which is longer than its objective leaves. See
//! `docs/design/waiting.md`.

use basilbridge_common::unit::Resources;

/// The part of a pool's processors, and of a team's cap, that is kept free for the most urgent
/// queue: what a burst of it asks for on top of its mean on the users' standard days.
const KEPT_PART: f64 = 0.15;

/// Says whether less urgent work of `charge` may take of what is free in a pool.
pub fn admits(free_cpu: u64, capacity_cpu: u64, charge_cpu: u64) -> bool {
    let kept = (capacity_cpu as f64 * KEPT_PART) as u64;
    free_cpu >= charge_cpu + kept
}

/// Returns the part of a team's cap that its less urgent work may use.
///
/// Without it a team that fills its cap with long tasks would hold up its own urgent ones.
pub fn shared_part(cap: &Resources) -> Resources {
    let part = |amount: u64| (amount as f64 * (1.0 - KEPT_PART)).ceil() as u64;
    Resources {
        cpu_millis: part(cap.cpu_millis),
        memory_mib: part(cap.memory_mib),
        accelerators: part(cap.accelerators),
    }
}
