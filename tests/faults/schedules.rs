//! Schedules of faults by seed, and what must hold after each.
//!
//! `SCHEDULES=1000 cargo test --test faults any_faults` runs so many seeds, from
//! `FIRST_SEED` on. See `docs/PROOF.md`.

use std::{
    env,
    sync::Arc,
    time::Duration, //
};

use crate::{
    cell::{
        self,
        Cell,
        Weather, //
    },
    fault::{
        self,
        Fault, //
    },
    work::{
        self,
        Log,
        MESSAGE_LIFE,
        Told, //
    },
};
use basilbridge_common::{
    error::Ran,
    job::{
        Kind,
        State, //
    },
};

const WORKERS: u32 = 4;
const VMS: u32 = 3;
const FAULTY_TIME: Duration = Duration::from_secs(20);
const RECOVERY: Duration = Duration::from_secs(90);

fn number(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| text.parse().unwrap())
}

/// Runs one schedule and returns what did not hold, and what the callers were told.
fn schedule(seed: u64, kinds: &[Fault]) -> (Vec<String>, String) {
    cell::run(run(seed, kinds.to_vec()))
}

async fn run(seed: u64, kinds: Vec<Fault>) -> (Vec<String>, String) {
    let cell = Cell::new(seed, WORKERS).await;
    let begin = cell.timer.now();
    for _ in 0..VMS {
        cell.start();
    }
    cell.timer.sleep(Duration::from_secs(2)).await;
    cell.set_weather(Weather { lost: 5, late: 20 });
    let end = cell.timer.now().after(FAULTY_TIME);
    let log = Log::default();
    tokio::join!(
        work::call_until(cell.clone(), end, Arc::clone(&log)),
        fault::bring(cell.clone(), kinds, end),
    );
    let log = log.lock().unwrap().clone();
    let broken = check(&cell, &log).await;
    let told: Vec<_> = log
        .iter()
        .map(|told| {
            (
                told.called.since(begin),
                told.returned.since(begin),
                &told.result,
            )
        })
        .collect();
    let story = format!(
        "{told:?} {:?} {:?}",
        cell.fleet.counts(),
        cell.store.counts()
    );
    (broken, story)
}

async fn check(cell: &Cell, log: &[Told]) -> Vec<String> {
    let mut broken = Vec::new();
    for told in log {
        check_end(cell, told, &mut broken).await;
    }
    cell.timer.sleep(MESSAGE_LIFE).await;
    for told in log {
        check_starts(cell, told, &mut broken);
    }
    let running = cell.fleet.running();
    if !running.is_empty() {
        broken.push(format!("still running: {running:?}"));
    }
    let violations = cell.fleet.violations();
    if violations != Default::default() {
        broken.push(format!("{violations:?}"));
    }
    broken
}

/// An accepted job comes to an end that its kind allows.
async fn check_end(cell: &Cell, told: &Told, broken: &mut Vec<String>) {
    let Ok(status) = &told.result else {
        return;
    };
    if told.request.kind == Kind::Interactive {
        return;
    }
    let end = work::final_state(cell, &status.id, RECOVERY).await;
    let state = end.as_ref().map(|status| status.state);
    let fine = match state {
        Ok(State::Succeeded) => !cell.fleet.starts(&told.request.payload).is_empty(),
        Ok(State::Cancelled) => true,
        Ok(State::Unknown) => !told.request.repeatable,
        _ => false,
    };
    if !fine {
        broken.push(format!("accepted {} ended as {end:?}", status.id));
    }
}

fn check_starts(cell: &Cell, told: &Told, broken: &mut Vec<String>) {
    let starts = cell.fleet.starts(&told.request.payload);
    if !told.request.repeatable && starts.len() > 1 {
        broken.push(format!("repeated: {starts:?} of {told:?}"));
    }
    if let Err(error) = &told.result
        && error.kind.properties().ran == Ran::No
        && told.request.idempotency_key.is_none()
        && !starts.is_empty()
    {
        broken.push(format!("refused and ran at {starts:?}: {told:?}"));
    }
    if let Some(cancelled) = told.cancelled
        && starts
            .iter()
            .any(|start| *start > cancelled.after(MESSAGE_LIFE))
    {
        broken.push(format!("started after its cancellation: {told:?}"));
    }
}

fn check_seeds(seeds: std::ops::Range<u64>, kinds: &[Fault]) {
    let count = seeds.end - seeds.start;
    let mut red = 0;
    for seed in seeds {
        let (broken, _) = schedule(seed, kinds);
        for line in &broken {
            println!("seed {seed} {kinds:?}: {line}");
        }
        red += u64::from(!broken.is_empty());
    }
    println!("{kinds:?}: {count} schedules, {red} red");
    assert_eq!(red, 0);
}

#[test]
fn nothing_breaks_under_any_faults() {
    let first = number("FIRST_SEED", 0);
    let count = number("SCHEDULES", 60);

    check_seeds(first..first + count, &fault::ALL);
}

#[test]
fn nothing_breaks_under_each_fault_alone() {
    for kind in fault::ALL {
        check_seeds(0..6, &[kind]);
    }
}

#[test]
fn nothing_breaks_under_pairs_of_faults() {
    for (position, first) in fault::ALL.iter().enumerate() {
        for second in &fault::ALL[position + 1..] {
            check_seeds(0..3, &[*first, *second]);
        }
    }
}

#[test]
fn a_schedule_is_the_same_on_each_run() {
    let (_, first) = schedule(7, &fault::ALL);

    let (_, second) = schedule(7, &fault::ALL);

    assert_eq!(first, second);
}

/// Seeds that have shown a fault: a job queued twice that came while the journal was read, room
/// given back twice for work that had ended before its worker was claimed, the end of a task that was
/// kept after its worker had booted anew, a start that came after its stop and a later attempt, a
/// start that never came to its worker and was taken as lost when that worker booted later (1734),
/// and work adopted on the word of a boot that ended before the claim was through (1586).
const ONCE_RED: [u64; 10] = [1098, 1385, 1394, 1586, 1597, 1606, 1639, 1734, 1846, 1967];

#[test]
fn nothing_breaks_under_seeds_that_were_red_once() {
    for seed in ONCE_RED {
        check_seeds(seed..seed + 1, &fault::ALL);
    }
}
