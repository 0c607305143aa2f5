//! The budget of calls that are sent again.

use basilbridge::retry::{
    CALLS_PER_RETRY,
    MAX_TEAM_RETRIES,
    MAX_VM_RETRIES, //
    RetryBudget,
};
use basilbridge_common::id::Name;

fn taken(budget: &RetryBudget, team: &Name, tries: u32) -> u32 {
    (0..tries).map(|_| u32::from(budget.take(team))).sum()
}

#[test]
fn retries_of_a_team_are_a_part_of_its_calls_and_leave_other_teams_theirs() {
    let budget = RetryBudget::default();
    let (loud, quiet): (Name, Name) = ("loud".into(), "quiet".into());

    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_call(&loud);
        retries += taken(&budget, &loud, 3);
    }

    // The first call finds the budget full and pays for nothing.
    assert_eq!(retries, MAX_TEAM_RETRIES + 999 / CALLS_PER_RETRY);
    assert!(budget.take(&quiet));
}

#[test]
fn retries_of_all_teams_together_are_bounded_for_the_vm() {
    let budget = RetryBudget::default();

    let retries: u32 = (0..50)
        .map(|number| taken(&budget, &format!("team-{number}").into(), MAX_TEAM_RETRIES))
        .sum();

    assert_eq!(retries, MAX_VM_RETRIES);
}
