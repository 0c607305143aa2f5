//! Moves allotments between the pools in the table service and the shards of this VM.
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
        Draft,
        Move,
        POOLS_TABLE,
        Part,
        ROWS_PER_READ,
        Team,
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

/// The writes that all VMs together spend on allotments.
pub const WRITES_PER_SECOND: u64 = 100;

/// The reads that all VMs together spend on pools.
pub const READS_PER_SECOND: u64 = 200;

/// The teams that one write moves allotments of.
const TEAMS_PER_WRITE: usize = 16;

/// The pools that are read one by one; for more than these all are read at once.
const MOST_SINGLE_READS: usize = 4;

/// How often a round tries again when another VM has changed the pool.
const ATTEMPTS: u32 = 3;

/// How often a pool that had too little is read again.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// What the shards of this VM want of the pools, by the position of the shard.
type Wishes = BTreeMap<Name, Vec<(usize, Change)>>;

/// Moves allotments between the pools and the shards of one VM.
pub struct Allocator {
    tables: Service,
    session: Session,
    random: SmallRng,
    writes: CallBudget,
    reads: CallBudget,
    loaded: HashSet<Term>,
    lost: HashSet<Term>,
    teams: BTreeMap<Name, Team>,
    /// The teams that have an allotment on this VM.
    holders: BTreeSet<Name>,
    /// What was taken from a book and is not written back to its pool yet.
    owed: BTreeMap<(Name, Shard), (Epoch, Resources)>,
    in_doubt: Vec<Draft>,
    last_write: u64,
}

impl Allocator {
    /// Makes a desk for a VM; `seed` spreads its second tries over time.
    pub fn new(tables: Service, session: Session, seed: u64) -> Self {
        Self {
            tables,
            session,
            random: SmallRng::seed_from_u64(seed),
            writes: CallBudget::new(WRITES_PER_SECOND),
            reads: CallBudget::new(READS_PER_SECOND),
            loaded: HashSet::new(),
            lost: HashSet::new(),
            teams: BTreeMap::new(),
            holders: BTreeSet::new(),
            owed: BTreeMap::new(),
            in_doubt: Vec::new(),
            last_write: 0,
        }
    }

    /// Moves what the shards want moved; `vms` share the budget of calls.
    pub async fn run_round(
        &mut self,
        now: Millis,
        limits: &Limits,
        seats: &[Participant],
        vms: usize,
    ) {
        self.writes.refill(now, vms);
        self.reads.refill(now, vms);
        self.forget(seats);
        self.load(seats).await;
        let mut wishes = self.collect(now, limits, seats);
        self.refresh(now, limits, &wishes).await;
        for _ in 0..ATTEMPTS {
            let drafts = self.drafts(now, limits, seats, &wishes);
            if !self.send(now, drafts, seats).await {
                break;
            }
            wishes = self.collect(now, limits, seats);
        }
        self.shed(now, limits, seats);
        stop_overdue(now, seats);
    }

    /// Forgets shards that are no longer this VM's; their next owners read the rows anew.
    fn forget(&mut self, seats: &[Participant]) {
        let present: HashSet<_> = seats.iter().map(Participant::term).collect();
        self.loaded.retain(|term| present.contains(term));
        self.lost.retain(|term| present.contains(term));
        self.owed
            .retain(|(_, shard), (epoch, _)| present.contains(&(shard.clone(), *epoch)));
    }

    /// Reads the allotments of shards that were just claimed.
    async fn load(&mut self, seats: &[Participant]) {
        for seat in seats {
            if self.loaded.contains(&seat.term()) {
                continue;
            }
            if let Ok(mut rows) = read_allotments(&self.tables, &seat.ownership.shard).await {
                (seat.ledger)(&mut |book| book.load(std::mem::take(&mut rows)));
                self.loaded.insert(seat.term());
            }
        }
    }

