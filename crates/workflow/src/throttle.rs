//! Throttling of best-effort tasks that run beside serving tasks.
//!
//! A best-effort task can push the latency of a serving task above its target. The rules allow that
//! for a few seconds only, so the best-effort task is slowed down at once and sped up again step by
//! step.

use crate::{
    engine::{
        Engine,
        worker_target, //
    },
    order::{
        Order,
        Throttle, //
    },
    worker::{
        self,
        Phase, //
    },
};

/// Fraction of the latency target above which best-effort tasks are slowed down.
const SLOW_DOWN_ABOVE: f64 = 0.85;

/// Fraction of the latency target below which they are sped up.
const SPEED_UP_BELOW: f64 = 0.6;

/// Speed of a task that is not slowed down, in percent.
pub const FULL_SPEED: u32 = 100;

/// Speed-up per poll, in percent of the full speed.
const STEP_UP: u32 = 10;

/// Returns the new speed of best-effort tasks in percent, given the current one. `tail` is the
/// highest tail latency of the serving tasks beside them, as a fraction of its target.
pub fn next_percent(percent: u32, tail: f64) -> u32 {
    if tail >= 1.0 {
        0
    } else if tail > SLOW_DOWN_ABOVE {
        percent / 2
    } else if tail < SPEED_UP_BELOW {
        (percent + STEP_UP).min(FULL_SPEED)
    } else {
        percent
    }
}

impl Engine {
    /// Adjusts the speed of the best-effort tasks of a worker to the latency of its serving tasks.
    pub(crate) fn throttle_best_effort(&mut self, key: worker::Key) {
        let mut worst: Option<f64> = None;
        let mut best_effort = Vec::new();
        for (task, run) in &self.workers[key].runs {
            let Some(job) = run
                .position
                .and_then(|position| self.jobs.get(position.job))
            else {
                continue;
            };
            let step_index = run
                .position
                .map_or(0, |position| job.stages[position.stage].step);
            let step = &job.accepted.spec.steps[step_index];
            if let Some(limit) = step.latency_target {
                let tail = run.measurement / limit.as_millis().max(1) as f64;
                worst = Some(worst.map_or(tail, |worst| worst.max(tail)));
            } else if step.best_effort && matches!(run.phase, Phase::Confirmed(_)) {
                best_effort.push(task.clone());
            }
        }
        let worker = &mut self.workers[key];
        // The speed is adjusted with each poll, so that a task neither stays slow nor harms others
        // for long.
        let target = worker_target(key, worker);
        for task in best_effort {
            let Some(run) = worker.runs.get_mut(&task) else {
                continue;
            };
            let current = run.throttle_percent.unwrap_or(FULL_SPEED);
            let percent = worst.map_or(FULL_SPEED, |tail| next_percent(current, tail));
            if run.throttle_percent != Some(percent) {
                run.throttle_percent = Some(percent);
                self.orders.push(Order::Throttle(Throttle {
                    target: target.clone(),
                    task,
                    run: run.run,
                    percent,
                }));
            }
        }
    }
}
