//! What a VM accepts and refuses by the outlook that it knows.

use std::time::Duration;

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};
use basilbridge_workflow::{
    admission::{
        judge::{
            self,
            Knowledge,
            Refusal,
            Rule,
            Submission, //
        },
        outlook::{
            Outlook,
            Queue,
            Team, //
        },
        rates::TeamRates,
        retry, //
    },
    job::Schedule,
    policy::AdviceSettings,
    report::Outcome, //
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        LONG_RUNNING,
        PLANS,
        TEAM,
        accepted,
        name,
        policy,
        step, //
    },
};

const NOW: Millis = Millis(1_000_000);

/// Returns an outlook in which work within rates waits for what checks need, for 100 ms, and work in
/// excess of a rate for more than half of the slack of a check, which is 325 ms.
fn outlook(tokens: f64) -> Outlook {
    let team = Team {
        tokens,
        rate: 10.0,
        offered: 100.0,
        return_rate: 5.0,
    };
    let queue = Queue {
        contended: true,
        on_time: Duration::from_millis(100),
        late: Duration::from_millis(200),
        excess: Duration::from_millis(500),
        waiting: 10,
    };
    Outlook {
        made_at: NOW,
        epoch: 1,
        teams: [(name(TEAM), team)].into(),
        queues: [(name(CHECKS), queue)].into(),
    }
}

fn knowledge(outlook: Outlook) -> Knowledge {
    let mut knowledge = Knowledge::default();
    knowledge.learn(outlook, NOW);
    knowledge
}

fn submit(knowledge: &mut Knowledge, team: &str, now: Millis) -> Result<(), Refusal> {
    submit_job(knowledge, team, false, now)
}

fn submit_job(
    knowledge: &mut Knowledge,
    team: &str,
    exempt: bool,
    now: Millis,
) -> Result<(), Refusal> {
    let (queue, team): (Name, Name) = (name(CHECKS), name(team));
    let submission = Submission {
        queue: &queue,
        team: Some(&team),
        exempt,
        objective: Duration::from_millis(1450),
        path: Duration::from_millis(800),
    };
    judge::judge(knowledge, &submission, now)
}

fn after(millis: u64) -> Millis {
    NOW.after(Duration::from_millis(millis))
}

#[test]
fn a_team_that_has_used_up_its_rate_is_refused_and_others_are_not() {
    let mut knowledge = knowledge(outlook(-20.0));

    let refused = submit(&mut knowledge, TEAM, NOW);
    let other = submit(&mut knowledge, "other", NOW);

    assert_eq!(refused.map_err(|refusal| refusal.rule), Err(Rule::Rate));
    assert_eq!(other, Ok(()));
}

/// Guards against a VM that admits without bound by one figure.
#[test]
fn what_a_vm_has_admitted_since_the_outlook_counts_against_the_team() {
    let mut knowledge = knowledge(outlook(20.0));

    let results = (0..100).map(|number| submit(&mut knowledge, TEAM, after(number)));
    let admitted = results.filter(Result::is_ok).count();

    // Ten until less than a second of its rate is left, then two in ten at first.
    assert!((11..=30).contains(&admitted), "{admitted}");
}

#[test]
fn the_jobs_that_all_vms_admit_together_match_the_rate_however_callers_are_spread() {
    // Four VMs get 40, 30, 20 and 10 of 100 jobs a second.
    let vms = (0..4).map(|vm| Knowledge::new(f64::from(vm) / 4.0));
    let mut vms: Vec<Knowledge> = vms.collect();
    for vm in &mut vms {
        vm.learn(outlook(0.0), NOW);
    }

    let mut admitted = 0;
    for number in 0..250_u64 {
        let vm = [0, 0, 0, 0, 1, 1, 1, 2, 2, 3][number as usize % 10];
        let result = submit(&mut vms[vm], TEAM, after(number * 10));
        admitted += usize::from(result.is_ok());
    }

    assert!((20..=30).contains(&admitted), "{admitted}");
}

