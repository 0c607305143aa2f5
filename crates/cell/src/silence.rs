//! Stores which workers do not answer and what they may run, and reads what the previous owner has
//! stored.
//!
//! The rules are in [`basilbridge_workflow::silence`]. Each write is on the condition of the claim and
//! of the row's version, so that one that the store carries out late can't bring a record back that
//! was withdrawn.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::id::Version;
use basilbridge_platform::table::{
    Outcome,
    Precondition,
    Put, //
};
use basilbridge_workflow::silence::Record;

use crate::{
    clients::Range,
    election,
    node::Node,
    owner::Owner,
    record::{
        self,
        OWNERSHIP_TABLE,
        SILENT_KEY, //
    },
};

/// The time between two looks at which workers do not answer. A worker that answers again waits for
/// as long, and for the write, until it gets new work.
const INTERVAL: Duration = Duration::from_millis(100);

/// The delay after a failed call.
const RETRY: Duration = Duration::from_millis(100);

/// A stored record.
#[derive(Debug, Default)]
pub(crate) struct Stored {
    /// The record; `None` if the row can't be decoded or its content is not known.
    pub(crate) record: Option<Record>,
    /// The version of the row; zero if there is none.
    pub(crate) version: Version,
}

/// Reads the stored record, and retries until the store has answered.
pub(crate) async fn read(node: &Node) -> Stored {
    loop {
        let range = Range {
            table: OWNERSHIP_TABLE.into(),
            from: Some(SILENT_KEY.to_owned()),
            to: Some(format!("{SILENT_KEY}\0")),
        };
        match node.read(range).await {
            Ok(page) => {
                return match page.rows.first() {
                    Some(row) => Stored {
                        record: record::decode_row(&node.log, row),
                        version: row.version,
                    },
                    None => Stored {
                        record: Some(Record::default()),
                        version: Version(0),
                    },
                };
            }
            Err(error) => {
                node.record_store_failure(&error);
                node.timer.sleep(RETRY).await;
            }
        }
    }
}

/// Keeps the stored record up to date until the future is dropped.
pub(crate) async fn run(owner: Arc<Owner>, mut stored: Stored) {
    let timer = &owner.node.timer;
    loop {
        let record = owner.engine().silence(owner.now());
        if is_current(&stored, &record) {
            timer.sleep(INTERVAL).await;
            continue;
        }
        owner.engine().announce_silence(&record);
        match store(&owner, &record, stored.version).await {
            Some(version) => {
                owner.engine().confirm_silence(&record);
                owner.wake.notify_one();
                stored = Stored {
                    record: Some(record),
                    version,
                };
            }
            None => {
                timer.sleep(RETRY).await;
                stored.record = None;
                stored.version = read(&owner.node).await.version;
            }
        }
    }
}

/// Returns whether nothing has to be written: a record without workers is as good as none, whoever
/// made it.
fn is_current(stored: &Stored, record: &Record) -> bool {
    stored.record.as_ref().is_some_and(|stored| {
        stored == record || (stored.workers.is_empty() && record.workers.is_empty())
    })
}

/// Replaces the row of this version. Returns the new version, or `None` if it is not known to be
/// replaced.
async fn store(owner: &Owner, record: &Record, replaces: Version) -> Option<Version> {
    let log = &owner.node.log;
    let value = match record::encode(record) {
        Ok(value) => value,
        Err(error) => {
            slog::error!(log, "silent workers can't be encoded"; "error" => %error);
            return None;
        }
    };
    let checks = vec![
        owner.ownership.check(),
        Precondition {
            table: OWNERSHIP_TABLE.into(),
            key: SILENT_KEY.to_owned(),
            version: replaces,
        },
    ];
    let put: Put = election::put(SILENT_KEY, value);
    match owner.node.transact(checks, vec![put]).await {
        Ok(Outcome::Committed(version)) => {
            slog::info!(log, "silent workers recorded"; "epoch" => owner.epoch(),
                "workers" => record.workers.len(),
                "tasks" => record.workers.values().map(Vec::len).sum::<usize>());
            Some(version)
        }
        Ok(Outcome::Conflict(_)) => None,
        Err(error) => {
            slog::info!(log, "silent workers not recorded"; "error" => %error);
            None
        }
    }
}
