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
        Book,
        STOP_GRACE, //
    },
    limit::Change,
};
use futures_util::future;
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    budget::Budget,
    grant::{
        Draft,
        POOLS_TABLE,
        Part,
        Team,
        Tenure,
        read, //
    },
    journal::Title,
    seat::{
        Limits,
        Seat, //
    },
    session,
};

/// The writes that all VMs together spend on allotments.
pub const WRITES_PER_SECOND: u64 = 100;

/// The reads that all VMs together spend on pools.
pub const READS_PER_SECOND: u64 = 200;

/// How often a round tries again when another VM has changed the pool.
const ATTEMPTS: u32 = 3;

/// How often a pool that had too little is read again.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// What the shards of this VM want of the pools, by the position of the shard.
type Wishes = BTreeMap<Name, Vec<(usize, Change)>>;

/// Moves allotments between the pools and the shards of one VM.
pub struct Desk {
    tables: Service,
    session: Session,
    random: SmallRng,
    writes: Budget,
    reads: Budget,
    loaded: HashSet<Tenure>,
    lost: HashSet<Tenure>,
    teams: BTreeMap<Name, Team>,
    /// The teams that have an allotment on this VM.
    holders: BTreeSet<Name>,
    /// What was taken from a book and is not written back to its pool yet.
    owed: BTreeMap<(Name, Shard), (Epoch, Resources)>,
    last_write: u64,
}

impl Desk {
    /// Makes a desk for a VM; `seed` spreads its second tries over time.
    pub fn new(tables: Service, session: Session, seed: u64) -> Self {
        Self {
            tables,
            session,
            random: SmallRng::seed_from_u64(seed),
            writes: Budget::new(WRITES_PER_SECOND),
            reads: Budget::new(READS_PER_SECOND),
            loaded: HashSet::new(),
            lost: HashSet::new(),
            teams: BTreeMap::new(),
            holders: BTreeSet::new(),
            owed: BTreeMap::new(),
            last_write: 0,
        }
    }

