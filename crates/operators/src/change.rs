//! Edits of the configuration and the changes that they make.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Name,
        Version, //
    },
};
use basilbridge_derives::data;
use serde::Serialize;

use crate::{
    audit::Entry,
    configuration::{
        Configuration,
        Queue,
        Team,
        TeamSettings,
        Workload, //
    },
    key::Hash,
};

/// The holder of a key.
#[data]
#[derive(Eq)]
pub enum Holder {
    /// The callers of a team.
    Team(Name),
    /// An operator.
    Operator,
}

/// One operation of an edit.
///
/// An operation that sets an item states the value that it expects to replace, so that of two edits
/// that replace the same value only the first is applied. Keys are given and withdrawn one by one
/// instead, so that edits that give keys to the same team do not conflict.
#[data]
pub enum Operation {
    /// Sets the share and limit of a team, or removes a team that has no keys.
    SetTeam(Name, Replacement<TeamSettings>),
    /// Sets or removes a queue.
    SetQueue(Name, Replacement<Queue>),
    /// Sets or removes a workload.
    SetWorkload(Name, Replacement<Workload>),
    /// Sets which data centres are evacuated.
    ///
    /// The expected value is the whole set, so that two edits can't evacuate different data centres
    /// at the same time, each of them relying on the capacity of the other one.
    SetEvacuated(Replacement<BTreeSet<Name>>),
    /// Makes a key valid; has no effect on a key that is already valid.
    GiveKey(Holder, Hash),
    /// Withdraws a key; has no effect on a key that is not valid.
    WithdrawKey(Holder, Hash),
}

/// The value that an operation expects and the value that it sets.
#[data]
pub struct Replacement<T> {
    /// The expected value; `None` if the item must not exist.
    pub before: Option<T>,
    /// The new value; `None` to remove the item.
    pub after: Option<T>,
}

/// Operations that are applied together or not at all.
#[data]
pub struct Edit {
    /// Identifies the edit; an edit that is sent twice is applied once.
    pub id: Name,
    /// The fingerprint of the operator's key, set by the VM that receives the edit.
    #[serde(default)]
    pub operator: String,
    /// The file or command that the edit comes from.
    #[serde(default)]
    pub intent: String,
    /// The version that the configuration must have; `None` allows any version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Version>,
    /// The operations, in the order in which they are applied.
    pub operations: Vec<Operation>,
}

/// The result of an edit that was applied.
#[data]
pub struct Accepted {
    /// The version of the configuration after the edit.
    pub version: Version,
    /// Whether every entry VM acts on that version or accepts no calls with a key.
    pub in_force: bool,
    /// The entry VMs that may still act on an older version.
    pub missing: Vec<Name>,
}

/// One item of the configuration with its current value.
#[data]
pub enum Item {
    /// A team without its keys.
    Team(Name, TeamSettings),
    /// A queue.
    Queue(Queue),
    /// A workload.
    Workload(Workload),
    /// An evacuated data centre.
    Evacuation(Name),
    /// A valid key.
    Key(Holder, Hash),
}

/// A change of one item.
#[data]
pub struct Change {
    /// The key of the item, such as `team/NAME`.
    pub key: String,
    /// The value before the edit; `None` if the item did not exist.
    pub before: Option<Item>,
    /// The value after the edit; `None` if the item was removed.
    pub after: Option<Item>,
}

impl Item {
    /// Returns the key of the item, which is unique in the configuration.
    pub fn key(&self) -> String {
        match self {
            Self::Team(name, _) => format!("team/{name}"),
            Self::Queue(queue) => format!("queue/{}", queue.name),
            Self::Workload(workload) => format!("workload/{}", workload.name),
            Self::Evacuation(name) => format!("evacuate/{name}"),
            Self::Key(Holder::Team(team), hash) => format!("key/{hash}/{team}"),
            Self::Key(Holder::Operator, hash) => format!("key/{hash}"),
        }
    }
}

impl Item {
    /// Returns the value of the item as text: JSON, or the fingerprint of a key.
    pub fn content(&self) -> String {
        let text = match self {
            Self::Team(_, settings) => serde_json::to_string(settings),
            Self::Queue(queue) => serde_json::to_string(queue),
            Self::Workload(workload) => serde_json::to_string(workload),
            Self::Evacuation(_) => Ok("evacuated".to_owned()),
            Self::Key(_, hash) => Ok(hash.fingerprint()),
        };
        text.unwrap_or_default()
    }
}

impl Operation {
    fn item_key(&self) -> String {
        match self {
            Self::SetTeam(name, _) => format!("team/{name}"),
            Self::SetQueue(name, _) => format!("queue/{name}"),
            Self::SetWorkload(name, _) => format!("workload/{name}"),
            Self::SetEvacuated(_) => "evacuate".to_owned(),
            Self::GiveKey(holder, hash) | Self::WithdrawKey(holder, hash) => {
                Item::Key(holder.clone(), hash.clone()).key()
            }
        }
    }
}

