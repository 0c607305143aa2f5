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
const INTERVAL: Duration = Duration::from_secs(5);

/// The maximum number of jobs per removal. Each has up to two rows in its part of the job table,
/// and a transaction holds 100 entries.
const MAX_JOBS: usize = 45;

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
    let mut parts: BTreeMap<Name, Vec<Put>> = BTreeMap::new();
    for id in ids {
        let table = record::job_table(id);
        let puts = parts.entry(table.clone()).or_default();
        for key in [id.to_string(), record::cancel_key(id)] {
            puts.push(removal(&table, key));
        }
    }
    for puts in parts.into_values() {
        owner.node.transact(Vec::new(), puts).await?;
    }
    let progress = PROGRESS_TABLE.into();
    let puts = ids.iter().map(|id| removal(&progress, id.to_string()));
    let checks = vec![owner.ownership.check()];
    let outcome = owner.node.transact(checks, puts.collect()).await?;
    Ok(matches!(outcome, Outcome::Committed(_)))
}

fn removal(table: &Name, key: String) -> Put {
    Put {
        table: table.clone(),
        key,
        value: None,
    }
}
