//! Concurrent edits by several operators, checked for linearizability, and key withdrawals while
//! VMs are cut off and paused at random, by seed.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use crate::cell::{
    Cell,
    Fault,
    create_workshop,
    edit,
    give_key,
    set_register,
    start_cell,
    withdraw_key, //
};
use basilbridge::audit;
use basilbridge_common::{
    error::Kind,
    id::Version, //
};
use basilbridge_standins::store::FaultSettings;
use futures_util::future;
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{
            Action,
            History, //
        },
    },
    specifications::Specification,
};

/// An operator's operation on the register, with its result.
#[derive(Debug, Clone, Copy)]
enum Operation {
    /// The operator read this value.
    Read(Option<u64>),
    /// The operator changed the register from one value to another.
    Changed(Option<u64>, u64),
    /// The change was refused, as the register did not have this expected value.
    Conflict(Option<u64>),
    /// The outcome of the change from one value to another is unknown.
    Unknown(Option<u64>, u64),
}

/// A register with compare-and-set, initially without a value.
struct Register;

impl Specification for Register {
    type State = Option<u64>;
    type Operation = Operation;

    fn init() -> Option<u64> {
        None
    }

    fn apply(operation: &Operation, state: &Option<u64>) -> (bool, Option<u64>) {
        match *operation {
            Operation::Read(value) => (value == *state, *state),
            Operation::Changed(before, after) => (before == *state, Some(after)),
            Operation::Conflict(before) => (before != *state, *state),
            // The response is at the end of the history, so the change may take effect at any time
            // after its call. A change that never took effect is ordered last, where no other
            // operation observes it.
            Operation::Unknown(before, after) if before == *state => (true, Some(after)),
            Operation::Unknown(..) => (true, *state),
        }
    }
}

/// Calls and responses in the order of their times, each with its operator's number.
type Actions = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

const OPERATORS: usize = 4;
const ROUNDS_PER_OPERATOR: u64 = 6;

/// Reads the register; returns `None` if the read failed.
async fn read_register(cell: &Cell) -> Option<Option<u64>> {
    let tables = cell.store.platform().tables;
    let (configuration, _) = audit::load_configuration(&tables).await.ok()?;
    let queue = configuration.queue("register");
    let value = queue.and_then(|queue| queue.open_for.as_ref());
    Some(value.and_then(|value| value.parse().ok()))
}

/// Reads and changes the register in several rounds, until the outcome of a change is unknown.
async fn run_operator(cell: &Cell, operator: usize, seed: u64, actions: &Actions) {
    let mut random = SmallRng::seed_from_u64(seed * 100 + operator as u64);
    for round in 0..ROUNDS_PER_OPERATOR {
        cell.wait(Duration::from_millis(random.random_range(0..20)))
            .await;
        let push = |action| actions.lock().unwrap().push((operator, action));
        push(Action::Call(Operation::Read(None)));
        // A failed read is recorded as a change without effect.
        let read = read_register(cell).await;
        push(Action::Response(read.map_or(
            Operation::Unknown(Some(u64::MAX), 0),
            Operation::Read,
        )));
        let Some(before) = read else {
            continue;
        };
        let after = operator as u64 * 1000 + round + 1;
        let vm = &cell.vms[operator % cell.vms.len()];
        let id = format!("edit-{after}");
        push(Action::Call(Operation::Changed(before, after)));
        let result = vm
            .committer
            .commit(edit(&id, vec![set_register(before, after)]));
        match result.await {
            Ok(_) => push(Action::Response(Operation::Changed(before, after))),
            Err(error) if error.kind == Kind::Conflict => {
                push(Action::Response(Operation::Conflict(before)));
            }
            Err(error) if error.kind == Kind::WriteUnknown => {
                let unknown = Operation::Unknown(before, after);
                actions
                    .lock()
                    .unwrap()
                    .push((usize::MAX, Action::Response(unknown)));
                return;
            }
            // The edit had no effect. It is recorded as a change from a value that the register
            // never has.
            Err(_) => push(Action::Response(Operation::Unknown(Some(u64::MAX), 0))),
        }
    }
}

