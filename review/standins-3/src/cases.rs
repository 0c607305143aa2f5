//! The cases.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    sync::{
        Arc,
        Mutex,
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
    cell::{
        self,
        Cell,
        configuration,
        queue, //
    },
    fleet::Behaviour,
};

const STEP: Duration = Duration::from_millis(200);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Waits until `is_done` returns true, at most for `limit`.
async fn wait(
    what: &str,
    cell: &Cell,
    limit: Duration,
    mut is_done: impl FnMut(&Cell) -> bool,
) -> io::Result<()> {
    let begun = Instant::now();
    while !is_done(cell) {
        if begun.elapsed() >= limit {
            return Err(io::Error::other(format!("not in time: {what}")));
        }
        sleep(STEP).await;
    }
    cell.record.say(what);
    Ok(())
}

/// A job of thousands of tasks, of which a tenth have ended, and the kill of one process.
pub(crate) async fn large_progress(path: &Path, trouble: bool) -> io::Result<Vec<String>> {
    const TASKS: usize = 4000;
    const SHORT: usize = TASKS / 10;
    let config = configuration(3, &[queue("plans", 2, 3)]);
    let mut cell = Cell::start(path, &config, (10, 64_000, 131_072)).await?;
    let id = "5c0e7a21d94b36f8";
    let behaviour = Behaviour {
        spec: "restore the collection".to_owned(),
        work: |index| Some(seconds(if index % 10 == 0 { 10 } else { 100 })),
        fails: false,
        saves: Some(seconds(2)),
        cpu: 100,
        mem_mb: 64,
        attempts: 3,
    };
    let job = json!({"spec": behaviour.spec, "steps": [{"count": TASKS, "cpu": behaviour.cpu,
        "memMb": behaviour.mem_mb, "estMs": 60_000, "checkpointable": true}]});
    cell.fleet.register(id, behaviour);
    cell.submit(&format!("/plans/{id}"), &job).await?;
    wait("all tasks have started", &cell, seconds(30), |cell| {
        cell.fleet.progress(id).0 == TASKS
    })
    .await?;
    let acknowledged = "all ends of the short tasks are taken note of";
    wait(acknowledged, &cell, seconds(30), |cell| {
        cell.fleet.progress(id).1 >= SHORT
    })
    .await?;
    sleep(seconds(3)).await;
    if trouble {
        cell.kill_leader(seconds(3)).await?;
    }
    sleep(seconds(25)).await;
    Ok(cell.fleet.violations())
}

/// A number of jobs with 200 tasks each that last.
struct LastingJobs {
    count: usize,
    cpu: u64,
    checkpoints: bool,
    /// The most tasks of a step on one worker; zero for no limit.
    max_per_worker: u64,
}

impl LastingJobs {
    const TASKS: usize = 200;

    fn tasks(&self) -> usize {
        self.count * Self::TASKS
    }

    /// Hands the jobs in and waits until all their tasks run.
    async fn start(&self, cell: &Cell) -> io::Result<()> {
        for number in 0..self.count {
            let id = format!("5c0e7a21d94b{number:04x}");
            let behaviour = Behaviour {
                spec: "restore the collection".to_owned(),
                work: |_| None,
                fails: false,
                saves: self.checkpoints.then_some(seconds(2)),
                cpu: self.cpu,
                mem_mb: 64,
                attempts: usize::MAX,
            };
            let mut step = json!({"count": Self::TASKS, "cpu": behaviour.cpu,
                "memMb": behaviour.mem_mb, "estMs": 400, "longRunning": true});
            // Fields whose value is 0, false or empty are omitted.
            if self.checkpoints {
                step["checkpointable"] = true.into();
            }
            if self.max_per_worker > 0 {
                step["antiAffinity"] = self.max_per_worker.into();
            }
            let job = json!({"spec": behaviour.spec, "steps": [step]});
            cell.fleet.register(&id, behaviour);
            cell.submit(&format!("/runs/{id}"), &job).await?;
        }
        let all = self.tasks();
        wait("all tasks run", cell, seconds(40), |cell| {
            cell.fleet.running() == all
        })
        .await?;
        sleep(seconds(8)).await;
        Ok(())
    }