impl Configuration {
    /// Returns the items that an operation may change, with their current values.
    fn items_affected_by(&self, operation: &Operation) -> Vec<Item> {
        match operation {
            Operation::SetTeam(name, _) => self.team(name).map_or_else(Vec::new, |team| {
                let holder = Holder::Team(name.clone());
                let keys = team.keys.iter().cloned();
                let keys = keys.map(|hash| Item::Key(holder.clone(), hash));
                let settings = Item::Team(name.clone(), team.settings());
                std::iter::once(settings).chain(keys).collect()
            }),
            Operation::SetQueue(name, _) => {
                let queue = self.queue(name).cloned();
                queue.map(Item::Queue).into_iter().collect()
            }
            Operation::SetWorkload(name, _) => {
                let workload = self.workload(name).cloned();
                workload.map(Item::Workload).into_iter().collect()
            }
            Operation::SetEvacuated(_) => {
                let names = self.evacuated.iter().cloned();
                names.map(Item::Evacuation).collect()
            }
            Operation::GiveKey(holder, hash) | Operation::WithdrawKey(holder, hash) => {
                let item = || Item::Key(holder.clone(), hash.clone());
                self.has_key(holder, hash).then(item).into_iter().collect()
            }
        }
    }

    fn has_key(&self, holder: &Holder, hash: &Hash) -> bool {
        match holder {
            Holder::Team(team) => self.team(team).is_some_and(|team| team.keys.contains(hash)),
            Holder::Operator => self.operator_keys.contains(hash),
        }
    }

    /// Inserts or replaces items, which may come in any order.
    pub fn insert_all(&mut self, items: Vec<Item>) {
        let is_key = |item: &Item| matches!(item, Item::Key(..));
        let (keys, others): (Vec<_>, Vec<_>) = items.into_iter().partition(is_key);
        // Keys are stored in their team, so teams are inserted first.
        for item in others.into_iter().chain(keys) {
            self.insert(item);
        }
    }

    /// Inserts or replaces an item.
    fn insert(&mut self, item: Item) {
        match item {
            Item::Team(name, settings) => {
                let keys = self
                    .team(&name)
                    .map_or_else(Vec::new, |team| team.keys.clone());
                let team = Team {
                    name,
                    share: settings.share,
                    limit: settings.limit,
                    keys,
                };
                upsert(&mut self.teams, team, |team| &team.name);
            }
            Item::Queue(queue) => upsert(&mut self.queues, queue, |queue| &queue.name),
            Item::Workload(workload) => {
                upsert(&mut self.workloads, workload, |workload| &workload.name);
            }
            Item::Evacuation(name) => {
                self.evacuated.insert(name);
            }
            Item::Key(holder, hash) => {
                if let Ok(keys) = self.keys_mut(&holder) {
                    insert_key(keys, hash);
                }
            }
        }
    }

    /// Removes an item.
    fn remove(&mut self, item: &Item) {
        match item {
            Item::Team(name, _) => self.teams.retain(|team| team.name != *name),
            Item::Queue(removed) => self.queues.retain(|queue| queue.name != removed.name),
            Item::Workload(removed) => {
                self.workloads
                    .retain(|workload| workload.name != removed.name);
            }
            Item::Evacuation(name) => {
                self.evacuated.remove(name);
            }
            Item::Key(holder, hash) => {
                if let Ok(keys) = self.keys_mut(holder) {
                    keys.retain(|known| known != hash);
                }
            }
        }
    }

    /// Applies an edit to this configuration and returns the changes that it made.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Conflict`] with the current values if the version or an item differs from
    /// what the edit expects, if it removes a team that has keys, or if it changes keys of a team
    /// that does not exist. Returns [`Kind::Forbidden`] if it withdraws the last operator key. The
    /// configuration is unchanged on an error.
    pub fn apply(&mut self, edit: &Edit) -> Result<Vec<Change>> {
        if edit.base.is_some_and(|base| base != self.version) {
            let message = format!("the configuration is now at version {}", self.version.0);
            return Err(Error::new(Kind::Conflict, message));
        }
        let mut next = self.clone();
        let mut conflicts = Vec::new();
        for operation in &edit.operations {
            if let Err(conflict) = next.apply_operation(operation) {
                conflicts.push(conflict);
            }
        }
        if !conflicts.is_empty() {
            return Err(Error::new(Kind::Conflict, conflicts.join("\n")));
        }
        if next.operator_keys.is_empty() && !self.operator_keys.is_empty() {
            let message =
                "the last operator key can't be withdrawn; give another operator key first";
            return Err(Error::new(Kind::Forbidden, message));
        }
        let changes = self.changes_to(&next, &edit.operations);
        *self = next;
        Ok(changes)
    }

