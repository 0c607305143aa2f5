//! Stores the names of the workers that may run something, and reads those that the previous owner
//! has stored.
//!
//! The rules are in [`basilbridge_workflow::engine::Engine::roster`].

use std::{
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
    election,
    owned_row::OwnedRow,
    owner::Owner,
    record::{
        self,
        JOINED_KEY,
        LEAVING_KEY,
        WORKERS_KEY, //
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
}

/// Reads the stored names, and retries until the store has answered.
pub(crate) async fn read(owner: &Owner) -> Stored {
    let (row, names) = OwnedRow::read(owner, WORKERS_KEY).await;
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
    Stored { row, roster }
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
        let values = (
            record::encode(&roster.names),
            record::encode(&roster.joined),
        );
        let (names, joined) = match values {
            (Ok(names), Ok(joined)) => (names, joined),
            (Err(error), _) | (_, Err(error)) => {
                slog::error!(owner.node.log, "workers can't be encoded"; "error" => %error);
                return;
            }
        };
        stored.roster = None;
        let others = vec![election::put(JOINED_KEY, joined), no_departures()];
        if stored.row.replace(&owner, names, others).await {
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