    /// Records each second for `time` how many tasks don't run. Returns how many did not run for all
    /// of the last three seconds, with room for all of them twice over.
    async fn watch(&self, cell: &Cell, time: Duration) -> usize {
        let begun = Instant::now();
        let mut last = Vec::new();
        while begun.elapsed() < time {
            sleep(seconds(1)).await;
            let missing = self.tasks() - cell.fleet.running().min(self.tasks());
            let (cpu, mem_mb) = (cell.fleet.free_cpu(), cell.fleet.free_mem());
            let (refused, bytes) = cell.store.refused();
            cell.record.line(&format!(
                "{missing} tasks that last don't run; free on workers that are up: {cpu} \
                 thousandths of a core, {mem_mb} MB; the store has refused {refused} calls for \
                 their size, the largest of {bytes} bytes"
            ));
            let has_room = cpu >= self.cpu * 2 * missing as u64 && mem_mb >= 128 * missing as u64;
            last.push(if has_room { missing } else { 0 });
        }
        // No task ends while nothing is disrupted, so the number only falls.
        last.into_iter().rev().take(4).min().unwrap_or(0)
    }
}

/// Large jobs that last and are spread over the workers, and the crash of one worker.
pub(crate) async fn large_batch(path: &Path, trouble: bool) -> io::Result<Vec<String>> {
    let config = configuration(3, &[queue("runs", 1, 3)]);
    let cell = Cell::start(path, &config, (12, 64_000, 131_072)).await?;
    let jobs = LastingJobs {
        count: 48,
        cpu: 50,
        checkpoints: true,
        max_per_worker: 20,
    };
    jobs.start(&cell).await?;
    if trouble {
        cell.record.say("one of 12 workers crashes");
        cell.fleet.crash(0);
        sleep(seconds(4)).await;
        cell.fleet.boot(0)?;
        cell.record.say("it is back");
    }
    let missing = jobs.watch(&cell, seconds(40)).await;
    Ok(report_missing(&cell, missing, jobs.tasks()))
}

fn report_missing(cell: &Cell, missing: usize, all: usize) -> Vec<String> {
    cell.record
        .say(&format!("{missing} of {all} tasks that last have not run"));
    let mut violations = cell.fleet.violations();
    if missing > 0 {
        violations.push(format!(
            "LOST: {missing} tasks that last don't run, with room for them"
        ));
    }
    violations
}

