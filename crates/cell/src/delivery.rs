//! Jobs that the feed has delivered and that wait for a proof of ownership.
//!
//! An owner that has been replaced without noticing still receives the feed. If it accepted a job
//! from there, its successor would have to wait for all workers before it starts that job. So an
//! owner accepts a row only after one of its conditional writes was committed at a later version,
//! which shows that it held the claim when the row was written.

use basilbridge_common::id::Version;
use basilbridge_platform::table::Row;

/// The rows that wait, in the order of the feed.
#[derive(Debug, Default)]
pub struct Delivery {
    waiting: Vec<Row>,
    /// The highest version at which this VM is known to have held the claim.
    confirmed: Version,
    /// The version up to which all rows have been delivered.
    complete: Version,
}

/// Rows that may be applied.
#[derive(Debug, Default, PartialEq)]
pub struct Ready {
    /// The rows, some of which may have been returned before.
    pub rows: Vec<Row>,
    /// The version up to which all rows have been returned. It may be below those of the rows: the
    /// parts of a table are read at different versions.
    pub complete: Version,
}

impl Delivery {
    /// Adds rows from the feed, after which all rows up to the version `complete` are delivered.
    /// Returns those that may be applied now.
    pub fn deliver(&mut self, rows: Vec<Row>, complete: Version) -> Ready {
        self.waiting.extend(rows);
        self.complete = self.complete.max(complete);
        self.take_confirmed()
    }

    /// Records that this VM held the claim at `version`. Returns the rows that may be applied now.
    pub fn confirm(&mut self, version: Version) -> Ready {
        self.confirmed = self.confirmed.max(version);
        self.take_confirmed()
    }

    /// Returns whether no rows wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn take_confirmed(&mut self) -> Ready {
        let confirmed = self.confirmed;
        let rows = self
            .waiting
            .extract_if(.., |row| row.version <= confirmed)
            .collect();
        Ready {
            rows,
            complete: self.complete.min(confirmed),
        }
    }
}
