//! In which order waiting work is placed.
//!
//! Answers the load in which not all work fits. A job on time earns several times what a late one
//! does, and a job that is long past its objective earns nothing, so time is spent in this order;
//! work that a team sends beyond its share waits for the rest. See `docs/design/waiting.md`.

use std::time::Duration;

use basilbridge_common::unit::Millis;

/// By which factor a job may exceed its objective and still be worth something, from the users'
/// rules.
pub const LATE_FACTOR: u32 = 3;

/// The part of the work that an estimate says is left which surely takes that long: the submitters'
/// estimates are off by a factor of two either way.
const SURE_PART: f64 = 0.5;

/// How long a lasting task may wait before it goes ahead of everything: a third of the 3 s within
/// which the users' rules want it at work again.
pub const LASTING_WAIT: Duration = Duration::from_millis(1000);

/// The band that a job is in; lower ones come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Band {
    /// A lasting task that has waited long.
    Overdue,
    /// The job can still meet its objective.
    #[default]
    OnTime,
    /// The job has missed its objective and is still worth something.
    Late,
    /// The job is beyond what its team is owed.
    Excess,
    /// The job is worth nothing any more, but was accepted.
    Hopeless,
}

/// The place in the order; lower ones come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Rank {
    /// The band.
    pub band: Band,
    /// The priority of the queue.
    pub priority: u32,
    /// When the job has to be done, or when the lasting task began to wait.
    pub deadline: Millis,
}

impl Rank {
    /// Returns the same place ahead of all that is not overdue: a lasting task has to be at work
    /// within seconds, and its question may wait as long as its start.
    #[must_use]
    pub fn ahead(self) -> Self {
        Self {
            band: Band::Overdue,
            ..self
        }
    }
}

/// What the place in the order depends on.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// The priority of the queue.
    pub priority: u32,
    /// When the job was accepted, or its occurrence was due.
    pub start: Millis,
    /// How long it may take and be on time.
    pub objective: Duration,
    /// Whether the step lasts.
    pub lasting: bool,
    /// Since when its first task waits.
    pub waiting: Millis,
    /// The longest chain of estimated work that is left.
    pub left: Duration,
    /// Whether the job is beyond what its team is owed.
    pub excess: bool,
}

/// Returns the place of a stage at `now`.
pub fn rank(claim: &Claim, now: Millis) -> Rank {
    if claim.lasting {
        let overdue = now.since(claim.waiting) >= LASTING_WAIT;
        return Rank {
            band: if overdue { Band::Overdue } else { Band::OnTime },
            priority: claim.priority,
            deadline: claim.waiting,
        };
    }
    // What can't be done in time any more is as late as if its time were over; estimates are
    // rough, so only a part of them counts.
    let age = now.since(claim.start) + claim.left.mul_f64(SURE_PART);
    let band = if claim.excess {
        Band::Excess
    } else if age <= claim.objective {
        Band::OnTime
    } else if age <= claim.objective * LATE_FACTOR {
        Band::Late
    } else {
        Band::Hopeless
    };
    Rank {
        band,
        priority: claim.priority,
        deadline: claim.start.after(claim.objective),
    }
}
