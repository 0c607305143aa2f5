//! Where the processor time of this VM goes, by part.
//!
//! A VM has a fraction of a core, and one that is short of it delays everything at once, which shows
//! in no single call. So the owner logs how long its parts are at work. `docs/OPERATIONS.md` shows how
//! to read it.

use std::{
    fmt::Write,
    future,
    pin::pin,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use tokio::runtime::Handle;

/// A part of the work of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Scheduling passes, with the log of their decisions.
    Pass,
    /// The estimate of how long new work would wait.
    Outlook,
    /// Orders to workers and their answers.
    Order,
    /// Polls of workers and what they report.
    Poll,
    /// Calls to the advice service.
    Advice,
    /// Writes to the store and feeds from it.
    Store,
    /// Connections to the platform: what is sent and received on all of them.
    Connection,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 7] = [
        Self::Pass,
        Self::Outlook,
        Self::Order,
        Self::Poll,
        Self::Advice,
        Self::Store,
        Self::Connection,
    ];

    /// Returns the name of the part in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Pass => "pass",
            Self::Outlook => "outlook",
            Self::Order => "order",
            Self::Poll => "poll",
            Self::Advice => "advice",
            Self::Store => "store",
            Self::Connection => "connection",
        }
    }
}

/// How long a part was at work, and in how many turns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Time from the begin to the end of its turns, which includes the time for which the system ran
    /// something else.
    pub time: Duration,
    /// Number of turns.
    pub turns: u64,
}

/// The work of all parts, and of the whole process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// The work of each part, in the order of [`Part::ALL`].
    pub parts: [Work; Part::ALL.len()],
    /// Time for which the process was at work, also on what belongs to no part.
    pub busy: Duration,
}

#[derive(Debug, Default)]
struct Counter {
    nanos: AtomicU64,
    turns: AtomicU64,
}

/// The work of each part since the start of the process. Clones share the counters.
#[derive(Debug, Clone, Default)]
pub struct Profile {
    counters: Arc<[Counter; Part::ALL.len()]>,
    /// The most that a pass was late since this was last taken, in nanoseconds.
    lateness: Arc<AtomicU64>,
}

impl Profile {
    /// Adds one turn of a part.
    pub fn add(&self, part: Part, time: Duration) {
        let counter = &self.counters[part as usize];
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        counter.nanos.fetch_add(nanos, Ordering::Relaxed);
        counter.turns.fetch_add(1, Ordering::Relaxed);
    }

    /// Runs `turn` as a turn of a part.
    pub fn time<T>(&self, part: Part, turn: impl FnOnce() -> T) -> T {
        let begun = Instant::now();
        let output = turn();
        self.add(part, begun.elapsed());
        output
    }

    /// Runs `future`, each of whose polls is a turn of a part.
    pub async fn measure<F: Future>(&self, part: Part, future: F) -> F::Output {
        let mut future = pin!(future);
        future::poll_fn(|context| self.time(part, || future.as_mut().poll(context))).await
    }

    /// Records how late a scheduling pass began. All tasks of the process wait for about as long.
    pub fn record_lateness(&self, late: Duration) {
        let nanos = u64::try_from(late.as_nanos()).unwrap_or(u64::MAX);
        self.lateness.fetch_max(nanos, Ordering::Relaxed);
    }

    /// Returns the most that a pass was late since the last call.
    pub fn take_lateness(&self) -> Duration {
        Duration::from_nanos(self.lateness.swap(0, Ordering::Relaxed))
    }

    /// Returns the work so far. `busy` is zero outside of a tokio runtime.
    pub fn totals(&self) -> Totals {
        let parts = Part::ALL.map(|part| {
            let counter = &self.counters[part as usize];
            Work {
                time: Duration::from_nanos(counter.nanos.load(Ordering::Relaxed)),
                turns: counter.turns.load(Ordering::Relaxed),
            }
        });
        let busy = Handle::try_current().map_or(Duration::ZERO, |handle| {
            let metrics = handle.metrics();
            (0..metrics.num_workers())
                .map(|worker| metrics.worker_total_busy_duration(worker))
                .sum()
        });
        Totals { parts, busy }
    }

    /// Returns the counters as lines of metrics.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let totals = self.totals();
        // Writing to a string does not fail.
        for (part, work) in Part::ALL.iter().zip(totals.parts) {
            let name = part.name();
            let seconds = work.time.as_secs_f64();
            let _ = writeln!(
                text,
                "basilbridge_work_seconds{{part=\"{name}\"}} {seconds:.3}"
            );
        }
        let busy = totals.busy.as_secs_f64();
        let _ = writeln!(text, "basilbridge_work_seconds{{part=\"all\"}} {busy:.3}");
        text
    }
}

/// The use of the processor between two readings of [`Profile::totals`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// Part of the time for which the process was at work, in percent.
    pub busy_percent: u64,
    /// Percent of the time and turns per second of each part that was at work, as `PART=PERCENT/TURNS`.
    pub parts: String,
}

/// Returns the use of the processor in `passed`.
pub fn usage(before: &Totals, now: &Totals, passed: Duration) -> Usage {
    let seconds = passed.as_secs_f64().max(0.001);
    let percent = |before: Duration, now: Duration| {
        now.saturating_sub(before).as_secs_f64() / seconds * 100.0
    };
    let mut parts = String::new();
    for ((part, before), now) in Part::ALL.iter().zip(&before.parts).zip(&now.parts) {
        let turns = now.turns.saturating_sub(before.turns) as f64 / seconds;
        if turns > 0.0 {
            let separator = if parts.is_empty() { "" } else { " " };
            let percent = percent(before.time, now.time);
            // Writing to a string does not fail.
            let _ = write!(parts, "{separator}{}={percent:.1}/{turns:.0}", part.name());
        }
    }
    Usage {
        busy_percent: percent(before.busy, now.busy).round() as u64,
        parts,
    }
}
