//! Upper limits against a model that adds everything up.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    id::{
        Name,
        Version, //
    },
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_scheduler::{
    allotment::{
        IDLE_WINDOW,
        Ledger,
        STOP_GRACE, //
    },
    limit::{
        Change,
        Pool, //
    },
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

const NOTHING: Resources = cores(0);

const fn cores(count: u64) -> Resources {
    Resources {
        cpu_millis: count * 1000,
        memory_mib: count * 2048,
        accelerators: count,
    }
}

fn team() -> Name {
    "club".into()
}

fn pool(limit: Resources) -> Pool {
    let mut pool = Pool::default();
    pool.set_limit(limit, Version(1));
    pool
}

fn limited_book() -> Ledger {
    let mut book = Ledger::default();
    book.set_limited(&Arc::new([team()].into()));
    book.finish_recovery();
    book
}

/// Carries out what a book asks for, as one transaction each.
fn exchange(book: &mut Ledger, pool: &mut Pool, now: Millis) {
    for (team, change) in book.changes(now) {
        if let Change::Lower(amount) = change {
            pool.release(&book.take_unused(&team, &amount));
        } else {
            let granted = pool.apply(&change);
            book.add(&team, &granted);
        }
        book.observe_pool(&team, pool, Version(1));
    }
}

/// A shard, the tasks that run there, and the row of its allotment.
#[derive(Default)]
struct Seat {
    book: Ledger,
    running: Vec<Resources>,
    not_found: Vec<Resources>,
}

struct Model {
    pool: Pool,
    seats: Vec<Seat>,
    now: Millis,
    /// The most that the team may have running: the limit, or what ran when it was lowered.
    ceiling: Resources,
}

impl Model {
    fn new(shards: usize) -> Self {
        let seat = |_| Seat {
            book: limited_book(),
            ..Seat::default()
        };
        Self {
            pool: pool(cores(20)),
            seats: (0..shards).map(seat).collect(),
            now: Millis(1),
            ceiling: cores(20),
        }
    }

    fn running(&self) -> Resources {
        let seats = self.seats.iter();
        let tasks = seats.flat_map(|seat| seat.running.iter().chain(&seat.not_found));
        tasks.fold(NOTHING, |sum, task| sum.plus(task))
    }

    fn step(&mut self, (operation, shard, amount): (u8, u8, u8)) {
        let index = shard as usize % self.seats.len();
        let seat = &mut self.seats[index];
        let need = cores(u64::from(amount % 7) + 1);
        match operation % 8 {
            0 | 1 => {
                seat.book.begin_pass();
                if seat.book.admits(&team(), &need) {
                    seat.book.start(&team(), &need);
                    seat.running.push(need);
                }
            }
            2 => {
                if let Some(task) = seat.running.pop() {
                    seat.book.end(&team(), &task);
                }
            }
            3 | 4 => exchange(&mut seat.book, &mut self.pool, self.now),
            5 => claim(seat),
            6 => match seat.not_found.pop() {
                Some(task) => {
                    seat.book.add_recovered(&team(), &task);
                    seat.running.push(task);
                }
                None => seat.book.finish_recovery(),
            },
            _ if amount % 4 == 0 => self.set_limit(cores(u64::from(amount))),
            _ => self.now = self.now.after(IDLE_WINDOW),
        }
    }

    /// Changes the limit; each owner then gives back what it does not use.
    fn set_limit(&mut self, limit: Resources) {
        let version = Version(self.pool.version.0 + 1);
        self.pool.set_limit(limit, version);
        for seat in &mut self.seats {
            let excess = self.pool.excess();
            self.pool.release(&seat.book.take_unused(&team(), &excess));
        }
        self.ceiling = limit.max(&self.pool.granted);
    }

    fn check(&self) -> bool {
        let held = self.seats.iter().map(|seat| seat.book.held(&team()));
        let held = held.fold(NOTHING, |sum, held| sum.plus(&held));
        held == self.pool.granted
            && held.fits(&self.ceiling)
            && self.running().fits(&held)
            && self.running().fits(&self.ceiling)
    }
}

/// A new owner takes the shard over and has yet to find what runs there.
fn claim(seat: &mut Seat) {
    let held = seat.book.held(&team());
    seat.not_found.append(&mut seat.running);
    seat.book = Ledger::default();
    seat.book.set_limited(&Arc::new([team()].into()));
    seat.book.load([(team(), held)]);
}

fn holds(operations: Vec<(u8, u8, u8)>) -> bool {
    let mut model = Model::new(4);
    operations.into_iter().all(|operation| {
        model.step(operation);
        model.check()
    })
}

#[test]
fn running_never_exceeds_the_limit_under_any_order_of_grants_moves_claims_and_lowered_limits() {
    for seed in 0..8 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(400, seed))
            .tests(100)
            .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
    }
}

