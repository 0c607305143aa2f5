//! How much room is kept free for urgent work.
//!
//! Answers the load in which long tasks fill all workers just before short urgent ones come: a
//! short task waits for a stop to take effect, which is longer than its objective leaves. See
//! `docs/design/waiting.md`.

/// The part of a pool's processors that is kept free for the most urgent queue: what its bursts
/// ask for on top of its mean, on the users' standard days.
const KEPT_PART: f64 = 0.10;

/// Says whether less urgent work of `charge` may take of what is free in a pool.
pub fn admits(free_cpu: u64, capacity_cpu: u64, charge_cpu: u64) -> bool {
    let kept = (capacity_cpu as f64 * KEPT_PART) as u64;
    free_cpu >= charge_cpu + kept
}
