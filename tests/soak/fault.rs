//! Faults by seed. They come in series and overlap; each ends by itself.

use std::time::Duration;

use basilbridge_adapter_standins::{
    fleet::WorkerMode,
    store::StoreMode, //
};
use rand::{
    Rng,
    rngs::SmallRng, //
};
use rustix::process::Signal;

use crate::{
    cell::WORKERS,
    partition::Loss,
    proxy::Mode, //
};

/// What is done to one part of the cell.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Kind {
    /// A process is killed; it is started again when the fault ends.
    Kill,
    /// A process is told to end; it is started again when the fault ends.
    Terminate,
    /// A process stands still.
    Pause,
    /// Its settings file is said to have changed.
    Reload,
    /// The connections of a VM to the store.
    StorePath(Mode),
    /// How the store treats a VM, or all of them.
    Store { access: StoreMode, all: bool },
    /// The store forgets its history.
    Compact,
    /// The connections to a worker.
    WorkerPath(Mode),
    /// How a worker treats its calls.
    Worker(WorkerMode),
    /// A worker loses all it had and starts again.
    Reboot,
    /// A worker has only this percentage of its capacity.
    Shrink(u64),
    /// A data centre is evacuated; that is revoked when the fault ends.
    Evacuate,
    /// The entries of a worker, or of all, expire; they are back when the fault ends.
    Lapse { all: bool },
    /// A worker announces to leave, serves on, and leaves when the fault ends. Another life of it
    /// starts then.
    Drain,
    /// The process that owns the workers gets a signal.
    Depose(Signal),
    /// The store refuses the process that owns the workers.
    Refuse,
    /// A worker crashes; another one comes, mostly at another address.
    Crash,
    /// The process that owns the workers keeps this number of them, and is cut off from the store, the
    /// other VMs and the other workers. The other VMs are cut off from those that it keeps.
    Partition { kept: usize, loss: Loss },
}

impl Kind {
    /// Returns the signal that begins the fault, if one does.
    pub(crate) fn signal(self) -> Option<Signal> {
        match self {
            Self::Kill => Some(Signal::KILL),
            Self::Terminate => Some(Signal::TERM),
            Self::Pause => Some(Signal::STOP),
            Self::Reload => Some(Signal::HUP),
            _ => None,
        }
    }
}

/// A fault, its place and its time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fault {
    pub(crate) at: Duration,
    pub(crate) lasts: Duration,
    pub(crate) kind: Kind,
    /// Which VM or worker, counted from zero and beyond their number.
    pub(crate) place: usize,
}

/// The time from the crash of a worker to the last change of the owner in a chain, about.
const CHAIN_TIME: Duration = Duration::from_millis(2500);

/// One run in so many has partitions, up to so many.
const PARTITION_ONE_IN: u32 = 2;
const MAX_PARTITIONS: u32 = 2;

/// Draws the faults of a run that lasts `length`.
pub(crate) fn draw(random: &mut SmallRng, length: Duration) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        let place = random.random_range(0..60);
        faults.push(Fault {
            at,
            lasts: Duration::from_millis(random.random_range(100..3500)),
            kind: kind(random),
            place,
        });
        // A third come right behind the one before.
        let pause = if random.random_range(0..3) == 0 {
            random.random_range(0..60)
        } else {
            random.random_range(200..1200)
        };
        at += Duration::from_millis(pause);
    }
    faults
}

fn kind(random: &mut SmallRng) -> Kind {
    let mode = [
        Mode::Delayed(Duration::from_millis(random.random_range(5..300))),
        Mode::Silent,
        Mode::Deaf,
        Mode::Closed,
    ][random.random_range(0..4)];
    let access = [
        StoreMode::Unavailable,
        StoreMode::DroppedResponses,
        StoreMode::Slow(Duration::from_millis(random.random_range(20..400))),
    ][random.random_range(0..3)];
    match random.random_range(0..16) {
        0..=2 => Kind::Kill,
        3 => Kind::Terminate,
        4..=5 => Kind::Pause,
        6 => Kind::Reload,
        7..=8 => Kind::StorePath(mode),
        9 => Kind::Store { access, all: false },
        10 => Kind::Store { access, all: true },
        11 => Kind::Compact,
        12 => Kind::WorkerPath(mode),
        13 => Kind::Worker(WorkerMode::Unresponsive),
        14 => Kind::Worker(
            [WorkerMode::DelayedOrders, WorkerMode::FailingRuns][random.random_range(0..2)],
        ),
        _ => Kind::Reboot,
    }
}

/// Draws the times at which workers shrink in a run that lasts `length`.
pub(crate) fn draw_shrinks(random: &mut SmallRng, length: Duration) -> Vec<Fault> {
    let mut shrinks = Vec::new();
    let mut at = Duration::from_millis(300);
    while at < length {
        shrinks.push(Fault {
            at,
            lasts: Duration::from_millis(random.random_range(500..6000)),
            kind: Kind::Shrink(random.random_range(10..70)),
            place: random.random_range(0..60),
        });
        at += Duration::from_millis(random.random_range(300..2000));
    }
    shrinks
}

