//! The heartbeat of an owner, which is written every 0.5 s and must always fit into its row.

use std::collections::BTreeMap;

use basilbridge_common::{
    error::Result,
    id::Name, //
};
use basilbridge_derives::data;
use basilbridge_workflow::admission::outlook::Outlook;

use crate::packing;

/// A heartbeat of the owner.
#[data]
#[derive(Default)]
pub struct Heartbeat {
    /// The number of this heartbeat, counted from one since the claim.
    #[serde(rename = "beat")]
    pub sequence: u64,
    /// The number of jobs that have not begun, by queue; `None` until the owner has read the jobs.
    #[serde(default)]
    pub unstarted: Option<BTreeMap<Name, u64>>,
    /// The shortage that the owner sees, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outlook: Option<Outlook>,
}

impl Heartbeat {
    /// Encodes the heartbeat for a row that takes `max_bytes`.
    ///
    /// What it tells of queues and teams grows with the configuration. If that does not fit, it is left
    /// out, since an owner without heartbeats is replaced: other VMs then count the jobs in the store,
    /// and judge by the last shortage that they know of.
    ///
    /// # Errors
    ///
    /// Returns an error if the heartbeat can't be encoded.
    pub fn encode(self, max_bytes: usize) -> Result<String> {
        packing::encode(&self, max_bytes).or_else(|_| {
            let bare = Self {
                sequence: self.sequence,
                ..Self::default()
            };
            packing::encode(&bare, max_bytes)
        })
    }
}
