//! Capacity that is reserved for urgent work.
//!
//! Long tasks can occupy all workers just before short urgent tasks arrive. A short task would then
//! have to wait until a stop takes effect, which takes longer than its time objective allows. See
//! `docs/design/waiting.md`.

use basilbridge_common::unit::Resources;

/// Fraction of the processors and accelerators of a pool, and of the cap of a team, that is reserved
/// for the most urgent queue: what a burst of that queue needs in excess of its mean on the users'
/// standard days.
const RESERVED_FRACTION: f64 = 0.15;

/// Returns whether less urgent work that needs `demand` may use the free capacity of a pool. Only
/// what the work needs counts, and of that processors and accelerators.
pub fn admits(free: &Resources, capacity: &Resources, demand: &Resources) -> bool {
    let admits = |free: u64, capacity: u64, demand: u64| {
        let reserved = (capacity as f64 * RESERVED_FRACTION) as u64;
        demand == 0 || free >= demand.saturating_add(reserved)
    };
    admits(free.cpu_millis, capacity.cpu_millis, demand.cpu_millis)
        && admits(
            free.accelerators,
            capacity.accelerators,
            demand.accelerators,
        )
}

/// Returns the part of the capacity of a pool that less urgent work may not use.
pub fn reserved_part(capacity: &Resources) -> Resources {
    let reserved = |amount: u64| (amount as f64 * RESERVED_FRACTION) as u64;
    Resources {
        cpu_millis: reserved(capacity.cpu_millis),
        memory_mib: 0,
        accelerators: reserved(capacity.accelerators),
    }
}

/// Returns the part of the cap of a team that its less urgent work may use.
///
/// Without this limit a team that fills its cap with long tasks would delay its own urgent tasks.
pub fn unreserved_part(cap: &Resources) -> Resources {
    let unreserved = |amount: u64| (amount as f64 * (1.0 - RESERVED_FRACTION)).ceil() as u64;
    Resources {
        cpu_millis: unreserved(cap.cpu_millis),
        memory_mib: unreserved(cap.memory_mib),
        accelerators: unreserved(cap.accelerators),
    }
}
