//! Handling of what workers report and answer.

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::{
    engine::Engine,
    event::{
        Cause,
        Event, //
    },
    job::{
        State,
        TaskId, //
    },
    progress::MAX_CHECKPOINT_BYTES,
    report::{
        Ended,
        Inventory,
        Outcome,
        Running,
        StartResult,
        StopResult, //
    },
    stage::Stage,
    throttle::FULL_SPEED,
    worker::{
        self,
        Phase,
        Run,
        TaskPosition, //
    },
};

/// Maximum number of ends that a worker lists at once; a full list may be incomplete.
const MAX_LISTED_ENDS: usize = 500;

/// Most failed runs that are kept of a long-running task, the latest ones. It has no limit of attempts, so
/// that all of them would outgrow a row of the store.
const MAX_KEPT_FAILURES: usize = 16;

impl Engine {
    /// Handles the answer to a poll that was sent at `sent`.
    pub fn handle_inventory(
        &mut self,
        key: worker::Key,
        sent: Millis,
        now: Millis,
        inventory: &Inventory,
    ) {
        let is_complete = inventory.ended.len() < MAX_LISTED_ENDS;
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.is_former(inventory.boot) {
            return;
        }
        if worker.boot != Some(inventory.boot) {
            let rebooted = worker.boot.is_some();
            worker.reboot(inventory.boot);
            if rebooted {
                let lost = self.lost_runs(key, &inventory.running);
                self.drop_earlier_boot(key, sent, inventory, now);
                self.blame(key, &lost, true, now);
            }
        }
        let worker = &mut self.workers[key];
        if worker.is_stale(inventory.clock) {
            return;
        }
        let was_silent = worker.unresponsive;
        worker.read_clock(inventory.clock, now);
        let received = worker.received;
        let name = worker.info.name.clone();
        self.record_acceptance(key, sent);
        self.electorate.record_answer(&name);
        if was_silent {
            self.push_worker_event(key, "heard again");
        }
        let new_ends: Vec<&Ended> = {
            inventory
                .ended
                .iter()
                .filter(|end| end.sequence > received)
                .collect()
        };
        for end in new_ends {
            self.handle_end(key, end, now);
            self.workers[key].record_received(end);
        }
        for running in &inventory.running {
            self.handle_running(key, running, now);
        }
        if is_complete {
            self.drop_missing_runs(key, sent, inventory, now);
            let worker = &mut self.workers[key];
            if !std::mem::replace(&mut worker.is_inventoried, true) {
                let name = worker.info.name.clone();
                self.confirm_worker(&name, now);
            }
        }
        self.settle(now);
        self.throttle_best_effort(key);
    }

    /// Drops the runs of an earlier boot of a worker.
    ///
    /// An order that is still in flight may reach the new boot, and an order that was answered
    /// after the poll was sent may have reached it. The runs of such orders are stopped on the new
    /// boot instead. A run that was answered before may have ended there, so it is kept until the
    /// list of ends is complete.
    fn drop_earlier_boot(
        &mut self,
        key: worker::Key,
        sent: Millis,
        inventory: &Inventory,
        now: Millis,
    ) {
        let runs: Vec<(TaskId, Phase)> = {
            let runs = self.workers[key].runs.iter();
            runs.map(|(task, run)| (task.clone(), run.phase)).collect()
        };
        for (task, phase) in runs {
            if inventory.running.iter().any(|running| running.task == task) {
                continue;
            }
            match phase {
                Phase::Confirmed(at) | Phase::Stopping(Some(at)) if at < sent => {
                    if inventory.ended.len() < MAX_LISTED_ENDS {
                        self.drop_run(key, &task, "the worker booted", now);
                    }
                }
                Phase::Ordered | Phase::Confirmed(_) => {
                    self.stop(key, &task, Cause::Unanswered, now);
                }
                Phase::Stopping(_) => {}
            }
        }
    }

