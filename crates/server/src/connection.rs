//! The state of each open connection.
//!
//! `gotham` does not expose its connections, so the stream, the request handler and the drain share
//! their state here. See
//! `docs/design/connections.md`.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::unit::Millis;
use futures_util::task::AtomicWaker;

use crate::{
    drain::RequestGuard,
    eviction::Wait, //
};

/// How long a closing listener waits for a client that has stopped in the middle of a request or of an
/// answer.
const STALL_AT_CLOSE: Duration = Duration::from_secs(1);

/// What a client sends first to speak HTTP/2.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n";

/// The activity of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// No request is in progress.
    Idle,
    /// The head of a request is being received; the number of bytes so far.
    Receiving(usize),
    /// Requests are being handled; their number.
    Handling(usize),
}

#[derive(Debug)]
struct ConnectionState {
    activity: Activity,
    since: Millis,
    /// Requests whose responses are written, but not flushed.
    unflushed: Vec<RequestGuard>,
    /// Requests of which the body is being received.
    uploads: usize,
    /// Since when the client has not read what was written.
    blocked_since: Option<Millis>,
    /// How much of what the client sent first equals [`HTTP2_PREFACE`]; `None` if it differs, or need not.
    preface_bytes: Option<usize>,
    /// Whether a request of the client was answered.
    has_served: bool,
    closing: bool,
    aborted: bool,
    evicted: bool,
}

/// One open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    state: Mutex<ConnectionState>,
    /// Wakes the reader when the connection has to be closed.
    pub(crate) reader: AtomicWaker,
}

/// What a reader may do with the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permission {
    /// Continue to read.
    Read,
    /// Read what has been received, and close the connection if nothing has.
    Close,
    /// Close the connection with an error: the sender was too slow, or its head is too long.
    Abort,
}

impl Connection {
    pub(crate) fn new(now: Millis, http1_only: bool) -> Self {
        Self {
            state: Mutex::new(ConnectionState {
                activity: Activity::Idle,
                since: now,
                unflushed: Vec::new(),
                uploads: 0,
                blocked_since: None,
                preface_bytes: http1_only.then_some(0),
                has_served: false,
                closing: false,
                aborted: false,
                evicted: false,
            }),
            reader: AtomicWaker::new(),
        }
    }

    /// Returns what the reader may do.
    pub(crate) fn permission(&self, max_head_bytes: usize) -> Permission {
        let state = self.lock();
        match state.activity {
            _ if state.aborted => Permission::Abort,
            Activity::Receiving(bytes) if bytes >= max_head_bytes => Permission::Abort,
            Activity::Idle if state.closing => Permission::Close,
            _ => Permission::Read,
        }
    }

    /// Records the bytes received.
    pub(crate) fn received(&self, now: Millis, bytes: &[u8]) {
        let mut state = self.lock();
        state.check_preface(bytes);
        match state.activity {
            Activity::Receiving(total) => {
                state.activity = Activity::Receiving(total + bytes.len());
            }
            Activity::Idle => {
                state.activity = Activity::Receiving(bytes.len());
                state.since = now;
            }
            Activity::Handling(_) if state.uploads > 0 => state.since = now,
            Activity::Handling(_) => {}
        }
    }

    /// Returns the number of bytes of a head that is being received.
    pub(crate) fn head_bytes(&self) -> usize {
        match self.lock().activity {
            Activity::Receiving(bytes) => bytes,
            Activity::Idle | Activity::Handling(_) => 0,
        }
    }

    /// Records that the body of a request is being received.
    pub(crate) fn begin_upload(&self, now: Millis) {
        let mut state = self.lock();
        state.uploads += 1;
        state.since = now;
    }

    /// Records that the body of a request is complete, or given up.
    pub(crate) fn end_upload(&self) {
        let mut state = self.lock();
        state.uploads = state.uploads.saturating_sub(1);
    }

    /// Records whether the client reads what is written.
    pub(crate) fn set_blocked(&self, now: Millis, is_blocked: bool) {
        let mut state = self.lock();
        state.blocked_since = is_blocked.then(|| state.blocked_since.unwrap_or(now));
    }

    /// Returns whether the connection has to end without another byte.
    pub(crate) fn is_aborted(&self) -> bool {
        self.lock().aborted
    }

