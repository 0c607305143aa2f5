//! Elects the VM that owns the workers, and detects when another one has to take over.
//!
//! The version of the claim's row is the epoch that workers check, and every write of an owner is
//! conditional on it. A claim is also conditional on the last heartbeat that the claimant has seen,
//! so a VM that receives heartbeats late can't replace an owner that still sends them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
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
    Outcome,
    Precondition,
    Put,
    Row, //
};
use basilbridge_workflow::{
    election::{
        self,
        Arrivals,
        Candidate, //
    },
    lineage::{
        Lineage,
        Predecessor, //
    },
};
use slog::Logger;
use tokio::sync::Notify;

use crate::{
    clients::Range,
    feed::{
        self,
        Update, //
    },
    heartbeat::Heartbeat,
    node::Node,
    owner::{
        self,
        Owner, //
    },
    peer,
    record::{
        self,
        CLAIM_KEY,
        Claim,
        HEARTBEAT_KEY,
        LINEAGE_KEY,
        NODE_PREFIX,
        OWNERSHIP_TABLE,
        PREDECESSORS_KEY,
        Predecessors,
        Process,
        SUCCESSION_KEY,
        Succession, //
    },
};

/// How long an owner may send no heartbeat before it is replaced: three heartbeat intervals.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1600);

/// The time allowed for a call to the owner's process beyond the time that the owner holds it.
const WATCH_MARGIN: Duration = Duration::from_millis(250);

/// How long an owner that does not answer its peers may send no heartbeat before it is replaced:
/// one heartbeat interval and the delivery of the next heartbeat.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(650);

/// The minimum time between the claims of two VMs: the time to store a claim and to report it to
/// the other VMs.
const CLAIM_STAGGER: Duration = Duration::from_millis(30);

/// The time within which the store has to answer a VM that is asked to take over from an owner that
/// can't reach the store. If the store is slow for all VMs, taking over does not help.
const FAST_STORE_LIMIT: Duration = Duration::from_millis(100);

/// The number of VMs, of those that would claim first, that watch the owner's process. The others
/// notice the end of its heartbeats, so that the owner's load does not grow with the number of VMs.
const MAX_WATCHERS: usize = 8;

/// The maximum time between two checks whether the workers have no owner.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A heartbeat of the owner as this VM received it.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedHeartbeat {
    pub(crate) heartbeat: Heartbeat,
    /// The version of its row.
    pub(crate) version: Version,
    /// When this VM received it.
    pub(crate) received_at: Millis,
}

/// What this VM knows of the owner and the other VMs, from the ownership table and from calls.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Whether the ownership table has been read.
    pub(crate) loaded: bool,
    /// The current claim, if there is one.
    pub(crate) claim: Option<StoredClaim>,
    /// The newest lineage, which may be of an earlier owner, and the version of its row.
    pub(crate) lineage: Option<Lineage>,
    pub(crate) lineage_version: Version,
    /// The newest completed succession, which may be of an earlier owner, and the version of its row.
    pub(crate) succession: Option<(Succession, Version)>,
    /// The owners before a claim that may act, as stored with it.
    pub(crate) predecessors: Option<Predecessors>,
    /// The last heartbeat, which may be of an earlier owner.
    pub(crate) last_heartbeat: Option<ReceivedHeartbeat>,
    /// How the heartbeats of owners have arrived.
    pub(crate) arrivals: Arrivals,
    /// The registered VMs.
    pub(crate) nodes: BTreeMap<Name, record::NodeEntry>,
    /// Why the owner's process is considered down, and since when; `None` while it answers.
    pub(crate) owner_down: Option<(OwnerDown, Millis)>,
    /// The version of the claim whose owner has asked this VM to take over. A process can claim again
    /// after that.
    pub(crate) handed_over: Option<Version>,
}

/// A claim as read from the store.
#[derive(Debug, Clone)]
pub(crate) struct StoredClaim {
    pub(crate) claim: Claim,
    /// The version of its row.
    pub(crate) version: Version,
    /// When this VM received it.
    pub(crate) received_at: Millis,
}

