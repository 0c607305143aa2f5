//! Whether the configuration of this VM may be out of date.
//!
//! While a VM can't reach the store, its peers answer its requests, by a configuration that may be
//! newer than its own. Once the store answers again, a request that was judged by the old
//! configuration would undo a change that callers have already seen. So the VM judges requests by
//! itself only after it has read its configuration again.

use basilbridge_common::unit::Millis;

/// When the configuration was last read, and since when it may be out of date.
#[derive(Debug, Default)]
pub struct Freshness {
    doubted_at: Option<Millis>,
}

impl Freshness {
    /// Records that other VMs may have a newer configuration at `now`.
    pub fn doubt(&mut self, now: Millis) {
        self.doubted_at = Some(now);
    }

    /// Records that the configuration was read from the store, by a call that began at `begun`.
    pub fn confirm(&mut self, begun: Millis) {
        // An answer to an earlier call may have been on its way while the store was unreachable.
        if self.doubted_at.is_some_and(|doubted| begun >= doubted) {
            self.doubted_at = None;
        }
    }

    /// Returns whether the configuration was read since it was last doubted.
    pub fn is_current(&self) -> bool {
        self.doubted_at.is_none()
    }
}