    /// Drops runs that the worker confirmed before the poll was sent and does not list any more.
    fn drop_missing_runs(
        &mut self,
        key: worker::Key,
        sent: Millis,
        inventory: &Inventory,
        now: Millis,
    ) {
        let missing: Vec<TaskId> = {
            let is_listed = |task: &TaskId| {
                inventory
                    .running
                    .iter()
                    .any(|running| running.task == *task)
            };
            let runs = self.workers[key].runs.iter();
            runs.filter(|(task, run)| match run.phase {
                Phase::Confirmed(at) | Phase::Stopping(Some(at)) => at < sent && !is_listed(task),
                Phase::Ordered | Phase::Stopping(None) => false,
            })
            .map(|(task, _)| task.clone())
            .collect()
        };
        for task in missing {
            self.drop_run(key, &task, "the worker does not name it", now);
        }
    }

    /// Updates a known run from what its worker reports, or takes over an unknown one.
    fn handle_running(&mut self, key: worker::Key, running: &Running, now: Millis) {
        let known = self.workers[key].runs.get_mut(&running.task);
        let Some(run) = known else {
            self.adopt(key, running, now);
            return;
        };
        if run.run != running.run {
            return;
        }
        if run.phase == Phase::Ordered {
            run.phase = Phase::Confirmed(now);
        }
        if running.percent > run.percent {
            run.percent = running.percent;
            run.progressed_at = now;
        }
        run.measurement = running.measurement;
        if run.has_outlived_start(now) {
            run.proven_at.get_or_insert(now);
        }
        if let Some(position) = run.position {
            self.keep_checkpoint(position, running.run, running.checkpoint.as_ref());
            self.measure_pace(key, &running.task, now);
            self.exonerate_at_work(key, &running.task, now);
        }
    }

    /// Applies what workers have reported of a job before the job was known.
    pub(crate) fn attach_early_reports(&mut self, id: &Name, now: Millis) {
        if !self.expects_unknown_jobs() {
            return;
        }
        let keys: Vec<worker::Key> = self.workers.keys().collect();
        for key in keys {
            let worker = &mut self.workers[key];
            let of_job = |end: &mut Ended| end.task.job == *id;
            let ends: Vec<Ended> = worker.unmatched_ends.extract_if(.., of_job).collect();
            let unmatched = worker.runs.iter().filter(|(task, run)| {
                task.job == *id
                    && run.position.is_none()
                    && matches!(run.phase, Phase::Confirmed(_))
            });
            let runs: Vec<Running> = unmatched
                .map(|(task, run)| Running {
                    task: task.clone(),
                    run: run.run,
                    checkpoint: None,
                    percent: run.percent,
                    measurement: run.measurement,
                })
                .collect();
            for end in ends {
                self.handle_end(key, &end, now);
            }
            for running in runs {
                self.remove_run(key, &running.task, now);
                self.adopt(key, &running, now);
            }
        }
    }

    /// Stops the runs and drops the ends of jobs that do not exist.
    pub(crate) fn drop_unknown_jobs(&mut self, now: Millis) {
        if self.expects_unknown_jobs() || std::mem::replace(&mut self.unknown_jobs_dropped, true) {
            return;
        }
        let keys: Vec<worker::Key> = self.workers.keys().collect();
        for key in keys {
            let worker = &mut self.workers[key];
            worker.unmatched_ends.clear();
            let unmatched = worker.runs.iter().filter(|(_, run)| run.position.is_none());
            let tasks: Vec<TaskId> = unmatched.map(|(task, _)| task.clone()).collect();
            for task in tasks {
                self.stop(key, &task, Cause::Unknown, now);
            }
        }
    }