    /// Moves what the shards want moved; `vms` share the budget of calls.
    pub async fn round(&mut self, now: Millis, limits: &Limits, seats: &[Seat], vms: usize) {
        self.writes.fill(now, vms);
        self.reads.fill(now, vms);
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
    fn forget(&mut self, seats: &[Seat]) {
        let present: HashSet<_> = seats.iter().map(Seat::tenure).collect();
        self.loaded.retain(|tenure| present.contains(tenure));
        self.lost.retain(|tenure| present.contains(tenure));
        self.owed
            .retain(|(_, shard), (epoch, _)| present.contains(&(shard.clone(), *epoch)));
    }

    /// Reads the allotments of shards that were just claimed.
    async fn load(&mut self, seats: &[Seat]) {
        for seat in seats {
            if self.loaded.contains(&seat.tenure()) {
                continue;
            }
            if let Ok(mut rows) = read(&self.tables, &seat.title.shard).await {
                (seat.book)(&mut |book| book.load(std::mem::take(&mut rows)));
                self.loaded.insert(seat.tenure());
            }
        }
    }

    /// Takes back what the shards do not use and returns what they want.
    fn collect(&mut self, now: Millis, limits: &Limits, seats: &[Seat]) -> Wishes {
        let mut wishes = Wishes::new();
        self.holders.clear();
        for (index, seat) in seats.iter().enumerate() {
            let tenure = seat.tenure();
            let active = self.loaded.contains(&tenure) && !self.lost.contains(&tenure);
            (seat.book)(&mut |book| {
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
        (index, seat): (usize, &Seat),
        book: &mut Book,
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
        seat: &Seat,
        book: &mut Book,
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
                let conceded = book.note(&team, &pool, known.version);
                let surplus = pool.excess().max(&conceded);
                self.take(seat, book, &team, &surplus);
            }
        }
    }

    /// Takes what a shard does not use, before the write that returns it.
    fn take(&mut self, seat: &Seat, book: &mut Book, team: &Name, amount: &Resources) {
        let taken = book.take_unused(team, amount);
        if taken != Resources::default() {
            self.owe(&seat.title, team, &taken);
        }
    }

    fn owe(&mut self, title: &Title, team: &Name, amount: &Resources) {
        let key = (team.clone(), title.shard.clone());
        let owed = self.owed.entry(key).or_default();
        if owed.0 != title.epoch {
            *owed = (title.epoch, Resources::default());
        }
        owed.1 = owed.1.plus(amount);
    }

    /// Reads the pools that are not known, and again those of which someone wants more.
    async fn refresh(&mut self, now: Millis, limits: &Limits, wishes: &Wishes) {
        let holders = &self.holders;
        self.teams.retain(|name, team| {
            team.in_doubt.is_some() || wishes.contains_key(name) || holders.contains(name)
        });
        for name in wishes.keys() {
            self.teams.entry(name.clone()).or_default();
        }
        for (name, team) in &mut self.teams {
            let pool = limits.apply(name, team.row.clone());
            let changes = wishes.get(name).into_iter().flatten();
            let short = changes
                .into_iter()
                .any(|(_, change)| !pool.satisfies(change));
            team.short_since = short.then(|| team.short_since.unwrap_or(now));
        }
        let teams = self.teams.iter();
        let stale = teams.filter(|(_, team)| team.is_stale(now, READ_INTERVAL));
        let mut stale: Vec<_> = stale
            .map(|(name, team)| (team.read, name.clone()))
            .collect();
        stale.sort();
        stale.retain(|_| self.reads.take());
        let reads = stale
            .iter()
            .map(|(_, name)| self.tables.get(POOLS_TABLE, name));
        let rows = future::join_all(reads).await;
        for ((_, name), row) in stale.iter().zip(rows) {
            if let (Some(team), Ok(row)) = (self.teams.get_mut(name), row) {
                let _ = team.learn(&row, now);
            }
        }
    }

    /// Makes the writes that grant what is wanted and return what was taken.
    fn drafts(
        &mut self,
        now: Millis,
        limits: &Limits,
        seats: &[Seat],
        wishes: &Wishes,
    ) -> Vec<Draft> {
        let mut drafts = self.in_doubt(now);
        for (name, changes) in wishes {
            let team = self.teams.entry(name.clone()).or_default();
            let waits = team.in_doubt.is_some() || drafts.iter().any(|draft| draft.team == *name);
            if waits || !team.may_write(now) {
                continue;
            }
            if let Some(draft) = self.draft(now, limits, seats, name, changes) {
                drafts.push(draft);
            }
        }
        drafts
    }

    /// Returns the writes that must be sent again until their outcomes are known.
    fn in_doubt(&mut self, now: Millis) -> Vec<Draft> {
        let writes = &mut self.writes;
        self.teams
            .values_mut()
            .filter(|team| team.in_doubt.is_some() && team.may_write(now) && writes.take())
            .filter_map(|team| team.in_doubt.take())
            .collect()
    }

    fn draft(
        &mut self,
        now: Millis,
        limits: &Limits,
        seats: &[Seat],
        name: &Name,
        changes: &[(usize, Change)],
    ) -> Option<Draft> {
        let team = self.teams.get(name)?;
        let mut pool = limits.apply(name, team.row.clone());
        let waits = team.is_short(now, READ_INTERVAL);
        let mut parts = Vec::new();
        for (index, seat) in seats.iter().enumerate() {
            let mut held = None;
            (seat.book)(&mut |book| held = Some(book.held(name)));
            let Some(held) = held.filter(|_| !self.lost.contains(&seat.tenure())) else {
                continue;
            };
            let owed = self.owed.get(&(name.clone(), seat.title.shard.clone()));
            let returned = owed.map_or(Resources::default(), |owed| owed.1);
            pool.give_back(&returned);
            let wanted = changes.iter().find(|(wanting, _)| *wanting == index);
            let granted = wanted.map_or(Resources::default(), |(_, change)| pool.carry_out(change));
            let in_vain = wanted.is_some() && granted == Resources::default();
            if !in_vain {
                pool.waiting.remove(&seat.title.shard);
            } else if waits {
                pool.waiting.insert(seat.title.shard.clone());
            }
            parts.push(Part {
                title: seat.title.clone(),
                held: held.plus(&granted),
                granted,
                returned,
            });
        }
        parts.retain(|part| !part.is_empty());
        let row = &team.row;
        let changed = !parts.is_empty() || pool.limit != row.limit || pool.waiting != row.waiting;
        if !changed || !self.writes.take() {
            return None;
        }
        for part in &parts {
            self.owed.remove(&(name.clone(), part.title.shard.clone()));
        }
        self.last_write += 1;
        let write_id = format!("allotment/{}/{}", self.session.0, self.last_write);
        Draft::new(write_id, name.clone(), team.version, pool, parts).ok()
    }

    /// Sends writes and says whether any met another VM's.
    async fn send(&mut self, now: Millis, drafts: Vec<Draft>, seats: &[Seat]) -> bool {
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

    fn take_note(&mut self, now: Millis, draft: Draft, result: Result<Outcome>, seats: &[Seat]) {
        match result {
            Ok(Outcome::Committed(version)) => self.commit(now, draft, version, seats),
            Ok(Outcome::Conflict(rows)) => {
                self.restore(&draft, seats);
                for row in &rows {
                    self.learn_conflict(now, &draft, row);
                }
            }
            Err(error) => {
                let team = self.teams.entry(draft.team.clone()).or_default();
                team.back_off(now, &mut self.random);
                if error.kind == Kind::WriteUnknown || draft.was_in_doubt {
                    team.in_doubt = Some(Draft {
                        was_in_doubt: true,
                        ..draft
                    });
                } else {
                    self.restore(&draft, seats);
                }
            }
        }
    }

    fn commit(&mut self, now: Millis, draft: Draft, version: Version, seats: &[Seat]) {
        for part in &draft.parts {
            let seat = seats.iter().find(|seat| seat.tenure() == part.tenure());
            let Some(seat) = seat.filter(|_| part.granted != Resources::default()) else {
                continue;
            };
            (seat.book)(&mut |book| {
                book.add(&draft.team, &part.granted);
                book.note(&draft.team, &draft.pool, version);
            });
            (seat.granted)();
        }
        let team = self.teams.entry(draft.team).or_default();
        team.committed(draft.pool, version, now);
    }

    /// Owes again what a write that had no effect was to return.
    fn restore(&mut self, draft: &Draft, seats: &[Seat]) {
        for part in &draft.parts {
            let present = seats.iter().any(|seat| seat.tenure() == part.tenure());
            if present && part.returned != Resources::default() {
                self.owe(&part.title, &draft.team, &part.returned);
            }
        }
    }

    fn learn_conflict(&mut self, now: Millis, draft: &Draft, row: &Row) {
        if *row.table == *session::SHARDS_TABLE {
            let lost = draft
                .parts
                .iter()
                .find(|part| part.title.shard.to_string() == row.key);
            self.lost.extend(lost.map(Part::tenure));
        } else if let Some(team) = self.teams.get_mut(&draft.team) {
            let _ = team.learn(row, now);
        }
    }

    /// Gives each shard its part of what must stop once all VMs had time to return the rest.
    fn shed(&mut self, now: Millis, limits: &Limits, seats: &[Seat]) {
        for (name, team) in &mut self.teams {
            let pool = limits.apply(name, team.row.clone());
            let over = team.read.is_some() && pool.excess() != Resources::default();
            let was_over = team.excess_since.is_some();
            team.excess_since = over.then(|| team.excess_since.unwrap_or(now));
            let due = team.excess_since.map(|since| since.after(STOP_GRACE));
            let ripe = due.is_some_and(|due| team.read.is_some_and(|read| read >= due));
            if ripe || (was_over && !over) {
                for seat in seats {
                    (seat.book)(&mut |book| book.shed(name, &pool));
                }
            }
        }
    }
}

fn stop_overdue(now: Millis, seats: &[Seat]) {
    for seat in seats {
        let mut overdue = Vec::new();
        (seat.book)(&mut |book| overdue = book.overdue(now));
        for (team, over) in overdue {
            (seat.stop)(&team, &over);
        }
    }
}
