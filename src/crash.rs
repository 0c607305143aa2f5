//! Whether a task crashes the workers that run it.
//!
//! A worker that crashes reports nothing, so any of its runs may have crashed it, or none. A task is
//! given up only if workers crash under it again and again while no others do. See
//! `docs/design/crashes.md`.

use std::{
    collections::{
        BTreeSet,
        VecDeque, //
    },
    time::Duration,
};

use basilbridge_common::{
    crash::{
        self,
        Suspect, //
    },
    id::Task,
    unit::Millis,
};

/// Crashes after which a task is given up if no other worker of the shard has crashed, which is the
/// number of starts that the users' rules allow.
const MAX_CRASHES: usize = 5;

/// The last crashes of a task that must have had no other possible cause.
const CLEAR_CRASHES: usize = 2;

/// Time for which a crash counts. Workers of a sound fleet crash at most a few times in it.
const MEMORY: Duration = Duration::from_secs(600);

/// Most crashes that are kept, so that a crashing fleet doesn't fill the memory of its owner.
const MAX_KEPT: usize = 256;

/// A crash of a worker.
#[derive(Debug, Clone)]
struct Crash {
    at: Millis,
    /// The tasks that ran on the worker.
    lost: BTreeSet<Task>,
    /// Those that may have caused the crash.
    blamed: BTreeSet<Task>,
    /// Whether only one of them can have caused it.
    is_clear: bool,
}

/// The recent crashes of the workers of a shard.
#[derive(Debug, Default)]
pub struct Crashes {
    recent: VecDeque<Crash>,
}

impl Crashes {
    /// Records that a worker crashed while it ran these tasks, and returns the tasks to give up.
    ///
    /// The number of earlier crashes of each suspect is filled in.
    pub fn record(&mut self, mut runs: Vec<(Task, Suspect)>, now: Millis) -> Vec<Task> {
        let is_old = |crash: &Crash| now.since(crash.at) >= MEMORY;
        while self.recent.len() >= MAX_KEPT || self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        for (task, suspect) in &mut runs {
            suspect.crashes = self.blamed_for(task).count();
        }
        let suspects: Vec<_> = runs.iter().map(|(_, suspect)| *suspect).collect();
        let attribution = crash::blame(&suspects);
        let blamed = attribution
            .blamed
            .iter()
            .map(|index| runs[*index].0.clone());
        let blamed: BTreeSet<_> = blamed.collect();
        self.recent.push_back(Crash {
            at: now,
            lost: runs.into_iter().map(|(task, _)| task).collect(),
            blamed: blamed.clone(),
            is_clear: attribution.is_clear,
        });
        let given_up = blamed.into_iter().filter(|task| self.is_conclusive(task));
        given_up.collect()
    }

    fn blamed_for<'a>(&'a self, task: &'a Task) -> impl DoubleEndedIterator<Item = &'a Crash> {
        self.recent
            .iter()
            .filter(|crash| crash.blamed.contains(task))
    }

    /// Returns whether a task is to be given up.
    ///
    /// Each crash of a worker that did not run the task speaks for another cause and outweighs
    /// [`MAX_CRASHES`] crashes under the task. One at the same time as a crash under the task, which
    /// a coincidence or a fault of a rack explains as well, does not.
    fn is_conclusive(&self, task: &Task) -> bool {
        let crashes = self.blamed_for(task).count();
        let mut last = self.blamed_for(task).rev().take(CLEAR_CRASHES);
        let elsewhere = self.recent.iter().filter(|crash| {
            let mut own = self.blamed_for(task);
            !crash.lost.contains(task) && !own.any(|own| is_same_time(own.at, crash.at))
        });
        crashes >= MAX_CRASHES * (1 + elsewhere.count()) && last.all(|crash| crash.is_clear)
    }
}

fn is_same_time(one: Millis, other: Millis) -> bool {
    one.since(other) < crash::SAME_TIME && other.since(one) < crash::SAME_TIME
}
