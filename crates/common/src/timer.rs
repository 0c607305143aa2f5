//! The timer service, from which all parts of a process take the time and their timeouts.
//!
//! All parts share one service, so that tests can run all of them on one manual clock. See
//! `docs/design/timer.md`.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    fmt,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use tokio::{
    sync::{
        Notify,
        oneshot, //
    },
    time::Instant,
};

use crate::unit::Millis;

struct Timer {
    due: Millis,
    /// Orders timers that are due at the same time by their registration.
    sequence: u64,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.sequence) == (other.due, other.sequence)
    }
}

impl Eq for Timer {}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

#[derive(Default)]
struct Queue {
    timers: BinaryHeap<Reverse<Timer>>,
    sequence: u64,
    manual_now: Millis,
}

/// The clock that the service reads.
#[derive(Clone, Copy)]
enum ClockSource {
    /// The monotonic clock, offset by the time of the system clock at the start.
    Monotonic { start: Instant, start_time: Millis },
    /// A clock that only [`Service::advance`] moves, for tests.
    Manual,
}

struct Shared {
    clock: ClockSource,
    queue: Mutex<Queue>,
    changed: Notify,
}

/// A handle to the timer service; clones share one service.
#[derive(Clone)]
pub struct Service {
    shared: Arc<Shared>,
}

impl fmt::Debug for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service").finish_non_exhaustive()
    }
}

impl Service {
    /// Starts a service on the monotonic clock.
    ///
    /// The system clock is read only once, so that a later step of it never changes the end of a
    /// lease.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let service = Self::with_clock(ClockSource::Monotonic {
            start: Instant::now(),
            start_time: Millis(since_epoch.as_millis() as u64),
        });
        tokio::spawn(run_timers(Arc::downgrade(&service.shared)));
        service
    }

    /// Creates a service whose time changes only by [`Service::advance`].
    pub fn manual() -> Self {
        Self::with_clock(ClockSource::Manual)
    }

    fn with_clock(clock: ClockSource) -> Self {
        Self {
            shared: Arc::new(Shared {
                clock,
                queue: Mutex::default(),
                changed: Notify::new(),
            }),
        }
    }

    /// Returns the current time, which never decreases.
    pub fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Waits until `duration` has passed.
    pub async fn sleep(&self, duration: Duration) {
        let (wake, woken) = oneshot::channel();
        let is_first = {
            let due = self.now().after(duration);
            let mut queue = self.shared.lock();
            let first = queue.timers.peek();
            let is_first = first.is_none_or(|Reverse(first)| due < first.due);
            queue.sequence += 1;
            let sequence = queue.sequence;
            queue.timers.push(Reverse(Timer {
                due,
                sequence,
                wake,
            }));
            is_first
        };
        // Each call of another process has a timeout, and only the first timer needs a new wait.
        if is_first {
            self.shared.changed.notify_one();
        }
        // The sender is dropped unused only together with the service, when no wait is left.
        let _ = woken.await;
    }

    /// Runs `future` for at most `limit`; returns `None` if it has not completed by then.
    pub async fn timeout<T>(&self, limit: Duration, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep(limit) => None,
        }
    }

    /// Advances a manual clock and wakes all due timers, in the order of their due times.
    pub fn advance(&self, duration: Duration) {
        {
            let mut queue = self.shared.lock();
            queue.manual_now = queue.manual_now.after(duration);
        }
        self.shared.wake_due();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        match self.clock {
            ClockSource::Monotonic { start, start_time } => start_time.after(start.elapsed()),
            ClockSource::Manual => self.lock().manual_now,
        }
    }

    /// Wakes all due timers and returns the time until the next one is due.
    fn wake_due(&self) -> Option<Duration> {
        let now = self.now();
        let mut queue = self.lock();
        while let Some(Reverse(first)) = queue.timers.peek() {
            if first.due > now {
                return Some(first.due.since(now));
            }
            if let Some(Reverse(timer)) = queue.timers.pop() {
                let _ = timer.wake.send(());
            }
        }
        None
    }
}

async fn run_timers(shared: std::sync::Weak<Shared>) {
    const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
    while let Some(shared) = shared.upgrade() {
        let wait = shared
            .wake_due()
            .unwrap_or(IDLE_CHECK_INTERVAL)
            .min(IDLE_CHECK_INTERVAL);
        tokio::select! {
            biased;
            () = shared.changed.notified() => {}
            () = tokio::time::sleep(wait) => {}
        }
    }
}