#[test]
fn refused_callers_return_in_the_order_in_which_they_were_refused() {
    // The VM has seen the load for a second before it learns of the shortage.
    let mut knowledge = Knowledge::default();
    for number in 0..100 {
        let at = Millis(NOW.0 - 1000 + number * 10);
        assert_eq!(submit(&mut knowledge, TEAM, at), Ok(()));
    }
    knowledge.learn(outlook(-20.0), NOW);

    let mut returns = Vec::new();
    for number in 0..50 {
        let now = after(number * 10);
        if let Err(refusal) = submit(&mut knowledge, TEAM, now) {
            returns.push(now.after(refusal.retry_after));
        }
    }

    assert_eq!(returns.len(), 50);
    assert!(returns.is_sorted());
    // The debt of 2 s is paid back first, and then at most 5 return in a second.
    assert!(returns[0] >= after(2000));
    let fifth = returns[5].since(returns[0]);
    assert!(fifth >= Duration::from_millis(990), "{fifth:?}");
}

/// A single step that waited long after a restart had submissions refused while workers were free.
#[test]
fn work_in_excess_of_a_rate_is_accepted_while_it_would_start_soon() {
    let mut short = outlook(-20.0);
    let queue = short.queues.get_mut(CHECKS).expect("the outlook has it");
    queue.excess = Duration::from_millis(300);
    let mut knowledge = knowledge(short);

    let first = submit(&mut knowledge, TEAM, after(1));
    // Each one that is accepted lengthens the wait of the next.
    let accepted = (2..20).filter(|at| submit(&mut knowledge, TEAM, after(*at)).is_ok());

    assert_eq!(first, Ok(()));
    assert!(accepted.count() < 3);
}

/// All VMs begin to refuse by the same outlook, and the first callers that they refused returned at
/// the same time.
#[test]
fn the_first_callers_that_several_vms_refuse_do_not_return_together() {
    let vm = |number: u32| {
        let mut vm = Knowledge::new(f64::from(number) / 8.0);
        vm.learn(outlook(-20.0), NOW);
        vm
    };
    let mut vms: Vec<Knowledge> = (0..8).map(vm).collect();

    let mut returns = Vec::new();
    for (vm, number) in vms.iter_mut().zip(0..) {
        let now = after(number * 7);
        if let Err(refusal) = submit(vm, TEAM, now) {
            returns.push(now.after(refusal.retry_after));
        }
    }

    returns.sort();
    assert_eq!(returns.len(), 8);
    let spread = returns[7].since(returns[0]);
    // Each VM lets one return in a second.
    assert!(spread >= Duration::from_millis(500), "{spread:?}");
}

#[test]
fn long_running_and_scheduled_jobs_are_not_refused() {
    let mut knowledge = knowledge(outlook(-20.0));

    let result = submit_job(&mut knowledge, TEAM, true, NOW);

    assert_eq!(result, Ok(()));
}

#[test]
fn a_job_that_could_not_end_within_three_times_its_objective_is_refused() {
    let mut outlook = outlook(40.0);
    let queue = outlook.queues.get_mut(CHECKS).expect("it is there");
    queue.contended = false;
    queue.on_time = Duration::from_millis(1200);
    queue.late = Duration::from_millis(3900);
    let mut in_time = knowledge(outlook.clone());
    let queue = outlook.queues.get_mut(CHECKS).expect("it is there");
    queue.late = Duration::from_millis(4100);
    let mut too_late = knowledge(outlook);

    let accepted = submit(&mut in_time, TEAM, NOW);
    let refused = submit(&mut too_late, TEAM, NOW);

    assert_eq!(accepted, Ok(()));
    assert_eq!(refused.map_err(|refusal| refusal.rule), Err(Rule::Late));
}

