//! Whether a VM accepts a submission, by what it knows of a shortage.
//!
//! The load that this answers: one team sends 6 times its usual jobs for 6 s, and nothing is
//! refused. Calls for advice then take 1,240 ms instead of 38, also for teams that send no more
//! than usual, and 855 to 996 accepted jobs end after they are worth anything.

use std::{
    collections::HashMap,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::{
    admission::{
        backlog::SLACK_FRACTION,
        outlook::{
            Outlook,
            Queue,
            Team, //
        },
    },
    rank, //
};

/// Age up to which an outlook is used: six intervals between two heartbeats of the owner, so that
/// it covers a takeover in which the process of the owner is known to have ended.
pub const MAX_AGE: Duration = Duration::from_secs(3);

/// Age up to which a VM still limits a team by its own admissions since the outlook. The owner has
/// been replaced, or the store is back, before that in nearly all cases.
pub const MAX_COUNT_AGE: Duration = Duration::from_secs(10);

/// Shortest time before a refused caller returns: the header has whole seconds.
pub const MIN_RETRY: Duration = Duration::from_secs(1);

/// Longest time for which refused callers return in the order in which they were refused. The load
/// is not known so far ahead.
pub const ORDERED_RETRY: Duration = Duration::from_secs(30);

/// Longest time before a refused caller returns. Callers that would have to wait longer are spread
/// between [`ORDERED_RETRY`] and this, since with the same time for all they would return as the
/// same overload.
pub const MAX_RETRY: Duration = Duration::from_secs(60);

/// Fraction of the interval for spread callers by which each one returns later than the one before.
/// Multiples of the golden ratio fall evenly into an interval, however many there are.
const SPREAD_FRACTION: f64 = 0.618_034;

/// Time constant of the measurement of the jobs that arrive at this VM, in seconds: two outlooks.
const ARRIVAL_SECONDS: f64 = 1.0;

/// Least part of [`ARRIVAL_SECONDS`] from which the rate of arrivals is estimated. A shorter time
/// would give a VM that has seen one job a large part of the team's.
const MIN_OBSERVED: f64 = 0.5;

/// Part of earlier arrivals that is left when they are forgotten.
const FORGOTTEN: f64 = 0.05;

/// A submission to be judged.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// Queue that it was sent to.
    pub queue: &'a Name,
    /// Team that it counts for.
    pub team: Option<&'a Name>,
    /// Whether it has a long-running step or a schedule, and is therefore never refused.
    pub exempt: bool,
    /// Time within which it is on time.
    pub objective: Duration,
    /// Critical path of its steps.
    pub path: Duration,
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// The team has used up its rate while work within rates waits.
    Rate,
    /// The job could not end while it is still worth something.
    Late,
}

impl Rule {
    /// Returns the name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Rate => "rate",
            Self::Late => "late",
        }
    }
}

/// A refusal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Reason.
    pub rule: Rule,
    /// Time after which the caller should return.
    pub retry_after: Duration,
    /// Age of the outlook that the job was refused by.
    pub age: Duration,
}

/// What this VM has done with the jobs of one team.
#[derive(Debug, Clone, Copy)]
struct TeamCount {
    /// Jobs admitted since the last outlook.
    admitted: f64,
    /// Those of them that were admitted because the team had saved enough. The others are paid for
    /// by the rate.
    spent: f64,
    /// Fraction of a job that may be admitted, from the jobs that were refused before.
    credit: f64,
    /// Jobs that have arrived here within about [`ARRIVAL_SECONDS`].
    arrivals: f64,
    arrived_at: Millis,
    /// Part of [`ARRIVAL_SECONDS`] that `arrivals` covers; less than one at first.
    observed: f64,
    returns: Returns,
}

/// When the callers that were refused return.
#[derive(Debug, Clone, Copy, Default)]
struct Returns {
    /// Time for which the last one was told to return, if that is in order.
    last: Millis,
    /// Number of callers that were spread.
    spread: u32,
}

/// What this VM has done with the jobs of one queue.
#[derive(Debug, Clone, Copy, Default)]
struct QueueCount {
    /// Jobs admitted since the last outlook.
    admitted: u32,
    returns: Returns,
}

/// What one VM knows of the shortage.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// Fraction of a job that this VM has credited at first, and part of the interval between two
    /// returns after which its first refused caller returns. All VMs begin to refuse at the same
    /// time, so with the same value for all, they would admit their first jobs together (97 of 134
    /// when 29 were within the rates), and the first callers of all would return together.
    phase: f64,
    outlook: Option<(Outlook, Millis)>,
    teams: HashMap<Name, TeamCount>,
    queues: HashMap<Name, QueueCount>,
}

