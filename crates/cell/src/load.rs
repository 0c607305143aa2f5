//! What a new owner reads before it acts.

use std::{
    collections::HashMap,
    time::Duration, //
};

use basilbridge_common::{
    error::Result,
    id::Version, //
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

/// Reads workers, jobs and their progress into the engine.
pub(crate) async fn load(owner: &Owner) -> From {
    loop {
        match try_load(owner).await {
            Ok(from) => return from,
            Err(error) => {
                owner.node.note_store_failure(&error);
                owner.node.timer.sleep(RETRY).await;
            }
        }
    }
}

async fn try_load(owner: &Owner) -> Result<From> {
    let node = &owner.node;
    let worker_table = [node.outside.store.worker_table.clone()];
    let (job_tables, progress_table) = (record::job_tables(), [PROGRESS_TABLE.into()]);
    let (jobs, progress, workers) = tokio::join!(
        feed::read_all(node, &job_tables),
        feed::read_all(node, &progress_table),
        feed::read_all(node, &worker_table),
    );
    let ((job_rows, jobs), (progress_rows, _), (worker_rows, workers)) =
        (jobs?, progress?, workers?);
    let now = owner.now();
    let decode = &node.outside.formats.worker;
    let mut engine = owner.engine();
    for row in &worker_rows {
        let text = row.value.as_deref();
        if let Some(entry) = text.and_then(|text| decode(&row.key, text)) {
            engine.expect([entry.name.clone()]);
            engine.list(entry, now);
        }
    }
    let mut stored: HashMap<&str, (Progress, Version)> = HashMap::new();
    for row in &progress_rows {
        let text = row.value.as_deref();
        if let Some(progress) = text.and_then(|text| record::decode(text).ok()) {
            stored.insert(&row.key, (progress, row.version));
        }
    }
    let mut accepted: Vec<(&Row, Accepted)> = job_rows
        .iter()
        .filter(|row| record::cancelled_job(&row.key).is_none())
        .filter_map(|row| Some((row, record::decode(row.value.as_deref()?).ok()?)))
        .collect();
    // What a team is owed is counted in the order of acceptance.
    accepted.sort_by_key(|(row, accepted)| (accepted.at, row.version));
    for (row, accepted) in accepted {
        let progress = stored.remove(row.key.as_str());
        engine.accept(&row.key.as_str().into(), accepted, progress, true, now);
    }
    for row in &job_rows {
        if let Some(id) = record::cancelled_job(&row.key) {
            engine.cancel(id, now);
        }
    }
    engine.taken_up_to(jobs);
    Ok(From { workers, jobs })
}