/// A rack with most workers and the VM that owns them, lost for good.
pub(crate) async fn lost_rack(path: &Path, trouble: bool) -> io::Result<Vec<String>> {
    const JOBS: usize = 4;
    const RACK: usize = 8;
    const TASKS: usize = 12;
    let config = configuration(3, &[queue("plans", 2, 3)]);
    let in_rack = |index| index / RACK;
    let mut cell = Cell::start_in(path, &config, (12, 16_000, 32_768), in_rack).await?;
    let ids: Vec<String> = (0..JOBS)
        .map(|number| format!("5c0e7a21d94b{number:04x}"))
        .collect();
    for id in &ids {
        let behaviour = Behaviour {
            spec: "plan the rebinding".to_owned(),
            work: |_| Some(seconds(10)),
            fails: false,
            saves: None,
            cpu: 500,
            mem_mb: 512,
            attempts: 3,
        };
        let job = json!({"spec": behaviour.spec, "steps": [{"count": TASKS, "cpu": behaviour.cpu,
            "memMb": behaviour.mem_mb, "estMs": 10_000}]});
        cell.fleet.register(id, behaviour);
        cell.submit(&format!("/plans/{id}"), &job).await?;
    }
    wait("all tasks run", &cell, seconds(10), |cell| {
        cell.fleet.running() == JOBS * TASKS
    })
    .await?;
    sleep(seconds(3)).await;
    if trouble {
        cell.record
            .say("the rack of 8 workers and a VM lose power for good");
        cell.kill_leader_for_good()?;
        for index in 0..RACK {
            cell.fleet.crash(index);
        }
        sleep(seconds(1)).await;
        cell.replace_vm()?;
        // Three heartbeats after the last.
        sleep(Duration::from_millis(3500)).await;
        cell.remove_entries();
    }
    let mut idle = vec![0; JOBS];
    let mut states = vec![String::new(); JOBS];
    for _ in 0..60 {
        sleep(seconds(1)).await;
        for (number, id) in ids.iter().enumerate() {
            states[number] = cell.state(&format!("/plans/{id}")).await;
            let waits = states[number] != "completed" && cell.fleet.running_of(id) == 0;
            idle[number] = if waits { idle[number] + 1 } else { 0 };
        }
        cell.record.line(&format!(
            "{states:?}; seconds with nothing running: {idle:?}; free on workers that are up: {} \
             thousandths of a core",
            cell.fleet.free_cpu()
        ));
    }
    cell.record.say(&format!(
        "{states:?}; seconds with nothing running: {idle:?}"
    ));
    let mut violations = cell.fleet.violations();
    for (id, idle) in ids.iter().zip(idle).filter(|(_, idle)| *idle > 3) {
        violations.push(format!(
            "LOST: {id} has had nothing running for {idle} s, with room for it"
        ));
    }
    Ok(violations)
}

/// A queue that is removed and added again while a task has its last attempt.
pub(crate) async fn queue_back(path: &Path, trouble: bool) -> io::Result<Vec<String>> {
    let plans = queue("plans", 2, 1);
    let other = queue("checks", 0, 2);
    let both = [plans, other.clone()];
    let cell = Cell::start(path, &configuration(3, &both), (4, 16_000, 32_768)).await?;
    let id = "5c0e7a21d94b36f8";
    let behaviour = Behaviour {
        spec: "plan the rebinding".to_owned(),
        work: |_| Some(seconds(6)),
        fails: true,
        saves: None,
        cpu: 1000,
        mem_mb: 1024,
        attempts: 1,
    };
    let job = json!({"spec": behaviour.spec, "steps": [{"count": 1, "cpu": behaviour.cpu,
        "memMb": behaviour.mem_mb, "estMs": 6000}]});
    cell.fleet.register(id, behaviour);
    let job_path = format!("/plans/{id}");
    cell.submit(&job_path, &job).await?;
    wait("the task has started", &cell, seconds(10), |cell| {
        cell.fleet.progress(id).0 == 1
    })
    .await?;
    let write = |version: u64, queues: &[Value]| {
        if trouble {
            let config = configuration(version, queues);
            cell.store.write("op", "config", Some(&config));
            cell.record
                .say(&format!("operator: writes version {version}: {config}"));
        }
    };
    sleep(seconds(1)).await;
    write(5, &[other]);
    wait(
        "the only attempt has failed, and that is taken note of",
        &cell,
        seconds(20),
        |cell| cell.fleet.failures(id) == 1,
    )
    .await?;
    sleep(seconds(3)).await;
    write(9, &both);
    for _ in 0..10 {
        cell.state(&job_path).await;
        sleep(seconds(1)).await;
    }
    Ok(cell.fleet.violations())
}

/// Clients that nobody controls, each of which hands in one job after the other.
#[derive(Debug, Default)]
struct Crowd {
    sent: AtomicUsize,
    accepted: AtomicUsize,
    gone: AtomicUsize,
}

impl Crowd {
    const CLIENTS: usize = 32;
    const JOBS: usize = 5000;

    /// The size of a body, below `maxBodyBytes`.
    const BODY_BYTES: usize = 200_000;

