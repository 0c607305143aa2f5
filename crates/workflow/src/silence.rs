//! What workers that do not answer or are about to leave may still run, told by one owner to the
//! next.
//!
//! Starts are not stored, so a new owner waits for all workers before it starts inherited work. One
//! that crashed without a word, or has left, never answers, and everything would wait until its
//! leases are over. So an owner stores which tasks such a worker may run, and gives it no new work
//! until that record is withdrawn. The next owner then holds back just these tasks.
//!
//! The same goes for tasks whose ends the owner has read there and not stored yet: the next owner
//! learns of them from the worker only. See `docs/design/silence.md`.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_derives::data;
use serde_with::DisplayFromStr;

use crate::{
    engine::Engine,
    job::TaskId,
    worker::Worker, //
};

/// Time without an answer after which a worker is recorded. Shorter silences mostly end by
/// themselves, and a worker that answers again waits for its record to be withdrawn.
const MIN_SILENCE: Duration = Duration::from_millis(800);

/// Most tasks in a record, so that it fits into a row of the store.
const MAX_TASKS: usize = 1000;

/// Most workers in a record of which it is not known what they run, for the same reason.
const MAX_UNKNOWN: usize = 400;

/// Time by which a stored end of a lease may be later than needed. It changes a little with each
/// reading of the store's clock.
const LEASE_TOLERANCE: Duration = Duration::from_millis(300);

/// Time by which it may be earlier: clocks are read in milliseconds.
const ROUNDING: Duration = Duration::from_millis(3);

/// The workers that do not answer or are about to leave, with all tasks that each of them may run.
#[data]
#[derive(Default)]
pub struct Record {
    /// Number of owners before the one that made the record. It holds for the next owner only, since
    /// an owner of an earlier version makes none.
    pub epoch: u32,
    /// Tasks by worker.
    #[serde_as(as = "BTreeMap<_, Vec<DisplayFromStr>>")]
    pub workers: BTreeMap<Name, Vec<TaskId>>,
    /// Tasks that have ended on some of these workers, by worker. The ends are neither stored nor
    /// acknowledged.
    #[serde_as(as = "BTreeMap<_, Vec<DisplayFromStr>>")]
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub ended: BTreeMap<Name, Vec<TaskId>>,
    /// Workers that have never answered the owner, so that it does not know what they run.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unknown: BTreeSet<Name>,
    /// Times from which the leases of these workers are over, by the store's clock. They are not
    /// extended before a record without them is stored.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub leases: BTreeMap<Name, Millis>,
}

/// Tasks that are held back for a worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct Held {
    /// Tasks that the worker may run.
    pub(crate) running: Vec<TaskId>,
    /// Tasks that have ended there.
    ended: Vec<TaskId>,
}

impl Held {
    fn tasks(&self) -> impl Iterator<Item = &TaskId> {
        self.running.iter().chain(&self.ended)
    }

    /// Returns whether a task is held back.
    pub(crate) fn contains(&self, task: &TaskId) -> bool {
        self.tasks().any(|held| held == task)
    }
}

impl Record {
    /// Returns whether this record names the same workers as `other` and all of its tasks, and no
    /// lease much later, so that it says no less.
    ///
    /// A task that has ended since counts as named: the worker tells how it ended in both cases.
    pub fn covers(&self, other: &Self) -> bool {
        let may_run = |name: &Name, task: &TaskId| {
            let known = self.workers.get(name);
            known.is_some_and(|known| known.contains(task))
        };
        let may_have_ended = |name: &Name, task: &TaskId| {
            let known = self.ended.get(name);
            may_run(name, task) || known.is_some_and(|known| known.contains(task))
        };
        let has_all_runs = |(name, tasks): (&Name, &Vec<TaskId>)| {
            self.workers.contains_key(name) && tasks.iter().all(|task| may_run(name, task))
        };
        let has_all_ends = |(name, tasks): (&Name, &Vec<TaskId>)| {
            tasks.iter().all(|task| may_have_ended(name, task))
        };
        self.workers.len() == other.workers.len()
            && other.workers.iter().all(has_all_runs)
            && other.ended.iter().all(has_all_ends)
            && self.agrees_on_leases(other)
    }

