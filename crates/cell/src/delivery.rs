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
}

impl Delivery {
    /// Adds rows from the feed. Returns those that may be applied now.
    pub fn deliver(&mut self, rows: Vec<Row>) -> Vec<Row> {
        self.waiting.extend(rows);
        self.take_confirmed()
    }

    /// Records that this VM held the claim at `version`. Returns the rows that may be applied now.
    pub fn confirm(&mut self, version: Version) -> Vec<Row> {
        self.confirmed = self.confirmed.max(version);
        self.take_confirmed()
    }

    /// Returns whether no rows wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn take_confirmed(&mut self) -> Vec<Row> {
        let confirmed = self.confirmed;
        self.waiting
            .extract_if(.., |row| row.version <= confirmed)
            .collect()
    }
}
