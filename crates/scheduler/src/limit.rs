//! Upper limits of teams, kept as allotments of shards.
//!
//! The sum of a team's allotments is never granted over its limit, so an owner that starts work
//! within its shard's allotment asks nobody. See `docs/design/limits.md`.

use std::collections::BTreeSet;

use basilbridge_common::{
    id::{
        Shard,
        Version, //
    },
    unit::Resources, //
};
use basilbridge_derives::data;

/// The part of the use that is kept as headroom, as a divisor.
const HEADROOM_DIVISOR: u64 = 4;

/// The part of the free limit that one grant takes beyond what is needed at once, as a divisor.
const GRANT_DIVISOR: u64 = 2;

/// No amount in any dimension.
pub(crate) const NOTHING: Resources = Resources {
    cpu_millis: 0,
    memory_mib: 0,
    accelerators: 0,
};

/// What is granted of a team's limit, over all shards.
#[data]
#[derive(Default)]
pub struct Pool {
    /// The limit.
    pub limit: Resources,
    /// The version of the configuration that set the limit.
    pub version: Version,
    /// The sum of all allotments.
    pub granted: Resources,
    /// The shards that want some and found nothing left, so that the others give a part back.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub waiting: BTreeSet<Shard>,
}

/// What a shard asks of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Raise the allotment.
    Raise {
        /// As much as is of use.
        wanted: Resources,
        /// What is needed for one more task; less is of no use.
        least: Resources,
    },
    /// Raise the allotment by any part of what runs over it already.
    Cover(Resources),
    /// Lower the allotment.
    Lower(Resources),
}

impl Pool {
    /// Takes a limit, unless it is older than the present one.
    pub fn set_limit(&mut self, limit: Resources, version: Version) {
        if version > self.version {
            self.limit = limit;
            self.version = version;
        }
    }

    /// Returns what is granted over the limit, which happens only after the limit was lowered.
    pub fn excess(&self) -> Resources {
        self.granted.minus(&self.limit)
    }

    /// Grants at most `wanted`, and nothing if less than `least` is free.
    ///
    /// A grant takes at most a part of what is free beyond `least`, so that the first shard to ask
    /// leaves something to the next. While the limit is far off, it takes some headroom too.
    pub fn grant(&mut self, wanted: &Resources, least: &Resources) -> Resources {
        let free = self.limit.minus(&self.granted);
        if !least.fits(&free) {
            return NOTHING;
        }
        let spare = free.minus(least);
        let headroom = match self.is_scarce() {
            true => NOTHING,
            false => headroom(&headroom(&spare)),
        };
        let most = least.plus(&part(&spare));
        let granted = wanted.plus(&headroom).max(least).min(&most);
        self.granted = self.granted.plus(&granted);
        granted
    }

    /// Says whether less than half of the limit is free in a dimension that the limit allows.
    pub fn is_scarce(&self) -> bool {
        !self.granted.times(2).fits(&self.limit)
    }

    /// Grants at most `wanted` for work that runs already.
    pub fn cover(&mut self, wanted: &Resources) -> Resources {
        let granted = wanted.min(&self.limit.minus(&self.granted));
        self.granted = self.granted.plus(&granted);
        granted
    }

    /// Carries out a change and returns what was granted.
    pub fn apply(&mut self, change: &Change) -> Resources {
        match change {
            Change::Raise { wanted, least } => self.grant(wanted, least),
            Change::Cover(wanted) => self.cover(wanted),
            Change::Lower(amount) => {
                self.release(amount);
                NOTHING
            }
        }
    }

    /// Says whether a change would be carried out at least in part.
    pub fn can_apply(&self, change: &Change) -> bool {
        match change {
            Change::Lower(_) => true,
            change => self.clone().apply(change) != NOTHING,
        }
    }

    /// Takes back a part of an allotment.
    pub fn release(&mut self, amount: &Resources) {
        self.granted = self.granted.minus(amount);
    }
}

/// Returns a part of each dimension, rounded up: otherwise the last task of a limit would never fit.
fn part(amount: &Resources) -> Resources {
    amount.zip(amount, |amount, _| amount.div_ceil(GRANT_DIVISOR))
}

pub(crate) fn headroom(amount: &Resources) -> Resources {
    amount.zip(amount, |amount, _| amount / HEADROOM_DIVISOR)
}

/// Returns the part of an allotment that a shard gives back when another one waits, rounded up so
/// that the smallest allotment goes round too.
pub(crate) fn concession(held: &Resources) -> Resources {
    held.zip(held, |held, _| held.div_ceil(HEADROOM_DIVISOR))
}

/// Returns the part of `excess` that falls to a shard that holds `held` of `granted`, rounded up.
pub(crate) fn proportion(excess: &Resources, held: &Resources, granted: &Resources) -> Resources {
    let product = excess.zip(held, |excess, held| excess.saturating_mul(held));
    product.zip(granted, |product, granted| product.div_ceil(granted.max(1)))
}
