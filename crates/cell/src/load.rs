//! What a new owner reads before it acts.

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
    progress::Progress, //
};

use crate::{
    feed,
    owner::Owner,
    record::{
        self,
        PROGRESS_TABLE, //
    },
};

/// How long to wait after a read that failed.
const RETRY: Duration = Duration::from_millis(100);

/// From which versions on the tables are to be followed.
pub(crate) struct From {
    pub(crate) workers: Version,
    pub(crate) jobs: Version,
}

/// Reads a table until all its parts have answered.
async fn read(owner: &Owner, table: Name) -> (Vec<Row>, Version) {
    loop {
        match feed::read_all(&owner.node, std::slice::from_ref(&table)).await {
            Ok(read) => return read,
            Err(error) => {
                owner.node.note_store_failure(&error);
                owner.node.timer.sleep(RETRY).await;
            }
        }
    }
}

async fn read_parts(owner: &Owner, parts: Vec<Name>) -> (Vec<Row>, Version) {
    let reads = parts.into_iter().map(|part| read(owner, part));
    let parts = futures_util::future::join_all(reads).await;
    let version = parts.iter().map(|(_, version)| *version).min();
    let rows = parts.into_iter().flat_map(|(rows, _)| rows).collect();
    (rows, version.unwrap_or_default())
}

/// Reads workers, jobs and their progress into the engine.
pub(crate) async fn load(owner: &Owner) -> From {
    let node = &owner.node;
    let worker_table = node.clients.store.worker_table.clone();
    let ((job_rows, jobs), (progress_rows, _), (worker_rows, workers)) = tokio::join!(
        read_parts(owner, record::job_tables()),
        read(owner, PROGRESS_TABLE.into()),
        read(owner, worker_table),
    );
    let now = owner.now();
    let decode = &node.clients.formats.worker;
    let mut engine = owner.engine();
    for row in &worker_rows {
        let text = row.value.as_deref();
        if let Some(entry) = text.and_then(|text| decode(&row.key, text)) {
            engine.expect_workers([entry.name.clone()]);
            engine.register_worker(entry, now);
        }
    }
    let mut stored: HashMap<&str, (Progress, Version)> = HashMap::new();
    // A job of which the progress can't be read may have run, and is not started again.
    let mut unreadable: HashSet<&str> = HashSet::new();
    for row in &progress_rows {
        match record::read(&node.log, row) {
            Some(progress) => {
                stored.insert(&row.key, (progress, row.version));
            }
            None => {
                unreadable.insert(&row.key);
            }
        }
    }
    let mut accepted: Vec<(&Row, Accepted)> = job_rows
        .iter()
        .filter(|row| record::cancelled_job(&row.key).is_none())
        .filter(|row| !unreadable.contains(row.key.as_str()))
        .filter_map(|row| Some((row, record::read(&node.log, row)?)))
        .collect();
    // What a team is owed is counted in the order of acceptance.
    accepted.sort_by_key(|(row, accepted)| (accepted.accepted_at, row.version));
    for (row, accepted) in accepted {
        let progress = stored.remove(row.key.as_str());
        engine.accept(&row.key.as_str().into(), accepted, progress, true, now);
    }
    // A job whose removal was cut off has only its progress left.
    for id in stored.into_keys() {
        engine.retire(&id.into(), now);
    }
    for row in &job_rows {
        if let Some(id) = record::cancelled_job(&row.key) {
            engine.cancel(id, now);
        }
    }
    engine.set_accepted_version(jobs);
    engine.finish_loading(now);
    From { workers, jobs }
}
