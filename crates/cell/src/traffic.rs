//! Bytes that this VM exchanges with the platform, by kind of message.
//!
//! A full link delays everything at once and shows in no single call, so the owner logs how much of
//! its link each kind of message uses. `docs/OPERATIONS.md` shows how to read it.

use std::{
    fmt::Write,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

/// A kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// A read of rows from the store.
    Read,
    /// A long poll for changes of a table.
    Feed,
    /// A transaction of the store.
    Write,
    /// A poll of a worker.
    Poll,
    /// The start of a run.
    Start,
    /// The stop or the throttling of a run.
    Stop,
    /// A request to the advice service.
    Advice,
}

impl Message {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Read,
        Self::Feed,
        Self::Write,
        Self::Poll,
        Self::Start,
        Self::Stop,
        Self::Advice,
    ];

    /// Returns the name of the kind in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Feed => "feed",
            Self::Write => "write",
            Self::Poll => "poll",
            Self::Start => "start",
            Self::Stop => "stop",
            Self::Advice => "advice",
        }
    }
}

/// The bytes of one kind of message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bytes {
    /// Bytes that were sent.
    pub sent: u64,
    /// Bytes that were received.
    pub received: u64,
}

#[derive(Debug, Default)]
struct Counter {
    sent: AtomicU64,
    received: AtomicU64,
}

/// The bytes of all messages since the start of the process. Clones share the counters.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    counters: Arc<[Counter; Message::ALL.len()]>,
}

impl Traffic {
    /// Counts `bytes` of a message of this kind.
    pub fn add(&self, kind: Message, bytes: Bytes) {
        let counter = &self.counters[kind as usize];
        counter.sent.fetch_add(bytes.sent, Ordering::Relaxed);
        counter
            .received
            .fetch_add(bytes.received, Ordering::Relaxed);
    }

    /// Returns the bytes of each kind, in the order of [`Message::ALL`].
    pub fn totals(&self) -> [Bytes; Message::ALL.len()] {
        Message::ALL.map(|kind| {
            let counter = &self.counters[kind as usize];
            Bytes {
                sent: counter.sent.load(Ordering::Relaxed),
                received: counter.received.load(Ordering::Relaxed),
            }
        })
    }

    /// Returns the counters as lines of metrics.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        for (kind, bytes) in Message::ALL.iter().zip(self.totals()) {
            let name = kind.name();
            let _ = writeln!(
                text,
                "basilbridge_bytes_sent{{kind=\"{name}\"}} {}",
                bytes.sent
            );
            let _ = writeln!(
                text,
                "basilbridge_bytes_received{{kind=\"{name}\"}} {}",
                bytes.received
            );
        }
        text
    }
}

/// The use of a link between two readings of [`Traffic::totals`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// Kilobytes per second of each kind that was used, as `KIND=SENT/RECEIVED`.
    pub rates: String,
    /// Use of the link in the busier direction, in percent; `None` if its bandwidth is unknown.
    pub percent: Option<u64>,
}

/// Returns the use of a link of `link_bytes_per_second` in `passed`.
pub fn usage(
    before: &[Bytes; Message::ALL.len()],
    now: &[Bytes; Message::ALL.len()],
    passed: Duration,
    link_bytes_per_second: u64,
) -> Usage {
    let seconds = passed.as_secs_f64().max(0.001);
    let mut rates = String::new();
    let mut total = Bytes::default();
    for ((kind, before), now) in Message::ALL.iter().zip(before).zip(now) {
        let sent = now.sent.saturating_sub(before.sent);
        let received = now.received.saturating_sub(before.received);
        total.sent += sent;
        total.received += received;
        if sent + received > 0 {
            let rate = |bytes: u64| bytes as f64 / seconds / 1000.0;
            let separator = if rates.is_empty() { "" } else { " " };
            // Writing to a string does not fail.
            let _ = write!(
                rates,
                "{separator}{}={:.1}/{:.1}",
                kind.name(),
                rate(sent),
                rate(received)
            );
        }
    }
    let busier = total.sent.max(total.received) as f64 / seconds;
    let percent = (link_bytes_per_second > 0)
        .then(|| (busier / link_bytes_per_second as f64 * 100.0).round() as u64);
    Usage { rates, percent }
}
