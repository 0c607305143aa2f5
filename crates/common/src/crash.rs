//! Which runs may have crashed a worker.
//!
//! Both engines use it, each with its own rule of when a task is given up. See
//! `docs/design/crashes.md`.

use std::time::Duration;

use crate::unit::Millis;

/// Time after which a run that its worker lists has not crashed it by being started. A worker that
/// does not survive the start of a task is gone within milliseconds.
pub const PROOF_TIME: Duration = Duration::from_millis(200);

/// Time within which crashes are taken for one event, which covers the ways in which they show.
pub const SAME_TIME: Duration = Duration::from_millis(500);

/// A run on a worker that crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// Number of earlier crashes that its task was blamed for.
    pub crashes: usize,
    /// Time when it was ordered.
    pub started_at: Millis,
    /// Time when it had proved that its start does not crash the worker.
    pub proven_at: Option<Millis>,
}

/// The runs that may have caused a crash.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Attribution {
    /// Their indexes.
    pub blamed: Vec<usize>,
    /// Whether nothing else that the worker ran can have been the cause.
    pub is_clear: bool,
}

impl Suspect {
    fn is_unproven(&self) -> bool {
        self.proven_at.is_none()
    }
}

/// Returns which of the runs of a crashed worker may have crashed it.
///
/// Runs that have just started are blamed, and if there are none, the tasks that were blamed most
/// before. The blame is clear if only one run is left, and the worker had run all others since
/// before it was started.
pub fn blame(suspects: &[Suspect]) -> Attribution {
    let has_unproven = suspects.iter().any(Suspect::is_unproven);
    let worst = suspects.iter().map(|suspect| suspect.crashes).max();
    let is_blamed = |suspect: &Suspect| {
        if has_unproven {
            suspect.is_unproven()
        } else {
            Some(suspect.crashes) == worst
        }
    };
    let indexes = suspects.iter().enumerate();
    let blamed: Vec<usize> = indexes
        .filter(|(_, suspect)| is_blamed(suspect))
        .map(|(index, _)| index)
        .collect();
    let is_clear = match blamed[..] {
        [only] => {
            let mut others = suspects.iter().enumerate();
            others.all(|(index, other)| {
                let proven_at = other.proven_at.unwrap_or(Millis(u64::MAX));
                index == only || proven_at < suspects[only].started_at
            })
        }
        _ => false,
    };
    Attribution { blamed, is_clear }
}
