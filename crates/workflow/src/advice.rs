//! Which workers the advice service is asked about, and through which VM.
//!
//! The service is slow and serves each calling VM one call at a time, so a call names only as many
//! workers as the step needs, and calls are spread over the VMs with short ones kept out from
//! behind long ones. See `docs/design/advice.md`.

use std::time::Duration;

/// The part of the workers that may run a step as long as nothing is known: the smaller of the two
/// shares in the users' site files.
pub const FIRST_GOOD_PART: f64 = 0.35;

/// How much more room is asked about than is needed on average, so that one call mostly suffices.
const SURPLUS: f64 = 1.5;

/// The fewest workers that a call names, so that a few bad ones do not cost a second call.
const FEWEST: usize = 6;

/// The most workers that a call names; the users' objective counts a call about 30.
const MOST: usize = 30;

/// A call that takes longer than this is kept off the VMs that serve short calls: it is the part of
/// an urgent job's objective that a queue for advice may use up.
pub const LONG_CALL: Duration = Duration::from_millis(100);

/// Returns how many of the workers to ask about, where worker `i` has room for `fits[i]` of `tasks`.
pub fn count(tasks: usize, fits: &[usize], good_part: f64) -> usize {
    let wanted = tasks as f64 * SURPLUS / good_part.clamp(0.05, 1.0);
    let mut room = 0.0;
    let mut count = 0;
    for fit in fits {
        if count >= MOST || (count >= FEWEST && room >= wanted) {
            break;
        }
        room += *fit as f64;
        count += 1;
    }
    count
}

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
/// A quarter of the VMs take no long calls, and no VM takes two, so that a long call waits here,
/// where a more urgent one may overtake it.
pub fn route(loads: &[Load], cost: Duration) -> Option<usize> {
    let short_only = loads.len() / 4;
    let long = cost >= LONG_CALL;
    loads
        .iter()
        .enumerate()
        .filter(|(index, load)| !long || (*index >= short_only && load.long == 0))
        .min_by_key(|(index, load)| (load.pending, *index))
        .map(|(index, _)| index)
}
