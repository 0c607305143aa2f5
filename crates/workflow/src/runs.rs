//! The runs of one worker, and what they amount to.
//!
//! A cell of 1,000 workers has thousands of runs, and a scheduling pass needs sums over those of each
//! worker. Between two passes most workers do not change, so the sums are kept until one of the runs
//! does. See `docs/CAPACITY.md`.

use std::{
    cell::Cell,
    collections::{
        HashMap,
        hash_map, //
    },
    ops::Deref,
};

use basilbridge_common::unit::{
    Millis,
    Resources, //
};

use crate::{
    engine::Engine,
    job::TaskId,
    preemption,
    worker::{
        self,
        Phase,
        Run, //
    },
};

/// What the runs of a worker amount to.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Summary {
    /// What the runs reserve that are stopping.
    pub(crate) stopping: Resources,
    /// What the runs reserve that are stopping, or that may be stopped for the most urgent work of
    /// the pool.
    pub(crate) reclaimable: Resources,
    /// What the runs of long-running tasks reserve.
    pub(crate) long_running: Resources,
    /// Whether one of them is of a suspected task and may still crash the worker by its start.
    pub(crate) unproven_suspect: bool,
    /// Number of those of suspected tasks that may still crash the worker by their start.
    pub(crate) unproven_suspects: u32,
    /// Whether workers have crashed under one of these tasks more than once.
    pub(crate) repeated_suspect: bool,
    /// Whether one of them is of a suspected task.
    pub(crate) suspect: bool,
    /// Whether one of them may still crash the worker by its start.
    pub(crate) unproven: bool,
    /// Whether one of them has a latency target.
    pub(crate) serving: bool,
    /// Whether one of them is a best-effort task.
    pub(crate) best_effort: bool,
    /// Number of runs that are stopping.
    pub(crate) stopping_count: usize,
    /// Number of runs whose start is not answered, and the bytes of these starts.
    pub(crate) unanswered: usize,
    pub(crate) unanswered_bytes: usize,
    /// Time when the first of the unanswered starts was ordered.
    pub(crate) ordered_since: Option<Millis>,
    /// Time when the first of the unanswered stops was sent.
    pub(crate) stop_sent: Option<Millis>,
    /// Time when the first of the runs that can stall last made progress.
    pub(crate) progressed_at: Option<Millis>,
    /// Time when the first of the runs of suspected tasks that are not proved harmless was confirmed.
    pub(crate) unproven_since: Option<Millis>,
}

/// The runs that a worker has, or may have. Any mutable access makes the summary out of date.
#[derive(Debug, Clone, Default)]
pub struct Runs {
    runs: HashMap<TaskId, Run>,
    /// The summary, and the facts about jobs that it was made with; see [`Engine::summary`].
    summary: Cell<Option<(u64, Summary)>>,
    are_known: Cell<Option<bool>>,
}

impl Runs {
    /// Returns a run for a change.
    pub fn get_mut(&mut self, task: &TaskId) -> Option<&mut Run> {
        self.touch();
        self.runs.get_mut(task)
    }

    /// Returns all runs for a change.
    pub fn iter_mut(&mut self) -> hash_map::IterMut<'_, TaskId, Run> {
        self.touch();
        self.runs.iter_mut()
    }

    /// Adds a run.
    pub fn insert(&mut self, task: TaskId, run: Run) {
        self.touch();
        self.runs.insert(task, run);
    }

    /// Removes a run.
    pub fn remove(&mut self, task: &TaskId) -> Option<Run> {
        self.touch();
        self.runs.remove(task)
    }

    /// Makes the summary out of date.
    pub fn touch(&mut self) {
        self.summary.set(None);
        self.are_known.set(None);
    }

    /// Returns whether the jobs of all runs are known.
    pub fn are_known(&self) -> bool {
        self.are_known.get().unwrap_or_else(|| {
            let are_known = self.runs.values().all(|run| run.position.is_some());
            self.are_known.set(Some(are_known));
            are_known
        })
    }
}

impl Deref for Runs {
    type Target = HashMap<TaskId, Run>;

    fn deref(&self) -> &Self::Target {
        &self.runs
    }
}

impl<'a> IntoIterator for &'a Runs {
    type Item = (&'a TaskId, &'a Run);
    type IntoIter = hash_map::Iter<'a, TaskId, Run>;

    fn into_iter(self) -> Self::IntoIter {
        self.runs.iter()
    }
}

impl Engine {
    /// Returns what the runs of a worker amount to. Visits them only if one of them, the policy, or
    /// what is known of crashes has changed since the last call.
    pub(crate) fn summary(&self, key: worker::Key) -> Summary {
        let runs = &self.workers[key].runs;
        if let Some((facts, summary)) = runs.summary.get()
            && facts == self.run_facts
        {
            return summary;
        }
        let summary = self.summarize(key);
        runs.summary.set(Some((self.run_facts, summary)));
        summary
    }

    /// Returns how many runs were visited for summaries.
    pub fn visited_runs(&self) -> u64 {
        self.visited_runs.get()
    }

    fn summarize(&self, key: worker::Key) -> Summary {
        let worker = &self.workers[key];
        let urgent = self.urgent_priority(&worker.info.pool);
        let visited = self.visited_runs.get() + worker.runs.len() as u64;
        self.visited_runs.set(visited);
        let mut summary = Summary::default();
        for run in worker.runs.values() {
            summary.unproven |= run.proven_at.is_none();
            match run.phase {
                Phase::Ordered => {
                    summary.unanswered += 1;
                    summary.unanswered_bytes += run.start_bytes;
                    summary.ordered_since = earlier(summary.ordered_since, run.started_at);
                }
                Phase::Stopping(answered) => {
                    summary.stopping_count += 1;
                    if answered.is_none() {
                        let sent = run.stop_sent.unwrap_or_default();
                        summary.stop_sent = earlier(summary.stop_sent, sent);
                    }
                }
                Phase::Confirmed(_) => {}
            }
            let known = run
                .position
                .and_then(|position| Some((position, self.jobs.get(position.job)?)));
            let Some((position, job)) = known else {
                continue;
            };
            let stage = &job.stages[position.stage];
            let step = &job.accepted.spec.steps[stage.step];
            summary.serving |= step.latency_target.is_some();
            summary.best_effort |= step.best_effort;
            if step.long_running {
                summary.long_running = summary.long_running.plus(&run.demand);
            }
            let crashes = stage.tasks[position.index].history.crashes.len();
            if crashes > 0 {
                summary.suspect = true;
                if run.proven_at.is_none() {
                    summary.unproven_suspect = true;
                    summary.unproven_suspects += 1;
                    summary.repeated_suspect |= crashes > 1;
                    if let Phase::Confirmed(at) = run.phase {
                        summary.unproven_since = earlier(summary.unproven_since, at);
                    }
                }
            }
            if preemption::can_stall(step, run) {
                summary.progressed_at = earlier(summary.progressed_at, run.progressed_at);
            }
            let is_stopping = matches!(run.phase, Phase::Stopping(_));
            if is_stopping {
                summary.stopping = summary.stopping.plus(&run.demand);
            }
            if is_stopping || self.may_preempt(run, urgent) {
                summary.reclaimable = summary.reclaimable.plus(&run.demand);
            }
        }
        summary
    }
}

fn earlier(known: Option<Millis>, other: Millis) -> Option<Millis> {
    Some(known.map_or(other, |known| known.min(other)))
}
