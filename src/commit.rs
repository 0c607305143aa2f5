//! Writes the edits that this VM accepts, several in one transaction.
//!
//! Edits that arrive during a transaction are queued for the next one. All VMs write on the
//! condition that the head of the audit trail has not changed, so that each edit is checked against
//! the configuration that it changes. See `docs/design/configuration.md`.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
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
    timer,
    unit::Millis,
};
use basilbridge_operators::{
    audit::{
        Entry,
        Head, //
    },
    change::Edit,
    configuration::Configuration,
    key::Hash,
};
use basilbridge_platform::{
    Platform,
    table::Outcome, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    task::JoinSet,
};

use crate::{
    active_configuration::ActiveConfiguration,
    audit, //
};

/// The maximum number of edits in one transaction.
pub const MAX_BATCH: usize = 200;

/// The maximum number of edits that are queued for a transaction.
const MAX_QUEUED: usize = 1000;

/// The maximum number of attempts to write a batch; an attempt fails if another VM writes first.
const MAX_ATTEMPTS: u32 = 40;

/// The delay before the next attempt after a write with unknown outcome.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The range of audit entries that one transaction wrote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Batch {
    /// The position before the first entry.
    pub after: Version,
    /// The position of the last entry.
    pub last: Version,
}

/// An edit and the channel on which its result is sent.
struct Request {
    edit: Edit,
    reply: oneshot::Sender<Result<Version>>,
}

/// Accepts edits; clones share one writer.
#[derive(Clone)]
pub struct Committer {
    requests: mpsc::Sender<Request>,
    committed: watch::Receiver<Batch>,
    writer: Arc<Mutex<Option<Writer>>>,
}

/// Writes the edits that a [`Committer`] accepts.
struct Writer {
    requests: mpsc::Receiver<Request>,
    committed: watch::Sender<Batch>,
    configuration: Arc<ActiveConfiguration>,
    platform: Platform,
    timer: timer::Service,
}

impl Committer {
    /// Creates a committer, which queues edits until it is started.
    pub fn new(
        configuration: Arc<ActiveConfiguration>,
        platform: Platform,
        timer: timer::Service,
    ) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        let (batch_sender, committed) = watch::channel(Batch::default());
        let writer = Writer {
            requests: receiver,
            committed: batch_sender,
            configuration,
            platform,
            timer,
        };
        Self {
            requests: sender,
            committed,
            writer: Arc::new(Mutex::new(Some(writer))),
        }
    }

    /// Spawns the writer; further calls do nothing.
    pub fn start(&self, tasks: &mut JoinSet<()>) {
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(writer) = writer.take() {
            tasks.spawn(writer.run());
        }
    }

    /// Applies an edit and returns the version that it led to.
    ///
    /// For an edit that has been applied before, by its id, it returns the version of that time.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Conflict`] if the edit doesn't fit the configuration, [`Kind::Overloaded`]
    /// if the queue is full or other VMs wrote first in every attempt, and [`Kind::WriteUnknown`]
    /// if the outcome is unknown.
    pub async fn commit(&self, edit: Edit) -> Result<Version> {
        let (reply, result) = oneshot::channel();
        let request = Request { edit, reply };
        if self.requests.try_send(request).is_err() {
            return Err(Error::new(Kind::Overloaded, "too many edits are queued"));
        }
        let stopped = || {
            Error::new(
                Kind::WriteUnknown,
                "the VM stopped before it could confirm the edit",
            )
        };
        result.await.map_err(|_| stopped())?
    }

    /// Returns a channel that holds the last batch that this VM wrote.
    pub fn committed(&self) -> watch::Receiver<Batch> {
        self.committed.clone()
    }
}

impl Writer {
    /// Writes edits until all committers are dropped.
    async fn run(mut self) {
        while let Some(first) = self.requests.recv().await {
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH
                && let Ok(request) = self.requests.try_recv()
            {
                batch.push(request);
            }
            self.write(batch).await;
            let id = format!("trim/{:032x}", rand::random::<u128>());
            // A failed archival is repeated after the next transaction.
            let _ = audit::archive_segment(&self.platform, id).await;
        }
    }

