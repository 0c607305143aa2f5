//! Tests of a shard that is told to start nothing while it stops tasks for others.

mod util;

use std::time::Duration;

use basilbridge_common::{
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
    worker::Worker,
};
use basilbridge_scheduler::shard::{
    Action,
    Shard, //
};

/// Time after which a task is stopped at the latest, whether it was checkpointed or not.
const GRACE: Duration = Duration::from_secs(60);

fn set_leaving(shard: &mut Shard, leaving: bool) {
    let worker = util::worker(0, util::resources(4, 4), 8);
    shard.set_worker(Worker { leaving, ..worker });
}

/// Returns a shard that has asked for a checkpoint of a batch task in favour of a check.
fn preempting_shard() -> Shard {
    let mut shard = Shard::default();
    set_leaving(&mut shard, false);
    shard.submit(util::task(1, Kind::Batch, util::resources(4, 4)));
    let started = shard.decide(Millis(0));
    shard.submit(util::task(2, Kind::Interactive, util::resources(1, 1)));
    let preempted = shard.decide(Millis(0).after(GRACE));
    assert!(matches!(started[..], [Action::Start { .. }]), "{started:?}");
    assert!(
        matches!(preempted[..], [Action::Checkpoint { .. }]),
        "{preempted:?}"
    );
    shard
}

/// Guards against a task that is stopped although nothing may start in its place, which it would
/// then wait for as well.
#[test]
fn a_task_is_not_stopped_once_nothing_may_start_in_its_place() {
    let mut shard = preempting_shard();
    set_leaving(&mut shard, true);

    shard.cancel_checkpoints();
    let actions = shard.decide(Millis(0).after(4 * GRACE));

    assert_eq!(actions, []);
    assert_eq!((shard.running(), shard.queued()), (1, 1));
    let stopping = shard.teams().map(|account| account.stopping);
    assert!(stopping.eq([Resources::default()]));
}

/// Guards against a task that is never a candidate for preemption again.
#[test]
fn a_task_that_went_on_may_be_stopped_when_tasks_may_start_again() {
    let mut shard = preempting_shard();
    set_leaving(&mut shard, true);
    shard.cancel_checkpoints();
    shard.decide(Millis(0).after(2 * GRACE));
    set_leaving(&mut shard, false);

    let asked = shard.decide(Millis(0).after(3 * GRACE));
    let stopped = shard.decide(Millis(0).after(4 * GRACE));

    assert!(
        matches!(asked[..], [Action::Checkpoint { .. }]),
        "{asked:?}"
    );
    assert!(matches!(stopped[..], [Action::Stop { .. }]), "{stopped:?}");
}
