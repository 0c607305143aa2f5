//! Limits, assignment and order of calls to the advice service.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_workflow::{
    advice::{
        Access,
        Kind,
        Relays, //
    },
    approvals,
    job::TaskId,
    policy::AdviceSettings,
    rank::Band,
    report::Outcome, //
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        LONG_RUNNING,
        accepted,
        policy,
        queue,
        step, //
    },
};

const CORE: u64 = 1000;
const SHORT: Duration = Duration::from_millis(33);
const LONG: Duration = Duration::from_millis(530);
const NOW: Millis = Millis(1_000_000);

fn quick(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (200, Outcome::Done, CORE)
}

fn slow_advice() -> AdviceSettings {
    AdviceSettings {
        per_call: Duration::from_millis(450),
        per_worker: Duration::from_micros(6500),
        ticket_lifetime: Duration::from_millis(2500),
    }
}

/// Returns `count` VMs at the begin of a pass in which calls of these total durations wait.
fn relays(count: usize, short: Duration, long: Duration) -> Relays {
    let mut relays = Relays::default();
    let names: Vec<Name> = (0..count)
        .map(|number| format!("vm{number}").into())
        .collect();
    relays.set_names(&names);
    relays.begin_pass(short, long, NOW);
    relays
}

/// Assigns calls until no VM is left, and returns how many VMs make them.
fn assign_all(relays: &mut Relays, cost: Duration, access: Access, other_waits: bool) -> usize {
    let kind = Kind::of(cost);
    let mut names = BTreeSet::new();
    while let Some(call) = relays.assign(cost, kind, access, other_waits, NOW) {
        names.insert(call.relay);
    }
    names.len()
}

#[test]
fn a_short_call_always_finds_a_vm_without_a_long_call() {
    let mut relays = relays(7, SHORT, LONG * 7);
    let long = assign_all(&mut relays, LONG, Access::Part, false)
        + assign_all(&mut relays, LONG, Access::Spare, false);

    let call = relays.assign(SHORT, Kind::Short, Access::Part, false, NOW);

    assert_eq!(call.map(|call| call.delay), Some(Duration::ZERO));
    assert!((4..=6).contains(&long));
}

#[test]
fn without_short_calls_every_vm_makes_one_long_call() {
    let mut relays = relays(7, Duration::ZERO, LONG * 9);

    let calls = assign_all(&mut relays, LONG, Access::Part, false)
        + assign_all(&mut relays, LONG, Access::Spare, false);

    assert_eq!(calls, 7);
}

#[test]
fn each_kind_of_call_keeps_a_quarter_of_the_vms_however_much_the_other_asks() {
    let mut for_short = relays(8, LONG * 100, SHORT);
    let mut for_long = relays(8, SHORT, LONG * 100);

    let short = assign_all(&mut for_short, SHORT, Access::Spare, true);
    let long = assign_all(&mut for_long, LONG, Access::Spare, true);

    assert_eq!((short, long), (6, 6));
    assert_eq!(assign_all(&mut for_short, LONG, Access::Part, true), 2);
    assert_eq!(assign_all(&mut for_long, SHORT, Access::Part, true), 2);
}

#[test]
fn a_single_vm_serves_both_kinds_in_turn() {
    let mut relays = relays(1, LONG, LONG);
    let mut kinds = Vec::new();
    let mut now = NOW;
    while now < NOW.after(Duration::from_secs(5)) {
        now = now.after(SHORT);
        relays.begin_pass(LONG, LONG, now);
        let long = relays.assign(LONG, Kind::Long, Access::Part, true, now);
        let short = relays.assign(SHORT, Kind::Short, Access::Part, true, now);
        kinds.extend(long.iter().map(|_| Kind::Long));
        kinds.extend(short.iter().map(|_| Kind::Short));
        if let Some(call) = long {
            now = now.after(LONG);
            relays.finish(call.call, true, now);
        }
        if let Some(call) = short {
            relays.finish(call.call, true, now.after(SHORT));
        }
    }

    assert!(kinds.iter().filter(|kind| **kind == Kind::Long).count() >= 2);
    assert!(kinds.iter().filter(|kind| **kind == Kind::Short).count() >= 20);
}

#[test]
fn a_vm_through_which_a_call_failed_makes_none_for_a_while() {
    let mut relays = relays(2, SHORT, Duration::ZERO);
    let call = relays
        .assign(SHORT, Kind::Short, Access::Spare, false, NOW)
        .unwrap();
    relays.finish(call.call, false, NOW);
    let through_it = |at: u64| {
        let now = NOW.after(Duration::from_millis(at));
        relays.begin_pass(SHORT, Duration::ZERO, now);
        let other = relays
            .assign(SHORT, Kind::Short, Access::Spare, false, now)
            .unwrap();
        relays.finish(other.call, true, now);
        other.relay == call.relay
    };

    let used: Vec<bool> = [0, 700, 1400, 1600].into_iter().map(through_it).collect();

    assert_eq!(used, [false, false, false, true]);
}