impl Knowledge {
    /// Creates the knowledge of a VM. Different VMs need different values of `phase`, between zero
    /// and one.
    pub fn new(phase: f64) -> Self {
        Self {
            phase,
            ..Self::default()
        }
    }

    /// Records an outlook that was received at `now`, unless a newer one is known.
    pub fn learn(&mut self, outlook: Outlook, now: Millis) {
        let is_newer = self
            .outlook
            .as_ref()
            .is_none_or(|(known, _)| known.is_older_than(&outlook));
        if !is_newer {
            return;
        }
        self.outlook = Some((outlook, now));
        for count in self.teams.values_mut() {
            count.admitted = 0.0;
            count.spent = 0.0;
        }
        for count in self.queues.values_mut() {
            count.admitted = 0;
        }
    }

    /// Records that the owner, which has read the jobs, sees no shortage.
    pub fn clear(&mut self) {
        self.outlook = None;
    }

    /// Returns the outlook and its age, if it is still of use.
    pub fn outlook(&self, now: Millis) -> Option<(&Outlook, Duration)> {
        let (outlook, received_at) = self.outlook.as_ref()?;
        let age = now.since(*received_at);
        (age < MAX_COUNT_AGE).then_some((outlook, age))
    }

    /// Counts a job of a team that arrives, so that the part of the team's jobs that comes to this
    /// VM is known when a shortage begins.
    fn record_arrival(&mut self, team: &Name, now: Millis) {
        let count = self
            .teams
            .entry(team.clone())
            .or_insert_with(|| TeamCount::new(self.phase));
        let elapsed = now.since(count.arrived_at).as_secs_f64();
        let decay = (-elapsed / ARRIVAL_SECONDS).exp();
        count.arrivals = count.arrivals * decay + 1.0;
        count.observed = 1.0 - (1.0 - count.observed) * decay;
        if decay < FORGOTTEN {
            // What came before is forgotten, and a single job tells no rate.
            count.observed = 0.0;
        }
        count.arrived_at = now;
    }
}

/// Judges a submission that arrives at `now`, and counts it as admitted or refused.
pub fn judge(
    knowledge: &mut Knowledge,
    submission: &Submission<'_>,
    now: Millis,
) -> Result<(), Refusal> {
    if let Some(name) = submission.team {
        knowledge.record_arrival(name, now);
    }
    let Some((outlook, age)) = knowledge.outlook(now) else {
        return Ok(());
    };
    let queue = outlook.queues.get(submission.queue).copied();
    let team = submission
        .team
        .and_then(|name| outlook.teams.get(name).copied());
    let is_contended = queue.is_some_and(|queue| queue.contended);
    let phase = knowledge.phase;
    let mut count = team.and_then(|team| Some((team, knowledge.teams.get_mut(submission.team?)?)));
    let is_within_rate = match &mut count {
        Some((team, count)) => count.admits(team, age),
        None => true,
    };
    // Without a recent outlook the time that work waits is not known.
    let recent = queue.filter(|_| age < MAX_AGE);
    let queue_count = knowledge
        .queues
        .entry(submission.queue.clone())
        .or_default();
    let late_by = recent.map_or(Duration::ZERO, |queue| {
        queue_count.late_by(&queue, submission, is_within_rate)
    });
    // Work in excess comes after all other work, so it harms none that it does not wait for.
    let would_wait = recent.is_none_or(|queue| queue_count.delays_excess(&queue, submission));
    let rule = if submission.exempt {
        None
    } else if is_contended && !is_within_rate && would_wait {
        Some(Rule::Rate)
    } else {
        (!late_by.is_zero()).then_some(Rule::Late)
    };
    let Some(rule) = rule else {
        queue_count.admitted = queue_count.admitted.saturating_add(1);
        if let Some((_, count)) = count {
            count.admitted += 1.0;
        }
        return Ok(());
    };
    let retry_after = match (count, recent) {
        // In excess of its rate, a team returns as its rate allows, whatever else it was refused for.
        (Some((team, count)), _) if !is_within_rate => {
            count.next_return(&team, late_by, phase, now)
        }
        (_, Some(queue)) => queue_count.next_return(late_by, &queue, phase, now),
        _ => MIN_RETRY,
    };
    Err(Refusal {
        rule,
        retry_after: retry_after.clamp(MIN_RETRY, MAX_RETRY),
        age,
    })
}

