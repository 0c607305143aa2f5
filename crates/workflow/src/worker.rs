//! What is known about one worker, and when its leases are guaranteed to have expired.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};

use crate::{
    availability, crash,
    job::TaskId,
    lease::{
        self,
        Lease, //
    },
    pace,
    progress::Placement,
    report::{
        Ended,
        Outcome,
        WorkerInfo, //
    },
    runs::Runs,
};

slotmap::new_key_type! {
    /// Key of a worker in the engine.
    pub struct Key;
    /// Key of a job in the engine.
    pub struct JobKey;
}

/// State of the orders for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start was sent and has not been answered.
    Ordered,
    /// The worker confirmed the run at this time.
    Confirmed(Millis),
    /// The run has to end. The time is that of the answer to the stop, once there is one.
    Stopping(Option<Millis>),
}

/// Position of a task in the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TaskPosition {
    /// Key of the job.
    pub job: JobKey,
    /// Index of the stage in the job.
    pub stage: usize,
    /// Index of the task in the stage.
    pub index: usize,
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Run number.
    pub run: u32,
    /// Position of the task; `None` if the job is unknown.
    pub position: Option<TaskPosition>,
    /// Reserved part of the capacity of the worker.
    pub demand: Resources,
    /// Pool of the worker when the run was added. A worker can move to another pool with its runs.
    pub pool: Name,
    /// Team whose cap the run counts against, and the resources that count.
    pub team: Option<(Name, Resources)>,
    /// Whether its job is in excess of the rate of its team.
    pub over_quota: bool,
    /// State of the orders for the run.
    pub phase: Phase,
    /// Size of the start, in bytes; zero if an earlier owner sent it.
    pub start_bytes: usize,
    /// Time when the run was ordered or first seen.
    pub started_at: Millis,
    /// Time when the worker listed the run long enough after its start to show that it does not
    /// crash the worker by that; see [`crash::PROOF_TIME`].
    pub proven_at: Option<Millis>,
    /// Whether this owner started it, without a checkpoint.
    pub whole: bool,
    /// Progress when its speed was last measured.
    pub reading: Option<pace::Reading>,
    /// Progress in percent.
    pub percent: f64,
    /// Time when `percent` last rose.
    pub progressed_at: Millis,
    /// Tail latency in milliseconds, or the processor time in use in thousandths of a core,
    /// depending on the task.
    pub measurement: f64,
    /// Last ordered speed, in percent of the full speed; `None` if it is not known which one took
    /// effect last.
    pub throttle_percent: Option<u32>,
    /// Time when a stop was last sent.
    pub stop_sent: Option<Millis>,
}

/// An end that has been handled and is not stored.
#[derive(Debug, Clone)]
pub struct UnstoredEnd {
    sequence: u64,
    /// The task that has ended.
    pub task: TaskId,
}

/// A worker and its runs.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Entry in the list of workers.
    pub info: WorkerInfo,
    /// Whether the list of workers names it.
    pub listed: bool,
    /// Boot that answered the last poll.
    pub boot: Option<u64>,
    /// Whether that boot has listed all its runs and ends to this owner. A list of ends can be cut
    /// short.
    pub is_inventoried: bool,
    /// Boots before that one, which have ended.
    former_boots: Vec<u64>,
    /// Runs that it has, or may have.
    pub runs: Runs,
    /// Capacity that these runs reserve.
    pub used: Resources,
    /// Sequence number of the last end that was handled.
    pub received: u64,
    /// Sequence number of the last end that is stored.
    pub stored: u64,
    /// Ends `done` and `failed` after that one, oldest first: if they are forgotten, their tasks
    /// start again. At most as many as the worker lists at once.
    pub unstored_ends: VecDeque<UnstoredEnd>,
    /// Time of the last answer to a poll.
    pub last_response: Option<Millis>,
    /// Whether the last poll was not answered.
    pub unresponsive: bool,
    /// Time when it last stopped to answer.
    pub silent_since: Option<Millis>,
    /// Whether another worker answers at its address, so that it has ended.
    pub replaced: bool,
    /// Whether the next owner is certain to find its name in the store; see
    /// [`crate::engine::Engine::roster`].
    pub is_on_roster: bool,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Whether the store holds, or may hold, a record of what it may run, which new work would make
    /// untrue.
    pub is_recorded: bool,
    /// Whether the store holds, or may hold, the end of its leases, which extending them would make
    /// untrue.
    pub is_lease_recorded: bool,
    /// Whether this owner is known to have held the claim after that boot had first answered.
    pub is_boot_confirmed: bool,
    /// Time when the latest poll was sent that this boot has answered, so that no later owner had
    /// reached it by then.
    pub accepted_at: Millis,
    /// Time until which it gets no new work.
    pub avoid_until: Millis,
    /// Time until which it gets only work that no other worker may run.
    pub quarantined_until: Millis,
    /// Whether a task polls it.
    pub polled: bool,
    /// Whether it has to be polled at once.
    pub poll_now: bool,
    /// Time when it was last polled at once for a suspected task.
    pub proof_polled_at: Option<Millis>,
    /// Jobs of which a task has failed since the last success.
    pub failed_jobs: Vec<Name>,
    /// Time until which it counts as slow.
    pub slow_until: Millis,
    /// How long its tasks take.
    pub pace: pace::Pace,
    /// Number of quarantines since the last success.
    pub quarantines: u32,
    /// Time when the list named a boot that has not answered a poll yet.
    pub reboot_listed_at: Option<Millis>,
    /// Ends of jobs that are not known yet, oldest first.
    pub unmatched_ends: Vec<Ended>,
    lease: Lease,
}

