//! Capacity that is reserved for urgent work.
//!
//! Long tasks can occupy all workers just before short urgent tasks arrive. A short task would then
//! have to wait until a stop takes effect, which takes longer than its time objective allows. See
//! `docs/design/waiting.md`.

use basilbridge_common::unit::Resources;

/// Fraction of the processors of a pool, and of the cap of a team, that is reserved for the most
/// urgent queue: what a burst of that queue needs in excess of its mean on the users' standard
/// days.
const RESERVED_FRACTION: f64 = 0.15;

/// Returns whether less urgent work that needs `demand_cpu` may use the free capacity of a pool.
/// All values are in thousandths of a core.
pub fn admits(free_cpu: u64, capacity_cpu: u64, demand_cpu: u64) -> bool {
    let reserved = (capacity_cpu as f64 * RESERVED_FRACTION) as u64;
    free_cpu >= demand_cpu + reserved
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