    /// Takes over a run that an earlier owner started, or stops it.
    fn adopt(&mut self, key: worker::Key, running: &Running, now: Millis) {
        let position = self.position(&running.task);
        let wanted = position.is_some_and(|position| {
            let job = &self.jobs[position.job];
            let task = &job.stages[position.stage].tasks[position.index];
            job.final_state.is_none() && task.is_unplaced() && running.run >= task.run
        });
        let is_best_effort = position.is_none_or(|position| {
            let job = &self.jobs[position.job];
            job.accepted.spec.steps[job.stages[position.stage].step].best_effort
        });
        let usage = position.map(|position| {
            let job = &self.jobs[position.job];
            let step = &job.accepted.spec.steps[job.stages[position.stage].step];
            (step.demand(), job.accepted.team.clone(), step.resources)
        });
        let (demand, team) = match usage {
            Some((demand, Some(team), resources)) => (demand, Some((team, resources))),
            Some((demand, None, _)) => (demand, None),
            None => Default::default(),
        };
        let run = Run {
            run: running.run,
            position,
            demand,
            pool: self.workers[key].info.pool.clone(),
            team,
            over_quota: position.is_some_and(|position| self.jobs[position.job].over_quota),
            phase: Phase::Confirmed(now),
            start_bytes: 0,
            whole: false,
            reading: None,
            started_at: now,
            proven_at: None,
            percent: running.percent,
            progressed_at: now,
            measurement: running.measurement,
            // An earlier owner may have slowed it down.
            throttle_percent: (!is_best_effort).then_some(FULL_SPEED),
            stop_sent: None,
        };
        self.add_run(key, running.task.clone(), run, now);
        match position {
            Some(position) if wanted => {
                let job = &mut self.jobs[position.job];
                let task = &mut job.stages[position.stage].tasks[position.index];
                task.run = running.run;
                task.worker = Some(key);
                job.started = true;
                self.record_start(position, key, running.run);
                self.keep_checkpoint(position, running.run, running.checkpoint.as_ref());
                self.events.push(Event::Adopted {
                    task: running.task.clone(),
                    run: running.run,
                    worker: self.workers[key].info.name.clone(),
                });
            }
            Some(_) => self.stop(key, &running.task, Cause::Superseded, now),
            None if self.expects_unknown_jobs() => {}
            None => self.stop(key, &running.task, Cause::Unknown, now),
        }
    }

    /// Handles the end of a run. An end whose job may still arrive is kept.
    fn handle_end(&mut self, key: worker::Key, end: &Ended, now: Millis) {
        let matches = self.workers[key]
            .runs
            .get(&end.task)
            .is_some_and(|run| run.run == end.run);
        let run = matches
            .then(|| self.remove_run(key, &end.task, now))
            .flatten();
        self.events.push(Event::End {
            task: end.task.clone(),
            run: end.run,
            worker: self.workers[key].info.name.clone(),
            outcome: end.outcome,
            ran: run
                .as_ref()
                .map(|run| now.since(run.started_at))
                .unwrap_or_default(),
        });
        if let Some(run) = &run
            && end.outcome == Outcome::Done
        {
            self.record_duration(key, run, now);
        }
        let Some(position) = self.position(&end.task) else {
            if self.expects_unknown_jobs() {
                self.workers[key].unmatched_ends.push(end.clone());
            }
            return;
        };
        self.keep_checkpoint(position, end.run, end.checkpoint.as_ref());
        self.exonerate(position, end.run);
        {
            let task = &mut self.jobs[position.job].stages[position.stage].tasks[position.index];
            task.run = task.run.max(end.run);
        }
        match end.outcome {
            Outcome::Done => self.handle_done(key, position, now),
            Outcome::Failed => self.handle_failure(key, position, end.run, now),
            Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => {}
        }
        self.requeue(position, key, end.run, now);
        self.mark_dirty(position.job);
    }

    /// Marks a task, or all tasks of a gang, as done.
    fn handle_done(&mut self, key: worker::Key, position: TaskPosition, now: Millis) {
        let job = &mut self.jobs[position.job];
        let step = &job.accepted.spec.steps[job.stages[position.stage].step];
        if step.long_running {
            return;
        }
        let indexes = if step.gang {
            0..job.stages[position.stage].tasks.len()
        } else {
            position.index..position.index + 1
        };
        let gang = step.gang;
        let mut redundant = Vec::new();
        for index in indexes {
            job.stages[position.stage].finish(index);
            let running_on = job.stages[position.stage].tasks[index].worker;
            if let Some(other) = running_on.filter(|other| !gang && *other != key) {
                redundant.push((other, job.task_id(position.stage, index)));
            }
        }
        let complete = job.stages.iter().all(Stage::is_complete);
        for (other, task) in redundant {
            self.stop(other, &task, Cause::Superseded, now);
        }
        self.workers[key].exonerate();
        if complete {
            self.end_job(position.job, State::Completed, now);
        }
    }

