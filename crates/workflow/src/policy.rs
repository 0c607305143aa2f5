//! Configuration of queues and teams by the operators.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Resources, //
};

use crate::{
    advice,
    reserve, //
};

/// Expected duration of calls to the advice service, and the validity of its tickets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdviceSettings {
    /// Duration of each call.
    pub per_call: Duration,
    /// Additional duration for each worker that the call names.
    pub per_worker: Duration,
    /// Time for which a ticket is valid.
    pub ticket_lifetime: Duration,
}

impl AdviceSettings {
    /// Returns the expected duration of a call that names `workers` workers.
    pub fn cost(&self, workers: usize) -> Duration {
        self.per_call + self.per_worker * workers as u32
    }
}

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Pool of workers that runs the tasks.
    pub pool: Name,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Factor by which a job may exceed its critical path and still be on time.
    pub stretch: f64,
    /// Additional time by which it may do so.
    pub slack: Duration,
    /// Settings of the advice service, if it limits which workers may run a step.
    pub advice: Option<AdviceSettings>,
}

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Share of the team under overload, and the number of jobs per second that it is entitled to.
    pub weight: f64,
    /// Maximum resources of the running tasks; zero in a dimension stands for no limit.
    pub cap: Resources,
}

impl Team {
    /// Returns what the team may use beside `used`, for urgent work or for other work.
    pub fn room(&self, used: &Resources, urgent: bool) -> Resources {
        let cap = if urgent {
            self.cap
        } else {
            reserve::unreserved_part(&self.cap)
        };
        cap.zip_with(used, |cap, used| match cap {
            0 => u64::MAX,
            cap => cap.saturating_sub(used),
        })
    }

    /// Returns whether `used` is within the cap, or, for work that is not urgent, within the part
    /// of the cap that is not reserved for urgent work.
    pub fn allows(&self, used: &Resources, urgent: bool) -> bool {
        let cap = if urgent {
            self.cap
        } else {
            reserve::unreserved_part(&self.cap)
        };
        let within = |used: u64, cap: u64| cap == 0 || used <= cap;
        within(used.cpu_millis, cap.cpu_millis)
            && within(used.memory_mib, cap.memory_mib)
            && within(used.accelerators, cap.accelerators)
    }
}

/// All queues and teams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policy {
    /// Queues by name.
    pub queues: BTreeMap<Name, Queue>,
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
    /// Pools whose workers refuse what exceeds their capacity.
    pub guarded_pools: BTreeSet<Name>,
}

impl Policy {
    /// Returns the duration of the longest call to the advice service.
    pub fn longest_advice_call(&self) -> Duration {
        let settings = self.queues.values().filter_map(|queue| queue.advice);
        let longest = settings.map(|advice| advice.cost(advice::MAX_WORKERS));
        longest.max().unwrap_or_default()
    }
}
