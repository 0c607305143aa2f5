//! An overload of some seconds, with and without admission, on VMs that judge by outlooks that are
//! half a second old.
//!
//! The load that this replays: teams send 2 to 16 times their usual jobs for 4 s. Without admission
//! everything is accepted, most of it ends after it is worth anything, and the jobs of teams that
//! send no more than usual wait behind it.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    ops::Range,
    time::Duration,
};

use basilbridge_common::id::Name;
use basilbridge_workflow::{
    active,
    admission::{
        judge::{
            self,
            Knowledge,
            Submission, //
        },
        outlook::Outlook,
    },
    event::Event,
    job::{
        State,
        TaskId, //
    },
    policy::{
        Policy,
        Queue,
        Team, //
    },
    report::Outcome,
};

use crate::{
    simulation::Simulation,
    util::{
        CHECKS,
        accepted,
        cpu,
        policy,
        step, //
    },
};

/// VMs that judge. Callers choose among them unevenly.
const VMS: usize = 33;

/// Interval between two outlooks, and the time until VMs judge by one, in milliseconds.
const OUTLOOK_INTERVAL: u64 = 500;

const TEAMS: usize = 4;

/// Jobs per second that each team is entitled to.
const WEIGHT: f64 = 10.0;

/// Jobs per second that each team usually sends: four teams use 80 % of the workers.
const USUAL: u64 = 8;

/// Length of the three parts of a replay in milliseconds.
const BEFORE: u64 = 4000;
const OVERLOAD: u64 = 4000;
const AFTER: u64 = 8000;

/// Time for which the workers go on after the last new job, in milliseconds.
const TAIL: u64 = 3000;

/// How often a refused caller returns.
const MAX_RETURNS: u32 = 4;

/// Time when service has to be as before: the overload's own length after its end.
const RECOVERED: Range<u64> = BEFORE + OVERLOAD + OVERLOAD..BEFORE + OVERLOAD + AFTER;

/// Tasks take 0.8 s and 8 cores, so four workers of 64 cores end 40 in a second.
fn behaviour(_: &TaskId, _: u32) -> (u64, Outcome, u64) {
    (800, Outcome::Done, 8000)
}

fn team_name(index: usize) -> Name {
    format!("team{index}").into()
}

fn policy_with_teams() -> Policy {
    let mut policy = policy(0);
    let teams = (0..TEAMS).map(|index| Team {
        name: team_name(index),
        weight: WEIGHT,
        cap: cpu(0),
    });
    policy.teams = teams.map(|team| (team.name.clone(), team)).collect();
    policy
}

/// A caller with one job.
#[derive(Debug, Clone)]
struct Caller {
    job: String,
    team: usize,
    /// Time of the first submission, since the start of the replay.
    sent_at: u64,
    returns: u32,
}

/// What became of a job.
#[derive(Debug, Clone)]
struct Fate {
    team: usize,
    sent_at: u64,
    /// Time from its acceptance to its first start; `None` if it was refused.
    wait: Option<u64>,
    /// Time from its acceptance to its end over its objective.
    lateness: Option<f64>,
}

impl Fate {
    fn is_on_time(&self) -> bool {
        self.lateness.is_some_and(|lateness| lateness <= 1.0)
    }

    /// Returns whether the job was accepted and has not ended while it was worth anything.
    fn is_useless(&self) -> bool {
        self.wait.is_some() && self.lateness.is_none_or(|lateness| lateness > 3.0)
    }
}

/// The outcome of a replay.
struct Replay {
    fates: Vec<Fate>,
    outlooks: usize,
    /// Time of each return that a refused caller was told, with that of the refusal.
    returns: Vec<(u64, u64)>,
}

impl Replay {
    fn select(&self, sent_at: Range<u64>, team: impl Fn(usize) -> bool) -> Vec<&Fate> {
        let fates = self.fates.iter();
        fates
            .filter(|fate| sent_at.contains(&fate.sent_at) && team(fate.team))
            .collect()
    }
}

/// Returns the callers of all teams, by the time when they come.
fn callers(factors: [u64; TEAMS]) -> BTreeMap<u64, Vec<Caller>> {
    let mut callers: BTreeMap<u64, Vec<Caller>> = BTreeMap::new();
    let mut number = 0;
    for (team, factor) in factors.into_iter().enumerate() {
        let mut at = team as u64 * 7;
        while at < BEFORE + OVERLOAD + AFTER {
            callers.entry(at / 10 * 10).or_default().push(Caller {
                job: format!("check{number}"),
                team,
                sent_at: at,
                returns: 0,
            });
            number += 1;
            let is_overload = (BEFORE..BEFORE + OVERLOAD).contains(&at);
            let factor = if is_overload { factor } else { 1 };
            at += 1000 / (USUAL * factor);
        }
    }
    callers
}

