//! Stores the names of the workers that may run something, and reads those that the previous owner
//! has stored.
//!
//! The rules are in [`basilbridge_workflow::engine::Engine::roster`].

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::id::Name;
use basilbridge_platform::table::{
    Put,
    Row, //
};
use basilbridge_workflow::roster::Roster;

use crate::{
    election, load,
    owned_row::OwnedRow,
    owner::Owner,
    record::{
        self,
        JOINED_KEY,
        LEAVING_KEY,
        ROSTER_TABLE,
        WORKERS_KEY, //
    },
    roster_rows::{
        self,
        Rows, //
    },
};

/// The minimum time between two writes. Many workers are listed within seconds after an outage.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// The minimum time between two writes that only remove names: no work waits for those.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(500);

/// The stored names.
#[derive(Debug)]
pub(crate) struct Stored {
    row: OwnedRow,
    /// The roster; `None` if a row can't be decoded or its content is not known.
    pub(crate) roster: Option<Roster>,
    /// The rows beside the first one; `None` if their content is not known.
    rows: Option<Rows>,
    /// A number above those of all such rows that may exist.
    end: usize,
}

/// Reads the stored names, and retries until the store has answered.
pub(crate) async fn read(owner: &Owner) -> Stored {
    let (row, names) = OwnedRow::read(owner, WORKERS_KEY).await;
    let head = names.as_ref().and_then(|row| row.value.as_deref());
    let end = head.map_or(0, roster_rows::row_count);
    if end > 0 {
        return read_several(owner, row, end).await;
    }
    let (_, joined) = OwnedRow::read(owner, JOINED_KEY).await;
    let decode = |found: Option<Row>| -> Option<Vec<Name>> {
        match found {
            Some(found) => record::decode_row(&owner.node.log, &found),
            None => Some(Vec::new()),
        }
    };
    let roster = match (decode(names), decode(joined)) {
        (Some(names), Some(joined)) => Some(Roster { names, joined }),
        _ => None,
    };
    Stored {
        row,
        roster,
        rows: Some(Rows::default()),
        end,
    }
}

/// Reads names that are spread over `end` rows.
async fn read_several(owner: &Owner, row: OwnedRow, end: usize) -> Stored {
    let (found, _) = load::read_table(owner, ROSTER_TABLE.into()).await;
    let values = found.iter();
    let values = values.filter_map(|row| Some((row.key.as_str(), row.value.as_deref()?)));
    let values: HashMap<&str, &str> = values.collect();
    let read = roster_rows::read(end, |key| values.get(key).copied());
    let (roster, rows) = match read {
        Ok((roster, rows)) => (Some(roster), Some(rows)),
        Err(error) => {
            slog::error!(owner.node.log, "workers can't be decoded"; "error" => %error);
            (None, None)
        }
    };
    Stored {
        row,
        roster,
        rows,
        end,
    }
}

/// Keeps the stored names up to date until the future is dropped.
pub(crate) async fn run(owner: Arc<Owner>, mut stored: Stored) {
    let timer = &owner.node.timer;
    let mut written_at = owner.now();
    loop {
        let may_remove = owner.now().since(written_at) >= REMOVAL_INTERVAL;
        let roster = {
            let mut engine = owner.engine();
            let roster = engine.roster();
            let is_due = engine.has_unstored_worker() || may_remove;
            let is_changed = stored.roster.as_ref() != Some(&roster);
            (is_changed && is_due).then(|| {
                // Under one lock, so that no worker which is about to be left out gets work.
                engine.announce_roster(&roster);
                roster
            })
        };
        let Some(roster) = roster else {
            tokio::select! {
                () = owner.roster_changed.notified() => {}
                () = timer.sleep(REMOVAL_INTERVAL) => {}
            }
            continue;
        };
        let max_bytes = owner.node.config.max_row_bytes();
        let write = match roster_rows::encode(&roster, stored.rows.as_ref(), max_bytes) {
            Ok(write) => write,
            Err(error) => {
                slog::error!(owner.node.log, "workers can't be encoded"; "error" => %error,
                    "workers" => roster.names.len());
                owner.node.metrics.count("roster_rejected");
                timer.sleep(REMOVAL_INTERVAL).await;
                continue;
            }
        };
        stored.roster = None;
        stored.rows = None;
        let count = write.rows.count();
        let mut others = write.others;
        others.extend(roster_rows::removals(count, stored.end));
        others.push(no_departures());
        stored.end = stored.end.max(count);
        if stored.row.replace(&owner, write.head, others).await {
            stored.end = count;
            stored.rows = Some(write.rows);
            owner.engine().confirm_roster(&roster);
            owner.wake.notify_one();
            stored.roster = Some(roster);
            written_at = owner.now();
            timer.sleep(MIN_INTERVAL).await;
        }
    }
}

/// Returns the write that empties the list from which owners of an earlier version take workers for
/// gone.
fn no_departures() -> Put {
    election::put(LEAVING_KEY, "[]".to_owned())
}
