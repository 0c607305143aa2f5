//! Workers that follow the users' pages, and what they see of the rules.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant,
        SystemTime, //
    },
};

use serde_json::{
    Value,
    json, //
};
use tokio::time::sleep;

use crate::{
    http::{
        Handler,
        Request,
        Response,
        Server, //
    },
    record::Record,
};

/// `holdMaxMs`.
const MAX_LEASE: u64 = 6000;

/// `restoreMs`.
const RESTORE: Duration = Duration::from_millis(100);

/// Ends that a worker lists at once.
const MAX_LISTED_ENDS: usize = 500;

const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How the tasks of a job behave.
#[derive(Debug, Clone)]
pub(crate) struct Behaviour {
    /// The `spec` that each start has to carry.
    pub(crate) spec: String,
    /// The work of each task; `None` if it lasts.
    pub(crate) work: fn(u64) -> Option<Duration>,
    /// Whether each run ends `failed`.
    pub(crate) fails: bool,
    /// `saveS`, if the tasks checkpoint their progress.
    pub(crate) saves: Option<Duration>,
    pub(crate) cpu: u64,
    pub(crate) mem_mb: u64,
    /// Failed runs of a task after which it must not start again.
    pub(crate) attempts: usize,
}

#[derive(Debug)]
struct Run {
    number: u64,
    works_from: Instant,
    /// Work that the checkpoint of the start stands for.
    restored: Duration,
    work: Option<Duration>,
    /// The last checkpoint, and how many were made in this run.
    checkpoint: (String, u64),
}

impl Run {
    fn done(&self) -> Duration {
        self.restored + self.works_from.elapsed()
    }
}

#[derive(Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    checkpoint: String,
    has_lapsed: bool,
}

#[derive(Debug)]
struct Life {
    born: u64,
    started: Instant,
    fence: u64,
    lease_end: u64,
    running: BTreeMap<String, Run>,
    refused_upto: HashMap<String, u64>,
    ended: Vec<End>,
    last_number: u64,
}

#[derive(Debug)]
struct Worker {
    name: String,
    address: SocketAddr,
    cpu: u64,
    mem_mb: u64,
    /// `None` while it is down.
    life: Option<Life>,
    server: Option<Server>,
}

#[derive(Debug, Default)]
struct State {
    workers: Vec<Worker>,
    jobs: HashMap<String, Behaviour>,
    /// The work that each checkpoint stands for.
    saved: HashMap<String, Duration>,
    started: BTreeSet<String>,
    starts: u64,
    /// Tasks of which a run has ended `done`, with a worker, and those of which such an end was taken
    /// note of.
    done: BTreeSet<String>,
    acknowledged: BTreeSet<String>,
    /// Ends `failed` that were taken note of, by task.
    failures: HashMap<String, usize>,
    violations: Vec<String>,
}

/// All workers.
#[derive(Debug)]
pub(crate) struct Fleet {
    state: Mutex<State>,
    place_of: fn(usize) -> usize,
    record: Arc<Record>,
}

fn text(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or_default().to_owned()
}

fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}

fn index_of(task: &str) -> u64 {
    let last = task.rsplit('.').next().unwrap_or_default();
    last.parse().unwrap_or(0)
}