/// The evidence that the owner's process is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnerDown {
    /// Another process answers at the owner's address, so the process with this nonce has ended.
    Replaced(u64),
    /// The owner's address refuses connections, so the process with this nonce has ended.
    Refused(u64),
    /// Nothing answers at the address of the process with this nonce; the process may have ended or
    /// the network path to it may be cut.
    Silent(u64),
}

/// The view of a VM, shared by its tasks.
#[derive(Debug, Default)]
pub(crate) struct SharedView {
    view: Mutex<View>,
    changed: Notify,
}

impl SharedView {
    pub(crate) fn lock(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The ownership that this VM has claimed.
#[derive(Debug, Clone)]
pub(crate) struct Ownership {
    /// The version of the claim's row, which is the epoch that workers check.
    pub(crate) version: Version,
    /// The claim as stored.
    pub(crate) claim: Claim,
    /// When the claim was sent.
    pub(crate) sent: Millis,
    /// Whether the previous owner was known to have ended when this VM claimed.
    pub(crate) predecessor_ended: bool,
    /// The owners before this one that may act; `None` if they are not known.
    pub(crate) predecessors: Option<Vec<Process>>,
    /// What this owner may assume of the owners before it.
    pub(crate) lineage: Lineage,
}

impl Ownership {
    /// Returns the condition that the claim has not been replaced.
    pub(crate) fn check(&self) -> Precondition {
        check(CLAIM_KEY, self.version)
    }
}

fn check(key: &str, version: Version) -> Precondition {
    Precondition {
        table: OWNERSHIP_TABLE.into(),
        key: key.to_owned(),
        version,
    }
}

/// Returns a write to the ownership table.
pub(crate) fn put(key: &str, value: String) -> Put {
    Put {
        table: OWNERSHIP_TABLE.into(),
        key: key.to_owned(),
        value: Some(value),
    }
}

impl View {
    fn apply(&mut self, log: &Logger, update: Update, now: Millis) {
        let rows = match update {
            Update::All(contents) => {
                self.loaded = true;
                self.nodes.clear();
                contents.rows
            }
            Update::Changed(contents) => contents.rows,
        };
        self.apply_rows(log, &rows, now);
    }

    fn apply_rows(&mut self, log: &Logger, rows: &[Row], now: Millis) {
        for row in rows {
            self.apply_row(log, row, now);
        }
    }

    fn apply_row(&mut self, log: &Logger, row: &Row, now: Millis) {
        if let Some(name) = row.key.strip_prefix(NODE_PREFIX) {
            match record::decode_row::<record::NodeEntry>(log, row) {
                Some(node) => self.nodes.insert(name.into(), node),
                None => self.nodes.remove(name),
            };
            return;
        }
        match row.key.as_str() {
            CLAIM_KEY => {
                if let Some(claim) = record::decode_row(log, row) {
                    self.record_claim(claim, row.version, now);
                }
            }
            LINEAGE_KEY => {
                self.lineage = record::decode_row(log, row);
                self.lineage_version = row.version;
            }
            PREDECESSORS_KEY => self.predecessors = record::decode_row(log, row),
            SUCCESSION_KEY => {
                let succession = record::decode_row(log, row);
                self.succession = succession.map(|succession| (succession, row.version));
            }
            HEARTBEAT_KEY => {
                if let Some(heartbeat) = record::decode_row(log, row) {
                    self.record_heartbeat(heartbeat, row.version, now);
                }
            }
            _ => {}
        }
    }

    fn record_claim(&mut self, claim: Claim, version: Version, now: Millis) {
        self.claim = Some(StoredClaim {
            claim,
            version,
            received_at: now,
        });
        // A new owner gets the full timeout for its first heartbeat.
        if let Some(heartbeat) = &mut self.last_heartbeat {
            heartbeat.received_at = now;
        }
    }

    fn record_heartbeat(&mut self, heartbeat: Heartbeat, version: Version, now: Millis) {
        let known = self
            .last_heartbeat
            .as_ref()
            .is_some_and(|received| received.version == version);
        if !known {
            if let Some(before) = &self.last_heartbeat
                && heartbeat.sequence == before.heartbeat.sequence + 1
            {
                self.arrivals.record(now.since(before.received_at));
            }
            self.last_heartbeat = Some(ReceivedHeartbeat {
                heartbeat,
                version,
                received_at: now,
            });
        }
    }

    /// Returns when the VM `own`, which has reached the store since `reachable`, may claim
    /// ownership if nothing changes before, or `None` if it may not claim.
    ///
    /// VMs with the same view claim `stagger` apart, so that one claim is known before the next is
    /// made: with a slow store, many claims at once would only wait for each other.
    pub(crate) fn claim_time(
        &self,
        own: &Name,
        nonce: u64,
        reachable: Option<Millis>,
        stagger: Duration,
    ) -> Option<Millis> {
        let reachable = reachable.filter(|_| self.loaded)?;
        let Some(stored) = &self.claim else {
            return Some(reachable.after(stagger * self.claim_rank(own, None)));
        };
        let claim = &stored.claim;
        // An earlier process of this VM has ended, or this one could not run.
        let reclaims = claim.holder == *own
            && claim.nonce != nonce
            && election::reclaims_ownership(self.cpu_millis(own), &self.successors(None));
        if reclaims || self.handed_over == Some(stored.version) {
            return Some(reachable);
        }
        let last_heartbeat_at = self
            .last_heartbeat
            .as_ref()
            .map_or(reachable, |heartbeat| heartbeat.received_at.max(reachable));
        let silence_limit = |usual| election::silence_limit(usual, claim.unproven, &self.arrivals);
        let vacant_at = match self.owner_down {
            _ if claim.released => stored.received_at,
            Some((OwnerDown::Replaced(nonce) | OwnerDown::Refused(nonce), detected_at))
                if nonce == claim.nonce =>
            {
                detected_at
            }
            Some((OwnerDown::Silent(nonce), _)) if nonce == claim.nonce => {
                last_heartbeat_at.after(silence_limit(UNREACHABLE_TIMEOUT) + stagger)
            }
            _ => last_heartbeat_at.after(silence_limit(HEARTBEAT_TIMEOUT) + stagger),
        };
        Some(
            vacant_at
                .max(reachable)
                .after(stagger * self.claim_rank(own, Some(&claim.holder))),
        )
    }

    /// Returns whether the owner named by the claim and all owners before it are known to have
    /// ended: the owner released its ownership, was an earlier process of the VM `own`, or was
    /// replaced by another process at its address.
    ///
    /// The owners before it may go on behind a partition, so it must have outlived them.
    fn is_owner_known_ended(&self, own: &Name, nonce: u64) -> bool {
        let Some(stored) = &self.claim else {
            return true;
        };
        let claim = &stored.claim;
        let earlier_process = claim.holder == *own && claim.nonce != nonce;
        let replaced = OwnerDown::Replaced(claim.nonce);
        let replaced_at_address = self
            .owner_down
            .is_some_and(|(owner_down, _)| owner_down == replaced);
        let has_ended = claim.released || earlier_process || replaced_at_address;
        has_ended && self.succession_of(claim).is_some()
    }

    /// Returns the owners up to the current claim that may act; `None` if they are not known. Earlier
    /// ownerships of the process with `nonce` have ended.
    fn acting_owners(&self, nonce: u64) -> Option<Vec<Process>> {
        let claim = &self.claim.as_ref()?.claim;
        let mut owners = match self.succession_of(claim) {
            Some(_) => Vec::new(),
            None => {
                let stored = self.predecessors.as_ref();
                stored
                    .filter(|stored| stored.epoch == claim.epoch)?
                    .owners
                    .clone()
            }
        };
        owners.push(Process {
            vm: claim.holder.clone(),
            nonce: claim.nonce,
        });
        owners.retain(|owner| owner.nonce != nonce);
        Some(owners)
    }

    /// Returns the version at which the owner with this claim had outlived all owners before it; `None`
    /// if that is not known.
    fn succession_of(&self, claim: &Claim) -> Option<Version> {
        let (succession, version) = self.succession.as_ref()?;
        (succession.epoch == claim.epoch).then_some(*version)
    }

    /// Returns the lineage for a claim at `now` that replaces the current one, of an owner that grants
    /// leases of `lease`.
    fn next_lineage(&self, lease: Duration, max_lease: Duration, now: Millis) -> Lineage {
        let Some(stored) = &self.claim else {
            return Lineage::first(lease);
        };
        let before = Predecessor {
            epoch: stored.claim.epoch,
            lineage: self.lineage.clone(),
            received_at: stored.received_at,
            settled_at: self.succession_of(&stored.claim),
        };
        Lineage::after(&before, lease, max_lease, now)
    }

    /// Returns the value of [`Claim::unproven`] for a claim that replaces the current one.
    fn unproven_takeovers(&self, own: &Name) -> u32 {
        let Some(stored) = &self.claim else {
            return 0;
        };
        let claim = &stored.claim;
        let ended = matches!(
            self.owner_down,
            Some((OwnerDown::Replaced(nonce) | OwnerDown::Refused(nonce), _))
                if nonce == claim.nonce
        );
        let heartbeats = self
            .last_heartbeat
            .as_ref()
            .filter(|received| received.version > stored.version)
            .map_or(0, |received| received.heartbeat.sequence);
        let proven = claim.released || claim.holder == *own || ended;
        election::unproven_takeovers(claim.unproven, proven, heartbeats)
    }

    /// Returns how many VMs may claim before `own` once `holder` no longer owns the workers.
    fn claim_rank(&self, own: &Name, holder: Option<&Name>) -> u32 {
        let order = self.successors(holder);
        match order.iter().position(|candidate| candidate.name == *own) {
            Some(position) => position as u32,
            // This VM is not registered yet: spread VMs that start together by their names.
            None => {
                own.bytes()
                    .fold(0, |sum, byte| sum * 31 % 8 + u32::from(byte) % 8)
                    % 8
            }
        }
    }

    /// Returns the address of the VM that holds the claim.
    pub(crate) fn owner_address(&self) -> Option<SocketAddr> {
        let holder = &self.claim.as_ref()?.claim.holder;
        Some(self.nodes.get(holder)?.peers)
    }

    fn cpu_millis(&self, name: &Name) -> u32 {
        self.nodes.get(name).map_or(0, |node| node.cpu_millis)
    }

    /// Returns the VMs in the order in which they may claim once `holder` no longer owns the
    /// workers.
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

/// Prepares to take over from the owner with this nonce if this VM can read the claim and knows of
/// no later owner. Returns whether it takes over.
///
/// Parts of the store may be unreachable, so only a read of the claim itself shows that this VM
/// could write it. If an owner handed over to a VM that can't claim, the workers would have no
/// owner.
pub(crate) async fn accept_hand_over(node: &Node, nonce: u64) -> bool {
    if !node.is_store_reachable() || node.drain_state.is_draining() {
        return false;
    }
    let begun = node.timer.now();
    let read = node.timer.timeout(FAST_STORE_LIMIT, read_claim(node)).await;
    let version = match read {
        Some(Ok(Some((claim, version)))) if claim.nonce == nonce => Some(version),
        _ => None,
    };
    if version.is_none() || node.drain_state.is_draining() {
        slog::info!(node.log, "owner not relieved"; "current" => version.is_some(),
            "read_ms" => node.timer.now().since(begun).as_millis() as u64);
        return false;
    }
    node.shared_view.lock().handed_over = version;
    slog::info!(node.log, "owner hands over");
    node.shared_view.changed.notify_waiters();
    true
}

/// Watches the process of the owner, to detect its end before its heartbeats time out.
pub(crate) async fn watch_owner(node: Arc<Node>) {
    const RETRY: Duration = Duration::from_millis(40);
    loop {
        let owner = {
            let view = node.shared_view.lock();
            view.claim.as_ref().and_then(|stored| {
                let claim = &stored.claim;
                let address = view.nodes.get(&claim.holder)?.peers;
                let rank = view.claim_rank(&node.config.name, Some(&claim.holder)) as usize;
                let watches = claim.nonce != node.nonce && !claim.released && rank < MAX_WATCHERS;
                watches.then_some((claim.nonce, address))
            })
        };
        let Some((nonce, address)) = owner else {
            node.timer.sleep(CHECK_INTERVAL).await;
            continue;
        };
        let limit = peer::WATCH_HOLD_TIME + WATCH_MARGIN;
        let found = match node.pool.watch_process(address, nonce, limit).await {
            Ok(Some(found)) if found == nonce => None,
            Ok(Some(_)) => Some(OwnerDown::Replaced(nonce)),
            Ok(None) => Some(OwnerDown::Refused(nonce)),
            Err(_) => Some(OwnerDown::Silent(nonce)),
        };
        let (before, owner_down) = {
            let mut view = node.shared_view.lock();
            let before = view.owner_down.map(|(owner_down, _)| owner_down);
            // A silence after a refusal says less than the refusal did.
            let refused = OwnerDown::Refused(nonce);
            let owner_down = match found {
                Some(OwnerDown::Silent(_)) if before == Some(refused) => Some(refused),
                found => found,
            };
            if before != owner_down {
                view.owner_down = owner_down.map(|owner_down| (owner_down, node.timer.now()));
            }
            (before, owner_down)
        };
        if owner_down.is_some() && owner_down != before {
            slog::info!(node.log, "owner gone"; "evidence" => ?owner_down);
            node.shared_view.changed.notify_waiters();
        }
        node.timer.sleep(RETRY).await;
    }
}

/// Watches the VMs of the owners before that may act, until another process answers at each of them, so
/// that all of these owners have ended.
pub(crate) async fn watch_predecessors(owner: Arc<Owner>) {
    const RETRY: Duration = Duration::from_millis(200);
    let node = &owner.node;
    let Some(mut acting) = owner.ownership.predecessors.clone() else {
        return;
    };
    while !owner.engine().is_settled() {
        let mut left = Vec::new();
        for process in acting {
            if !has_ended(node, &process).await {
                left.push(process);
            }
        }
        if left.is_empty() {
            slog::warn!(node.log, "owners before have ended"; "epoch" => owner.epoch());
            owner.engine().record_predecessor_end(node.timer.now());
            owner.wake.notify_one();
            return;
        }
        acting = left;
        node.timer.sleep(RETRY).await;
    }
}

/// Returns whether another process answers at the address of a VM.
async fn has_ended(node: &Node, process: &Process) -> bool {
    let address = node.view().nodes.get(&process.vm).map(|entry| entry.peers);
    let Some(address) = address else {
        return false;
    };
    let limit = peer::WATCH_HOLD_TIME + WATCH_MARGIN;
    let found = node.pool.watch_process(address, process.nonce, limit).await;
    matches!(found, Ok(Some(found)) if found != process.nonce)
}

/// Follows the ownership table and updates the shared view.
pub(crate) async fn follow(node: Arc<Node>) {
    let follower = Arc::clone(&node);
    let table = OWNERSHIP_TABLE.into();
    let parts = [Name::clone(&table)];
    feed::follow(&node, &table, &parts, None, feed::PROMPT, move |update| {
        follower
            .shared_view
            .lock()
            .apply(&follower.log, update, follower.timer.now());
        follower.shared_view.changed.notify_waiters();
    })
    .await;
}

/// Claims ownership whenever the workers have no owner, and acts as the owner while this VM owns
/// them.
pub(crate) async fn run(node: Arc<Node>) {
    while !node.drain_state.is_draining() {
        let configured = node.configuration().version > 0;
        let stagger = CLAIM_STAGGER.max(node.store_latency() * 2);
        let due = {
            let view = node.shared_view.lock();
            view.claim_time(
                &node.config.name,
                node.nonce,
                node.answering_since(),
                stagger,
            )
        };
        let now = node.timer.now();
        if configured
            && due.is_some_and(|due| due <= now)
            && let Some(ownership) = try_claim(&node).await
        {
            node.metrics.count("claims");
            owner::run(&node, ownership).await;
            continue;
        }
        let wait = due.map_or(CHECK_INTERVAL, |due| due.since(node.timer.now()));
        tokio::select! {
            () = node.shared_view.changed.notified() => {}
            () = node.timer.sleep(wait.clamp(CLAIM_STAGGER, CHECK_INTERVAL)) => {}
        }
    }
}

async fn try_claim(node: &Arc<Node>) -> Option<Ownership> {
    let (
        before,
        heartbeat_version,
        predecessor_ended,
        predecessors,
        unproven,
        lineage,
        lineage_version,
    ) = {
        let view = node.shared_view.lock();
        let heartbeat_version = view
            .last_heartbeat
            .as_ref()
            .map(|received| received.version);
        let ended = view.is_owner_known_ended(&node.config.name, node.nonce);
        (
            view.claim.clone(),
            heartbeat_version,
            ended,
            view.acting_owners(node.nonce),
            view.unproven_takeovers(&node.config.name),
            view.next_lineage(node.config.lease(), node.config.max_lease, node.timer.now()),
            view.lineage_version,
        )
    };
    let claim = Claim {
        holder: node.config.name.clone(),
        nonce: node.nonce,
        epoch: before.as_ref().map_or(0, |stored| stored.claim.epoch + 1),
        released: false,
        unproven,
    };
    let stored_version = before.as_ref().map_or(Version(0), |stored| stored.version);
    let checks = vec![
        check(CLAIM_KEY, stored_version),
        check(HEARTBEAT_KEY, heartbeat_version.unwrap_or_default()),
        check(LINEAGE_KEY, lineage_version),
    ];
    let mut puts = vec![
        put(CLAIM_KEY, record::encode(&claim).ok()?),
        put(LINEAGE_KEY, record::encode(&lineage).ok()?),
    ];
    if let Some(owners) = &predecessors {
        let stored = Predecessors {
            epoch: claim.epoch,
            owners: owners.clone(),
        };
        puts.push(put(PREDECESSORS_KEY, record::encode(&stored).ok()?));
    }
    let sent = node.timer.now();
    let version = match node.transact(checks, puts).await {
        Ok(Outcome::Committed(version)) => version,
        Ok(Outcome::Conflict(rows)) => {
            let now = node.timer.now();
            let mut view = node.shared_view.lock();
            view.apply_rows(&node.log, &rows, now);
            return None;
        }
        Err(error) => {
            slog::info!(node.log, "claim not answered"; "error" => %error);
            resolve_claim(node, &claim).await?
        }
    };
    let last_heartbeat_at = node
        .shared_view
        .lock()
        .last_heartbeat
        .as_ref()
        .map(|received| received.received_at);
    let since_heartbeat = last_heartbeat_at.map(|at| node.timer.now().since(at).as_millis() as u64);
    slog::warn!(node.log, "title claimed"; "epoch" => version.0, "count" => claim.epoch,
        "before" => ?before.map(|stored| stored.claim.holder), "silent_ms" => ?since_heartbeat,
        "unproven" => unproven, "lease_ms" => lineage.lease.as_millis() as u64,
        "earlier_lease_ms" => lineage.earlier_lease.as_millis() as u64,
        "lineage_from" => lineage.first_epoch);
    Some(Ownership {
        version,
        claim,
        sent,
        predecessor_ended,
        predecessors,
        lineage,
    })
}

/// Reads back whether a claim with unknown outcome was stored. Returns its version if so.
async fn resolve_claim(node: &Node, claim: &Claim) -> Option<Version> {
    match read_claim(node).await {
        Ok(found) => found.and_then(|(current, version)| (current == *claim).then_some(version)),
        Err(error) => {
            slog::info!(node.log, "claim can't be read back"; "error" => %error);
            None
        }
    }
}

/// Reads the current claim and its version; `None` if there is no claim.
pub(crate) async fn read_claim(node: &Node) -> Result<Option<(Claim, Version)>> {
    let range = Range {
        table: OWNERSHIP_TABLE.into(),
        from: Some(CLAIM_KEY.to_owned()),
        to: Some(format!("{CLAIM_KEY}\0")),
    };
    let page = node.read(range).await?;
    let row = page.rows.into_iter().next();
    Ok(row.and_then(|row| Some((record::decode_row(&node.log, &row)?, row.version))))
}
