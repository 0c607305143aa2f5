//! Limits the number of requests that an entry VM processes at once, by team and in total.
//!
//! A request beyond a limit is refused before any of it is stored or run. See
//! `docs/design/admission.md`.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Name,
    job,
};

/// Divisor that yields the fraction of a VM's limit that one team may use, so that requests of
/// other teams can still be admitted.
pub const TEAM_LIMIT_DIVISOR: usize = 2;

/// The minimum delay after which a refused caller may retry. Each is told a random delay between
/// this and twice as long.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the percentage of the VM's limit up to which requests for a kind of job are admitted.
const fn limit_percent(kind: job::Kind) -> usize {
    match kind {
        job::Kind::Interactive => 100,
        job::Kind::Service => 80,
        job::Kind::Gang => 60,
        job::Kind::Batch => 50,
    }
}

#[derive(Debug, Default)]
struct Team {
    in_flight: usize,
    share: usize,
}

#[derive(Debug, Default)]
struct Inner {
    in_flight: usize,
    teams: HashMap<Name, Team>,
}

/// Counts the requests that a VM processes. Clones share one count.
#[derive(Debug, Clone)]
pub struct Admission {
    max_in_flight: usize,
    inner: Arc<Mutex<Inner>>,
}

/// An admitted request, which counts as in flight until the ticket is dropped.
#[derive(Debug)]
pub struct Ticket {
    admission: Admission,
    team: Name,
}

impl Admission {
    /// Creates a count that admits `max_in_flight` requests at once.
    pub fn new(max_in_flight: usize) -> Self {
        Self {
            max_in_flight,
            inner: Arc::default(),
        }
    }

    /// Admits a request of a team with a share.
    ///
    /// Returns an [`Overloaded`](Kind::Overloaded) error with a delay if the VM or the team has too
    /// many requests in flight.
    pub fn admit(&self, team: &Name, share: u32, kind: job::Kind) -> Result<Ticket> {
        let vm_limit = (self.max_in_flight * limit_percent(kind) / 100).max(1);
        let mut inner = self.lock();
        if inner.in_flight >= vm_limit {
            return Err(overloaded("too many requests are in flight on this VM"));
        }
        let share = share.max(1) as usize;
        let others: usize = inner
            .teams
            .iter()
            .filter(|(name, _)| *name != team)
            .map(|(_, team)| team.share)
            .sum();
        let fair = vm_limit * share / (share + others);
        let team_limit = fair.min(vm_limit / TEAM_LIMIT_DIVISOR).max(1);
        let entry = inner.teams.entry(team.clone()).or_default();
        entry.share = share;
        if entry.in_flight >= team_limit {
            return Err(overloaded(
                "the team has too many requests in flight on this VM",
            ));
        }
        entry.in_flight += 1;
        inner.in_flight += 1;
        Ok(Ticket {
            admission: self.clone(),
            team: team.clone(),
        })
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut inner = self.admission.lock();
        inner.in_flight -= 1;
        if let Some(team) = inner.teams.get_mut(&self.team) {
            team.in_flight -= 1;
            if team.in_flight == 0 {
                inner.teams.remove(&self.team);
            }
        }
    }
}

fn overloaded(message: &str) -> Error {
    let wait = RETRY_AFTER.mul_f64(1.0 + rand::random::<f64>());
    Error::new(Kind::Overloaded, message).with_retry_after(wait)
}
