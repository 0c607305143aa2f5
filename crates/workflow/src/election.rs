//! Which entry VM owns the workers next.
//!
//! Answers the load in which owners are stopped one after the other while work waits, on VMs of
//! unlike size: an owner on a small VM falls behind the workers, and all work waits with it. So the
//! VMs with the most processor time claim first, and an owner that is much smaller than a peer
//! steps aside. See `docs/design/programs.md`.

use std::cmp::Reverse;

use basilbridge_common::id::Name;

/// By which factor a peer has to be larger before an owner steps aside for it: a change of the
/// owner stops all starts for about 0.2 s, which a small gain does not make up for.
const ASIDE_FACTOR: u32 = 2;

/// An entry VM that may own the workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// Its processor time in thousandths of a core; zero where it has not told.
    pub cpu_millis: u32,
}

/// Sorts candidates by who goes first when the title of `holder` is free.
///
/// VMs of the same size take turns by name from the one after the holder on, so that a holder that
/// keeps failing passes the title round.
pub fn sort_candidates(candidates: &mut [Candidate], holder: Option<&Name>) {
    candidates.sort_by_key(|candidate| {
        let passed = holder.is_some_and(|holder| candidate.name <= *holder);
        (
            Reverse(candidate.cpu_millis),
            passed,
            candidate.name.clone(),
        )
    });
}

/// Says whether an owner with `own` thousandths of a core leaves the title to a VM with `other`.
pub fn yields_ownership(own: u32, other: u32) -> bool {
    own > 0 && other / ASIDE_FACTOR >= own
}

/// Says whether a VM with `own` thousandths of a core takes the title back at once after it was
/// started again: not if a much larger one is there to take it.
pub fn reclaims_ownership(own: u32, candidates: &[Candidate]) -> bool {
    !candidates
        .iter()
        .any(|candidate| yields_ownership(own, candidate.cpu_millis))
}
