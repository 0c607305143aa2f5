//! The capacity that is kept free for interactive work.

use std::time::Duration;

use basilbridge_common::unit::{
    Millis,
    Resources, //
};

/// The time in which a past peak decays by half.
pub const PEAK_HALF_LIFE: Duration = Duration::from_secs(60);

/// At most one part in this many of a shard's capacity is kept free.
pub const CAPACITY_PER_HEADROOM: u64 = 8;

/// The usage of interactive work and its recent peak, which decays over time.
#[derive(Debug, Default)]
pub struct Headroom {
    used: Resources,
    running: u64,
    peak: Peak,
    decayed_at: Millis,
}

#[derive(Debug, Default, Clone, Copy)]
struct Peak {
    cpu_millis: f64,
    memory_mib: f64,
    running: f64,
}

impl Headroom {
    /// Records the start of an interactive task.
    pub fn start(&mut self, need: &Resources, now: Millis) {
        self.used = self.used.plus(need);
        self.running += 1;
        self.decay(now);
        self.peak.cpu_millis = self.peak.cpu_millis.max(self.used.cpu_millis as f64);
        self.peak.memory_mib = self.peak.memory_mib.max(self.used.memory_mib as f64);
        self.peak.running = self.peak.running.max(self.running as f64);
    }

    /// Records the end of an interactive task.
    pub fn end(&mut self, need: &Resources) {
        self.used = self.used.minus(need);
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the capacity and slots that other kinds must leave free at `now`: the difference
    /// between the peak and the present usage, up to a limit.
    pub fn required(&mut self, capacity: &Resources, slots: u64, now: Millis) -> (Resources, u64) {
        self.decay(now);
        let reserve = |peak: f64, used: u64, total: u64| {
            (peak as u64)
                .saturating_sub(used)
                .min(total / CAPACITY_PER_HEADROOM)
        };
        let reserved = Resources {
            cpu_millis: reserve(
                self.peak.cpu_millis,
                self.used.cpu_millis,
                capacity.cpu_millis,
            ),
            memory_mib: reserve(
                self.peak.memory_mib,
                self.used.memory_mib,
                capacity.memory_mib,
            ),
            accelerators: 0,
        };
        (reserved, reserve(self.peak.running, self.running, slots))
    }

    fn decay(&mut self, now: Millis) {
        let half_lives = now.since(self.decayed_at).as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        self.peak.cpu_millis *= factor;
        self.peak.memory_mib *= factor;
        self.peak.running *= factor;
        self.decayed_at = self.decayed_at.max(now);
    }
}
