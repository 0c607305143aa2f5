//! Writes the edits that this VM takes, several in one transaction.
//!
//! While one transaction is on its way, further edits gather and ride in the next. All VMs write
//! under the condition that the head of the trail has not moved, so that each edit is judged on
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
    active_configuration::ActiveConfiguration, //
    audit,
};

/// How many edits ride in one transaction at most.
pub const MAX_BATCH: usize = 200;

/// How many edits may wait for a transaction.
const MAX_WAITING: usize = 1000;

/// How often a transaction that lost against another VM's is made anew.
const ATTEMPTS: u32 = 40;

/// How long to wait before a write whose outcome is not known is looked for.
const SETTLE_INTERVAL: Duration = Duration::from_millis(250);

/// The entries that one transaction wrote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Batch {
    /// The position before the first of them.
    pub after: Version,
    /// The position of the last of them.
    pub last: Version,
}

struct Request {
    edit: Edit,
    answer: oneshot::Sender<Result<Version>>,
}

/// Takes edits; clones share one writer.
#[derive(Clone)]
pub struct Committer {
    requests: mpsc::Sender<Request>,
    committed: watch::Receiver<Batch>,
    writer: Arc<Mutex<Option<Writer>>>,
}

/// Writes what a [`Committer`] takes.
struct Writer {
    requests: mpsc::Receiver<Request>,
    committed: watch::Sender<Batch>,
    configuration: Arc<ActiveConfiguration>,
    platform: Platform,
    timer: timer::Service,
}

impl Committer {
    /// Makes a committer that writes nothing before it is started.
    pub fn new(
        configuration: Arc<ActiveConfiguration>,
        platform: Platform,
        timer: timer::Service,
    ) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        let (told, committed) = watch::channel(Batch::default());
        let writer = Writer {
            requests: receiver,
            committed: told,
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

    /// Starts to write, once.
    pub fn start(&self, tasks: &mut JoinSet<()>) {
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(writer) = writer.take() {
            tasks.spawn(writer.run());
        }
    }

    /// Carries out an edit and returns the version that it led to.
    ///
    /// An edit whose id has taken effect before returns the version of then.
    pub async fn commit(&self, edit: Edit) -> Result<Version> {
        let (answer, answered) = oneshot::channel();
        let request = Request { edit, answer };
        if self.requests.try_send(request).is_err() {
            return Err(Error::new(Kind::Overloaded, "too many edits wait"));
        }
        let lost = || Error::new(Kind::WriteUnknown, "the VM stopped before the edit settled");
        answered.await.map_err(|_| lost())?
    }

    /// Returns a watch of the last batch that this VM wrote itself.
    pub fn committed(&self) -> watch::Receiver<Batch> {
        self.committed.clone()
    }
}

impl Writer {
    /// Writes until all committers are gone.
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
            // A trim that fails is made up for after the next transaction.
            let _ = audit::archive_segment(&self.platform, id).await;
        }
    }

    async fn write(&self, mut batch: Vec<Request>) {
        let mut doubt = false;
        for _ in 0..ATTEMPTS {
            match self.attempt(&mut batch).await {
                Ok(()) if batch.is_empty() => return,
                Ok(()) => {}
                // The condition on the head lets at most one of both writes take effect.
                Err(error) if doubt || error.kind == Kind::WriteUnknown => {
                    doubt = true;
                    self.timer.sleep(SETTLE_INTERVAL).await;
                }
                Err(error) => return refuse(batch, &error),
            }
        }
        let message = "the edit could not be settled; its id tells later whether it took effect";
        let kind = if doubt {
            Kind::WriteUnknown
        } else {
            Kind::Overloaded
        };
        refuse(batch, &Error::new(kind, message));
    }

    /// Tries one transaction and takes from the batch what is answered.
    async fn attempt(&self, batch: &mut Vec<Request>) -> Result<()> {
        let tables = &self.platform.tables;
        let (head, row) = audit::read_head(tables).await?;
        self.configuration.refresh(tables).await?;
        let configuration = self.configuration.current();
        if configuration.version != head.sequence {
            return Ok(());
        }
        let (entries, answers) = prepare(batch, &head, &configuration, self.timer.now());
        let write_id = format!("configuration/{:032x}", rand::random::<u128>());
        let outcome = match entries.as_slice() {
            [] => None,
            entries => Some(audit::append(tables, write_id, (&head, row), entries).await?),
        };
        if let Some(Outcome::Conflict(rows)) = outcome {
            let known = rows.iter().filter(|row| *row.table == *audit::EDITS_TABLE);
            for row in known {
                let version = row.value.as_deref().map(serde_json::from_str);
                if let Some(Ok(version)) = version {
                    answer(batch, &row.key, Ok(version));
                }
            }
            return Ok(());
        }
        self.configuration.extend(&entries);
        for (id, result) in answers {
            let result = match result {
                Err(conflict) => audit::find_edit(tables, &id).await?.ok_or(conflict),
                ok => ok,
            };
            answer(batch, &id, result);
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

/// Sets the whole configuration of a platform, for set-ups in one process.
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

type Answers = Vec<(Name, Result<Version>)>;

/// Carries out the edits one after the other on a copy of the configuration.
fn prepare(
    batch: &[Request],
    head: &Head,
    configuration: &Configuration,
    now: Millis,
) -> (Vec<Entry>, Answers) {
    let mut next = configuration.clone();
    let mut hash = head.hash.clone();
    let mut entries: Vec<Entry> = Vec::new();
    let mut answers = Vec::new();
    for Request { edit, .. } in batch {
        if entries.iter().any(|entry| entry.id == edit.id) {
            continue;
        }
        let changes = match next.apply(edit) {
            Err(conflict) => {
                answers.push((edit.id.clone(), Err(conflict)));
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
        answers.push((edit.id.clone(), Ok(next.version)));
    }
    (entries, answers)
}

fn answer(batch: &mut Vec<Request>, id: &str, result: Result<Version>) {
    let (answered, waiting) = std::mem::take(batch)
        .into_iter()
        .partition(|request| *request.edit.id == *id);
    *batch = waiting;
    for request in answered {
        // A caller that has given up asks again with the same id.
        let _ = request.answer.send(result.clone());
    }
}

fn refuse(batch: Vec<Request>, error: &Error) {
    for request in batch {
        let _ = request.answer.send(Err(error.clone()));
    }
}
