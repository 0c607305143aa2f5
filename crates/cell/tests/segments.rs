//! Progress in segments reads as it was written, in rows and calls that the store takes.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use basilbridge_cell::{
    call_size,
    segments::{
        self,
        Draft,
        Head,
        Layout, //
    },
};
use basilbridge_common::{
    error::Kind,
    id::Name,
    unit::Resources, //
};
use basilbridge_platform::table::Put;
use basilbridge_workflow::{
    job::{
        MAX_TASKS,
        Spec,
        State,
        Step, //
    },
    progress::{
        Progress,
        Stage,
        Task, //
    },
};
use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};

const ROW_BYTES: usize = 600;

/// The conditions of a call.
const CHECKS: usize = 2;

type Rows = BTreeMap<String, String>;

/// What happens to one task between two writes.
#[derive(Debug, Clone, Copy)]
enum Change {
    Done,
    Failed,
    Saved,
}

/// Changes of tasks, of which each has a stage, an index in it and a number to make it unlike others.
#[derive(Debug, Clone)]
struct Changes(Vec<(usize, u32, u64, Change)>);

impl Arbitrary for Changes {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let count = usize::arbitrary(gen_) % 400;
        let changes = (0..count).map(|_| {
            let change = *gen_
                .choose(&[Change::Done, Change::Failed, Change::Saved, Change::Saved])
                .expect("there are choices");
            let (stage, index) = (usize::arbitrary(gen_) % 4, u32::arbitrary(gen_) % 200);
            (stage, index, u64::arbitrary(gen_), change)
        });
        Self(changes.collect())
    }
}

fn apply(progress: &mut Progress, Changes(changes): &Changes) {
    progress.state = State::Running;
    for (stage, index, number, change) in changes {
        let stage = progress.stages.entry(*stage).or_default();
        if stage.complete || stage.done.contains(index) {
            continue;
        }
        match change {
            Change::Done => {
                stage.tasks.remove(index);
                stage.done.push(*index);
                stage.done.sort_unstable();
            }
            Change::Failed => {
                let failed = &mut stage.tasks.entry(*index).or_default().failed;
                failed.push(failed.len() as u32 + 1);
            }
            Change::Saved => {
                let task = stage.tasks.entry(*index).or_default();
                task.checkpoint = Some(format!("{number:016x}").into());
            }
        }
    }
    for stage in progress.stages.values_mut() {
        if stage.done.len() > 150 {
            *stage = Stage {
                complete: true,
                ..Stage::default()
            };
        }
    }
}

fn draft(layout: &Layout, progress: &Progress) -> Draft {
    let mut draft = Draft::new(layout, progress, ROW_BYTES);
    while draft.advance().expect("each task fits into a row") {}
    draft
}

fn write(rows: &mut Rows, puts: &[Put]) {
    for put in puts {
        let value = put.value.clone().expect("it is no removal");
        assert!(value.len() <= ROW_BYTES, "{}", value.len());
        rows.insert(put.key.clone(), value);
    }
}

fn read(rows: &Rows, head: &Head) -> Option<Progress> {
    let find = |key: &str| rows.get(key).map(String::as_str);
    head.assemble("job", find).ok()
}

/// Returns the head that a draft writes. Its row may be compressed, so this reads it as an owner does.
fn head(draft: &Draft, progress: &Progress) -> Head {
    Head {
        state: progress.state,
        segments: draft.layout().segments().to_vec(),
    }
}

#[test]
fn progress_reads_as_it_was_written_whether_in_place_or_beside_what_is_stored() {
    fn holds(rounds: Vec<(Changes, bool)>) -> bool {
        let job: Name = "job".into();
        let (mut rows, mut layout) = (Rows::new(), Layout::default());
        let mut progress = Progress::default();
        let mut stored: Option<(Head, Progress)> = None;
        for (changes, in_place) in rounds {
            apply(&mut progress, &changes);
            let mut draft = draft(&layout, &progress);
            if !in_place {
                draft.relocate();
            }
            for call in call_size::cut(draft.segment_rows(&job), CHECKS) {
                write(&mut rows, &call);
                // A process that ends here leaves what the last head names.
                let intact = stored
                    .as_ref()
                    .is_none_or(|(head, progress)| read(&rows, head).as_ref() == Some(progress));
                if !in_place && !intact {
                    return false;
                }
            }
            let head = head(&draft, &progress);
            if read(&rows, &head).as_ref() != Some(&progress) {
                return false;
            }
            stored = Some((head, progress.clone()));
            layout = draft.layout();
        }
        true
    }

    let seeded = Gen::from_size_and_seed(12, 67);
    QuickCheck::new()
        .rng(seeded)
        .tests(60)
        .quickcheck(holds as fn(Vec<(Changes, bool)>) -> bool);
}

