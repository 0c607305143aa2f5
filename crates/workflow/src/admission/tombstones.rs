//! How many cancellations of unknown jobs are stored.
//!
//! Such a cancellation leaves a row in the store, since the submission of the job may still arrive.
//! The load that this answers: a client account cancels jobs that do not exist, as fast as it can.
//! Its rows must not fill the store, nor keep other client accounts from cancelling. See
//! `docs/design/cancellations.md`.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

/// Most rows of one client account that one VM leaves in the store.
pub const MAX_PER_TEAM: usize = 64;

/// Most rows that one VM leaves in the store, except for [`ALWAYS_PER_TEAM`].
pub const MAX_ROWS: usize = 512;

/// Rows that each client account may leave, however many the others have left.
pub const ALWAYS_PER_TEAM: usize = 4;

/// The rows that one VM has left in the store, as far as they may still be there.
#[derive(Debug)]
pub struct Tombstones {
    lifetime: Duration,
    /// Times and client accounts of the rows, oldest first.
    rows: VecDeque<(Millis, Option<Name>)>,
    rows_by_team: HashMap<Option<Name>, usize>,
}

impl Tombstones {
    /// Creates the state of a VM that has left none. The store keeps each for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            rows: VecDeque::new(),
            rows_by_team: HashMap::new(),
        }
    }

    /// Counts a row of a client account, which is `None` where callers need no key.
    ///
    /// # Errors
    ///
    /// Returns the time after which it may try again if it has left too many.
    pub fn admit(&mut self, team: Option<&Name>, now: Millis) -> Result<(), Duration> {
        self.drop_expired(now);
        let team = team.cloned();
        let count = self.rows_by_team.get(&team).copied().unwrap_or_default();
        let is_full = self.rows.len() >= MAX_ROWS && count >= ALWAYS_PER_TEAM;
        if is_full || count >= MAX_PER_TEAM {
            return Err(self.retry_after(&team, now));
        }
        self.rows.push_back((now, team.clone()));
        *self.rows_by_team.entry(team).or_default() += 1;
        Ok(())
    }

    /// Returns the number of rows that count.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no row counts.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn drop_expired(&mut self, now: Millis) {
        while let Some((left_at, team)) = self.rows.front()
            && now.since(*left_at) >= self.lifetime
        {
            if let Some(count) = self.rows_by_team.get_mut(team) {
                *count -= 1;
                if *count == 0 {
                    self.rows_by_team.remove(team);
                }
            }
            self.rows.pop_front();
        }
    }

    /// Returns the time until the oldest row of the client account goes.
    fn retry_after(&self, team: &Option<Name>, now: Millis) -> Duration {
        let oldest = self.rows.iter().find(|(_, of)| of == team);
        oldest.map_or(self.lifetime, |(left_at, _)| {
            left_at.after(self.lifetime).since(now)
        })
    }
}
