//! What operators have set for queues and teams.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Resources, //
};

use crate::reserve;

/// What a call to the advice service costs, and how long its tickets hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdviceSettings {
    /// What each call takes.
    pub per_call: Duration,
    /// What each worker that it names takes on top.
    pub per_worker: Duration,
    /// How long a ticket holds.
    pub ticket_lifetime: Duration,
}

impl AdviceSettings {
    /// Returns how long a call about `workers` workers takes.
    pub fn cost(&self, workers: usize) -> Duration {
        self.per_call + self.per_worker * workers as u32
    }
}

/// A queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The pool of workers that runs its tasks.
    pub pool: Name,
    /// Its priority; zero comes first.
    pub priority: u32,
    /// After how many failed runs of a task a job fails.
    pub max_attempts: u32,
    /// By which factor a job may exceed its longest chain of work and still be on time.
    pub stretch: f64,
    /// By how much more it may exceed it.
    pub slack: Duration,
    /// The advice service that limits which workers may run a step.
    pub advice: Option<AdviceSettings>,
}

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: Name,
    /// Its share where not all work fits, and the jobs a second that it is owed.
    pub weight: f64,
    /// The most that it may have running; zero in a dimension stands for no limit.
    pub cap: Resources,
}

impl Team {
    /// Says whether `used` is within the cap, or within what it leaves to work that is not urgent.
    pub fn allows(&self, used: &Resources, urgent: bool) -> bool {
        let cap = if urgent {
            self.cap
        } else {
            reserve::shared_part(&self.cap)
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
    /// The queues, by name.
    pub queues: BTreeMap<Name, Queue>,
    /// The teams, by name.
    pub teams: BTreeMap<Name, Team>,
}
