//! Computes the edit that leads from one configuration to another.

use basilbridge_common::id::Name;

use crate::{
    change::{
        Edit,
        Holder,
        Operation,
        Replacement, //
    },
    configuration::{
        Configuration,
        Team, //
    },
    key::Hash,
};

impl Configuration {
    /// Returns the edit that turns this configuration into `next`.
    pub fn edit_to(&self, id: Name, next: &Self) -> Edit {
        let mut operations = Vec::new();
        for name in sorted_names(&self.teams, &next.teams, |team| &team.name) {
            let (before, after) = (self.team(&name), next.team(&name));
            let settings = Replacement {
                before: before.map(Team::settings),
                after: after.map(Team::settings),
            };
            let holder = Holder::Team(name.clone());
            let old = before.map_or(&[][..], |team| &team.keys);
            let new = after.map_or(&[][..], |team| &team.keys);
            let keys = key_operations(&holder, old, new);
            let set = Operation::SetTeam(name, settings);
            // Keys can be given only to a team that exists, and a team can be removed only once
            // it has no keys.
            if after.is_some() {
                operations.push(set);
                operations.extend(keys);
            } else {
                operations.extend(keys);
                operations.push(set);
            }
        }
        for name in sorted_names(&self.queues, &next.queues, |queue| &queue.name) {
            let queue = Replacement {
                before: self.queue(&name).cloned(),
                after: next.queue(&name).cloned(),
            };
            operations.push(Operation::SetQueue(name, queue));
        }
        for name in sorted_names(&self.workloads, &next.workloads, |workload| &workload.name) {
            let workload = Replacement {
                before: self.workload(&name).cloned(),
                after: next.workload(&name).cloned(),
            };
            operations.push(Operation::SetWorkload(name, workload));
        }
        operations.push(Operation::SetEvacuated(Replacement {
            before: Some(self.evacuated.clone()),
            after: Some(next.evacuated.clone()),
        }));
        operations.extend(key_operations(
            &Holder::Operator,
            &self.operator_keys,
            &next.operator_keys,
        ));
        operations.retain(Operation::has_effect);
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
    fn has_effect(&self) -> bool {
        match self {
            Self::SetTeam(_, replacement) => replacement.before != replacement.after,
            Self::SetQueue(_, replacement) => replacement.before != replacement.after,
            Self::SetWorkload(_, replacement) => replacement.before != replacement.after,
            Self::SetEvacuated(replacement) => replacement.before != replacement.after,
            Self::GiveKey(..) | Self::WithdrawKey(..) => true,
        }
    }
}

fn key_operations(holder: &Holder, before: &[Hash], after: &[Hash]) -> Vec<Operation> {
    let given = after.iter().filter(|hash| !before.contains(hash));
    let withdrawn = before.iter().filter(|hash| !after.contains(hash));
    given
        .map(|hash| Operation::GiveKey(holder.clone(), hash.clone()))
        .chain(withdrawn.map(|hash| Operation::WithdrawKey(holder.clone(), hash.clone())))
        .collect()
}

fn sorted_names<T>(before: &[T], after: &[T], name: impl Fn(&T) -> &Name) -> Vec<Name> {
    let mut names: Vec<_> = before
        .iter()
        .chain(after)
        .map(|item| name(item).clone())
        .collect();
    names.sort();
    names.dedup();
    names
}
