//! Which task to blame for the crash of a worker, and when a task is given up for it.
//!
//! A worker that crashes reports nothing, so any of its runs may have crashed it, or none: it may
//! have lost power. Only a repetition tells. The tasks that may have been the cause are therefore
//! kept apart when they start again, and those that a worker goes on running are not blamed for its
//! crash. See `docs/design/crashes.md`.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

pub use basilbridge_common::crash::{
    Attribution,
    PROOF_TIME,
    SAME_TIME,
    Suspect,
    blame, //
};
use basilbridge_common::unit::Millis;

use crate::progress::Placement;

/// Crashes after which a task is given up if each of the last [`CLEAR_CRASHES`] was clear.
///
/// After this number of crashes the users' rules allow two more starts.
const MAX_CRASHES: usize = 3;

/// Clear crashes that are needed for that. A single one may be a coincidence.
const CLEAR_CRASHES: usize = 2;

/// Crashes after which a task is given up in any case. It leaves one of the two starts for a crash
/// that no owner has recorded, because the owner ended at the same time.
const MAX_UNCLEAR_CRASHES: usize = MAX_CRASHES + 1;

/// Crashes of the workers that a task ran on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// Runs that vanished with their workers, and whether each was the only possible cause.
    pub crashes: BTreeMap<u32, bool>,
    /// Where a run is about to start, or had just started when its worker stopped to answer. It
    /// tells a later owner that the run may have crashed that worker.
    pub placement: Option<Placement>,
    /// Who knows of the placement.
    pub record: Record,
}

/// Who knows of a placement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Record {
    /// Only this owner does.
    #[default]
    Pending,
    /// The placement is stored.
    Stored,
    /// An earlier owner has stored it, and the fate of the run is not known.
    Inherited,
}

impl History {
    /// Returns whether a worker has crashed under the task.
    pub fn is_suspect(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns whether the task is to be given up.
    pub fn is_conclusive(&self) -> bool {
        let last = self.crashes.values().rev().take(CLEAR_CRASHES);
        self.crashes.len() >= MAX_UNCLEAR_CRASHES
            || (self.crashes.len() >= MAX_CRASHES && last.copied().all(|is_clear| is_clear))
    }

    /// Records that a run vanished with its worker.
    pub fn record_crash(&mut self, run: u32, is_clear: bool) {
        self.crashes.insert(run, is_clear);
        self.placement = None;
    }

    /// Records where a run is about to start, or may have crashed its worker. Returns whether that
    /// was unknown.
    pub fn place(&mut self, placement: Placement) -> bool {
        let is_new = self.placement.as_ref() != Some(&placement);
        if is_new {
            self.placement = Some(placement);
            self.record = Record::Pending;
        }
        is_new
    }

    /// Records that a worker has reported the run, so that the run has not crashed it. Returns
    /// whether that changes the history.
    pub fn exonerate(&mut self, run: u32) -> bool {
        let is_placed = self.placement.as_ref();
        let is_placed = is_placed.is_some_and(|placement| placement.run <= run);
        if is_placed {
            self.placement = None;
        }
        self.crashes.remove(&run).is_some() || is_placed
    }
}

/// Time for which the crashes of a machine count. One that crashes by itself does so again soon.
const MACHINE_MEMORY: Duration = Duration::from_secs(60);

/// Longest time for which a worker is kept for a suspected task whose start is being recorded. The
/// store takes less, unless it is down.
pub const RESERVATION_TIME: Duration = Duration::from_millis(500);

/// Time for which a suspected task waits, for each crash, for a worker without other suspects and
/// new runs. With the most crashes it is two thirds of the 3 s within which the users' rules require
/// work to start.
const ISOLATION_WAIT: Duration = Duration::from_secs(1);

/// Most crashes for which the wait grows.
const MAX_WAITS: u32 = 2;

/// Fraction of all workers that crash at the same time when the cause is not a task.
const OUTAGE_FRACTION: f64 = 1.0 / 8.0;

/// The same for the workers of one rack.
const RACK_OUTAGE_FRACTION: f64 = 1.0 / 2.0;

/// Workers that crashed at the same time as another one, or fell silent, and all others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Other workers.
    pub all: usize,
    /// Those that crashed.
    pub crashed: usize,
    /// Other workers of the rack.
    pub in_rack: usize,
    /// Those that crashed.
    pub crashed_in_rack: usize,
}

