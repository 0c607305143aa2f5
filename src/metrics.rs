//! The metrics of an entry VM, sent as statsd datagrams.
//!
//! `docs/METRICS.md` lists the names, and a test compares the list with this module.

use std::{
    io,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::Arc,
    time::Duration,
};

use basilbridge_common::{
    error,
    job::Kind, //
};
use cadence::{
    CountedExt,
    Gauged,
    MetricSink,
    NopMetricSink,
    QueuingMetricSink,
    StatsdClient,
    Timed,
    UdpMetricSink, //
};

/// The prefix of all metric names, without the dot that follows it.
pub const PREFIX: &str = "basilbridge";

/// The interval at which gauges are sent.
pub const GAUGE_INTERVAL: Duration = Duration::from_secs(10);

/// The description of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// The name, without the prefix.
    pub name: &'static str,
    /// The statsd type.
    pub statsd_type: &'static str,
    /// The meaning, with the unit.
    pub meaning: &'static str,
}

macro_rules! metrics {
    ($($(#[$doc:meta])* $constant:ident = $name:literal, $statsd_type:literal, $meaning:literal;)*) => {
        $($(#[$doc])* pub const $constant: &str = $name;)*

        /// All metrics, in the order of `docs/METRICS.md`.
        pub const ALL: &[Metric] = &[$(Metric {
            name: $name,
            statsd_type: $statsd_type,
            meaning: $meaning,
        },)*];
    };
}

metrics! {
    /// The time from the arrival of a request to its answer.
    REQUEST_TIME = "request.time", "timer", "Milliseconds from the arrival of a request to its answer.";
    /// Requests that were answered without an error.
    REQUESTS_ANSWERED = "request.answered", "counter", "Requests that were answered without an error.";
    /// Requests that were refused, by error kind.
    REQUESTS_REFUSED = "request.refused", "counter", "Requests that were refused; the tag `kind` is the error kind.";
    /// The time from the acceptance of a task to its start, by kind of work.
    WAITING_TIME = "task.waiting", "timer", "Milliseconds from the acceptance of a task to its start; the tag `kind` is the kind of work.";
    /// Tasks that wait in the shards that this VM owns.
    TASKS_QUEUED = "task.queued", "gauge", "Tasks that wait in the shards that this VM owns.";
    /// Tasks that run in the shards that this VM owns.
    TASKS_RUNNING = "task.running", "gauge", "Tasks that run in the shards that this VM owns.";
    /// The share of processors that is allocated in the shards that this VM owns, in thousandths.
    PACKING = "shard.packing", "gauge", "Per mille of processors allocated to tasks in the shards that this VM owns.";
    /// The number of shards that this VM owns.
    SHARDS_OWNED = "shard.owned", "gauge", "Shards that this VM owns.";
    /// The fairness between teams: what the waiting team with the least gets for its share, in
    /// thousandths of the average, in the least fair shard of this VM.
    NEARNESS = "team.nearness", "gauge", "Fairness between teams with waiting tasks, in per mille: what the team that gets least has for its share, relative to the average of these teams, in the shard of this VM where that is lowest; sent while any team waits.";
    /// The processor time of this process since its start, in milliseconds.
    CONTROL_CPU = "control.cpu", "gauge", "Processor time of this process since its start, in milliseconds.";
    /// The resident memory of this process, in bytes.
    CONTROL_MEMORY = "control.memory", "gauge", "Resident memory of this process, in bytes.";
}

/// Sends metrics; clones share one socket.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Returns metrics that are discarded.
    pub fn none() -> Self {
        Self::with_sink(NopMetricSink)
    }

    /// Returns metrics that are sent to a statsd server over UDP.
    ///
    /// A separate thread sends them, so that no request waits for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be opened.
    pub fn udp(server: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(server, socket).map_err(io::Error::other)?;
        Ok(Self::with_sink(QueuingMetricSink::from(sink)))
    }

    /// Returns metrics that are sent to `sink`.
    pub fn with_sink(
        sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
        }
    }

    /// Records the answer to a request, with the kind of error if it was refused.
    pub fn record_answer(&self, time: Duration, refused: Option<error::Kind>) {
        let _ = self.client.time(REQUEST_TIME, time);
        match refused {
            None => {
                let _ = self.client.incr(REQUESTS_ANSWERED);
            }
            Some(kind) => {
                let kind = kind.to_string();
                self.client
                    .incr_with_tags(REQUESTS_REFUSED)
                    .with_tag("kind", &kind)
                    .send();
            }
        }
    }

    /// Records the start of a task and how long it waited.
    pub fn record_start(&self, kind: Kind, waited: Duration) {
        let kind = kind.to_string();
        self.client
            .time_with_tags(WAITING_TIME, waited)
            .with_tag("kind", &kind)
            .send();
    }

    /// Sends a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Sends the processor time and the resident memory of this process.
    pub fn send_process_gauges(&self) {
        if let Some(time) = process::processor_time() {
            self.gauge(CONTROL_CPU, time.as_millis() as u64);
        }
        if let Some(bytes) = process::resident_bytes() {
            self.gauge(CONTROL_MEMORY, bytes);
        }
    }
}

/// The resource usage of this process, read from `/proc`.
pub mod process {
    use std::{
        fs,
        time::Duration, //
    };

    const TICKS_PER_SECOND: u64 = 100;
    const PAGE_BYTES: u64 = 4096;

    /// Returns the processor time of this process, or `None` without `/proc`.
    pub fn processor_time() -> Option<Duration> {
        let stat = fs::read_to_string("/proc/self/stat").ok()?;
        // The second field may contain spaces, so fields are counted from its closing parenthesis.
        let (_, fields) = stat.rsplit_once(')')?;
        let mut times = fields.split_whitespace().skip(11);
        let user: u64 = times.next()?.parse().ok()?;
        let system: u64 = times.next()?.parse().ok()?;
        let millis = (user + system) * 1000 / TICKS_PER_SECOND;
        Some(Duration::from_millis(millis))
    }

    /// Returns the resident memory of this process, or `None` without `/proc`.
    pub fn resident_bytes() -> Option<u64> {
        let statm = fs::read_to_string("/proc/self/statm").ok()?;
        let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
        Some(pages * PAGE_BYTES)
    }
}