/// Replays a load in which each team sends its usual jobs, multiplied by its factor during the
/// overload.
fn replay(factors: [u64; TEAMS], with_admission: bool) -> Replay {
    let mut sim = Simulation::new(&["w1", "w2", "w3", "w4"], behaviour);
    sim.engine.set_policy(policy_with_teams());
    sim.engine.finish_loading(sim.now);
    let queue = policy_with_teams().queues[CHECKS].clone();
    let mut vms: Vec<Knowledge> = (0..VMS)
        .map(|vm| Knowledge::new(vm as f64 / VMS as f64))
        .collect();
    let mut published: VecDeque<(u64, Option<Outlook>)> = VecDeque::new();
    let mut callers = callers(factors);
    let mut admitted: Vec<Caller> = Vec::new();
    let mut refused: Vec<Caller> = Vec::new();
    let (mut outlooks, mut returns) = (0, Vec::new());
    for at in (0..BEFORE + OVERLOAD + AFTER + TAIL).step_by(10) {
        if with_admission && at % OUTLOOK_INTERVAL == 0 {
            let outlook = sim.engine.outlook(VMS, sim.now);
            outlooks += usize::from(outlook.is_some());
            published.push_back((at + OUTLOOK_INTERVAL, outlook));
        }
        while published.front().is_some_and(|(due, _)| *due <= at) {
            let outlook = published.pop_front().and_then(|(_, outlook)| outlook);
            for vm in &mut vms {
                match &outlook {
                    Some(outlook) => vm.learn(outlook.clone(), sim.now),
                    None => vm.clear(),
                }
            }
        }
        let due = callers.remove(&at).unwrap_or_default();
        for (index, mut caller) in due.into_iter().enumerate() {
            // Two of the VMs get twice as many callers as the others.
            let choice = at as usize / 10 * 11 + index * 3 + caller.returns as usize;
            let vm = &mut vms[choice % (VMS + 2) % VMS];
            let Some(retry_after) = submit(&mut sim, vm, &queue, &caller) else {
                admitted.push(caller);
                continue;
            };
            caller.returns += 1;
            if caller.returns > MAX_RETURNS {
                refused.push(caller);
                continue;
            }
            // The header has whole seconds.
            let due = at + retry_after.as_millis().div_ceil(1000) as u64 * 1000;
            returns.push((at, due));
            callers.entry(due).or_default().push(caller);
        }
        sim.run(10);
    }
    refused.extend(callers.into_values().flatten());
    Replay {
        fates: fates(&sim, &admitted, &refused),
        outlooks,
        returns,
    }
}

/// Submits the job of a caller through a VM. Returns when the caller returns if it is refused.
fn submit(
    sim: &mut Simulation,
    vm: &mut Knowledge,
    queue: &Queue,
    caller: &Caller,
) -> Option<Duration> {
    let mut job = accepted(CHECKS, sim.now, vec![step(1, 8000)]);
    job.team = Some(team_name(caller.team));
    let submission = Submission {
        queue: &job.queue,
        team: job.team.as_ref(),
        exempt: false,
        objective: active::objective(queue, &job),
        path: job.spec.critical_path(Duration::ZERO),
    };
    match judge::judge(vm, &submission, sim.now) {
        Ok(()) => {
            sim.submit(&caller.job, job);
            None
        }
        Err(refusal) => Some(refusal.retry_after),
    }
}

fn fates(sim: &Simulation, admitted: &[Caller], refused: &[Caller]) -> Vec<Fate> {
    let mut waits: HashMap<&str, u64> = HashMap::new();
    let mut lateness: HashMap<&str, f64> = HashMap::new();
    for event in &sim.events {
        match event {
            Event::Start { task, waited, .. } => {
                waits.insert(&task.job, waited.as_millis() as u64);
            }
            Event::Final {
                job,
                state: State::Completed,
                elapsed,
                objective,
            } => {
                lateness.insert(job, elapsed.as_secs_f64() / objective.as_secs_f64());
            }
            _ => {}
        }
    }
    let fate = |caller: &Caller, wait: Option<u64>| Fate {
        team: caller.team,
        sent_at: caller.sent_at,
        wait,
        lateness: lateness.get(caller.job.as_str()).copied(),
    };
    let wait = |caller: &Caller| waits.get(caller.job.as_str()).copied().unwrap_or(u64::MAX);
    let admitted = admitted
        .iter()
        .map(|caller| fate(caller, Some(wait(caller))));
    admitted
        .chain(refused.iter().map(|caller| fate(caller, None)))
        .collect()
}

/// Slack of the queue in milliseconds.
const QUEUE_SLACK: u64 = 250;

