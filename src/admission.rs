//! How many requests an entry VM works on at once, for each team and in all.
//!
//! A request beyond its bound is refused at once, before anything of it is kept or run. See
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

/// A team gets at most this part of a VM, so that there is room for the next team to come.
pub const TEAM_LIMIT_DIVISOR: usize = 2;

/// How long a refused caller is told to stay away; each gets between one and two times as long.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// How many of a hundred requests in flight a kind of work may find and still be taken.
const fn percent(kind: job::Kind) -> usize {
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

/// Counts the requests that a VM works on; clones share one count.
#[derive(Debug, Clone)]
pub struct Admission {
    most: usize,
    inner: Arc<Mutex<Inner>>,
}

/// A request that was admitted, counted until it is dropped.
#[derive(Debug)]
pub struct Ticket {
    admission: Admission,
    team: Name,
}

impl Admission {
    /// Makes a count that admits `most` requests at once.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            inner: Arc::default(),
        }
    }

    /// Admits a request of a team with this share, or says that it did not run and when to come
    /// back.
    pub fn admit(&self, team: &Name, share: u32, kind: job::Kind) -> Result<Ticket> {
        let ceiling = (self.most * percent(kind) / 100).max(1);
        let mut inner = self.lock();
        if inner.in_flight >= ceiling {
            return Err(overloaded("this VM works on as many requests as it can"));
        }
        let share = share.max(1) as usize;
        let others: usize = inner
            .teams
            .iter()
            .filter(|(name, _)| *name != team)
            .map(|(_, team)| team.share)
            .sum();
        let fair = ceiling * share / (share + others);
        let bound = fair.min(ceiling / TEAM_LIMIT_DIVISOR).max(1);
        let entry = inner.teams.entry(team.clone()).or_default();
        entry.share = share;
        if entry.in_flight >= bound {
            return Err(overloaded("the team has its part of this VM's requests"));
        }
        entry.in_flight += 1;
        inner.in_flight += 1;
        Ok(Ticket {
            admission: self.clone(),
            team: team.clone(),
        })
    }

    /// Returns how many requests are in flight.
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
