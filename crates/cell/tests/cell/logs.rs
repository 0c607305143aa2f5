//! Which lines the decision log writes and which it omits.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use basilbridge_cell::log::DecisionLog;
use basilbridge_common::timer;
use basilbridge_workflow::{
    event::Event,
    job::TaskId,
    report::Outcome, //
};
use slog::{
    Drain,
    Logger,
    Never,
    OwnedKVList,
    Record, //
};

/// A log drain that keeps the message of each line.
#[derive(Debug, Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Lines {
    fn count(&self, message: &str) -> usize {
        let lines = self.0.lock().expect("no holder has panicked");
        lines.iter().filter(|line| *line == message).count()
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut lines = self.0.lock().expect("no holder has panicked");
        lines.push(record.msg().to_string());
        Ok(())
    }
}

fn decisions(lines: &Lines, timer: &timer::Service) -> DecisionLog {
    let log = Logger::root(lines.clone(), slog::o!());
    DecisionLog::new(log, timer.clone())
}

fn task(step: u32, index: u32) -> TaskId {
    TaskId {
        job: "j1".into(),
        occurrence: 0,
        step,
        index,
    }
}

fn start(step: u32, index: u32) -> Event {
    Event::Start {
        task: task(step, index),
        run: 1,
        worker: "w1".into(),
        waited: Duration::ZERO,
    }
}

fn end(outcome: Outcome) -> Event {
    Event::End {
        task: task(0, 0),
        run: 1,
        worker: "w1".into(),
        outcome,
        ran: Duration::ZERO,
    }
}

#[test]
fn the_starts_of_one_step_in_one_pass_share_a_line() {
    let lines = Lines::default();

    decisions(&lines, &timer::Service::manual()).write(&[
        start(0, 0),
        start(0, 1),
        start(1, 0),
        start(0, 2),
    ]);

    assert_eq!(lines.count("start"), 2);
}

#[test]
fn successful_ends_leave_room_for_failures_and_starts() {
    let lines = Lines::default();
    let timer = timer::Service::manual();
    let decisions = decisions(&lines, &timer);
    let done: Vec<Event> = (0..2000).map(|_| end(Outcome::Done)).collect();
    decisions.write(&done);
    let before = lines.count("end");

    decisions.write(&[end(Outcome::Failed), start(0, 0)]);

    assert!(before < 2000, "the number of lines is limited");
    assert_eq!(lines.count("end"), before + 1);
    assert_eq!(lines.count("start"), 1);

    timer.advance(Duration::from_secs(1));
    decisions.write(&[start(0, 1), end(Outcome::Done), start(0, 2)]);
    assert_eq!(lines.count("lines left out"), 1, "reported once per second");
}
