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
use basilbridge_workflow::journal::{
    Batch,
    Record, //
};
use futures_util::StreamExt;

use crate::{
    call_size,
    large_progress::{
        self,
        SharedJobs, //
    },
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

/// The delay before a failed removal of segments is repeated.
const REMOVAL_RETRY: Duration = Duration::from_secs(1);

/// Stores rounds until the future is dropped.
pub(crate) async fn run(owner: Arc<Owner>, large: large_progress::Jobs) {
    let large = SharedJobs::new(large);
    loop {
        let has_obsolete = large_progress::lock(&large).has_obsolete();
        tokio::select! {
            () = owner.unstored.notified() => {}
            () = owner.node.timer.sleep(REMOVAL_RETRY), if has_obsolete => {}
        }
        owner.node.timer.sleep(BATCH_DELAY).await;
        loop {
            if large_progress::lock(&large).has_obsolete() {
                large_progress::remove_obsolete(&owner, &large).await;
            }
            let Some(round) = owner.engine().begin_round() else {
                break;
            };
            if store_all(&owner, &large, &round.batches).await {
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
async fn store_all(owner: &Owner, large: &SharedJobs, batches: &[Batch]) -> bool {
    let latency = owner.node.store_latency().max(Duration::from_millis(1));
    let writes = (MAX_QUEUE.as_millis() / latency.as_millis()).min(MAX_WRITES.into());
    let calls: Vec<_> = batches
        .iter()
        .map(|batch| store(owner, large, batch))
        .collect();
    futures_util::stream::iter(calls)
        .buffer_unordered((writes as usize).max(1))
        .fold(true, |all, stored| future::ready(all && stored))
        .await
}

/// Stores one batch. Returns whether its records are stored.
///
/// The records go into as many calls as the store takes them in, those that don't fit into a row one
/// by one. None holds back another one.
async fn store(owner: &Owner, large: &SharedJobs, batch: &Batch) -> bool {
    let rows: Vec<Option<Put>> = batch
        .records
        .iter()
        .map(|record| whole_row(owner, large, record))
        .collect();
    let is_one_call = rows.iter().all(Option::is_some);
    if is_one_call && call_size::fits(rows.iter().flatten(), batch.records.len() + 1) {
        return store_rows(owner, large, batch, rows.into_iter().flatten().collect()).await;
    }
    let mut calls: Vec<(Batch, Vec<Put>)> = Vec::new();
    let mut in_segments = Vec::new();
    for (record, row) in batch.records.iter().zip(rows) {
        match row {
            Some(put) => add_row(&mut calls, record, put),
            None => in_segments.push(record),
        }
    }
    let mut all = true;
    for (batch, puts) in calls {
        all &= store_rows(owner, large, &batch, puts).await;
    }
    for record in in_segments {
        all &= large_progress::store(owner, large, record).await;
    }
    all
}

/// Adds a record with its row to the last call, or to a new one if the store does not take both.
fn add_row(calls: &mut Vec<(Batch, Vec<Put>)>, record: &Record, put: Put) {
    let has_room = calls.last().is_some_and(|(batch, puts)| {
        call_size::fits(puts.iter().chain([&put]), batch.records.len() + 2)
    });
    if !has_room {
        calls.push((Batch::default(), Vec::new()));
    }
    if let Some((batch, puts)) = calls.last_mut() {
        batch.records.push(record.clone());
        puts.push(put);
    }
}

/// Returns the row that holds all of a record, or `None` if it needs several.
fn whole_row(owner: &Owner, large: &SharedJobs, record: &Record) -> Option<Put> {
    let is_final = record.progress.state.is_final();
    if !is_final && large_progress::lock(large).contains(&record.job) {
        return None;
    }
    let max_bytes = owner.node.config.max_row_bytes();
    let value = record::encode_progress(&record.progress, max_bytes).ok()?;
    Some(Put {
        table: PROGRESS_TABLE.into(),
        key: record.job.to_string(),
        value: Some(value),
    })
}

/// Stores records that take a row each. Returns whether they are stored.
async fn store_rows(owner: &Owner, large: &SharedJobs, batch: &Batch, puts: Vec<Put>) -> bool {
    let mut checks = vec![owner.ownership.check()];
    checks.extend(batch.records.iter().map(|record| Precondition {
        table: PROGRESS_TABLE.into(),
        key: record.job.to_string(),
        version: record.replaces,
    }));
    let sent = owner.now();
    match owner.node.transact(checks, puts).await {
        Ok(Outcome::Committed(version)) => {
            owner.confirm_ownership(sent, version);
            owner
                .engine_after_stall()
                .handle_stored(batch, version, owner.now());
            let finished = batch.records.iter();
            for record in finished.filter(|record| record.progress.state.is_final()) {
                large_progress::lock(large).finish(&record.job);
            }
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
