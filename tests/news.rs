//! News between entry VMs on a manual clock: bytes, staleness, and what a lost answer does.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use basilbridge::{
    gossip::{
        self,
        ClusterState,
        INTERVAL, //
    },
    session::Record,
};
use basilbridge_common::{
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
use basilbridge_peers::News;
use basilbridge_scheduler::route::Summary;
use prost::Message;
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

/// The letter's bound on what a node spends for control.
const MOST_BYTES_PER_SECOND: usize = 12_000;

const START: Millis = Millis(1_000_000);

struct Size {
    vms: usize,
    data_centres: usize,
    shards: usize,
    teams: usize,
    teams_of_shard: usize,
}

struct Cell {
    size: Size,
    boards: Vec<ClusterState>,
    records: Vec<Record>,
    runs: Vec<BTreeMap<Name, Resources>>,
    random: SmallRng,
    bytes: Vec<usize>,
    now: Millis,
}

fn cores(count: u64) -> Resources {
    Resources {
        cpu_millis: count * 1000,
        memory_mib: count * 2048,
        accelerators: 0,
    }
}

fn record(vm: usize, data_centres: usize) -> Record {
    Record {
        session: Session(u64::MAX - vm as u64),
        name: format!("entry-{vm}").into(),
        address: ([127, 0, 0, 1], 0).into(),
        data_centre: format!("centre-{}", vm % data_centres).into(),
        renewals: 0,
        lease: INTERVAL,
        configuration: Version(0),
        leaving: false,
    }
}

fn cell(size: Size) -> Cell {
    let records: Vec<_> = (0..size.vms)
        .map(|vm| record(vm, size.data_centres))
        .collect();
    let boards = records
        .iter()
        .map(|record| ClusterState::new(record.session, record.data_centre.clone()))
        .collect();
    Cell {
        boards,
        runs: vec![BTreeMap::new(); size.shards],
        random: SmallRng::seed_from_u64(1),
        bytes: vec![0; size.vms],
        now: START,
        records,
        size,
    }
}

fn tasks_of(used: &Resources) -> u64 {
    used.cpu_millis / 1000
}

impl Cell {
    fn shard(&self, number: usize) -> Shard {
        let vm = number % self.size.vms;
        Shard {
            data_centre: self.records[vm].data_centre.clone(),
            number: number as u32,
        }
    }

    /// Changes what runs in each shard a little, and puts it on the boards.
    fn work(&mut self) {
        let mut uses: HashMap<usize, BTreeMap<Name, Resources>> = HashMap::new();
        for shard in 0..self.size.shards {
            for slot in 0..self.size.teams_of_shard {
                let team = (shard * self.size.teams_of_shard + slot) % self.size.teams;
                let name: Name = format!("team-{team}").into();
                let tasks = self.runs[shard].get(&name).map_or(50, tasks_of);
                let tasks = (tasks + self.random.random_range(0..=4)).saturating_sub(2);
                self.runs[shard].insert(name, cores(tasks));
            }
            let vm = shard % self.size.vms;
            let used = self.runs[shard].values();
            let summary = Summary {
                queued: self.random.random_range(0..10),
                running: 500,
                free: cores(4096).minus(&used.fold(cores(0), |sum, used| sum.plus(used))),
            };
            self.boards[vm].set_shard(&self.shard(shard), Epoch(1), summary, self.now);
            let totals = uses.entry(vm).or_default();
            for (team, used) in &self.runs[shard] {
                let total = totals.entry(team.clone()).or_default();
                *total = total.plus(used);
            }
        }
        for (vm, uses) in uses {
            self.boards[vm].set_usage(&uses);
        }
    }

    fn round(&mut self) {
        self.work();
        for vm in 0..self.size.vms {
            self.boards[vm].set_members(&self.records);
            let own = &self.records[vm];
            let drawn = gossip::select_peers(
                own.session,
                &own.data_centre,
                &self.records,
                &mut self.random,
            );
            let peers: Vec<_> = drawn.iter().map(|peer| peer.session).collect();
            for peer in peers {
                self.swap(vm, (u64::MAX - peer.0) as usize);
            }
        }
        self.now = self.now.after(INTERVAL);
    }

    fn swap(&mut self, vm: usize, peer: usize) {
        let told = self.boards[vm].message_for(self.records[peer].session, self.now);
        let answer = self.boards[peer].handle_message(&told, self.now);
        self.boards[vm].handle_response(&told, &answer, self.now);
        let bytes = told.encoded_len() + answer.encoded_len();
        self.bytes[vm] += bytes;
        self.bytes[peer] += bytes;
    }

    /// Returns the mean and the longest age of all shards' news on all VMs, and the part known.
    fn staleness(&self) -> (f64, f64, f64) {
        let ages = self.boards.iter().flat_map(|board| board.ages(self.now));
        let ages: Vec<_> = ages.map(|(_, age)| age.as_secs_f64()).collect();
        let known = ages.len() as f64 / (self.size.vms * self.size.shards) as f64;
        let mean = ages.iter().sum::<f64>() / ages.len() as f64;
        (mean, ages.iter().copied().fold(0.0, f64::max), known)
    }
}

const TODAY: Size = Size {
    vms: 9,
    data_centres: 3,
    shards: 3,
    teams: 6,
    teams_of_shard: 6,
};

fn at_target(vms: usize) -> Size {
    Size {
        vms,
        data_centres: if vms < 14 { 3 } else { 14 },
        shards: 440,
        teams: 1000,
        teams_of_shard: 10,
    }
}

/// Runs for so many rounds; returns the bytes a second of the busiest VM.
fn run(cell: &mut Cell, rounds: usize) -> usize {
    (0..rounds).for_each(|_| cell.round());
    let most = cell.bytes.iter().copied().max().unwrap_or(0);
    let mean = cell.bytes.iter().sum::<usize>() / cell.bytes.len() / rounds;
    let (age, oldest, known) = cell.staleness();
    println!(
        "{} VMs, {} shards, {} teams: {} B/s at most, {mean} B/s mean; news {age:.1} s old, {oldest:.1} s at most, {:.0}% known",
        cell.size.vms,
        cell.size.shards,
        cell.size.teams,
        most / rounds,
        known * 100.0,
    );
    most / rounds
}

#[test]
fn news_stay_within_the_bytes_for_control_at_every_size() {
    // The largest runs for a shorter time: its bytes are the same in each round.
    let sizes = [
        (TODAY, 60),
        (at_target(9), 60),
        (at_target(100), 20),
        (at_target(500), 10),
    ];

    for (size, rounds) in sizes {
        let mut cell = cell(size);
        let bytes = run(&mut cell, rounds);

        assert!(bytes <= MOST_BYTES_PER_SECOND, "{bytes} B/s");
    }
}

#[test]
fn after_a_minute_every_vm_knows_every_shard_and_the_use_of_every_team() {
    let mut cell = cell(TODAY);

    run(&mut cell, 60);

    let (_, _, known) = cell.staleness();
    assert!(known >= 1.0, "{known}");
    for vm in 0..cell.size.vms {
        let elsewhere = cell.boards[vm].usage_elsewhere();
        let others = (0..cell.size.shards).filter(|shard| shard % cell.size.vms != vm);
        let run = others.filter_map(|shard| cell.runs[shard].get("team-0"));
        let run = run.fold(cores(0), |sum, run| sum.plus(run)).cpu_millis;
        let told = elsewhere["team-0"].cpu_millis;
        // What is not told is a twentieth, and each team moves by two tasks a second at most.
        assert!(told.abs_diff(run) * 5 <= run, "{told} for {run}");
    }
}

#[test]
fn news_whose_answer_was_lost_are_told_again() {
    let mut cell = cell(TODAY);
    cell.work();

    let lost = cell.boards[0].message_for(cell.records[1].session, cell.now);
    cell.boards[1].handle_message(&lost, cell.now);
    let again = cell.boards[0].message_for(cell.records[1].session, cell.now);

    assert!(!lost.shards.is_empty());
    assert_eq!(lost, again);
}

#[test]
fn a_process_that_starts_anew_hears_all_again() {
    let mut cell = cell(TODAY);
    cell.work();
    cell.swap(0, 1);
    let before = cell.boards[0].message_for(cell.records[1].session, cell.now);

    let new = ClusterState::new(Session(7), cell.records[1].data_centre.clone());
    let answer = new.handle_message(&before, cell.now);
    cell.boards[0].handle_response(&before, &answer, cell.now);
    let told: News = cell.boards[0].message_for(Session(7), cell.now);

    assert!(before.shards.is_empty());
    assert!(!told.shards.is_empty());
}