impl Neighbours {
    /// Returns whether so many workers crashed at the same time that it was an outage, of power for
    /// example. A few may crash by coincidence.
    pub fn show_outage(&self) -> bool {
        let most = |crashed: usize, all: usize, fraction: f64| {
            crashed >= 2 && crashed as f64 >= all as f64 * fraction
        };
        most(self.crashed, self.all, OUTAGE_FRACTION)
            || most(self.crashed_in_rack, self.in_rack, RACK_OUTAGE_FRACTION)
    }
}

/// Crashes of the workers at one address.
#[derive(Debug, Clone, Copy, Default)]
pub struct Machine {
    crashes: u32,
    last: Millis,
}

impl Machine {
    /// Returns the number of crashes that count.
    pub fn crashes(&self, now: Millis) -> u32 {
        if now.since(self.last) < MACHINE_MEMORY {
            self.crashes
        } else {
            0
        }
    }

    /// Records a crash. Returns whether the machine has crashed so often that it may be the cause.
    pub fn record_crash(&mut self, now: Millis) -> bool {
        const CRASH_LOOP: u32 = 3;
        self.crashes = self.crashes(now) + 1;
        self.last = now;
        self.crashes >= CRASH_LOOP
    }
}

/// Other runs on a worker that may get the run of a suspected task, the worst first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Colocation {
    /// Whether one of them is of a suspected task and may still crash the worker by its start.
    pub unproven_suspect: bool,
    /// Whether one of them is of a suspected task.
    pub suspect: bool,
    /// Whether one of them may still crash the worker by its start.
    pub unproven: bool,
    /// Number of recent crashes of the machine.
    pub crashes: u32,
    /// Their number, which is that of the runs that a crash would cost.
    pub runs: u32,
    /// Number of those of suspected tasks that may still crash the worker by their start.
    pub unproven_suspects: u32,
    /// Whether workers have crashed under one of these tasks more than once.
    pub repeated_suspect: bool,
}

impl Colocation {
    /// Adds a suspected task under which `crashes` workers have crashed and that is not proved
    /// harmless.
    pub fn add_suspect(&mut self, crashes: usize) {
        self.unproven_suspect = true;
        self.unproven_suspects += 1;
        self.repeated_suspect |= crashes > 1;
    }
}

/// Waiting suspects for each worker from which on they start in groups. One after the other they take
/// some 0.4 s each.
const SUSPECTS_PER_WORKER: usize = 4;

/// Fraction of the waiting suspects that make a group.
const GROUP_DIVISOR: usize = 8;

/// Returns how many suspects under which a single worker has crashed may start at once on one of
/// `workers`, if so many of them are `waiting`.
///
/// Answers the crash of a worker with hundreds of long-running tasks, which all are suspects and are to
/// run again within seconds. If one of a group crashes the next worker, each of the group has to
/// start alone from then on.
pub fn group_size(waiting: usize, workers: usize) -> usize {
    match waiting > workers * SUSPECTS_PER_WORKER {
        true => waiting.div_ceil(GROUP_DIVISOR),
        false => 1,
    }
}

/// Returns whether a task that was blamed for `crashes` and has waited for `waited` may start beside
/// `colocation`.
///
/// It never starts beside another one before that has proved harmless, which takes little time, unless
/// both belong to a group of at most `group` (see [`group_size`]). It waits for a better place only
/// if it is not `long_running`.
pub fn admits(
    colocation: Colocation,
    group: usize,
    crashes: usize,
    waited: Duration,
    long_running: bool,
) -> bool {
    let waits = u32::try_from(crashes).map_or(MAX_WAITS, |crashes| crashes.min(MAX_WAITS));
    let is_alone = !colocation.suspect && !colocation.unproven;
    let has_room = (colocation.unproven_suspects as usize) < group;
    let may_join = group > 1 && crashes == 1 && !colocation.repeated_suspect && has_room;
    (!colocation.unproven_suspect || may_join)
        && (is_alone || long_running || waited >= ISOLATION_WAIT * waits)
}
