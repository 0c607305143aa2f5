//! Resource limits of teams, divided into allotments of shards.
//!
//! The allotments of a team never add up to more than its limit when they are granted, so the owner
//! of a shard can start tasks within the shard's allotment without coordination. See
//! `docs/design/limits.md`.

use std::collections::BTreeSet;

use basilbridge_common::{
    id::{
        Shard,
        Version, //
    },
    unit::Resources, //
};
use basilbridge_derives::data;

/// Divisor that yields the fraction of an amount that is kept as headroom.
const HEADROOM_DIVISOR: u64 = 4;

/// Divisor that yields the fraction of the free amount that a single grant may take beyond its
/// minimum.
const GRANT_DIVISOR: u64 = 2;

/// Zero in every dimension.
pub(crate) const ZERO: Resources = Resources {
    cpu_millis: 0,
    memory_mib: 0,
    accelerators: 0,
};

/// The limit of a team and the amount of it that is granted to all shards.
#[data]
#[derive(Default)]
pub struct Pool {
    /// The limit of the team.
    pub limit: Resources,
    /// The version of the configuration that set the limit.
    pub version: Version,
    /// The sum of the allotments of all shards.
    pub granted: Resources,
    /// The shards whose request could not be granted. While there are any, the other shards release
    /// a part of their allotments.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub waiting: BTreeSet<Shard>,
}

/// A change of its allotment that a shard requests from a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Raises the allotment so that waiting tasks can start.
    Raise {
        /// The amount that lets all waiting tasks start.
        wanted: Resources,
        /// The amount that lets one more task start. A smaller grant is useless.
        minimum: Resources,
    },
    /// Raises the allotment to cover running tasks that exceed it. A partial grant is useful.
    Cover(Resources),
    /// Lowers the allotment by this amount.
    Lower(Resources),
}

impl Pool {
    /// Sets the limit if `version` is newer than that of the current limit.
    pub fn set_limit(&mut self, limit: Resources, version: Version) {
        if version > self.version {
            self.limit = limit;
            self.version = version;
        }
    }

    /// Returns the amount granted beyond the limit. It is zero unless the limit was lowered.
    pub fn excess(&self) -> Resources {
        self.granted.minus(&self.limit)
    }

    /// Grants about `wanted` and returns the amount, which is zero if less than `minimum` is free.
    ///
    /// Beyond `minimum`, a grant takes at most a fraction of the free amount, so that the first
    /// shard to ask leaves some for the next. Headroom beyond `wanted` is granted while the pool is
    /// not scarce.
    pub fn grant(&mut self, wanted: &Resources, minimum: &Resources) -> Resources {
        let free = self.limit.minus(&self.granted);
        if !minimum.fits(&free) {
            return ZERO;
        }
        let spare = free.minus(minimum);
        let headroom = match self.is_scarce() {
            true => ZERO,
            false => headroom(&headroom(&spare)),
        };
        let max_grant = minimum.plus(&grant_share(&spare));
        let granted = wanted.plus(&headroom).max(minimum).min(&max_grant);
        self.granted = self.granted.plus(&granted);
        granted
    }

    /// Returns whether more than half of the limit is granted in any dimension.
    pub fn is_scarce(&self) -> bool {
        !self.granted.times(2).fits(&self.limit)
    }

    /// Grants at most `wanted` for tasks that already run, and returns the amount.
    pub fn cover(&mut self, wanted: &Resources) -> Resources {
        let granted = wanted.min(&self.limit.minus(&self.granted));
        self.granted = self.granted.plus(&granted);
        granted
    }

    /// Applies a change and returns the granted amount.
    pub fn apply(&mut self, change: &Change) -> Resources {
        match change {
            Change::Raise { wanted, minimum } => self.grant(wanted, minimum),
            Change::Cover(wanted) => self.cover(wanted),
            Change::Lower(amount) => {
                self.release(amount);
                ZERO
            }
        }
    }

    /// Returns whether [`Pool::apply`] would carry out a change at least in part.
    pub fn can_apply(&self, change: &Change) -> bool {
        match change {
            Change::Lower(_) => true,
            change => self.clone().apply(change) != ZERO,
        }
    }

    /// Returns `amount` of an allotment to the pool.
    pub fn release(&mut self, amount: &Resources) {
        self.granted = self.granted.minus(amount);
    }
}

/// Returns the fraction of a free amount that one grant may take. It is rounded up, or the last
/// task that fits the limit would never be granted.
fn grant_share(amount: &Resources) -> Resources {
    amount.zip_with(amount, |amount, _| amount.div_ceil(GRANT_DIVISOR))
}

/// Returns the headroom for an amount, rounded down.
pub(crate) fn headroom(amount: &Resources) -> Resources {
    amount.zip_with(amount, |amount, _| amount / HEADROOM_DIVISOR)
}

/// Returns the part of an allotment that a shard releases while another shard waits. It is rounded
/// up so that even the smallest allotment is released.
pub(crate) fn release_share(held: &Resources) -> Resources {
    held.zip_with(held, |held, _| held.div_ceil(HEADROOM_DIVISOR))
}

/// Returns the share of `excess` of a shard that holds `held` out of `granted`, rounded up.
pub(crate) fn proportional_share(
    excess: &Resources,
    held: &Resources,
    granted: &Resources,
) -> Resources {
    let product = excess.zip_with(held, |excess, held| excess.saturating_mul(held));
    product.zip_with(granted, |product, granted| product.div_ceil(granted.max(1)))
}
