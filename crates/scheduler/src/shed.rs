//! Load shedding: refuses tasks, before they are accepted, that would miss their deadline or find
//! the queue too long.
//!
//! `docs/design/overload.md` compares the options.

use std::time::Duration;

use basilbridge_common::{
    job::Kind,
    unit::Millis, //
};

use crate::policy;

/// The weight of a new interval between starts in the moving average.
const INTERVAL_WEIGHT: f64 = 0.05;

/// How many intervals the average needs before tasks are refused for their deadlines.
const MIN_STARTS: u64 = 20;

/// The minimum time after which a refused caller is asked to retry.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The maximum time after which a refused caller is asked to retry.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Refusal of a task, which has not run and will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// How long to wait before a retry.
    pub retry_after: Duration,
}

/// The queue length and the start rate of one kind of task.
#[derive(Debug, Clone, Copy, Default)]
struct KindStats {
    /// How many tasks wait.
    waiting: usize,
    /// The moving average of the time between starts while tasks wait, in seconds.
    mean_interval: f64,
    /// How many intervals have entered the average.
    starts: u64,
    /// When a task last started.
    last: Option<Millis>,
}

/// Estimates how long tasks of each kind wait, and refuses those that would wait too long.
#[derive(Debug, Default)]
pub struct LoadShedder {
    stats_by_kind: [KindStats; policy::ORDER.len()],
}

impl LoadShedder {
    /// Counts a task that enters the queue.
    pub fn enqueue(&mut self, kind: Kind) {
        self.stats_mut(kind).waiting += 1;
    }

    /// Counts a task that leaves the queue, whether or not it starts.
    pub fn dequeue(&mut self, kind: Kind) {
        let stats = self.stats_mut(kind);
        stats.waiting = stats.waiting.saturating_sub(1);
    }

    /// Counts a task that starts. [`LoadShedder::dequeue`] counts that it leaves the queue.
    pub fn start(&mut self, kind: Kind, now: Millis) {
        let stats = self.stats_mut(kind);
        if let Some(last) = stats.last
            && stats.waiting > 0
        {
            let interval = now.since(last).as_secs_f64();
            stats.mean_interval += (interval - stats.mean_interval) * INTERVAL_WEIGHT;
            stats.starts += 1;
        }
        stats.last = Some(now);
    }

    /// Returns how long a task that arrives now is expected to wait, which is zero until enough
    /// starts were counted.
    pub fn expected_wait(&self, kind: Kind) -> Duration {
        let stats = &self.stats_by_kind[policy::position(kind)];
        if stats.starts < MIN_STARTS {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(stats.mean_interval * stats.waiting as f64)
    }

    /// Refuses a task that is not expected to start before its deadline, or that would find
    /// `max_waiting` others waiting.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with the time after which to retry.
    pub fn admit(
        &self,
        kind: Kind,
        deadline: Option<Millis>,
        max_waiting: usize,
        now: Millis,
    ) -> Result<(), Refusal> {
        let stats = &self.stats_by_kind[policy::position(kind)];
        let wait = self.expected_wait(kind);
        let misses_deadline = deadline.is_some_and(|deadline| now.after(wait) > deadline);
        if !misses_deadline && stats.waiting < max_waiting {
            return Ok(());
        }
        // After this time the queue is short enough for the deadline, if no tasks are added.
        let time_left = deadline.map_or(Duration::ZERO, |deadline| deadline.since(now));
        let excess = wait.saturating_sub(time_left);
        Err(Refusal {
            retry_after: excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        })
    }

    fn stats_mut(&mut self, kind: Kind) -> &mut KindStats {
        &mut self.stats_by_kind[policy::position(kind)]
    }
}
