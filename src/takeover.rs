//! Brings a shard that was just claimed back to where its last owner left it.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::Result,
    id,
    job::State,
    worker::Worker, //
};
use basilbridge_endpoints::command::{
    Answer,
    Command,
    Lease,
    Phase,
    Report,
    Verb, //
};
use basilbridge_platform::table::Service;
use futures_util::future;

use crate::{
    journal::{
        self,
        Ended,
        Record,
        Started, //
    },
    owner::Owner,
};

/// How long to wait before a worker that did not answer is claimed again.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);

/// Replays the journal, claims all workers and adopts what runs.
///
/// Nothing of the last owner's starts before each worker of the shard has answered, because a
/// worker that has not may still run it.
pub async fn run(owner: Arc<Owner>, tables: Service) -> Result<()> {
    let records = journal::replay(&tables, &owner.title.shard).await?;
    let workers: Vec<_> = owner.lock().scheduler.workers().cloned().collect();
    let claims = workers.iter().map(|worker| claim(&owner, worker));
    let answers = future::join_all(claims).await;
    let running = adopted(&workers, answers);
    restore(&owner, records, &running);
    owner.wake.notify_one();
    Ok(())
}

async fn claim(owner: &Owner, worker: &Worker) -> Answer {
    loop {
        let command = Command {
            epoch: owner.title.epoch,
            verb: Verb::Claim(Lease {
                lease: owner.tools.task_lease,
            }),
        };
        if let Ok(answer) = owner.tools.endpoints.send(worker, command).await {
            let mut inner = owner.lock();
            let contact = inner.contacts.entry(worker.name.clone()).or_default();
            contact.boot = Some(answer.boot);
            return answer;
        }
        owner.tools.timer.sleep(CLAIM_INTERVAL).await;
    }
}

fn adopted(workers: &[Worker], answers: Vec<Answer>) -> HashMap<id::Task, (Worker, Report)> {
    let mut running = HashMap::new();
    for (worker, answer) in workers.iter().zip(answers) {
        for report in answer.tasks {
            if report.phase != Phase::NeverStarted && report.phase != Phase::Lapsed {
                running.insert(report.task.clone(), (worker.clone(), report));
            }
        }
    }
    running
}

fn restore(owner: &Owner, records: Vec<Record>, running: &HashMap<id::Task, (Worker, Report)>) {
    let mut started: HashMap<id::Task, Started> = HashMap::new();
    let mut ended: Vec<Ended> = Vec::new();
    let mut cancelled = Vec::new();
    for record in records {
        match record {
            Record::Accepted(accepted) => {
                let deadline = accepted
                    .request
                    .deadline
                    .map(|wait| accepted.at.after(wait));
                owner.admit(*accepted, deadline);
            }
            Record::Started(start) => {
                started.insert(start.task.clone(), start);
            }
            Record::Ended(end) => ended.push(end),
            Record::Cancelled(job) => cancelled.push(job),
        }
    }
    let mut inner = owner.lock();
    for end in ended {
        started.remove(&end.task);
        inner.end_task(&end.task, end.state, end.output);
    }
    for (task, (worker, _)) in running {
        if inner.adopt(task, worker) {
            started.remove(task);
        }
    }
    inner.scheduler.limits.settle();
    for task in started.into_keys() {
        inner.end_task(&task, State::Unknown, String::new());
    }
    for job in cancelled {
        inner.finish_job(&job, State::Cancelled, None);
    }
}

impl crate::owner::Inner {
    /// Counts a task that a worker runs, or has ended without our note; says whether we know it.
    fn adopt(&mut self, task: &id::Task, worker: &Worker) -> bool {
        let Some(removed) = self.scheduler.remove(task) else {
            return false;
        };
        self.scheduler.adopt(removed, &worker.name);
        self.placed.insert(task.clone(), worker.clone());
        self.mark_running(task);
        true
    }
}