/// Guards against a VM that refuses by an outlook of an owner that is gone.
#[test]
fn an_old_outlook_limits_only_what_this_vm_admits_and_is_then_dropped() {
    let mut knowledge = knowledge(outlook(-20.0));

    // The debt of 2 s is paid back by then, and 10 jobs more.
    let results = (0..20).map(|_| submit(&mut knowledge, TEAM, after(3000)).is_ok());
    let admitted = results.filter(|accepted| *accepted).count();
    let results = (0..1000).map(|_| submit(&mut knowledge, TEAM, after(10_000)).is_ok());
    let later = results.filter(|accepted| *accepted).count();

    assert_eq!((admitted, later), (10, 1000));
}

#[test]
fn an_older_outlook_does_not_replace_a_newer_one() {
    let mut knowledge = knowledge(outlook(-20.0));
    let mut older = outlook(40.0);
    older.made_at = Millis(NOW.0 - 1);

    knowledge.learn(older, after(10));

    assert!(submit(&mut knowledge, TEAM, after(10)).is_err());
}

#[test]
fn an_outlook_keeps_its_meaning_in_a_stored_row() {
    let outlook = outlook(-2.5);

    let text = serde_json::to_string(&outlook).expect("it can be encoded");
    let read: Outlook = serde_json::from_str(&text).expect("it can be decoded");

    assert_eq!(read, outlook);
}

#[test]
fn the_account_of_a_team_counts_jobs_in_excess() {
    let mut rates = TeamRates::default();
    let policy = policy(0);
    for number in 0..1000 {
        rates.count_job(&name(TEAM), 100.0, after(number));
    }

    let teams = rates.teams(&policy.teams, true, after(1000));

    // 400 saved and 100 of this second, less 1000, but no more than 2 s of debt.
    let tokens = teams[TEAM].tokens;
    assert!((-200.0..=-195.0).contains(&tokens), "{tokens}");
}

/// Submits jobs on one queue, each for a quarter of a worker's processors.
fn submit_all(sim: &mut Simulation, queue: &str, count: usize) {
    for number in 0..count {
        let mut task = step(1, 16_000);
        task.long_running = queue == LONG_RUNNING;
        let job = accepted(queue, sim.now, vec![task]);
        sim.submit(&format!("{queue}{number}"), job);
    }
}

fn simulation() -> Simulation {
    let mut sim = Simulation::new(&["w1", "w2"], |_, _| (800, Outcome::Done, 16_000));
    sim.engine.finish_loading(sim.now);
    // Workers are used once they have answered.
    sim.run(100);
    sim
}

#[test]
fn an_outlook_is_published_only_while_work_waits_for_a_part_of_its_slack() {
    let mut sim = simulation();

    submit_all(&mut sim, CHECKS, 8);
    let fits = sim.engine.outlook(1, sim.now);
    submit_all(&mut sim, PLANS, 1);
    let waits_briefly = sim.engine.outlook(1, sim.now);
    for number in 8..24 {
        let job = accepted(CHECKS, sim.now, vec![step(1, 16_000)]);
        sim.submit(&format!("more{number}"), job);
    }
    let waits = sim.engine.outlook(1, sim.now);

    assert_eq!((fits, waits_briefly), (None, None));
    let waits = waits.expect("work waits");
    assert!(waits.queues[CHECKS].contended);
}

/// Guards against the collapse of the advice service while workers are free: 50 calls of 31 ms need
/// 1.6 s through one VM.
#[test]
fn a_backlog_of_advice_is_a_shortage_if_it_exceeds_what_the_relays_serve() {
    let names: Vec<String> = (0..20).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut sim = Simulation::new(&names, |_, _| (800, Outcome::Done, 16_000));
    let mut advised = policy(0);
    let advice = AdviceSettings {
        per_call: Duration::from_millis(22),
        per_worker: Duration::from_micros(310),
        ticket_lifetime: Duration::from_millis(2500),
    };
    let checks = advised.queues.get_mut(CHECKS).expect("it is there");
    checks.advice = Some(advice);
    sim.engine.set_policy(advised);
    sim.engine.finish_loading(sim.now);
    sim.run(100);
    submit_all(&mut sim, CHECKS, 50);

    let through_many = sim.engine.outlook(33, sim.now);
    let through_one = sim.engine.outlook(1, sim.now);

    assert_eq!(through_many, None);
    let queues = through_one.expect("calls wait").queues;
    assert!(queues[CHECKS].contended);
    // Work without advice is not affected.
    assert!(!queues.contains_key(PLANS));
}