/// Returns the history with the responses of unknown outcome at its end.
///
/// These responses carry `usize::MAX` in place of the operator's number; each is assigned to the
/// operator whose last call it answers.
fn to_history(actions: &[(usize, Action<Operation>)]) -> History<Operation> {
    let mut calls: BTreeMap<usize, i64> = BTreeMap::new();
    let mut ordered = Vec::new();
    let mut unknown_responses = Vec::new();
    for (process, action) in actions {
        if *process == usize::MAX {
            unknown_responses.push(action.clone());
            continue;
        }
        *calls.entry(*process).or_default() += match action {
            Action::Call(_) => 1,
            Action::Response(_) => -1,
        };
        ordered.push((*process, action.clone()));
    }
    let unanswered = calls.iter().filter(|(_, count)| **count > 0);
    let unanswered: Vec<_> = unanswered.map(|(process, _)| *process).collect();
    assert_eq!(unanswered.len(), unknown_responses.len());
    for response in unknown_responses {
        let process = unanswered.iter().find(|process| {
            ordered
                .iter()
                .rev()
                .any(|(other, call)| other == *process && is_response_to(call, &response))
        });
        ordered.push((*process.unwrap(), response));
    }
    History::from_actions(ordered)
}

/// Returns whether a response of unknown outcome belongs to this call.
fn is_response_to(call: &Action<Operation>, response: &Action<Operation>) -> bool {
    match (call, response) {
        (
            Action::Call(Operation::Changed(_, called)),
            Action::Response(Operation::Unknown(_, answered)),
        ) => called == answered,
        _ => false,
    }
}

/// Lets operators race on three VMs with lost answers and an outage of the store.
async fn run_race(seed: u64) -> Vec<(usize, Action<Operation>)> {
    let cell = start_cell(3).await;
    let mut random = SmallRng::seed_from_u64(seed);
    cell.store.set_faults(FaultSettings {
        delay: Duration::from_millis(random.random_range(1..10)),
        lose_answers: random.random_range(0..12),
        ..FaultSettings::default()
    });
    let actions = Actions::default();
    let operators = (0..OPERATORS).map(|operator| run_operator(&cell, operator, seed, &actions));
    let outage = async {
        cell.wait(Duration::from_millis(random.random_range(20..100)))
            .await;
        let up = cell.store.faults();
        let down = FaultSettings {
            down: true,
            ..up.clone()
        };
        cell.store.set_faults(down);
        cell.wait(Duration::from_millis(random.random_range(1..400)))
            .await;
        cell.store.set_faults(up);
    };
    tokio::join!(future::join_all(operators), outage);
    let actions = actions.lock().unwrap();
    actions.clone()
}

#[tokio::test(start_paused = true)]
async fn responses_to_racing_operators_are_linearizable() {
    let (mut changed, mut conflicts) = (0, 0);
    for seed in 0..40 {
        let actions = run_race(seed).await;

        let count_responses = |wanted: fn(&Operation) -> bool| {
            let responses = actions.iter().filter_map(|(_, action)| match action {
                Action::Response(operation) => Some(operation),
                Action::Call(_) => None,
            });
            responses.filter(|operation| wanted(operation)).count()
        };
        changed += count_responses(|operation| matches!(operation, Operation::Changed(..)));
        conflicts += count_responses(|operation| matches!(operation, Operation::Conflict(_)));
        let linearizable = WGLChecker::<Register>::is_linearizable(to_history(&actions));
        assert!(linearizable, "seed {seed}: {actions:?}");
    }
    // A run without successful changes or without conflicts would test nothing.
    assert!(changed > 100, "{changed}");
    assert!(conflicts > 100, "{conflicts}");
}

#[tokio::test(start_paused = true)]
async fn the_checker_rejects_a_history_that_reverts() {
    let changed = Operation::Changed(None, 1);
    let reverted = Operation::Read(None);
    let actions = [
        (0, Action::Call(changed)),
        (0, Action::Response(changed)),
        (1, Action::Call(reverted)),
        (1, Action::Response(reverted)),
    ];

    assert!(!WGLChecker::<Register>::is_linearizable(to_history(
        &actions
    )));
}

