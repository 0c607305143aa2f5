//! A caller's request as it is forwarded to the owner of a shard.

use std::time::Duration;

use basilbridge_derives::data;
use serde_with::DurationMilliSeconds;

use crate::{
    id::{
        Job,
        Name,
        Shard, //
    },
    job::Request,
};

/// A caller's request after authentication.
#[data]
pub struct Call {
    /// The id of the request in the logs of all VMs and workers that handle it.
    pub request_id: Name,
    /// The team to which the key of the request belongs.
    pub team: Name,
    /// The time until the caller's timeout.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "remaining_ms")]
    pub remaining: Duration,
    /// The requested operation.
    pub verb: Verb,
}

/// An operation that a caller requests.
#[data]
pub enum Verb {
    /// Submit a job to this shard.
    Submit(Shard, Box<Request>),
    /// Return the status of a job.
    Status(Job),
    /// Wait until a job is in a final state, or the caller's timeout has passed.
    Wait(Job),
    /// Cancel a job.
    Cancel(Job),
}

impl Verb {
    /// Returns the shard whose owner handles the request.
    pub fn shard(&self) -> &Shard {
        match self {
            Self::Submit(shard, _) => shard,
            Self::Status(job) | Self::Wait(job) | Self::Cancel(job) => &job.shard,
        }
    }
}
