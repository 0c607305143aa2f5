//! How much of its link and of its processor the owner uses for polls, and of its link for starts.
//!
//! Heartbeats, renewals of leases and ends of tasks share the owner's link with everything else. If
//! the link is full they are late, the owner is taken for gone, and its successor begins with even
//! more to read. So polls get a fixed part of the link, however many workers there are, and starts
//! wait in the owner, where the most urgent goes first, rather than in the link. See
//! `docs/design/waiting.md`.

use std::time::Duration;

/// Interval between two polls of a worker, which it may hold back until one of its runs ends.
const POLL_WAIT: Duration = Duration::from_millis(1000);

/// The same interval while orders go unanswered. An unanswered poll hides all ends on its worker
/// until it times out, which can use up a third of an urgent job's slack.
const DEGRADED_POLL_WAIT: Duration = Duration::from_millis(300);

/// Longest time for which a worker holds a poll back, from the workers' contract.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(2000);

/// Size of a poll or of its answer, whichever is larger, with headers and a few runs; see
/// `docs/CAPACITY.md`.
const POLL_BYTES: f64 = 800.0;

/// Fraction of the link, and of the processor, that polls may use.
const POLL_FRACTION: f64 = 0.25;

/// Processor time of a poll whose worker has a few runs, with its connection; see
/// `docs/CAPACITY.md`.
const POLL_CPU: Duration = Duration::from_micros(80);

/// Size of a start without its payload, with headers and acknowledgements.
const START_BYTES: usize = 450;

/// Time in which the link has to be able to carry all starts that are not answered, and the processor
/// to send them. Everything else waits behind them for as long.
const START_WINDOW: Duration = Duration::from_millis(150);

/// Processor time that is reserved for a start and its answer.
const START_CPU: Duration = Duration::from_micros(100);

/// Least number of bytes of unanswered starts, so that a gang is never split by the window alone.
const MIN_START_WINDOW: usize = 16 * 1024;

/// Time in which the link has to be able to carry the answers to all open reads of the store.
/// Answers to heartbeats wait behind them for as long.
const READ_WINDOW: Duration = Duration::from_millis(150);

/// Size of the answer to a read of one part of the jobs.
const READ_BYTES: f64 = 16.0 * 1024.0;

/// Least number of open reads of the store.
const MIN_READS: usize = 2;

/// The capacity of the owner's link and processor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Budget {
    /// Bytes per second in each direction; zero if unknown, which stands for no limit.
    pub link_bytes_per_second: u64,
    /// Processor time in thousandths of a core; zero if unknown, which stands for no limit.
    pub cpu_millis: u32,
}

impl Budget {
    /// Returns how long each of `workers` may hold a poll back, so that polls keep to their part of the
    /// link and of the processor. `degraded` says whether orders have
    /// gone unanswered lately.
    pub fn poll_wait(&self, workers: usize, degraded: bool) -> Duration {
        let usual = if degraded {
            DEGRADED_POLL_WAIT
        } else {
            POLL_WAIT
        };
        let seconds = |amount: f64, per_second: f64| {
            if per_second > 0.0 {
                workers as f64 * amount / (per_second * POLL_FRACTION)
            } else {
                0.0
            }
        };
        let link = seconds(POLL_BYTES, self.link_bytes_per_second as f64);
        let cores = f64::from(self.cpu_millis) / 1000.0;
        let processor = seconds(POLL_CPU.as_secs_f64(), cores);
        let needed = link.max(processor).min(MAX_POLL_WAIT.as_secs_f64());
        usual.max(Duration::from_secs_f64(needed))
    }

    /// Returns how many reads of the store may be open at once, of `parts` that are to be read.
    pub fn concurrent_reads(&self, parts: usize) -> usize {
        if self.link_bytes_per_second == 0 {
            return parts;
        }
        let bytes = self.link_bytes_per_second as f64 * READ_WINDOW.as_secs_f64();
        let reads = (bytes / READ_BYTES) as usize;
        reads.clamp(MIN_READS, parts.max(MIN_READS))
    }

    /// Returns how many bytes of starts may be unanswered at once.
    ///
    /// Answers the load of a job of thousands of tasks that all fit: each unanswered start takes memory
    /// for its call, and the owner did nothing else until all were sent.
    pub fn start_window(&self) -> usize {
        let window = START_WINDOW.as_secs_f64();
        let link = match self.link_bytes_per_second {
            0 => usize::MAX,
            per_second => (per_second as f64 * window) as usize,
        };
        let processor = match self.cpu_millis {
            0 => usize::MAX,
            millis => {
                let starts = f64::from(millis) / 1000.0 * window / START_CPU.as_secs_f64();
                starts as usize * START_BYTES
            }
        };
        link.min(processor).max(MIN_START_WINDOW)
    }
}

/// Returns the number of bytes that a start with a payload of `payload` bytes takes.
pub fn start_bytes(payload: usize) -> usize {
    START_BYTES + payload
}
