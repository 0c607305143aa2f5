//! Jobs as they are submitted, and the names of their tasks.

use std::{
    fmt,
    str::FromStr,
    time::Duration, //
};

use basilbridge_common::{
    id::{
        Malformed,
        Name, //
    },
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_derives::{
    data,
    kind, //
};
use serde_with::DurationMilliSeconds;

use crate::report::is_plausible;

/// Most tasks of a job, over all occurrences. An owner keeps some hundred bytes for each.
pub const MAX_TASKS: u64 = 100_000;

/// Longest estimate and interval: a hundred years. Their sums over [`MAX_TASKS`] are valid durations.
pub const MAX_DURATION: Duration = Duration::from_secs(100 * 365 * 24 * 3600);

/// State of a job.
#[kind]
#[derive(Default)]
pub enum State {
    /// No task has started yet.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The job was cancelled before it was finished.
    Cancelled,
}

impl State {
    /// Returns whether the state does not change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Schedule of a job whose steps run several times, or later.
#[data]
pub struct Schedule {
    /// Number of occurrences.
    pub times: u32,
    /// Time when the first occurrence is due.
    pub first: Millis,
    /// Time between two occurrences.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub interval: Duration,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde's signature")]
fn is_false(flag: &bool) -> bool {
    !flag
}

/// A group of identical tasks.
#[data]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task requests.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The submitter's estimate of the run time of a task. It may be far off.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub estimate: Duration,
    /// Indexes of the earlier steps whose tasks must all be done first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<usize>,
    /// Whether the tasks write checkpoints.
    #[serde(default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks work only if all of them run at the same time.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks are much slower if they are spread over several racks.
    #[serde(default, skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_false")]
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Whether the tasks run on the processor time that other tasks on the worker leave unused.
    #[serde(default, skip_serializing_if = "is_false")]
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Label that the worker must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<Name>,
    /// Rack that holds the data of the step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Name>,
    /// Maximum number of tasks of the step on one worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "most_per_worker")]
    pub max_per_worker: Option<u32>,
    /// Upper limit for the tail latency of the tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "target")]
    pub latency_target: Option<Duration>,
    /// Maximum number of tasks that the scheduler may keep from running at the same time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns the part of the capacity of a worker that a task reserves.
    ///
    /// A best-effort task reserves no processor time, since it only uses what other tasks leave.
    pub fn demand(&self) -> Resources {
        let cpu_millis = if self.best_effort {
            0
        } else {
            self.resources.cpu_millis
        };
        Resources {
            cpu_millis,
            ..self.resources
        }
    }
}

/// The work of a job.
#[data]
pub struct Spec {
    /// Opaque text that workers receive with each task.
    #[serde(rename = "text")]
    pub payload: Name,
    /// Steps; `after` refers to them by index.
    pub steps: Vec<Step>,
    /// Schedule; without one the steps run once, at once.
    #[serde(default)]
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// Returns the number of occurrences of the steps.
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .as_ref()
            .map_or(1, |schedule| schedule.times.max(1))
    }

    /// Checks that an owner can hold the job and compute its times.
    ///
    /// A job beyond that would end each owner in turn, since the next one finds it in the store.
    ///
    /// # Errors
    ///
    /// Returns what exceeds its limit.
    pub fn check(&self) -> Result<(), &'static str> {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks.saturating_mul(u64::from(self.occurrences())) > MAX_TASKS {
            return Err("the job has too many tasks");
        }
        if self.steps.iter().any(|step| step.estimate > MAX_DURATION) {
            return Err("the estimate of a step is too long");
        }
        if self.steps.iter().any(|step| !is_plausible(&step.resources)) {
            return Err("a task asks for more than any machine has");
        }
        let schedule = self.schedule.as_ref();
        if schedule.is_some_and(|schedule| schedule.interval > MAX_DURATION) {
            return Err("the interval between two occurrences is too long");
        }
        Ok(())
    }

    /// Returns the critical path, which is the longest chain of estimated run times, if each step
    /// takes `overhead` longer than its estimate.
    pub fn critical_path(&self, overhead: Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependencies_end = step.after.iter().filter_map(|index| ends.get(*index)).max();
            let start = dependencies_end.copied().unwrap_or_default();
            let end = start.saturating_add(step.estimate);
            ends.push(end.saturating_add(overhead));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

/// An accepted job.
#[data]
pub struct Accepted {
    /// Queue that the job was sent to.
    pub queue: Name,
    /// Team that the job counts for; `None` on a queue that is open to all.
    #[serde(default)]
    #[serde(rename = "tenant")]
    pub team: Option<Name>,
    /// Time of acceptance, by the clock of the VM that received the job.
    #[serde(rename = "at")]
    pub accepted_at: Millis,
    /// Work of the job.
    pub spec: Spec,
}

/// Name of a task, as workers and logs show it: `job.occurrence.step.index`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Name of the job.
    pub job: Name,
    /// Index of the occurrence, from zero.
    pub occurrence: u32,
    /// Index of the step, from zero.
    pub step: u32,
    /// Index of the task in its step, from zero.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let parse = || {
            let mut parts = text.rsplitn(4, '.');
            let index = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let occurrence = parts.next()?.parse().ok()?;
            let job = parts.next()?.into();
            Some(Self {
                job,
                occurrence,
                step,
                index,
            })
        };
        parse().ok_or_else(|| Malformed {
            expected: "task name",
            text: text.to_owned(),
        })
    }
}
