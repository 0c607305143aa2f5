//! The allotments of one shard.
//!
//! An owner starts work of a limited team within the shard's allotment and asks nobody. See
//! `docs/design/limits.md`.

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
    NOTHING,
    Pool,
    concession,
    headroom,
    proportion, //
};

/// How long an allotment stays unused before it is given back.
pub const IDLE_WINDOW: Duration = Duration::from_secs(10);

/// How long it stays unused while the limit is nearly all granted.
pub const SCARCE_WINDOW: Duration = Duration::from_secs(1);

/// How long work that runs over a limit goes on before it is stopped.
///
/// Meanwhile all owners give back what they do not use, and that often is enough.
pub const STOP_GRACE: Duration = Duration::from_secs(2);

/// A shard's allotment of one team.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Account {
    limited: bool,
    held: Resources,
    /// The part of `held` that tasks of the last owner may use which were not found yet.
    unseen: Resources,
    /// The part of `held` that is to be given back by stopping tasks.
    stopping: Resources,
    /// The part of `held` that is given back as tasks end, since another shard waits.
    conceded: Resources,
    /// The state of the pool that this was last decided for.
    conceded_at: Version,
    /// What waits for want of allotment, from the last pass over the queue.
    waiting: Resources,
    /// The first task that waits.
    first: Option<Resources>,
    /// The most that was in use in this window and in the one before.
    peak: Resources,
    previous_peak: Resources,
    window_start: Millis,
    over_since: Option<Millis>,
    /// Whether the pool has little left, so that no headroom is kept.
    scarce: bool,
}

impl Account {
    /// Returns what may be in use.
    fn cap(&self) -> Resources {
        let held = self.held.minus(&self.unseen);
        held.minus(&self.stopping.max(&self.conceded))
    }

    fn over(&self, used: &Resources) -> Resources {
        match self.limited {
            true => used.minus(&self.held.minus(&self.stopping)),
            false => Resources::default(),
        }
    }

    /// Starts a new window if the present one is over, and says whether it did.
    fn roll(&mut self, used: &Resources, now: Millis) -> bool {
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

    fn change(&mut self, used: &Resources, now: Millis) -> Option<Change> {
        let rolled = self.roll(used, now);
        if !self.limited {
            return (self.held != NOTHING).then_some(Change::Lower(self.held));
        }
        let over = used.minus(&self.held);
        if over != NOTHING {
            return Some(Change::Cover(over));
        }
        match self.first {
            Some(first) => Some(self.raise(used, &first)),
            None if rolled => self.lower(),
            None => None,
        }
    }

    fn raise(&self, used: &Resources, first: &Resources) -> Change {
        let used = used.plus(&self.unseen);
        Change::Raise {
            wanted: used.plus(&self.waiting).minus(&self.held),
            least: used.plus(first).minus(&self.held),
        }
    }

    fn lower(&self) -> Option<Change> {
        let kept = self.peak.max(&self.previous_peak).plus(&self.unseen);
        let idle = self.held.minus(&kept);
        let large = !idle.fits(&headroom(&headroom(&self.held)));
        let worth = kept == NOTHING || (self.scarce && large);
        (worth && idle != NOTHING).then_some(Change::Lower(idle))
    }

    fn take_unused(&mut self, used: &Resources, amount: &Resources) -> Resources {
        let unused = match self.limited {
            true => self.held.minus(used).minus(&self.unseen),
            false => self.held,
        };
        let taken = unused.min(amount);
        self.held = self.held.minus(&taken);
        self.stopping = self.stopping.minus(&taken);
        self.conceded = self.conceded.minus(&taken);
        taken
    }
}

/// What the teams have running in one shard, and the allotments of those that have a limit.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    limited: Arc<BTreeSet<Name>>,
    used: HashMap<Name, Resources>,
    /// The teams that have an allotment, wait for one or run over it.
    accounts: HashMap<Name, Account>,
    /// Whether all that the last owner started was found.
    settled: bool,
}

impl Ledger {
    /// Limits these teams and no others; a team that is new here starts with no allotment.
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

    /// Takes the allotments that the shard had when it was claimed.
    ///
    /// Work that this owner can't see yet may run on all of them, so they count as used until it
    /// was found or [`Ledger::finish_recovery`] says that nothing more is to be found.
    pub fn load(&mut self, allotments: impl IntoIterator<Item = (Name, Resources)>) {
        for (team, held) in allotments {
            let unseen = match self.settled {
                true => NOTHING,
                false => held.minus(&self.used(&team)),
            };
            let account = self.account(&team);
            account.held = held;
            account.unseen = unseen;
        }
    }

    /// Takes note that all that the last owner started was found.
    pub fn finish_recovery(&mut self) {
        self.settled = true;
        for account in self.accounts.values_mut() {
            account.unseen = NOTHING;
        }
    }

    /// Returns the allotment of a team.
    pub fn held(&self, team: &Name) -> Resources {
        self.accounts
            .get(team)
            .map_or(NOTHING, |account| account.held)
    }

    /// Returns what a team has running.
    pub fn used(&self, team: &Name) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Returns what each team has running.
    pub fn usage_by_team(&self) -> impl Iterator<Item = (&Name, &Resources)> {
        self.used.iter()
    }