    fn changes_to(&self, next: &Self, operations: &[Operation]) -> Vec<Change> {
        let mut changes: BTreeMap<String, Change> = BTreeMap::new();
        let unchanged = |key: String| Change {
            key,
            before: None,
            after: None,
        };
        for operation in operations {
            for item in self.items_affected_by(operation) {
                let key = item.key();
                let change = changes.entry(key.clone()).or_insert_with(|| unchanged(key));
                change.before = Some(item);
            }
            for item in next.items_affected_by(operation) {
                let key = item.key();
                let change = changes.entry(key.clone()).or_insert_with(|| unchanged(key));
                change.after = Some(item);
            }
        }
        changes.retain(|_, change| change.before != change.after);
        changes.into_values().collect()
    }

    fn apply_operation(&mut self, operation: &Operation) -> std::result::Result<(), String> {
        let key = operation.item_key();
        match operation {
            Operation::SetTeam(name, replacement) => {
                let current = self.team(name).map(Team::settings);
                check_expected(&key, &current, replacement)?;
                // Rejects the removal while the team has keys, so that a key given after the edit
                // was made is not withdrawn unnoticed.
                let remaining_key = self.team(name).and_then(|team| team.keys.first());
                match replacement.after {
                    Some(settings) => self.insert(Item::Team(name.clone(), settings)),
                    None if let Some(hash) = remaining_key => {
                        let fingerprint = hash.fingerprint();
                        return Err(format!(
                            "{key}: can't be removed while key {fingerprint} is valid"
                        ));
                    }
                    None => self.teams.retain(|team| team.name != *name),
                }
            }
            Operation::SetQueue(name, replacement) => {
                check_expected(&key, &self.queue(name).cloned(), replacement)?;
                match replacement.after.clone() {
                    Some(queue) => self.insert(Item::Queue(queue)),
                    None => self.queues.retain(|queue| queue.name != *name),
                }
            }
            Operation::SetWorkload(name, replacement) => {
                check_expected(&key, &self.workload(name).cloned(), replacement)?;
                match replacement.after.clone() {
                    Some(workload) => self.insert(Item::Workload(workload)),
                    None => self.workloads.retain(|workload| workload.name != *name),
                }
            }
            Operation::SetEvacuated(replacement) => {
                check_expected(&key, &Some(self.evacuated.clone()), replacement)?;
                self.evacuated = replacement.after.clone().unwrap_or_default();
            }
            Operation::GiveKey(holder, hash) => {
                insert_key(self.keys_mut(holder)?, hash.clone());
            }
            Operation::WithdrawKey(holder, hash) => {
                self.keys_mut(holder)?.retain(|known| known != hash);
            }
        }
        Ok(())
    }

    fn keys_mut(&mut self, holder: &Holder) -> std::result::Result<&mut Vec<Hash>, String> {
        match holder {
            Holder::Operator => Ok(&mut self.operator_keys),
            Holder::Team(name) => self
                .teams
                .iter_mut()
                .find(|team| team.name == *name)
                .map(|team| &mut team.keys)
                .ok_or_else(|| format!("team `{name}` does not exist")),
        }
    }
}

/// Inserts or replaces an item in a list sorted by name.
///
/// The order makes configurations with the same content compare equal.
fn upsert<T>(items: &mut Vec<T>, item: T, name: impl Fn(&T) -> &Name) {
    match items.binary_search_by(|known| name(known).cmp(name(&item))) {
        Ok(position) => items[position] = item,
        Err(position) => items.insert(position, item),
    }
}

fn insert_key(keys: &mut Vec<Hash>, hash: Hash) {
    if let Err(position) = keys.binary_search(&hash) {
        keys.insert(position, hash);
    }
}

fn check_expected<T: PartialEq + Serialize>(
    key: &str,
    current: &Option<T>,
    replacement: &Replacement<T>,
) -> std::result::Result<(), String> {
    if *current == replacement.before {
        return Ok(());
    }
    let describe = |item: &Option<T>| match item {
        Some(item) => serde_json::to_string(item).unwrap_or_default(),
        None => "nothing".to_owned(),
    };
    Err(format!(
        "{key}: expected {}, but there is now {}; the edit sets {}",
        describe(&replacement.before),
        describe(current),
        describe(&replacement.after)
    ))
}

impl Configuration {
    /// Applies the changes of an audit entry and takes over its version.
    pub fn apply_entry(&mut self, entry: &Entry) {
        for change in &entry.changes {
            if let (Some(before), None) = (&change.before, &change.after) {
                self.remove(before);
            }
        }
        let after = entry
            .changes
            .iter()
            .filter_map(|change| change.after.clone());
        self.insert_all(after.collect());
        self.version = entry.sequence;
    }
}
