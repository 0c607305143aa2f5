//! Judges submissions by the outlook of the owner, and publishes the outlook of this VM's owner.
//!
//! The rules are in [`basilbridge_workflow::admission`].

use std::{
    collections::VecDeque,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
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
    unit::Millis, //
};
use basilbridge_workflow::{
    active,
    admission::{
        judge::{
            self,
            Knowledge,
            Refusal,
            Rule,
            Submission, //
        },
        outlook::Outlook,
        retry,
        tombstones::Tombstones, //
    },
    job::Accepted,
};

use crate::{
    job_store,
    node::Node,
    owner::Owner,
    profile::Part,
    record, //
};

/// How long an outlook is used before the owner makes a new one. It visits all waiting work, and a
/// notification of a stored job is answered with it.
const OUTLOOK_LIFETIME: Duration = Duration::from_millis(200);

/// The largest outlook that is sent in reply to a notification of a stored job. A larger one comes
/// with the next heartbeat only, so that replies take a small part of the owner's link.
const MAX_REPLY_BYTES: usize = 4096;

/// The minimum time between two log lines about the outlook.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long the store may take to say whether a job is stored before the job is accepted like
/// without a shortage. A refusal has to be sent within 100 ms.
const LOOKUP_LIMIT: Duration = Duration::from_millis(80);

/// How long a write whose outcome is unknown may still be carried out. A job that is submitted again
/// in that time is not refused, since a read does not show such a write yet.
const LATE_WRITE_LIMIT: Duration = Duration::from_secs(60);

/// What this VM knows of the shortage.
#[derive(Debug)]
pub(crate) struct Admission {
    inner: Mutex<Inner>,
    /// The number of requests that could not be stored.
    unstored: AtomicU64,
}

#[derive(Debug)]
struct Inner {
    knowledge: Knowledge,
    /// The version of the last heartbeat that was taken into account.
    heartbeat: Version,
    /// Jobs whose write has an unknown outcome, with the time of the write, oldest first.
    unknown_outcomes: VecDeque<(Millis, Name)>,
    /// The cancellations of unknown jobs that this VM has stored.
    tombstones: Tombstones,
}

