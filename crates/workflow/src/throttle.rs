//! How fast filling tasks may run beside serving ones.
//!
//! Answers the load in which a filling task slows a serving one beyond its target: the rules allow
//! that for a few seconds only, so the filling task is slowed at once and sped up step by step.

use crate::{
    engine::{
        Engine,
        target, //
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

/// The part of the target above which filling tasks are slowed.
const SLOW_ABOVE: f64 = 0.85;

/// The part of the target below which they are sped up.
const SPEED_BELOW: f64 = 0.6;

/// By how many points they are sped up with each look.
const STEP_UP: u32 = 10;

/// Returns the new pace in percent of tasks that fill at `pace`, where the worst of the serving
/// tasks beside them is at `tail` of its target.
pub fn next(pace: u32, tail: f64) -> u32 {
    if tail >= 1.0 {
        0
    } else if tail > SLOW_ABOVE {
        pace / 2
    } else if tail < SPEED_BELOW {
        (pace + STEP_UP).min(100)
    } else {
        pace
    }
}

impl Engine {
    /// Sets the pace of the filling tasks of a worker by the serving tasks beside them.
    pub(crate) fn pace(&mut self, key: worker::Key) {
        let mut worst: Option<f64> = None;
        let mut filling = Vec::new();
        for (task, run) in &self.workers[key].runs {
            let Some(job) = run.place.and_then(|place| self.jobs.get(place.job)) else {
                continue;
            };
            let stage = run.place.map_or(0, |place| job.stages[place.stage].step);
            let step = &job.accepted.spec.steps[stage];
            if let Some(limit) = step.latency_target {
                let tail = run.figure / limit.as_millis().max(1) as f64;
                worst = Some(worst.map_or(tail, |worst| worst.max(tail)));
            } else if step.best_effort && matches!(run.phase, Phase::Confirmed(_)) {
                filling.push(task.clone());
            }
        }
        let worker = &mut self.workers[key];
        // A paced task is looked at often, so that it is neither held back nor harms for long.
        let target = target(key, worker);
        for task in filling {
            let Some(run) = worker.runs.get_mut(&task) else {
                continue;
            };
            let pace = worst.map_or(100, |tail| next(run.pace, tail));
            if pace != run.pace {
                run.pace = pace;
                self.orders.push(Order::Throttle(Throttle {
                    target: target.clone(),
                    task,
                    run: run.run,
                    percent: pace,
                }));
            }
        }
    }
}
