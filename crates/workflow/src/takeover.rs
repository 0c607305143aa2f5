//! When the tasks of an earlier owner may be started again.
//!
//! Starts are not stored. A task that an earlier owner accepted may run on any worker that has not
//! answered this owner yet, so it waits until all of them have, or until the leases that the
//! earlier owner gave have surely ended. So do jobs that come in while the earlier owner may not
//! have noticed yet that it was replaced: it hears of them too. See `docs/design/programs.md`.

use std::{
    collections::HashSet,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};

use crate::engine::Engine;

/// For how long the earlier owner may go on without noticing that it was replaced: one look at a
/// worker, and its wait.
const NOTICE_TIME: Duration = Duration::from_millis(1500);

/// For how long after it has read the jobs an owner may hear from workers of jobs that it does not
/// know: those that came while it read, and that the earlier owner has started. It is the time to
/// notice, and that of a feed from a slow store.
const NEWS_TIME: Duration = Duration::from_millis(2500);

/// By how much a worker's clock may be slow, as a divisor of its leases.
const SLOW_CLOCK: f64 = 0.98;

impl Engine {
    /// Names the workers that an earlier owner knew.
    pub fn expect_workers(&mut self, names: impl IntoIterator<Item = Name>) {
        if let Some(unsettled) = &mut self.unsettled {
            unsettled.extend(names);
            self.expected = unsettled.len();
        }
    }

    /// Says whether the earlier owner may still start what comes in now: it notices that it was
    /// replaced by the first of the workers that have answered us, so once most have. One that had
    /// ended before has heard of nothing that is not stored.
    pub(crate) fn may_be_shared(&self, now: Millis) -> bool {
        let noticed = self
            .most_answered
            .is_some_and(|since| now.since(since) >= NOTICE_TIME);
        !self.settings.predecessor_ended && !self.is_settled() && !noticed
    }

    /// Says whether what workers tell of unknown jobs may be about jobs that are still to come.
    pub(crate) fn expects_news(&self, now: Millis) -> bool {
        let loaded = self.loaded.unwrap_or(self.started);
        !self.settings.predecessor_ended && self.settings.epoch > 0 && now.since(loaded) < NEWS_TIME
    }

    /// Says whether tasks of an earlier owner may be started.
    pub fn is_settled(&self) -> bool {
        self.unsettled.is_none()
    }

    pub(crate) fn settle(&mut self, now: Millis) {
        let Some(unsettled) = &self.unsettled else {
            return;
        };
        let silent: HashSet<Name> = unsettled
            .iter()
            .filter(|name| self.worker(name).is_none_or(|worker| worker.boot.is_none()))
            .cloned()
            .collect();
        if self.most_answered.is_none() && silent.len() * 2 <= self.expected {
            self.most_answered = Some(now);
        }
        let lease = self.settings.max_lease.div_f64(SLOW_CLOCK);
        if silent.is_empty() || now >= self.started.after(lease + NOTICE_TIME) {
            self.unsettled = None;
        } else {
            self.unsettled = Some(silent);
        }
    }
}