    /// Forgets what waited, before a new pass over the queue.
    pub fn begin_pass(&mut self) {
        for account in self.accounts.values_mut() {
            account.waiting = NOTHING;
            account.first = None;
        }
    }

    /// Says whether a task may start, and notes it as waiting if it may not.
    pub fn admits(&mut self, team: &Name, need: &Resources) -> bool {
        let used = self.used(team);
        let Some(account) = self.account_if_limited(team) else {
            return true;
        };
        if used.plus(need).fits(&account.cap()) {
            return true;
        }
        account.waiting = account.waiting.plus(need);
        account.first.get_or_insert(*need);
        false
    }

    /// Says whether any task waits for want of allotment.
    pub fn is_waiting(&self) -> bool {
        self.accounts
            .values()
            .any(|account| account.first.is_some())
    }

    /// Counts a task that starts.
    pub fn start(&mut self, team: &Name, need: &Resources) {
        let used = self.used(team).plus(need);
        self.used.insert(team.clone(), used);
        if let Some(account) = self.account_if_limited(team) {
            account.peak = account.peak.max(&used);
        }
    }

    /// Counts a task of the last owner that was found running.
    pub fn add_recovered(&mut self, team: &Name, need: &Resources) {
        self.start(team, need);
        if let Some(account) = self.accounts.get_mut(team) {
            account.unseen = account.unseen.minus(need);
        }
    }

    /// Counts a task that runs no more.
    pub fn end(&mut self, team: &Name, need: &Resources) {
        let Some(used) = self.used.get_mut(team) else {
            return;
        };
        *used = used.minus(need);
        if *used == NOTHING {
            self.used.remove(team);
        }
    }

    /// Returns what to ask of the pools, in the order of the teams.
    pub fn changes(&mut self, now: Millis) -> Vec<(Name, Change)> {
        self.drop_idle();
        let used = &self.used;
        let changes = self.accounts.iter_mut().filter_map(|(team, account)| {
            let used = used.get(team).copied().unwrap_or_default();
            let change = account.change(&used, now);
            change.map(|change| (team.clone(), change))
        });
        let mut changes: Vec<_> = changes.collect();
        changes.sort_by(|a, b| a.0.cmp(&b.0));
        changes
    }

    /// Takes unused allotment away, at most `amount`, and returns how much it was.
    ///
    /// This comes before the write that gives it back, so that no task starts on it meanwhile.
    pub fn take_unused(&mut self, team: &Name, amount: &Resources) -> Resources {
        let used = self.used(team);
        match self.accounts.get_mut(team) {
            Some(account) => account.take_unused(&used, amount),
            None => NOTHING,
        }
    }

    /// Adds to the allotment of a team what a pool has granted.
    pub fn add(&mut self, team: &Name, granted: &Resources) {
        let account = self.account(team);
        account.held = account.held.plus(granted);
    }

    /// Takes note of how the pool of a team stands at a version of its row, and returns what is to
    /// be given back for the shards that wait.
    pub fn observe_pool(&mut self, team: &Name, pool: &Pool, version: Version) -> Resources {
        let Some(account) = self.accounts.get_mut(team) else {
            return NOTHING;
        };
        account.scarce = pool.is_scarce();
        if pool.waiting.is_empty() {
            account.conceded = NOTHING;
        } else if account.conceded_at != version {
            account.conceded = concession(&account.held);
            account.conceded_at = version;
        }
        account.conceded
    }

    /// Sets how much of the allotment is to come free by stopping tasks: this shard's part of what
    /// the pool has granted over a limit that was lowered.
    pub fn stop_excess(&mut self, team: &Name, pool: &Pool) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.stopping = proportion(&pool.excess(), &account.held, &pool.granted);
        }
    }

    /// Returns what limited teams run over their allotments for longer than the grace time.
    pub fn overdue(&mut self, now: Millis) -> Vec<(Name, Resources)> {
        let used = &self.used;
        let overdue = self.accounts.iter_mut().filter_map(|(team, account)| {
            let over = account.over(&used.get(team).copied().unwrap_or_default());
            if over == NOTHING {
                account.over_since = None;
                return None;
            }
            let since = *account.over_since.get_or_insert(now);
            (now.since(since) >= STOP_GRACE).then(|| (team.clone(), over))
        });
        overdue.collect()
    }

    /// Returns the teams that have an allotment, in order.
    pub fn holders(&self) -> Vec<Name> {
        let accounts = self.accounts.iter();
        let holders = accounts.filter(|(_, account)| account.held != NOTHING);
        let mut holders: Vec<_> = holders.map(|(team, _)| team.clone()).collect();
        holders.sort();
        holders
    }

    fn drop_idle(&mut self) {
        let used = &self.used;
        self.accounts.retain(|team, account| {
            account.held != NOTHING || account.first.is_some() || used.contains_key(team)
        });
    }

    fn account(&mut self, team: &Name) -> &mut Account {
        let limited = self.limited.contains(team);
        let new = || Account {
            limited,
            ..Account::default()
        };
        self.accounts.entry(team.clone()).or_insert_with(new)
    }

    fn account_if_limited(&mut self, team: &Name) -> Option<&mut Account> {
        self.limited.contains(team).then(|| self.account(team))
    }
}
