//! Chooses which client gives way when clients hold all memory or all connections that they may.
//!
//! Answers the load of clients that stop short of the end of what they send and stay connected: a
//! newcomer must not be refused because they were there first. See `docs/design/client-memory.md`.

use std::{
    cmp::Reverse,
    time::Duration, //
};

use basilbridge_common::unit::Millis;

/// A request of which a part has been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Upload {
    /// The memory that it holds.
    pub bytes: usize,
    /// When bytes of it last arrived.
    pub progressed_at: Millis,
}

/// Chooses the request to evict so that others get its memory, or `None` if none holds any.
///
/// Of those that hold at least half of the mean, it is the one that has been without progress for the
/// longest time. A small request that has just begun is never chosen beside larger ones.
pub fn choose_upload<K>(uploads: impl Iterator<Item = (K, Upload)> + Clone) -> Option<K> {
    let (count, sum) = uploads.clone().fold((0, 0), |(count, sum), (_, upload)| {
        (count + 1, sum + upload.bytes)
    });
    let least = (sum.checked_div(count)? / 2).max(1);
    uploads
        .filter(|(_, upload)| upload.bytes >= least)
        .min_by_key(|(_, upload)| (upload.progressed_at, Reverse(upload.bytes)))
        .map(|(key, _)| key)
}

/// What the client of a connection is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wait {
    /// The first request, of a client that has not sent a complete one yet.
    FirstRequest,
    /// The rest of a request, or that it reads its answer.
    Progress,
    /// The next request, of a client that has been served.
    NextRequest,
}

/// How long a connection is kept after an answer, for a client that is about to send its next request.
const KEEP: Duration = Duration::from_secs(1);

/// Chooses the connection to close so that a newcomer gets its descriptor, by what it waits for and
/// since when. Connections that wait for an answer of this VM are not among them. Returns `None` if
/// there are none, or all were served within the last second.
pub fn choose_connection<K>(
    waiting: impl Iterator<Item = (K, Wait, Millis)>,
    now: Millis,
) -> Option<K> {
    waiting
        .filter(|(_, wait, since)| *wait < Wait::NextRequest || now.since(*since) >= KEEP)
        .min_by_key(|(_, wait, since)| (*wait, *since))
        .map(|(key, ..)| key)
}
