//! A VM's part of the calls that the fleet makes to the table service.

use basilbridge_common::unit::Millis;

/// A call, in the thousandths that a budget counts in.
const CALL: u64 = 1000;

/// The calls that a VM may make at once after a quiet time.
const BURST: u64 = 4;

/// A budget of calls that fills with time.
#[derive(Debug, Clone)]
pub struct CallBudget {
    fleet_calls_per_second: u64,
    millicalls: u64,
    filled: Millis,
}

impl CallBudget {
    /// Makes a full budget out of what the whole fleet may call in a second.
    pub fn new(fleet_calls_per_second: u64) -> Self {
        Self {
            fleet_calls_per_second,
            millicalls: BURST * CALL,
            filled: Millis::default(),
        }
    }

    /// Adds what has come free since the last time, with so many VMs that share the budget.
    pub fn refill(&mut self, now: Millis, vms: usize) {
        let millis = now.since(self.filled).as_millis() as u64;
        let vms = vms.max(1) as u64;
        // A call a second is a millicall a millisecond.
        let added = millis.saturating_mul(self.fleet_calls_per_second) / vms;
        if added == 0 {
            return;
        }
        let most = BURST.max(self.fleet_calls_per_second / vms) * CALL;
        self.millicalls = self.millicalls.saturating_add(added).min(most);
        self.filled = now;
    }

    /// Takes one call out, if there is one.
    pub fn take(&mut self) -> bool {
        let enough = self.millicalls >= CALL;
        if enough {
            self.millicalls -= CALL;
        }
        enough
    }
}