    /// Returns whether both records are of one owner and name the same workers and tasks, and no
    /// lease in this one is earlier or much later.
    pub fn equals(&self, other: &Self) -> bool {
        self.workers == other.workers && self.ended == other.ended && self.agrees_on_leases(other)
    }

    /// Returns whether the record names no worker, so that it is as good as none.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty() && self.unknown.is_empty()
    }

    fn agrees_on_leases(&self, other: &Self) -> bool {
        let is_close = |(name, end): (&Name, &Millis)| {
            let known = self.leases.get(name);
            known.is_some_and(|known| {
                known.since(*end) < LEASE_TOLERANCE && end.since(*known) < ROUNDING
            })
        };
        self.epoch == other.epoch
            && self.unknown == other.unknown
            && self.leases.len() == other.leases.len()
            && other.leases.iter().all(is_close)
    }

    fn insert(&mut self, name: &Name, held: Held) {
        self.workers.insert(name.clone(), held.running);
        if !held.ended.is_empty() {
            self.ended.insert(name.clone(), held.ended);
        }
    }

    fn names(&self) -> impl Iterator<Item = &Name> {
        self.workers.keys().chain(&self.unknown)
    }

    /// Leaves out workers until the record fits into a row.
    fn shorten(&mut self) {
        let mut count = 0;
        let ended = &self.ended;
        self.workers.retain(|name, tasks| {
            count += tasks.len() + ended.get(name).map_or(0, Vec::len);
            count <= MAX_TASKS
        });
        let workers = &self.workers;
        self.ended.retain(|name, _| workers.contains_key(name));
        while self.unknown.len() > MAX_UNKNOWN {
            self.unknown.pop_last();
        }
        let (workers, unknown) = (&self.workers, &self.unknown);
        self.leases
            .retain(|name, _| workers.contains_key(name) || unknown.contains(name));
    }
}

impl Engine {
    /// Returns the record to store at `now`.
    pub fn silence(&self, now: Millis) -> Record {
        let mut record = Record {
            epoch: self.settings.epoch,
            ..Record::default()
        };
        for (name, held) in &self.held {
            record.insert(name, held.clone());
            match self.workers_by_name.get(name) {
                Some(key) if self.workers[*key].boot.is_some() => {
                    self.record_lease(&mut record, name, self.leases_end(*key));
                }
                _ => self.record_unanswered_lease(&mut record, name),
            }
        }
        for (key, worker) in &self.workers {
            let name = &worker.info.name;
            let is_silent = worker.unresponsive
                && worker
                    .silent_since
                    .is_some_and(|since| now.since(since) >= MIN_SILENCE);
            // What an earlier owner started on a worker that never answered this one is not known
            // before the leases of that owner are over.
            let is_known = worker.is_inventoried || !self.may_run_unknown(name);
            if (is_silent || worker.info.leaving) && is_known {
                record.insert(name, self.known_tasks(worker));
                if is_silent {
                    self.record_lease(&mut record, name, self.leases_end(key));
                }
            }
        }
        self.record_unknown(&mut record, now);
        record.shorten();
        record
    }

    /// Returns what the next owner can't know of a worker that does not answer it.
    fn known_tasks(&self, worker: &Worker) -> Held {
        let mut running: Vec<TaskId> = worker.runs.keys().cloned().collect();
        running.sort_unstable();
        let ended = worker.unstored_ends.iter();
        let mut ended: Vec<TaskId> = ended
            .filter(|end| !self.is_long_running(&end.task) && !running.contains(&end.task))
            .map(|end| end.task.clone())
            .collect();
        ended.sort_unstable();
        ended.dedup();
        Held { running, ended }
    }

    /// Returns whether a task has to be started again however it ends.
    fn is_long_running(&self, task: &TaskId) -> bool {
        self.position(task).is_some_and(|position| {
            let job = &self.jobs[position.job];
            job.accepted.spec.steps[job.stages[position.stage].step].long_running
        })
    }

