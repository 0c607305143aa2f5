//! Refusals before acceptance, and budgets of retries.

mod util;

use std::time::Duration;

use basilbridge_common::{
    job::Kind,
    unit::Millis, //
};
use basilbridge_scheduler::{
    retry::{
        Budget,
        MAX_BUDGET,
        RETRIES_PER_FIRST_ATTEMPT,
        Refusal, //
    },
    shard::Shard,
    task::Task, //
};
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a shard that starts one interactive task each second while a hundred wait.
fn busy() -> (Shard, Millis) {
    let mut shard = Shard::default();
    shard.set_worker(util::worker(0, util::resources(1, 1), 1));
    let mut now = Millis(0);
    for job in 0..200 {
        let task = Task {
            accepted: now,
            deadline: Some(Millis(1_000_000)),
            ..util::task(job, Kind::Interactive, util::resources(1, 1))
        };
        shard.submit(task);
    }
    for job in 0..100 {
        shard.decide(now);
        shard.remove(&util::id(job, 0));
        now = now.after(SECOND);
    }
    (shard, now)
}

#[test]
fn work_that_could_not_start_before_its_deadline_is_refused_with_a_time_to_come_back() {
    let (shard, now) = busy();

    let hasty = shard.admit(Kind::Interactive, Some(now.after(10 * SECOND)), now);
    let patient = shard.admit(Kind::Interactive, Some(now.after(500 * SECOND)), now);
    let other = shard.admit(Kind::Batch, Some(now.after(10 * SECOND)), now);

    // A hundred wait at one a second, so the queue is short enough in about ninety seconds.
    let refusal = hasty.expect_err("the queue is too long");
    assert!(refusal.retry_after >= 30 * SECOND, "{refusal:?}");
    assert_eq!((patient, other), (Ok(()), Ok(())));
}

#[test]
fn retries_of_a_team_stay_a_fixed_part_of_its_first_tries() {
    let mut budget = Budget::default();
    let mut random = SmallRng::seed_from_u64(1);
    let (team, other) = ("first".into(), "second".into());
    let mut granted = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt(&team);
        // Each try fails, and each is tried again as often as the budget lets it.
        for tries in 1..=5 {
            let retry = budget.retry(&team, tries, 5, None, Millis(0), &mut random);
            granted += u32::from(retry.is_ok());
        }
    }

    let most = 10_000.0 * RETRIES_PER_FIRST_ATTEMPT + MAX_BUDGET;
    assert!(f64::from(granted) <= most, "{granted}");
    let unhurt = budget.retry(&other, 1, 5, None, Millis(0), &mut random);
    assert!(unhurt.is_ok(), "another team has its own budget");
}

#[test]
fn no_retry_comes_after_the_deadline_or_after_the_last_try() {
    let mut budget = Budget::default();
    let mut random = SmallRng::seed_from_u64(1);
    let team = "first".into();

    let late = budget.retry(&team, 5, 5, Some(Millis(100)), Millis(0), &mut random);
    let last = budget.retry(&team, 6, 5, None, Millis(0), &mut random);

    assert_eq!(
        (late, last),
        (Err(Refusal::Deadline), Err(Refusal::Attempts))
    );
}
