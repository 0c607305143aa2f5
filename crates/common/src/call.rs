//! A caller's request on its way to the owner of a shard.

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

/// A caller's request whose key has been checked.
#[data]
pub struct Call {
    /// Names the request in the logs of all who handle it.
    pub request_id: Name,
    /// The team whose key came with the request.
    pub team: Name,
    /// The time until the caller gives up.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "remaining_ms")]
    pub remaining: Duration,
    /// What is asked for.
    pub verb: Verb,
}

/// What a caller asks for.
#[data]
pub enum Verb {
    /// Run work in this shard.
    Submit(Shard, Box<Request>),
    /// Tell where a job stands.
    Status(Job),
    /// Wait until a job changes no more, or the time is over.
    Wait(Job),
    /// Cancel a job.
    Cancel(Job),
}

impl Verb {
    /// Returns the shard whose owner answers.
    pub fn shard(&self) -> &Shard {
        match self {
            Self::Submit(shard, _) => shard,
            Self::Status(job) | Self::Wait(job) | Self::Cancel(job) => &job.shard,
        }
    }
}
