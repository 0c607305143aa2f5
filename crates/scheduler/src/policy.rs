//! The scheduling policy of each kind of work, in one table.
//!
//! `docs/design/placement.md` and `docs/design/preemption.md` explain the choices.

use std::time::Duration;

use basilbridge_common::job::Kind;

use crate::{
    placement::Strategy,
    task::Task, //
};

/// All kinds, in the order in which a decision considers them.
pub const ORDER: [Kind; 4] = [Kind::Interactive, Kind::Service, Kind::Gang, Kind::Batch];

/// The maximum time between decisions of a shard with waiting tasks.
pub const DECISION_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of times that a task is preempted.
pub const MAX_PREEMPTIONS: u32 = 3;

/// The scheduling policy of one kind of work.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// The kind.
    pub kind: Kind,
    /// Returns the sort key of a task within its team, in ascending order.
    pub rank: fn(&Task) -> u64,
    /// The order in which workers are searched.
    pub strategy: Strategy,
    /// Whether the tasks of a job go to different racks as long as these have capacity.
    pub spread_racks: bool,
    /// Whether tasks may use the capacity that is kept free for interactive work.
    pub uses_headroom: bool,
    /// Returns whether tasks of this kind may preempt tasks of the given kind.
    pub preempts: fn(Kind) -> bool,
    /// Returns whether a task of this kind may be preempted.
    pub preemptible: fn(&Task) -> bool,
    /// How long the oldest job waits before resources are reserved for it.
    pub reserve_after: Option<Duration>,
    /// Whether tasks may run in reserved capacity until that is needed.
    pub may_backfill: bool,
    /// Whether tasks end so soon that they need not be stopped to free their capacity.
    pub short_lived: bool,
    /// The maximum number of waiting tasks, beyond which new ones are refused.
    pub max_waiting: usize,
    /// The maximum number of retries of a task that failed or was lost.
    pub max_retries: u32,
}

/// Returns the policy of a kind.
pub fn of(kind: Kind) -> &'static Policy {
    &TABLE[position(kind)]
}

/// Returns the index of a kind in [`ORDER`].
pub fn position(kind: Kind) -> usize {
    match kind {
        Kind::Interactive => 0,
        Kind::Service => 1,
        Kind::Gang => 2,
        Kind::Batch => 3,
    }
}

static TABLE: [Policy; ORDER.len()] = [
    Policy {
        kind: Kind::Interactive,
        rank: |task| task.deadline.unwrap_or(task.accepted).0,
        strategy: Strategy::WorstFit,
        spread_racks: false,
        uses_headroom: true,
        preempts: |victim| victim == Kind::Batch,
        preemptible: |_| false,
        reserve_after: None,
        may_backfill: true,
        short_lived: true,
        max_waiting: 10_000,
        max_retries: 1,
    },
    Policy {
        kind: Kind::Service,
        rank: |task| task.accepted.0,
        strategy: Strategy::WorstFit,
        spread_racks: true,
        uses_headroom: false,
        preempts: |victim| victim == Kind::Batch,
        preemptible: |_| false,
        reserve_after: None,
        may_backfill: false,
        short_lived: false,
        max_waiting: 10_000,
        max_retries: u32::MAX,
    },
    Policy {
        kind: Kind::Gang,
        rank: |task| task.accepted.0,
        strategy: Strategy::FirstFit,
        spread_racks: false,
        uses_headroom: false,
        preempts: |_| false,
        preemptible: |_| false,
        reserve_after: Some(Duration::from_secs(10)),
        may_backfill: false,
        short_lived: false,
        max_waiting: 10_000,
        max_retries: 3,
    },
    Policy {
        kind: Kind::Batch,
        rank: |task| task.accepted.0,
        strategy: Strategy::FirstFit,
        spread_racks: false,
        uses_headroom: false,
        preempts: |_| false,
        preemptible: |task| task.repeatable,
        reserve_after: None,
        may_backfill: true,
        short_lived: false,
        max_waiting: 100_000,
        max_retries: 5,
    },
];
