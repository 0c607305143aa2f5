//! The cases.

use std::{
    io,
    path::Path,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value,
    json, //
};
use tokio::time::sleep;

use crate::{
    cell::{
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

/// A task whose workers crash, one after the other, after it has run for seconds on each.
pub(crate) async fn crashes(path: &Path, trouble: bool) -> io::Result<Vec<String>> {
    const CRASHES: usize = 4;
    let config = configuration(3, &[queue("plans", 2, 3)]);
    let cell = Cell::start(path, &config, (8, 16_000, 32_768)).await?;
    let id = "5c0e7a21d94b36f8";
    let behaviour = Behaviour {
        spec: "plan the rebinding".to_owned(),
        work: |_| Some(seconds(50)),
        fails: false,
        saves: Some(seconds(2)),
        cpu: 8000,
        mem_mb: 8192,
        attempts: 3,
    };
    let job = json!({"spec": behaviour.spec, "steps": [{"count": 1, "cpu": behaviour.cpu,
        "memMb": behaviour.mem_mb, "estMs": 50_000, "checkpointable": true}]});
    cell.fleet.register(id, behaviour);
    let job_path = format!("/plans/{id}");
    cell.submit(&job_path, &job).await?;
    let task = format!("{id}.0.0.0");
    let most = if trouble { CRASHES } else { 0 };
    for _ in 0..most {
        let begun = Instant::now();
        let worker = loop {
            match cell.fleet.runs_on(&task) {
                Some((worker, time)) if time >= seconds(5) => break Some(worker),
                // The job is over, if its task has not started for so long.
                None if begun.elapsed() >= seconds(10) => break None,
                _ => sleep(STEP).await,
            }
        };
        let Some(worker) = worker else {
            break;
        };
        cell.record
            .say("the worker of the task, one of 8, crashes after 5 s of work");
        cell.fleet.crash(worker);
        sleep(seconds(4)).await;
        cell.fleet.boot(worker)?;
    }
    let mut violations = Vec::new();
    for _ in 0..55 {
        let state = cell.state(&job_path).await;
        if state == "failed" {
            violations.push(format!(
                "LOST: {job_path} is shown as failed, {} runs of it have ended failed",
                cell.fleet.failures(id)
            ));
        }
        if state == "failed" || state == "completed" {
            cell.record.say(&format!("the job is {state}"));
            violations.extend(cell.fleet.violations());
            return Ok(violations);
        }
        sleep(seconds(1)).await;
    }
    Err(io::Error::other("the job is not over"))
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

/// Large jobs that last, and the crash of one worker that runs many of their tasks.
pub(crate) async fn slow_return(path: &Path, trouble: bool) -> io::Result<Vec<String>> {
    let config = configuration(3, &[queue("runs", 1, 3)]);
    let cell = Cell::start(path, &config, (12, 64_000, 131_072)).await?;
    let jobs = LastingJobs {
        count: 12,
        cpu: 150,
        checkpoints: false,
        max_per_worker: 0,
    };
    jobs.start(&cell).await?;
    if trouble {
        let busiest = cell.fleet.busiest();
        cell.record
            .say("the worker with the most tasks, one of 12, crashes");
        cell.fleet.crash(busiest);
        sleep(seconds(4)).await;
        cell.fleet.boot(busiest)?;
        cell.record.say("it is back");
    }
    // stableWindowMs, the 4 s before and the 3 s of the rule, and one second more.
    let missing = jobs.watch(&cell, seconds(11)).await;
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
