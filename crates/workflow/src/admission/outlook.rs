//! What the owner publishes about a shortage.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_derives::data;
use serde_with::DurationMilliSeconds;

/// Time in which a debt of a team is paid back, and the largest debt that is counted, in seconds of
/// its rate. The figures that VMs judge by are up to 0.5 s old, so together they admit more than a
/// team's rate at the beginning of an overload.
pub const DEBT_SECONDS: f64 = 2.0;

/// Tokens that a team has to have left for all its jobs to be admitted, in seconds of its rate.
/// VMs use up what is left independently of each other, and two outlooks are 0.5 s apart.
const AMPLE_SECONDS: f64 = 1.0;

/// The state of one team that is near or over its rate.
#[data]
#[derive(Copy)]
pub struct Team {
    /// Jobs that the team may still send; negative while it has a debt.
    pub tokens: f64,
    /// Jobs per second that it is entitled to.
    pub rate: f64,
    /// Estimated jobs per second that it sends to all VMs together, refused ones included.
    pub offered: f64,
    /// Jobs per second at which refused callers of all VMs return, within what its usual load leaves.
    pub return_rate: f64,
}

impl Team {
    /// Returns whether the team may send as many jobs as it likes until the next outlook.
    pub fn is_ample(&self) -> bool {
        self.tokens >= self.rate * AMPLE_SECONDS && self.tokens >= 1.0
    }

    /// Returns the fraction of the team's jobs that all VMs admit, so that it gets its rate, plus
    /// what it has saved or less what it owes.
    ///
    /// A fraction needs no knowledge of how callers are spread over VMs. A number of jobs for each
    /// VM would be used up by some VMs and left by others.
    pub fn fraction(&self) -> f64 {
        if self.is_ample() {
            return 1.0;
        }
        let rate = self.rate + self.tokens / DEBT_SECONDS;
        if rate >= self.offered {
            1.0
        } else {
            (rate / self.offered).max(0.0)
        }
    }
}

/// The shortage that jobs of one queue meet.
#[data]
#[derive(Copy)]
pub struct Queue {
    /// Whether work within the rates of teams waits for the pool of the queue, its advice or the
    /// owner.
    pub contended: bool,
    /// Time until a job that arrives now starts, if it precedes all late work.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub on_time: Duration,
    /// The same for a job that waits for all work on time first.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub late: Duration,
    /// The same for a job in excess of its team's rate, which waits for all other work that is
    /// worth something.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub excess: Duration,
    /// Number of jobs of the queue that wait.
    pub waiting: u32,
}

/// The shortage of a cell, as its owner sees it. Teams and queues without a shortage are left out.
#[data]
pub struct Outlook {
    /// Time when it was made, by the clock of the owner.
    pub made_at: Millis,
    /// Number of owners before the one that made it.
    pub epoch: u32,
    /// Teams that are near or over their rate.
    pub teams: BTreeMap<Name, Team>,
    /// Queues for whose jobs something is short.
    pub queues: BTreeMap<Name, Queue>,
}

impl Outlook {
    /// Returns whether `other` was made after this one.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.epoch, self.made_at) < (other.epoch, other.made_at)
    }
}
