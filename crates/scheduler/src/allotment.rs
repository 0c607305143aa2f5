//! The allotments of one shard.
//!
//! The owner of a shard starts tasks of a team that has a limit within the shard's allotment,
//! without coordination. See `docs/design/limits.md`.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::{
        Millis,
        Resources, //
    },
};

use crate::limit::{
    Change,
    Pool,
    ZERO,
    headroom,
    proportional_share,
    release_share, //
};

/// How long an allotment stays unused before it is released.
pub const IDLE_WINDOW: Duration = Duration::from_secs(10);

/// How long an allotment stays unused before it is released while the pool is scarce.
pub const SCARCE_WINDOW: Duration = Duration::from_secs(1);

/// How long tasks that exceed a limit keep running before they are stopped.
///
/// During this time all owners release what they do not use, which is often enough.
pub const STOP_GRACE: Duration = Duration::from_secs(2);

/// The allotment of one team in the shard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Account {
    limited: bool,
    /// The size of the allotment.
    held: Resources,
    /// The part of `held` that tasks of the previous owner may use that were not recovered yet.
    unrecovered: Resources,
    /// The part of `held` that is to be released by stopping tasks.
    stopping: Resources,
    /// The part of `held` that is to be released as tasks end, because another shard waits.
    releasing: Resources,
    /// The version of the pool for which `releasing` was last computed.
    releasing_version: Version,
    /// The sum of the tasks that the last pass over the queue did not admit.
    waiting: Resources,
    /// The size of the first of these tasks.
    first: Option<Resources>,
    /// The peak usage in the current window.
    peak: Resources,
    /// The peak usage in the previous window.
    previous_peak: Resources,
    window_start: Millis,
    /// Since when the team has used more than it may.
    excess_since: Option<Millis>,
    /// Whether the pool is scarce, so that no headroom is kept.
    scarce: bool,
}

impl Account {
    /// Returns how much running tasks may use.
    fn usable(&self) -> Resources {
        let held = self.held.minus(&self.unrecovered);
        held.minus(&self.stopping.max(&self.releasing))
    }

    /// Returns the usage beyond the allotment, which is zero for a team without a limit.
    fn excess(&self, used: &Resources) -> Resources {
        match self.limited {
            true => used.minus(&self.held.minus(&self.stopping)),
            false => Resources::default(),
        }
    }

    /// Starts a new window if the current one has ended, and returns whether it did.
    fn roll_window(&mut self, used: &Resources, now: Millis) -> bool {
        let window = match self.scarce {
            true => SCARCE_WINDOW,
            false => IDLE_WINDOW,
        };
        if now.since(self.window_start) < window {
            return false;
        }
        self.window_start = now;
        self.previous_peak = self.peak;
        self.peak = *used;
        true
    }

    /// Returns the change to request from the pool, if any.
    fn next_change(&mut self, used: &Resources, now: Millis) -> Option<Change> {
        let window_ended = self.roll_window(used, now);
        if !self.limited {
            return (self.held != ZERO).then_some(Change::Lower(self.held));
        }
        let excess = used.minus(&self.held);
        if excess != ZERO {
            return Some(Change::Cover(excess));
        }
        match self.first {
            Some(first) => Some(self.request_raise(used, &first)),
            None if window_ended => self.request_lower(),
            None => None,
        }
    }

    /// Returns a request for the tasks that wait; `first` is the size of the first one.
    fn request_raise(&self, used: &Resources, first: &Resources) -> Change {
        let used = used.plus(&self.unrecovered);
        Change::Raise {
            wanted: used.plus(&self.waiting).minus(&self.held),
            minimum: used.plus(first).minus(&self.held),
        }
    }

    /// Returns a request to release what neither this window nor the previous one used.
    ///
    /// Nothing is released while the team used any of the allotment, unless the pool is scarce and
    /// the unused part is more than the headroom of the allotment's headroom.
    fn request_lower(&self) -> Option<Change> {
        let kept = self.peak.max(&self.previous_peak).plus(&self.unrecovered);
        let idle = self.held.minus(&kept);
        let is_large = !idle.fits(&headroom(&headroom(&self.held)));
        let should_lower = kept == ZERO || (self.scarce && is_large);
        (should_lower && idle != ZERO).then_some(Change::Lower(idle))
    }