impl Run {
    /// Returns whether the worker has run it long enough to prove that its start does no harm.
    pub fn has_outlived_start(&self, now: Millis) -> bool {
        matches!(self.phase, Phase::Confirmed(at) if now.since(at) >= crash::PROOF_TIME)
    }
}

impl Worker {
    /// Creates a worker that has not answered yet.
    pub fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            listed: true,
            boot: None,
            is_inventoried: false,
            former_boots: Vec::new(),
            runs: Runs::default(),
            used: Resources::default(),
            received: 0,
            stored: 0,
            unstored_ends: VecDeque::new(),
            last_response: None,
            unresponsive: false,
            silent_since: None,
            replaced: false,
            is_on_roster: false,
            evacuated: false,
            is_recorded: false,
            is_lease_recorded: false,
            is_boot_confirmed: false,
            accepted_at: Millis(0),
            avoid_until: Millis(0),
            quarantined_until: Millis(0),
            polled: false,
            poll_now: true,
            proof_polled_at: None,
            failed_jobs: Vec::new(),
            slow_until: Millis(0),
            pace: pace::Pace::default(),
            quarantines: 0,
            reboot_listed_at: None,
            unmatched_ends: Vec::new(),
            lease: Lease::default(),
        }
    }

    /// Resets the state that belongs to an earlier boot.
    pub fn reboot(&mut self, boot: u64) {
        if let Some(former) = self.boot.replace(boot) {
            self.former_boots.push(former);
        }
        self.is_inventoried = false;
        self.received = 0;
        self.stored = 0;
        self.unstored_ends.clear();
        self.lease = Lease::default();
        self.is_boot_confirmed = false;
        self.accepted_at = Millis(0);
        self.exonerate();
        self.slow_until = Millis(0);
        self.pace = pace::Pace::default();
        self.reboot_listed_at = None;
        self.unmatched_ends.clear();
    }

    /// Records that an end has been handled.
    pub fn record_received(&mut self, end: &Ended) {
        self.received = self.received.max(end.sequence);
        if matches!(end.outcome, Outcome::Done | Outcome::Failed) {
            self.unstored_ends.push_back(UnstoredEnd {
                sequence: end.sequence,
                task: end.task.clone(),
            });
        }
    }

    /// Records that all ends up to `sequence` are stored.
    pub fn record_stored(&mut self, sequence: u64) {
        self.stored = self.stored.max(sequence);
        let stored = self.stored;
        self.unstored_ends.retain(|end| end.sequence > stored);
    }

    /// Returns the sequence number up to which a poll may acknowledge ends.
    ///
    /// The sequence starts anew with each boot, so a number of an earlier boot would make a new one
    /// discard ends that it has not reported. Nothing is acknowledged while it is uncertain which
    /// boot receives the poll.
    pub fn confirmed_stored(&self) -> u64 {
        let is_boot_certain = !self.unresponsive && self.reboot_listed_at.is_none();
        if is_boot_certain { self.stored } else { 0 }
    }

    /// Returns the sequence number up to which ends may be acknowledged once their jobs are stored.
    /// Ends of jobs that are not known yet are excluded.
    pub fn last_matched_end(&self) -> u64 {
        let first_unmatched = self.unmatched_ends.iter().map(|end| end.sequence).min();
        first_unmatched.map_or(self.received, |sequence| self.received.min(sequence - 1))
    }

    /// Ends the suspicion that the worker fails what it starts.
    pub fn exonerate(&mut self) {
        self.failed_jobs.clear();
        self.quarantines = 0;
        self.quarantined_until = Millis(0);
    }

    /// Returns the free capacity.
    pub fn free(&self) -> Resources {
        self.info.capacity.minus(&self.used)
    }

    /// Returns whether new work may be sent to the worker.
    pub fn is_usable(&self, now: Millis) -> bool {
        availability::obstacle(self, now).is_none()
    }

    /// Records that it does not answer. Returns whether it did before.
    pub fn fall_silent(&mut self, now: Millis) -> bool {
        let did_answer = !std::mem::replace(&mut self.unresponsive, true);
        if did_answer {
            self.silent_since = Some(now);
        }
        did_answer
    }

    /// Returns whether an answer of `boot` is older than one of a later boot that was handled before.
    ///
    /// Boots are told apart by the time of day, which can jump, so they have no order of their own.
    pub fn is_former(&self, boot: u64) -> bool {
        self.former_boots.contains(&boot)
    }

    /// Returns whether an answer with this clock is older than one that was handled before.
    pub fn is_stale(&self, clock: u64) -> bool {
        self.lease.is_stale(clock)
    }

    /// Records an answer with the worker's clock, read at `at` or before.
    pub fn read_clock(&mut self, clock: u64, at: Millis) {
        self.last_response = Some(at);
        self.unresponsive = false;
        self.lease.read_clock(clock, at);
    }

    /// Returns the worker's clock at `now` or a little less, or `None` if it is not known.
    pub fn clock_at(&self, now: Millis) -> Option<u64> {
        self.lease.clock_at(now)
    }

    /// Returns whether the boot that answers had answered this owner by `time`.
    pub fn had_answered(&self, time: Millis) -> bool {
        self.lease.answered_at().is_some_and(|at| at <= time)
    }

    /// Returns the end of a lease of `length` from `base` on, by the worker's clock, or `None` if
    /// that clock is not known. `base` is `now` or earlier, or `None` if no lease may be extended.
    ///
    /// The leases of an unresponsive worker are not extended: any order may still arrive, so its
    /// runs would otherwise never count as ended. Nor are those whose end is recorded for the next
    /// owner.
    pub fn extend_lease(
        &mut self,
        length: Duration,
        base: Option<Millis>,
        now: Millis,
    ) -> Option<u64> {
        match base {
            Some(base) if !self.unresponsive && !self.is_lease_recorded => {
                self.lease.extend(length, base, now)
            }
            _ => self.lease.sent_end(),
        }
    }

    /// Returns the time when all runs are guaranteed to have ended, unless the worker answers
    /// before. `earlier_lease` is the longest lease of the owners before this one.
    pub fn leases_end(
        &self,
        max_lease: Duration,
        earlier_lease: Duration,
        epoch_start: Millis,
    ) -> Millis {
        let worst_case = lease::worst_case(max_lease);
        // A start that reached a boot with another clock is valid for the longest lease.
        let reboot_end = self.reboot_listed_at.map(|at| at.after(worst_case));
        let end = self.lease.end(earlier_lease);
        end.unwrap_or_else(|| epoch_start.after(worst_case))
            .max(reboot_end.unwrap_or_default())
    }

    /// Adds a run and reserves its demand.
    pub fn add_run(&mut self, task: TaskId, run: Run) {
        self.used = self.used.plus(&run.demand);
        self.runs.insert(task, run);
    }

    /// Removes a run and releases its demand.
    pub fn remove_run(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(&run.demand);
        Some(run)
    }

    /// Returns how the store names a run on this boot.
    pub fn placement(&self, run: u32) -> Placement {
        Placement {
            run,
            worker: self.info.name.clone(),
            boot: self.boot.unwrap_or(self.info.boot),
        }
    }

    /// Returns the rack, which is the last label.
    pub fn rack(&self) -> Option<&Name> {
        self.info.labels.last()
    }
}
