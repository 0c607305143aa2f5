//! What workers tell, and what follows from it.

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
    report::{
        Ended,
        Inventory,
        Outcome,
        Running,
        StartResult,
        StopResult, //
    },
    stage::Stage,
    worker::{
        self,
        Phase,
        Place,
        Run, //
    },
};

/// How many ends a worker lists at once; a full list may leave some out.
const MOST_ENDS: usize = 500;

impl Engine {
    /// Takes in an answer to a look that was sent at `sent`.
    pub fn handle_inventory(
        &mut self,
        key: worker::Key,
        sent: Millis,
        now: Millis,
        look: &Inventory,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.boot != Some(look.boot) {
            let rebooted = worker.boot.is_some();
            worker.reboot(look.boot);
            if rebooted {
                self.forget_boot(key, sent, look, now);
            }
        }
        let worker = &mut self.workers[key];
        if worker.is_older(look.clock) {
            return;
        }
        let name = worker.silent.then(|| worker.entry.name.clone());
        worker.read_clock(look.clock, now);
        let taken = worker.taken;
        if let Some(name) = name {
            self.note_worker(&name, "heard again");
        }
        let fresh: Vec<&Ended> = {
            look.ended
                .iter()
                .filter(|end| end.sequence > taken)
                .collect()
        };
        for end in fresh {
            self.ended(key, end, now);
            let worker = &mut self.workers[key];
            worker.taken = worker.taken.max(end.sequence);
        }
        for running in &look.running {
            self.running(key, running, now);
        }
        if look.ended.len() < MOST_ENDS {
            self.miss(key, sent, look, now);
        }
        self.settle(now);
        self.pace(key);
    }

    /// Gives up the runs of an earlier boot of a worker.
    ///
    /// An order that is still on its way may reach the new boot, and one that was answered after the
    /// look was sent may have met it, so their runs are stopped there.
    fn forget_boot(&mut self, key: worker::Key, sent: Millis, look: &Inventory, now: Millis) {
        let runs: Vec<(TaskId, Phase)> = {
            let runs = self.workers[key].runs.iter();
            runs.map(|(task, run)| (task.clone(), run.phase)).collect()
        };
        for (task, phase) in runs {
            if look.running.iter().any(|running| running.task == task) {
                continue;
            }
            match phase {
                Phase::Confirmed(at) | Phase::Stopping(Some(at)) if at < sent => {
                    self.lose(key, &task, "the worker booted", now);
                }
                Phase::Ordered | Phase::Confirmed(_) => {
                    self.stop(key, &task, Cause::Unanswered, now);
                }
                Phase::Stopping(_) => {}
            }
        }
    }

    /// Gives up runs that the worker had before it was asked, and no longer names.
    fn miss(&mut self, key: worker::Key, sent: Millis, look: &Inventory, now: Millis) {
        let missing: Vec<TaskId> = {
            let named = |task: &TaskId| look.running.iter().any(|running| running.task == *task);
            let runs = self.workers[key].runs.iter();
            runs.filter(|(task, run)| match run.phase {
                Phase::Confirmed(at) | Phase::Stopping(Some(at)) => at < sent && !named(task),
                Phase::Ordered | Phase::Stopping(None) => false,
            })
            .map(|(task, _)| task.clone())
            .collect()
        };
        for task in missing {
            self.lose(key, &task, "the worker does not name it", now);
        }
    }

