//! Amounts with their units.

use std::time::Duration;

use basilbridge_derives::{
    data,
    id, //
};

/// A moment in milliseconds since the Unix epoch, as the timer service tells it.
#[id]
#[derive(Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the moment that lies `duration` after this one.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_millis() as u64))
    }

    /// Returns the time from `earlier` to this moment, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// An amount of what a VM can give to tasks.
#[data]
#[derive(Copy, Eq, Default)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Resources {
    /// Says whether this amount fits into `room` in each dimension.
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Adds `other` in each dimension.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_add)
    }

    /// Takes away `other` in each dimension, down to zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_sub)
    }

    /// Returns the larger of both in each dimension.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip_with(other, u64::max)
    }

    /// Returns the smaller of both in each dimension.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.zip_with(other, u64::min)
    }

    /// Multiplies each dimension by `count`.
    #[must_use]
    pub fn times(&self, count: u64) -> Self {
        self.zip_with(self, |amount, _| amount.saturating_mul(count))
    }

    /// Returns the largest part of `whole` that this amount takes in any dimension.
    ///
    /// This is the dominant share of dominant-resource fairness. A dimension that `whole` lacks
    /// counts only if this amount asks for it, and then as infinite.
    pub fn dominant_share(&self, whole: &Self) -> f64 {
        let part = |amount: u64, total: u64| match (amount, total) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (amount, total) => amount as f64 / total as f64,
        };
        part(self.cpu_millis, whole.cpu_millis)
            .max(part(self.memory_mib, whole.memory_mib))
            .max(part(self.accelerators, whole.accelerators))
    }

    /// Combines both in each dimension.
    #[must_use]
    pub fn zip_with(&self, other: &Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_millis: combine(self.cpu_millis, other.cpu_millis),
            memory_mib: combine(self.memory_mib, other.memory_mib),
            accelerators: combine(self.accelerators, other.accelerators),
        }
    }
}
