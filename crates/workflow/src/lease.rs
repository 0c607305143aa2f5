//! When the leases of one worker are guaranteed to have expired.
//!
//! An owner that gets no answers starts the tasks of a worker elsewhere once their leases are over.
//! Only what was sent counts for that, since any message may arrive late or not at all:
//!
//! - A lease ends by the worker's clock, which may be slow, so its end is an upper bound.
//! - An earlier owner may extend leases until the worker has answered the new owner, and with that
//!   has seen its epoch. How long such a lease may be is told by the [lineage](crate::lineage) of the
//!   owner; nothing is longer than what a worker grants.
//! - A later owner may extend leases as soon as it has claimed the workers. So the end of a lease
//!   counts only if this owner still held the claim then, which a conditional write that was sent
//!   afterwards shows; see [`crate::engine::Engine::confirm_ownership`].

use std::time::Duration;

use basilbridge_common::unit::Millis;

/// Maximum relative error by which a worker's clock is slow, from the workers' contract.
const CLOCK_DRIFT: f64 = 0.02;

/// Time after the end of a lease until its runs count as ended. It covers the time that the worker
/// takes to end them.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    /// Clock of the worker, in milliseconds.
    clock: u64,
    /// Time of the reading, or later.
    at: Millis,
}

/// The leases that one boot of a worker may hold.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    /// Time when the boot first answered this owner, or later.
    answered_at: Option<Millis>,
    reading: Option<Reading>,
    /// End of the longest lease that was sent, by the worker's clock.
    sent_end: u64,
}

impl Lease {
    /// Returns whether an answer with this clock is older than one that was read before.
    ///
    /// Answers on different connections can overtake each other.
    pub fn is_stale(&self, clock: u64) -> bool {
        self.reading.is_some_and(|reading| clock < reading.clock)
    }

    /// Records an answer with the worker's clock, read at `at` or before.
    pub fn read_clock(&mut self, clock: u64, at: Millis) {
        self.answered_at.get_or_insert(at);
        self.reading = Some(Reading { clock, at });
    }

    /// Returns the worker's clock at `now` or a little less, or `None` if it is not known.
    pub fn clock_at(&self, now: Millis) -> Option<u64> {
        let reading = self.reading?;
        let passed = now.since(reading.at).mul_f64(1.0 - CLOCK_DRIFT);
        Some(reading.clock + passed.as_millis() as u64)
    }

    /// Returns the time when the boot first answered this owner, or later.
    pub fn answered_at(&self) -> Option<Millis> {
        self.answered_at
    }

    /// Returns the end of a lease of `length` from `base` on, which is `now` or earlier, by the
    /// worker's clock, or `None` if that clock is not known.
    pub fn extend(&mut self, length: Duration, base: Millis, now: Millis) -> Option<u64> {
        let remaining = length.saturating_sub(now.since(base));
        let end = self.clock_at(now)? + remaining.as_millis() as u64;
        self.sent_end = self.sent_end.max(end);
        Some(self.sent_end)
    }

    /// Returns the end of the longest lease that was sent, by the worker's clock, or `None` if that
    /// clock is not known.
    pub fn sent_end(&self) -> Option<u64> {
        self.reading.map(|_| self.sent_end)
    }

    /// Returns the time from which no run holds a lease, unless the worker answers before or
    /// another owner extends it. `earlier_length` is the longest lease of the owners before this one.
    /// Returns `None` if the boot has not answered this owner.
    pub fn end(&self, earlier_length: Duration) -> Option<Millis> {
        let (answered_at, reading) = (self.answered_at?, self.reading?);
        let remaining = Duration::from_millis(self.sent_end.saturating_sub(reading.clock));
        let own_end = reading.at.after(worst_case(remaining));
        Some(own_end.max(answered_at.after(worst_case(earlier_length))))
    }
}

/// Returns the length of the leases of a worker that is about to leave, which is polled every `wait`.
///
/// Nothing shows that it has left but the end of its leases, and its tasks wait for that. So they
/// are shorter than usual, by as much as the loss of one poll allows.
pub fn before_departure(wait: Duration) -> Duration {
    const POLL_TIMEOUT: Duration = Duration::from_millis(500);
    wait * 2 + POLL_TIMEOUT
}

/// Returns the longest time that a lease of `length` by a worker's clock may take.
pub fn worst_case(length: Duration) -> Duration {
    length.div_f64(1.0 - CLOCK_DRIFT) + EXPIRY_MARGIN
}
