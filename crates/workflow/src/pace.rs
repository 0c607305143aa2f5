//! Which workers have turned slow, learned from the progress of the tasks on them.
//!
//! A worker that has turned slow still answers, and holds its tasks for many times as long as
//! another one would. The progress of a task, compared with its estimate, shows it while the task
//! runs. Submitters' estimates are off too, so the comparison is with what tasks of the same queue
//! usually take, and only where that is regular. See `docs/design/waiting.md`.

use std::time::Duration;

use basilbridge_common::unit::Millis;

/// Weight of one finished run in the moving averages.
const GAIN: f64 = 0.05;

/// Number of finished runs before the averages are used.
const MIN_RUNS: u32 = 20;

/// Mean deviation of the logarithm of the ratio up to which a queue is regular.
const MAX_DEVIATION: f64 = 0.45;

/// Number of mean deviations beyond which a run is slow, and the least factor.
const SLOW_DEVIATIONS: f64 = 4.0;
const SLOW_FACTOR: f64 = 2.5;

/// Greatest factor by which one run counts, so that a few slow workers do not shift the averages.
const MAX_FACTOR: f64 = 3.0;

/// Shortest time over which progress is compared.
pub const MIN_SAMPLE: Duration = Duration::from_millis(250);

/// Time for which a worker counts as slow after the last sign of it.
pub const SLOW_PERIOD: Duration = Duration::from_secs(2);

/// Fraction of the workers of a pool that may count as slow. If more do, the workers are not the
/// cause, and moving work between them would only waste it.
pub const MAX_SLOW_FRACTION: f64 = 0.25;

/// Time that a stop takes, and the start elsewhere.
const MOVE_TIME: Duration = Duration::from_millis(1000);

/// Factor by which a task has to end earlier elsewhere to be moved.
const MOVE_FACTOR: f64 = 1.5;

/// How long the tasks of a queue take, in proportion to their estimates.
#[derive(Debug, Clone, Copy, Default)]
pub struct Durations {
    runs: u32,
    mean: f64,
    deviation: f64,
}

impl Durations {
    /// Records that a task with the estimate `estimate` took `time`.
    pub fn record(&mut self, time: Duration, estimate: Duration) {
        let Some(ratio) = log_ratio(time, estimate) else {
            return;
        };
        self.runs = self.runs.saturating_add(1);
        if self.runs == 1 {
            self.mean = ratio;
            return;
        }
        let gain = GAIN.max(1.0 / f64::from(self.runs));
        let limit = MAX_FACTOR.ln();
        let difference = (ratio - self.mean).clamp(-limit, limit);
        self.mean += difference * gain;
        self.deviation += (difference.abs() - self.deviation) * gain;
    }

    /// Returns whether the durations are regular enough to tell a slow worker.
    pub fn is_regular(&self) -> bool {
        self.runs >= MIN_RUNS && self.deviation <= MAX_DEVIATION
    }

    /// Returns whether a task that would take `time` at its present speed is slow.
    pub fn is_slow(&self, time: Duration, estimate: Duration) -> bool {
        let limit = (SLOW_DEVIATIONS * self.deviation).max(SLOW_FACTOR.ln());
        self.is_regular()
            && log_ratio(time, estimate).is_some_and(|ratio| ratio > self.mean + limit)
    }

    /// Returns how long a task usually takes.
    pub fn usual(&self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.mean.exp())
    }
}

/// Number of finished runs over which the pace of a worker is averaged.
const PACE_MEMORY: f64 = 40.0;

/// Number of runs of usual pace that the pace of a worker starts from, so that a few runs say little.
const PACE_PRIOR: f64 = 4.0;

/// Relative difference of two paces below which workers count as equally fast.
const PACE_STEP: f64 = 0.1;

/// How long tasks take on one worker, in proportion to what they usually take.
///
/// A machine of an older kind takes longer for everything it runs. Only work with little slack needs
/// the fast ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    runs: f64,
    mean: f64,
}

impl Pace {
    /// Records that a task with the estimate `estimate`, of a queue with `durations`, took `time`.
    pub fn record(&mut self, time: Duration, estimate: Duration, durations: &Durations) {
        let Some(ratio) = log_ratio(time, estimate).filter(|_| durations.is_regular()) else {
            return;
        };
        let limit = MAX_FACTOR.ln();
        let difference = (ratio - durations.mean).clamp(-limit, limit);
        self.runs = (self.runs + 1.0).min(PACE_MEMORY);
        self.mean += (difference - self.mean) / (self.runs + PACE_PRIOR);
    }

    /// Returns the class of the worker: zero for the usual pace, less for a faster one.
    pub fn class(&self) -> i32 {
        (self.mean / PACE_STEP).round() as i32
    }
}

fn log_ratio(time: Duration, estimate: Duration) -> Option<f64> {
    (!estimate.is_zero()).then(|| (time.as_secs_f64().max(0.001) / estimate.as_secs_f64()).ln())
}

/// A reading of the progress of a run.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// Progress in percent.
    pub percent: f64,
    /// Time of the reading.
    pub at: Millis,
}

/// Returns how long the whole task would take at the speed between two readings, or `None` if they
/// are too close to tell.
pub fn duration(before: Reading, now: Reading) -> Option<Duration> {
    /// Progress that counts as none.
    const MIN_PROGRESS: f64 = 0.5;
    let passed = now.at.since(before.at);
    let progress = (now.percent - before.percent).max(MIN_PROGRESS);
    (passed >= MIN_SAMPLE).then(|| passed.mul_f64(100.0 / progress))
}

/// Returns whether a task that has `percent` of its work behind it, and would take `here` in all on
/// its worker and `elsewhere` in all on another, ends clearly earlier if it is stopped and started
/// again.
pub fn should_move(percent: f64, here: Duration, elsewhere: Duration) -> bool {
    let remaining = here.mul_f64((100.0 - percent).max(0.0) / 100.0);
    remaining > (elsewhere + MOVE_TIME).mul_f64(MOVE_FACTOR)
}