    /// Takes back what the shards do not use and returns what they want.
    fn collect(&mut self, now: Millis, limits: &Limits, seats: &[Participant]) -> Wishes {
        let mut wishes = Wishes::new();
        self.holders.clear();
        for (index, seat) in seats.iter().enumerate() {
            let term = seat.term();
            let active = self.loaded.contains(&term) && !self.lost.contains(&term);
            (seat.ledger)(&mut |book| {
                book.set_limited(&limits.names);
                if active {
                    self.collect_changes(now, (index, seat), book, &mut wishes);
                    self.collect_holders(limits, seat, book, &mut wishes);
                }
            });
        }
        for (team, _) in self.owed.keys() {
            wishes.entry(team.clone()).or_default();
        }
        wishes
    }

    fn collect_changes(
        &mut self,
        now: Millis,
        (index, seat): (usize, &Participant),
        book: &mut Ledger,
        wishes: &mut Wishes,
    ) {
        for (team, change) in book.changes(now) {
            match change {
                Change::Lower(amount) => self.take(seat, book, &team, &amount),
                change => wishes.entry(team).or_default().push((index, change)),
            }
        }
    }

    /// Looks for limits that the pools do not show yet, and takes back what is granted over them.
    fn collect_holders(
        &mut self,
        limits: &Limits,
        seat: &Participant,
        book: &mut Ledger,
        wishes: &mut Wishes,
    ) {
        for team in book.holders() {
            self.holders.insert(team.clone());
            let known = self.teams.entry(team.clone()).or_default();
            let pool = limits.apply(&team, known.row.clone());
            let is_known = known.read.is_some();
            if !is_known || pool.limit != known.row.limit {
                wishes.entry(team.clone()).or_default();
            }
            if is_known {
                let conceded = book.observe_pool(&team, &pool, known.version);
                let surplus = pool.excess().max(&conceded);
                self.take(seat, book, &team, &surplus);
            }
        }
    }

    /// Takes what a shard does not use, before the write that returns it.
    fn take(&mut self, seat: &Participant, book: &mut Ledger, team: &Name, amount: &Resources) {
        let taken = book.take_unused(team, amount);
        if taken != Resources::default() {
            self.owe(&seat.ownership, team, &taken);
        }
    }

    fn owe(&mut self, ownership: &Ownership, team: &Name, amount: &Resources) {
        let key = (team.clone(), ownership.shard.clone());
        let owed = self.owed.entry(key).or_default();
        if owed.0 != ownership.epoch {
            *owed = (ownership.epoch, Resources::default());
        }
        owed.1 = owed.1.plus(amount);
    }

    /// Reads the pools that are not known, and again those of which someone wants more.
    async fn refresh(&mut self, now: Millis, limits: &Limits, wishes: &Wishes) {
        let doubtful: HashSet<_> = self.doubtful().collect();
        let holders = &self.holders;
        self.teams.retain(|name, _| {
            doubtful.contains(name) || wishes.contains_key(name) || holders.contains(name)
        });
        for name in wishes.keys() {
            self.teams.entry(name.clone()).or_default();
        }
        for (name, team) in &mut self.teams {
            let pool = limits.apply(name, team.row.clone());
            let changes = wishes.get(name).into_iter().flatten();
            let short = changes
                .into_iter()
                .any(|(_, change)| !pool.can_apply(change));
            team.short_since = short.then(|| team.short_since.unwrap_or(now));
        }
        let teams = self.teams.iter();
        let stale = teams.filter(|(_, team)| team.is_stale(now, READ_INTERVAL));
        let mut stale: Vec<_> = stale
            .map(|(name, team)| (team.read, name.clone()))
            .collect();
        stale.sort();
        if stale.len() > MOST_SINGLE_READS {
            return self.read_all(now).await;
        }
        stale.retain(|_| self.reads.take());
        let reads = stale
            .iter()
            .map(|(_, name)| self.tables.get(POOLS_TABLE, name));
        let rows = future::join_all(reads).await;
        for row in rows.into_iter().flatten() {
            self.learn(now, &row);
        }
    }

    /// Reads all pools in pages, which costs fewer calls when many are to be read.
    async fn read_all(&mut self, now: Millis) {
        let mut after = None;
        while self.reads.take() {
            let Ok(rows) = read_pools(&self.tables, after.take()).await else {
                return;
            };
            for row in &rows {
                self.learn(now, row);
            }
            if rows.len() < ROWS_PER_READ as usize {
                self.teams.values_mut().for_each(|team| team.missing(now));
                return;
            }
            after = rows.last().map(|row| row.key.clone());
        }
    }