impl Admission {
    /// Creates the state of the process with the random number `nonce`, whose rows are kept for
    /// `retention`.
    pub(crate) fn new(nonce: u64, retention: Duration) -> Self {
        let inner = Inner {
            knowledge: Knowledge::new(nonce as f64 / u64::MAX as f64),
            heartbeat: Version(0),
            unknown_outcomes: VecDeque::new(),
            tombstones: Tombstones::new(retention),
        };
        Self {
            inner: Mutex::new(inner),
            unstored: AtomicU64::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the store may still carry out the write of the job `id`.
    pub(crate) fn record_unknown_outcome(&self, id: &str, now: Millis) {
        let mut inner = self.lock();
        let outdated = |at: Millis| now.since(at) >= LATE_WRITE_LIMIT;
        while inner
            .unknown_outcomes
            .front()
            .is_some_and(|(at, _)| outdated(*at))
        {
            inner.unknown_outcomes.pop_front();
        }
        inner.unknown_outcomes.push_back((now, id.into()));
    }

    /// Counts a cancellation of an unknown job, or refuses it if its client account has left too
    /// many of them.
    pub(crate) fn admit_tombstone(&self, team: Option<&Name>, now: Millis) -> Result<()> {
        let admitted = self.lock().tombstones.admit(team, now);
        admitted.map_err(|retry_after| {
            let message = "the client account has cancelled too many jobs that do not exist";
            Error::new(Kind::Overloaded, message).with_retry_after(retry_after)
        })
    }

    fn has_unknown_outcome(&self, id: &str, now: Millis) -> bool {
        let inner = self.lock();
        let mut recent = inner.unknown_outcomes.iter().rev();
        recent.any(|(at, job)| **job == *id && now.since(*at) < LATE_WRITE_LIMIT)
    }
}

/// The outlook of the owner.
#[derive(Debug, Default)]
pub(crate) struct Publisher {
    inner: Mutex<Published>,
}

#[derive(Debug, Default)]
struct Published {
    outlook: Option<Outlook>,
    made_at: Millis,
    logged_at: Millis,
}

/// Returns the outlook of the owner, or `None` if there is no shortage.
pub(crate) fn current(owner: &Owner) -> Option<Outlook> {
    let now = owner.now();
    let publisher = &owner.outlooks;
    let mut published = publisher
        .inner
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if now.since(published.made_at) >= OUTLOOK_LIFETIME {
        let relays = owner.node.view().nodes.len();
        let make = || owner.engine().outlook(relays, now);
        published.outlook = owner.node.clients.profile.time(Part::Outlook, make);
        published.made_at = now;
        if let Some(outlook) = &published.outlook
            && now.since(published.logged_at) >= LOG_INTERVAL
        {
            log(owner, outlook);
            published.logged_at = now;
        }
    }
    published.outlook.clone()
}

fn log(owner: &Owner, outlook: &Outlook) {
    let queues = outlook.queues.iter().map(|(name, queue)| {
        format!(
            "{name}:{}/{}/{}{}",
            queue.on_time.as_millis(),
            queue.late.as_millis(),
            queue.excess.as_millis(),
            if queue.contended { "!" } else { "" },
        )
    });
    let teams = outlook
        .teams
        .iter()
        .map(|(name, team)| format!("{name}:{}/{}", team.tokens, team.offered));
    slog::info!(owner.node.log, "outlook"; "epoch" => owner.epoch(),
        "wait_ms" => queues.collect::<Vec<_>>().join(" "),
        "teams" => teams.collect::<Vec<_>>().join(" "));
}

/// Returns the outlook as a JSON document; empty if there is no shortage or the outlook is too large
/// for a reply.
pub(crate) fn reply(owner: &Owner) -> Vec<u8> {
    let Some(outlook) = current(owner) else {
        return Vec::new();
    };
    match record::encode(&outlook) {
        Ok(text) if text.len() <= MAX_REPLY_BYTES => text.into_bytes(),
        Ok(_) => Vec::new(),
        Err(error) => {
            slog::error!(owner.node.log, "outlook can't be encoded"; "error" => %error);
            Vec::new()
        }
    }
}

/// Learns from the owner's answer to the notification of a stored job.
///
/// An empty answer says nothing: it may come from a VM that is not the owner. Heartbeats show that a
/// shortage is over.
pub(crate) fn learn_from_reply(node: &Node, reply: &[u8]) {
    if reply.is_empty() {
        return;
    }
    let text = std::str::from_utf8(reply).unwrap_or_default();
    match record::decode::<Outlook>(text) {
        Ok(outlook) => {
            let now = node.timer.now();
            node.admission.lock().knowledge.learn(outlook, now);
        }
        Err(error) => {
            slog::error!(node.log, "outlook can't be decoded"; "error" => %error);
        }
    }
}

/// Learns from the last heartbeat, or from the engine if this VM is the owner.
fn refresh(node: &Node, now: Millis) {
    let owner = node.owner().upgrade();
    if let Some(owner) = owner.filter(|owner| owner.is_loaded()) {
        let outlook = current(&owner);
        let mut inner = node.admission.lock();
        match outlook {
            Some(outlook) => inner.knowledge.learn(outlook, now),
            None => inner.knowledge.clear(),
        }
        return;
    }
    let heartbeat = {
        let seen = node.admission.lock().heartbeat;
        let view = node.view();
        let received = view.last_heartbeat.as_ref();
        received
            .filter(|received| received.version != seen)
            .cloned()
    };
    let Some(received) = heartbeat else {
        return;
    };
    let mut inner = node.admission.lock();
    inner.heartbeat = received.version;
    // An owner that has not read the jobs yet does not know whether there is a shortage.
    if received.heartbeat.unstarted.is_none() {
        return;
    }
    match received.heartbeat.outlook {
        Some(outlook) => inner.knowledge.learn(outlook, received.received_at),
        None => inner.knowledge.clear(),
    }
}

/// Returns an error with [`Kind::Overloaded`] if a job has to be refused.
///
/// A job that is stored is accepted: the caller sends it again, and it runs once.
pub(crate) async fn check(node: &Node, id: &str, accepted: &Accepted) -> Result<()> {
    let now = node.timer.now();
    refresh(node, now);
    let Err(refusal) = judge(node, accepted, now) else {
        return Ok(());
    };
    if may_be_stored(node, id).await {
        return Ok(());
    }
    let counter = match refusal.rule {
        Rule::Rate => "jobs_refused_rate",
        Rule::Late => "jobs_refused_late",
    };
    node.metrics.count(counter);
    if node.decisions.admit() {
        log_refusal(node, id, accepted, &refusal);
    }
    let message = match refusal.rule {
        Rule::Rate => "the team has used up its rate, and other work waits",
        Rule::Late => "the job could not end in time",
    };
    Err(Error::new(Kind::Overloaded, message).with_retry_after(refusal.retry_after))
}

/// Returns whether a job is stored or may be, by an earlier attempt of its caller. A refusal would be
/// untrue then.
pub(crate) async fn may_be_stored(node: &Node, id: &str) -> bool {
    let now = node.timer.now();
    node.admission.has_unknown_outcome(id, now)
        || job_store::may_be_stored(node, id, now.after(LOOKUP_LIMIT)).await
}

fn judge(node: &Node, accepted: &Accepted, now: Millis) -> std::result::Result<(), Refusal> {
    let configuration = node.configuration();
    let Some(queue) = configuration.policy.queues.get(&accepted.queue) else {
        return Ok(());
    };
    let spec = &accepted.spec;
    let submission = Submission {
        queue: &accepted.queue,
        team: accepted.team.as_ref(),
        exempt: spec.schedule.is_some() || spec.steps.iter().any(|step| step.long_running),
        objective: active::objective(queue, accepted),
        path: spec.critical_path(Duration::ZERO),
    };
    judge::judge(&mut node.admission.lock().knowledge, &submission, now)
}

fn log_refusal(node: &Node, id: &str, accepted: &Accepted, refusal: &Refusal) {
    slog::info!(node.log, "job refused"; "job" => id, "queue" => %accepted.queue,
        "team" => accepted.team.as_deref().unwrap_or_default(), "rule" => refusal.rule.name(),
        "outlook_age_ms" => refusal.age.as_millis() as u64,
        "retry_ms" => refusal.retry_after.as_millis() as u64);
}

/// Returns the retry time for a caller whose request needs a part of the store that can't be
/// reached.
pub(crate) fn store_retry(node: &Node, part: &Name) -> Duration {
    let before = node.admission.unstored.fetch_add(1, Ordering::Relaxed);
    retry::without_store(node.outage(part), before)
}
