//! The timer service that all parts subscribe to.
//!
//! One service serves a whole process, so that tests can put a manual clock under every part at
//! once. See `docs/design/timer.md`.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
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

struct Entry {
    due: Millis,
    order: u64,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

#[derive(Default)]
struct Queue {
    entries: BinaryHeap<Reverse<Entry>>,
    order: u64,
    manual_now: Millis,
}

/// Where the service reads the time.
#[derive(Clone, Copy)]
enum Source {
    /// The monotonic clock, counted from a moment of the system's clock.
    Monotonic {
        start: Instant,
        start_millis: Millis,
    },
    /// What a test has set.
    Manual,
}

struct Shared {
    source: Source,
    queue: Mutex<Queue>,
    changed: Notify,
}

/// A handle of the timer service; clones share one service.
#[derive(Clone)]
pub struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// Starts a service on the monotonic clock; it must be called inside a tokio runtime.
    ///
    /// The system's clock is read once, so that a step of it never moves a lease.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let service = Self::with_source(Source::Monotonic {
            start: Instant::now(),
            start_millis: Millis(since_epoch.as_millis() as u64),
        });
        tokio::spawn(drive(Arc::downgrade(&service.shared)));
        service
    }

    /// Makes a service whose time moves only by [`Service::advance`].
    pub fn manual() -> Self {
        Self::with_source(Source::Manual)
    }

    fn with_source(source: Source) -> Self {
        Self {
            shared: Arc::new(Shared {
                source,
                queue: Mutex::default(),
                changed: Notify::new(),
            }),
        }
    }

    /// Returns the present time, which never goes back.
    pub fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Waits until `duration` has passed.
    pub async fn sleep(&self, duration: Duration) {
        let (wake, woken) = oneshot::channel();
        {
            let due = self.now().after(duration);
            let mut queue = self.shared.lock();
            queue.order += 1;
            let order = queue.order;
            queue.entries.push(Reverse(Entry { due, order, wake }));
        }
        self.shared.changed.notify_one();
        // The sender is dropped only with the service itself, when nobody waits any more.
        let _ = woken.await;
    }

    /// Runs `future` for at most `limit`; returns nothing if it did not end by then.
    pub async fn timeout<T>(&self, limit: Duration, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep(limit) => None,
        }
    }

    /// Moves a manual clock on and wakes all who are due, in the order of their times.
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
        match self.source {
            Source::Monotonic {
                start,
                start_millis,
            } => start_millis.after(start.elapsed()),
            Source::Manual => self.lock().manual_now,
        }
    }

    /// Wakes all who are due and returns the time until the next one is.
    fn wake_due(&self) -> Option<Duration> {
        let now = self.now();
        let mut queue = self.lock();
        while let Some(Reverse(first)) = queue.entries.peek() {
            if first.due > now {
                return Some(first.due.since(now));
            }
            if let Some(Reverse(entry)) = queue.entries.pop() {
                let _ = entry.wake.send(());
            }
        }
        None
    }
}

async fn drive(shared: std::sync::Weak<Shared>) {
    const IDLE_CHECK: Duration = Duration::from_secs(1);
    while let Some(shared) = shared.upgrade() {
        let wait = shared.wake_due().unwrap_or(IDLE_CHECK).min(IDLE_CHECK);
        tokio::select! {
            biased;
            () = shared.changed.notified() => {}
            () = tokio::time::sleep(wait) => {}
        }
    }
}