    /// Adds the workers that this owner still waits for, if the end of their leases is told by an
    /// earlier owner, or is certain and they have not answered for a while. Without it the record
    /// would say no more than the roster does.
    fn record_unknown(&self, record: &mut Record, now: Millis) {
        let begun = self.loaded_at.unwrap_or(now);
        let is_old = now.since(begun) >= MIN_SILENCE;
        for name in self.unconfirmed.iter().flatten() {
            if (is_old || self.inherited_ends.contains_key(name)) && !self.has_answered(name) {
                self.record_unanswered_lease(record, name);
                if record.leases.contains_key(name) {
                    record.unknown.insert(name.clone());
                }
            }
        }
    }

    /// Adds the end of the leases of a worker that has not answered this owner, if it is certain.
    fn record_unanswered_lease(&self, record: &mut Record, name: &Name) {
        let is_known = self.inherited_ends.contains_key(name);
        if is_known || (self.is_earlier_end_certain() && !name.is_empty()) {
            self.record_lease(record, name, self.unanswered_leases_end(name));
        }
    }

    fn record_lease(&self, record: &mut Record, name: &Name, end: Millis) {
        if let Some(clock) = &self.store_clock {
            record.leases.insert(name.clone(), clock.to_store(end));
        }
    }

    /// Records that the store may hold `record` from now on, so that its workers get no new work and
    /// no longer leases than it says.
    pub fn announce_silence(&mut self, record: &Record) {
        self.recorded_silent.extend(record.names().cloned());
        self.recorded_leases.extend(record.leases.keys().cloned());
        self.update_silence_marks();
    }

    /// Records that the store holds `record` and nothing else.
    pub fn confirm_silence(&mut self, record: &Record) {
        self.recorded_silent = record.names().cloned().collect();
        self.recorded_leases = record.leases.keys().cloned().collect();
        self.update_silence_marks();
    }

    /// Applies the record that an earlier owner has stored, after the stored jobs have been
    /// accepted. Only the tasks in it wait for its workers, and none longer than until the leases in
    /// it are over.
    ///
    /// An owner that follows a record gives its workers neither work nor longer leases before it has
    /// replaced the record. One of an earlier version in between may have done both.
    pub fn inherit_silence(&mut self, mut record: Record) {
        self.announce_silence(&record);
        let next = record.epoch.saturating_add(1);
        if next > self.settings.epoch || next < self.settings.lineage.first_epoch {
            return;
        }
        self.inherit_leases(&record);
        for name in record.names() {
            self.electorate.exclude(name);
        }
        for (name, running) in record.workers {
            let Some(unconfirmed) = &mut self.unconfirmed else {
                return;
            };
            if self
                .workers_by_name
                .get(&name)
                .is_some_and(|key| self.workers[*key].is_inventoried)
            {
                continue;
            }
            unconfirmed.remove(&name);
            let ended = record.ended.remove(&name).unwrap_or_default();
            let held = Held { running, ended };
            for task in held.tasks() {
                self.set_held(task, true);
            }
            self.held.insert(name, held);
        }
    }

    fn inherit_leases(&mut self, record: &Record) {
        let Some(clock) = self.store_clock else {
            return;
        };
        for (name, end) in &record.leases {
            self.inherited_ends
                .insert(name.clone(), clock.to_local(*end));
        }
    }

    /// Releases the tasks that are held back for a worker, whose runs are known or have ended.
    pub(crate) fn release_held(&mut self, name: &Name) {
        let Some(released) = self.held.remove(name) else {
            return;
        };
        self.has_released = true;
        for task in released.tasks() {
            let is_held_elsewhere = self.held.values().any(|held| held.contains(task));
            let is_held = is_held_elsewhere || self.awaits_start(task);
            self.set_held(task, is_held);
        }
    }

    fn set_held(&mut self, task: &TaskId, is_held: bool) {
        if let Some(position) = self.position(task)
            && let Some(task) = self.task_mut(position)
        {
            task.held = is_held;
        }
    }

    fn update_silence_marks(&mut self) {
        for worker in self.workers.values_mut() {
            let name = &worker.info.name;
            worker.is_recorded = self.recorded_silent.contains(name);
            worker.is_lease_recorded = self.recorded_leases.contains(name);
        }
    }
}
