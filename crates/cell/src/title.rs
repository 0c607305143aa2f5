//! Who owns the workers, and when another VM takes over.
//!
//! The version of the claim's row is the epoch that workers check, and each write of an owner is
//! bound to it. A claim is also bound to the last sign of life that the claimant has seen, so an
//! owner that still gives signs is never replaced by a VM that only hears them late.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use basilbridge_common::{
    error::Result,
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
use basilbridge_workflow::election::{
    self,
    Candidate, //
};
use slog::Logger;
use tokio::sync::Notify;

use crate::{
    clients::Range,
    feed::{
        self,
        News, //
    },
    node::Node,
    owner, peer,
    record::{
        self,
        CLAIM_KEY,
        Claim,
        NODE_PREFIX,
        PULSE_KEY,
        Pulse,
        TITLE_TABLE,
        WORKERS_KEY, //
    },
};

/// How long an owner may give no sign before it is replaced: three of its signs.
const SILENCE_LIMIT: Duration = Duration::from_millis(1600);

/// How much longer than it is held a call to the owner's process may take.
const WATCH_MARGIN: Duration = Duration::from_millis(250);

/// How long an owner may give no sign that does not answer its peers: one of its signs and the way
/// of the next.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(650);

/// The least time between the claims of two VMs: a claim and the way of the news of it.
const CLAIM_STEP: Duration = Duration::from_millis(30);

/// After how many signs the owner before has surely noticed that it was replaced: four seconds of
/// them, which is twice the time that it may take, with that of reading the jobs.
const SETTLED_BEATS: u64 = 8;

/// A VM takes over from an owner that misses the store only if the store answers it faster than
/// this; a store that is slow for all is no reason to.
const QUICK_STORE: Duration = Duration::from_millis(100);

/// How often a VM looks whether the title is free.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An owner's sign of life, and when it was seen.
#[derive(Debug, Clone)]
pub(crate) struct Sign {
    pub(crate) pulse: Pulse,
    pub(crate) version: Version,
    pub(crate) seen: Millis,
}

/// What a VM knows of the title and of the other VMs.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) loaded: bool,
    pub(crate) claim: Option<Held>,
    pub(crate) sign: Option<Sign>,
    pub(crate) nodes: BTreeMap<Name, record::Node>,
    pub(crate) workers: Vec<Name>,
    /// What was found where the owner should answer, and when.
    pub(crate) absence: Option<(Absence, Millis)>,
    /// The number of the owner that has asked this VM to take over.
    pub(crate) appointed: Option<u64>,
}

/// A claim as it lies in the store.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub(crate) claim: Claim,
    pub(crate) version: Version,
    pub(crate) seen: Millis,
}

/// What shows that an owner is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Absence {
    /// Another process answers at its address, so the process with this number has ended.
    Replaced(u64),
    /// Nothing answers at the address of the process with this number; a path that is cut looks the
    /// same.
    Silent(u64),
}

/// What a VM knows of the title, shared by its parts.
#[derive(Debug, Default)]
pub(crate) struct Board {
    view: Mutex<View>,
    changed: Notify,
}

