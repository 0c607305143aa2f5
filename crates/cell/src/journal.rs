//! Stores the progress of jobs, after which workers may forget the ends of their runs.

use std::{
    future,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::id::{
    Name,
    Version, //
};
use basilbridge_platform::table::{
    Outcome,
    Precondition,
    Put,
    Row, //
};
use basilbridge_workflow::journal::Batch;
use futures_util::StreamExt;

use crate::{
    owner::Owner,
    record::{
        self,
        CLAIM_KEY,
        PROGRESS_TABLE, //
    },
};

/// The delay before a round is written, so that ends from several workers share a write.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// The delay after a failed write.
const RETRY: Duration = Duration::from_millis(150);

/// The time for which writes may queue at the part of the store, well below their timeout.
const MAX_QUEUE: Duration = Duration::from_secs(1);

/// The most writes in flight.
const MAX_WRITES: u32 = 8;

/// Stores rounds until the future is dropped.
pub(crate) async fn run(owner: Arc<Owner>) {
    loop {
        owner.unstored.notified().await;
        owner.node.timer.sleep(BATCH_DELAY).await;
        loop {
            let Some(round) = owner.engine().begin_round() else {
                break;
            };
            if store_all(&owner, &round.batches).await {
                owner.engine().finish_round(&round.ends);
                owner.signal_stored_ends(&round.ends);
            } else {
                owner.node.timer.sleep(RETRY).await;
            }
            if owner.has_ended() {
                return;
            }
        }
    }
}

/// Stores the batches of a round, several at a time: an owner that is short of processor time takes long
/// from an answer to the next write. Returns whether all of them are stored.
async fn store_all(owner: &Owner, batches: &[Batch]) -> bool {
    let latency = owner.node.store_latency().max(Duration::from_millis(1));
    let writes = (MAX_QUEUE.as_millis() / latency.as_millis()).min(MAX_WRITES.into());
    let calls: Vec<_> = batches.iter().map(|batch| store(owner, batch)).collect();
    futures_util::stream::iter(calls)
        .buffer_unordered((writes as usize).max(1))
        .fold(true, |all, stored| future::ready(all && stored))
        .await
}

/// Stores one batch. Returns whether its records are stored.
async fn store(owner: &Owner, batch: &Batch) -> bool {
    let mut checks = vec![owner.ownership.check()];
    let mut puts = Vec::with_capacity(batch.records.len());
    let max_bytes = owner.node.config.max_row_bytes();
    for entry in &batch.records {
        checks.push(Precondition {
            table: PROGRESS_TABLE.into(),
            key: entry.job.to_string(),
            version: entry.replaces,
        });
        match record::encode_progress(&entry.progress, max_bytes) {
            Ok(value) => puts.push(Put {
                table: PROGRESS_TABLE.into(),
                key: entry.job.to_string(),
                value: Some(value),
            }),
            Err(error) => {
                slog::error!(owner.node.log, "progress can't be encoded";
                    "job" => %entry.job, "error" => %error);
            }
        }
    }
    let sent = owner.now();
    match owner.node.transact(checks, puts).await {
        Ok(Outcome::Committed(version)) => {
            owner.confirm_ownership(sent, version);
            owner
                .engine_after_stall()
                .handle_stored(batch, version, owner.now());
            // Starts may have waited for it.
            owner.wake.notify_one();
            true
        }
        Ok(Outcome::Conflict(rows)) => {
            handle_conflict(owner, batch, &rows);
            false
        }
        Err(error) => {
            slog::info!(owner.node.log, "batch not stored"; "records" => batch.records.len(),
                "error" => %error);
            owner.engine().handle_store_failure(batch, &[]);
            false
        }
    }
}

/// Handles a failed condition: either another VM has claimed ownership, or an earlier write with
/// unknown outcome had taken effect.
fn handle_conflict(owner: &Owner, batch: &Batch, rows: &[Row]) {
    let claim = rows.iter().find(|row| row.key == CLAIM_KEY);
    if claim.is_some_and(|row| row.version != owner.ownership.version) {
        owner.end_ownership("the claim was replaced");
        return;
    }
    let mut versions: Vec<(Name, Version)> = Vec::new();
    for entry in &batch.records {
        let found = rows.iter().find(|row| *row.key == *entry.job);
        versions.push((
            entry.job.clone(),
            found.map_or(Version(0), |row| row.version),
        ));
    }
    slog::info!(owner.node.log, "batch not stored: row versions differ"; "records" => batch.records.len());
    owner.engine().handle_store_failure(batch, &versions);
}
