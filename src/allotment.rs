//! Transfers allotments between the pools in the table service and the shards of this VM.
//!
//! See `docs/design/limits.md`.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashSet, //
    },
    time::Duration, //
};

use basilbridge_common::{
    error::{
        Kind,
        Result, //
    },
    id::{
        Epoch,
        Name,
        Session,
        Shard,
        Version, //
    },
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_platform::table::{
    Outcome,
    Row,
    Service, //
};
use basilbridge_scheduler::{
    allotment::{
        Ledger,
        STOP_GRACE, //
    },
    limit::Change,
};
use futures_util::future;
use rand::{
    SeedableRng,
    rngs::SmallRng,
    seq::SliceRandom, //
};

use crate::{
    allotment_table::{
        CachedPool,
        POOLS_TABLE,
        PendingWrite,
        ROWS_PER_READ,
        ShardTransfer,
        TeamTransfer,
        Term,
        read_allotments,
        read_pools, //
    },
    budget::CallBudget,
    journal::Ownership,
    participant::{
        Limits,
        Participant, //
    },
    session,
};

/// The writes per second that all VMs together may spend on allotments.
pub const WRITES_PER_SECOND: u64 = 100;

/// The reads per second that all VMs together may spend on pools.
pub const READS_PER_SECOND: u64 = 200;

/// The maximum number of teams whose allotments one write changes.
const TEAMS_PER_WRITE: usize = 16;

/// The maximum number of pools that are read one by one. If more are stale, all pools are read in
/// pages instead.
const MAX_SINGLE_READS: usize = 4;

/// The maximum number of times that a round sends writes. It sends again only if a write conflicted
/// with that of another VM.
const MAX_ATTEMPTS: u32 = 3;

/// The interval between reads of a pool that could not grant a request.
const SHORTAGE_READ_INTERVAL: Duration = Duration::from_millis(500);

/// The changes that the shards of this VM request from each team's pool, each with the index of the
/// shard's participant.
type Requests = BTreeMap<Name, Vec<(usize, Change)>>;

/// Transfers allotments between the pools and the shards of one VM.
pub struct Allocator {
    tables: Service,
    session: Session,
    random: SmallRng,
    write_budget: CallBudget,
    read_budget: CallBudget,
    /// The terms whose allotments were read.
    loaded: HashSet<Term>,
    /// The terms whose shards are owned by another VM now.
    lost: HashSet<Term>,
    pools: BTreeMap<Name, CachedPool>,
    /// The teams that have an allotment on this VM.
    holders: BTreeSet<Name>,
    /// What was taken from a ledger and not yet returned to its pool, with the epoch of the shard's
    /// owner.
    unreturned: BTreeMap<(Name, Shard), (Epoch, Resources)>,
    /// The writes with unknown outcome.
    unresolved: Vec<PendingWrite>,
    /// The number of the last write, which makes write ids unique within the session.
    last_write: u64,
}

impl Allocator {
    /// Creates the allocator of a VM. `seed` randomizes the backoff of its writes.
    pub fn new(tables: Service, session: Session, seed: u64) -> Self {
        Self {
            tables,
            session,
            random: SmallRng::seed_from_u64(seed),
            write_budget: CallBudget::new(WRITES_PER_SECOND),
            read_budget: CallBudget::new(READS_PER_SECOND),
            loaded: HashSet::new(),
            lost: HashSet::new(),
            pools: BTreeMap::new(),
            holders: BTreeSet::new(),
            unreturned: BTreeMap::new(),
            unresolved: Vec::new(),
            last_write: 0,
        }
    }

    /// Runs one round of transfers. `vms` is the number of VMs that share the call budgets.
    pub async fn run_round(
        &mut self,
        now: Millis,
        limits: &Limits,
        participants: &[Participant],
        vms: usize,
    ) {
        self.write_budget.refill(now, vms);
        self.read_budget.refill(now, vms);
        self.forget_lost(participants);
        self.load_allotments(participants).await;
        let mut requests = self.collect_requests(now, limits, participants);
        self.refresh_pools(now, limits, &requests).await;
        for _ in 0..MAX_ATTEMPTS {
            let writes = self.prepare_writes(now, limits, participants, &requests);
            if !self.send_writes(now, writes, participants).await {
                break;
            }
            requests = self.collect_requests(now, limits, participants);
        }
        self.stop_persistent_excess(now, limits, participants);
        stop_overdue(now, participants);
    }

    /// Removes the state of shards that this VM no longer owns. Their next owners read the rows.
    fn forget_lost(&mut self, participants: &[Participant]) {
        let present: HashSet<_> = participants.iter().map(Participant::term).collect();
        self.loaded.retain(|term| present.contains(term));
        self.lost.retain(|term| present.contains(term));
        self.unreturned
            .retain(|(_, shard), (epoch, _)| present.contains(&(shard.clone(), *epoch)));
    }

    /// Reads the allotments of shards that were just claimed.
    async fn load_allotments(&mut self, participants: &[Participant]) {
        for participant in participants {
            if self.loaded.contains(&participant.term()) {
                continue;
            }
            if let Ok(mut rows) = read_allotments(&self.tables, &participant.ownership.shard).await
            {
                (participant.ledger)(&mut |ledger| ledger.load(std::mem::take(&mut rows)));
                self.loaded.insert(participant.term());
            }
        }
    }

    /// Takes what the shards do not use from their ledgers and returns what they request.
    fn collect_requests(
        &mut self,
        now: Millis,
        limits: &Limits,
        participants: &[Participant],
    ) -> Requests {
        let mut requests = Requests::new();
        self.holders.clear();
        for (index, participant) in participants.iter().enumerate() {
            let term = participant.term();
            let active = self.loaded.contains(&term) && !self.lost.contains(&term);
            (participant.ledger)(&mut |ledger| {
                ledger.set_limited(&limits.names);
                if active {
                    self.collect_changes(now, (index, participant), ledger, &mut requests);
                    self.collect_limit_changes(limits, participant, ledger, &mut requests);
                }
            });
        }
        for (team, _) in self.unreturned.keys() {
            requests.entry(team.clone()).or_default();
        }
        requests
    }

    fn collect_changes(
        &mut self,
        now: Millis,
        (index, participant): (usize, &Participant),
        ledger: &mut Ledger,
        requests: &mut Requests,
    ) {
        for (team, change) in ledger.changes(now) {
            match change {
                Change::Lower(amount) => self.take_unused(participant, ledger, &team, &amount),
                change => requests.entry(team).or_default().push((index, change)),
            }
        }
    }

    /// Requests a write for each pool whose row does not have the configured limit yet, and takes
    /// unused allotments that exceed the limit or are to be released for waiting shards.
    fn collect_limit_changes(
        &mut self,
        limits: &Limits,
        participant: &Participant,
        ledger: &mut Ledger,
        requests: &mut Requests,
    ) {
        for team in ledger.holders() {
            self.holders.insert(team.clone());
            let cached = self.pools.entry(team.clone()).or_default();
            let pool = limits.apply(&team, cached.row.clone());
            let is_known = cached.read_at.is_some();
            if !is_known || pool.limit != cached.row.limit {
                requests.entry(team.clone()).or_default();
            }
            if is_known {
                let to_release = ledger.observe_pool(&team, &pool, cached.version);
                let surplus = pool.excess().max(&to_release);
                self.take_unused(participant, ledger, &team, &surplus);
            }
        }
    }

    /// Takes up to `amount` of what a shard does not use from its ledger. A later write returns it
    /// to the pool.
    fn take_unused(
        &mut self,
        participant: &Participant,
        ledger: &mut Ledger,
        team: &Name,
        amount: &Resources,
    ) {
        let taken = ledger.take_unused(team, amount);
        if taken != Resources::default() {
            self.add_unreturned(&participant.ownership, team, &taken);
        }
    }

    fn add_unreturned(&mut self, ownership: &Ownership, team: &Name, amount: &Resources) {
        let key = (team.clone(), ownership.shard.clone());
        let unreturned = self.unreturned.entry(key).or_default();
        if unreturned.0 != ownership.epoch {
            *unreturned = (ownership.epoch, Resources::default());
        }
        unreturned.1 = unreturned.1.plus(amount);
    }

    /// Reads the pools that are unknown or stale.
    async fn refresh_pools(&mut self, now: Millis, limits: &Limits, requests: &Requests) {
        let unresolved: HashSet<_> = self.unresolved_teams().collect();
        let holders = &self.holders;
        self.pools.retain(|name, _| {
            unresolved.contains(name) || requests.contains_key(name) || holders.contains(name)
        });
        for name in requests.keys() {
            self.pools.entry(name.clone()).or_default();
        }
        for (name, cached) in &mut self.pools {
            let pool = limits.apply(name, cached.row.clone());
            let changes = requests.get(name).into_iter().flatten();
            let short = changes
                .into_iter()
                .any(|(_, change)| !pool.can_apply(change));
            cached.short_since = short.then(|| cached.short_since.unwrap_or(now));
        }
        let pools = self.pools.iter();
        let stale = pools.filter(|(_, cached)| cached.is_stale(now, SHORTAGE_READ_INTERVAL));
        let mut stale: Vec<_> = stale
            .map(|(name, cached)| (cached.read_at, name.clone()))
            .collect();
        stale.sort();
        if stale.len() > MAX_SINGLE_READS {
            return self.read_all_pools(now).await;
        }
        stale.retain(|_| self.read_budget.take());
        let reads = stale
            .iter()
            .map(|(_, name)| self.tables.get(POOLS_TABLE, name));
        let rows = future::join_all(reads).await;
        for row in rows.into_iter().flatten() {
            self.update_pool(now, &row);
        }
    }

    /// Reads all pools in pages, which takes fewer calls when many are stale.
    async fn read_all_pools(&mut self, now: Millis) {
        let mut after = None;
        while self.read_budget.take() {
            let Ok(rows) = read_pools(&self.tables, after.take()).await else {
                return;
            };
            for row in &rows {
                self.update_pool(now, row);
            }
            if rows.len() < ROWS_PER_READ as usize {
                self.pools
                    .values_mut()
                    .for_each(|cached| cached.mark_missing(now));
                return;
            }
            after = rows.last().map(|row| row.key.clone());
        }
    }

    fn update_pool(&mut self, now: Millis, row: &Row) {
        if let Some(cached) = self.pools.get_mut(row.key.as_str()) {
            let _ = cached.update(row, now);
        }
    }

    /// Returns the writes that grant what is requested and return what was taken, together with the
    /// writes with unknown outcome that are due to be sent again.
    fn prepare_writes(
        &mut self,
        now: Millis,
        limits: &Limits,
        participants: &[Participant],
        requests: &Requests,
    ) -> Vec<PendingWrite> {
        let mut writes = self.take_due_resends(now);
        let unresolved: HashSet<_> = self.unresolved_teams().chain(teams_of(&writes)).collect();
        let mut team_transfers = Vec::new();
        for (name, changes) in requests {
            if unresolved.contains(name)
                || !self.pools.get(name).is_some_and(|pool| pool.may_write(now))
            {
                continue;
            }
            team_transfers.extend(self.plan_transfers(now, limits, participants, name, changes));
        }
        // The order is random, so that no team always comes first when the budget is too small.
        team_transfers.shuffle(&mut self.random);
        while !team_transfers.is_empty() && self.write_budget.take() {
            let rest = team_transfers.split_off(team_transfers.len().min(TEAMS_PER_WRITE));
            writes.extend(self.new_write(std::mem::replace(&mut team_transfers, rest)));
        }
        writes
    }

    fn unresolved_teams(&self) -> impl Iterator<Item = Name> {
        teams_of(&self.unresolved)
    }

    /// Removes and returns the writes with unknown outcome that are due to be sent again.
    fn take_due_resends(&mut self, now: Millis) -> Vec<PendingWrite> {
        let budget = &mut self.write_budget;
        self.unresolved
            .extract_if(.., |write| write.not_before <= now && budget.take())
            .collect()
    }

    /// Returns what to transfer between a team's pool and its allotments, if anything.
    fn plan_transfers(
        &self,
        now: Millis,
        limits: &Limits,
        participants: &[Participant],
        name: &Name,
        changes: &[(usize, Change)],
    ) -> Option<TeamTransfer> {
        let cached = self.pools.get(name)?;
        let mut pool = limits.apply(name, cached.row.clone());
        let waits = cached.is_short(now, SHORTAGE_READ_INTERVAL);
        let mut transfers = Vec::new();
        for (index, participant) in participants.iter().enumerate() {
            let unreturned = self
                .unreturned
                .get(&(name.clone(), participant.ownership.shard.clone()));
            let wanted = changes.iter().find(|(requester, _)| *requester == index);
            if wanted.is_none() {
                pool.waiting.remove(&participant.ownership.shard);
            }
            if (unreturned.is_none() && wanted.is_none()) || self.lost.contains(&participant.term())
            {
                continue;
            }
            let mut held = None;
            (participant.ledger)(&mut |ledger| held = Some(ledger.held(name)));
            let Some(held) = held else {
                continue;
            };
            let returned = unreturned.map_or(Resources::default(), |unreturned| unreturned.1);
            pool.release(&returned);
            let granted = wanted.map_or(Resources::default(), |(_, change)| pool.apply(change));
            if granted != Resources::default() {
                pool.waiting.remove(&participant.ownership.shard);
            } else if waits && wanted.is_some() {
                pool.waiting.insert(participant.ownership.shard.clone());
            }
            transfers.push(ShardTransfer {
                ownership: participant.ownership.clone(),
                held: held.plus(&granted),
                granted,
                returned,
            });
        }
        transfers.retain(|transfer| !transfer.is_empty());
        let row = &cached.row;
        let changed =
            !transfers.is_empty() || pool.limit != row.limit || pool.waiting != row.waiting;
        changed.then(|| TeamTransfer {
            team: name.clone(),
            version: cached.version,
            pool,
            transfers,
        })
    }

    fn new_write(&mut self, team_transfers: Vec<TeamTransfer>) -> Option<PendingWrite> {
        self.last_write += 1;
        let write_id = format!("allotment/{}/{}", self.session.0, self.last_write);
        let write = PendingWrite::new(write_id, team_transfers).ok()?;
        for (team, transfer) in write.transfers() {
            let key = (team.clone(), transfer.ownership.shard.clone());
            self.unreturned.remove(&key);
        }
        Some(write)
    }

    /// Sends writes and returns whether any of them conflicted with that of another VM.
    async fn send_writes(
        &mut self,
        now: Millis,
        writes: Vec<PendingWrite>,
        participants: &[Participant],
    ) -> bool {
        let calls = writes
            .iter()
            .map(|write| self.tables.transact(write.transaction.clone()));
        let results = future::join_all(calls).await;
        let mut conflict = false;
        for (write, result) in writes.into_iter().zip(results) {
            conflict |= matches!(result, Ok(Outcome::Conflict(_)));
            self.handle_result(now, write, result, participants);
        }
        conflict
    }

    fn handle_result(
        &mut self,
        now: Millis,
        write: PendingWrite,
        result: Result<Outcome>,
        participants: &[Participant],
    ) {
        match result {
            Ok(Outcome::Committed(version)) => {
                self.apply_committed(now, write, version, participants)
            }
            Ok(Outcome::Conflict(rows)) => {
                self.restore_unreturned(&write, participants);
                for row in &rows {
                    self.handle_conflict(now, &write, row);
                }
            }
            Err(error) => {
                let mut not_before = now;
                for team_transfer in &write.team_transfers {
                    let cached = self.pools.entry(team_transfer.team.clone()).or_default();
                    not_before = cached.back_off(now, &mut self.random);
                }
                if error.kind == Kind::WriteUnknown || write.may_have_applied {
                    self.unresolved.push(PendingWrite {
                        may_have_applied: true,
                        not_before,
                        ..write
                    });
                } else {
                    self.restore_unreturned(&write, participants);
                }
            }
        }
    }

    fn apply_committed(
        &mut self,
        now: Millis,
        write: PendingWrite,
        version: Version,
        participants: &[Participant],
    ) {
        for team_transfer in write.team_transfers {
            for transfer in &team_transfer.transfers {
                let participant = participants
                    .iter()
                    .find(|participant| participant.term() == transfer.term());
                let Some(participant) =
                    participant.filter(|_| transfer.granted != Resources::default())
                else {
                    continue;
                };
                (participant.ledger)(&mut |ledger| {
                    ledger.add(&team_transfer.team, &transfer.granted);
                    ledger.observe_pool(&team_transfer.team, &team_transfer.pool, version);
                });
                (participant.notify_granted)();
            }
            let cached = self.pools.entry(team_transfer.team).or_default();
            cached.set_committed(team_transfer.pool, version, now);
        }
    }

    /// Marks what a write without effect was to return as unreturned again.
    fn restore_unreturned(&mut self, write: &PendingWrite, participants: &[Participant]) {
        for (team, transfer) in write.transfers() {
            let present = participants
                .iter()
                .any(|participant| participant.term() == transfer.term());
            if present && transfer.returned != Resources::default() {
                self.add_unreturned(&transfer.ownership, team, &transfer.returned);
            }
        }
    }

    fn handle_conflict(&mut self, now: Millis, write: &PendingWrite, row: &Row) {
        if *row.table == *session::SHARDS_TABLE {
            let mut transfers = write.transfers();
            let lost =
                transfers.find(|(_, transfer)| transfer.ownership.shard.to_string() == row.key);
            self.lost.extend(lost.map(|(_, transfer)| transfer.term()));
        } else {
            self.update_pool(now, row);
        }
    }

    /// Tells each shard its share of a pool's excess if the excess persists after all VMs had
    /// [`STOP_GRACE`] to return what they do not use.
    fn stop_persistent_excess(
        &mut self,
        now: Millis,
        limits: &Limits,
        participants: &[Participant],
    ) {
        for (name, cached) in &mut self.pools {
            let pool = limits.apply(name, cached.row.clone());
            let has_excess = cached.read_at.is_some() && pool.excess() != Resources::default();
            let had_excess = cached.excess_since.is_some();
            cached.excess_since = has_excess.then(|| cached.excess_since.unwrap_or(now));
            let due = cached.excess_since.map(|since| since.after(STOP_GRACE));
            let persists = due.is_some_and(|due| cached.read_at.is_some_and(|read| read >= due));
            if persists || (had_excess && !has_excess) {
                for participant in participants {
                    (participant.ledger)(&mut |ledger| ledger.stop_excess(name, &pool));
                }
            }
        }
    }
}

fn teams_of(writes: &[PendingWrite]) -> impl Iterator<Item = Name> {
    let team_transfers = writes.iter().flat_map(|write| &write.team_transfers);
    team_transfers.map(|transfer| transfer.team.clone())
}

fn stop_overdue(now: Millis, participants: &[Participant]) {
    for participant in participants {
        let mut overdue = Vec::new();
        (participant.ledger)(&mut |ledger| overdue = ledger.overdue(now));
        for (team, excess) in overdue {
            (participant.stop)(&team, &excess);
        }
    }
}