impl Board {
    pub(crate) fn lock(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A title that this VM holds.
#[derive(Debug, Clone)]
pub(crate) struct Title {
    /// The version of the claim, which is the epoch that workers check.
    pub(crate) version: Version,
    /// The claim.
    pub(crate) claim: Claim,
    /// The workers that the owner before knew.
    pub(crate) workers: Vec<Name>,
    /// Whether the owner before had surely ended at the claim.
    pub(crate) predecessor_ended: bool,
}

impl Title {
    /// Returns the condition that this title still holds.
    pub(crate) fn check(&self) -> Check {
        check(CLAIM_KEY, self.version)
    }
}

fn check(key: &str, version: Version) -> Check {
    Check {
        table: TITLE_TABLE.into(),
        key: key.to_owned(),
        version,
    }
}

/// Returns a write to the table of titles.
pub(crate) fn put(key: &str, value: String) -> Put {
    Put {
        table: TITLE_TABLE.into(),
        key: key.to_owned(),
        value: Some(value),
    }
}

impl View {
    fn apply(&mut self, log: &Logger, news: News, now: Millis) {
        let rows = match news {
            News::All(rows) => {
                self.loaded = true;
                self.nodes.clear();
                rows
            }
            News::Changed(rows) => rows,
        };
        for row in rows {
            self.apply_row(log, &row, now);
        }
    }

    fn apply_row(&mut self, log: &Logger, row: &Row, now: Millis) {
        if let Some(name) = row.key.strip_prefix(NODE_PREFIX) {
            match record::read::<record::Node>(log, row) {
                Some(node) => self.nodes.insert(name.into(), node),
                None => self.nodes.remove(name),
            };
            return;
        }
        match row.key.as_str() {
            CLAIM_KEY => {
                if let Some(claim) = record::read(log, row) {
                    self.take_claim(claim, row.version, now);
                }
            }
            PULSE_KEY => {
                if let Some(pulse) = record::read(log, row) {
                    self.take_pulse(pulse, row.version, now);
                }
            }
            WORKERS_KEY => {
                if let Some(workers) = record::read(log, row) {
                    self.workers = workers;
                }
            }
            _ => {}
        }
    }

    fn take_claim(&mut self, claim: Claim, version: Version, now: Millis) {
        self.claim = Some(Held {
            claim,
            version,
            seen: now,
        });
        // A new owner gets its time for a first sign.
        if let Some(sign) = &mut self.sign {
            sign.seen = now;
        }
    }

    fn take_pulse(&mut self, pulse: Pulse, version: Version, now: Millis) {
        let known = self
            .sign
            .as_ref()
            .is_some_and(|sign| sign.version == version);
        if !known {
            self.sign = Some(Sign {
                pulse,
                version,
                seen: now,
            });
        }
    }

    /// Returns when the VM `own`, which has reached the store since `reachable`, may claim the title,
    /// unless something is heard before; nothing stands for not at all.
    ///
    /// VMs that see the same are kept apart by `step`, so that one claim is known before the next
    /// is made: under a slow store many claims at once would only wait for each other.
    pub(crate) fn claim_time(
        &self,
        own: &Name,
        nonce: u64,
        reachable: Option<Millis>,
        step: Duration,
    ) -> Option<Millis> {
        let reachable = reachable.filter(|_| self.loaded)?;
        let Some(held) = &self.claim else {
            return Some(reachable.after(step * self.turn(own, None)));
        };
        let claim = &held.claim;
        // An earlier process of this VM is gone, or this one would not run.
        let earlier = claim.holder == *own
            && claim.nonce != nonce
            && election::reclaims_ownership(self.cpu_millis(own), &self.successors(None));
        if earlier || self.appointed == Some(claim.nonce) {
            return Some(reachable);
        }
        let heard = self
            .sign
            .as_ref()
            .map_or(reachable, |sign| sign.seen.max(reachable));
        let free = match self.absence {
            _ if claim.released => held.seen,
            Some((Absence::Replaced(nonce), seen)) if nonce == claim.nonce => seen,
            Some((Absence::Silent(nonce), _)) if nonce == claim.nonce => {
                heard.after(UNANSWERED_LIMIT + step)
            }
            _ => heard.after(SILENCE_LIMIT + step),
        };
        Some(
            free.max(reachable)
                .after(step * self.turn(own, Some(&claim.holder))),
        )
    }

    /// Says whether the owner that the claim names, and any before it, has surely ended: it gave the
    /// title back, or was an earlier process of the VM `own` or of one that another process answers
    /// for.
    ///
    /// A claim whose answer was lost may never have been acted on while the owner before went on, so
    /// its holder has to have given signs for long enough that the owner before has noticed.
    fn has_owner_ended(&self, own: &Name, nonce: u64) -> bool {
        let Some(held) = &self.claim else {
            return true;
        };
        let claim = &held.claim;
        let lasting =
            |sign: &&Sign| sign.pulse.unstarted.is_some() && sign.pulse.beat >= SETTLED_BEATS;
        let Some(sign) = self.sign.as_ref().filter(lasting) else {
            return false;
        };
        let earlier = claim.holder == *own && claim.nonce != nonce;
        let replaced = Absence::Replaced(claim.nonce);
        let answers = self.absence.is_some_and(|(absence, _)| absence == replaced);
        // Giving the title back changes the claim, so no sign is newer than it then.
        claim.released || (sign.version > held.version && (earlier || answers))
    }

    /// Returns how many VMs go before `own` when the title of `holder` is free.
    fn turn(&self, own: &Name, holder: Option<&Name>) -> u32 {
        let order = self.successors(holder);
        match order.iter().position(|candidate| candidate.name == *own) {
            Some(position) => position as u32,
            // The list does not name this VM yet; VMs that start together are spread by their names.
            None => {
                own.bytes()
                    .fold(0, |sum, byte| sum * 31 % 8 + u32::from(byte) % 8)
                    % 8
            }
        }
    }

    fn cpu_millis(&self, name: &Name) -> u32 {
        self.nodes.get(name).map_or(0, |node| node.cpu_millis)
    }

    /// Returns the VMs by who goes first when the title of `holder` is free.
    pub(crate) fn successors(&self, holder: Option<&Name>) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self
            .nodes
            .iter()
            .map(|(name, node)| Candidate {
                name: name.clone(),
                cpu_millis: node.cpu_millis,
            })
            .collect();
        election::sort_candidates(&mut candidates, holder);
        candidates
    }
}

/// Takes over from the owner with this number if this VM reaches the title in the store and knows of
/// no later owner; says whether it will.
///
/// The store may be away in part, so only a read of the claim itself shows that this VM could write
/// it: an owner that leaves to a VM that can't claim leaves the workers to nobody.
pub(crate) async fn accept_hand_over(node: &Node, nonce: u64) -> bool {
    if !node.is_store_reachable() || node.gate.is_draining() {
        return false;
    }
    let begun = node.timer.now();
    let read = node.timer.timeout(QUICK_STORE, read_claim(node)).await;
    let current = matches!(read, Some(Ok(Some((claim, _)))) if claim.nonce == nonce);
    if !current || node.gate.is_draining() {
        slog::info!(node.log, "owner not relieved"; "current" => current,
            "read_ms" => node.timer.now().since(begun).as_millis() as u64);
        return false;
    }
    node.title.lock().appointed = Some(nonce);
    slog::info!(node.log, "owner hands over");
    node.title.changed.notify_waiters();
    true
}

/// Watches the process of the owner, whose end then shows before its signs are missed.
pub(crate) async fn watch_owner(node: Arc<Node>) {
    const RETRY: Duration = Duration::from_millis(40);
    loop {
        let owner = {
            let view = node.title.lock();
            view.claim.as_ref().and_then(|held| {
                let claim = &held.claim;
                let address = view.nodes.get(&claim.holder)?.peers;
                (claim.nonce != node.nonce && !claim.released).then_some((claim.nonce, address))
            })
        };
        let Some((nonce, address)) = owner else {
            node.timer.sleep(CHECK_INTERVAL).await;
            continue;
        };
        let limit = peer::WATCH_TIME + WATCH_MARGIN;
        let absence = match node.pool.watch_process(address, nonce, limit).await {
            Ok(Some(found)) if found == nonce => None,
            Ok(Some(_)) => Some(Absence::Replaced(nonce)),
            Ok(None) | Err(_) => Some(Absence::Silent(nonce)),
        };
        let before = {
            let mut view = node.title.lock();
            let before = view.absence.map(|(absence, _)| absence);
            if before != absence {
                view.absence = absence.map(|absence| (absence, node.timer.now()));
            }
            before
        };
        if absence.is_some() && absence != before {
            slog::info!(node.log, "owner gone"; "evidence" => ?absence);
            node.title.changed.notify_waiters();
        }
        node.timer.sleep(RETRY).await;
    }
}

/// Follows the table of titles.
pub(crate) async fn follow(node: Arc<Node>) {
    let board = Arc::clone(&node);
    let table = TITLE_TABLE.into();
    let parts = [Name::clone(&table)];
    feed::follow(&node, &table, &parts, None, Duration::ZERO, move |news| {
        board
            .title
            .lock()
            .apply(&board.log, news, board.timer.now());
        board.title.changed.notify_waiters();
    })
    .await;
}

/// Claims the title whenever it is free, and acts as the owner while it is held.
pub(crate) async fn contend(node: Arc<Node>) {
    while !node.gate.is_draining() {
        let configured = node.configuration().version > 0;
        let step = CLAIM_STEP.max(node.store_time() * 2);
        let due = {
            let view = node.title.lock();
            view.claim_time(&node.config.name, node.nonce, node.reachable_since(), step)
        };
        let now = node.timer.now();
        if configured
            && due.is_some_and(|due| due <= now)
            && let Some(title) = claim(&node).await
        {
            node.metrics.count("claims");
            owner::own(&node, title).await;
            continue;
        }
        let wait = due.map_or(CHECK_INTERVAL, |due| due.since(node.timer.now()));
        tokio::select! {
            () = node.title.changed.notified() => {}
            () = node.timer.sleep(wait.clamp(CLAIM_STEP, CHECK_INTERVAL)) => {}
        }
    }
}

async fn claim(node: &Arc<Node>) -> Option<Title> {
    let (before, sign, workers, predecessor_ended) = {
        let view = node.title.lock();
        let sign = view.sign.as_ref().map(|sign| sign.version);
        let ended = view.has_owner_ended(&node.config.name, node.nonce);
        (view.claim.clone(), sign, view.workers.clone(), ended)
    };
    let claim = Claim {
        holder: node.config.name.clone(),
        nonce: node.nonce,
        epoch: before.as_ref().map_or(0, |held| held.claim.epoch + 1),
        released: false,
    };
    let held = before.as_ref().map_or(Version(0), |held| held.version);
    let checks = vec![
        check(CLAIM_KEY, held),
        check(PULSE_KEY, sign.unwrap_or_default()),
    ];
    let value = record::encode(&claim).ok()?;
    let version = match node.transact(checks, vec![put(CLAIM_KEY, value)]).await {
        Ok(Outcome::Committed(version)) => version,
        Ok(Outcome::Conflict(rows)) => {
            let now = node.timer.now();
            let mut view = node.title.lock();
            view.apply(&node.log, News::Changed(rows), now);
            return None;
        }
        Err(error) => {
            slog::info!(node.log, "claim not answered"; "error" => %error);
            settle_claim(node, &claim).await?
        }
    };
    let silent = node.title.lock().sign.as_ref().map(|sign| sign.seen);
    let silent = silent.map(|seen| node.timer.now().since(seen).as_millis() as u64);
    slog::info!(node.log, "title claimed"; "epoch" => version.0, "count" => claim.epoch,
        "before" => ?before.map(|held| held.claim.holder), "silent_ms" => ?silent);
    Some(Title {
        version,
        claim,
        workers,
        predecessor_ended,
    })
}

/// Reads whether a claim without an answer was made, and under which version.
async fn settle_claim(node: &Node, claim: &Claim) -> Option<Version> {
    match read_claim(node).await {
        Ok(found) => found.and_then(|(current, version)| (current == *claim).then_some(version)),
        Err(error) => {
            slog::info!(node.log, "claim not read"; "error" => %error);
            None
        }
    }
}

/// Reads the claim and its version.
pub(crate) async fn read_claim(node: &Node) -> Result<Option<(Claim, Version)>> {
    let range = Range {
        table: TITLE_TABLE.into(),
        from: Some(CLAIM_KEY.to_owned()),
        to: Some(format!("{CLAIM_KEY}\0")),
    };
    let page = node.read(range).await?;
    let row = page.rows.into_iter().next();
    Ok(row.and_then(|row| Some((record::read(&node.log, &row)?, row.version))))
}
