//! Upper limits of teams, kept as allotments of shards.
//!
//! The sum of a team's allotments is never granted over its limit, so an owner that starts work
//! within its shard's allotment asks nobody. See `docs/design/limits.md`.

use std::{
    collections::HashMap,
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
use basilbridge_derives::data;

/// How long an allotment stays unused before it is given back.
pub const IDLE_WINDOW: Duration = Duration::from_secs(10);

/// The part of the use that is kept as headroom, as a divisor.
const HEADROOM_DIVISOR: u64 = 4;

/// The part of the free limit that one grant takes beyond what is needed at once, as a divisor.
const GRANT_DIVISOR: u64 = 2;

/// How long work that runs over a limit goes on before it is stopped.
///
/// Meanwhile all owners give back what they do not use, and that often is enough.
pub const STOP_GRACE: Duration = Duration::from_secs(2);

const NOTHING: Resources = Resources {
    cpu_millis: 0,
    memory_mib: 0,
    accelerators: 0,
};

/// What is granted of a team's limit, over all shards.
#[data]
#[derive(Default)]
pub struct Pool {
    /// The limit.
    pub limit: Resources,
    /// The version of the configuration that set the limit.
    pub version: Version,
    /// The sum of all allotments.
    pub granted: Resources,
}

/// What a shard asks of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Raise the allotment.
    Raise {
        /// As much as is of use.
        wanted: Resources,
        /// What is needed for one more task; less is of no use.
        least: Resources,
    },
    /// Raise the allotment by any part of what runs over it already.
    Cover(Resources),
    /// Lower the allotment.
    Lower(Resources),
}

impl Pool {
    /// Takes a limit, unless it is older than the present one.
    pub fn set_limit(&mut self, limit: Resources, version: Version) {
        if version > self.version {
            self.limit = limit;
            self.version = version;
        }
    }

    /// Returns what is granted over the limit, which happens only after the limit was lowered.
    pub fn excess(&self) -> Resources {
        self.granted.minus(&self.limit)
    }

    /// Grants at most `wanted`, and nothing if less than `least` is free.
    ///
    /// A grant takes at most a part of what is free beyond `least`, so that the first shard to ask
    /// leaves something to the next. While the limit is far off, it takes some headroom too.
    pub fn grant(&mut self, wanted: &Resources, least: &Resources) -> Resources {
        let free = self.limit.minus(&self.granted);
        if !least.fits(&free) {
            return NOTHING;
        }
        let spare = free.minus(least);
        let headroom = match self.is_scarce() {
            true => NOTHING,
            false => headroom(&headroom(&spare)),
        };
        let most = least.plus(&part(&spare));
        let granted = wanted.plus(&headroom).max(least).min(&most);
        self.granted = self.granted.plus(&granted);
        granted
    }

    /// Says whether less than half of the limit is free in a dimension that the limit allows.
    pub fn is_scarce(&self) -> bool {
        !self.granted.times(2).fits(&self.limit)
    }

    /// Grants at most `wanted` for work that runs already.
    pub fn cover(&mut self, wanted: &Resources) -> Resources {
        let granted = wanted.min(&self.limit.minus(&self.granted));
        self.granted = self.granted.plus(&granted);
        granted
    }

    /// Takes back a part of an allotment.
    pub fn give_back(&mut self, amount: &Resources) {
        self.granted = self.granted.minus(amount);
    }
}

/// Returns a part of each dimension, rounded up: otherwise the last task of a limit would never fit.
fn part(amount: &Resources) -> Resources {
    amount.zip(amount, |amount, _| amount.div_ceil(GRANT_DIVISOR))
}

fn headroom(amount: &Resources) -> Resources {
    amount.zip(amount, |amount, _| amount / HEADROOM_DIVISOR)
}

/// Returns the part of `excess` that falls to a shard that holds `held` of `granted`, rounded up.
fn proportion(excess: &Resources, held: &Resources, granted: &Resources) -> Resources {
    let product = excess.zip(held, |excess, held| excess.saturating_mul(held));
    product.zip(granted, |product, granted| product.div_ceil(granted.max(1)))
}

/// A shard's allotment of one team.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Account {
    limited: bool,
    held: Resources,
    /// The part of `held` that tasks of the last owner may use which were not found yet.
    unseen: Resources,
    /// The part of `held` that is to be given back by stopping tasks.
    stopping: Resources,
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
        self.held.minus(&self.unseen).minus(&self.stopping)
    }

    fn over(&self, used: &Resources) -> Resources {
        match self.limited {
            true => used.minus(&self.held.minus(&self.stopping)),
            false => Resources::default(),
        }
    }

    /// Starts a new window if the present one is over, and says whether it did.
    fn roll(&mut self, used: &Resources, now: Millis) -> bool {
        if now.since(self.window_start) < IDLE_WINDOW {
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
        let kept = match self.scarce {
            true => kept,
            false => kept.plus(&headroom(&kept)),
        };
        let idle = self.held.minus(&kept);
        let worth = kept == NOTHING || !idle.fits(&headroom(&headroom(&self.held)));
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
        taken
    }
}

/// What the teams have running in one shard, and the allotments of those that have a limit.
#[derive(Debug, Clone, Default)]
pub struct Book {
    used: HashMap<Name, Resources>,
    accounts: HashMap<Name, Account>,
    /// Whether all that the last owner started was found.
    settled: bool,
}

impl Book {
    /// Limits these teams and no others; a team that is new here starts with no allotment.
    pub fn set_limited<'a>(&mut self, teams: impl IntoIterator<Item = &'a Name>) {
        for account in self.accounts.values_mut() {
            account.limited = false;
        }
        for team in teams {
            self.account(team).limited = true;
        }
    }

    /// Takes the allotments that the shard had when it was claimed.
    ///
    /// Work that this owner can't see yet may run on all of them, so they count as used until it
    /// was found or [`Book::settle`] says that nothing more is to be found.
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
    pub fn settle(&mut self) {
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
    pub fn uses(&self) -> impl Iterator<Item = (&Name, &Resources)> {
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
        let Some(account) = self.accounts.get_mut(team) else {
            return true;
        };
        if !account.limited || used.plus(need).fits(&account.cap()) {
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
        let used = self.used.entry(team.clone()).or_default();
        *used = used.plus(need);
        if let Some(account) = self.accounts.get_mut(team) {
            account.peak = account.peak.max(used);
        }
    }

    /// Counts a task of the last owner that was found running.
    pub fn find(&mut self, team: &Name, need: &Resources) {
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

    /// Takes note of how the pool of a team stands.
    pub fn note(&mut self, team: &Name, pool: &Pool) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.scarce = pool.is_scarce();
        }
    }

    /// Sets how much of the allotment is to come free by stopping tasks: this shard's part of what
    /// the pool has granted over a limit that was lowered.
    pub fn shed(&mut self, team: &Name, pool: &Pool) {
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

    fn account(&mut self, team: &Name) -> &mut Account {
        self.accounts.entry(team.clone()).or_default()
    }
}
