//! Stores which workers do not answer or are about to leave and what they may run, and reads what
//! the previous owner has stored.
//!
//! The rules are in [`basilbridge_workflow::silence`].

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::unit::Millis;
use basilbridge_workflow::silence::Record;

use crate::{
    owned_row::{
        self,
        OwnedRow, //
    },
    owner::Owner,
    packing,
    record::{
        self,
        SILENT_KEY, //
    },
    stall,
};

/// The time between two looks at which workers do not answer. A worker that answers again waits for
/// as long, and for the write, until it gets new work.
const INTERVAL: Duration = Duration::from_millis(100);

/// The age from which a reading of the store's clock is not used for another record. Clocks may differ
/// a little in speed.
const CLOCK_AGE: Duration = Duration::from_secs(5);

/// The longest suspension between a reading and its use, far below the margin of a lease.
const MAX_SUSPENSION: Duration = Duration::from_millis(20);

/// The minimum time between two writes that only leave out tasks which have ended.
const SHORTENING_INTERVAL: Duration = Duration::from_secs(1);

/// A stored record.
#[derive(Debug)]
pub(crate) struct Stored {
    row: OwnedRow,
    /// The record; `None` if the content of the row is not known.
    pub(crate) record: Option<Record>,
}

/// Reads the stored record, and retries until the store has answered.
pub(crate) async fn read(owner: &Owner) -> Stored {
    let (mut row, found) = OwnedRow::read(owner, SILENT_KEY).await;
    let decoded = found.map(|found| record::decode_row(&owner.node.log, &found));
    if let Some(None) = decoded {
        discard(owner, &mut row).await;
    }
    let record = decoded.flatten().unwrap_or_default();
    Stored {
        row,
        record: Some(record),
    }
}

/// Replaces a record that can't be decoded. A later owner may be able to decode it, and would rely on
/// it that this one followed it.
async fn discard(owner: &Owner, row: &mut OwnedRow) {
    match record::encode(&Record::default()) {
        Ok(value) => while !row.replace(owner, value.clone(), Vec::new()).await {},
        Err(error) => {
            slog::error!(owner.node.log, "silent workers can't be encoded"; "error" => %error);
        }
    }
}

/// When the store's clock was read, by two clocks of this VM.
///
/// A time that is told by an older reading would be too early if the VM was suspended since: its steady
/// clock stood still.
#[derive(Debug)]
struct ClockAge {
    read_at: Millis,
    /// Time of a clock that counts suspended time.
    read_at_boot_time: Duration,
}

impl ClockAge {
    fn new(now: Millis) -> Self {
        Self {
            read_at: now,
            read_at_boot_time: stall::boot_time(),
        }
    }

    /// Returns whether the store's clock has to be read again at `now`.
    fn is_old(&self, now: Millis) -> bool {
        let passed = now.since(self.read_at);
        let with_suspension = stall::boot_time().saturating_sub(self.read_at_boot_time);
        passed >= CLOCK_AGE || with_suspension.saturating_sub(passed) > MAX_SUSPENSION
    }
}

/// Keeps the stored record up to date until the future is dropped.
pub(crate) async fn run(owner: Arc<Owner>, mut stored: Stored) {
    let mut written_at = owner.now();
    // The engine has a reading that is as old as the load.
    let mut clock_age: Option<ClockAge> = None;
    loop {
        let now = owner.now();
        let is_clock_old = |age: &Option<ClockAge>| age.as_ref().is_none_or(|age| age.is_old(now));
        if is_clock_old(&clock_age) && !is_current(&stored, &owner.engine().silence(now), true) {
            clock_age = Some(ClockAge::new(now));
            owned_row::read_clock(&owner).await;
            continue;
        }
        let may_shorten = now.since(written_at) >= SHORTENING_INTERVAL;
        let record = {
            let mut engine = owner.engine();
            let record = engine.silence(now);
            let is_due = !is_current(&stored, &record, may_shorten) && !is_clock_old(&clock_age);
            is_due.then(|| {
                // Under one lock, so that its workers get no work that it does not name.
                engine.announce_silence(&record);
                record
            })
        };
        let Some(record) = record else {
            owner.node.timer.sleep(INTERVAL).await;
            continue;
        };
        let max_bytes = owner.node.config.max_row_bytes();
        let value = match packing::encode(&record, max_bytes) {
            Ok(value) => value,
            Err(error) => {
                slog::error!(owner.node.log, "silent workers can't be encoded"; "error" => %error);
                owner.node.timer.sleep(SHORTENING_INTERVAL).await;
                continue;
            }
        };
        stored.record = None;
        if stored.row.replace(&owner, value, Vec::new()).await {
            slog::info!(owner.node.log, "silent workers recorded"; "epoch" => owner.epoch(),
                "workers" => record.workers.len(),
                "tasks" => record.workers.values().map(Vec::len).sum::<usize>(),
                "ended" => record.ended.values().map(Vec::len).sum::<usize>(),
                "unknown" => record.unknown.len(), "leases" => record.leases.len());
            owner.engine().confirm_silence(&record);
            owner.wake.notify_one();
            stored.record = Some(record);
            written_at = owner.now();
        }
    }
}

/// Returns whether nothing has to be written: a record without workers is as good as none, whoever
/// made it, and one with more tasks is as safe.
fn is_current(stored: &Stored, record: &Record, may_shorten: bool) -> bool {
    stored.record.as_ref().is_some_and(|stored| {
        stored.equals(record)
            || (stored.is_empty() && record.is_empty())
            || (!may_shorten && stored.covers(record))
    })
}