    /// Returns the body of a job of 90 steps that is due in an hour. It is large by its white space.
    fn body() -> io::Result<String> {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let due = now.map_err(io::Error::other)? + seconds(3600);
        let step = json!({"count": 1, "cpu": 1000, "memMb": 1024, "estMs": 6000});
        let job = json!({"spec": "restore the collection", "steps": vec![step; 90], "times": 1,
            "firstMs": due.as_millis() as u64, "intervalMs": 60_000});
        let job = job.to_string();
        let space = " ".repeat(Self::BODY_BYTES - job.len());
        Ok(job.replacen('{', &format!("{{{space}"), 1))
    }

    /// Sends jobs to one VM until all have been sent, each once.
    async fn send(&self, front: SocketAddr, body: &str) {
        loop {
            let number = self.sent.fetch_add(1, Ordering::Relaxed);
            if number >= Self::JOBS {
                self.gone.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let path = format!("/runs/5c0e7a22{number:08x}");
            let answer = cell::send(front, "POST", &path, body).await;
            if matches!(answer, Some((200..=299, _))) {
                self.accepted.fetch_add(1, Ordering::Relaxed);
            }
            // All together stay below the calls that the store serves.
            sleep(Duration::from_millis(150)).await;
        }
    }

    fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed) == Self::CLIENTS
    }
}

/// Clients that nobody controls hand in many jobs that are due later, beside ordinary ones.
pub(crate) async fn crowd(path: &Path, trouble: bool) -> io::Result<Vec<String>> {
    let config = configuration(3, &[queue("runs", 1, 3)]);
    let mut cell = Cell::start(path, &config, (8, 16_000, 32_768)).await?;
    let crowd = Arc::new(Crowd::default());
    let body = Crowd::body()?;
    cell.record.line(&format!(
        "the body of the crowd, of {} bytes, without its white space: {}",
        body.len(),
        body.replace(' ', "")
    ));
    let lasting = submit_lasting(&cell).await?;
    if trouble {
        for client in 0..Crowd::CLIENTS {
            let fronts = cell.fronts();
            let (crowd, body) = (Arc::clone(&crowd), body.clone());
            tokio::spawn(async move { crowd.send(fronts[client % fronts.len()], &body).await });
        }
    }
    let ordinary = Arc::new(Mutex::new(Vec::new()));
    let begun = Instant::now();
    let (mut left, mut ended): (Option<Instant>, Option<Instant>) = (None, None);
    let mut memory = Vec::new();
    // How often the job that lasts was found not to run, without a break.
    let mut not_running = 0;
    for tick in 0_usize.. {
        not_running = match cell.fleet.runs_on(&format!("{LASTING}.0.0.0")) {
            Some(_) => 0,
            None => not_running + 1,
        };
        memory = cell.enforce_memory(seconds(1))?;
        if tick % 10 == 0 {
            cell.record.line(&format!(
                "the crowd: {} jobs accepted; MB and kills of each process: {memory:?}",
                crowd.accepted.load(Ordering::Relaxed)
            ));
        }
        let has_left = if trouble {
            crowd.is_gone()
        } else {
            begun.elapsed() >= seconds(25)
        };
        if has_left && left.is_none() {
            cell.record.say("the crowd has left");
            left = Some(Instant::now());
        }
        // The ordinary clients stay for longer.
        if left.is_some_and(|at| at.elapsed() >= seconds(12)) && ended.is_none() {
            cell.record.say("the traffic ends");
            ended = Some(Instant::now());
        }
        match ended {
            // finishS, the 3 s of the rule and 1 s more.
            Some(at) if at.elapsed() >= seconds(18) => break,
            None if tick % 20 == 0 => hand_in(&cell, tick, &ordinary),
            _ => {}
        }
        sleep(Duration::from_millis(100)).await;
    }
    let accepted: Vec<String> = {
        let accepted = ordinary.lock().unwrap_or_else(PoisonError::into_inner);
        accepted.clone()
    };
    let mut violations = cell.fleet.violations();
    let is_lost = |id: &&String| cell.fleet.progress(id).0 == 0;
    let lost = accepted.iter().filter(is_lost).count();
    cell.record.say(&format!(
        "the crowd: {} jobs accepted; ordinary: {} accepted, {lost} not started; MB and kills of \
         each process: {memory:?}",
        crowd.accepted.load(Ordering::Relaxed),
        accepted.len()
    ));
    if lost > 0 {
        violations.push(format!(
            "LOST: {lost} ordinary jobs have not been started, with all workers idle"
        ));
    }
    let state = ask(&cell, &lasting).await;
    cell.record.say(&format!("{lasting} is shown as: {state}"));
    if ["no answer", "410", "failed", "cancelled"].contains(&state.as_str()) {
        violations.push(format!(
            "LOST: an ordinary job that lasts is shown as: {state}"
        ));
    }
    // 3 s from 6 s after its last run.
    if not_running >= 100 {
        violations.push(format!(
            "LOST: an ordinary job that lasts has not run for {} s",
            not_running / 10
        ));
    }
    let often = memory.iter().filter(|(_, kills)| *kills >= 3).count();
    if often >= 2 {
        violations.push(format!(
            "Fault: {often} of {} machines exceed memoryMb three times or more",
            memory.len()
        ));
    }
    Ok(violations)
}

