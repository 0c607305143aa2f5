//! Handling of crashes of workers: blames the tasks that may have caused them, keeps that for later
//! owners, and fails jobs whose tasks crash one worker after the other.

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::{
    crash::{
        self,
        Colocation,
        Neighbours,
        Record,
        Suspect, //
    },
    engine::Engine,
    event::Event,
    job::{
        State,
        TaskId, //
    },
    progress::Placement,
    report::Running,
    stage::Task,
    worker::{
        self,
        TaskPosition, //
    },
};

/// A run that a worker had when it crashed.
#[derive(Debug)]
pub(crate) struct LostRun {
    task: TaskId,
    run: u32,
    worker: Name,
    position: Option<TaskPosition>,
    suspect: Suspect,
}

impl Engine {
    /// Drops the runs of a worker that has ended or may have, and blames its crash on them.
    ///
    /// `is_certain` says whether the worker is known to have ended. One that was cut off reports
    /// its runs once it is back, which takes the blame from them.
    pub(crate) fn handle_crash(
        &mut self,
        key: worker::Key,
        evidence: &'static str,
        is_certain: bool,
        now: Millis,
    ) {
        let lost = self.lost_runs(key, &[]);
        self.drop_all_runs(key, evidence, now);
        self.blame(key, &lost, is_certain, now);
    }

    /// Returns the runs that may have crashed a worker: all that it has, or may have, except those
    /// that it lists as running now.
    pub(crate) fn lost_runs(&self, key: worker::Key, running: &[Running]) -> Vec<LostRun> {
        let Some(worker) = self.workers.get(key) else {
            return Vec::new();
        };
        let lost = worker.runs.iter().filter(|(task, run)| {
            let is_listed = |other: &Running| other.task == **task && other.run == run.run;
            !running.iter().any(is_listed)
        });
        let mut lost: Vec<LostRun> = lost
            .map(|(task, run)| LostRun {
                task: task.clone(),
                run: run.run,
                worker: worker.info.name.clone(),
                position: run.position,
                suspect: Suspect {
                    crashes: run
                        .position
                        .and_then(|position| self.task(position))
                        .map_or(0, |task| task.history.crashes.len()),
                    started_at: run.started_at,
                    proven_at: run.proven_at,
                },
            })
            .collect();
        lost.sort_unstable_by(|left, right| left.task.cmp(&right.task));
        lost
    }

    /// Blames the crash of a worker on those of its runs that may have caused it, and fails the
    /// jobs of tasks that have crashed workers too often. A worker that had announced to leave has
    /// not crashed.
    pub(crate) fn blame(
        &mut self,
        key: worker::Key,
        lost: &[LostRun],
        is_certain: bool,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get(key).filter(|worker| !worker.info.leaving) else {
            return;
        };
        let address = worker.info.address.clone();
        let has_other_cause = !is_certain
            || self.neighbours(key, now).show_outage()
            || self.machines.entry(address).or_default().record_crash(now);
        let suspects: Vec<Suspect> = lost.iter().map(|run| run.suspect).collect();
        let attribution = crash::blame(&suspects);
        for index in attribution.blamed {
            let run = &lost[index];
            if let Some(position) = run.position {
                let is_clear = attribution.is_clear && !has_other_cause;
                self.record_crash(position, run.run, &run.worker, is_clear, now);
            }
        }
    }

    /// Returns which other workers fell silent at the same time as one that crashed.
    fn neighbours(&self, key: worker::Key, now: Millis) -> Neighbours {
        let mut neighbours = Neighbours::default();
        let Some(crashed) = self.workers.get(key) else {
            return neighbours;
        };
        let at = crashed.silent_since.unwrap_or(now);
        let others = self.workers.iter().filter(|(other, _)| *other != key);
        for (_, other) in others {
            let is_silent = other.silent_since.is_some_and(|since| {
                since.since(at) < crash::SAME_TIME && at.since(since) < crash::SAME_TIME
            });
            let is_in_rack = crashed.rack().is_some() && other.rack() == crashed.rack();
            neighbours.all += 1;
            neighbours.crashed += usize::from(is_silent);
            neighbours.in_rack += usize::from(is_in_rack);
            neighbours.crashed_in_rack += usize::from(is_silent && is_in_rack);
        }
        neighbours
    }

