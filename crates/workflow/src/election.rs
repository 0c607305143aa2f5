//! The choice of the entry VM that owns the workers next.
//!
//! VMs differ in size, and an owner on a small VM falls behind its workers, which delays all work.
//! So the VMs with the most processor time claim ownership first, and an owner yields to a peer
//! that is much larger. This keeps ownership on large VMs even if owners are stopped one after the
//! other. See `docs/design/programs.md`.

use std::{
    cmp::Reverse,
    time::Duration, //
};

use basilbridge_common::id::Name;

/// Factor by which a peer has to be larger for an owner to yield to it: a change of the owner
/// blocks all starts for about 0.2 s, which a smaller gain does not make up for.
const YIELD_FACTOR: u32 = 2;

/// Number of takeovers in a row, without evidence that an owner had ended, from which owners are
/// given more time. One such takeover is what a VM that loses power causes.
const PATIENT_FROM: u32 = 2;

/// Factor by which they are given more. The longest time is shorter than a lease, so that tasks
/// outlast the replacement of an owner that has ended after all.
const PATIENCE: u32 = 2;

/// Number of heartbeats, two per second, after which an owner counts as stable.
const STABLE_HEARTBEATS: u64 = 40;

/// Returns the number of takeovers in a row that were made for a silence alone, after one more
/// takeover. `proven` says whether the owner was known to have ended, and `heartbeats` is the number
/// of its heartbeats.
///
/// An owner that falls silent because its link or its processor is overloaded is alive, and its
/// successor, which has to read everything first, will fall silent too.
pub fn unproven_takeovers(previous: u32, proven: bool, heartbeats: u64) -> u32 {
    if proven || heartbeats >= STABLE_HEARTBEATS {
        0
    } else {
        previous.saturating_add(1)
    }
}

/// Returns how long an owner may be silent, given how long it usually may be, the number of unproven
/// takeovers in a row, and how its heartbeats have arrived.
pub fn silence_limit(usual: Duration, unproven: u32, arrivals: &Arrivals) -> Duration {
    let limit = if unproven >= PATIENT_FROM {
        usual * PATIENCE
    } else {
        usual
    };
    limit
        .max(arrivals.expected_gap())
        .min(MAX_SILENCE.max(usual))
}

/// Weight of one heartbeat in the moving averages of [`Arrivals`].
const ARRIVAL_GAIN: f64 = 0.1;

/// Number of mean deviations by which a gap between two heartbeats may exceed the mean.
const GAP_DEVIATIONS: f64 = 5.0;

/// Longest silence of an owner that is not known to have ended: it leaves time for its successor to
/// renew the leases.
const MAX_SILENCE: Duration = Duration::from_millis(3200);

/// The gaps between the heartbeats of owners, as this VM received them.
///
/// Heartbeats of an owner whose link or processor is busy come at unequal times, so a gap says less.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    mean: f64,
    deviation: f64,
}

impl Arrivals {
    /// Records the time between two heartbeats of one owner.
    pub fn record(&mut self, gap: Duration) {
        let gap = gap.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = gap;
            return;
        }
        let difference = gap - self.mean;
        self.mean += difference * ARRIVAL_GAIN;
        self.deviation += (difference.abs() - self.deviation) * ARRIVAL_GAIN;
    }

    /// Returns the longest gap that is to be expected of an owner that is alive.
    pub fn expected_gap(&self) -> Duration {
        Duration::from_secs_f64(self.mean + GAP_DEVIATIONS * self.deviation)
    }
}

/// An entry VM that may own the workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the VM.
    pub name: Name,
    /// Processor time of the VM in thousandths of a core; zero if it has not been reported.
    pub cpu_millis: u32,
}

/// Sorts candidates by the order in which they claim the ownership that `holder` has lost or
/// released.
///
/// VMs of the same size take turns by name, starting after the holder, so that ownership passes to
/// all of them if holders keep failing.
pub fn sort_candidates(candidates: &mut [Candidate], holder: Option<&Name>) {
    candidates.sort_by_key(|candidate| {
        let had_turn = holder.is_some_and(|holder| candidate.name <= *holder);
        (
            Reverse(candidate.cpu_millis),
            had_turn,
            candidate.name.clone(),
        )
    });
}

/// Returns whether an owner with `own` thousandths of a core yields to a VM with `other`. An owner
/// of unknown size does not.
pub fn yields_ownership(own: u32, other: u32) -> bool {
    own > 0 && other / YIELD_FACTOR >= own
}

/// Returns whether a restarted VM with `own` thousandths of a core reclaims its ownership at once.
/// It does not if one of the candidates is much larger.
pub fn reclaims_ownership(own: u32, candidates: &[Candidate]) -> bool {
    !candidates
        .iter()
        .any(|candidate| yields_ownership(own, candidate.cpu_millis))
}
