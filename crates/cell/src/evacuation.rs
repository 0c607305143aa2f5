//! The evacuated data centres, as the configuration table names them.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_platform::table::Row;
use tokio::sync::watch;

use crate::{
    feed::Update,
    owner::Owner,
    stall, //
};

/// How long an owner waits for the table after a takeover or a stall. A store that answers at all
/// does so within this time; without the limit, nothing would start while only this table is
/// unreachable.
const READ_LIMIT: Duration = Duration::from_secs(3);

/// The evacuated data centres that a VM knows of.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    names: watch::Sender<BTreeSet<Name>>,
    /// When the latest call began whose rows are applied; `None` if the table has not been read.
    read_at: watch::Sender<Option<Millis>>,
}

impl Evacuations {
    /// Applies an update of the configuration table. `decode` returns the data centre that the row
    /// with a key evacuates, if it does that.
    pub(crate) fn apply(&self, update: &Update, decode: impl Fn(&str) -> Option<Name>) {
        let (rows, is_complete) = match update {
            Update::All(contents) => (&contents.rows, true),
            Update::Changed(contents) => (&contents.rows, false),
        };
        self.names.send_if_modified(|names| {
            let mut changed = if is_complete {
                BTreeSet::new()
            } else {
                names.clone()
            };
            // A delayed feed lists every change of a row, the newest last.
            for Row { key, value, .. } in rows {
                let Some(name) = decode(key) else {
                    continue;
                };
                if value.is_some() {
                    changed.insert(name);
                } else {
                    changed.remove(&name);
                }
            }
            let is_modified = changed != *names;
            *names = changed;
            is_modified
        });
    }

    /// Records that the table was read by a call that began at `begun`, and its rows were applied.
    pub(crate) fn confirm(&self, begun: Millis) {
        self.read_at
            .send_modify(|read_at| *read_at = (*read_at).max(Some(begun)));
    }

    /// Returns whether the table has been read completely.
    pub(crate) fn is_known(&self) -> bool {
        self.read_at.borrow().is_some()
    }

    /// Returns the evacuated data centres.
    pub(crate) fn names(&self) -> BTreeSet<Name> {
        self.names.borrow().clone()
    }

    async fn wait_for_read(&self, since: Millis) {
        let mut reads = self.read_at.subscribe();
        // The sender is a field of `self`, so it is not dropped while this waits.
        let _ = reads.wait_for(|read_at| *read_at >= Some(since)).await;
    }
}

/// Passes the evacuated data centres to the engine, now and on each change.
pub(crate) async fn follow(owner: Arc<Owner>) {
    let mut changes = owner.node.evacuations.names.subscribe();
    loop {
        changes.borrow_and_update();
        apply(&owner);
        owner.wake.notify_one();
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Passes the evacuated data centres to the engine.
fn apply(owner: &Owner) {
    let names = owner.node.evacuations.names();
    let now = owner.now();
    owner.engine().set_evacuated(names, now);
}

/// Reads the table again, and passes the evacuated data centres to the engine.
///
/// A VM may have been suspended since it last read the table, and its connection may still deliver
/// an answer from before. So a new owner, and one that was stalled, reads the table again before it
/// starts a task.
pub(crate) async fn refresh(owner: &Owner) {
    let node = &owner.node;
    while node.config.evacuation_limit.is_some() {
        let begun = stall::boot_time();
        node.reread_configuration();
        let read = node.evacuations.wait_for_read(owner.now());
        if node.timer.timeout(READ_LIMIT, read).await.is_none() {
            slog::warn!(node.log, "evacuations not read"; "epoch" => owner.epoch());
            break;
        }
        // The VM may have been suspended after the read.
        if stall::boot_time().saturating_sub(begun) <= READ_LIMIT {
            break;
        }
    }
    apply(owner);
}