/// A VM that was lost for good stays registered. Each call through it delayed a step by 0.8 s, twice
/// in three seconds until the end of the day.
#[test]
fn a_vm_through_which_every_call_fails_is_tried_less_and_less() {
    let mut relays = relays(2, SHORT, Duration::ZERO);
    let first = relays
        .assign(SHORT, Kind::Short, Access::Spare, false, NOW)
        .unwrap();
    relays.finish(first.call, false, NOW);
    let lost = first.relay;
    let mut failed = 1;

    for at in (0..60_000).step_by(100) {
        let now = NOW.after(Duration::from_millis(at));
        relays.begin_pass(SHORT, Duration::ZERO, now);
        if let Some(call) = relays.assign(SHORT, Kind::Short, Access::Spare, false, now) {
            let answered = call.relay != lost;
            failed += usize::from(!answered);
            relays.finish(call.call, answered, now);
        }
    }

    assert!(failed <= 7, "{failed}");
}

/// A call that waits at the service behind another is late by that one's duration, and by far more
/// if that one is never answered.
#[test]
fn a_short_call_is_not_queued_while_a_vm_is_idle() {
    let mut relays = relays(2, SHORT, Duration::ZERO);
    let mut assign = |at| {
        let now = NOW.after(Duration::from_millis(at));
        relays.begin_pass(SHORT, Duration::ZERO, now);
        [Access::Part, Access::Spare]
            .into_iter()
            .find_map(|access| relays.assign(SHORT, Kind::Short, access, false, now))
            .map(|call| call.relay)
    };

    let calls = [assign(10), assign(40)];

    assert_eq!(calls, [Some("vm0".into()), Some("vm1".into())]);
}

/// A VM that is paused answers no call, and each one sent there is lost until it times out.
#[test]
fn no_call_is_queued_at_a_vm_whose_call_is_long_overdue() {
    let mut relays = relays(1, SHORT, Duration::ZERO);
    relays.assign(SHORT, Kind::Short, Access::Spare, false, NOW);
    let mut may_queue = |at| {
        let now = NOW.after(Duration::from_millis(at));
        relays.begin_pass(SHORT, Duration::ZERO, now);
        relays.has_room(Kind::Short, Access::Spare, false, now)
    };

    let queued: Vec<bool> = [40, 60, 100, 200].into_iter().map(&mut may_queue).collect();

    assert_eq!(queued, [true, true, false, false]);
}

/// The service still works on a call after its caller has given it up.
#[test]
fn a_call_that_was_given_up_counts_until_it_would_have_ended() {
    let cost = Duration::from_secs(4);
    let mut relays = relays(1, Duration::ZERO, cost);
    let call = relays
        .assign(cost, Kind::Long, Access::Spare, false, NOW)
        .unwrap();
    relays.finish(call.call, false, NOW.after(Duration::from_secs(2)));
    let mut may_call = |seconds| {
        let now = NOW.after(Duration::from_secs(seconds));
        relays.begin_pass(Duration::ZERO, cost, now);
        relays.has_room(Kind::Long, Access::Spare, false, now)
    };

    assert!(!may_call(3));
    assert!(may_call(5));
}

#[test]
fn one_call_names_as_many_workers_as_the_share_of_approvals_requires() {
    let unknown = || std::iter::repeat((false, 1));

    assert!((4..=6).contains(&approvals::sufficient_count(unknown(), 1, 0.7)));
    assert!((10..=14).contains(&approvals::sufficient_count(unknown(), 1, 0.35)));
    assert_eq!(
        approvals::sufficient_count([(true, 2), (true, 2), (true, 2)], 3, 0.7),
        2
    );
}

#[test]
fn a_call_also_names_workers_without_free_capacity() {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], quick);
    let mut advised = policy(0);
    let checks = queue(CHECKS, 0, Some(slow_advice()));
    advised.queues.insert(checks.name.clone(), checks);
    sim.engine.set_policy(advised);

    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(2, CORE)]));
    sim.run(100);

    assert_eq!(sim.requests.len(), 1);
    assert_eq!(sim.requests[0].workers.len(), 4);
}

#[test]
fn requests_for_long_running_tasks_precede_those_of_other_jobs() {
    let mut sim = Simulation::new(&["w1"], quick);
    let mut advised = policy(0);
    for (name, priority) in [(CHECKS, 0), (LONG_RUNNING, 1)] {
        let queue = queue(name, priority, Some(slow_advice()));
        advised.queues.insert(queue.name.clone(), queue);
    }
    sim.engine.set_policy(advised);
    let mut long_running = step(1, CORE);
    long_running.long_running = true;

    sim.submit("j1", accepted(CHECKS, sim.now, vec![step(1, CORE)]));
    sim.submit("j2", accepted(LONG_RUNNING, sim.now, vec![long_running]));
    sim.run(100);

    sim.requests.sort_by_key(|request| request.rank);
    assert_eq!(&*sim.requests[0].job, "j2");
    assert_eq!(sim.requests[0].rank.band, Band::Overdue);
}
