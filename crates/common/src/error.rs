//! The error kinds and the HTTP status, gRPC code and exit code of each.
//!
//! `docs/ERRORS.md` has the same table, and a test compares the two.

use std::{
    fmt,
    time::Duration, //
};

use basilbridge_derives::{
    data,
    kind, //
};
use serde_with::DurationMilliSeconds;

/// Whether the work of a failed request ran.
#[kind]
pub enum Ran {
    /// The work did not run and will not run.
    No,
    /// The work ran.
    Yes,
    /// It is not known whether the work ran.
    Unknown,
}

/// The status codes of an error kind, and whether the work ran and may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Properties {
    /// The HTTP status code.
    pub http_status: u16,
    /// The gRPC status code, as its number.
    pub grpc_code: i32,
    /// The exit code of the command-line client.
    pub exit_code: u8,
    /// Whether the work ran.
    pub ran: Ran,
    /// Whether the same request may be sent again.
    pub retryable: bool,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $status:literal, $code:literal, $exit:literal, $ran:ident, $retry:literal;)*) => {
        /// The kinds of error that any part of the system returns.
        #[kind]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the status codes and the retry rule of this kind.
            pub const fn properties(self) -> Properties {
                match self {
                    $(Self::$kind => Properties {
                        http_status: $status,
                        grpc_code: $code,
                        exit_code: $exit,
                        ran: Ran::$ran,
                        retryable: $retry,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    Malformed = 400, 3, 64, No, false;
    /// The body or a header exceeds its size limit.
    TooLarge = 413, 3, 65, No, false;
    /// The sender took too long to send its request.
    SlowRequest = 408, 4, 66, No, true;
    /// The key is missing, invalid or withdrawn.
    Unauthorized = 401, 16, 67, No, false;
    /// The key is valid, but does not permit this operation.
    Forbidden = 403, 7, 68, No, false;
    /// The requested resource does not exist.
    NotFound = 404, 5, 69, No, false;
    /// The job does not exist, or no longer exists.
    Gone = 410, 5, 87, No, false;
    /// The method is not allowed on this path.
    MethodNotAllowed = 405, 12, 70, No, false;
    /// The state has changed since it was read.
    Conflict = 409, 10, 71, No, false;
    /// The work exceeds the capacity of every worker, or by itself exceeds the limit of its team.
    Impossible = 422, 9, 72, No, false;
    /// The team or the VM accepts no more work at present.
    Overloaded = 429, 8, 73, No, true;
    /// The deadline passed before the work started.
    Expired = 504, 4, 74, No, true;
    /// This VM is draining.
    Draining = 503, 14, 75, No, true;
    /// This VM does not own the shard.
    NotOwner = 503, 14, 76, No, true;
    /// No owner of the shard can be reached, and the request was not sent.
    Unreachable = 503, 14, 77, No, true;
    /// The platform's service cannot be reached, and the request needs it.
    StoreUnavailable = 503, 14, 78, No, true;
    /// The epoch of a command is lower than one that the worker has seen.
    StaleEpoch = 409, 9, 79, No, true;
    /// A write was sent, and its outcome is not known yet.
    WriteUnknown = 503, 2, 80, Unknown, false;
    /// The work was sent to a worker, and its outcome is not known.
    OutcomeUnknown = 502, 2, 81, Unknown, false;
    /// The reply of a worker was truncated.
    Truncated = 502, 15, 82, Unknown, false;
    /// The work ran and failed.
    TaskFailed = 500, 13, 83, Yes, false;
    /// The work was stopped after it had started.
    Stopped = 500, 1, 84, Yes, false;
    /// The configuration on this VM is older than allowed.
    StaleConfiguration = 503, 14, 85, No, true;
    /// An internal error of this program.
    Internal = 500, 13, 86, Unknown, false;
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Writes the serialised name, which is in snake case.
        serde::Serialize::serialize(self, f)
    }
}

/// An error as it is displayed and sent over the network.
#[data]
#[derive(thiserror::Error)]
#[error("{kind}: {message}")]
pub struct Error {
    /// The kind.
    pub kind: Kind,
    /// A description of the error.
    pub message: String,
    /// How long to wait before sending the same request again.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(
        default,
        rename = "retry_after_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error of `kind` with `message`.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Returns the error with `wait` as the time before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

/// The result type of most functions in this workspace.
pub type Result<T> = std::result::Result<T, Error>;
