//! What sets the kinds of work apart, in one table.
//!
//! `docs/design/placement.md` and `docs/design/preemption.md` weigh the choices.

use std::time::Duration;

use basilbridge_common::job::Kind;

use crate::{
    placement::Order,
    task::Task, //
};

/// The order in which kinds are looked at.
pub const ORDER: [Kind; 4] = [Kind::Interactive, Kind::Service, Kind::Gang, Kind::Batch];

/// How long a shard with tasks that wait may go without a decision.
pub const DECISION_INTERVAL: Duration = Duration::from_millis(250);

/// How often a task is stopped for another one at most.
pub const MOST_PREEMPTIONS: u32 = 3;

/// How one kind of work is treated.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// The kind.
    pub kind: Kind,
    /// What a task is ordered by within its team; the smallest goes first.
    pub rank: fn(&Task) -> u64,
    /// How workers are chosen.
    pub order: Order,
    /// Whether the tasks of a job go to different racks while there are enough.
    pub spread_racks: bool,
    /// Whether the room kept free for interactive work may be used.
    pub uses_headroom: bool,
    /// Whether this kind may have a task of another kind stopped.
    pub preempts: fn(Kind) -> bool,
    /// Whether a task of this kind may be stopped for another one.
    pub preemptible: fn(&Task) -> bool,
    /// How long the oldest job waits before room is reserved for it.
    pub reserve_after: Option<Duration>,
    /// Whether a task may run in reserved room until that is needed.
    pub backfills: bool,
    /// Whether tasks end so soon that none needs to be stopped.
    pub short_lived: bool,
    /// How many tasks wait at most before more are refused.
    pub most_waiting: usize,
    /// How often a task that failed or was lost is tried again at most.
    pub retries: u32,
}

/// Returns the policy of a kind.
pub fn of(kind: Kind) -> &'static Policy {
    &TABLE[position(kind)]
}

/// Returns the place of a kind in [`ORDER`].
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
        order: Order::Emptiest,
        spread_racks: false,
        uses_headroom: true,
        preempts: |victim| victim == Kind::Batch,
        preemptible: |_| false,
        reserve_after: None,
        backfills: true,
        short_lived: true,
        most_waiting: 10_000,
        retries: 1,
    },
    Policy {
        kind: Kind::Service,
        rank: |task| task.accepted.0,
        order: Order::Emptiest,
        spread_racks: true,
        uses_headroom: false,
        preempts: |victim| victim == Kind::Batch,
        preemptible: |_| false,
        reserve_after: None,
        backfills: false,
        short_lived: false,
        most_waiting: 10_000,
        retries: u32::MAX,
    },
    Policy {
        kind: Kind::Gang,
        rank: |task| task.accepted.0,
        order: Order::First,
        spread_racks: false,
        uses_headroom: false,
        preempts: |_| false,
        preemptible: |_| false,
        reserve_after: Some(Duration::from_secs(10)),
        backfills: false,
        short_lived: false,
        most_waiting: 10_000,
        retries: 3,
    },
    Policy {
        kind: Kind::Batch,
        rank: |task| task.accepted.0,
        order: Order::First,
        spread_racks: false,
        uses_headroom: false,
        preempts: |_| false,
        preemptible: |task| task.repeatable,
        reserve_after: None,
        backfills: true,
        short_lived: false,
        most_waiting: 100_000,
        retries: 5,
    },
];