    /// Records that the head of a request is complete.
    pub(crate) fn begin_request(&self) {
        let mut state = self.lock();
        state.activity = match state.activity {
            Activity::Handling(count) => Activity::Handling(count + 1),
            _ => Activity::Handling(1),
        };
    }

    /// Records that the last byte of a response is written, but not flushed.
    pub(crate) fn response_written(&self, guard: RequestGuard) {
        self.lock().unflushed.push(guard);
    }

    /// Records that everything written has been flushed.
    pub(crate) fn flushed(&self, now: Millis) {
        let guards = {
            let mut state = self.lock();
            if state.unflushed.is_empty() {
                return;
            }
            let guards = std::mem::take(&mut state.unflushed);
            state.has_served = true;
            state.end_requests(guards.len(), now);
            guards
        };
        drop(guards);
        // The reader was suspended while the request was handled, and has to see that the
        // connection is closing.
        self.reader.wake();
    }

    /// Records that a request ended without a response.
    pub(crate) fn request_aborted(&self, now: Millis) {
        self.lock().end_requests(1, now);
    }

    pub(crate) fn close(&self) {
        self.lock().closing = true;
        self.reader.wake();
    }

    /// Aborts the connection if its client has been too slow.
    pub(crate) fn check_timeouts(&self, now: Millis, timeouts: Timeouts) {
        let state = self.lock();
        let (since, timeout) = match (state.activity, state.blocked_since) {
            (_, Some(since)) => (since, timeouts.send),
            (Activity::Idle, None) => (state.since, timeouts.idle),
            (Activity::Receiving(_), None) => (state.since, timeouts.head),
            (Activity::Handling(_), None) => return,
        };
        let is_late = now.since(since) >= timeout;
        drop(state);
        if is_late {
            self.abort();
        }
    }

    /// Aborts the connection if all its requests are being received and have stopped.
    pub(crate) fn abort_stalled(&self, now: Millis) {
        let is_stalled = self.waiting().is_some_and(|(wait, since)| {
            wait == Wait::Progress && now.since(since) >= STALL_AT_CLOSE
        });
        if is_stalled {
            self.abort();
        }
    }

    /// Returns what the client is waited for and since when, unless it waits for an answer.
    pub(crate) fn waiting(&self) -> Option<(Wait, Millis)> {
        let state = self.lock();
        if state.aborted {
            return None;
        }
        if let Some(since) = state.blocked_since {
            return Some((Wait::Progress, since));
        }
        let wait = match state.activity {
            Activity::Handling(count) if state.uploads == count => Wait::Progress,
            Activity::Handling(_) => return None,
            Activity::Receiving(_) if state.has_served => Wait::Progress,
            Activity::Idle if state.has_served => Wait::NextRequest,
            Activity::Receiving(_) | Activity::Idle => Wait::FirstRequest,
        };
        Some((wait, state.since))
    }

    fn abort(&self) {
        self.lock().aborted = true;
        self.reader.wake();
    }

    pub(crate) fn evict(&self) {
        self.lock().evicted = true;
        self.abort();
    }

    pub(crate) fn is_evicted(&self) -> bool {
        self.lock().evicted
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionState {
    /// Aborts the connection if its client speaks HTTP/2.
    fn check_preface(&mut self, bytes: &[u8]) {
        let Some(seen) = self.preface_bytes else {
            return;
        };
        let expected = &HTTP2_PREFACE[seen..];
        let compared = expected.len().min(bytes.len());
        if expected[..compared] != bytes[..compared] {
            self.preface_bytes = None;
        } else if compared == expected.len() {
            self.aborted = true;
        } else {
            self.preface_bytes = Some(seen + compared);
        }
    }

    fn end_requests(&mut self, requests: usize, now: Millis) {
        if let Activity::Handling(count) = &mut self.activity {
            *count = count.saturating_sub(requests);
            if *count == 0 {
                self.activity = Activity::Idle;
                self.since = now;
            }
        }
    }
}

/// The timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timeouts {
    /// From the first byte of a request to the end of its head.
    pub(crate) head: Duration,
    /// Between two requests.
    pub(crate) idle: Duration,
    /// Between two reads of a client that is sent an answer.
    pub(crate) send: Duration,
}
