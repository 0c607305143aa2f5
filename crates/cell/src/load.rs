//! Loads the state of workers and jobs from the store into the engine of a new owner.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration, //
};

use basilbridge_common::id::{
    Name,
    Version, //
};
use basilbridge_platform::table::Row;
use basilbridge_workflow::{
    job::Accepted,
    progress::Progress,
    report::WorkerInfo, //
};

use futures_util::StreamExt;

use crate::{
    feed,
    large_progress,
    node::Node,
    owner::Owner,
    record::{
        self,
        PROGRESS_TABLE,
        SEGMENT_TABLE,
        Stored, //
    },
    roster,
    segments,
    sharing,
    silence,
    tombstone::Tombstone, //
};

/// The delay after a failed read.
const RETRY: Duration = Duration::from_millis(100);

/// The versions after which to follow changes of the worker and job tables.
pub(crate) struct FeedStart {
    pub(crate) workers: Version,
    pub(crate) jobs: Version,
    /// The names of workers that the previous owner has stored.
    pub(crate) roster: roster::Stored,
    /// What the previous owner has stored of workers that did not answer it.
    pub(crate) silence: silence::Stored,
    /// The jobs whose progress takes several rows.
    pub(crate) large: large_progress::Jobs,
}

/// Reads all rows of a table, and retries until the store has answered.
pub(crate) async fn read_table(owner: &Owner, table: Name) -> (Vec<Row>, Version) {
    loop {
        match feed::read_all(&owner.node, std::slice::from_ref(&table)).await {
            Ok((rows, version)) if version >= owner.ownership.version => return (rows, version),
            // It may lack what the owner before has written.
            Ok(_) => {}
            Err(error) => owner.node.record_store_failure(&error),
        }
        owner.node.timer.sleep(RETRY).await;
    }
}

async fn read_parts(owner: &Owner, parts: Vec<Name>) -> (Vec<Row>, Version) {
    let concurrency = owner.node.config.budget().concurrent_reads(parts.len());
    let reads = futures_util::stream::iter(parts).map(|part| read_table(owner, part));
    let parts: Vec<(Vec<Row>, Version)> = reads.buffer_unordered(concurrency).collect().await;
    let version = parts.iter().map(|(_, version)| *version).min();
    let rows = parts.into_iter().flat_map(|(rows, _)| rows).collect();
    (rows, version.unwrap_or_default())
}

/// Decodes an entry of the list of workers. Counts and logs one that names no worker: the list has
/// other writers.
pub(crate) fn decode_worker(node: &Node, name: &str, text: &str) -> Option<WorkerInfo> {
    let entry = (node.clients.formats.worker)(name, text);
    let reason = match entry.as_ref().map(WorkerInfo::check) {
        Some(Ok(())) => return entry,
        Some(Err(reason)) => reason,
        None => "it can't be decoded",
    };
    node.metrics.count("worker_entries_ignored");
    if node.decisions.admit() {
        slog::warn!(node.log, "worker entry ignored"; "worker" => name, "why" => reason);
    }
    None
}

/// Reads workers, jobs and their progress into the engine. Returns where to start following
/// changes.
pub(crate) async fn load(owner: &Owner) -> FeedStart {
    let node = &owner.node;
    let worker_table = node.clients.store.worker_table.clone();
    let begun = owner.now();
    let (
        (job_rows, jobs),
        (progress_rows, _),
        (segment_rows, _),
        (worker_rows, workers),
        usage,
        roster,
        silence,
    ) = tokio::join!(
        read_parts(owner, record::job_tables()),
        read_table(owner, PROGRESS_TABLE.into()),
        read_table(owner, SEGMENT_TABLE.into()),
        read_table(owner, worker_table),
        sharing::read(node),
        roster::read(owner),
        silence::read(owner),
    );
    let now = owner.now();
    let mut engine = owner.engine();
    if let Some(usage) = &usage {
        engine.restore_usage(usage, now);
    }
    match &roster.roster {
        Some(roster) => engine.inherit_roster(roster),
        None => engine.expect_unknown_workers(),
    }
    engine.confirm_capacities(begun, node.store_returned_at());
    for row in &worker_rows {
        let text = row.value.as_deref();
        if let Some(entry) = text.and_then(|text| decode_worker(node, &row.key, text)) {
            engine.expect_workers([entry.name.clone()]);
            engine.register_worker(entry, now);
        }
    }
    let segments = segment_rows.iter();
    let segments = segments.filter_map(|row| Some((row.key.as_str(), row.value.as_deref()?)));
    let segments: HashMap<&str, &str> = segments.collect();
    let mut heads: Vec<(&str, segments::Head)> = Vec::new();
    let mut stored: HashMap<&str, (Progress, Version)> = HashMap::new();
    // A job whose progress can't be decoded may have run, so it is not started again.
    let mut undecodable: HashSet<&str> = HashSet::new();
    for row in &progress_rows {
        let decode = |text: &str| match record::decode_progress(text)? {
            Stored::Whole(progress) => Ok((progress, None)),
            Stored::Segmented(head) => {
                let progress = large_progress::assemble(&row.key, &head, &segments)?;
                Ok((progress, Some(head)))
            }
        };
        match record::decode_row_with(&node.log, row, decode) {
            Some((progress, head)) => {
                stored.insert(&row.key, (progress, row.version));
                heads.extend(head.map(|head| (row.key.as_str(), head)));
            }
            None => {
                undecodable.insert(&row.key);
            }
        }
    }
    let (tombstones, job_rows): (Vec<Row>, Vec<Row>) = job_rows
        .into_iter()
        .partition(|row| Tombstone::of(row).is_some());
    for row in tombstones {
        engine.retire(&row.key.into(), now);
    }
    let mut accepted: Vec<(&Row, Accepted)> = job_rows
        .iter()
        .filter(|row| record::cancelled_job(&row.key).is_none())
        .filter(|row| !undecodable.contains(row.key.as_str()))
        .filter_map(|row| Some((row, record::decode_row(&node.log, row)?)))
        .collect();
    // The fair shares of teams are computed in the order in which jobs were accepted.
    accepted.sort_by_key(|(row, accepted)| (accepted.accepted_at, row.version));
    for (row, accepted) in accepted {
        let progress = stored.remove(row.key.as_str());
        let id = row.key.as_str().into();
        engine.accept(&id, accepted, row.version, progress, true, now);
    }
    // A job whose removal was interrupted has only its progress left.
    for id in stored.into_keys() {
        engine.retire(&id.into(), now);
    }
    for row in &job_rows {
        if let Some(id) = record::cancelled_job(&row.key) {
            engine.cancel(id, now);
        }
    }
    if let Some(record) = &silence.record {
        engine.inherit_silence(record.clone());
    }
    let mut large = large_progress::Jobs::default();
    for (job, head) in &heads {
        if engine.job(job).is_some() {
            large.add_head(&(*job).into(), head);
        }
    }
    for row in &segment_rows {
        large.add_row(&row.key, |job| {
            engine.job(job).is_some() || undecodable.contains(job)
        });
    }
    engine.set_accepted_version(jobs);
    engine.finish_loading(now);
    FeedStart {
        workers,
        jobs,
        roster,
        silence,
        large,
    }
}
