//! Tests load shedding and retry budgets.

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

/// Returns a shard that starts one interactive task per second while a hundred wait, and the
/// current time.
fn overloaded_shard() -> (Shard, Millis) {
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
fn a_task_that_could_not_start_before_its_deadline_is_refused_with_a_retry_time() {
    let (shard, now) = overloaded_shard();

    let early_deadline = shard.admit(Kind::Interactive, Some(now.after(10 * SECOND)), now);
    let late_deadline = shard.admit(Kind::Interactive, Some(now.after(500 * SECOND)), now);
    let other_kind = shard.admit(Kind::Batch, Some(now.after(10 * SECOND)), now);

    // A hundred tasks wait and one starts per second, so the queue is short enough for the deadline
    // after about ninety seconds.
    let refusal = early_deadline.expect_err("the queue is too long");
    assert!(refusal.retry_after >= 30 * SECOND, "{refusal:?}");
    assert_eq!((late_deadline, other_kind), (Ok(()), Ok(())));
}

#[test]
fn retries_of_a_team_stay_within_a_fixed_fraction_of_its_first_attempts() {
    let mut budget = Budget::default();
    let mut random = SmallRng::seed_from_u64(1);
    let (team, other) = ("first".into(), "second".into());
    let mut granted = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt(&team);
        // Each attempt fails and is retried as often as the budget allows.
        for attempts in 1..=5 {
            let retry = budget.retry(&team, attempts, 5, None, Millis(0), &mut random);
            granted += u32::from(retry.is_ok());
        }
    }

    let max_granted = 10_000.0 * RETRIES_PER_FIRST_ATTEMPT + MAX_BUDGET;
    assert!(f64::from(granted) <= max_granted, "{granted}");
    let other_retry = budget.retry(&other, 1, 5, None, Millis(0), &mut random);
    assert!(other_retry.is_ok(), "the other team has its own budget");
}

#[test]
fn no_retry_is_granted_past_the_deadline_or_after_the_last_attempt() {
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