/// Guards against a shortage that is not seen since submitters give estimates that are too short.
#[test]
fn work_that_waits_for_a_full_pool_longer_than_estimates_tell_is_a_shortage() {
    let mut sim = Simulation::new(&["w1", "w2"], |_, _| (8000, Outcome::Done, 16_000));
    sim.engine.finish_loading(sim.now);
    sim.run(100);
    submit_all(&mut sim, CHECKS, 10);

    sim.run(100);
    let at_first = sim.engine.outlook(1, sim.now);
    sim.run(400);
    let later = sim.engine.outlook(1, sim.now);

    assert_eq!(at_first, None);
    assert!(later.is_some_and(|outlook| outlook.queues[CHECKS].contended));
}

/// Guards against teams that are refused because a job waits for something that nobody can give.
#[test]
fn work_that_no_worker_can_run_or_that_its_team_has_no_cap_for_is_no_shortage() {
    let mut sim = simulation();
    sim.engine.set_policy(policy(1000));
    submit_all(&mut sim, CHECKS, 50);
    for number in 0..50 {
        let mut job = accepted(CHECKS, sim.now, vec![step(1, 1_000_000)]);
        job.team = None;
        sim.submit(&format!("large{number}"), job);
    }

    assert_eq!(sim.engine.outlook(1, sim.now), None);
}

/// Guards against a new owner that gives a team its whole rate again, or that sees no shortage
/// before all workers have answered it.
#[test]
fn a_new_owner_continues_the_accounts_and_the_outlook_of_its_predecessor() {
    let mut sim = simulation();
    submit_all(&mut sim, CHECKS, 600);
    // Some of the jobs end and are stored as completed.
    sim.run(1000);
    let before = sim.engine.outlook(1, sim.now).expect("work waits");

    let silent = sim.fleet.workers.get_mut("w2").expect("the test made it");
    silent.reachable = false;
    sim.take_over();
    sim.run(10);
    // The claim is confirmed after its workers have answered.
    sim.engine.confirm_ownership(sim.now, Version(sim.version));
    let after = sim.engine.outlook(1, sim.now).expect("work waits");

    let change = after.teams[TEAM].tokens - before.teams[TEAM].tokens;
    assert!(before.teams[TEAM].tokens < 0.0);
    assert!((0.0..=1.1).contains(&change), "{change}");
    assert!(before.is_older_than(&after));
}

#[test]
fn occurrences_that_are_not_due_are_no_shortage() {
    let mut sim = simulation();
    for number in 0..50 {
        let mut job = accepted(CHECKS, sim.now, vec![step(1, 16_000)]);
        job.spec.schedule = Some(Schedule {
            times: 3,
            first: sim.now.after(Duration::from_secs(60)),
            interval: Duration::from_secs(60),
        });
        sim.submit(&format!("later{number}"), job);
    }

    assert_eq!(sim.engine.outlook(1, sim.now), None);
}

#[test]
fn callers_without_a_store_return_after_one_second_at_first_and_then_later_and_apart() {
    let retries = |millis| {
        let outage = Duration::from_millis(millis);
        [0, 1].map(|before| retry::without_store(outage, before).as_secs())
    };

    assert_eq!(retries(0), [1, 1]);
    assert_eq!(retries(1000), [2, 1]);
    assert_eq!(retries(4200), [3, 2]);
}
