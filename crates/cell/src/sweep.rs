//! Removes the rows of jobs that have been over for long enough.

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

/// How often rows are removed.
const INTERVAL: Duration = Duration::from_secs(5);

/// The most jobs that are removed at once; each has up to two rows in its part, and a transaction
/// holds 100 entries.
const MOST_JOBS: usize = 45;

/// Removes rows until the future is dropped.
pub(crate) async fn run(owner: Arc<Owner>) {
    loop {
        owner.node.timer.sleep(INTERVAL).await;
        let ids = {
            let engine = owner.engine();
            engine.expired(owner.node.config.retention, MOST_JOBS, owner.now())
        };
        if ids.is_empty() {
            continue;
        }
        match remove(&owner, &ids).await {
            Ok(true) => {
                owner.engine().forget_retired(&ids);
                slog::info!(owner.node.log, "jobs removed"; "count" => ids.len());
            }
            Ok(false) => owner.depose("the claim was replaced"),
            Err(error) => {
                slog::info!(owner.node.log, "jobs not removed"; "error" => %error);
            }
        }
    }
}

/// Removes the rows of jobs; says whether the title still holds.
///
/// A job goes before its progress: a job without progress would be taken for one that has not begun.
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
    let checks = vec![owner.title.check()];
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