    /// Removes up to `amount` of the unused allotment and returns how much was removed.
    fn take_unused(&mut self, used: &Resources, amount: &Resources) -> Resources {
        let unused = match self.limited {
            true => self.held.minus(used).minus(&self.unrecovered),
            false => self.held,
        };
        let taken = unused.min(amount);
        self.held = self.held.minus(&taken);
        self.stopping = self.stopping.minus(&taken);
        self.releasing = self.releasing.minus(&taken);
        taken
    }
}

/// The usage of all teams in one shard, and the allotments of those that have a limit.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// The teams that have a limit.
    limited: Arc<BTreeSet<Name>>,
    /// The resources of the running tasks of each team.
    used: HashMap<Name, Resources>,
    /// The teams that have an allotment, wait for one or exceed it.
    accounts: HashMap<Name, Account>,
    /// Whether all tasks that the previous owner started were recovered.
    is_recovered: bool,
}

impl Ledger {
    /// Sets which teams have a limit. A team that had none before starts without an allotment.
    pub fn set_limited(&mut self, teams: &Arc<BTreeSet<Name>>) {
        if Arc::ptr_eq(&self.limited, teams) {
            return;
        }
        self.limited = Arc::clone(teams);
        for (team, account) in &mut self.accounts {
            account.limited = teams.contains(team);
        }
        let running: Vec<_> = self.used.keys().cloned().collect();
        for team in running {
            self.account_if_limited(&team);
        }
    }

    /// Loads the allotments that the shard had when it was claimed.
    ///
    /// Tasks of the previous owner that are not recovered yet may use all of them, so they count as
    /// used until those tasks are added or [`Ledger::finish_recovery`] is called.
    pub fn load(&mut self, allotments: impl IntoIterator<Item = (Name, Resources)>) {
        for (team, held) in allotments {
            let unrecovered = match self.is_recovered {
                true => ZERO,
                false => held.minus(&self.used(&team)),
            };
            let account = self.account(&team);
            account.held = held;
            account.unrecovered = unrecovered;
        }
    }

    /// Marks all tasks of the previous owner as recovered.
    pub fn finish_recovery(&mut self) {
        self.is_recovered = true;
        for account in self.accounts.values_mut() {
            account.unrecovered = ZERO;
        }
    }

    /// Returns the allotment of a team.
    pub fn held(&self, team: &Name) -> Resources {
        self.accounts.get(team).map_or(ZERO, |account| account.held)
    }

    /// Returns the resources of the running tasks of a team.
    pub fn used(&self, team: &Name) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Returns the resources of the running tasks of each team.
    pub fn usage_by_team(&self) -> impl Iterator<Item = (&Name, &Resources)> {
        self.used.iter()
    }

    /// Clears the tasks recorded as waiting, before a new pass over the queue.
    pub fn begin_pass(&mut self) {
        for account in self.accounts.values_mut() {
            account.waiting = ZERO;
            account.first = None;
        }
    }

    /// Returns whether a task may start, and records it as waiting if it may not.
    pub fn admits(&mut self, team: &Name, need: &Resources) -> bool {
        let used = self.used(team);
        let Some(account) = self.account_if_limited(team) else {
            return true;
        };
        if used.plus(need).fits(&account.usable()) {
            return true;
        }
        account.waiting = account.waiting.plus(need);
        account.first.get_or_insert(*need);
        false
    }

    /// Returns whether any task waits for a larger allotment.
    pub fn is_waiting(&self) -> bool {
        self.accounts
            .values()
            .any(|account| account.first.is_some())
    }

    /// Adds a task that starts to the usage of its team.
    pub fn start(&mut self, team: &Name, need: &Resources) {
        let used = self.used(team).plus(need);
        self.used.insert(team.clone(), used);
        if let Some(account) = self.account_if_limited(team) {
            account.peak = account.peak.max(&used);
        }
    }

    /// Adds a running task of the previous owner to the usage of its team.
    pub fn add_recovered(&mut self, team: &Name, need: &Resources) {
        self.start(team, need);
        if let Some(account) = self.accounts.get_mut(team) {
            account.unrecovered = account.unrecovered.minus(need);
        }
    }

