//! What workers report.

use basilbridge_common::{
    id::Name,
    unit::Resources, //
};

use crate::job::TaskId;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The task is done.
    Done,
    /// The task failed, through a fault of its own or of the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq)]
pub struct Running {
    /// Name of the task.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Newest checkpoint.
    pub checkpoint: Option<Name>,
    /// Progress in percent; a long-running task that is at work reports 100.
    pub percent: f64,
    /// Tail latency in milliseconds, or the processor time in use in thousandths of a core,
    /// depending on the task.
    pub measurement: f64,
}

/// The end of a run. The worker reports it until it is acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub struct Ended {
    /// Sequence number of the end in this boot of the worker, from one.
    pub sequence: u64,
    /// Name of the task.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// How the run ended.
    pub outcome: Outcome,
    /// Newest checkpoint.
    pub checkpoint: Option<Name>,
}

/// All runs and unacknowledged ends of a worker, as its answer to a poll.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Inventory {
    /// Identifier of the boot: the time when the worker booted, by its own clock.
    pub boot: u64,
    /// Monotonic clock of the worker, in milliseconds.
    pub clock: u64,
    /// Current runs.
    pub running: Vec<Running>,
    /// Unacknowledged ends, oldest first.
    pub ended: Vec<Ended>,
}

/// Result of an order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartResult {
    /// The worker runs the task.
    Running,
    /// The worker knows a higher epoch.
    Fenced,
    /// The worker has already ended this run or a later one.
    Old,
    /// The lease in the order has expired.
    Late,
    /// The worker lacks free capacity.
    Full,
    /// The ticket is not valid.
    Ticket,
    /// The worker accepts no work at present.
    Unhealthy,
    /// Another worker answered at the address.
    OtherWorker,
    /// The worker can't parse the order.
    Malformed,
    /// The order did not reach the worker.
    Unsent,
    /// The order was not sent, because it had waited until it did not hold any more; see
    /// [`Engine::may_send`](crate::engine::Engine::may_send).
    Withheld,
    /// It is unknown whether the worker executes the order, now or later.
    Unknown,
}

/// Result of an order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopResult {
    /// The worker stops the run, or rejects it if its start arrives later.
    Taken,
    /// The worker knows a higher epoch.
    Fenced,
    /// It is unknown whether the worker executes the order.
    Unknown,
}

/// Entry of a worker in the list of workers.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// Name of the worker.
    pub name: Name,
    /// Address of the worker.
    pub address: Name,
    /// Pool that the worker belongs to.
    pub pool: Name,
    /// Identifier of the boot: the time when the worker booted.
    pub boot: u64,
    /// Capacity for tasks.
    pub capacity: Resources,
    /// Data centre that the worker is in; empty if unknown.
    pub data_centre: Name,
    /// Labels: the kind of the worker, and its rack as the last one.
    pub labels: Vec<Name>,
    /// Whether the worker is about to leave.
    pub leaving: bool,
}

/// Most of each resource that a worker can have, and that a task can ask for: beyond any machine, and
/// small enough for sums over all workers and tasks.
pub const MAX_RESOURCE: u64 = u32::MAX as u64;

impl WorkerInfo {
    /// Checks that the entry can be that of a worker. Others may write to the list of workers, and an
    /// absurd capacity would hide that of all workers of the pool.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the entry.
    pub fn check(&self) -> Result<(), &'static str> {
        if is_plausible(&self.capacity) {
            Ok(())
        } else {
            Err("the capacity is beyond any machine")
        }
    }
}

/// Returns whether a machine can have this amount.
pub(crate) fn is_plausible(resources: &Resources) -> bool {
    resources.cpu_millis.max(resources.memory_mib) <= MAX_RESOURCE
        && resources.accelerators <= MAX_RESOURCE
}
