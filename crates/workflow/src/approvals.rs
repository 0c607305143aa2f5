//! How many workers a call to the advice service names.
//!
//! A call should name enough workers that no second one is needed, and no more, since it takes
//! longer with each. See `docs/design/advice.md`.

/// Number of workers over which approvals are averaged: five calls of the size that the users' time
/// objective assumes.
const APPROVALS_MEMORY: f64 = 150.0;

/// Margin of the expected number of approvals, in standard deviations. A second call costs as much
/// as 70 more workers in the first one.
const APPROVALS_MARGIN: f64 = 2.0;

/// The workers of a queue that the service has lately approved.
#[derive(Debug, Clone, Copy, Default)]
pub struct Approvals {
    approved: f64,
    requested: f64,
}

impl Approvals {
    /// Records a reply.
    pub fn record(&mut self, approved: usize, requested: usize) {
        self.approved += approved as f64;
        self.requested += requested as f64;
        if self.requested > APPROVALS_MEMORY {
            let factor = APPROVALS_MEMORY / self.requested;
            self.approved *= factor;
            self.requested *= factor;
        }
    }

    /// Returns the expected fraction of workers that are approved. Without any reply, approval and
    /// refusal are equally likely.
    pub fn rate(&self) -> f64 {
        (self.approved + 0.5) / (self.requested + 1.0)
    }

    /// Returns whether there was a reply.
    pub fn is_known(&self) -> bool {
        self.requested > 0.0
    }
}

/// Returns how many of the workers have to be named for `tasks` tasks, given whether each is known
/// to be approved and how many of the tasks it has capacity for. A worker without capacity counts
/// as if it gets some in time, since more names do not help if all are busy.
pub fn sufficient_count(
    workers: impl IntoIterator<Item = (bool, usize)>,
    tasks: usize,
    rate: f64,
) -> usize {
    let (mut mean, mut variance) = (0.0, 0.0);
    let mut count = 0;
    for (is_known, room) in workers {
        let chance = if is_known { 1.0 } else { rate };
        let room = room.max(1) as f64;
        mean += room * chance;
        variance += room * room * chance * (1.0 - chance);
        count += 1;
        if mean - APPROVALS_MARGIN * f64::sqrt(variance) >= tasks as f64 {
            break;
        }
    }
    count
}
