//! The budget of calls that are sent again.

use basilbridge::retry::{
    Budget,
    CALLS_PER_RETRY,
    TEAM_RETRIES,
    VM_RETRIES, //
};
use basilbridge_common::id::Name;

fn taken(budget: &Budget, team: &Name, tries: u32) -> u32 {
    (0..tries).map(|_| u32::from(budget.take(team))).sum()
}

#[test]
fn retries_of_a_team_are_a_part_of_its_calls_and_leave_other_teams_theirs() {
    let budget = Budget::default();
    let (loud, quiet): (Name, Name) = ("loud".into(), "quiet".into());

    let mut retries = 0;
    for _ in 0..1000 {
        budget.pay(&loud);
        retries += taken(&budget, &loud, 3);
    }

    // The first call finds the budget full and pays for nothing.
    assert_eq!(retries, TEAM_RETRIES + 999 / CALLS_PER_RETRY);
    assert!(budget.take(&quiet));
}

#[test]
fn retries_of_all_teams_together_are_bounded_for_the_vm() {
    let budget = Budget::default();

    let retries: u32 = (0..50)
        .map(|number| taken(&budget, &format!("team-{number}").into(), TEAM_RETRIES))
        .sum();

    assert_eq!(retries, VM_RETRIES);
}
