//! Points in time and amounts of resources.

use std::time::Duration;

use basilbridge_derives::{
    data,
    id, //
};

/// A point in time, in milliseconds since the Unix epoch, as the timer service returns it.
#[id]
#[derive(Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the point in time that is `duration` after this one.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_millis() as u64))
    }

    /// Returns the time that has passed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// An amount of the resources that a VM provides to tasks.
#[data]
#[derive(Copy, Eq, Default)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// The number of whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether this amount is at most `capacity` in each dimension.
    pub fn fits(&self, capacity: &Self) -> bool {
        self.cpu_millis <= capacity.cpu_millis
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the sum in each dimension, saturating at the largest value.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_add)
    }

    /// Returns the difference in each dimension, saturating at zero.
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

    /// Returns each dimension multiplied by `count`, saturating at the largest value.
    #[must_use]
    pub fn times(&self, count: u64) -> Self {
        self.zip_with(self, |amount, _| amount.saturating_mul(count))
    }

    /// Returns the largest fraction of `total` that this amount takes in any dimension.
    ///
    /// This is the dominant share of dominant-resource fairness. A dimension in which `total` is
    /// zero counts as infinite if this amount is not zero there, and as zero otherwise.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let fraction = |amount: u64, total: u64| match (amount, total) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (amount, total) => amount as f64 / total as f64,
        };
        fraction(self.cpu_millis, total.cpu_millis)
            .max(fraction(self.memory_mib, total.memory_mib))
            .max(fraction(self.accelerators, total.accelerators))
    }

    /// Returns the result of `combine` for each dimension of both amounts.
    #[must_use]
    pub fn zip_with(&self, other: &Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_millis: combine(self.cpu_millis, other.cpu_millis),
            memory_mib: combine(self.memory_mib, other.memory_mib),
            accelerators: combine(self.accelerators, other.accelerators),
        }
    }
}
