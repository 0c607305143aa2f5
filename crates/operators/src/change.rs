//! Changes of the configuration, and what each one did.

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
        Terms,
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
    /// Sets the share and limit of a team, or removes it together with its keys.
    SetTeam(Name, Replacement<Terms>),
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
    /// A team.
    Team(Team),
    /// A queue.
    Queue(Queue),
    /// A workload.
    Workload(Workload),
    /// The keys of operators.
    OperatorKeys(Vec<Hash>),
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

/// The key of the operators' keys.
pub const OPERATORS: &str = "operators";

impl Holder {
    fn item_key(&self) -> String {
        match self {
            Self::Team(team) => format!("team/{team}"),
            Self::Operator => OPERATORS.to_owned(),
        }
    }
}

impl Item {
    /// Returns the key that the thing has among all others.
    pub fn key(&self) -> String {
        match self {
            Self::Team(team) => format!("team/{}", team.name),
            Self::Queue(queue) => format!("queue/{}", queue.name),
            Self::Workload(workload) => format!("workload/{}", workload.name),
            Self::OperatorKeys(_) => OPERATORS.to_owned(),
        }
    }
}

impl Operation {
    fn item_key(&self) -> String {
        match self {
            Self::SetTeam(name, _) => format!("team/{name}"),
            Self::SetQueue(name, _) => format!("queue/{name}"),
            Self::SetWorkload(name, _) => format!("workload/{name}"),
            Self::GiveKey(holder, _) | Self::WithdrawKey(holder, _) => holder.item_key(),
        }
    }
}

impl Configuration {
    /// Returns the thing under a key.
    pub fn item(&self, key: &str) -> Option<Item> {
        match key.split_once('/') {
            Some(("team", name)) => self.team(name).cloned().map(Item::Team),
            Some(("queue", name)) => self.queue(name).cloned().map(Item::Queue),
            Some(("workload", name)) => self.workload(name).cloned().map(Item::Workload),
            _ if key == OPERATORS && !self.operator_keys.is_empty() => {
                Some(Item::OperatorKeys(self.operator_keys.clone()))
            }
            _ => None,
        }
    }

