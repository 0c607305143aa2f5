//! Weighted dominant-resource fairness (DRF) between teams.
//!
//! The level of a team is its dominant share, which is the largest fraction that it uses of any
//! resource of the whole fleet, divided by its weight. The team with the lowest level is served
//! first. `docs/design/shares.md` compares the options.

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
    /// The key of a team in [`Shares`].
    pub struct Key;
}

/// The settings of a team, and its usage in other shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// The name of the team.
    pub name: Name,
    /// The weight of the team when teams compete for capacity.
    pub weight: u32,
    /// The resources of the team's running tasks in other shards.
    pub elsewhere: Resources,
}

/// A team and its usage in this shard.
#[derive(Debug, Clone)]
pub struct Account {
    /// The team.
    pub team: Team,
    /// The resources charged to the team in this shard, reservations included.
    pub used: Resources,
    /// The part of `used` that belongs to tasks that are being stopped.
    pub stopping: Resources,
    /// The part of `used` that belongs to urgent tasks.
    pub urgent: Resources,
    /// The number of waiting tasks.
    pub waiting: usize,
}

impl Account {
    /// Returns the weight, which is at least 1.
    fn weight(&self) -> f64 {
        f64::from(self.team.weight.max(1))
    }

    /// Returns whether the team has waiting or running tasks in any shard.
    fn is_active(&self) -> bool {
        self.waiting > 0
            || self.used != Resources::default()
            || self.team.elsewhere != Resources::default()
    }
}

/// The usage and the weights of all teams.
#[derive(Debug, Default)]
pub struct Shares {
    accounts: SlotMap<Key, Account>,
    names: HashMap<Name, Key>,
    /// The capacity of the whole fleet.
    capacity: Resources,
    /// The sum of the weights of active teams.
    active_weight: f64,
}

impl Shares {
    /// Sets the capacity of the whole fleet.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// Adds a team or replaces its settings, and returns its key.
    pub fn set(&mut self, team: Team) -> Key {
        let key = self.key(&team.name);
        self.update(key, |account| account.team = team);
        key
    }

    /// Returns the key of a team. An unknown team is added with a weight of 1.
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

    /// Returns the capacity of the whole fleet.
    pub fn capacity(&self) -> &Resources {
        &self.capacity
    }

    /// Returns the weight of a team, which is at least 1.
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

    /// Changes the account of a team and updates the sum of active weights.
    pub fn update(&mut self, key: Key, change: impl FnOnce(&mut Account)) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        let weight_if_active =
            |account: &Account| f64::from(u8::from(account.is_active())) * account.weight();
        let weight_before = weight_if_active(account);
        change(account);
        self.active_weight += weight_if_active(account) - weight_before;
    }

    /// Returns the level of a team, without the tasks that are being stopped in this shard.
    pub fn level(&self, key: Key) -> f64 {
        self.accounts.get(key).map_or(0.0, |account| {
            let used = account.used.minus(&account.stopping);
            let used = used.plus(&account.team.elsewhere);
            used.dominant_share(&self.capacity) / account.weight()
        })
    }

    /// Returns the level at which the active teams share the whole fleet equally, which is 1
    /// divided by the sum of their weights.
    pub fn entitlement(&self) -> f64 {
        1.0 / self.active_weight.max(1.0)
    }

    /// Returns whether the level of a team is below the entitlement.
    pub fn is_below_entitlement(&self, key: Key) -> bool {
        self.level(key) < self.entitlement()
    }

    /// Returns whether the level of a team, counting only its urgent tasks in this shard, is below
    /// the entitlement.
    ///
    /// Urgent tasks have priority within the share of their team, however many other tasks the team
    /// runs.
    pub fn is_urgent_below_entitlement(&self, key: Key) -> bool {
        self.accounts.get(key).is_some_and(|account| {
            let share = account.urgent.dominant_share(&self.capacity);
            share / account.weight() < self.entitlement()
        })
    }

    /// Returns the lowest level among teams with waiting tasks, divided by the mean level of these
    /// teams, or `None` if there are none or all their levels are zero.
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
