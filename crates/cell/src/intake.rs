//! What callers ask, carried out against the store.
//!
//! Any VM does this without the owner, so jobs are accepted while the title changes hands.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Name,
        Version, //
    },
    unit::Millis,
};
use basilbridge_platform::table::{
    Check,
    Outcome,
    Put,
    Row, //
};
use basilbridge_workflow::{
    job::{
        Accepted,
        State, //
    },
    progress::Progress,
};

use crate::{
    announce,
    clients::Range,
    feed,
    node::Node,
    record::{
        self,
        PROGRESS_TABLE, //
    },
};

/// When a caller may come back after the store could not be reached: other VMs may reach it.
pub(crate) const STORE_RETRY: Duration = Duration::from_secs(1);

/// How long to wait before a read that told an old state is made again.
const RETRY: Duration = Duration::from_millis(80);

/// What is kept of a caller's time for the answer to reach it.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// For how long the owner's count of jobs is used: two of its signs and the way of one.
const COUNT_AGE: Duration = Duration::from_millis(1300);

fn unavailable(error: &Error) -> Error {
    Error::new(Kind::StoreUnavailable, error.message.clone()).retry_after(STORE_RETRY)
}

/// Returns the condition that a row in the part of a job has `version`.
fn job_row(id: &str, key: &str, version: Version) -> Check {
    Check {
        table: record::job_table(id),
        key: key.to_owned(),
        version,
    }
}

/// Writes a row, unless it is there already: then it was written by the same call, sent before.
///
/// Returns the version if this call wrote it.
async fn create(node: &Node, checks: Vec<Check>, put: Put) -> Result<Option<Version>> {
    match node.transact(checks, vec![put]).await {
        Ok(Outcome::Committed(version)) => Ok(Some(version)),
        Ok(Outcome::Conflict(_)) => Ok(None),
        Err(error) if error.kind == Kind::WriteUnknown => {
            Err(Error::new(Kind::OutcomeUnknown, error.message))
        }
        Err(error) => Err(unavailable(&error)),
    }
}

/// Accepts a job, once, however often it is sent.
pub(crate) async fn accept(node: &Arc<Node>, id: &str, accepted: &Accepted) -> Result<()> {
    let put = Put {
        table: record::job_table(id),
        key: id.to_owned(),
        value: Some(record::encode(accepted)?),
    };
    let created = create(node, vec![job_row(id, id, Version(0))], put).await?;
    if let Some(version) = created {
        announce::send(node, id, version, Some(accepted));
    }
    Ok(())
}

/// Reads one row, or nothing where there is surely none.
async fn get(node: &Node, table: &str, key: &str, deadline: Millis) -> Result<Option<Row>> {
    let seen = node.seen();
    loop {
        let range = Range {
            table: table.into(),
            from: Some(key.to_owned()),
            to: Some(format!("{key}\0")),
        };
        let page = node.read(range).await.map_err(|error| {
            node.note_store_failure(&error);
            unavailable(&error)
        })?;
        let row = page.rows.into_iter().find(|row| row.value.is_some());
        // An answer that is older than what was seen before may miss a row.
        if row.is_some() || page.version >= seen {
            return Ok(row);
        }
        if node.timer.now().after(RETRY + ANSWER_TIME) >= deadline {
            let message = "the store answers with an old state";
            return Err(Error::new(Kind::StoreUnavailable, message).retry_after(STORE_RETRY));
        }
        node.timer.sleep(RETRY).await;
    }
}

fn gone() -> Error {
    Error::new(Kind::Gone, "there is no such job")
}

async fn stored_state(node: &Node, id: &str, deadline: Millis) -> Result<Option<State>> {
    let row = get(node, PROGRESS_TABLE, id, deadline).await?;
    let progress = row.and_then(|row| row.value);
    let progress: Option<Progress> = progress.map(|text| record::decode(&text)).transpose()?;
    Ok(progress.map(|progress| progress.state))
}

/// Returns where a job stands.
pub(crate) async fn state(node: &Node, id: &str, deadline: Millis) -> Result<State> {
    let stored = stored_state(node, id, deadline).await?;
    if let Some(state) = stored {
        return Ok(state);
    }
    get(node, &record::job_table(id), id, deadline)
        .await?
        .ok_or_else(gone)?;
    Ok(State::Queued)
}

/// Cancels a job, unless it is over.
pub(crate) async fn cancel(node: &Arc<Node>, id: &str, deadline: Millis) -> Result<()> {
    let job = get(node, &record::job_table(id), id, deadline)
        .await?
        .ok_or_else(gone)?;
    let key = record::cancel_key(id);
    let checks = vec![job_row(id, id, job.version), job_row(id, &key, Version(0))];
    let put = Put {
        table: record::job_table(id),
        key,
        value: Some("{}".to_owned()),
    };
    if let Some(version) = create(node, checks, put).await? {
        announce::send(node, id, version, None);
    }
    Ok(())
}

/// Returns how many jobs of a queue have not begun.
pub(crate) async fn waiting(node: &Arc<Node>, queue: &Name) -> Result<u64> {
    let now = node.timer.now();
    let told = {
        let view = node.view();
        let sign = view.sign.as_ref();
        sign.filter(|sign| now.since(sign.seen) < COUNT_AGE)
            .and_then(|sign| sign.pulse.unstarted.as_ref())
            .map(|counts| counts.get(queue).copied().unwrap_or(0))
    };
    match told {
        Some(count) => Ok(count),
        None => count_stored(node, queue).await,
    }
}

/// Counts from the store; a job that has begun and has no end stored counts too.
async fn count_stored(node: &Node, queue: &Name) -> Result<u64> {
    let (job_tables, progress_table) = (record::job_tables(), [PROGRESS_TABLE.into()]);
    let (jobs, progress) = tokio::join!(
        feed::read_all(node, &job_tables),
        feed::read_all(node, &progress_table),
    );
    let (jobs, _) = jobs.map_err(|error| unavailable(&error))?;
    let (progress, _) = progress.map_err(|error| unavailable(&error))?;
    let begun = progress.iter().map(|row| row.key.as_str());
    let cancelled = jobs
        .iter()
        .filter_map(|row| record::cancelled_job(&row.key));
    let past: std::collections::HashSet<&str> = begun.chain(cancelled).collect();
    let waiting = jobs.iter().filter(|row| !past.contains(row.key.as_str()));
    let mut count = 0;
    for row in waiting {
        if record::cancelled_job(&row.key).is_none()
            && let Some(accepted) = record::read::<Accepted>(&node.log, row)
            && accepted.queue == *queue
        {
            count += 1;
        }
    }
    Ok(count)
}