/// Draws the departures and expired entries of workers, and the changes of the owner beside them, in a
/// run that lasts `length`.
pub(crate) fn draw_departures(random: &mut SmallRng, length: Duration) -> Vec<Fault> {
    let mut departures = Vec::new();
    let mut at = Duration::from_millis(400);
    while at < length {
        let kind = match random.random_range(0..9) {
            0..=3 => Kind::Drain,
            4 => Kind::Lapse { all: false },
            5..=6 => Kind::Lapse { all: true },
            7 => Kind::Depose(Signal::KILL),
            _ => Kind::Depose(Signal::TERM),
        };
        departures.push(Fault {
            at,
            lasts: Duration::from_millis(random.random_range(300..4000)),
            kind,
            place: random.random_range(0..60),
        });
        at += Duration::from_millis(random.random_range(100..1100));
    }
    departures
}

/// Draws chains of owners that end within two seconds, each with a worker that has crashed or is not
/// heard shortly before. The last chain comes as the other faults end, at `end`.
pub(crate) fn draw_chains(random: &mut SmallRng, end: Duration) -> Vec<Fault> {
    let mut chains = Vec::new();
    let mut at = Duration::from_millis(random.random_range(1000..4000));
    while at + CHAIN_TIME * 2 < end {
        draw_chain(random, at, &mut chains);
        at += Duration::from_millis(random.random_range(3000..8000));
    }
    draw_chain(random, end.saturating_sub(CHAIN_TIME), &mut chains);
    chains
}

fn draw_chain(random: &mut SmallRng, begin: Duration, chain: &mut Vec<Fault>) {
    let deaf = [Mode::Deaf, Mode::Silent][random.random_range(0..2)];
    let of_worker = [Kind::Crash, Kind::Crash, Kind::WorkerPath(deaf)][random.random_range(0..3)];
    chain.push(Fault {
        at: begin,
        lasts: Duration::from_millis(random.random_range(1000..2500)),
        kind: of_worker,
        place: random.random_range(0..60),
    });
    let mut at = begin + Duration::from_millis(random.random_range(50..900));
    for _ in 0..random.random_range(2..4) {
        let kind = [
            Kind::Depose(Signal::KILL),
            Kind::Depose(Signal::TERM),
            Kind::Depose(Signal::STOP),
            Kind::Refuse,
        ][random.random_range(0..4)];
        chain.push(Fault {
            at,
            lasts: Duration::from_millis(random.random_range(400..1500)),
            kind,
            place: 0,
        });
        at += Duration::from_millis(random.random_range(200..900));
    }
}

/// Draws the evacuations of data centres in a run that lasts `length`. Some last longer than the
/// time within which they have to be in force.
pub(crate) fn draw_evacuations(random: &mut SmallRng, length: Duration) -> Vec<Fault> {
    let mut evacuations = Vec::new();
    let mut at = Duration::from_millis(700);
    while at < length {
        evacuations.push(Fault {
            at,
            lasts: Duration::from_millis(random.random_range(500..8000)),
            kind: Kind::Evacuate,
            place: random.random_range(0..60),
        });
        at += Duration::from_millis(random.random_range(500..6000));
    }
    evacuations
}

/// Draws the partitions of a run that lasts `length`, among the other faults or right after them, at
/// `end`. Most outlast the usual lease. The second one meets the owner after the first.
pub(crate) fn draw_partitions(
    random: &mut SmallRng,
    length: Duration,
    end: Duration,
) -> Vec<Fault> {
    let mut partitions = Vec::new();
    if random.random_range(0..PARTITION_ONE_IN) != 0 {
        return partitions;
    }
    let mut at = if random.random_range(0..3) == 0 {
        length.mul_f64(random.random_range(0.4..1.0))
    } else {
        end + Duration::from_millis(random.random_range(0..2000))
    };
    for _ in 0..random.random_range(1..=MAX_PARTITIONS) {
        let times = [(); 3].map(|()| random.random_range(4000..14_000));
        let kept = [(); 2].map(|()| random.random_range(1..WORKERS));
        let loss = [
            Loss::Both,
            Loss::Both,
            Loss::Both,
            Loss::Sent,
            Loss::Received,
        ][random.random_range(0..5)];
        partitions.push(Fault {
            at,
            lasts: Duration::from_millis(times.into_iter().max().unwrap_or_default()),
            kind: Kind::Partition {
                kept: kept.into_iter().min().unwrap_or_default(),
                loss,
            },
            place: random.random_range(0..60),
        });
        at += Duration::from_millis(random.random_range(2500..7000));
    }
    partitions
}
