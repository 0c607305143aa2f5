//! Changes of the configuration, and what each one did.

use std::collections::BTreeMap;

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

/// Whom a key speaks for.
#[data]
#[derive(Eq)]
pub enum Holder {
    /// The callers of a team.
    Team(Name),
    /// An operator.
    Operator,
}

/// One step of an edit.
///
/// A step that sets something states what it expects to find, so that of two operators who start
/// from the same state only one can win. Keys are given and withdrawn one by one instead, so that
/// two operators who give keys to one team never disturb each other.
#[data]
pub enum Operation {
    /// Sets the share and limit of a team, or removes it once it has no key left.
    SetTeam(Name, Replacement<TeamSettings>),
    /// Sets a queue, or removes it.
    SetQueue(Name, Replacement<Queue>),
    /// Sets a workload, or removes it.
    SetWorkload(Name, Replacement<Workload>),
    /// Makes a key valid; a key that already is stays so.
    GiveKey(Holder, Hash),
    /// Withdraws a key; a key that is not valid stays so.
    WithdrawKey(Holder, Hash),
}

/// What a step expects to find and what it leaves.
#[data]
pub struct Replacement<T> {
    /// What must be there, or nothing if there must be none.
    pub before: Option<T>,
    /// What takes its place, or nothing to remove it.
    pub after: Option<T>,
}

/// The steps that an operator wants to take effect together.
#[data]
pub struct Edit {
    /// Names the edit: one that is sent twice takes effect once.
    pub id: Name,
    /// The fingerprint of the operator's key; the VM that takes the edit fills it in.
    #[serde(default)]
    pub operator: String,
    /// The file or command that the edit comes from.
    #[serde(default)]
    pub intent: String,
    /// The version that the whole configuration must have, if that matters.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Version>,
    /// The steps.
    pub operations: Vec<Operation>,
}

/// What became of an edit that took effect.
#[data]
pub struct Accepted {
    /// The version that it led to.
    pub version: Version,
    /// Whether every entry VM acts on that version, or takes no keyed work.
    pub in_force: bool,
    /// The entry VMs that may still act on an older one.
    pub missing: Vec<Name>,
}

/// One thing of the configuration as it stands.
#[data]
pub enum Item {
    /// A team without its keys.
    Team(Name, TeamSettings),
    /// A queue.
    Queue(Queue),
    /// A workload.
    Workload(Workload),
    /// A key that is valid.
    Key(Holder, Hash),
}

/// What an edit did to one thing.
#[data]
pub struct Change {
    /// The key of the thing, such as `team/NAME`.
    pub key: String,
    /// What was there.
    pub before: Option<Item>,
    /// What is there now.
    pub after: Option<Item>,
}

impl Item {
    /// Returns the key that the thing has among all others.
    pub fn key(&self) -> String {
        match self {
            Self::Team(name, _) => format!("team/{name}"),
            Self::Queue(queue) => format!("queue/{}", queue.name),
            Self::Workload(workload) => format!("workload/{}", workload.name),
            Self::Key(Holder::Team(team), hash) => format!("key/{hash}/{team}"),
            Self::Key(Holder::Operator, hash) => format!("key/{hash}"),
        }
    }
}

impl Item {
    /// Shows what the thing holds, for people.
    pub fn content(&self) -> String {
        let text = match self {
            Self::Team(_, settings) => serde_json::to_string(settings),
            Self::Queue(queue) => serde_json::to_string(queue),
            Self::Workload(workload) => serde_json::to_string(workload),
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
            Self::GiveKey(holder, hash) | Self::WithdrawKey(holder, hash) => {
                Item::Key(holder.clone(), hash.clone()).key()
            }
        }
    }
}

