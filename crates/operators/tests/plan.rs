//! Tests with random intents that a confirmed plan leads to the intent, that a second plan is then
//! empty, and that a stale plan is rejected.

use basilbridge_common::{
    error::Kind,
    unit::Resources, //
};
use basilbridge_operators::{
    change::{
        Edit,
        Holder,
        Operation, //
    },
    configuration::{
        Configuration,
        Queue,
        TeamSettings, //
    },
    intent::{
        DesiredTeam, //
        Intent,
    },
    key::Hash,
    plan::{
        Plan,
        Request, //
    },
};
use quickcheck::{
    Arbitrary,
    Gen, //
};

const RUNS: u64 = 300;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn random_names(random: &mut Gen) -> Vec<&'static str> {
    let chosen = NAMES.into_iter().filter(|_| bool::arbitrary(random));
    chosen.collect()
}

fn random_limit(random: &mut Gen) -> Option<Resources> {
    bool::arbitrary(random).then(|| Resources {
        cpu_millis: u64::from(u8::arbitrary(random)),
        memory_mib: u64::from(u8::arbitrary(random)),
        accelerators: 0,
    })
}

fn random_request(random: &mut Gen) -> Request {
    let teams = random_names(random).into_iter().map(|name| DesiredTeam {
        name: name.into(),
        settings: TeamSettings {
            share: u32::from(u8::arbitrary(random) % 4 + 1),
            limit: random_limit(random),
        },
    });
    let teams: Vec<_> = teams.collect();
    let queues = random_names(random).into_iter().map(|name| Queue {
        name: name.into(),
        open_for: None,
    });
    let queues = queues.collect();
    Request {
        name: "intent".to_owned(),
        intent: Intent {
            teams,
            queues,
            workloads: Vec::new(),
            evacuate: random_names(random).into_iter().map(Into::into).collect(),
        },
    }
}

/// Returns the request with the share of one team changed, or with one queue removed.
fn random_variation(base: &Request, random: &mut Gen) -> Request {
    let mut varied = base.clone();
    let share = u32::from(u8::arbitrary(random)) + 10;
    match usize::arbitrary(random).checked_rem(base.intent.teams.len()) {
        Some(team) if bool::arbitrary(random) => varied.intent.teams[team].settings.share = share,
        _ => {
            varied.intent.queues.pop();
        }
    }
    varied
}

fn confirm(plan: &Plan, configuration: &mut Configuration) -> bool {
    let applied = configuration.apply(&plan.edit);
    if applied.is_ok() {
        configuration.version.0 += 1;
    }
    applied.is_ok_and(|changes| changes == plan.changes)
}

fn give_keys(configuration: &mut Configuration) {
    let operations = configuration.teams.iter().map(|team| {
        let key = Hash::of(&format!("key of {}", team.name));
        Operation::GiveKey(Holder::Team(team.name.clone()), key)
    });
    let edit = Edit {
        id: "keys".into(),
        operator: String::new(),
        intent: String::new(),
        base: None,
        operations: operations.collect(),
    };
    configuration.apply(&edit).unwrap();
}

#[test]
fn a_confirmed_plan_leads_to_the_state_of_the_intent() {
    for seed in 0..RUNS {
        let mut random = Gen::from_size_and_seed(20, seed);
        let mut configuration = Configuration::default();
        for _ in 0..4 {
            let request = random_request(&mut random);
            let before = configuration.clone();
            let plan = Plan::new(&request, &configuration).unwrap();

            assert!(confirm(&plan, &mut configuration), "seed {seed}");

            let expected = request.intent.applied_to(&before);
            assert_eq!(configuration.teams, expected.teams, "seed {seed}");
            assert_eq!(configuration.queues, expected.queues, "seed {seed}");
            give_keys(&mut configuration);
        }
    }
}

#[test]
fn planning_twice_gives_the_same_plan_and_an_empty_one_after_confirmation() {
    for seed in 0..RUNS {
        let mut random = Gen::from_size_and_seed(20, seed);
        let mut configuration = Configuration::default();
        let (first, request) = (random_request(&mut random), random_request(&mut random));
        confirm(
            &Plan::new(&first, &configuration).unwrap(),
            &mut configuration,
        );

        let plan = Plan::new(&request, &configuration).unwrap();
        let again = Plan::new(&request, &configuration).unwrap();
        assert_eq!(plan, again, "seed {seed}");

        confirm(&plan, &mut configuration);
        let after = Plan::new(&request, &configuration).unwrap();
        assert!(after.is_empty(), "seed {seed}");
        assert_ne!(after.edit.id, plan.edit.id, "seed {seed}");
    }
}

#[test]
fn a_team_is_not_removed_by_a_plan_made_before_its_key_was_given() {
    let mut random = Gen::from_size_and_seed(20, 0);
    let mut configuration = Configuration::default();
    let mut request = random_request(&mut random);
    request.intent.teams = vec![DesiredTeam {
        name: "a".into(),
        settings: TeamSettings {
            share: 1,
            limit: None,
        },
    }];
    confirm(
        &Plan::new(&request, &configuration).unwrap(),
        &mut configuration,
    );
    request.intent.teams.clear();
    let stale = Plan::new(&request, &configuration).unwrap();
    give_keys(&mut configuration);

    let rejected = configuration.apply(&stale.edit).unwrap_err();
    let new = Plan::new(&request, &configuration).unwrap();

    assert_eq!(rejected.kind, Kind::Conflict);
    assert!(confirm(&new, &mut configuration));
    assert_eq!(configuration.teams, []);
}

#[test]
fn of_two_plans_from_one_state_that_change_the_same_item_only_the_first_is_accepted() {
    let (mut rejected_count, mut accepted_count) = (0, 0);
    for seed in 0..RUNS {
        let mut random = Gen::from_size_and_seed(20, seed);
        let mut configuration = Configuration::default();
        let base = random_request(&mut random);
        let base_plan = Plan::new(&base, &configuration).unwrap();
        confirm(&base_plan, &mut configuration);
        let plan = |request: &Request| Plan::new(request, &configuration).unwrap();
        let first = plan(&random_variation(&base, &mut random));
        let second = plan(&random_variation(&base, &mut random));
        let touched = |plan: &Plan| {
            let keys = plan.changes.iter().map(|change| change.key.clone());
            keys.collect::<Vec<_>>()
        };
        let shared = touched(&first)
            .iter()
            .any(|key| touched(&second).contains(key));
        assert!(confirm(&first, &mut configuration), "seed {seed}");
        let before = configuration.clone();

        let accepted = configuration.apply(&second.edit).is_ok();

        assert_eq!(accepted, !shared, "seed {seed}");
        if !accepted {
            assert_eq!(configuration, before, "seed {seed}");
        }
        rejected_count += u32::from(!accepted);
        accepted_count += u32::from(accepted);
    }
    assert!(
        rejected_count > 20 && accepted_count > 20,
        "{rejected_count} {accepted_count}"
    );
}