    fn record_crash(
        &mut self,
        position: TaskPosition,
        run: u32,
        worker: &Name,
        is_clear: bool,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(position.job) else {
            return;
        };
        if job.final_state.is_some() {
            return;
        }
        let id = job.task_id(position.stage, position.index);
        let task = &mut job.stages[position.stage].tasks[position.index];
        if task.done {
            return;
        }
        task.history.record_crash(run, is_clear);
        self.run_facts += 1;
        let is_given_up = task.history.is_conclusive();
        self.events.push(Event::Blamed {
            task: id,
            run,
            worker: worker.clone(),
            crashes: task.history.crashes.len(),
            is_clear,
            is_given_up,
        });
        self.mark_dirty(position.job);
        if is_given_up {
            self.end_job(position.job, State::Failed, now);
        }
    }

    /// Records that a worker has reported the end of a run, so that the run has not crashed it.
    pub(crate) fn exonerate(&mut self, position: TaskPosition, run: u32) {
        if let Some(task) = self.task_mut(position)
            && task.history.exonerate(run)
        {
            self.run_facts += 1;
            self.mark_dirty(position.job);
        }
    }

    /// Clears the history of a long-running task that has been at work for a lease.
    pub(crate) fn exonerate_at_work(&mut self, key: worker::Key, task: &TaskId, now: Millis) {
        const AT_WORK_PERCENT: f64 = 100.0;
        let Some(run) = self
            .workers
            .get(key)
            .and_then(|worker| worker.runs.get(task))
        else {
            return;
        };
        let is_at_work = run.percent >= AT_WORK_PERCENT
            && now.since(run.progressed_at) >= self.settings.max_lease;
        let Some(position) = run.position.filter(|_| is_at_work) else {
            return;
        };
        if let Some(task) = self.task_mut(position)
            && task.history != crash::History::default()
        {
            task.history = crash::History::default();
            self.run_facts += 1;
            self.mark_dirty(position.job);
        }
    }

    /// Polls the workers on which a suspected task has outlived its start, so that the next one can
    /// start there.
    pub(crate) fn poll_suspects(&mut self, now: Millis) {
        let mut due = Vec::new();
        for (key, worker) in &self.workers {
            let since = self.summary(key).unproven_since;
            let is_due = since.is_some_and(|since| now.since(since) >= crash::PROOF_TIME);
            if is_due && !worker.unresponsive {
                due.push(key);
            }
        }
        for key in due {
            let worker = &mut self.workers[key];
            let since_poll = worker.proof_polled_at.map(|at| now.since(at));
            if since_poll.is_none_or(|since| since >= crash::PROOF_TIME) {
                worker.proof_polled_at = Some(now);
                worker.poll_now = true;
            }
        }
    }

