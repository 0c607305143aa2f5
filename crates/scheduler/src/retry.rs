//! Retry budgets and back-off.
//!
//! Each retry of a team is charged to a budget that the first attempts of its tasks fill, so that
//! failures do not multiply the load. `docs/design/overload.md` compares the options.

use std::{
    collections::HashMap,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use rand::Rng;

/// How many retries each first attempt adds to the budget of its team.
pub const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.2;

/// How many retries the budget of a team holds at most, and initially.
pub const MAX_BUDGET: f64 = 100.0;

/// The maximum back-off before the first retry. It doubles with each further retry.
pub const INITIAL_BACK_OFF: Duration = Duration::from_millis(200);

/// The upper bound of the back-off.
pub const MAX_BACK_OFF: Duration = Duration::from_secs(30);

/// Why a task is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The task has used all attempts that its kind allows.
    Attempts,
    /// The budget of the team is used up for now.
    Budget,
    /// The next attempt would start at or after the deadline.
    Deadline,
}

/// The number of retries that each team has left.
#[derive(Debug, Default)]
pub struct Budget {
    teams: HashMap<Name, f64>,
}

impl Budget {
    /// Adds to the budget of a team for the first attempt of a task.
    pub fn record_first_attempt(&mut self, team: &Name) {
        let left = self.left(team);
        *left = (*left + RETRIES_PER_FIRST_ATTEMPT).min(MAX_BUDGET);
    }

    /// Takes a retry from the budget of a team and returns how long to wait before the next
    /// attempt, after `attempts` attempts.
    ///
    /// The caller has to ensure that the previous attempt did not run, or that it may be repeated
    /// and no longer runs.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the attempts or the budget are used up, or the deadline would pass.
    pub fn retry(
        &mut self,
        team: &Name,
        attempts: u32,
        max_retries: u32,
        deadline: Option<Millis>,
        now: Millis,
        random: &mut impl Rng,
    ) -> Result<Duration, Refusal> {
        if attempts > max_retries {
            return Err(Refusal::Attempts);
        }
        let wait = back_off(attempts, random);
        if deadline.is_some_and(|deadline| now.after(wait) >= deadline) {
            return Err(Refusal::Deadline);
        }
        let left = self.left(team);
        if *left < 1.0 {
            return Err(Refusal::Budget);
        }
        *left -= 1.0;
        Ok(wait)
    }

    /// Returns the number of retries that a team has left.
    fn left(&mut self, team: &Name) -> &mut f64 {
        self.teams.entry(team.clone()).or_insert(MAX_BUDGET)
    }
}

/// Returns the back-off after `attempts` attempts, drawn between half and all of its exponential
/// value.
pub fn back_off(attempts: u32, random: &mut impl Rng) -> Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    let ceiling = (INITIAL_BACK_OFF * 2_u32.pow(doublings)).min(MAX_BACK_OFF);
    ceiling.mul_f64(random.random_range(0.5..=1.0))
}