/// Checks that service is as before: all new jobs are accepted, start within the slack of their
/// queue and end on time.
fn check_recovered(replay: &Replay, factors: [u64; TEAMS]) {
    let recovered = replay.select(RECOVERED, |_| true);
    let slow: Vec<_> = recovered
        .iter()
        .filter(|fate| fate.wait.is_none_or(|wait| wait > QUEUE_SLACK) || !fate.is_on_time())
        .collect();
    assert!(
        slow.is_empty(),
        "{factors:?}: {} of {}: {slow:?}",
        slow.len(),
        recovered.len()
    );
}

#[test]
fn nothing_is_published_or_refused_at_the_usual_load() {
    let replay = replay([1; TEAMS], true);

    assert_eq!(replay.outlooks, 0);
    assert_eq!(replay.returns, Vec::new());
    assert!(replay.fates.iter().all(Fate::is_on_time));
}

#[test]
fn service_is_as_before_within_the_length_of_an_overload_by_one_team() {
    for factor in [2, 4, 8, 16] {
        let factors = [factor, 1, 1, 1];

        let replay = replay(factors, true);

        check_recovered(&replay, factors);
    }
}

#[test]
fn service_is_as_before_within_the_length_of_an_overload_by_all_teams() {
    for factor in [2, 4, 8, 16] {
        let factors = [factor; TEAMS];

        let replay = replay(factors, true);

        check_recovered(&replay, factors);
    }
}

/// Jobs that were accepted and ended after they were worth anything, or not at all.
fn useless(replay: &Replay) -> usize {
    let fates = replay.fates.iter();
    fates.filter(|fate| fate.is_useless()).count()
}

/// Mean wait of the jobs of teams within their rates, from 2 s after the start of the overload, when
/// VMs judge by the second outlook, until service is as before.
fn mean_wait_within_rates(replay: &Replay) -> u64 {
    let fates = replay.select(BEFORE + 2000..RECOVERED.start, |team| team != 0);
    assert!(fates.iter().all(|fate| fate.is_on_time()));
    let waits: Vec<u64> = fates.iter().filter_map(|fate| fate.wait).collect();
    waits.iter().sum::<u64>() / waits.len() as u64
}

/// Mean wait of the accepted jobs of the team that causes the overload, sent from its start until
/// service is as before. Jobs that have not started count with the time until the end of the replay.
fn mean_wait_in_excess(replay: &Replay) -> u64 {
    let fates = replay.select(BEFORE..RECOVERED.start, |team| team == 0);
    let end = BEFORE + OVERLOAD + AFTER + TAIL;
    let wait = |fate: &&Fate| fate.wait.map(|wait| wait.min(end - fate.sent_at));
    let waits: Vec<u64> = fates.iter().filter_map(wait).collect();
    waits.iter().sum::<u64>() / waits.len() as u64
}

/// Guards against teams within their rates that wait for an overload of another team, and against
/// accepted jobs of that team that wait until they are worth nothing.
///
/// Sharing alone keeps the wait of the others short, so that it is bound by their slack: an outlook
/// lets waiting use up half of it.
#[test]
fn an_overload_by_one_team_delays_the_others_little_and_its_accepted_jobs_less() {
    let factors = [16, 1, 1, 1];

    let (without, with) = (replay(factors, false), replay(factors, true));

    let (before, after) = (useless(&without), useless(&with));
    assert!(after * 3 < before, "{after} of {before}");
    let others = mean_wait_within_rates(&with);
    assert!(others * 2 < QUEUE_SLACK, "{others} ms");
    let (before, after) = (mean_wait_in_excess(&without), mean_wait_in_excess(&with));
    assert!(after * 2 < before, "{after} of {before} ms");
}

/// Guards against VMs that admit their first jobs together, after which all jobs are late.
#[test]
fn an_overload_by_all_teams_leaves_less_useless_work_and_more_that_is_on_time() {
    for factor in [8, 16] {
        let factors = [factor; TEAMS];

        let (without, with) = (replay(factors, false), replay(factors, true));

        let (before, after) = (useless(&without), useless(&with));
        assert!(after * 3 < before, "{after} of {before}");
        let on_time = |replay: &Replay| {
            let fates = replay.fates.iter();
            fates.filter(|fate| fate.is_on_time()).count()
        };
        let (before, after) = (on_time(&without), on_time(&with));
        assert!(after > before, "{factors:?}: {after} of {before} on time");
    }
}

/// Guards against refused callers that return together and cause a second overload.
#[test]
fn refused_callers_do_not_return_together() {
    let replay = replay([16, 1, 1, 1], true);

    let mut returns: BTreeMap<u64, usize> = BTreeMap::new();
    for (_, due) in &replay.returns {
        *returns.entry(due / 1000).or_default() += 1;
    }
    let sent = (USUAL * 16) as usize;
    let most = returns.values().max().copied().unwrap_or_default();
    assert!(
        most * 2 < sent,
        "{most} of {sent} in one second: {returns:?}"
    );
}
