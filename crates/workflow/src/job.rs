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

/// Where a job stands.
#[kind]
#[derive(Default)]
pub enum State {
    /// No task has started yet.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks ended well.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The job was cancelled before it ended.
    Cancelled,
}

impl State {
    /// Says whether the job changes no more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// When the steps of a job run, if more than once.
#[data]
pub struct Schedule {
    /// How often the steps run.
    pub times: u32,
    /// When the first occurrence is due.
    pub first: Millis,
    /// The time from one occurrence to the next.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub interval: Duration,
}

/// A group of like tasks.
#[data]
pub struct Step {
    /// How many tasks the step has.
    pub count: u32,
    /// What one task takes up on its worker.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// How long a task runs, as its submitter guesses; it may be far off.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub estimate: Duration,
    /// The earlier steps, by number, whose tasks must all be done first.
    #[serde(default)]
    pub after: Vec<usize>,
    /// Whether the tasks keep checkpoints.
    #[serde(default)]
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    #[serde(default)]
    pub gang: bool,
    /// Whether the tasks are much slower when they are spread over racks.
    #[serde(default)]
    pub same_rack: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default)]
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Whether the tasks use the processor time that others on the worker leave.
    #[serde(default)]
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// A label that the worker must have.
    #[serde(default)]
    pub label: Option<Name>,
    /// The rack that holds the data of the step.
    #[serde(default)]
    pub data_rack: Option<Name>,
    /// How many tasks of the step may run on one worker.
    #[serde(default)]
    #[serde(rename = "most_per_worker")]
    pub max_per_worker: Option<u32>,
    /// The tail of response times that the tasks must stay below.
    #[serde(default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "target")]
    pub latency_target: Option<Duration>,
    /// How many tasks may be away at once because of the scheduler.
    #[serde(default)]
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns what a task takes of a worker's capacity.
    ///
    /// A task that fills takes memory only: its processor time is what the others leave.
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

/// What a job consists of.
#[data]
pub struct Spec {
    /// What workers are handed for each task; it is never looked into.
    #[serde(rename = "text")]
    pub payload: Name,
    /// The steps, in the order that `after` counts them.
    pub steps: Vec<Step>,
    /// When the steps run, if not at once.
    #[serde(default)]
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// Returns how often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .as_ref()
            .map_or(1, |schedule| schedule.times.max(1))
    }

    /// Returns the longest chain of estimated work, where each step costs `overhead` more.
    pub fn critical_path(&self, overhead: Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|index| ends.get(*index)).max();
            let start = before.copied().unwrap_or_default();
            ends.push(start + step.estimate + overhead);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

/// A job that was accepted.
#[data]
pub struct Accepted {
    /// The queue that the job was sent to.
    pub queue: Name,
    /// The team that the job counts for; none on a queue that is open to all.
    #[serde(default)]
    #[serde(rename = "tenant")]
    pub team: Option<Name>,
    /// When the job was accepted, by the clock of the VM that took it.
    #[serde(rename = "at")]
    pub accepted_at: Millis,
    /// What it consists of.
    pub spec: Spec,
}

/// One task, as workers and logs know it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: Name,
    /// The occurrence of the steps, from zero.
    pub occurrence: u32,
    /// The step, from zero.
    pub step: u32,
    /// The number of the task in its step, from zero.
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
            wanted: "task name",
            text: text.to_owned(),
        })
    }
}