    /// Counts a failed run, and fails the job once a task has used up its attempts.
    fn handle_failure(&mut self, key: worker::Key, position: TaskPosition, run: u32, now: Millis) {
        let max_attempts = self.max_attempts(position.job);
        let job = &mut self.jobs[position.job];
        let id = job.id.clone();
        let step = &job.accepted.spec.steps[job.stages[position.stage].step];
        let (gang, long_running) = (step.gang, step.long_running);
        let tasks = &mut job.stages[position.stage].tasks;
        let indexes = if gang {
            0..tasks.len()
        } else {
            position.index..position.index + 1
        };
        let mut exhausted = false;
        for index in indexes {
            let task = &mut tasks[index];
            task.failed_runs.insert(run);
            if long_running && task.failed_runs.len() > MAX_KEPT_FAILURES {
                task.failed_runs.pop_first();
            }
            exhausted |= task.failed_runs.len() >= max_attempts;
        }
        let failed_workers = &mut tasks[position.index].failed_workers;
        if !failed_workers.contains(&key) {
            failed_workers.push(key);
        }
        let failed_workers = failed_workers.clone();
        self.attribute_failure(key, &id, now);
        if exhausted && !long_running {
            if failed_workers.len() > 1 {
                self.attribute_to_job(&id, &failed_workers);
            }
            self.end_job(position.job, State::Failed, now);
        }
    }

    /// Clears the workers on which a job has failed of the suspicion, since the job has failed on
    /// several of them.
    fn attribute_to_job(&mut self, job: &Name, failed_workers: &[worker::Key]) {
        for key in failed_workers {
            let Some(worker) = self.workers.get_mut(*key) else {
                continue;
            };
            worker.failed_jobs.retain(|failed| failed != job);
            if worker.failed_jobs.is_empty() {
                worker.exonerate();
            }
        }
    }

    /// Quarantines a worker on which tasks of several jobs have failed without a success in
    /// between.
    fn attribute_failure(&mut self, key: worker::Key, job: &Name, now: Millis) {
        const QUARANTINE_AFTER_JOBS: usize = 2;
        const INITIAL_QUARANTINE: std::time::Duration = std::time::Duration::from_secs(3);
        const MAX_DOUBLINGS: u32 = 3;
        let worker = &mut self.workers[key];
        if !worker.failed_jobs.contains(job) {
            worker.failed_jobs.push(job.clone());
        }
        if worker.failed_jobs.len() >= QUARANTINE_AFTER_JOBS {
            let quarantine = INITIAL_QUARANTINE * 2_u32.pow(worker.quarantines.min(MAX_DOUBLINGS));
            worker.quarantined_until = worker.quarantined_until.max(now.after(quarantine));
            worker.quarantines += 1;
            self.push_worker_event(key, "put aside: tasks of several jobs failed");
        }
    }

    /// Keeps the newest checkpoint of a task.
    fn keep_checkpoint(&mut self, position: TaskPosition, run: u32, checkpoint: Option<&Name>) {
        let is_kept = |checkpoint: &&Name| checkpoint.len() <= MAX_CHECKPOINT_BYTES;
        let Some(checkpoint) = checkpoint.filter(is_kept) else {
            return;
        };
        // A run that was superseded can outlast its job.
        let Some(job) = self.jobs.get_mut(position.job) else {
            return;
        };
        let task = &mut job.stages[position.stage].tasks[position.index];
        if run >= task.checkpoint_run {
            task.checkpoint_run = run;
            task.checkpoint = Some(checkpoint.clone());
        }
    }

    /// Returns the position of a task, or `None` if its job is unknown or has no such task.
    pub(crate) fn position(&self, task: &TaskId) -> Option<TaskPosition> {
        let key = *self.jobs_by_id.get(&task.job)?;
        let job = &self.jobs[key];
        let steps = job.accepted.spec.steps.len();
        let stage = task.occurrence as usize * steps + task.step as usize;
        let index = task.index as usize;
        let is_valid = (task.step as usize) < steps
            && job
                .stages
                .get(stage)
                .is_some_and(|stage| index < stage.tasks.len());
        is_valid.then_some(TaskPosition {
            job: key,
            stage,
            index,
        })
    }