/// Returns a checkpoint: 16 hexadecimal digits, as in the example of the users' pages.
fn token(task: &str, run: u64, count: u64) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in format!("{task}/{run}/{count}").bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    format!("{:016x}", hash.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

impl Life {
    fn new() -> Self {
        let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Self {
            born: since_epoch.as_millis() as u64,
            started: Instant::now(),
            fence: 0,
            lease_end: 0,
            running: BTreeMap::new(),
            refused_upto: HashMap::new(),
            ended: Vec::new(),
            last_number: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until: &Value) {
        if let Some(until) = until.as_u64() {
            let latest = self.clock() + MAX_LEASE;
            self.lease_end = self.lease_end.max(until.min(latest));
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        if let Some(run) = self.running.remove(task) {
            self.last_number += 1;
            let upto = self.refused_upto.entry(task.to_owned()).or_default();
            *upto = (*upto).max(run.number);
            self.ended.push(End {
                number: self.last_number,
                task: task.to_owned(),
                run: run.number,
                how,
                checkpoint: run.checkpoint.0,
                has_lapsed: false,
            });
        }
    }

    /// Returns the body of an answer without lists.
    fn answer(&self) -> Value {
        json!({"clockMs": self.clock(), "born": self.born})
    }

    fn refuse(&self, reason: &str) -> Response {
        let mut body = self.answer();
        body["reason"] = reason.into();
        (409, body)
    }
}

impl State {
    /// Brings the runs of a worker up to now.
    fn advance(&mut self, index: usize, record: &Record) {
        let (jobs, saved) = (&self.jobs, &mut self.saved);
        let worker = &mut self.workers[index];
        let Some(life) = &mut worker.life else {
            return;
        };
        let mut over = Vec::new();
        for (task, run) in &mut life.running {
            let behaviour = &jobs[job_of(task)];
            let done = run.done();
            if let Some(interval) = behaviour.saves {
                let now = Instant::now();
                let worked = now.saturating_duration_since(run.works_from);
                let count = (worked.as_millis() / interval.as_millis()) as u64;
                if count > run.checkpoint.1 {
                    run.checkpoint = (token(task, run.number, count), count);
                    saved.insert(run.checkpoint.0.clone(), done);
                }
            }
            if run.work.is_some_and(|work| done >= work) {
                let how = if behaviour.fails { "failed" } else { "done" };
                over.push((task.clone(), how));
            }
        }
        let is_over = life.clock() > life.lease_end;
        if is_over {
            let others = life.running.keys();
            let ended: BTreeSet<&String> = over.iter().map(|(task, _)| task).collect();
            let lapsed: Vec<String> = others
                .filter(|task| !ended.contains(task))
                .cloned()
                .collect();
            over.extend(lapsed.into_iter().map(|task| (task, "lapsed")));
        }
        for (task, how) in over {
            let run = life.running[&task].number;
            life.end(&task, how);
            record.line(&format!(
                "{}: run {run} of {task} has ended {how}",
                worker.name
            ));
            if how == "done" {
                self.done.insert(task);
            }
        }
        if is_over {
            for end in &mut life.ended {
                end.has_lapsed = true;
            }
        }
    }

    fn start(&mut self, index: usize, body: &Value, record: &Record) -> Response {
        let (task, number) = (text(body, "task"), body["run"].as_u64().unwrap_or(0));
        let elsewhere: Vec<String> = self
            .workers
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .filter_map(|(_, other)| Some((&other.name, other.life.as_ref()?)))
            .filter(|(_, life)| life.running.contains_key(&task))
            .map(|(name, _)| name.clone())
            .collect();
        let worker = &mut self.workers[index];
        let Some(life) = &mut worker.life else {
            return (503, json!({}));
        };
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < life.fence {
            return life.refuse("fence");
        }
        life.fence = fence;
        life.extend(&body["untilMs"]);
        if life
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return (200, life.answer());
        }
        let is_old = life
            .refused_upto
            .get(&task)
            .is_some_and(|upto| number <= *upto);
        if is_old || life.running.contains_key(&task) {
            return life.refuse("old");
        }
        if life.clock() >= life.lease_end {
            return life.refuse("late");
        }
        let Some(behaviour) = self.jobs.get(job_of(&task)) else {
            self.violations
                .push(format!("UNASKED: {task} is of no job"));
            return (400, life.answer());
        };
        if behaviour.spec != text(body, "spec") {
            self.violations
                .push(format!("UNASKED: {task} has another spec"));
        }
        let checkpoint = text(body, "lastCheckpoint");
        let restored = self.saved.get(&checkpoint).copied();
        let delay = if restored.is_some() {
            RESTORE
        } else {
            Duration::ZERO
        };
        let run = Run {
            number,
            works_from: Instant::now() + delay,
            restored: restored.unwrap_or_default(),
            work: (behaviour.work)(index_of(&task)),
            checkpoint: (checkpoint, 0),
        };
        life.running.insert(task.clone(), run);
        self.started.insert(task.clone());
        self.starts += 1;
        let name = &worker.name;
        record.line(&format!(
            "{name}: run {number} of {task} starts, fence {fence}"
        ));
        let mut found = Vec::new();
        for other in elsewhere {
            found.push(format!("TWICE: {task} runs on {name} and {other}"));
        }
        if self.acknowledged.contains(&task) {
            found.push(format!(
                "TWICE: {task} starts as run {number} after a run ended done and that was acknowledged"
            ));
        }
        let failures = self.failures.get(&task).copied().unwrap_or(0);
        if failures >= behaviour.attempts {
            found.push(format!(
                "BUDGET: {task} starts as run {number} after {failures} runs ended failed and that was \
                 acknowledged; attempts = {}",
                behaviour.attempts
            ));
        }
        for violation in &found {
            record.line(violation);
        }
        self.violations.extend(found);
        (200, life.answer())
    }

    fn stop(&mut self, index: usize, body: &Value, record: &Record) -> Response {
        let (task, number) = (text(body, "task"), body["run"].as_u64().unwrap_or(0));
        let worker = &mut self.workers[index];
        let Some(life) = &mut worker.life else {
            return (503, json!({}));
        };
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < life.fence {
            return life.refuse("fence");
        }
        life.fence = fence;
        if life
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            life.end(&task, "stopped");
            record.line(&format!(
                "{}: run {number} of {task} is stopped",
                worker.name
            ));
        }
        let upto = life.refused_upto.entry(task).or_default();
        *upto = (*upto).max(number);
        (200, life.answer())
    }

    /// Applies a poll. Returns a response only if it is refused.
    fn begin_hold(&mut self, index: usize, body: &Value, record: &Record) -> Option<Response> {
        let worker = &mut self.workers[index];
        let Some(life) = &mut worker.life else {
            return Some((503, json!({})));
        };
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < life.fence {
            return Some(life.refuse("fence"));
        }
        life.fence = fence;
        life.extend(&body["untilMs"]);
        let upto = body["ackedUpto"].as_u64().unwrap_or(0);
        let acknowledged: Vec<End> = life
            .ended
            .extract_if(.., |end| end.number <= upto)
            .collect();
        for end in acknowledged {
            record.line(&format!(
                "{}: the end of run {} of {} ({}) is acknowledged",
                worker.name, end.run, end.task, end.how
            ));
            match end.how {
                "done" if !end.has_lapsed => {
                    self.acknowledged.insert(end.task);
                }
                "failed" => *self.failures.entry(end.task).or_default() += 1,
                _ => {}
            }
        }
        None
    }

    fn list(&self, index: usize) -> (Response, bool) {
        let Some(life) = &self.workers[index].life else {
            return ((503, json!({})), true);
        };
        let running: Vec<Value> = life
            .running
            .iter()
            .map(|(task, run)| {
                let percent = run.work.map_or(100.0, |work| {
                    run.done().as_secs_f64() / work.as_secs_f64() * 100.0
                });
                let percent = (percent.min(100.0) * 100.0).round() / 100.0;
                json!([task, run.number, run.checkpoint.0, percent, 0])
            })
            .collect();
        let ended = life.ended.iter().take(MAX_LISTED_ENDS);
        let ended: Vec<Value> = ended
            .map(|end| json!([end.number, end.task, end.run, end.how, end.checkpoint]))
            .collect();
        let has_ended = !ended.is_empty();
        let mut body = life.answer();
        body["running"] = running.into();
        body["ended"] = ended.into();
        ((200, body), has_ended)
    }
}

impl Fleet {
    /// Creates a fleet whose workers stand in the places, zone and rack, that `place_of` tells by their
    /// index.
    pub(crate) fn new(record: &Arc<Record>, place_of: fn(usize) -> usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            place_of,
            record: Arc::clone(record),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a worker and starts it.
    pub(crate) fn add(self: &Arc<Self>, ip: &str, cpu: u64, mem_mb: u64) -> io::Result<usize> {
        let index = {
            let mut state = self.lock();
            let index = state.workers.len();
            let address = format!("{ip}:0").parse().map_err(io::Error::other)?;
            state.workers.push(Worker {
                name: format!(
                    "i-{:017x}",
                    (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
                ),
                address,
                cpu,
                mem_mb,
                life: None,
                server: None,
            });
            index
        };
        self.boot(index)?;
        Ok(index)
    }

    /// Starts a worker that is down. It keeps its id and its address, and has forgotten all else.
    pub(crate) fn boot(self: &Arc<Self>, index: usize) -> io::Result<()> {
        let fleet = Arc::clone(self);
        let handler: Handler = Arc::new(move |request| {
            let fleet = Arc::clone(&fleet);
            Box::pin(async move { fleet.answer(index, request).await })
        });
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        let server = Server::start(worker.address, handler)?;
        worker.address = server.address;
        worker.server = Some(server);
        worker.life = Some(Life::new());
        self.record.line(&format!("{}: starts", worker.name));
        Ok(())
    }

    /// Ends the process of a worker: its connections end, and nothing listens at its address.
    pub(crate) fn crash(&self, index: usize) {
        let mut state = self.lock();
        state.advance(index, &self.record);
        let worker = &mut state.workers[index];
        worker.life = None;
        if let Some(server) = worker.server.take() {
            server.stop();
        }
        self.record.line(&format!("{}: crashes", worker.name));
    }

    /// Returns the id and the entry of a worker, unless it is down.
    pub(crate) fn entry(&self, index: usize, sequence: u64) -> (String, Option<Value>) {
        let state = self.lock();
        let (worker, place) = (&state.workers[index], (self.place_of)(index));
        let entry = worker.life.as_ref().map(|life| {
            json!({
                "service": "planner", "addr": worker.address.to_string(),
                "zone": format!("zone-{place}"), "version": "1", "slots": 8,
                "state": "ready", "coldLeftMs": 0, "seq": sequence, "born": life.born,
                "capacity": {"cpu": worker.cpu, "memMb": worker.mem_mb, "gpu": 0},
                "labels": ["a", format!("r{place}-1")],
            })
        });
        (worker.name.clone(), entry)
    }

    pub(crate) fn count(&self) -> usize {
        self.lock().workers.len()
    }

    /// Registers a job that is about to be handed in.
    pub(crate) fn register(&self, id: &str, behaviour: Behaviour) {
        self.lock().jobs.insert(id.to_owned(), behaviour);
    }

    /// Returns how many tasks of a job have started, and of how many an end `done` was taken note of.
    pub(crate) fn progress(&self, id: &str) -> (usize, usize) {
        let state = self.lock();
        let of_job = |task: &&String| job_of(task) == id;
        (
            state.started.iter().filter(of_job).count(),
            state.acknowledged.iter().filter(of_job).count(),
        )
    }

    /// Returns how many runs there are on workers that are up.
    pub(crate) fn running(&self) -> usize {
        let state = self.lock();
        let lives = state
            .workers
            .iter()
            .filter_map(|worker| worker.life.as_ref());
        lives.map(|life| life.running.len()).sum()
    }

    /// Returns how many runs of a job there are on workers that are up.
    pub(crate) fn running_of(&self, id: &str) -> usize {
        let state = self.lock();
        let lives = state
            .workers
            .iter()
            .filter_map(|worker| worker.life.as_ref());
        lives
            .flat_map(|life| life.running.keys())
            .filter(|task| job_of(task) == id)
            .count()
    }

    /// Returns the number of ends `failed` of a job that were taken note of.
    pub(crate) fn failures(&self, id: &str) -> usize {
        let state = self.lock();
        let of_job = state.failures.iter().filter(|(task, _)| job_of(task) == id);
        of_job.map(|(_, count)| count).sum()
    }

    /// Returns the worker on which a task runs, and for how long it has.
    pub(crate) fn runs_on(&self, task: &str) -> Option<(usize, Duration)> {
        let state = self.lock();
        let mut workers = state.workers.iter().enumerate();
        workers.find_map(|(index, worker)| {
            let run = worker.life.as_ref()?.running.get(task)?;
            Some((index, run.works_from.elapsed()))
        })
    }

    /// Returns the free part of the processors of all workers that are up.
    pub(crate) fn free_cpu(&self) -> u64 {
        let state = self.lock();
        let free = state.workers.iter().filter_map(|worker| {
            let running = worker.life.as_ref()?.running.keys();
            let used: u64 = running.map(|task| state.jobs[job_of(task)].cpu).sum();
            Some(worker.cpu.saturating_sub(used))
        });
        free.sum()
    }

    /// Returns the free memory of all workers that are up.
    pub(crate) fn free_mem(&self) -> u64 {
        let state = self.lock();
        let free = state.workers.iter().filter_map(|worker| {
            let running = worker.life.as_ref()?.running.keys();
            let used: u64 = running.map(|task| state.jobs[job_of(task)].mem_mb).sum();
            Some(worker.mem_mb.saturating_sub(used))
        });
        free.sum()
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    async fn answer(&self, index: usize, request: Request) -> Response {
        let body = &request.body;
        {
            let mut state = self.lock();
            let is_other = request
                .expected_instance
                .is_some_and(|expected| expected != state.workers[index].name);
            if is_other {
                return (421, json!({}));
            }
            state.advance(index, &self.record);
            match request.path.as_str() {
                "/run-start" => return state.start(index, body, &self.record),
                "/run-stop" => return state.stop(index, body, &self.record),
                "/hold" => {}
                "/pace" => {
                    let life = state.workers[index].life.as_ref();
                    return (200, life.map_or_else(|| json!({}), Life::answer));
                }
                _ => return (404, json!({})),
            }
            if let Some(refusal) = state.begin_hold(index, body, &self.record) {
                return refusal;
            }
        }
        let wait = body["waitMs"].as_u64().unwrap_or(0).min(2000);
        let deadline = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let mut state = self.lock();
                state.advance(index, &self.record);
                let (response, returns) = state.list(index);
                if returns || Instant::now() >= deadline {
                    return response;
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
}
