//! When the tasks of an earlier owner may be started again.
//!
//! Starts are not stored. A task that an earlier owner accepted may run on any worker that has not
//! answered this owner yet, so it waits until all of them have, or until the leases that the
//! earlier owner gave have surely ended. See `docs/design/programs.md`.

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

/// By how much a worker's clock may be slow, as a divisor of its leases.
const SLOW_CLOCK: f64 = 0.98;

impl Engine {
    /// Names the workers that an earlier owner knew.
    pub fn expect(&mut self, names: impl IntoIterator<Item = Name>) {
        if let Some(unsettled) = &mut self.unsettled {
            unsettled.extend(names);
        }
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
        let lease = self.settings.longest_lease.div_f64(SLOW_CLOCK);
        if silent.is_empty() || now >= self.started.after(lease + NOTICE_TIME) {
            self.unsettled = None;
        } else {
            self.unsettled = Some(silent);
        }
    }
}
