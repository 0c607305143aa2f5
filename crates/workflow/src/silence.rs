//! What workers that do not answer or are about to leave may still run, told by one owner to the
//! next.
//!
//! Starts are not stored, so a new owner waits for all workers before it starts inherited work. One
//! that crashed without a word, or has left, never answers, and everything would wait until its
//! leases are over. So an owner stores which tasks such a worker may run, and gives it no new work
//! until that record is withdrawn. The next owner then holds back just these tasks. See
//! `docs/design/silence.md`.

use std::{
    collections::BTreeMap,
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
    job::TaskId, //
};

/// Time without an answer after which a worker is recorded. Shorter silences mostly end by
/// themselves, and a worker that answers again waits for its record to be withdrawn.
const MIN_SILENCE: Duration = Duration::from_millis(800);

/// Most tasks in a record, so that it fits into a row of the store.
const MAX_TASKS: usize = 1000;

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
}

impl Record {
    /// Returns whether this record names the same workers as `other` and all of its tasks, so that
    /// it says no less.
    pub fn covers(&self, other: &Self) -> bool {
        let has_all = |(name, tasks): (&Name, &Vec<TaskId>)| {
            let known = self.workers.get(name);
            known.is_some_and(|known| tasks.iter().all(|task| known.contains(task)))
        };
        self.epoch == other.epoch
            && self.workers.len() == other.workers.len()
            && other.workers.iter().all(has_all)
    }
}

impl Engine {
    /// Returns the record to store at `now`.
    pub fn silence(&self, now: Millis) -> Record {
        let mut silent: BTreeMap<Name, Vec<TaskId>> = self
            .held
            .iter()
            .map(|(name, tasks)| (name.clone(), tasks.clone()))
            .collect();
        for worker in self.workers.values() {
            let is_silent = worker.unresponsive
                && worker
                    .silent_since
                    .is_some_and(|since| now.since(since) >= MIN_SILENCE);
            // What an earlier owner started on a worker that never answered this one is not known
            // before all leases of that owner are over.
            let is_known = worker.is_inventoried || now >= self.earlier_leases_end();
            if (is_silent || worker.info.leaving) && is_known {
                let mut tasks: Vec<TaskId> = worker.runs.keys().cloned().collect();
                tasks.sort_unstable();
                silent.insert(worker.info.name.clone(), tasks);
            }
        }
        let mut count = 0;
        silent.retain(|_, tasks| {
            count += tasks.len();
            count <= MAX_TASKS
        });
        Record {
            epoch: self.settings.epoch,
            workers: silent,
        }
    }

    /// Records that the store may hold `record` from now on, so that its workers get no new work.
    pub fn announce_silence(&mut self, record: &Record) {
        for name in record.workers.keys() {
            self.set_recorded(name, true);
        }
    }

    /// Records that the store holds `record` and nothing else.
    pub fn confirm_silence(&mut self, record: &Record) {
        let withdrawn = self.recorded_silent.iter();
        let withdrawn: Vec<Name> = withdrawn
            .filter(|name| !record.workers.contains_key(*name))
            .cloned()
            .collect();
        for name in withdrawn {
            self.set_recorded(&name, false);
        }
        self.announce_silence(record);
    }

    /// Applies the record that the previous owner has stored, after the stored jobs have been
    /// accepted. Only the tasks in it wait for its workers.
    pub fn inherit_silence(&mut self, record: Record) {
        self.announce_silence(&record);
        if record.epoch.checked_add(1) != Some(self.settings.epoch) {
            return;
        }
        for (name, tasks) in record.workers {
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
            if unconfirmed.remove(&name) {
                self.expected_count -= 1;
            }
            for task in &tasks {
                self.set_held(task, true);
            }
            self.held.insert(name, tasks);
        }
    }

    /// Releases the tasks that are held back for a worker, whose runs are known or have ended.
    pub(crate) fn release_held(&mut self, name: &Name) {
        let Some(tasks) = self.held.remove(name) else {
            return;
        };
        self.has_released = true;
        for task in tasks {
            let is_held_elsewhere = self.held.values().any(|tasks| tasks.contains(&task));
            let is_held = is_held_elsewhere || self.awaits_start(&task);
            self.set_held(&task, is_held);
        }
    }

    fn set_held(&mut self, task: &TaskId, is_held: bool) {
        if let Some(position) = self.position(task)
            && let Some(task) = self.task_mut(position)
        {
            task.held = is_held;
        }
    }

    fn set_recorded(&mut self, name: &Name, is_recorded: bool) {
        if is_recorded {
            self.recorded_silent.insert(name.clone());
        } else {
            self.recorded_silent.remove(name);
        }
        if let Some(key) = self.workers_by_name.get(name) {
            self.workers[*key].is_recorded = is_recorded;
        }
    }
}
