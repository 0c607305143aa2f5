//! Work that is refused before it is accepted, because it would wait in vain.
//!
//! `docs/design/overload.md` weighs the ways.

use std::time::Duration;

use basilbridge_common::{
    job::Kind,
    unit::Millis, //
};

use crate::policy;

/// The part of a new measurement of the time between starts that goes into the learned one.
const INTERVAL_WEIGHT: f64 = 0.05;

/// How many starts are seen before work is refused for its deadline.
const LEAST_STARTS: u64 = 20;

/// The shortest time after which a refused caller is told to come back.
pub const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The longest time after which a refused caller is told to come back.
pub const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Why work is refused; it did not run and will not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// When to come back.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    waiting: usize,
    /// The mean time between starts in seconds while work waits.
    interval: f64,
    starts: u64,
    last: Option<Millis>,
}

/// How fast each kind of work starts.
#[derive(Debug, Default)]
pub struct LoadShedder {
    flows: [Flow; policy::ORDER.len()],
}

impl LoadShedder {
    /// Counts a task that waits.
    pub fn enqueue(&mut self, kind: Kind) {
        self.flow(kind).waiting += 1;
    }

    /// Counts a task that waits no more, and does not start.
    pub fn dequeue(&mut self, kind: Kind) {
        let flow = self.flow(kind);
        flow.waiting = flow.waiting.saturating_sub(1);
    }

    /// Counts a task that starts; its place in the queue is taken back by [`LoadShedder::dequeue`].
    pub fn start(&mut self, kind: Kind, now: Millis) {
        let flow = self.flow(kind);
        if let Some(last) = flow.last
            && flow.waiting > 0
        {
            let interval = now.since(last).as_secs_f64();
            flow.interval += (interval - flow.interval) * INTERVAL_WEIGHT;
            flow.starts += 1;
        }
        flow.last = Some(now);
    }

    /// Returns how long a task that comes now is expected to wait.
    pub fn expected_wait(&self, kind: Kind) -> Duration {
        let flow = &self.flows[policy::position(kind)];
        if flow.starts < LEAST_STARTS {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(flow.interval * flow.waiting as f64)
    }

    /// Refuses work that could not start before its deadline, or that finds `most` others waiting.
    pub fn admit(
        &self,
        kind: Kind,
        deadline: Option<Millis>,
        most: usize,
        now: Millis,
    ) -> Result<(), Refusal> {
        let flow = &self.flows[policy::position(kind)];
        let wait = self.expected_wait(kind);
        let late = deadline.is_some_and(|deadline| now.after(wait) > deadline);
        if !late && flow.waiting < most {
            return Ok(());
        }
        // The queue is as short as the deadline asks for once the excess has been worked off.
        let patience = deadline.map_or(Duration::ZERO, |deadline| deadline.since(now));
        let excess = wait.saturating_sub(patience);
        Err(Refusal {
            retry_after: excess.clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER),
        })
    }

    fn flow(&mut self, kind: Kind) -> &mut Flow {
        &mut self.flows[policy::position(kind)]
    }
}
