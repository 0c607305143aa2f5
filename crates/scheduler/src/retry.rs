//! How often work is tried again.
//!
//! Retries of a team are paid from a budget that its first tries fill, so that failures never
//! multiply the load. `docs/design/overload.md` weighs the ways.

use std::{
    collections::HashMap,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use rand::Rng;

/// How many retries one first try pays for.
pub const RETRIES_PER_TRY: f64 = 0.2;

/// How many retries a team may have saved up, and has at first.
pub const LARGEST_BUDGET: f64 = 100.0;

/// The back-off before the first retry; it doubles with each one.
pub const FIRST_BACK_OFF: Duration = Duration::from_millis(200);

/// The longest back-off.
pub const LONGEST_BACK_OFF: Duration = Duration::from_secs(30);

/// Why a task is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The task was tried as often as its kind allows.
    Tries,
    /// The team has no retry left for now.
    Budget,
    /// The next try would come after the deadline.
    Deadline,
}

/// The retries that each team has left.
#[derive(Debug, Default)]
pub struct Budget {
    teams: HashMap<Name, f64>,
}

impl Budget {
    /// Takes in the first try of a task.
    pub fn first_try(&mut self, team: &Name) {
        let left = self.left(team);
        *left = (*left + RETRIES_PER_TRY).min(LARGEST_BUDGET);
    }

    /// Returns how long to wait before try number `tries` plus one, or why there is none.
    ///
    /// The caller has made sure that the last try did not run, or may be repeated and runs no
    /// more.
    pub fn retry(
        &mut self,
        team: &Name,
        tries: u32,
        most: u32,
        deadline: Option<Millis>,
        now: Millis,
        random: &mut impl Rng,
    ) -> Result<Duration, Refusal> {
        if tries > most {
            return Err(Refusal::Tries);
        }
        let wait = back_off(tries, random);
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

    fn left(&mut self, team: &Name) -> &mut f64 {
        self.teams.entry(team.clone()).or_insert(LARGEST_BUDGET)
    }
}

/// Returns the back-off after a number of tries, between half and all of its exponential value.
pub fn back_off(tries: u32, random: &mut impl Rng) -> Duration {
    let doublings = tries.saturating_sub(1).min(16);
    let whole = (FIRST_BACK_OFF * 2_u32.pow(doublings)).min(LONGEST_BACK_OFF);
    whole.mul_f64(random.random_range(0.5..=1.0))
}
