//! Removes the rows of finished jobs after the retention time.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::Result,
    id::Name, //
};
use basilbridge_platform::table::{
    Outcome,
    Put, //
};

use crate::{
    owner::Owner,
    record::{
        self,
        PROGRESS_TABLE, //
    },
};

/// The time between two removals.
pub const INTERVAL: Duration = Duration::from_secs(5);

/// The maximum number of jobs per removal: rows must go as fast as jobs come.
pub const MAX_JOBS: usize = 1000;

/// The maximum number of entries of a transaction, conditions included.
const MAX_ENTRIES: usize = 100;

/// Removes the rows of expired jobs until the future is dropped.
pub(crate) async fn run(owner: Arc<Owner>) {
    loop {
        owner.node.timer.sleep(INTERVAL).await;
        let ids = {
            let engine = owner.engine();
            engine.expired(owner.node.config.retention, MAX_JOBS, owner.now())
        };
        if ids.is_empty() {
            continue;
        }
        match remove(&owner, &ids).await {
            Ok(true) => {
                owner.engine().forget_retired(&ids);
                slog::info!(owner.node.log, "jobs removed"; "count" => ids.len());
            }
            Ok(false) => owner.end_ownership("the claim was replaced"),
            Err(error) => {
                slog::info!(owner.node.log, "jobs not removed"; "error" => %error);
            }
        }
    }
}

/// Removes the rows of jobs. Returns whether this VM still owns the workers.
///
/// Removes a job before its progress, since a job without progress counts as not begun and would be
/// run again.
async fn remove(owner: &Owner, ids: &[Name]) -> Result<bool> {
    for puts in job_removals(ids) {
        owner.node.transact(Vec::new(), puts).await?;
    }
    for puts in progress_removals(ids) {
        let checks = vec![owner.ownership.check()];
        let outcome = owner.node.transact(checks, puts).await?;
        if !matches!(outcome, Outcome::Committed(_)) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Returns the transactions that remove the jobs and their cancellations. Each is about one part of
/// the job table.
pub fn job_removals(ids: &[Name]) -> Vec<Vec<Put>> {
    let mut parts: BTreeMap<Name, Vec<Put>> = BTreeMap::new();
    for id in ids {
        let table = record::job_table(id);
        let puts = parts.entry(table.clone()).or_default();
        for key in [id.to_string(), record::cancel_key(id)] {
            puts.push(removal(&table, key));
        }
    }
    let of_part = parts.values().flat_map(|puts| puts.chunks(MAX_ENTRIES));
    of_part.map(<[Put]>::to_vec).collect()
}

/// Returns the transactions that remove the progress of the jobs, each on one condition.
pub fn progress_removals(ids: &[Name]) -> Vec<Vec<Put>> {
    let progress = PROGRESS_TABLE.into();
    let chunks = ids.chunks(MAX_ENTRIES - 1);
    let puts = chunks.map(|ids| {
        let removals = ids.iter().map(|id| removal(&progress, id.to_string()));
        removals.collect()
    });
    puts.collect()
}

fn removal(table: &Name, key: String) -> Put {
    Put {
        table: table.clone(),
        key,
        value: None,
    }
}