    /// Writes the edits of a batch and sends their results.
    async fn write(&self, mut batch: Vec<Request>) {
        let mut outcome_unknown = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(&mut batch).await {
                Ok(()) if batch.is_empty() => return,
                Ok(()) => {}
                // Trying again is safe: the condition on the head lets at most one write succeed.
                Err(error) if outcome_unknown || error.kind == Kind::WriteUnknown => {
                    outcome_unknown = true;
                    self.timer.sleep(RETRY_DELAY).await;
                }
                Err(error) => return reject(batch, &error),
            }
        }
        let message = "the edit was not confirmed in time; send it again with the same id";
        let kind = if outcome_unknown {
            Kind::WriteUnknown
        } else {
            Kind::Overloaded
        };
        reject(batch, &Error::new(kind, message));
    }

    /// Attempts one transaction and removes the edits with a known result from the batch.
    ///
    /// Leaves the batch as it is if the head has changed since it was read.
    async fn attempt(&self, batch: &mut Vec<Request>) -> Result<()> {
        let tables = &self.platform.tables;
        let (head, head_version) = audit::read_head(tables).await?;
        self.configuration.refresh(tables).await?;
        let configuration = self.configuration.current();
        if configuration.version != head.sequence {
            return Ok(());
        }
        let (entries, results) = prepare(batch, &head, &configuration, self.timer.now());
        let write_id = format!("configuration/{:032x}", rand::random::<u128>());
        let outcome = match entries.as_slice() {
            [] => None,
            entries => Some(audit::append(tables, write_id, (&head, head_version), entries).await?),
        };
        if let Some(Outcome::Conflict(rows)) = outcome {
            let applied = rows.iter().filter(|row| *row.table == *audit::EDITS_TABLE);
            for row in applied {
                let version = row.value.as_deref().map(serde_json::from_str);
                if let Some(Ok(version)) = version {
                    send_result(batch, &row.key, Ok(version));
                }
            }
            return Ok(());
        }
        self.configuration.extend(&entries);
        for (id, result) in results {
            let result = match result {
                Err(conflict) => audit::find_edit(tables, &id).await?.ok_or(conflict),
                ok => ok,
            };
            send_result(batch, &id, result);
        }
        if let Some(last) = entries.last() {
            self.committed.send_replace(Batch {
                after: head.sequence,
                last: last.sequence,
            });
        }
        Ok(())
    }
}

/// Replaces the whole configuration of a platform, for setups in one process.
pub async fn replace(
    platform: Platform,
    timer: timer::Service,
    configuration: &Configuration,
) -> Result<Version> {
    let active = Arc::new(ActiveConfiguration::new(timer.clone(), None));
    active.refresh(&platform.tables).await?;
    let id = format!("replace-{:032x}", rand::random::<u128>());
    let edit = active.current().edit_to(id.into(), configuration);
    let committer = Committer::new(active, platform, timer);
    let mut tasks = JoinSet::new();
    committer.start(&mut tasks);
    committer.commit(edit).await
}

/// The ids of edits with their results.
type Results = Vec<(Name, Result<Version>)>;

/// Applies the edits in turn to a copy of the configuration.
///
/// Returns the audit entries to write, and the result of each edit once they are written. An edit
/// that occurs twice in the batch is applied once.
fn prepare(
    batch: &[Request],
    head: &Head,
    configuration: &Configuration,
    now: Millis,
) -> (Vec<Entry>, Results) {
    let mut next = configuration.clone();
    let mut hash = head.hash.clone();
    let mut entries: Vec<Entry> = Vec::new();
    let mut results = Vec::new();
    for Request { edit, .. } in batch {
        if entries.iter().any(|entry| entry.id == edit.id) {
            continue;
        }
        let changes = match next.apply(edit) {
            Err(conflict) => {
                results.push((edit.id.clone(), Err(conflict)));
                continue;
            }
            Ok(changes) => changes,
        };
        if !changes.is_empty() {
            let entry = Entry {
                sequence: Version(next.version.0 + 1),
                at: now,
                operator: edit.operator.clone(),
                id: edit.id.clone(),
                intent: edit.intent.clone(),
                changes,
                previous: hash.clone(),
                hash: Hash::zero(),
            };
            let entry = entry.with_hash();
            next.version = entry.sequence;
            hash = entry.hash.clone();
            entries.push(entry);
        }
        results.push((edit.id.clone(), Ok(next.version)));
    }
    (entries, results)
}

/// Sends a result to all requests with this edit id and removes them from the batch.
fn send_result(batch: &mut Vec<Request>, id: &str, result: Result<Version>) {
    let (matching, waiting) = std::mem::take(batch)
        .into_iter()
        .partition(|request| *request.edit.id == *id);
    *batch = waiting;
    for request in matching {
        // A caller that no longer waits can send the same edit again.
        let _ = request.reply.send(result.clone());
    }
}

/// Sends an error to all requests of the batch.
fn reject(batch: Vec<Request>, error: &Error) {
    for request in batch {
        let _ = request.reply.send(Err(error.clone()));
    }
}
