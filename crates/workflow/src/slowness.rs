//! Measures the pace of workers, and moves tasks away from those that have turned slow.

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::{
    engine::Engine,
    event::Cause,
    job::{
        Step,
        TaskId, //
    },
    pace::{
        self,
        Durations,
        Reading, //
    },
    throttle::FULL_SPEED,
    worker::{
        self,
        Phase,
        Run, //
    },
};

impl Engine {
    /// Returns the step of a run and the durations of its queue, if its progress tells the pace of
    /// its worker.
    fn paced_step(&self, run: &Run) -> Option<(&Step, Durations)> {
        let position = run.position?;
        let job = self.jobs.get(position.job)?;
        let step = &job.accepted.spec.steps[job.stages[position.stage].step];
        let is_paced = !step.long_running
            && !step.best_effort
            && run.throttle_percent == Some(FULL_SPEED)
            && matches!(run.phase, Phase::Confirmed(_));
        let durations = self.durations.get(&job.accepted.queue);
        is_paced.then_some((step, durations.copied().unwrap_or_default()))
    }

    /// Records how long a run took that has completed its task.
    pub(crate) fn record_duration(&mut self, key: worker::Key, run: &Run, now: Millis) {
        let Some(job) = run
            .position
            .and_then(|position| self.jobs.get(position.job))
        else {
            return;
        };
        let queue: Name = job.accepted.queue.clone();
        let estimate = self.paced_step(run).map(|(step, _)| step.estimate);
        if let Some(estimate) = estimate.filter(|_| run.whole) {
            let time = now.since(run.started_at);
            let durations = self.durations.entry(queue).or_default();
            if durations.is_regular() && !durations.is_slow(time, estimate) {
                self.usual_start = self.usual_start.max(run.started_at);
            }
            durations.record(time, estimate);
            self.workers[key].pace.record(time, estimate, durations);
        }
    }

    /// Compares the progress of a run with the last reading, and marks its worker as slow if it is.
    pub(crate) fn measure_pace(&mut self, key: worker::Key, task: &TaskId, now: Millis) {
        let Some(run) = self.workers[key].runs.get(task) else {
            return;
        };
        let Some((step, durations)) = self.paced_step(run) else {
            return;
        };
        let reading = Reading {
            percent: run.percent,
            at: now,
        };
        let Some(before) = run.reading else {
            self.set_reading(key, task, reading);
            return;
        };
        let Some(duration) = pace::duration(before, reading) else {
            return;
        };
        let is_slow = durations.is_slow(duration, step.estimate);
        self.set_reading(key, task, reading);
        let worker = &mut self.workers[key];
        if is_slow {
            let was_slow = worker.slow_until > now;
            worker.slow_until = now.after(pace::SLOW_PERIOD);
            if !was_slow {
                self.push_worker_event(key, "slow");
            }
        } else if durations.is_regular() {
            worker.slow_until = Millis(0);
        }
    }

    fn set_reading(&mut self, key: worker::Key, task: &TaskId, reading: Reading) {
        if let Some(run) = self.workers[key].runs.get_mut(task) {
            run.reading = Some(reading);
        }
    }

    /// Stops tasks on slow workers that end clearly earlier elsewhere.
    pub(crate) fn move_slow(&mut self, now: Millis) {
        let slow_workers = self.workers.iter();
        let slow_workers: Vec<worker::Key> = slow_workers
            .filter(|(_, worker)| worker.slow_until > now)
            .map(|(key, _)| key)
            .collect();
        let limit = self.workers.len() as f64 * pace::MAX_SLOW_FRACTION;
        if slow_workers.len() as f64 > limit {
            return;
        }
        let mut moved = Vec::new();
        for key in slow_workers {
            for (task, run) in &self.workers[key].runs {
                let Some((step, durations)) = self.paced_step(run).filter(|(step, _)| !step.gang)
                else {
                    continue;
                };
                let begun = Reading {
                    percent: 0.0,
                    at: run.started_at,
                };
                let current = Reading {
                    percent: run.percent,
                    at: now,
                };
                let Some(here) = pace::duration(begun, current) else {
                    continue;
                };
                // Unless a later run has ended in time elsewhere, all workers may have turned slow.
                let is_usual_elsewhere = run.started_at < self.usual_start;
                if run.whole
                    && is_usual_elsewhere
                    && durations.is_slow(here, step.estimate)
                    && pace::should_move(run.percent, here, durations.usual(step.estimate))
                {
                    moved.push((key, task.clone()));
                }
            }
        }
        for (key, task) in moved {
            self.stop(key, &task, Cause::Slow, now);
        }
    }
}