    /// Subtracts a task that no longer runs from the usage of its team.
    pub fn end(&mut self, team: &Name, need: &Resources) {
        let Some(used) = self.used.get_mut(team) else {
            return;
        };
        *used = used.minus(need);
        if *used == ZERO {
            self.used.remove(team);
        }
    }

    /// Returns the changes to request from the pools, ordered by team.
    pub fn changes(&mut self, now: Millis) -> Vec<(Name, Change)> {
        self.remove_unused();
        let used = &self.used;
        let changes = self.accounts.iter_mut().filter_map(|(team, account)| {
            let used = used.get(team).copied().unwrap_or_default();
            let change = account.next_change(&used, now);
            change.map(|change| (team.clone(), change))
        });
        let mut changes: Vec<_> = changes.collect();
        changes.sort_by(|a, b| a.0.cmp(&b.0));
        changes
    }

    /// Removes up to `amount` of the unused allotment and returns how much was removed.
    ///
    /// Call this before the write that returns the amount to the pool, so that no task starts on it
    /// in between.
    pub fn take_unused(&mut self, team: &Name, amount: &Resources) -> Resources {
        let used = self.used(team);
        match self.accounts.get_mut(team) {
            Some(account) => account.take_unused(&used, amount),
            None => ZERO,
        }
    }

    /// Adds an amount that a pool granted to the allotment of a team.
    pub fn add(&mut self, team: &Name, granted: &Resources) {
        let account = self.account(team);
        account.held = account.held.plus(granted);
    }

    /// Records the state of a team's pool at a version of its row, and returns the amount to
    /// release for shards that wait.
    pub fn observe_pool(&mut self, team: &Name, pool: &Pool, version: Version) -> Resources {
        let Some(account) = self.accounts.get_mut(team) else {
            return ZERO;
        };
        account.scarce = pool.is_scarce();
        if pool.waiting.is_empty() {
            account.releasing = ZERO;
        } else if account.releasing_version != version {
            account.releasing = release_share(&account.held);
            account.releasing_version = version;
        }
        account.releasing
    }

    /// Sets how much of the allotment is to be released by stopping tasks: this shard's share of
    /// what the pool has granted beyond a lowered limit.
    pub fn stop_excess(&mut self, team: &Name, pool: &Pool) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.stopping = proportional_share(&pool.excess(), &account.held, &pool.granted);
        }
    }

    /// Returns the excess usage of each team that has exceeded its allotment for [`STOP_GRACE`] or
    /// longer.
    pub fn overdue(&mut self, now: Millis) -> Vec<(Name, Resources)> {
        let used = &self.used;
        let overdue = self.accounts.iter_mut().filter_map(|(team, account)| {
            let excess = account.excess(&used.get(team).copied().unwrap_or_default());
            if excess == ZERO {
                account.excess_since = None;
                return None;
            }
            let since = *account.excess_since.get_or_insert(now);
            (now.since(since) >= STOP_GRACE).then(|| (team.clone(), excess))
        });
        overdue.collect()
    }

    /// Returns the teams that have an allotment, sorted by name.
    pub fn holders(&self) -> Vec<Name> {
        let accounts = self.accounts.iter();
        let holders = accounts.filter(|(_, account)| account.held != ZERO);
        let mut holders: Vec<_> = holders.map(|(team, _)| team.clone()).collect();
        holders.sort();
        holders
    }

    /// Removes the accounts of teams that hold, wait for and use nothing.
    fn remove_unused(&mut self) {
        let used = &self.used;
        self.accounts.retain(|team, account| {
            account.held != ZERO || account.first.is_some() || used.contains_key(team)
        });
    }

    fn account(&mut self, team: &Name) -> &mut Account {
        let limited = self.limited.contains(team);
        let new_account = || Account {
            limited,
            ..Account::default()
        };
        self.accounts
            .entry(team.clone())
            .or_insert_with(new_account)
    }

    fn account_if_limited(&mut self, team: &Name) -> Option<&mut Account> {
        self.limited.contains(team).then(|| self.account(team))
    }
}
