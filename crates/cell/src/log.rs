//! The log of scheduling decisions, which is rate-limited and never blocks.
//!
//! The starts of one step in one pass share a line. When lines are scarce, successful ends are
//! omitted first, since failed, refused and lost runs are needed to explain what happened.

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

/// The maximum rate of lines per second: twice the starts and ends in a busy second of the users'
/// deployments.
const LINES_PER_SECOND: f64 = 600.0;

/// The time over which unused lines accumulate.
const BURST: Duration = Duration::from_secs(2);

/// The minimum time between two reports of omitted lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
    omitted: u64,
    /// When omitted lines were last reported.
    reported_at: Millis,
}

/// The starts of one step in one pass, as `INDEX/RUN@WORKER` separated by spaces, and the longest
/// wait among them.
#[derive(Debug, Default)]
struct StepStarts {
    runs: String,
    waited: Duration,
}

impl StepStarts {
    fn add(&mut self, index: u32, run: u32, worker: &Name, waited: Duration) {
        if !self.runs.is_empty() {
            self.runs.push(' ');
        }
        self.runs.push_str(&format!("{index}/{run}@{worker}"));
        self.waited = self.waited.max(waited);
    }
}

/// A rate-limited log of scheduling decisions.
pub struct DecisionLog {
    log: Logger,
    timer: timer::Service,
    bucket: Mutex<TokenBucket>,
}

impl DecisionLog {
    /// Creates a decision log that writes to `log`.
    pub fn new(log: Logger, timer: timer::Service) -> Self {
        let bucket = TokenBucket {
            tokens: LINES_PER_SECOND * BURST.as_secs_f64(),
            refilled_at: timer.now(),
            omitted: 0,
            reported_at: timer.now(),
        };
        Self {
            log,
            timer,
            bucket: Mutex::new(bucket),
        }
    }

    /// Returns whether one more line may be written, and reports the number of omitted lines.
    pub fn admit(&self) -> bool {
        self.admit_with_reserve(0.0)
    }

    /// Returns the same for a line that may only be written while `reserve` more lines are
    /// available.
    fn admit_with_reserve(&self, reserve: f64) -> bool {
        let now = self.timer.now();
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = now.since(bucket.refilled_at).as_secs_f64();
        let capacity = LINES_PER_SECOND * BURST.as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * LINES_PER_SECOND).min(capacity);
        bucket.refilled_at = now;
        if bucket.tokens < reserve + 1.0 {
            bucket.omitted += 1;
            return false;
        }
        bucket.tokens -= 1.0;
        let due = now.since(bucket.reported_at) >= REPORT_INTERVAL;
        let omitted = if due {
            bucket.reported_at = now;
            std::mem::take(&mut bucket.omitted)
        } else {
            0
        };
        drop(bucket);
        if omitted > 0 {
            slog::warn!(self.log, "lines left out"; "count" => omitted);
        }
        true
    }

    /// Writes the events of one scheduling pass.
    pub fn write(&self, events: &[Event]) {
        let mut starts: BTreeMap<(Name, u32, u32), StepStarts> = BTreeMap::new();
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
                self.write_event(event);
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

    fn write_event(&self, event: &Event) {
        let is_routine = matches!(
            event,
            Event::End {
                outcome: Outcome::Done,
                ..
            }
        );
        let reserve = if is_routine { LINES_PER_SECOND } else { 0.0 };
        if !self.admit_with_reserve(reserve) {
            return;
        }
        let log = &self.log;
        match event {
            // `write` groups starts by step.
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
                ran,
                beside,
            } => slog::info!(log, "run lost";
                "task" => %task, "run" => run, "worker" => %worker, "evidence" => evidence,
                "ran_ms" => ran.as_millis() as u64, "beside" => beside),
            Event::Blamed {
                task,
                run,
                worker,
                crashes,
                is_clear,
                is_given_up,
            } => slog::info!(log, "task blamed for a crash";
                "task" => %task, "run" => run, "worker" => %worker, "crashes" => crashes,
                "clear" => is_clear, "given_up" => is_given_up),
            Event::Adopted { task, run, worker } => slog::info!(log, "run taken over";
                "task" => %task, "run" => run, "worker" => %worker),
            Event::Abandoned {
                worker,
                evidence,
                waited,
                since_majority,
            } => slog::warn!(log, "worker abandoned";
                "worker" => %worker, "evidence" => evidence,
                "waited_ms" => waited.as_millis() as u64,
                "since_majority_ms" => ?since_majority.map(|time| time.as_millis() as u64)),
            Event::Settled { waited, evidence } => slog::warn!(log, "takeover settled";
                "waited_ms" => waited.as_millis() as u64, "evidence" => evidence),
            Event::Final {
                job,
                state,
                elapsed,
                objective,
            } => slog::info!(log, "job over";
                "job" => %job, "state" => ?state, "after_ms" => elapsed.as_millis() as u64,
                "objective_ms" => objective.as_millis() as u64),
            Event::DataCentre {
                name,
                evacuated: true,
                workers,
                runs,
            } => slog::info!(log, "data centre evacuated";
                "data_centre" => %name, "workers" => workers, "runs" => runs),
            Event::DataCentre {
                name,
                workers,
                runs,
                ..
            } => slog::info!(log, "data centre back in use";
                "data_centre" => %name, "workers" => workers, "runs" => runs),
            Event::DataCentreEmpty { name } => slog::info!(log, "data centre empty";
                "data_centre" => %name),
            Event::Staying {
                task,
                run,
                worker,
                data_centre,
            } => slog::info!(log, "run stays in evacuated data centre";
                "task" => %task, "run" => run, "worker" => %worker,
                "data_centre" => %data_centre),
            Event::Worker {
                worker,
                address,
                status,
            } => slog::info!(log, "worker";
                "worker" => %worker, "belief" => status, "address" => %address),
        }
    }
}
