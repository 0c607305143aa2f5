//! When callers return whose request could not be stored.

use std::time::Duration;

/// Shortest retry time: another VM may reach the store, and most outages are short.
const SHORTEST: u64 = 1;

/// Longest retry time. Callers that return four times after 1 s are gone before an outage of 4.2 s
/// is over; with 3 s, three returns outlast it.
const LONGEST: u64 = 3;

/// Returns the time after which a caller should return when the store has been unavailable for
/// `outage`. `refused_before` is the number of requests to which this VM has given a retry time.
///
/// Every second caller returns one second earlier, since the header has whole seconds and all that
/// come during an outage would otherwise return together.
pub fn without_store(outage: Duration, refused_before: u64) -> Duration {
    let longest = (SHORTEST + outage.as_secs_f64().round() as u64).min(LONGEST);
    let seconds = (longest - refused_before % 2).max(SHORTEST);
    Duration::from_secs(seconds)
}
