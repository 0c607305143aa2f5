//! What a stand-in worker runs.

use std::time::Duration;

use basilbridge_derives::data;
use serde_with::DurationMilliSeconds;

/// A program, as a JSON document in a task's payload.
///
/// A payload that is no such document is returned as it is at once.
#[data]
pub struct Program {
    /// How long the program runs; it runs until it is stopped where this is missing.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "run_ms")]
    pub run: Option<Duration>,
    /// What the program returns.
    #[serde(default)]
    pub output: String,
    /// Whether the program fails.
    #[serde(default)]
    pub fail: bool,
}

impl Program {
    /// Reads a payload.
    pub fn parse(payload: &str) -> Self {
        serde_json::from_str(payload).unwrap_or_else(|_| Self {
            run: Some(Duration::ZERO),
            output: payload.to_owned(),
            fail: false,
        })
    }
}