    fn learn(&mut self, now: Millis, row: &Row) {
        if let Some(team) = self.teams.get_mut(row.key.as_str()) {
            let _ = team.learn(row, now);
        }
    }

    /// Makes the writes that grant what is wanted and return what was taken.
    fn drafts(
        &mut self,
        now: Millis,
        limits: &Limits,
        seats: &[Participant],
        wishes: &Wishes,
    ) -> Vec<Draft> {
        let mut drafts = self.resend(now);
        let doubtful: HashSet<_> = self.doubtful().chain(teams_of(&drafts)).collect();
        let mut moves = Vec::new();
        for (name, changes) in wishes {
            if doubtful.contains(name) || !self.teams.get(name).is_some_and(|t| t.may_write(now)) {
                continue;
            }
            moves.extend(self.plan(now, limits, seats, name, changes));
        }
        // No team goes first each time when there are not enough writes for all.
        moves.shuffle(&mut self.random);
        while !moves.is_empty() && self.writes.take() {
            let rest = moves.split_off(moves.len().min(TEAMS_PER_WRITE));
            drafts.extend(self.draft(std::mem::replace(&mut moves, rest)));
        }
        drafts
    }

    fn doubtful(&self) -> impl Iterator<Item = Name> {
        teams_of(&self.in_doubt)
    }

    /// Returns the writes that must be sent again until their outcomes are known.
    fn resend(&mut self, now: Millis) -> Vec<Draft> {
        let writes = &mut self.writes;
        self.in_doubt
            .extract_if(.., |draft| draft.not_before <= now && writes.take())
            .collect()
    }

    /// Plans what to move between a team's pool and its allotments, if there is anything to move.
    fn plan(
        &self,
        now: Millis,
        limits: &Limits,
        seats: &[Participant],
        name: &Name,
        changes: &[(usize, Change)],
    ) -> Option<Move> {
        let team = self.teams.get(name)?;
        let mut pool = limits.apply(name, team.row.clone());
        let waits = team.is_short(now, READ_INTERVAL);
        let mut parts = Vec::new();
        for (index, seat) in seats.iter().enumerate() {
            let owed = self.owed.get(&(name.clone(), seat.ownership.shard.clone()));
            let wanted = changes.iter().find(|(wanting, _)| *wanting == index);
            if wanted.is_none() {
                pool.waiting.remove(&seat.ownership.shard);
            }
            if (owed.is_none() && wanted.is_none()) || self.lost.contains(&seat.term()) {
                continue;
            }
            let mut held = None;
            (seat.ledger)(&mut |book| held = Some(book.held(name)));
            let Some(held) = held else {
                continue;
            };
            let returned = owed.map_or(Resources::default(), |owed| owed.1);
            pool.release(&returned);
            let granted = wanted.map_or(Resources::default(), |(_, change)| pool.apply(change));
            if granted != Resources::default() {
                pool.waiting.remove(&seat.ownership.shard);
            } else if waits && wanted.is_some() {
                pool.waiting.insert(seat.ownership.shard.clone());
            }
            parts.push(Part {
                ownership: seat.ownership.clone(),
                held: held.plus(&granted),
                granted,
                returned,
            });
        }
        parts.retain(|part| !part.is_empty());
        let row = &team.row;
        let changed = !parts.is_empty() || pool.limit != row.limit || pool.waiting != row.waiting;
        changed.then(|| Move {
            team: name.clone(),
            version: team.version,
            pool,
            parts,
        })
    }

    fn draft(&mut self, moves: Vec<Move>) -> Option<Draft> {
        self.last_write += 1;
        let write_id = format!("allotment/{}/{}", self.session.0, self.last_write);
        let draft = Draft::new(write_id, moves).ok()?;
        for (team, part) in draft.parts() {
            let key = (team.clone(), part.ownership.shard.clone());
            self.owed.remove(&key);
        }
        Some(draft)
    }