#[test]
fn the_last_task_that_fits_the_limit_starts_however_the_limit_is_cut() {
    let mut pool = pool(cores(16));
    let mut books: Vec<_> = (0..4).map(|_| limited_book()).collect();
    let mut started = 0;

    for round in 0..16 {
        for book in &mut books {
            book.begin_pass();
            if !book.admits(&team(), &cores(1)) {
                let now = Millis(1).after(IDLE_WINDOW * round);
                exchange(book, &mut pool, now);
            }
            if book.admits(&team(), &cores(1)) {
                book.start(&team(), &cores(1));
                started += 1;
            }
        }
    }

    assert_eq!(started, 16);
    assert_eq!(pool.granted, cores(16));
}

#[test]
fn a_steady_load_asks_for_nothing_once_it_has_its_allotment() {
    let mut pool = pool(cores(1000));
    let mut book = limited_book();
    let mut asked = 0;

    for second in 0..100_u64 {
        let now = Millis(second * 1000);
        for _ in 0..(6 + second % 5) {
            book.begin_pass();
            if !book.admits(&team(), &cores(1)) {
                exchange(&mut book, &mut pool, now);
                asked += 1;
            }
            book.start(&team(), &cores(1));
        }
        let used = book.used(&team()).cpu_millis / 1000;
        (0..used).for_each(|_| book.end(&team(), &cores(1)));
        asked += book.changes(now).len();
    }

    // Five hundred starts and more; the bound is one write for ten starts, the brief's budget of
    // 190 writes a second for 1,900 starts.
    assert!(asked <= 80, "{asked}");
}

#[test]
fn an_allotment_that_nobody_uses_is_given_back_whole() {
    let mut pool = pool(cores(100));
    let mut book = limited_book();
    book.begin_pass();
    book.admits(&team(), &cores(8));
    exchange(&mut book, &mut pool, Millis(1));
    book.begin_pass();

    for window in 1..5 {
        let now = Millis(1).after(IDLE_WINDOW * window);
        exchange(&mut book, &mut pool, now);
    }

    assert_eq!(pool.granted, NOTHING);
}

#[test]
fn what_runs_over_a_lowered_limit_is_named_after_the_grace_time_in_proportion() {
    let mut pool = pool(cores(16));
    let mut books = [limited_book(), limited_book()];
    for (book, tasks) in books.iter_mut().zip([12, 4]) {
        book.add(&team(), &pool.cover(&cores(tasks)));
        (0..tasks).for_each(|_| book.start(&team(), &cores(1)));
    }

    pool.set_limit(cores(8), Version(2));
    for book in &mut books {
        assert_eq!(book.take_unused(&team(), &pool.excess()), NOTHING);
        book.stop_excess(&team(), &pool);
    }
    let early: Vec<_> = books
        .iter_mut()
        .flat_map(|book| book.overdue(Millis(1)))
        .collect();
    let late = Millis(1).after(STOP_GRACE);
    let overdue: Vec<_> = books
        .iter_mut()
        .flat_map(|book| book.overdue(late))
        .collect();

    assert_eq!(early, []);
    assert_eq!(overdue, [(team(), cores(6)), (team(), cores(2))]);
}

#[test]
fn an_older_limit_never_replaces_a_newer_one() {
    let mut pool = pool(cores(8));

    pool.set_limit(cores(4), Version(5));
    pool.set_limit(cores(8), Version(4));

    assert_eq!(pool.limit, cores(4));
}

#[test]
fn work_of_a_team_without_a_limit_asks_for_nothing() {
    let mut book = Ledger::default();
    book.finish_recovery();

    let admitted = book.admits(&team(), &cores(500));
    book.start(&team(), &cores(500));

    assert!(admitted);
    assert_eq!(book.changes(Millis(1).after(Duration::from_secs(60))), []);
}
