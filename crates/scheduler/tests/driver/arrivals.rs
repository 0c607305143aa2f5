//! The arrival lists of two deployments, drawn from a fixed seed.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    job::Kind,
    unit::{
        Millis,
        Resources, //
    },
    worker::Worker, //
};
use basilbridge_scheduler::task::Task;
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use super::super::util;

/// When the arrivals end.
pub(crate) const END: Millis = Millis(300_000);

/// When the burst begins and the events of a scenario happen.
const EVENT_TIME: Millis = Millis(120_000);

/// The duration of the burst.
const BURST_DURATION: Duration = Duration::from_secs(60);

const SEED: u64 = 7;

/// The load and the faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    OrdinaryDay,
    Season,
    Burst,
    WrongSizes,
    FailingWorkers,
    RackLost,
    Cancellations,
}

impl Scenario {
    pub(crate) const ALL: [Self; 7] = [
        Self::OrdinaryDay,
        Self::Season,
        Self::Burst,
        Self::WrongSizes,
        Self::FailingWorkers,
        Self::RackLost,
        Self::Cancellations,
    ];
}

/// A single event of a scenario.
pub(crate) enum Event {
    /// All workers of a rack are lost.
    LoseRack(u32),
    /// Half of the waiting batch tasks are cancelled.
    CancelHalf,
}

/// The arrival of a job.
pub(crate) struct Arrival {
    pub(crate) at: Millis,
    pub(crate) tasks: Vec<Task>,
    /// The actual run time of each task.
    pub(crate) run_time: Duration,
}

/// The parameters of the jobs of one kind.
#[derive(Clone)]
pub(crate) struct Stream {
    kind: Kind,
    need: Resources,
    /// The mean time between jobs on an ordinary day.
    mean_interval: Duration,
    tasks_per_job: u32,
    min_run_time: Duration,
    max_run_time: Duration,
}

/// A deployment: its workers, its teams and their load.
#[derive(Clone)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    workers: u32,
    capacity: Resources,
    slots: u32,
    pub(crate) teams: Vec<(Name, u32)>,
    streams: Vec<Stream>,
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn teams(names: [&str; 6]) -> Vec<(Name, u32)> {
    let weights = [4, 4, 2, 2, 1, 1];
    names.into_iter().map(Name::from).zip(weights).collect()
}

/// Returns the deployment of Chiang Mai Spine & Leaf Co.
pub(crate) fn spine_and_leaf() -> Site {
    Site {
        name: "spine-and-leaf",
        workers: 50,
        capacity: util::resources(64, 128),
        slots: 8,
        teams: teams(["archive", "library", "temple", "press", "family", "school"]),
        streams: vec![
            stream(Kind::Interactive, (2, 4), 25, 1, (200, 800)),
            stream(Kind::Service, (4, 8), 30_000, 3, (900_000, 900_000)),
            stream(Kind::Batch, (8, 16), 300, 1, (20_000, 100_000)),
            stream(Kind::Gang, (8, 16), 60_000, 32, (60_000, 180_000)),
        ],
    }
}

/// Returns the deployment of Vodní záchrana Vltava z.s.
pub(crate) fn vltava() -> Site {
    Site {
        name: "vltava",
        workers: 50,
        capacity: util::resources(16, 32),
        slots: 8,
        teams: teams(["praha", "brno", "ostrava", "plzen", "zlin", "tabor"]),
        streams: vec![
            stream(Kind::Interactive, (1, 2), 20, 1, (100, 300)),
            stream(Kind::Service, (1, 2), 30_000, 3, (900_000, 900_000)),
            stream(Kind::Batch, (2, 4), 150, 1, (10_000, 60_000)),
            stream(Kind::Gang, (2, 4), 40_000, 16, (30_000, 120_000)),
        ],
    }
}

fn stream(
    kind: Kind,
    (cores, memory): (u64, u64),
    mean_interval: u64,
    tasks_per_job: u32,
    (min_run_time, max_run_time): (u64, u64),
) -> Stream {
    Stream {
        kind,
        need: util::resources(cores, memory),
        mean_interval: millis(mean_interval),
        tasks_per_job,
        min_run_time: millis(min_run_time),
        max_run_time: millis(max_run_time),
    }
}

impl Site {
    /// Returns the site with another number of workers, and with the arrival rate scaled to it.
    pub(crate) fn with_workers(mut self, workers: u32) -> Self {
        for stream in &mut self.streams {
            stream.mean_interval = stream.mean_interval * self.workers / workers;
        }
        self.workers = workers;
        self
    }

