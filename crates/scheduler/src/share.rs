//! Weighted dominant-resource fairness between teams.
//!
//! The level of a team is the largest part that it has of any resource of the whole fleet,
//! divided by its weight. The team with the lowest level goes first. `docs/design/shares.md`
//! weighs the ways.

use std::collections::HashMap;

use basilbridge_common::{
    id::Name,
    unit::Resources, //
};
use slotmap::{
    SlotMap,
    new_key_type, //
};

new_key_type! {
    /// A team in a [`Shares`].
    pub struct Key;
}

/// What an operator has set for a team, and what the team has elsewhere.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// The name.
    pub name: Name,
    /// The weight when capacity is short.
    pub weight: u32,
    /// What the team has running in other shards.
    pub elsewhere: Resources,
}

/// A team and what it uses.
#[derive(Debug, Clone)]
pub struct Account {
    /// The team.
    pub team: Team,
    /// What the team is counted with in this shard, with what is promised to it.
    pub used: Resources,
    /// The part of this that tasks have which were asked to leave.
    pub stopping: Resources,
    /// The part of this that urgent tasks have.
    pub urgent: Resources,
    /// How many tasks wait.
    pub waiting: usize,
}

impl Account {
    fn weight(&self) -> f64 {
        f64::from(self.team.weight.max(1))
    }

    fn is_active(&self) -> bool {
        self.waiting > 0
            || self.used != Resources::default()
            || self.team.elsewhere != Resources::default()
    }
}

/// The use of all teams.
#[derive(Debug, Default)]
pub struct Shares {
    accounts: SlotMap<Key, Account>,
    names: HashMap<Name, Key>,
    capacity: Resources,
    active_weight: f64,
}

impl Shares {
    /// Sets what the whole fleet has.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// Takes note of a team.
    pub fn set(&mut self, team: Team) -> Key {
        let key = self.key(&team.name);
        self.update(key, |account| account.team = team);
        key
    }

    /// Returns the key of a team; one that is not known has a weight of one.
    pub fn key(&mut self, name: &Name) -> Key {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.accounts.insert(Account {
            team: Team {
                name: name.clone(),
                weight: 1,
                elsewhere: Resources::default(),
            },
            used: Resources::default(),
            stopping: Resources::default(),
            urgent: Resources::default(),
            waiting: 0,
        });
        self.names.insert(name.clone(), key);
        key
    }

    /// Returns what the whole fleet has.
    pub fn capacity(&self) -> &Resources {
        &self.capacity
    }

    /// Returns the weight of a team.
    pub fn weight(&self, key: Key) -> f64 {
        self.accounts.get(key).map_or(1.0, Account::weight)
    }

    /// Returns the account of a team.
    pub fn get(&self, key: Key) -> Option<&Account> {
        self.accounts.get(key)
    }

    /// Returns all accounts.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Account)> {
        self.accounts.iter()
    }

    /// Changes an account.
    pub fn update(&mut self, key: Key, change: impl FnOnce(&mut Account)) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        let active =
            |account: &Account| f64::from(u8::from(account.is_active())) * account.weight();
        let before = active(account);
        change(account);
        self.active_weight += active(account) - before;
    }

    /// Returns the level of a team, where tasks that were asked to leave count no more.
    pub fn level(&self, key: Key) -> f64 {
        self.accounts.get(key).map_or(0.0, |account| {
            let used = account.used.minus(&account.stopping);
            let used = used.plus(&account.team.elsewhere);
            used.dominant_share(&self.capacity) / account.weight()
        })
    }

    /// Returns the level that each team has when all that ask for room have an equal one.
    pub fn entitlement(&self) -> f64 {
        1.0 / self.active_weight.max(1.0)
    }

    /// Says whether a team has less than it is entitled to.
    pub fn is_below_entitlement(&self, key: Key) -> bool {
        self.level(key) < self.entitlement()
    }

    /// Says whether a team has less urgent work running here than it is entitled to.
    ///
    /// Urgent work goes first within the share of its team, however much other work the team has.
    pub fn is_urgent_below_entitlement(&self, key: Key) -> bool {
        self.accounts.get(key).is_some_and(|account| {
            let part = account.urgent.dominant_share(&self.capacity);
            part / account.weight() < self.entitlement()
        })
    }

    /// Returns the lowest level of a team that waits, as a part of the mean of such teams.
    pub fn nearness(&self) -> Option<f64> {
        let waiting = self
            .accounts
            .iter()
            .filter(|(_, account)| account.waiting > 0);
        let levels: Vec<f64> = waiting.map(|(key, _)| self.level(key)).collect();
        let lowest = levels.iter().copied().reduce(f64::min)?;
        let mean = levels.iter().sum::<f64>() / levels.len() as f64;
        (mean > 0.0).then(|| lowest / mean)
    }
}
