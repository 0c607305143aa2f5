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
    /// The newest version by which a peer has judged a request of this VM.
    required: u64,
}

impl Freshness {
    /// Records that other VMs may have a newer configuration at `now`.
    pub fn doubt(&mut self, now: Millis) {
        self.doubted_at = Some(now);
    }

    /// Records that a peer has judged a request by `version` of the configuration.
    ///
    /// No read is needed for this: the feed delivers the version once the store answers.
    pub fn require(&mut self, version: u64) {
        self.required = self.required.max(version);
    }

    /// Records that the configuration was read from the store, by a call that began at `begun`.
    pub fn confirm(&mut self, begun: Millis) {
        // An answer to an earlier call may have been on its way while the store was unreachable.
        if self.doubted_at.is_some_and(|doubted| begun >= doubted) {
            self.doubted_at = None;
        }
    }

    /// Returns whether `version`, which this VM holds, was read since it was last doubted, and is
    /// not older than what peers have judged by.
    pub fn is_current(&self, version: u64) -> bool {
        self.doubted_at.is_none() && version >= self.required
    }
}