    fn running(&mut self, key: worker::Key, running: &Running, now: Millis) {
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
            run.moved = now;
        }
        run.figure = running.measurement;
        if let Some(place) = run.place {
            self.keep_checkpoint(place, running.run, running.checkpoint.as_ref());
        }
    }

    /// Links what workers have told of a job before it was known here.
    pub(crate) fn meet(&mut self, id: &Name, now: Millis) {
        if !self.expects_news(now) {
            return;
        }
        let keys: Vec<worker::Key> = self.workers.keys().collect();
        for key in keys {
            let worker = &mut self.workers[key];
            let of_job = |end: &mut Ended| end.task.job == *id;
            let ends: Vec<Ended> = worker.orphans.extract_if(.., of_job).collect();
            let unplaced = worker.runs.iter().filter(|(task, run)| {
                task.job == *id && run.place.is_none() && matches!(run.phase, Phase::Confirmed(_))
            });
            let runs: Vec<Running> = unplaced
                .map(|(task, run)| Running {
                    task: task.clone(),
                    run: run.run,
                    checkpoint: None,
                    percent: run.percent,
                    measurement: run.figure,
                })
                .collect();
            for end in ends {
                self.ended(key, &end, now);
            }
            for running in runs {
                self.release(key, &running.task);
                self.adopt(key, &running, now);
            }
        }
    }

    /// Stops the runs and gives up the ends of jobs that never came.
    pub(crate) fn drop_unknown(&mut self, now: Millis) {
        if self.expects_news(now) || std::mem::replace(&mut self.news_over, true) {
            return;
        }
        let keys: Vec<worker::Key> = self.workers.keys().collect();
        for key in keys {
            let worker = &mut self.workers[key];
            worker.orphans.clear();
            let unplaced = worker.runs.iter().filter(|(_, run)| run.place.is_none());
            let tasks: Vec<TaskId> = unplaced.map(|(task, _)| task.clone()).collect();
            for task in tasks {
                self.stop(key, &task, Cause::Unknown, now);
            }
        }
    }

    /// Takes over a run that an earlier owner has started, or stops it.
    fn adopt(&mut self, key: worker::Key, running: &Running, now: Millis) {
        let place = self.place(&running.task);
        let wanted = place.is_some_and(|place| {
            let job = &self.jobs[place.job];
            let task = &job.stages[place.stage].tasks[place.index];
            job.over.is_none() && task.is_waiting() && running.run >= task.run
        });
        let charge = place.map(|place| {
            let job = &self.jobs[place.job];
            let step = &job.accepted.spec.steps[job.stages[place.stage].step];
            (step.demand(), job.accepted.team.clone(), step.resources)
        });
        let (charge, tenant) = match charge {
            Some((charge, Some(tenant), room)) => (charge, Some((tenant, room))),
            Some((charge, None, _)) => (charge, None),
            None => Default::default(),
        };
        if let Some((tenant, room)) = &tenant {
            let used = self.used.entry(tenant.clone()).or_default();
            *used = used.plus(room);
        }
        let run = Run {
            run: running.run,
            place,
            charge,
            tenant,
            phase: Phase::Confirmed(now),
            since: now,
            percent: running.percent,
            moved: now,
            figure: running.measurement,
            pace: 100,
            stop_sent: None,
        };
        self.workers[key].add(running.task.clone(), run);
        match place {
            Some(place) if wanted => {
                let job = &mut self.jobs[place.job];
                let task = &mut job.stages[place.stage].tasks[place.index];
                task.run = running.run;
                task.placed = Some(key);
                job.begun = true;
                self.keep_checkpoint(place, running.run, running.checkpoint.as_ref());
                self.events.push(Event::Adopted {
                    task: running.task.clone(),
                    run: running.run,
                    worker: self.workers[key].entry.name.clone(),
                });
            }
            Some(_) => self.stop(key, &running.task, Cause::Superseded, now),
            None if self.expects_news(now) => {}
            None => self.stop(key, &running.task, Cause::Unknown, now),
        }
    }

    fn ended(&mut self, key: worker::Key, end: &Ended, now: Millis) {
        let matches = self.workers[key]
            .runs
            .get(&end.task)
            .is_some_and(|run| run.run == end.run);
        let run = matches.then(|| self.release(key, &end.task)).flatten();
        self.events.push(Event::End {
            task: end.task.clone(),
            run: end.run,
            worker: self.workers[key].entry.name.clone(),
            outcome: end.outcome,
            ran: run
                .as_ref()
                .map(|run| now.since(run.since))
                .unwrap_or_default(),
        });
        let Some(place) = self.place(&end.task) else {
            if self.expects_news(now) {
                self.workers[key].orphans.push(end.clone());
            }
            return;
        };
        self.keep_checkpoint(place, end.run, end.checkpoint.as_ref());
        {
            let task = &mut self.jobs[place.job].stages[place.stage].tasks[place.index];
            task.run = task.run.max(end.run);
        }
        match end.outcome {
            Outcome::Done => self.done(key, place, now),
            Outcome::Failed => self.failed(key, place, end.run, now),
            Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => {}
        }
        self.unplace(place, key, end.run, now);
        self.touch(place.job);
    }

    fn done(&mut self, key: worker::Key, place: Place, now: Millis) {
        let job = &mut self.jobs[place.job];
        let step = &job.accepted.spec.steps[job.stages[place.stage].step];
        if step.long_running {
            return;
        }
        let indexes = if step.gang {
            0..job.stages[place.stage].tasks.len()
        } else {
            place.index..place.index + 1
        };
        let gang = step.gang;
        let mut elsewhere = Vec::new();
        for index in indexes {
            job.stages[place.stage].finish(index);
            let placed = job.stages[place.stage].tasks[index].placed;
            if let Some(other) = placed.filter(|other| !gang && *other != key) {
                elsewhere.push((other, job.task(place.stage, index)));
            }
        }
        let complete = job.stages.iter().all(Stage::is_complete);
        for (other, task) in elsewhere {
            self.stop(other, &task, Cause::Superseded, now);
        }
        let worker = &mut self.workers[key];
        worker.failures.clear();
        worker.asides = 0;
        if complete {
            self.end_job(place.job, State::Completed, now);
        }
    }

    fn failed(&mut self, key: worker::Key, place: Place, run: u32, now: Millis) {
        let job = &mut self.jobs[place.job];
        let id = job.id.clone();
        let attempts = self
            .policy
            .queues
            .get(&job.accepted.queue)
            .map_or(usize::MAX, |queue| queue.max_attempts.max(1) as usize);
        let step = &job.accepted.spec.steps[job.stages[place.stage].step];
        let (gang, lasting) = (step.gang, step.long_running);
        let tasks = &mut job.stages[place.stage].tasks;
        let indexes = if gang {
            0..tasks.len()
        } else {
            place.index..place.index + 1
        };
        let mut spent = false;
        for index in indexes {
            let task = &mut tasks[index];
            task.failed.insert(run);
            spent |= task.failed.len() >= attempts;
        }
        tasks[place.index].failed_on.push(key);
        self.blame(key, &id, now);
        if spent && !lasting {
            self.end_job(place.job, State::Failed, now);
        }
    }

    /// Puts a worker aside on which several jobs failed one after the other.
    fn blame(&mut self, key: worker::Key, job: &Name, now: Millis) {
        const JOBS_PER_WORKER: usize = 2;
        const FIRST_ASIDE: std::time::Duration = std::time::Duration::from_secs(3);
        const MOST_DOUBLINGS: u32 = 3;
        let worker = &mut self.workers[key];
        if !worker.failures.contains(job) {
            worker.failures.push(job.clone());
        }
        if worker.failures.len() >= JOBS_PER_WORKER {
            let aside = FIRST_ASIDE * 2_u32.pow(worker.asides.min(MOST_DOUBLINGS));
            worker.avoid = worker.avoid.max(now.after(aside));
            worker.asides += 1;
            let name = worker.entry.name.clone();
            self.note_worker(&name, "put aside: tasks of several jobs failed");
        }
    }

    fn keep_checkpoint(&mut self, place: Place, run: u32, checkpoint: Option<&Name>) {
        let Some(checkpoint) = checkpoint else {
            return;
        };
        let task = &mut self.jobs[place.job].stages[place.stage].tasks[place.index];
        if run >= task.checkpoint_run {
            task.checkpoint_run = run;
            task.checkpoint = Some(checkpoint.clone());
        }
    }

    /// Returns the place of a task, if its job is known.
    pub(crate) fn place(&self, task: &TaskId) -> Option<Place> {
        let key = *self.ids.get(&task.job)?;
        let job = &self.jobs[key];
        let steps = job.accepted.spec.steps.len();
        let stage = task.occurrence as usize * steps + task.step as usize;
        let index = task.index as usize;
        let exists = (task.step as usize) < steps
            && job
                .stages
                .get(stage)
                .is_some_and(|stage| index < stage.tasks.len());
        exists.then_some(Place {
            job: key,
            stage,
            index,
        })
    }

    /// Takes in the answer to a start.
    pub fn handle_start_result(
        &mut self,
        key: worker::Key,
        task: &TaskId,
        run: u32,
        answer: StartResult,
        now: Millis,
    ) {
        const REFUSED_AVOID: std::time::Duration = std::time::Duration::from_millis(500);
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
        let name = worker.entry.name.clone();
        self.events.push(Event::Refused {
            task: task.clone(),
            run,
            worker: name,
            answer,
        });
        let place = held.place;
        match answer {
            StartResult::Running => {}
            StartResult::Unknown => {
                self.unanswered = Some(now);
                worker.avoid = worker.avoid.max(now.after(REFUSED_AVOID));
                self.stop(key, task, Cause::Unanswered, now);
            }
            StartResult::Fenced => {
                self.fenced = true;
                self.lose(key, task, "refused", now);
            }
            StartResult::Ticket => {
                if let Some(place) = place
                    && let Some(job) = self.jobs.get_mut(place.job)
                {
                    job.stages[place.stage].end_ticket(key);
                }
                self.lose(key, task, "refused", now);
            }
            StartResult::Old | StartResult::Late => self.lose(key, task, "refused", now),
            StartResult::Full
            | StartResult::Unhealthy
            | StartResult::OtherWorker
            | StartResult::Malformed
            | StartResult::Unsent => {
                worker.avoid = worker.avoid.max(now.after(REFUSED_AVOID));
                worker.hurry = true;
                self.lose(key, task, "refused", now);
            }
        }
        if let Some(place) = place {
            self.break_gang(place, now);
        }
    }

    /// Stops the members of a gang of which one could not start.
    fn break_gang(&mut self, place: Place, now: Millis) {
        let Some(job) = self.jobs.get(place.job) else {
            return;
        };
        let stage = &job.stages[place.stage];
        if !job.accepted.spec.steps[stage.step].gang {
            return;
        }
        let members: Vec<_> = stage
            .tasks
            .iter()
            .enumerate()
            .filter_map(|(index, task)| Some((task.placed?, job.task(place.stage, index))))
            .collect();
        for (worker, task) in members {
            self.stop(worker, &task, Cause::Gang, now);
        }
    }

    /// Takes in the answer to a stop.
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
            worker.hurry = true;
        }
    }
}
