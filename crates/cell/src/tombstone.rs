//! Rows that stand in the place of a job which was cancelled before it was stored.
//!
//! A submission is stored on the condition that there is no row of its job, and the store may carry
//! out a write without an answer much later. So a cancellation that finds no job leaves a row, on
//! which that write fails. See `docs/design/cancellations.md`.

use basilbridge_platform::table::Row;

/// What stands in the place of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Tombstone {
    /// The job was cancelled, and nobody has submitted it.
    Unsubmitted,
    /// It was submitted after that. It is cancelled and never runs.
    Cancelled,
}

impl Tombstone {
    /// Returns what stands in the row of a job, or `None` if that is the job itself.
    pub(crate) fn of(row: &Row) -> Option<Self> {
        let all = [Self::Unsubmitted, Self::Cancelled];
        let value = row.value.as_deref()?;
        all.into_iter().find(|tombstone| tombstone.value() == value)
    }

    /// Returns the value of the row. No job is encoded as a text.
    pub(crate) fn value(self) -> &'static str {
        match self {
            Self::Unsubmitted => "\"unsubmitted\"",
            Self::Cancelled => "\"cancelled\"",
        }
    }
}
