//! A row of the ownership table that only the owner writes, one write at a time.
//!
//! Each write is on the condition of the claim and of the row's version. So a write that the store
//! carries out late can neither undo a later one nor change what a later owner has read.

use std::time::Duration;

use basilbridge_common::id::Version;
use basilbridge_platform::table::{
    Outcome,
    Precondition,
    Put,
    Row, //
};

use basilbridge_workflow::store_clock::Reading;

use crate::{
    clients::Range,
    election,
    owner::Owner,
    record::{
        CLAIM_KEY,
        OWNERSHIP_TABLE, //
    },
};

/// The delay after a failed call.
const RETRY: Duration = Duration::from_millis(100);

/// A row and what is known of its version.
#[derive(Debug)]
pub(crate) struct OwnedRow {
    key: &'static str,
    /// The version of the row, zero if there is none; `None` after a write with unknown outcome.
    version: Option<Version>,
}

impl OwnedRow {
    /// Reads the row `key`, and retries until the store has answered. Returns it with its content,
    /// or with `None` if there is none.
    pub(crate) async fn read(owner: &Owner, key: &'static str) -> (Self, Option<Row>) {
        let row = read(owner, key).await;
        let version = row.as_ref().map_or(Version(0), |row| row.version);
        let owned = Self {
            key,
            version: Some(version),
        };
        (owned, row)
    }

    /// Replaces the row by `value`. `others` are written with it. Returns whether the row is known to
    /// hold `value` and waits a moment if it is not.
    pub(crate) async fn replace(&mut self, owner: &Owner, value: String, others: Vec<Put>) -> bool {
        let replaces = match self.version.take() {
            Some(version) => version,
            None => {
                let row = read(owner, self.key).await;
                row.map_or(Version(0), |row| row.version)
            }
        };
        let checks = vec![
            owner.ownership.check(),
            Precondition {
                table: OWNERSHIP_TABLE.into(),
                key: self.key.to_owned(),
                version: replaces,
            },
        ];
        let mut puts = vec![election::put(self.key, value)];
        puts.extend(others);
        let sent = owner.now();
        match owner.node.transact(checks, puts).await {
            Ok(Outcome::Committed(version)) => {
                self.version = Some(version);
                owner.confirm_ownership(sent, version);
                return true;
            }
            Ok(Outcome::Conflict(_)) => {}
            Err(error) => {
                slog::info!(owner.node.log, "row not stored"; "key" => self.key, "error" => %error);
            }
        }
        owner.node.timer.sleep(RETRY).await;
        false
    }
}

/// Reads the store's clock into the engine, and retries until the store has answered.
pub(crate) async fn read_clock(owner: &Owner) {
    read(owner, CLAIM_KEY).await;
}

/// Reads a row, and the store's clock with it. A page that is older than the claim may lack what the
/// owner before has written.
async fn read(owner: &Owner, key: &str) -> Option<Row> {
    loop {
        let range = Range {
            table: OWNERSHIP_TABLE.into(),
            from: Some(key.to_owned()),
            to: Some(format!("{key}\0")),
        };
        let sent = owner.now();
        match owner.node.read(range).await {
            Ok(page) if page.version >= owner.ownership.version => {
                if let Some(store) = page.now {
                    let received = owner.now();
                    owner.engine().set_store_clock(Reading {
                        sent,
                        received,
                        store,
                    });
                }
                return page.rows.into_iter().find(|row| row.value.is_some());
            }
            Ok(_) => {}
            Err(error) => owner.node.record_store_failure(&error),
        }
        owner.node.timer.sleep(RETRY).await;
    }
}