impl TeamCount {
    fn new(phase: f64) -> Self {
        Self {
            admitted: 0.0,
            spent: 0.0,
            credit: phase,
            arrivals: 0.0,
            arrived_at: Millis(0),
            observed: 0.0,
            returns: Returns::default(),
        }
    }

    /// Returns whether a job of the team is within its rate, and uses up the credit if so.
    fn admits(&mut self, team: &Team, age: Duration) -> bool {
        if age >= MAX_AGE {
            // Other VMs may admit nothing, so only what this one admits is counted.
            let refilled = team.tokens + team.rate * age.as_secs_f64();
            return refilled - self.admitted >= 1.0;
        }
        let left = Team {
            tokens: team.tokens - self.spent,
            ..*team
        };
        if left.is_ample() {
            self.spent += 1.0;
            return true;
        }
        self.credit = (self.credit + left.fraction()).min(1.0);
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Returns when a refused caller should return.
    ///
    /// The debt of the team is paid back first, and the job must no longer be too late. Then the refused callers of all VMs return at the
    /// rate that the usual load of the team leaves, each VM's in the order in which it refused them,
    /// so this VM's take the part of that rate that it has of the arrivals.
    fn next_return(&mut self, team: &Team, late_by: Duration, phase: f64, now: Millis) -> Duration {
        let observed = self.observed.max(MIN_OBSERVED) * ARRIVAL_SECONDS;
        let part = (self.arrivals / observed / team.offered).min(1.0);
        let rate = (team.return_rate * part).max(f64::EPSILON);
        let debt = (-team.tokens).max(0.0) / team.rate.max(f64::EPSILON);
        let earliest = now.after(seconds(debt).max(late_by));
        self.returns.next(earliest, seconds(1.0 / rate), phase, now)
    }
}

impl QueueCount {
    /// Returns the time by which a job would end too late to be worth anything.
    fn late_by(
        &self,
        queue: &Queue,
        submission: &Submission<'_>,
        is_within_rate: bool,
    ) -> Duration {
        let with_admitted = |wait: Duration| wait + interval(queue, wait) * self.admitted;
        let certain = submission.path.mul_f64(rank::CERTAIN_FRACTION);
        let on_time = with_admitted(queue.on_time);
        let wait = if !is_within_rate {
            with_admitted(queue.excess)
        } else if on_time + certain <= submission.objective {
            on_time
        } else {
            // Once it is late, it waits for all work on time and for work that is late longer.
            with_admitted(queue.late)
        };
        (wait + certain).saturating_sub(submission.objective * rank::LATE_FACTOR)
    }

    /// Returns whether a job in excess of its team's rate would have to wait for a large part of its
    /// slack.
    fn delays_excess(&self, queue: &Queue, submission: &Submission<'_>) -> bool {
        let slack = submission.objective.saturating_sub(submission.path);
        let wait = queue.excess + interval(queue, queue.excess) * self.admitted;
        wait > slack.mul_f64(SLACK_FRACTION)
    }

    /// Returns when a refused caller should return: after the time by which its job would be too
    /// late, and after all that were refused before, each of which takes the time of one waiting
    /// job.
    fn next_return(
        &mut self,
        late_by: Duration,
        queue: &Queue,
        phase: f64,
        now: Millis,
    ) -> Duration {
        let interval = interval(queue, queue.late);
        self.returns.next(now.after(late_by), interval, phase, now)
    }
}

impl Returns {
    /// Returns the time until the next refused caller returns: not before `earliest`, and `interval`
    /// after the one before, or a part of that after `earliest` for the first. The part follows from
    /// `phase` and the time, so that neither the VMs nor two overloads have the same one.
    fn next(&mut self, earliest: Millis, interval: Duration, phase: f64, now: Millis) -> Duration {
        let limit = now.after(ORDERED_RETRY);
        let next = if self.last <= now {
            let part = (phase + now.0 as f64 * SPREAD_FRACTION).fract();
            earliest.after(interval.mul_f64(part))
        } else {
            self.last.max(earliest).after(interval)
        };
        self.last = next.min(limit);
        if next <= limit {
            return next.since(now);
        }
        self.spread = self.spread.wrapping_add(1);
        let fraction = (f64::from(self.spread) * SPREAD_FRACTION).fract();
        ORDERED_RETRY + (MAX_RETRY - ORDERED_RETRY).mul_f64(fraction)
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_RETRY)
        .min(MAX_RETRY)
}

/// Returns the mean time in which one waiting job of the queue is worked off.
fn interval(queue: &Queue, wait: Duration) -> Duration {
    wait / queue.waiting.max(1)
}
