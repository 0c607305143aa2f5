//! The compact form of progress holds what the plain one does, and stays small.

use basilbridge_workflow::{
    job::State,
    packed::{
        Packed,
        pack,
        unpack, //
    },
    progress::{
        Progress,
        Stage, //
    },
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

/// Returns progress in which every other stage is complete, and others have some tasks that are.
fn progress(stages: usize) -> Progress {
    let stage = |index: usize| Stage {
        complete: index.is_multiple_of(2),
        done: match index % 2 {
            0 => Vec::new(),
            _ => vec![0, 1, 5, 7, 8],
        },
        ..Stage::default()
    };
    Progress {
        state: State::Running,
        stages: (0..stages).map(|index| (index, stage(index))).collect(),
    }
}

#[test]
fn packed_progress_is_the_same_progress() {
    let progress = progress(50);

    let packed = Packed::from(&progress);

    assert_eq!(Progress::from(packed), progress);
}

#[test]
fn packed_numbers_are_the_same_numbers() {
    fn holds(mut numbers: Vec<u16>) -> bool {
        numbers.sort_unstable();
        numbers.dedup();
        let numbers: Vec<u32> = numbers.into_iter().map(u32::from).collect();
        let packed = pack(numbers.iter().copied());
        unpack(&packed).eq(numbers)
    }

    let seeded = Gen::from_size_and_seed(200, 60);
    QuickCheck::new()
        .rng(seeded)
        .tests(200)
        .quickcheck(holds as fn(Vec<u16>) -> bool);
}