#[test]
fn a_segment_without_changes_is_not_written_again() {
    let task = |number: u32| Task {
        checkpoint: Some(format!("{:016x}", u64::from(number) << 40).into()),
        ..Task::default()
    };
    let stage = Stage {
        tasks: (0..200).map(|index| (index, task(index))).collect(),
        ..Stage::default()
    };
    let mut progress = Progress {
        state: State::Running,
        stages: [(0, stage)].into(),
    };
    let layout = draft(&Layout::default(), &progress).layout();
    let stage = progress.stages.get_mut(&0).expect("it has one");
    stage.tasks.insert(7, task(1000));

    let draft = draft(&layout, &progress);

    assert!(layout.segments().len() > 3);
    assert_eq!(draft.segment_rows(&"job".into()).len(), 1);
}

#[test]
fn a_row_of_another_version_of_the_progress_is_not_read_as_its_own() {
    let job: Name = "job".into();
    let mut progress = Progress::default();
    apply(&mut progress, &Changes(vec![(0, 3, 5, Change::Saved)]));
    let first = draft(&Layout::default(), &progress);
    let first_head = head(&first, &progress);
    apply(&mut progress, &Changes(vec![(0, 3, 5, Change::Done)]));
    let second = draft(&first.layout(), &progress);
    let mut rows = Rows::new();

    write(&mut rows, &second.segment_rows(&job));

    assert_eq!(read(&rows, &first_head), None);
}

#[test]
fn the_progress_of_a_single_task_that_exceeds_a_row_is_refused() {
    let digits: String = (0..400_u64).map(|n| format!("{:x}", n * n * n)).collect();
    let task = Task {
        checkpoint: Some(digits.into()),
        ..Task::default()
    };
    let stage = Stage {
        tasks: [(0, task)].into(),
        ..Stage::default()
    };
    let progress = Progress {
        state: State::Running,
        stages: [(0, stage)].into(),
    };

    let mut draft = Draft::new(&Layout::default(), &progress, ROW_BYTES);

    assert_eq!(draft.advance().unwrap_err().kind, Kind::TooLarge);
}

/// A job that was accepted could reach a size at which its progress was not stored any more.
#[test]
fn a_job_whose_progress_may_outgrow_all_rows_is_refused_at_the_hand_in() {
    let job = |count: u32| Spec {
        payload: "work".into(),
        steps: vec![step(count)],
        schedule: None,
    };
    let tasks = u32::try_from(MAX_TASKS).expect("a job has fewer tasks");

    let in_large_rows = segments::check(&job(tasks), 48 * 1024);
    let in_small_rows = segments::check(&job(tasks), 6 * 1024);
    let small = segments::check(&job(400), 3 * 1024);

    assert!(in_large_rows.is_ok());
    assert_eq!(in_small_rows.unwrap_err().kind, Kind::TooLarge);
    assert!(small.is_ok());
}

fn step(count: u32) -> Step {
    Step {
        count,
        resources: Resources::default(),
        estimate: Duration::from_secs(1),
        after: Vec::new(),
        checkpoints: true,
        gang: false,
        same_rack: false,
        long_running: false,
        best_effort: false,
        label: None,
        data_rack: None,
        max_per_worker: None,
        latency_target: None,
        max_unavailable: None,
    }
}

#[test]
fn calls_hold_what_the_store_takes_and_nothing_is_left_out() {
    fn holds(sizes: Vec<u16>) -> bool {
        let puts: Vec<Put> = sizes
            .iter()
            .enumerate()
            .map(|(number, size)| Put {
                table: "segments/0".into(),
                key: format!("job/{number}/0"),
                value: Some("x".repeat(usize::from(*size) % 49_152)),
            })
            .collect();

        let calls = call_size::cut(puts.clone(), CHECKS);

        let fit = calls.iter().all(|call| call_size::fits(call, CHECKS));
        fit && calls.concat() == puts && calls.iter().all(|call| !call.is_empty())
    }

    let seeded = Gen::from_size_and_seed(300, 67);
    QuickCheck::new()
        .rng(seeded)
        .tests(60)
        .quickcheck(holds as fn(Vec<u16>) -> bool);
}
