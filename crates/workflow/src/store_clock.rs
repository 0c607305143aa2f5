//! The clock of the store, by which owners on different VMs tell each other times.
//!
//! The VMs have no clock in common: their times of day differ, and their steady clocks start with
//! them. Each answer of the store names the time of its steady clock, so a time can be handed on by
//! it. It is converted twice, and each time it may only become later.

use basilbridge_common::unit::Millis;

/// A reading of the store's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// Time of this VM when the call was sent.
    pub sent: Millis,
    /// Time of this VM when the answer was received.
    pub received: Millis,
    /// Time of the store in the answer.
    pub store: Millis,
}

impl Reading {
    /// Returns the time of the store at the time `local` of this VM, or a little later.
    pub fn to_store(&self, local: Millis) -> Millis {
        convert(local, self.sent, self.store)
    }

    /// Returns the time of this VM at the time `store` of the store, or a little later.
    pub fn to_local(&self, store: Millis) -> Millis {
        convert(store, self.store, self.received)
    }
}

/// Returns the time that is as far from `to` as `time` is from `from`.
fn convert(time: Millis, from: Millis, to: Millis) -> Millis {
    Millis((to.0 + time.0).saturating_sub(from.0))
}