impl Configuration {
    /// Returns the things that an operation may change.
    fn items(&self, operation: &Operation) -> Vec<Item> {
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

    /// Puts things into the configuration, in any order.
    pub fn insert_all(&mut self, items: Vec<Item>) {
        let is_key = |item: &Item| matches!(item, Item::Key(..));
        let (keys, others): (Vec<_>, Vec<_>) = items.into_iter().partition(is_key);
        // A key is put into its team, so the teams have to be there first.
        for item in others.into_iter().chain(keys) {
            self.insert(item);
        }
    }

    /// Puts a thing into the configuration.
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
                put(&mut self.teams, team, |team| &team.name);
            }
            Item::Queue(queue) => put(&mut self.queues, queue, |queue| &queue.name),
            Item::Workload(workload) => {
                put(&mut self.workloads, workload, |workload| &workload.name);
            }
            Item::Key(holder, hash) => {
                if let Ok(keys) = self.keys_mut(&holder) {
                    put_key(keys, hash);
                }
            }
        }
    }

    /// Takes a thing out of the configuration.
    fn remove(&mut self, item: &Item) {
        match item {
            Item::Team(name, _) => self.teams.retain(|team| team.name != *name),
            Item::Queue(removed) => self.queues.retain(|queue| queue.name != removed.name),
            Item::Workload(removed) => {
                self.workloads
                    .retain(|workload| workload.name != removed.name);
            }
            Item::Key(holder, hash) => {
                if let Ok(keys) = self.keys_mut(holder) {
                    keys.retain(|known| known != hash);
                }
            }
        }
    }

    /// Carries out an edit on this configuration and returns what it did.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Conflict`] with what stands there now if a step finds something else than
    /// it expects, and then leaves the configuration as it was.
    pub fn apply(&mut self, edit: &Edit) -> Result<Vec<Change>> {
        if edit.base.is_some_and(|base| base != self.version) {
            let message = format!("the configuration now has version {}", self.version.0);
            return Err(Error::new(Kind::Conflict, message));
        }
        let mut next = self.clone();
        let mut conflicts = Vec::new();
        for operation in &edit.operations {
            if let Err(conflict) = next.step(operation) {
                conflicts.push(conflict);
            }
        }
        if !conflicts.is_empty() {
            return Err(Error::new(Kind::Conflict, conflicts.join("\n")));
        }
        if next.operator_keys.is_empty() && !self.operator_keys.is_empty() {
            let message = "the last key of an operator can't be withdrawn; give another one first";
            return Err(Error::new(Kind::Forbidden, message));
        }
        let changes = self.changes_to(&next, &edit.operations);
        *self = next;
        Ok(changes)
    }

    fn changes_to(&self, next: &Self, operations: &[Operation]) -> Vec<Change> {
        let mut changes: BTreeMap<String, Change> = BTreeMap::new();
        let entry = |key: String| Change {
            key,
            before: None,
            after: None,
        };
        for operation in operations {
            for item in self.items(operation) {
                let key = item.key();
                let change = changes.entry(key.clone()).or_insert_with(|| entry(key));
                change.before = Some(item);
            }
            for item in next.items(operation) {
                let key = item.key();
                let change = changes.entry(key.clone()).or_insert_with(|| entry(key));
                change.after = Some(item);
            }
        }
        changes.retain(|_, change| change.before != change.after);
        changes.into_values().collect()
    }

    fn step(&mut self, operation: &Operation) -> std::result::Result<(), String> {
        let key = operation.item_key();
        match operation {
            Operation::SetTeam(name, replacement) => {
                let present = self.team(name).map(Team::settings);
                expect(&key, &present, replacement)?;
                // A key that was given since must not go without having been shown.
                let key_left = self.team(name).and_then(|team| team.keys.first());
                match replacement.after {
                    Some(settings) => self.insert(Item::Team(name.clone(), settings)),
                    None if let Some(hash) = key_left => {
                        let fingerprint = hash.fingerprint();
                        return Err(format!("{key}: key {fingerprint} is still valid"));
                    }
                    None => self.teams.retain(|team| team.name != *name),
                }
            }
            Operation::SetQueue(name, replacement) => {
                expect(&key, &self.queue(name).cloned(), replacement)?;
                match replacement.after.clone() {
                    Some(queue) => self.insert(Item::Queue(queue)),
                    None => self.queues.retain(|queue| queue.name != *name),
                }
            }
            Operation::SetWorkload(name, replacement) => {
                expect(&key, &self.workload(name).cloned(), replacement)?;
                match replacement.after.clone() {
                    Some(workload) => self.insert(Item::Workload(workload)),
                    None => self.workloads.retain(|workload| workload.name != *name),
                }
            }
            Operation::GiveKey(holder, hash) => {
                put_key(self.keys_mut(holder)?, hash.clone());
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
                .ok_or_else(|| format!("there is no team `{name}`")),
        }
    }
}

/// Puts an item in the order of the names, so that equal configurations compare equal.
fn put<T>(items: &mut Vec<T>, item: T, name: impl Fn(&T) -> &Name) {
    match items.binary_search_by(|known| name(known).cmp(name(&item))) {
        Ok(position) => items[position] = item,
        Err(position) => items.insert(position, item),
    }
}

fn put_key(keys: &mut Vec<Hash>, hash: Hash) {
    if let Err(position) = keys.binary_search(&hash) {
        keys.insert(position, hash);
    }
}

fn expect<T: PartialEq + Serialize>(
    key: &str,
    present: &Option<T>,
    replacement: &Replacement<T>,
) -> std::result::Result<(), String> {
    if *present == replacement.before {
        return Ok(());
    }
    let show = |item: &Option<T>| match item {
        Some(item) => serde_json::to_string(item).unwrap_or_default(),
        None => "nothing".to_owned(),
    };
    Err(format!(
        "{key}: expected {}, but there is now {}; you wanted {}",
        show(&replacement.before),
        show(present),
        show(&replacement.after)
    ))
}

impl Configuration {
    /// Takes over what an entry of the audit trail changed.
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