    /// Returns whether a start may be sent that has waited for other orders to its worker: the run is
    /// still wanted, and the worker neither leaves nor is evacuated nor has shrunk, or may have,
    /// below what it is to run.
    pub fn may_send(&self, key: worker::Key, task: &TaskId, run: u32, now: Millis) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let held = worker.runs.get(task).filter(|held| held.run == run);
        held.is_some_and(|held| held.phase == Phase::Ordered)
            && !worker.info.leaving
            && !worker.evacuated
            && !worker.replaced
            && worker.used.fits(&worker.info.capacity)
            && self.trusts_capacities(&worker.info.pool, now)
    }

    /// Handles the answer to a start order.
    pub fn handle_start_result(
        &mut self,
        key: worker::Key,
        task: &TaskId,
        run: u32,
        answer: StartResult,
        now: Millis,
    ) {
        const REFUSAL_BACKOFF: std::time::Duration = std::time::Duration::from_millis(500);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(held) = worker.runs.get_mut(task).filter(|held| held.run == run) else {
            return;
        };
        if answer == StartResult::Running {
            if held.phase == Phase::Ordered {
                held.phase = Phase::Confirmed(now);
            }
            return;
        }
        let name = worker.info.name.clone();
        self.events.push(Event::Refused {
            task: task.clone(),
            run,
            worker: name,
            answer,
        });
        let position = held.position;
        match answer {
            StartResult::Running => {}
            StartResult::Unknown => {
                self.last_unanswered_at = Some(now);
                worker.avoid_until = worker.avoid_until.max(now.after(REFUSAL_BACKOFF));
                self.stop(key, task, Cause::Unanswered, now);
            }
            StartResult::Fenced => {
                self.fenced = true;
                self.drop_run(key, task, "refused", now);
            }
            StartResult::Ticket => {
                if let Some(position) = position
                    && let Some(job) = self.jobs.get_mut(position.job)
                {
                    job.stages[position.stage].expire_ticket(key);
                }
                self.drop_run(key, task, "refused", now);
            }
            StartResult::Old | StartResult::Late | StartResult::Withheld => {
                self.drop_run(key, task, "refused", now)
            }
            StartResult::Full
            | StartResult::Unhealthy
            | StartResult::OtherWorker
            | StartResult::Malformed
            | StartResult::Unsent => {
                worker.avoid_until = worker.avoid_until.max(now.after(REFUSAL_BACKOFF));
                worker.poll_now = true;
                self.drop_run(key, task, "refused", now);
            }
        }
        if let Some(position) = position {
            self.stop_gang(position, now);
        }
    }

    /// Stops all members of a gang of which one could not start.
    fn stop_gang(&mut self, position: TaskPosition, now: Millis) {
        let Some(job) = self.jobs.get(position.job) else {
            return;
        };
        let stage = &job.stages[position.stage];
        if !job.accepted.spec.steps[stage.step].gang {
            return;
        }
        let members: Vec<_> = stage
            .tasks
            .iter()
            .enumerate()
            .filter_map(|(index, task)| Some((task.worker?, job.task_id(position.stage, index))))
            .collect();
        for (worker, task) in members {
            self.stop(worker, &task, Cause::Gang, now);
        }
    }

    /// Handles the answer to a stop order.
    pub fn handle_stop_result(
        &mut self,
        key: worker::Key,
        task: &TaskId,
        run: u32,
        answer: StopResult,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if answer == StopResult::Fenced {
            self.fenced = true;
            return;
        }
        let Some(held) = worker.runs.get_mut(task).filter(|held| held.run == run) else {
            return;
        };
        if answer == StopResult::Taken && held.phase == Phase::Stopping(None) {
            held.phase = Phase::Stopping(Some(now));
            worker.poll_now = true;
        }
    }
}
