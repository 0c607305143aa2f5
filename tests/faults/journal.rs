//! The counts of the journal: writes, rows, bytes and replay.

use std::time::{
    Duration,
    Instant, //
};

use basilbridge::{
    journal::{
        self,
        Accepted,
        Journal,
        Ownership, //
        Record,
    },
    record::Ended,
    session, snapshot,
};
use basilbridge_common::{
    id::{
        Job,
        Name,
        Session,
        Shard,
        Task, //
    },
    job::{
        Kind,
        State, //
    },
    timer,
};
use basilbridge_standins::store::Store;

use crate::work::{
    payload,
    request, //
};

const VMS: u32 = 9;
const SHARDS_PER_VM: u32 = 49;
const STARTS_PER_SECOND: u32 = 1900;
const TEAMS: u64 = 1000;

async fn claimed(store: &Store, count: u32) -> Vec<Ownership> {
    let shards: Vec<_> = (0..count)
        .map(|number| {
            let shard = Shard {
                data_centre: "local".into(),
                number,
            };
            (shard, None)
        })
        .collect();
    let tables = store.platform().tables;
    session::claim(&tables, Session(1), &shards).await.unwrap()
}

fn accepted(title: &Ownership, number: u64) -> Accepted {
    Accepted {
        job: Job {
            shard: title.shard.clone(),
            epoch: title.epoch,
            number,
        },
        team: Name::from(format!("team-{}", number % TEAMS)),
        at: Default::default(),
        deadline: None,
        request_id: "test".into(),
        request: request(Kind::Batch, &payload("plan", 60_000)),
    }
}

fn ended(accepted: &Accepted, now: basilbridge_common::unit::Millis) -> Record {
    Record::Ended(Ended {
        task: Task {
            job: accepted.job.clone(),
            index: 0,
        },
        state: State::Succeeded,
        output: "bound".to_owned(),
        at: now,
    })
}

/// Accepts and ends one job.
async fn one_job(journal: Journal, accepted: Accepted, timer: timer::Service) -> Duration {
    let begin = timer.now();
    journal.accept(accepted.clone()).await.unwrap();
    let took = timer.now().since(begin);
    let now = timer.now();
    journal.append(ended(&accepted, now)).await.unwrap();
    took
}

#[tokio::test(start_paused = true)]
async fn one_vms_part_of_1900_starts_a_second_keeps_to_its_part_of_the_writes() {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    let titles = claimed(&store, SHARDS_PER_VM).await;
    let (log, writer) = journal::Journals::new(store.platform(), timer.clone());
    log.set_vms(VMS as usize);
    tokio::spawn(writer.run());
    let journals: Vec<_> = titles.iter().map(|title| log.open(title.clone())).collect();
    let before = store.counts();
    let seconds = 10;
    let mut jobs = Vec::new();

    // Each start is taken to need both a record of its acceptance and one of its end.
    for number in 0..u64::from(STARTS_PER_SECOND / VMS * seconds) {
        timer
            .sleep(Duration::from_secs(1) * VMS / STARTS_PER_SECOND)
            .await;
        let place = number as usize % titles.len();
        let accepted = accepted(&titles[place], number);
        jobs.push(tokio::spawn(one_job(
            journals[place].clone(),
            accepted,
            timer.clone(),
        )));
    }
    let mut slowest = Duration::ZERO;
    for job in jobs {
        slowest = slowest.max(job.await.unwrap());
    }

    let after = store.counts();
    let writes = after.writes - before.writes;
    let per_second = writes as f64 / f64::from(seconds) * f64::from(VMS);
    println!("{per_second:.0} writes a second over {VMS} VMs, acceptance at most {slowest:?}");
    assert!(per_second <= 300.0, "{per_second}");
    assert_eq!(after.over_cap, 0);
}

#[tokio::test(start_paused = true)]
async fn snapshots_bound_the_rows_and_keep_what_has_not_ended() {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    let title = claimed(&store, 1).await.remove(0);
    let (log, writer) = journal::Journals::new(store.platform(), timer.clone());
    tokio::spawn(writer.run());
    let journal = log.open(title.clone());
    let rows = u64::from(snapshot::ROWS_PER_SNAPSHOT);

    for number in 0..3 * rows {
        let accepted = accepted(&title, number);
        journal.accept(accepted.clone()).await.unwrap();
        if number % 2 == 0 {
            let now = timer.now();
            journal.append(ended(&accepted, now)).await.unwrap();
        }
    }
    timer.sleep(snapshot::RETENTION).await;
    snapshot::take(&store.platform(), &title, timer.now())
        .await
        .unwrap();

    let kept = snapshot::read(&store.platform(), &title.shard)
        .await
        .unwrap();
    assert_eq!(kept.rows.len(), 0);
    assert_eq!(kept.records.len() as u64, 3 * rows / 2);
    assert!(store.counts().rows < rows);
}

#[tokio::test(start_paused = true)]
async fn a_late_snapshot_of_an_earlier_owner_changes_nothing() {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    let old = claimed(&store, 1).await.remove(0);
    let (log, writer) = journal::Journals::new(store.platform(), timer.clone());
    tokio::spawn(writer.run());
    let journal = log.open(old.clone());
    journal.accept(accepted(&old, 1)).await.unwrap();
    let tables = store.platform().tables;
    let known = session::Claim {
        session: Some(Session(1)),
        epoch: old.epoch,
    };
    let again = [(old.shard.clone(), Some((known, old.version)))];
    session::claim(&tables, Session(2), &again).await.unwrap();

    let cut = snapshot::take(&store.platform(), &old, timer.now()).await;
    let late = journal.accept(accepted(&old, 2)).await;

    assert!(cut.is_err());
    assert!(late.is_err());
    let kept = snapshot::read(&store.platform(), &old.shard).await.unwrap();
    assert_eq!(kept.records.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_shard_of_the_target_size_is_read_in_few_calls() {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    let title = claimed(&store, 1).await.remove(0);
    let (log, writer) = journal::Journals::new(store.platform(), timer.clone());
    tokio::spawn(writer.run());
    let journal = log.open(title.clone());
    let (running, queued) = (545, 2000);
    for number in 0..running + queued {
        journal.accept(accepted(&title, number)).await.unwrap();
    }
    let before = store.counts();
    let begin = Instant::now();

    let kept = snapshot::read(&store.platform(), &title.shard)
        .await
        .unwrap();

    let took = begin.elapsed();
    let reads = store.counts().reads - before.reads;
    let rows = kept.rows.len();
    println!(
        "{} records, {rows} rows, {reads} reads, {took:?}",
        kept.records.len()
    );
    assert_eq!(kept.records.len() as u64, running + queued);
    assert!(rows <= snapshot::ROWS_PER_SNAPSHOT as usize);
    assert!(reads <= 3);
}
