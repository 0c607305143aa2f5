//! How much room is kept free for interactive work.

use std::time::Duration;

use basilbridge_common::unit::{
    Millis,
    Resources, //
};

/// How long it takes until half of a past peak is forgotten.
pub const HALF_LIFE: Duration = Duration::from_secs(60);

/// The largest part of a shard that is kept free, as one in this many.
pub const LARGEST_PART: u64 = 8;

/// The peak of what interactive work used of late.
#[derive(Debug, Default)]
pub struct Headroom {
    used: Resources,
    running: u64,
    peak: Peak,
    at: Millis,
}

#[derive(Debug, Default, Clone, Copy)]
struct Peak {
    cpu_millis: f64,
    memory_mib: f64,
    running: f64,
}

impl Headroom {
    /// Counts an interactive task that starts.
    pub fn start(&mut self, need: &Resources, now: Millis) {
        self.used = self.used.plus(need);
        self.running += 1;
        self.decay(now);
        self.peak.cpu_millis = self.peak.cpu_millis.max(self.used.cpu_millis as f64);
        self.peak.memory_mib = self.peak.memory_mib.max(self.used.memory_mib as f64);
        self.peak.running = self.peak.running.max(self.running as f64);
    }

    /// Counts an interactive task that ends.
    pub fn end(&mut self, need: &Resources) {
        self.used = self.used.minus(need);
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the room and the slots that other kinds leave free at `now`.
    pub fn keep(&mut self, capacity: &Resources, slots: u64, now: Millis) -> (Resources, u64) {
        self.decay(now);
        let room = |peak: f64, used: u64, whole: u64| {
            (peak as u64).saturating_sub(used).min(whole / LARGEST_PART)
        };
        let keep = Resources {
            cpu_millis: room(
                self.peak.cpu_millis,
                self.used.cpu_millis,
                capacity.cpu_millis,
            ),
            memory_mib: room(
                self.peak.memory_mib,
                self.used.memory_mib,
                capacity.memory_mib,
            ),
            accelerators: 0,
        };
        (keep, room(self.peak.running, self.running, slots))
    }

    fn decay(&mut self, now: Millis) {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let left = 0.5_f64.powf(half_lives);
        self.peak.cpu_millis *= left;
        self.peak.memory_mib *= left;
        self.peak.running *= left;
        self.at = self.at.max(now);
    }
}
