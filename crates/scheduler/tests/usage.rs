//! Use of teams told between VMs by messages that are lost, repeated and late.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use basilbridge_common::{
    id::{
        Name,
        Session, //
    },
    unit::Resources,
};
use basilbridge_scheduler::{
    gossip::Entry,
    usage::{
        Key,
        Usage, //
    },
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

const VMS: usize = 4;
const TEAMS: usize = 3;

fn cores(count: u64) -> Resources {
    Resources {
        cpu_millis: count * 1000,
        ..Resources::default()
    }
}

fn team(number: usize) -> Name {
    format!("team-{number}").into()
}

fn session(vm: usize) -> Session {
    Session(vm as u64)
}

type Message = (usize, usize, Vec<Entry<Key, Resources>>);

/// VMs that know what they run, what they have heard, and messages on their way.
struct Model {
    usages: Vec<Usage>,
    runs: Vec<BTreeMap<Name, Resources>>,
    cursors: BTreeMap<(usize, usize), u64>,
    messages: Vec<Message>,
}

impl Model {
    fn new() -> Self {
        Self {
            usages: vec![Usage::default(); VMS],
            runs: vec![BTreeMap::new(); VMS],
            cursors: BTreeMap::new(),
            messages: Vec::new(),
        }
    }

    fn step(&mut self, (operation, from, to, amount): (u8, u8, u8, u8)) {
        let (from, to) = (from as usize % VMS, to as usize % VMS);
        match operation % 6 {
            0 | 1 => {
                let team = team(amount as usize % TEAMS);
                self.runs[from].insert(team, cores(u64::from(amount)));
                self.usages[from].set_own(session(from), &self.runs[from]);
            }
            2 | 3 => self.send(from, to, amount as usize % 3 + 1),
            4 => {
                // A message is delivered late, or twice when it stays.
                if !self.messages.is_empty() {
                    let at = amount as usize % self.messages.len();
                    let message = self.messages[at].clone();
                    if amount % 2 == 0 {
                        self.messages.swap_remove(at);
                    }
                    self.deliver(message);
                }
            }
            _ => {
                self.messages.pop();
            }
        }
    }

    /// Sends what the other VM has not acknowledged; only a delivery moves the cursor.
    fn send(&mut self, from: usize, to: usize, most: usize) {
        let cursor = self.cursors.get(&(from, to)).copied().unwrap_or(0);
        let (facts, _) = self.usages[from].since(cursor, most, session(to));
        self.messages.push((from, to, facts));
    }

    fn deliver(&mut self, (from, to, facts): Message) {
        for fact in facts {
            self.usages[to].merge(fact, session(from));
        }
    }

    /// Exchanges all with acknowledgements until every VM has heard of everything.
    fn settle(&mut self) {
        for _ in 0..VMS {
            for (from, to) in (0..VMS).flat_map(|from| (0..VMS).map(move |to| (from, to))) {
                let cursor = self.cursors.get(&(from, to)).copied().unwrap_or(0);
                let (facts, next) = self.usages[from].since(cursor, usize::MAX, session(to));
                self.deliver((from, to, facts));
                self.cursors.insert((from, to), next);
            }
        }
    }

    /// Says whether each VM counts of the others what they run, to a twentieth.
    fn agrees(&self) -> bool {
        (0..VMS).all(|vm| {
            let elsewhere = self.usages[vm].elsewhere(session(vm));
            (0..TEAMS).all(|number| {
                let others = (0..VMS).filter(|other| *other != vm);
                let run = others.filter_map(|other| self.runs[other].get(&team(number)));
                let run = run.fold(Resources::default(), |sum, run| sum.plus(run));
                let counted = elsewhere.get(&team(number)).copied().unwrap_or_default();
                let slack = run.cpu_millis / 19 + 1;
                counted.cpu_millis.abs_diff(run.cpu_millis) <= slack
            })
        })
    }
}

fn agrees(operations: Vec<(u8, u8, u8, u8)>) -> bool {
    let mut model = Model::new();
    for operation in operations {
        model.step(operation);
    }
    model.settle();
    model.agrees()
}

#[test]
fn lost_repeated_and_late_news_leave_every_vm_with_the_same_use() {
    for seed in 0..4 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(200, seed))
            .tests(100)
            .quickcheck(agrees as fn(Vec<(u8, u8, u8, u8)>) -> bool);
    }
}

#[test]
fn what_a_vm_that_is_gone_told_counts_no_more() {
    let mut usage = Usage::default();
    let fact = Entry {
        key: (session(1), team(0)),
        version: 1,
        value: cores(5),
    };
    usage.merge(fact, session(1));

    usage.retain(&BTreeSet::from([session(0)]));

    assert!(usage.elsewhere(session(0)).is_empty());
}

#[test]
fn a_change_within_a_twentieth_is_not_told() {
    let mut usage = Usage::default();
    let uses = |cores_used| BTreeMap::from([(team(0), cores(cores_used))]);
    usage.set_own(session(0), &uses(100));
    let (_, cursor) = usage.since(0, 10, session(1));

    usage.set_own(session(0), &uses(103));
    let (small, _) = usage.since(cursor, 10, session(1));
    usage.set_own(session(0), &uses(110));
    let (large, _) = usage.since(cursor, 10, session(1));

    assert_eq!(small, []);
    assert_eq!(large.len(), 1);
}
