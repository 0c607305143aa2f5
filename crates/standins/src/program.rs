//! The programs that stand-in workers simulate.

use std::time::Duration;

use basilbridge_derives::data;
use serde_with::DurationMilliSeconds;

/// A simulated program, given as a JSON document in the payload of a task.
///
/// Any other payload is a program that ends at once and returns the payload.
#[data]
pub struct Program {
    /// The run time, serialised in milliseconds; without it the program runs until it is stopped.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "run_ms")]
    pub run: Option<Duration>,
    /// The output of the program.
    #[serde(default)]
    pub output: String,
    /// Whether the program fails.
    #[serde(default)]
    pub fail: bool,
}

impl Program {
    /// Parses a payload.
    pub fn parse(payload: &str) -> Self {
        serde_json::from_str(payload).unwrap_or_else(|_| Self {
            run: Some(Duration::ZERO),
            output: payload.to_owned(),
            fail: false,
        })
    }
}
