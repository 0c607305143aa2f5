//! Which workers the advice service is asked about, and through which VM.
//!
//! The service is slow and serves each calling VM one call at a time. A call costs most of its time
//! whomever it names, so it names as many workers as it may, and calls are spread over the VMs with
//! short ones kept out from behind long ones. See `docs/design/advice.md`.

use std::time::Duration;

/// The part of the workers that may run a step as long as nothing is known: the smaller of the two
/// shares in the users' site files.
pub const FIRST_GOOD_PART: f64 = 0.35;

/// The most workers that a call names; the users' objective counts a call about 30.
pub const MOST_WORKERS: usize = 30;

/// A call that takes longer than this is kept off the VMs that serve short calls: it is the part of
/// an urgent job's objective that a queue for advice may use up.
pub const LONG_CALL: Duration = Duration::from_millis(100);

/// The calls of one VM that are not answered yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// How long they take together.
    pub pending: Duration,
    /// How many of them are long.
    pub long: usize,
}

/// Returns the VM that a call of `cost` goes through, or nothing if the call is to wait.
///
/// Half of the VMs take no long calls, and no VM takes two, so that a long call waits here, where a
/// more urgent one may overtake it, and short calls find a VM without one.
/// `shared` says that short calls come too; without them all VMs take long ones.
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
