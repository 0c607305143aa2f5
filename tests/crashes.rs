//! When a task is given up because workers crash under it.

use basilbridge::crash::Crashes;
use basilbridge_common::{
    crash::{
        PROOF_TIME,
        Suspect, //
    },
    id::{
        Epoch,
        Job,
        Shard,
        Task, //
    },
    unit::Millis,
};

/// Returns the only task of the job with this number.
fn task(number: u64) -> Task {
    let shard = Shard {
        data_centre: "local".into(),
        number: 0,
    };
    Task {
        job: Job {
            shard,
            epoch: Epoch(1),
            number,
        },
        index: 0,
    }
}

/// Returns a run that began at a second, and had outlived its start or not.
fn run(number: u64, began: u64, proven: bool) -> (Task, Suspect) {
    let started_at = Millis(began * 1000);
    let suspect = Suspect {
        crashes: 0,
        started_at,
        proven_at: proven.then(|| started_at.after(PROOF_TIME)),
    };
    (task(number), suspect)
}

/// Records crashes of the worker that runs only task 1, at these seconds, and returns how many it
/// took until the task was given up.
fn crashes_until_given_up(
    crashes: &mut Crashes,
    at: impl IntoIterator<Item = u64>,
) -> Option<usize> {
    let mut given_up = at.into_iter().map(|second| {
        let runs = vec![run(1, second - 1, true)];
        crashes.record(runs, Millis(second * 1000)) == [task(1)]
    });
    given_up
        .position(|is_given_up| is_given_up)
        .map(|position| position + 1)
}

/// The users' rules allow five starts, so the task must be given up after the fifth crash.
#[test]
fn a_task_under_which_each_worker_crashes_is_given_up_after_five() {
    let mut crashes = Crashes::default();

    let count = crashes_until_given_up(&mut crashes, (30..600).step_by(30));

    assert_eq!(count, Some(5));
}

/// Guards against a plain count, which gave up sound tasks where workers reboot by themselves.
#[test]
fn a_task_goes_on_while_workers_crash_without_it_too() {
    let mut crashes = Crashes::default();
    crashes.record(vec![run(2, 10, true)], Millis(20_000));

    let few = crashes_until_given_up(&mut crashes, (30..300).step_by(30));
    let many = crashes_until_given_up(&mut crashes, (300..480).step_by(30));

    assert_eq!(few, None, "nine crashes do not outweigh one elsewhere");
    assert_eq!(many, Some(1), "the tenth does");
}

/// Guards against a deadly task that is taken for sound because one other worker crashed at the
/// same moment as its own.
#[test]
fn a_crash_at_the_same_time_does_not_speak_for_another_cause() {
    let mut crashes = Crashes::default();
    for second in [30, 60, 90, 120] {
        crashes.record(Vec::new(), Millis(second * 1000 + 300));
        crashes.record(vec![run(1, second - 1, true)], Millis(second * 1000));
    }

    let given_up = crashes.record(vec![run(1, 149, true)], Millis(150_000));

    assert_eq!(given_up, [task(1)]);
}

/// Guards against sound tasks that are given up because they ran beside a deadly one.
#[test]
fn tasks_that_ran_before_the_deadly_one_started_go_on() {
    let mut crashes = Crashes::default();

    let given_up: Vec<_> = (1..10)
        .map(|round| {
            let (began, sound) = (round * 30, round * 30 - 20);
            let runs = vec![
                run(2, sound, true),
                run(1, began, false),
                run(3, sound, true),
            ];
            crashes.record(runs, Millis(began * 1000 + 50))
        })
        .collect();

    assert_eq!(given_up[..4], [[], [], [], []]);
    assert!(given_up[4..].iter().all(|tasks| *tasks == [task(1)]));
}

/// Guards against tasks that are given up although any of several runs may have been the cause.
#[test]
fn tasks_that_always_start_together_are_not_given_up() {
    let mut crashes = Crashes::default();

    for round in 1..20 {
        let runs = vec![run(1, round * 30, false), run(2, round * 30, false)];
        let given_up = crashes.record(runs, Millis(round * 30_000 + 50));

        assert_eq!(given_up, []);
    }
}

/// Guards against a service of many months that is given up for the few crashes of its workers.
#[test]
fn crashes_are_forgotten() {
    let mut crashes = Crashes::default();

    let count = crashes_until_given_up(&mut crashes, (300..100_000).step_by(300));

    assert_eq!(count, None);
}