    /// Sends writes and says whether any met another VM's.
    async fn send(&mut self, now: Millis, drafts: Vec<Draft>, seats: &[Participant]) -> bool {
        let calls = drafts
            .iter()
            .map(|draft| self.tables.transact(draft.transaction.clone()));
        let results = future::join_all(calls).await;
        let mut conflict = false;
        for (draft, result) in drafts.into_iter().zip(results) {
            conflict |= matches!(result, Ok(Outcome::Conflict(_)));
            self.take_note(now, draft, result, seats);
        }
        conflict
    }

    fn take_note(
        &mut self,
        now: Millis,
        draft: Draft,
        result: Result<Outcome>,
        seats: &[Participant],
    ) {
        match result {
            Ok(Outcome::Committed(version)) => self.commit(now, draft, version, seats),
            Ok(Outcome::Conflict(rows)) => {
                self.restore(&draft, seats);
                for row in &rows {
                    self.learn_conflict(now, &draft, row);
                }
            }
            Err(error) => {
                let mut not_before = now;
                for change in &draft.moves {
                    let team = self.teams.entry(change.team.clone()).or_default();
                    not_before = team.back_off(now, &mut self.random);
                }
                if error.kind == Kind::WriteUnknown || draft.was_in_doubt {
                    self.in_doubt.push(Draft {
                        was_in_doubt: true,
                        not_before,
                        ..draft
                    });
                } else {
                    self.restore(&draft, seats);
                }
            }
        }
    }

    fn commit(&mut self, now: Millis, draft: Draft, version: Version, seats: &[Participant]) {
        for change in draft.moves {
            for part in &change.parts {
                let seat = seats.iter().find(|seat| seat.term() == part.term());
                let Some(seat) = seat.filter(|_| part.granted != Resources::default()) else {
                    continue;
                };
                (seat.ledger)(&mut |book| {
                    book.add(&change.team, &part.granted);
                    book.observe_pool(&change.team, &change.pool, version);
                });
                (seat.notify_granted)();
            }
            let team = self.teams.entry(change.team).or_default();
            team.committed(change.pool, version, now);
        }
    }

    /// Owes again what a write that had no effect was to return.
    fn restore(&mut self, draft: &Draft, seats: &[Participant]) {
        for (team, part) in draft.parts() {
            let present = seats.iter().any(|seat| seat.term() == part.term());
            if present && part.returned != Resources::default() {
                self.owe(&part.ownership, team, &part.returned);
            }
        }
    }

    fn learn_conflict(&mut self, now: Millis, draft: &Draft, row: &Row) {
        if *row.table == *session::SHARDS_TABLE {
            let mut parts = draft.parts();
            let lost = parts.find(|(_, part)| part.ownership.shard.to_string() == row.key);
            self.lost.extend(lost.map(|(_, part)| part.term()));
        } else {
            self.learn(now, row);
        }
    }

    /// Gives each shard its part of what must stop once all VMs had time to return the rest.
    fn shed(&mut self, now: Millis, limits: &Limits, seats: &[Participant]) {
        for (name, team) in &mut self.teams {
            let pool = limits.apply(name, team.row.clone());
            let over = team.read.is_some() && pool.excess() != Resources::default();
            let was_over = team.excess_since.is_some();
            team.excess_since = over.then(|| team.excess_since.unwrap_or(now));
            let due = team.excess_since.map(|since| since.after(STOP_GRACE));
            let ripe = due.is_some_and(|due| team.read.is_some_and(|read| read >= due));
            if ripe || (was_over && !over) {
                for seat in seats {
                    (seat.ledger)(&mut |book| book.stop_excess(name, &pool));
                }
            }
        }
    }
}

fn teams_of(drafts: &[Draft]) -> impl Iterator<Item = Name> {
    let moves = drafts.iter().flat_map(|draft| &draft.moves);
    moves.map(|change| change.team.clone())
}

fn stop_overdue(now: Millis, seats: &[Participant]) {
    for seat in seats {
        let mut overdue = Vec::new();
        (seat.ledger)(&mut |book| overdue = book.overdue(now));
        for (team, over) in overdue {
            (seat.stop)(&team, &over);
        }
    }
}
