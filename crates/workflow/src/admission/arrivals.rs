//! The work within the rates of teams that arrives.
//!
//! Work that is late, or in excess of a rate, gets only the capacity that this work leaves. With 24
//! jobs a second within rates on workers that end 40, others wait 2.5 times as long as on workers of
//! their own.

use std::collections::HashMap;

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

/// Time constant of the averages, in seconds: that of the savings of teams, so that a burst which a
/// team has saved for counts as little more than its mean.
const AVERAGE_SECONDS: f64 = 4.0;

/// An amount of work: thousandths of resources times seconds, and seconds of calls for advice.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Amount {
    /// Processors, memory and accelerators.
    pub resources: [f64; 3],
    /// Short and long calls for advice.
    pub advice: [f64; 2],
}

impl Amount {
    /// Returns the sum of this amount, multiplied by `factor`, and `other`.
    #[must_use]
    pub fn scaled_plus(&self, factor: f64, other: &Self) -> Self {
        let mut sum = *other;
        for (sum, amount) in sum.resources.iter_mut().zip(self.resources) {
            *sum += amount * factor;
        }
        for (sum, amount) in sum.advice.iter_mut().zip(self.advice) {
            *sum += amount * factor;
        }
        sum
    }
}

/// The moving average of the work that arrives for each pool.
#[derive(Debug, Default)]
pub struct Arrivals {
    pools: HashMap<Name, (Amount, Millis)>,
}

impl Arrivals {
    /// Counts work for a pool that was accepted at `at`.
    pub fn record(&mut self, pool: &Name, amount: &Amount, at: Millis) {
        let (sum, since) = self.pools.entry(pool.clone()).or_default();
        let decay = decay(*since, at);
        *sum = sum.scaled_plus(decay, amount);
        *since = at.max(*since);
    }

    /// Returns the work that arrives for a pool in a second.
    pub fn per_second(&self, pool: &str, now: Millis) -> Amount {
        let Some((sum, since)) = self.pools.get(pool) else {
            return Amount::default();
        };
        let factor = decay(*since, now) / AVERAGE_SECONDS;
        sum.scaled_plus(factor, &Amount::default())
    }
}

fn decay(since: Millis, now: Millis) -> f64 {
    (-now.since(since).as_secs_f64() / AVERAGE_SECONDS).exp()
}
