//! The order in which waiting work is placed.
//!
//! Under overload not all work fits. A job that is on time is worth several times as much as a late
//! one, and a job that is long past its time objective is worth nothing, so capacity is given out
//! in this order. Work that a team sends in excess of its share waits for all other work that is
//! still worth something. See `docs/design/waiting.md`.

use std::time::Duration;

use basilbridge_common::unit::Millis;

/// Factor by which a job may exceed its time objective and still be worth something, from the
/// users' rules.
pub const LATE_FACTOR: u32 = 3;

/// Fraction of the remaining estimated time that a job takes at least: the estimates of submitters
/// are off by a factor of two either way.
pub const CERTAIN_FRACTION: f64 = 0.5;

/// Time for which a long-running task waits before it precedes all other work: a third of the 3 s
/// within which the users' rules require it to run again.
pub const LONG_RUNNING_WAIT: Duration = Duration::from_millis(1000);

/// Slack up to which a job that is on time stops less urgent runs. It is twice the time that a stop
/// may take, by the workers' contract. A job with more slack waits until tasks end, since what is
/// stopped has to start again and may then be late itself.
const PREEMPTION_SLACK: Duration = Duration::from_millis(1800);

/// Class of a waiting stage. Lower bands are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Band {
    /// A long-running task has waited for at least [`LONG_RUNNING_WAIT`].
    Overdue,
    /// The job can still meet its time objective.
    #[default]
    OnTime,
    /// The job misses its time objective and is still worth something.
    Late,
    /// The job is in excess of the rate that its team is entitled to.
    OverQuota,
    /// The job is worth nothing any more, but was accepted.
    Expired,
}

/// Position in the order of waiting work. Lower ranks are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Rank {
    /// Band of the stage.
    pub band: Band,
    /// Priority of the queue.
    pub priority: u32,
    /// Whether the team is over its share of the pool while other teams wait.
    pub over_share: bool,
    /// Time at which the job has to be finished, or since when the long-running task waits. It moves
    /// back with the past use of the team, by a part of the slack of the job.
    pub deadline: Millis,
}

impl Rank {
    /// Returns the rank in the band [`Band::Overdue`]. A long-running task has to run within
    /// seconds, and its request for advice can wait as long as its start does.
    #[must_use]
    pub fn promoted(self) -> Self {
        Self {
            band: Band::Overdue,
            ..self
        }
    }
}

/// What the rank of a stage depends on.
#[derive(Debug, Clone, Copy)]
pub struct RankInput {
    /// Priority of the queue.
    pub priority: u32,
    /// Time when the job was accepted or its occurrence was due.
    pub start: Millis,
    /// Time within which the job is on time.
    pub objective: Duration,
    /// Whether the tasks of the step run until the job is cancelled.
    pub long_running: bool,
    /// Time since when the first of the tasks waits.
    pub waiting_since: Millis,
    /// Critical path of the unfinished steps.
    pub remaining: Duration,
    /// Whether the job is in excess of the rate that its team is entitled to.
    pub over_quota: bool,
}

/// Returns the rank of a stage at `now`.
pub fn rank(input: &RankInput, now: Millis) -> Rank {
    if input.long_running {
        let overdue = now.since(input.waiting_since) >= LONG_RUNNING_WAIT;
        return Rank {
            band: if overdue { Band::Overdue } else { Band::OnTime },
            priority: input.priority,
            over_share: false,
            deadline: input.waiting_since,
        };
    }
    // A job that can no longer be on time counts as late already. Estimates are rough, so only a
    // part of them is added.
    let age = now.since(input.start) + input.remaining.mul_f64(CERTAIN_FRACTION);
    let band = if input.over_quota {
        Band::OverQuota
    } else if age <= input.objective {
        Band::OnTime
    } else if age <= input.objective * LATE_FACTOR {
        Band::Late
    } else {
        Band::Expired
    };
    Rank {
        band,
        priority: input.priority,
        over_share: false,
        deadline: input.start.after(input.objective),
    }
}

/// Returns whether a stage has no slack left to wait until other tasks end, and would still be in
/// time if some were stopped for it.
pub fn is_pressed(input: &RankInput, now: Millis) -> bool {
    let age = now.since(input.start);
    let is_near = age + input.remaining + PREEMPTION_SLACK >= input.objective;
    (input.long_running || is_near) && rank(input, now).band <= Band::OnTime
}
