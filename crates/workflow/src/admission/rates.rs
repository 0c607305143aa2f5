//! The owner's account of the jobs that each team sends.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::{
    admission::{
        bucket::{
            Bucket,
            Limits, //
        },
        outlook::{
            DEBT_SECONDS,
            Team, //
        },
    },
    policy,
    quota, //
};

/// Fraction of its savings below which a team counts as near its rate and is published.
const NEAR_FRACTION: f64 = 0.5;

/// Accepted jobs from which the offered load is estimated anew; fewer give no useful estimate.
const SAMPLE_JOBS: f64 = 8.0;

/// Least time for an estimate, in the same seconds as [`SAMPLE_SECONDS`]. The jobs of a few
/// milliseconds would give any rate.
const MIN_SAMPLE_SECONDS: f64 = 0.1;

/// Time after which it is estimated anew even from fewer jobs, in seconds in which all jobs are
/// admitted: two outlooks, so that the end of an overload is noticed at once.
const SAMPLE_SECONDS: f64 = 1.0;

/// Time constant of the average of the usual load of a team, in seconds. It exceeds the length of
/// overloads, which are not part of it.
const USUAL_SECONDS: f64 = 30.0;

/// Part of what the usual load of a team leaves of its rate that refused callers may use. The rest
/// works off what waits.
const RETURN_PART: f64 = 0.5;

/// Least part of its rate at which refused callers of a team return. A team that usually sends
/// its whole rate would otherwise never see its refused callers again.
const MIN_RETURN_FRACTION: f64 = 0.125;

/// Most teams that are published, those with the least left of their rates. With some 80 bytes each
/// they take a third of the 64 KB that a row of the ownership table may have.
const MAX_TEAMS: usize = 256;

/// Returns the limits of the bucket of a team. It counts every accepted job and may go into debt.
fn limits(weight: f64) -> Limits {
    Limits {
        rate: weight,
        capacity: quota::burst(weight),
        floor: -weight * DEBT_SECONDS,
    }
}

/// The account of one team.
#[derive(Debug, Clone, Copy)]
struct Account {
    bucket: Bucket,
    /// Jobs accepted since the last estimate.
    accepted: f64,
    /// Time since then, in seconds, weighted by the fraction of jobs that VMs admitted.
    exposure: f64,
    /// Estimated jobs per second that the team sends.
    offered: f64,
    /// Average of the jobs per second that the team sends while there is no shortage, if known.
    usual: Option<f64>,
    /// Fractions of jobs that VMs admit by the last outlook and by the one before.
    fractions: [f64; 2],
}

/// The accounts of all teams.
#[derive(Debug, Default)]
pub struct TeamRates {
    accounts: HashMap<Name, Account>,
    sampled_at: Millis,
}

impl TeamRates {
    /// Counts a job that was accepted at `accepted_at` from a team with `weight`.
    pub fn count_job(&mut self, team: &Name, weight: f64, accepted_at: Millis) {
        let limits = limits(weight);
        let account = self
            .accounts
            .entry(team.clone())
            .or_insert_with(|| Account {
                bucket: Bucket::full(&limits, accepted_at),
                accepted: 0.0,
                exposure: 0.0,
                offered: 0.0,
                usual: None,
                fractions: [1.0; 2],
            });
        account.bucket.take(&limits, accepted_at);
        account.accepted += 1.0;
    }

    /// Updates the estimates of the offered load and returns the teams that are near or over their
    /// rate.
    ///
    /// What VMs refuse is not reported to the owner. It follows from the accepted jobs and from the
    /// fraction that VMs were told to admit, which is the mean of the last two outlooks, since the
    /// last one reaches them late. `published` says whether these teams are published now.
    pub fn teams(
        &mut self,
        policies: &BTreeMap<Name, policy::Team>,
        published: bool,
        now: Millis,
    ) -> BTreeMap<Name, Team> {
        let is_first = self.sampled_at == Millis(0);
        let elapsed = now.since(self.sampled_at).as_secs_f64();
        self.sampled_at = now;
        let mut teams = Vec::new();
        for (name, account) in &mut self.accounts {
            let Some(policy) = policies.get(name) else {
                continue;
            };
            let [last, before] = account.fractions;
            account.exposure += elapsed * (last + before) / 2.0;
            let enough = account.accepted >= SAMPLE_JOBS && account.exposure >= MIN_SAMPLE_SECONDS;
            if is_first {
                // These jobs were read from the store, with many earlier ones.
                account.accepted = 0.0;
                account.exposure = 0.0;
            } else if enough || account.exposure >= SAMPLE_SECONDS {
                let sample = account.accepted / account.exposure;
                account.offered = (account.offered + sample) / 2.0;
                if !published {
                    let part = 1.0 - (-account.exposure / USUAL_SECONDS).exp();
                    let usual = account.usual.get_or_insert(sample);
                    *usual += (sample - *usual) * part;
                }
                account.accepted = 0.0;
                account.exposure = 0.0;
            }
            let limits = limits(policy.weight);
            let usual = account.usual.unwrap_or(0.0);
            let least = policy.weight * MIN_RETURN_FRACTION;
            let team = Team {
                tokens: rounded(account.bucket.tokens(&limits, now)),
                rate: policy.weight,
                offered: rounded(account.offered),
                return_rate: rounded(((policy.weight - usual) * RETURN_PART).max(least)),
            };
            let is_near = team.tokens < limits.capacity * NEAR_FRACTION;
            let fraction = if is_near && published {
                team.fraction()
            } else {
                1.0
            };
            account.fractions = [fraction, last];
            if is_near && published {
                teams.push((name.clone(), team));
            }
        }
        let seconds_left = |team: &Team| team.tokens / team.rate.max(f64::EPSILON);
        teams.sort_by(|(_, a), (_, b)| seconds_left(a).total_cmp(&seconds_left(b)));
        teams.truncate(MAX_TEAMS);
        teams.into_iter().collect()
    }
}

/// Returns `value` with two decimals, so that an outlook with many teams stays small.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
