//! How many calls may be sent again.
//!
//! Only calls that provably were not carried out are sent again, and each first call pays for a
//! part of a retry, so that retries can't multiply a load. See `docs/design/retries.md`.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        PoisonError, //
    },
};

use basilbridge_common::id::Name;

/// So many first calls pay for one retry.
pub const CALLS_PER_RETRY: u32 = 10;

/// The most retries that a team can have saved.
pub const MAX_TEAM_RETRIES: u32 = 20;

/// The most retries that all teams of a VM can have saved together.
pub const MAX_VM_RETRIES: u32 = 100;

#[derive(Debug)]
struct Inner {
    /// What is left, counted in calls.
    vm: u32,
    /// What is left for each team that has sent calls again, counted in calls.
    teams: HashMap<Name, u32>,
}

/// The retries that are left, for each team and for the VM.
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
    /// Takes note of a first call.
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

    /// Takes one retry, if both the team and the VM have one left.
    pub fn take(&self, team: &Name) -> bool {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let full = MAX_TEAM_RETRIES * CALLS_PER_RETRY;
        let left = inner.teams.get(team).copied().unwrap_or(full);
        let both = left
            .checked_sub(CALLS_PER_RETRY)
            .zip(inner.vm.checked_sub(CALLS_PER_RETRY));
        let Some((team_left, vm_left)) = both else {
            return false;
        };
        inner.teams.insert(team.clone(), team_left);
        inner.vm = vm_left;
        true
    }
}
