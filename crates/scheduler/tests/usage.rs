//! Tests the gossip of team usage with messages that are lost, duplicated and late.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use basilbridge_common::{
    id::{
        Name,
        Session, //
    },
    unit::Resources, //
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

/// A gossip message: the sender, the receiver and the entries.
type Message = (usize, usize, Vec<Entry<Key, Resources>>);

/// VMs that gossip, and the messages in transit.
struct Model {
    /// The usage as each VM knows it.
    usages: Vec<Usage>,
    /// The actual usage of the teams on each VM.
    own_usage: Vec<BTreeMap<Name, Resources>>,
    /// How far the receiver has acknowledged the entries of the sender, by sender and receiver.
    cursors: BTreeMap<(usize, usize), u64>,
    messages: Vec<Message>,
}

impl Model {
    fn new() -> Self {
        Self {
            usages: vec![Usage::default(); VMS],
            own_usage: vec![BTreeMap::new(); VMS],
            cursors: BTreeMap::new(),
            messages: Vec::new(),
        }
    }

    fn step(&mut self, (operation, from, to, amount): (u8, u8, u8, u8)) {
        let (from, to) = (from as usize % VMS, to as usize % VMS);
        match operation % 6 {
            0 | 1 => {
                let team = team(amount as usize % TEAMS);
                self.own_usage[from].insert(team, cores(u64::from(amount)));
                self.usages[from].set_own(session(from), &self.own_usage[from]);
            }
            2 | 3 => self.send(from, to, amount as usize % 3 + 1),
            4 => {
                // Delivers a random message, which may be late. If it is kept, it is delivered
                // again.
                if !self.messages.is_empty() {
                    let index = amount as usize % self.messages.len();
                    let message = self.messages[index].clone();
                    if amount % 2 == 0 {
                        self.messages.swap_remove(index);
                    }
                    self.deliver(message);
                }
            }
            _ => {
                self.messages.pop();
            }
        }
    }

    /// Sends entries that the receiver has not acknowledged. The cursor moves only in `settle`.
    fn send(&mut self, from: usize, to: usize, max_entries: usize) {
        let cursor = self.cursors.get(&(from, to)).copied().unwrap_or(0);
        let (entries, _) = self.usages[from].since(cursor, max_entries, session(to));
        self.messages.push((from, to, entries));
    }

    fn deliver(&mut self, (from, to, entries): Message) {
        for entry in entries {
            self.usages[to].merge(entry, session(from));
        }
    }

    /// Exchanges all entries with acknowledgements until every VM has received everything.
    fn settle(&mut self) {
        for _ in 0..VMS {
            for (from, to) in (0..VMS).flat_map(|from| (0..VMS).map(move |to| (from, to))) {
                let cursor = self.cursors.get(&(from, to)).copied().unwrap_or(0);
                let (entries, next) = self.usages[from].since(cursor, usize::MAX, session(to));
                self.deliver((from, to, entries));
                self.cursors.insert((from, to), next);
            }
        }
    }

    /// Returns whether each VM knows the usage on the other VMs to within a twentieth.
    fn converges(&self) -> bool {
        (0..VMS).all(|vm| {
            let elsewhere = self.usages[vm].elsewhere(session(vm));
            (0..TEAMS).all(|number| {
                let others = (0..VMS).filter(|other| *other != vm);
                let usages = others.filter_map(|other| self.own_usage[other].get(&team(number)));
                let expected = usages.fold(Resources::default(), |sum, usage| sum.plus(usage));
                let counted = elsewhere.get(&team(number)).copied().unwrap_or_default();
                let tolerance = expected.cpu_millis / 19 + 1;
                counted.cpu_millis.abs_diff(expected.cpu_millis) <= tolerance
            })
        })
    }
}

fn converges(operations: Vec<(u8, u8, u8, u8)>) -> bool {
    let mut model = Model::new();
    for operation in operations {
        model.step(operation);
    }
    model.settle();
    model.converges()
}

#[test]
fn lost_duplicated_and_late_messages_leave_every_vm_with_the_same_usage() {
    for seed in 0..4 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(200, seed))
            .tests(100)
            .quickcheck(converges as fn(Vec<(u8, u8, u8, u8)>) -> bool);
    }
}

#[test]
fn entries_of_a_vm_that_has_left_are_removed() {
    let mut usage = Usage::default();
    let entry = Entry {
        key: (session(1), team(0)),
        version: 1,
        value: cores(5),
    };
    usage.merge(entry, session(1));

    usage.retain(&BTreeSet::from([session(0)]));

    assert!(usage.elsewhere(session(0)).is_empty());
}

#[test]
fn a_change_of_at_most_a_twentieth_is_not_reported() {
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
