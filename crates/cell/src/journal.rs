//! Stores the progress of jobs, after which workers may forget the ends of their runs.

use std::{
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

use crate::{
    owner::Owner,
    record::{
        self,
        CLAIM_KEY,
        PROGRESS_TABLE, //
    },
};

/// The delay before a batch is written, so that ends from several workers share a write.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// The delay after a failed write.
const RETRY: Duration = Duration::from_millis(150);

/// Stores batches until the future is dropped.
pub(crate) async fn run(owner: Arc<Owner>) {
    loop {
        owner.unstored.notified().await;
        owner.node.timer.sleep(BATCH_DELAY).await;
        loop {
            let Some(batch) = owner.engine().next_batch() else {
                break;
            };
            if store(&owner, &batch).await {
                owner.signal_stored_ends(&batch.stored_ends);
            } else {
                owner.node.timer.sleep(RETRY).await;
            }
            if owner.has_ended() {
                return;
            }
        }
    }
}

/// Stores one batch. Returns whether its records are stored.
async fn store(owner: &Owner, batch: &Batch) -> bool {
    if batch.records.is_empty() {
        owner.engine().handle_stored(batch, Version(0), owner.now());
        return true;
    }
    let mut checks = vec![owner.ownership.check()];
    let mut puts = Vec::with_capacity(batch.records.len());
    for entry in &batch.records {
        checks.push(Precondition {
            table: PROGRESS_TABLE.into(),
            key: entry.job.to_string(),
            version: entry.replaces,
        });
        match record::encode(&entry.progress) {
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
            owner.engine().handle_stored(batch, version, owner.now());
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