    /// Puts a thing under its key, or takes it away.
    pub fn set_item(&mut self, key: &str, item: Option<Item>) {
        let name = key.split_once('/').map_or("", |(_, name)| name);
        match item {
            Some(Item::Team(team)) => put(&mut self.teams, team, |team| &team.name),
            Some(Item::Queue(queue)) => put(&mut self.queues, queue, |queue| &queue.name),
            Some(Item::Workload(workload)) => {
                put(&mut self.workloads, workload, |workload| &workload.name);
            }
            Some(Item::OperatorKeys(keys)) => self.operator_keys = keys,
            None if key.starts_with("team/") => self.teams.retain(|team| &*team.name != name),
            None if key.starts_with("queue/") => self.queues.retain(|queue| &*queue.name != name),
            None if key.starts_with("workload/") => {
                self.workloads.retain(|workload| &*workload.name != name);
            }
            None => self.operator_keys.clear(),
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
        let mut keys = Vec::new();
        for operation in &edit.operations {
            if let Err(conflict) = next.step(operation) {
                conflicts.push(conflict);
            }
            let key = operation.item_key();
            if !keys.contains(&key) {
                keys.push(key);
            }
        }
        if !conflicts.is_empty() {
            return Err(Error::new(Kind::Conflict, conflicts.join("\n")));
        }
        if next.operator_keys.is_empty() && !self.operator_keys.is_empty() {
            let message = "the last key of an operator can't be withdrawn; give another one first";
            return Err(Error::new(Kind::Forbidden, message));
        }
        let changes = keys.into_iter().filter_map(|key| {
            let (before, after) = (self.item(&key), next.item(&key));
            let change = Change { key, before, after };
            (change.before != change.after).then_some(change)
        });
        let changes = changes.collect();
        *self = next;
        Ok(changes)
    }

    fn step(&mut self, operation: &Operation) -> std::result::Result<(), String> {
        let key = operation.item_key();
        match operation {
            Operation::SetTeam(name, replacement) => {
                let present = self.team(name).map(Team::terms);
                expect(&key, &present, replacement)?;
                let keys = self
                    .team(name)
                    .map_or_else(Vec::new, |team| team.keys.clone());
                let team = replacement.after.map(|terms| Team {
                    name: name.clone(),
                    share: terms.share,
                    limit: terms.limit,
                    keys,
                });
                self.set_item(&key, team.map(Item::Team));
            }
            Operation::SetQueue(name, replacement) => {
                expect(&key, &self.queue(name).cloned(), replacement)?;
                self.set_item(&key, replacement.after.clone().map(Item::Queue));
            }
            Operation::SetWorkload(name, replacement) => {
                expect(&key, &self.workload(name).cloned(), replacement)?;
                self.set_item(&key, replacement.after.clone().map(Item::Workload));
            }
            Operation::GiveKey(holder, hash) => {
                let keys = self.keys_mut(holder)?;
                if !keys.contains(hash) {
                    keys.push(hash.clone());
                }
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

    /// Returns the edit that turns this configuration into `next`.
    pub fn edit_to(&self, id: Name, next: &Self) -> Edit {
        let mut operations = Vec::new();
        for name in names(&self.teams, &next.teams, |team| &team.name) {
            let (before, after) = (self.team(&name), next.team(&name));
            let terms = Replacement {
                before: before.map(Team::terms),
                after: after.map(Team::terms),
            };
            operations.push(Operation::SetTeam(name.clone(), terms));
            if let Some(after) = after {
                let old = before.map_or(&[][..], |team| &team.keys);
                operations.extend(key_steps(&Holder::Team(name), old, &after.keys));
            }
        }
        for name in names(&self.queues, &next.queues, |queue| &queue.name) {
            let queue = Replacement {
                before: self.queue(&name).cloned(),
                after: next.queue(&name).cloned(),
            };
            operations.push(Operation::SetQueue(name, queue));
        }
        for name in names(&self.workloads, &next.workloads, |workload| &workload.name) {
            let workload = Replacement {
                before: self.workload(&name).cloned(),
                after: next.workload(&name).cloned(),
            };
            operations.push(Operation::SetWorkload(name, workload));
        }
        operations.extend(key_steps(
            &Holder::Operator,
            &self.operator_keys,
            &next.operator_keys,
        ));
        operations.retain(Operation::does_something);
        Edit {
            id,
            operator: String::new(),
            intent: String::new(),
            base: None,
            operations,
        }
    }
}

impl Operation {
    fn does_something(&self) -> bool {
        match self {
            Self::SetTeam(_, replacement) => replacement.before != replacement.after,
            Self::SetQueue(_, replacement) => replacement.before != replacement.after,
            Self::SetWorkload(_, replacement) => replacement.before != replacement.after,
            Self::GiveKey(..) | Self::WithdrawKey(..) => true,
        }
    }
}

fn key_steps(holder: &Holder, before: &[Hash], after: &[Hash]) -> Vec<Operation> {
    let given = after.iter().filter(|hash| !before.contains(hash));
    let withdrawn = before.iter().filter(|hash| !after.contains(hash));
    given
        .map(|hash| Operation::GiveKey(holder.clone(), hash.clone()))
        .chain(withdrawn.map(|hash| Operation::WithdrawKey(holder.clone(), hash.clone())))
        .collect()
}

fn names<T>(before: &[T], after: &[T], name: impl Fn(&T) -> &Name) -> Vec<Name> {
    let mut names: Vec<_> = before
        .iter()
        .chain(after)
        .map(|item| name(item).clone())
        .collect();
    names.sort();
    names.dedup();
    names
}

fn put<T>(items: &mut Vec<T>, item: T, name: impl Fn(&T) -> &Name) {
    match items.iter_mut().find(|known| name(known) == name(&item)) {
        Some(known) => *known = item,
        None => items.push(item),
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
    pub fn follow(&mut self, entry: &Entry) {
        for change in &entry.changes {
            self.set_item(&change.key, change.after.clone());
        }
        self.version = entry.sequence;
    }
}
