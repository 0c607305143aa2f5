//! A VM's share of the calls that all VMs may make to the table service.

use basilbridge_common::unit::Millis;

/// The number of millicalls in a call.
const MILLICALLS_PER_CALL: u64 = 1000;

/// The minimum capacity of a budget, in calls.
const MIN_CAPACITY: u64 = 4;

/// A token bucket for calls, whose capacity is the calls of one second, or `MIN_CAPACITY` if that
/// is more.
#[derive(Debug, Clone)]
pub struct CallBudget {
    fleet_calls_per_second: u64,
    /// The calls that are left.
    millicalls: u64,
    refilled_at: Millis,
}

impl CallBudget {
    /// Creates a budget with `MIN_CAPACITY` calls left. All VMs together may make
    /// `fleet_calls_per_second`.
    pub fn new(fleet_calls_per_second: u64) -> Self {
        Self {
            fleet_calls_per_second,
            millicalls: MIN_CAPACITY * MILLICALLS_PER_CALL,
            refilled_at: Millis::default(),
        }
    }

    /// Adds the calls for the time since the last refill, with `vms` VMs that share the budget.
    pub fn refill(&mut self, now: Millis, vms: usize) {
        let millis = now.since(self.refilled_at).as_millis() as u64;
        let vms = vms.max(1) as u64;
        // One call per second equals one millicall per millisecond.
        let added = millis.saturating_mul(self.fleet_calls_per_second) / vms;
        if added == 0 {
            return;
        }
        let capacity = MIN_CAPACITY.max(self.fleet_calls_per_second / vms) * MILLICALLS_PER_CALL;
        self.millicalls = self.millicalls.saturating_add(added).min(capacity);
        self.refilled_at = now;
    }

    /// Takes one call from the budget, and returns whether there was one.
    pub fn take(&mut self) -> bool {
        let available = self.millicalls >= MILLICALLS_PER_CALL;
        if available {
            self.millicalls -= MILLICALLS_PER_CALL;
        }
        available
    }
}