    pub(crate) fn fleet(&self) -> Vec<Worker> {
        (0..self.workers)
            .map(|number| util::worker(number, self.capacity, self.slots))
            .collect()
    }

    /// Returns the number in the name of a worker.
    pub(crate) fn worker_number(&self, worker: &Worker) -> u32 {
        let number = worker.name.strip_prefix("worker-");
        number
            .and_then(|text| text.parse().ok())
            .expect("the fixture names workers by number")
    }

    pub(crate) fn capacity(&self) -> Resources {
        self.capacity.times(u64::from(self.workers))
    }

    pub(crate) fn slots(&self) -> u64 {
        u64::from(self.workers * self.slots)
    }

    /// Returns the numbers of the workers on which all tasks fail: a fifth of them in the scenario
    /// of failing workers, otherwise none.
    pub(crate) fn failing_workers(&self, scenario: Scenario) -> BTreeSet<u32> {
        match scenario {
            Scenario::FailingWorkers => (0..self.workers).step_by(5).collect(),
            _ => BTreeSet::new(),
        }
    }

    pub(crate) fn events(&self, scenario: Scenario) -> Vec<(Millis, Event)> {
        match scenario {
            Scenario::RackLost => vec![(EVENT_TIME, Event::LoseRack(2))],
            Scenario::Cancellations => vec![(EVENT_TIME, Event::CancelHalf)],
            _ => Vec::new(),
        }
    }

    /// Returns all arrivals, ordered by kind and then by time.
    pub(crate) fn arrivals(&self, scenario: Scenario) -> Vec<Arrival> {
        let mut random = SmallRng::seed_from_u64(SEED);
        let mut arrivals = Vec::new();
        let mut job = 0;
        for stream in &self.streams {
            let mut at = Millis(0);
            while at < END {
                job += 1;
                arrivals.push(self.arrival(stream, job, at, scenario, &mut random));
                let mean =
                    stream.mean_interval.as_secs_f64() / rate_factor(stream.kind, at, scenario);
                let wait = -mean * (1.0 - random.random::<f64>()).ln();
                at = at.after(Duration::from_secs_f64(wait.max(0.001)));
            }
        }
        arrivals
    }

    fn arrival(
        &self,
        stream: &Stream,
        job: u64,
        at: Millis,
        scenario: Scenario,
        random: &mut SmallRng,
    ) -> Arrival {
        let team = self.draw_team(random);
        let run_time = random.random_range(stream.min_run_time..=stream.max_run_time);
        let (need, declared_run_time) = declared(stream, run_time, scenario, random);
        let tasks = (0..stream.tasks_per_job).map(|index| Task {
            id: util::id(job, index),
            team: team.clone(),
            accepted: at,
            run_time: Some(declared_run_time),
            family: Some(format!("{:?}", stream.kind).into()),
            ..util::task(job, stream.kind, need)
        });
        Arrival {
            at,
            tasks: tasks.collect(),
            run_time,
        }
    }

    /// Draws the team of a job. The first teams have the most jobs.
    fn draw_team(&self, random: &mut SmallRng) -> Name {
        let drawn = random.random_range(0..100);
        let index = [30, 55, 75, 85, 93]
            .iter()
            .filter(|bound| drawn >= **bound)
            .count();
        self.teams[index].0.clone()
    }
}

/// Returns the arrival rate relative to that of an ordinary day.
fn rate_factor(kind: Kind, at: Millis, scenario: Scenario) -> f64 {
    let is_burst = at >= EVENT_TIME && at < EVENT_TIME.after(BURST_DURATION);
    match (scenario, kind) {
        (_, Kind::Service) => 1.0,
        (Scenario::Burst, _) if is_burst => 10.0,
        (Scenario::Season | Scenario::Cancellations, Kind::Interactive) => 3.0,
        (Scenario::Season | Scenario::Cancellations, Kind::Batch) => 4.0,
        (Scenario::Season, Kind::Gang) => 1.5,
        _ => 1.0,
    }
}

/// Returns the resources and the run time that the caller declares. With wrong sizes, the declared
/// run time is a tenth or ten times the actual one.
fn declared(
    stream: &Stream,
    run_time: Duration,
    scenario: Scenario,
    random: &mut SmallRng,
) -> (Resources, Duration) {
    if scenario != Scenario::WrongSizes {
        return (stream.need, run_time);
    }
    if random.random() {
        (stream.need, run_time / 10)
    } else {
        (stream.need, run_time * 10)
    }
}