    /// Records the placements of the runs that may have crashed a worker which does not answer.
    ///
    /// Starts are not stored, so an owner that takes over before the crash is certain would not
    /// know which tasks the worker ran.
    pub(crate) fn record_placements(&mut self, key: worker::Key) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let lost = self.lost_runs(key, &[]);
        let suspects: Vec<Suspect> = lost.iter().map(|run| run.suspect).collect();
        let blamed = crash::blame(&suspects).blamed.into_iter();
        let placements: Vec<(TaskPosition, Placement)> = blamed
            .map(|index| &lost[index])
            .filter(|run| run.suspect.proven_at.is_none())
            .filter_map(|run| Some((run.position?, worker.placement(run.run))))
            .collect();
        for (position, placement) in placements {
            if let Some(task) = self.task_mut(position)
                && task.worker == Some(key)
                && task.history.place(placement)
            {
                self.mark_dirty(position.job);
            }
        }
    }

    /// Decides whether the runs that an earlier owner had placed, and that no worker lists, have
    /// crashed their workers. All workers have answered this owner, or their leases are over.
    pub(crate) fn resolve_inherited_placements(&mut self, now: Millis) {
        let mut inherited = Vec::new();
        for (key, job) in &self.jobs {
            for (stage_index, stage) in job.stages.iter().enumerate() {
                let tasks = stage.tasks.iter().enumerate();
                let of_stage = tasks.filter(|(_, task)| {
                    let placement = task.history.placement.as_ref();
                    task.history.record == Record::Inherited
                        && placement
                            .is_some_and(|placement| !self.held.contains_key(&placement.worker))
                });
                inherited.extend(of_stage.map(|(index, _)| TaskPosition {
                    job: key,
                    stage: stage_index,
                    index,
                }));
            }
        }
        for position in inherited {
            self.resolve_inherited_placement(position, now);
        }
    }

    /// Does so for one task, whose worker has answered or has ended.
    pub(crate) fn resolve_inherited_placement(&mut self, position: TaskPosition, now: Millis) {
        let Some(task) = self.task_mut(position) else {
            return;
        };
        task.history.record = Record::Stored;
        if !task.is_unplaced() {
            return;
        }
        let Some(placement) = task.history.placement.take() else {
            return;
        };
        self.mark_dirty(position.job);
        let lives = self.worker(&placement.worker).is_some_and(|worker| {
            worker.boot == Some(placement.boot) && !worker.unresponsive && !worker.replaced
        });
        if !lives {
            self.record_crash(position, placement.run, &placement.worker, false, now);
        }
    }

    /// Returns whether the start of a run has to wait until its placement is stored, and records
    /// the placement.
    ///
    /// Only the runs of tasks under which a worker has crashed are recorded ahead. An owner that
    /// ended during each of them would otherwise leave no trace of the crashes.
    pub(crate) fn must_record_start(
        &mut self,
        position: TaskPosition,
        key: worker::Key,
        run: u32,
        now: Millis,
    ) -> bool {
        let Some(placement) = self.workers.get(key).map(|worker| worker.placement(run)) else {
            return false;
        };
        let Some(task) = self.task_mut(position) else {
            return false;
        };
        if !task.history.is_suspect() {
            return false;
        }
        if task.history.place(placement) {
            self.mark_dirty(position.job);
            self.withdraw_reservation(position, now);
            if let Some(entry) = self.reserved.entry(key) {
                entry.or_default().push((position, now));
            }
            return true;
        }
        let must_wait = task.history.record != Record::Stored;
        if !must_wait {
            self.withdraw_reservation(position, now);
        }
        must_wait
    }

    /// Withdraws the reservation for a task, and those that have expired.
    fn withdraw_reservation(&mut self, position: TaskPosition, now: Millis) {
        self.reserved.retain(|_, reservations| {
            reservations.retain(|(reserved_for, since)| {
                *reserved_for != position && now.since(*since) < crash::RESERVATION_TIME
            });
            !reservations.is_empty()
        });
    }

    /// Adds to what a worker runs the suspected tasks that it is reserved for, except that at
    /// `position`.
    pub(crate) fn add_reserved(
        &self,
        colocation: &mut Colocation,
        key: worker::Key,
        position: TaskPosition,
        now: Millis,
    ) {
        for (reserved_for, since) in self.reserved.get(key).into_iter().flatten() {
            if *reserved_for != position && now.since(*since) < crash::RESERVATION_TIME {
                let task = self.task(*reserved_for);
                colocation.add_suspect(task.map_or(0, |task| task.history.crashes.len()));
            }
        }
    }

    /// Returns the worker on which a run is recorded to start.
    pub(crate) fn recorded_worker(&self, task: &Task, run: u32) -> Option<worker::Key> {
        let placement = task.history.placement.as_ref();
        let placement = placement.filter(|placement| placement.run == run)?;
        self.worker_key(&placement.worker)
    }

    /// Returns a task.
    pub(crate) fn task(&self, position: TaskPosition) -> Option<&Task> {
        let job = self.jobs.get(position.job)?;
        Some(&job.stages[position.stage].tasks[position.index])
    }

    /// Returns a task.
    pub(crate) fn task_mut(&mut self, position: TaskPosition) -> Option<&mut Task> {
        let job = self.jobs.get_mut(position.job)?;
        Some(&mut job.stages[position.stage].tasks[position.index])
    }
}
