//! Limits of calls to the advice service, and the choice of the VM that makes each call.
//!
//! The service is slow and serves each calling VM one call at a time. Most of the time of a call
//! does not depend on the number of workers that it names, so each call names as many workers as
//! allowed. Calls are spread over the VMs such that short calls do not queue behind long ones. See
//! `docs/design/advice.md`.

use std::time::Duration;

/// Assumed fraction of workers that the service approves for a step before any reply: the smaller
/// of the two fractions in the users' site files.
pub const INITIAL_APPROVAL_RATE: f64 = 0.35;

/// Maximum number of workers in a call; the users' time objective assumes about 30 per call.
pub const MAX_WORKERS: usize = 30;

/// Calls that take at least this long are kept off the VMs that serve short calls: it is the part
/// of an urgent job's time objective that waiting for advice may use up.
pub const LONG_CALL: Duration = Duration::from_millis(100);

/// Unanswered calls of one VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Total expected duration of the calls.
    pub pending: Duration,
    /// Number of long calls.
    pub long: usize,
}

/// Returns the index of the VM that makes a call of expected duration `cost`, or `None` if the call
/// has to wait.
///
/// Half of the VMs make no long calls and no VM makes two at a time. Long calls therefore wait at
/// the caller, where a more urgent call can overtake them, and short calls always find a VM without
/// a long call.
///
/// `shared` says whether short calls are expected too; if not, all VMs make long calls.
pub fn route(loads: &[Load], cost: Duration, shared: bool) -> Option<usize> {
    let short_only = if shared { loads.len() / 2 } else { 0 };
    let long = cost >= LONG_CALL;
    loads
        .iter()
        .enumerate()
        .filter(|(index, load)| !long || (*index >= short_only && load.long == 0))
        .min_by_key(|(index, load)| (load.pending, *index))
        .map(|(index, _)| index)
}