/// Cuts off and pauses VMs, one at a time or several together, each for a random time.
async fn inject_faults(cell: &Cell, random: &mut SmallRng) {
    for _ in 0..6 {
        let vm = &cell.vms[random.random_range(0..cell.vms.len())];
        vm.fault.send_replace(Fault {
            no_store: random.random(),
            no_peers: random.random(),
            paused: random.random_ratio(1, 3),
        });
        cell.wait(Duration::from_millis(random.random_range(0..12_000)))
            .await;
        if random.random_ratio(2, 3) {
            let vm = &cell.vms[random.random_range(0..cell.vms.len())];
            vm.fault.send_replace(Fault::default());
        }
        let down = random.random_ratio(1, 5);
        cell.store.set_faults(FaultSettings {
            down,
            ..FaultSettings::default()
        });
    }
    for vm in &cell.vms {
        vm.fault.send_replace(Fault::default());
    }
    cell.store.set_faults(FaultSettings::default());
}

/// Asserts until `done` that no version decreases and that no running VM accepts a key whose
/// withdrawal is in force.
async fn check_invariants(
    cell: &Cell,
    withdrawn: &Mutex<Vec<String>>,
    done: &Mutex<bool>,
    seed: u64,
) {
    let mut highest = vec![Version(0); cell.vms.len()];
    while !*done.lock().unwrap() {
        for (highest, version) in highest.iter_mut().zip(cell.versions()) {
            assert!(version >= *highest, "seed {seed}");
            *highest = version;
        }
        for key in withdrawn.lock().unwrap().iter() {
            for vm in cell.vms.iter().filter(|vm| !vm.fault.borrow().paused) {
                assert!(
                    vm.authenticate(key).is_err(),
                    "seed {seed}: {key} is accepted"
                );
            }
        }
        cell.wait(Duration::from_millis(100)).await;
    }
}

/// Gives and withdraws keys, and adds those whose withdrawal is in force to `withdrawn`.
///
/// Returns the number of steps that failed, timed out or stayed pending.
async fn rotate_keys(cell: &Cell, withdrawn: &Mutex<Vec<String>>, random: &mut SmallRng) -> u32 {
    let mut pending = 0;
    for number in 0..12 {
        let key = format!("key-{number}");
        let vm = &cell.vms[random.random_range(0..cell.vms.len())];
        let given = edit(&format!("give-{number}"), vec![give_key("workshop", &key)]);
        let given = cell
            .timer
            .timeout(Duration::from_secs(20), vm.commit_and_wait(given))
            .await;
        if !matches!(given, Some(Ok(_))) {
            pending += 1;
            continue;
        }
        let step = edit(
            &format!("withdraw-{number}"),
            vec![withdraw_key("workshop", &key)],
        );
        match cell
            .timer
            .timeout(Duration::from_secs(20), vm.commit_and_wait(step))
            .await
        {
            Some(Ok(accepted)) if accepted.in_force => withdrawn.lock().unwrap().push(key),
            _ => pending += 1,
        }
    }
    pending
}

#[tokio::test(start_paused = true)]
async fn a_key_whose_withdrawal_is_in_force_is_accepted_nowhere_under_any_faults() {
    let (mut in_force, mut pending) = (0, 0);
    for seed in 0..30 {
        let cell = start_cell(4).await;
        let mut random = SmallRng::seed_from_u64(seed);
        let mut faults = SmallRng::seed_from_u64(seed + 1000);
        cell.vms[0]
            .commit_and_wait(create_workshop("k"))
            .await
            .unwrap();
        let (withdrawn, done) = (Mutex::default(), Mutex::new(false));
        let work = async {
            let rotation = rotate_keys(&cell, &withdrawn, &mut random);
            let (unfinished, ()) = tokio::join!(rotation, inject_faults(&cell, &mut faults));
            cell.wait(Duration::from_secs(20)).await;
            *done.lock().unwrap() = true;
            unfinished
        };

        let (unfinished, ()) = tokio::join!(work, check_invariants(&cell, &withdrawn, &done, seed));

        let versions = cell.versions();
        assert!(
            versions.iter().all(|version| *version == versions[0]),
            "seed {seed}"
        );
        in_force += withdrawn.lock().unwrap().len();
        pending += unfinished;
    }
    println!("{in_force} withdrawals in force, {pending} steps pending or refused");
    assert!(in_force > 100, "{in_force}");
    assert!(pending > 10, "{pending}");
}