/// Asks for the state of a job at all VMs, again and again until the deadline.
async fn ask(cell: &Cell, path: &str) -> String {
    let begun = Instant::now();
    loop {
        let state = cell.state(path).await;
        if state != "no answer" || begun.elapsed() >= cell::DEADLINE {
            return state;
        }
        sleep(STEP).await;
    }
}

/// The ordinary job that lasts.
const LASTING: &str = "5c0e7a20d94b36f8";

/// Hands in an ordinary job of one task that lasts, and waits until it runs. Returns its path.
async fn submit_lasting(cell: &Cell) -> io::Result<String> {
    let behaviour = Behaviour {
        spec: "follow the ledger".to_owned(),
        work: |_| None,
        fails: false,
        saves: None,
        cpu: 1000,
        mem_mb: 1024,
        attempts: usize::MAX,
    };
    let job = json!({"spec": behaviour.spec, "steps": [{"count": 1, "cpu": behaviour.cpu,
        "memMb": behaviour.mem_mb, "estMs": 400, "longRunning": true}]});
    cell.fleet.register(LASTING, behaviour);
    let path = format!("/runs/{LASTING}");
    cell.submit(&path, &job).await?;
    wait(
        "an ordinary job that lasts runs",
        cell,
        seconds(10),
        |cell| cell.fleet.running() == 1,
    )
    .await?;
    Ok(path)
}

/// Hands in an ordinary job of one task, at one VM after the other until it is accepted.
fn hand_in(cell: &Cell, number: usize, accepted: &Arc<Mutex<Vec<String>>>) {
    let id = format!("5c0e7a21{number:08x}");
    let behaviour = Behaviour {
        spec: "check the page".to_owned(),
        work: |_| Some(seconds(1)),
        fails: false,
        saves: None,
        cpu: 1000,
        mem_mb: 1024,
        attempts: 3,
    };
    let job = json!({"spec": behaviour.spec, "steps": [{"count": 1, "cpu": behaviour.cpu,
        "memMb": behaviour.mem_mb, "estMs": 1000}]})
    .to_string();
    cell.fleet.register(&id, behaviour);
    let (fronts, record) = (cell.fronts(), Arc::clone(&cell.record));
    let accepted = Arc::clone(accepted);
    tokio::spawn(async move {
        for attempt in number / 20..number / 20 + 20 {
            let path = format!("/runs/{id}");
            let front = fronts[attempt % fronts.len()];
            let answer = cell::send(front, "POST", &path, &job).await;
            record.line(&format!("ordinary client: POST {path}: {answer:?}"));
            if matches!(answer, Some((200..=299, _))) {
                let mut accepted = accepted.lock().unwrap_or_else(PoisonError::into_inner);
                accepted.push(id);
                return;
            }
            sleep(STEP).await;
        }
    });
}
