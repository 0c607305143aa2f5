//! Whether a worker may take new work, and if not, why and until when.

use std::time::Duration;

use basilbridge_common::unit::Millis;

use crate::worker::Worker;

/// Time after the last answer during which a worker still gets new work: the longest poll, and its
/// round trip.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Why a worker may take no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The list of workers does not name it.
    Unlisted,
    /// It is about to leave.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// It does not answer.
    Unresponsive,
    /// No poll has been answered by the boot that the list names. The poll that a boot answers also
    /// raises its epoch to that of this owner.
    Rebooted,
    /// The store has not confirmed the claim since its boot first answered, so a later owner may know
    /// another boot of it only; see [`crate::tenure`].
    Unconfirmed,
    /// The next owner would not know that it may run something; see [`Engine::roster`].
    ///
    /// [`Engine::roster`]: crate::engine::Engine::roster
    OffRoster,
    /// The store holds a record of what it may run; see [`crate::silence`].
    Recorded,
    /// It has refused an order or stalled a run a short time ago.
    BackingOff,
    /// It has runs of jobs that are not known, so its free capacity is not known either.
    UnknownRuns,
}

/// What keeps a worker from taking new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Obstacle {
    /// The reason.
    pub reason: Reason,
    /// Time when it is over; `None` if only a report, the list of workers or an operator ends it.
    pub until: Option<Millis>,
}

impl Obstacle {
    fn lasting(reason: Reason) -> Self {
        Self {
            reason,
            until: None,
        }
    }
}

/// Returns what keeps a worker from taking new work, or `None` if it may take work. Of several
/// obstacles, returns the one that is likely to last longest.
pub fn obstacle(worker: &Worker, now: Millis) -> Option<Obstacle> {
    let is_responsive = !worker.unresponsive
        && worker
            .last_response
            .is_some_and(|at| now.since(at) < RESPONSE_TIMEOUT);
    let reason = if !worker.listed {
        Reason::Unlisted
    } else if worker.info.leaving {
        Reason::Leaving
    } else if worker.evacuated {
        Reason::Evacuated
    } else if worker.boot != Some(worker.info.boot) {
        Reason::Rebooted
    } else if !is_responsive {
        Reason::Unresponsive
    } else if !worker.is_boot_confirmed {
        Reason::Unconfirmed
    } else if !worker.is_on_roster {
        Reason::OffRoster
    } else if worker.is_recorded {
        Reason::Recorded
    } else if worker.avoid_until > now {
        return Some(Obstacle {
            reason: Reason::BackingOff,
            until: Some(worker.avoid_until),
        });
    } else if !worker.runs.are_known() {
        Reason::UnknownRuns
    } else {
        return None;
    };
    Some(Obstacle::lasting(reason))
}
