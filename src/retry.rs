//! A budget that bounds how many calls are retried.
//!
//! Only calls that are known not to have been carried out are retried. Each first call adds a
//! fraction of a retry to the budget, so that retries can't multiply the load. See
//! `docs/design/retries.md`.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        PoisonError, //
    },
};

use basilbridge_common::id::Name;

/// The number of first calls that add one retry to a budget.
pub const CALLS_PER_RETRY: u32 = 10;

/// The capacity of a team's budget, in retries.
pub const MAX_TEAM_RETRIES: u32 = 20;

/// The capacity of the budget that all teams of a VM share, in retries.
pub const MAX_VM_RETRIES: u32 = 100;

#[derive(Debug)]
struct Inner {
    /// What is left for the VM. A retry takes [`CALLS_PER_RETRY`] from it.
    vm: u32,
    /// What is left for each team whose budget is not full, in the same unit.
    teams: HashMap<Name, u32>,
}

/// The retries that are left for each team and for the VM.
#[derive(Debug)]
pub struct RetryBudget {
    inner: Mutex<Inner>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        let inner = Inner {
            vm: MAX_VM_RETRIES * CALLS_PER_RETRY,
            teams: HashMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }
}

impl RetryBudget {
    /// Records a first call of a team, which adds to the budgets of the team and the VM.
    pub fn record_call(&self, team: &Name) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.vm = (inner.vm + 1).min(MAX_VM_RETRIES * CALLS_PER_RETRY);
        if let Some(left) = inner.teams.get_mut(team) {
            *left += 1;
            if *left >= MAX_TEAM_RETRIES * CALLS_PER_RETRY {
                inner.teams.remove(team);
            }
        }
    }

    /// Takes one retry if both the team and the VM have one left, and returns whether they did.
    pub fn take(&self, team: &Name) -> bool {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let full = MAX_TEAM_RETRIES * CALLS_PER_RETRY;
        let left = inner.teams.get(team).copied().unwrap_or(full);
        let remaining = left
            .checked_sub(CALLS_PER_RETRY)
            .zip(inner.vm.checked_sub(CALLS_PER_RETRY));
        let Some((team_left, vm_left)) = remaining else {
            return false;
        };
        inner.teams.insert(team.clone(), team_left);
        inner.vm = vm_left;
        true
    }
}
