//! The log of decisions, which is bounded and never blocks.
//!
//! The starts of one step in one pass share a line. Where lines are short, ends that went as wanted
//! give way to all else: what failed, was refused or lost is what an explanation needs.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    id::Name,
    timer,
    unit::Millis, //
};
use basilbridge_workflow::{
    event::Event,
    report::Outcome, //
};
use slog::Logger;

/// The most lines a second that decisions may write: twice the starts and ends of a busy second
/// of the users' deployments.
const LINES_PER_SECOND: f64 = 600.0;

/// For how long unwritten lines are saved up.
const BURST: Duration = Duration::from_secs(2);

/// How often it is told how many lines were left out.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Budget {
    left: f64,
    at: Millis,
    left_out: u64,
    /// When it was last told how many lines were left out.
    told: Millis,
}

/// The starts of one step in one pass, as `INDEX/RUN@WORKER`, and the longest wait of them.
#[derive(Debug, Default)]
struct Starts {
    runs: String,
    waited: Duration,
}

impl Starts {
    fn add(&mut self, index: u32, run: u32, worker: &Name, waited: Duration) {
        if !self.runs.is_empty() {
            self.runs.push(' ');
        }
        self.runs.push_str(&format!("{index}/{run}@{worker}"));
        self.waited = self.waited.max(waited);
    }
}

/// Writes decisions as long as they are not too many.
pub struct Decisions {
    log: Logger,
    timer: timer::Service,
    budget: Mutex<Budget>,
}

impl Decisions {
    /// Makes a log of decisions that writes to `log`.
    pub fn new(log: Logger, timer: timer::Service) -> Self {
        let budget = Budget {
            left: LINES_PER_SECOND * BURST.as_secs_f64(),
            at: timer.now(),
            left_out: 0,
            told: timer.now(),
        };
        Self {
            log,
            timer,
            budget: Mutex::new(budget),
        }
    }

    /// Says whether one more line may be written, and tells how many were not.
    pub fn admit(&self) -> bool {
        self.admit_above(0.0)
    }

    /// Does the same for a line that leaves `kept` lines to others.
    fn admit_above(&self, kept: f64) -> bool {
        let now = self.timer.now();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = now.since(budget.at).as_secs_f64();
        let most = LINES_PER_SECOND * BURST.as_secs_f64();
        budget.left = (budget.left + passed * LINES_PER_SECOND).min(most);
        budget.at = now;
        if budget.left < kept + 1.0 {
            budget.left_out += 1;
            return false;
        }
        budget.left -= 1.0;
        let due = now.since(budget.told) >= TELL_INTERVAL;
        let left_out = if due {
            budget.told = now;
            std::mem::take(&mut budget.left_out)
        } else {
            0
        };
        drop(budget);
        if left_out > 0 {
            slog::warn!(self.log, "lines left out"; "count" => left_out);
        }
        true
    }

    /// Writes the decisions of one pass of the engine.
    pub fn write(&self, events: &[Event]) {
        let mut starts: BTreeMap<(Name, u32, u32), Starts> = BTreeMap::new();
        for event in events {
            if let Event::Start {
                task,
                run,
                worker,
                waited,
            } = event
            {
                let step = (task.job.clone(), task.occurrence, task.step);
                starts
                    .entry(step)
                    .or_default()
                    .add(task.index, *run, worker, *waited);
            } else {
                self.write_one(event);
            }
        }
        for ((job, occurrence, step), starts) in starts {
            if self.admit() {
                slog::info!(self.log, "start";
                    "step" => format!("{job}.{occurrence}.{step}"), "runs" => starts.runs,
                    "waited_ms" => starts.waited.as_millis() as u64);
            }
        }
    }

    fn write_one(&self, event: &Event) {
        let routine = matches!(
            event,
            Event::End {
                outcome: Outcome::Done,
                ..
            }
        );
        let kept = if routine { LINES_PER_SECOND } else { 0.0 };
        if !self.admit_above(kept) {
            return;
        }
        let log = &self.log;
        match event {
            // Starts are written together.
            Event::Start { .. } => {}
            Event::Refused {
                task,
                run,
                worker,
                answer,
            } => slog::info!(log, "start refused";
                "task" => %task, "run" => run, "worker" => %worker, "answer" => ?answer),
            Event::Stop {
                task,
                run,
                worker,
                cause,
            } => slog::info!(log, "stop";
                "task" => %task, "run" => run, "worker" => %worker, "cause" => ?cause),
            Event::End {
                task,
                run,
                worker,
                outcome,
                ran,
            } => slog::info!(log, "end";
                "task" => %task, "run" => run, "worker" => %worker, "how" => ?outcome,
                "ran_ms" => ran.as_millis() as u64),
            Event::Lost {
                task,
                run,
                worker,
                evidence,
            } => slog::info!(log, "run lost";
                "task" => %task, "run" => run, "worker" => %worker, "evidence" => evidence),
            Event::Adopted { task, run, worker } => slog::info!(log, "run taken over";
                "task" => %task, "run" => run, "worker" => %worker),
            Event::Final {
                job,
                state,
                elapsed,
                objective,
            } => slog::info!(log, "job over";
                "job" => %job, "state" => ?state, "after_ms" => elapsed.as_millis() as u64,
                "objective_ms" => objective.as_millis() as u64),
            Event::Worker { worker, status } => slog::info!(log, "worker";
                "worker" => %worker, "belief" => status),
        }
    }
}
