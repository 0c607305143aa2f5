//! Measurements of the journal: writes, rows and replay.

use std::time::{
    Duration,
    Instant, //
};

use basilbridge::{
    journal::{
        self,
        Accepted,
        Journal,
        Ownership,
        Record, //
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

/// Claims this many shards for session 1.
async fn claim_shards(store: &Store, count: u32) -> Vec<Ownership> {
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

fn accepted_job(ownership: &Ownership, number: u64) -> Accepted {
    Accepted {
        job: Job {
            shard: ownership.shard.clone(),
            epoch: ownership.epoch,
            number,
        },
        team: Name::from(format!("team-{}", number % TEAMS)),
        at: Default::default(),
        deadline: None,
        request_id: "test".into(),
        request: request(Kind::Batch, &payload("plan", 60_000)),
    }
}

fn end_record(accepted: &Accepted, now: basilbridge_common::unit::Millis) -> Record {
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

/// Accepts and ends one job. Returns the time that its acceptance took.
async fn run_job(journal: Journal, accepted: Accepted, timer: timer::Service) -> Duration {
    let begin = timer.now();
    journal.accept(accepted.clone()).await.unwrap();
    let elapsed = timer.now().since(begin);
    let now = timer.now();
    journal.append(end_record(&accepted, now)).await.unwrap();
    elapsed
}

#[tokio::test(start_paused = true)]
async fn one_vms_part_of_1900_starts_a_second_keeps_to_its_part_of_the_writes() {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    let ownerships = claim_shards(&store, SHARDS_PER_VM).await;
    let (journal_set, writer) = journal::Journals::new(store.platform(), timer.clone());
    journal_set.set_vms(VMS as usize);
    tokio::spawn(writer.run());
    let journals: Vec<_> = ownerships
        .iter()
        .map(|ownership| journal_set.open(ownership.clone()))
        .collect();
    let before = store.counts();
    let seconds = 10;
    let mut jobs = Vec::new();

    // This assumes two records for each start, one of its acceptance and one of its end.
    for number in 0..u64::from(STARTS_PER_SECOND / VMS * seconds) {
        timer
            .sleep(Duration::from_secs(1) * VMS / STARTS_PER_SECOND)
            .await;
        let index = number as usize % ownerships.len();
        let accepted = accepted_job(&ownerships[index], number);
        jobs.push(tokio::spawn(run_job(
            journals[index].clone(),
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
    let ownership = claim_shards(&store, 1).await.remove(0);
    let (journal_set, writer) = journal::Journals::new(store.platform(), timer.clone());
    tokio::spawn(writer.run());
    let journal = journal_set.open(ownership.clone());
    let rows = u64::from(snapshot::ROWS_PER_SNAPSHOT);

    for number in 0..3 * rows {
        let accepted = accepted_job(&ownership, number);
        journal.accept(accepted.clone()).await.unwrap();
        if number % 2 == 0 {
            let now = timer.now();
            journal.append(end_record(&accepted, now)).await.unwrap();
        }
    }
    timer.sleep(snapshot::RETENTION).await;
    snapshot::take(&store.platform(), &ownership, timer.now())
        .await
        .unwrap();

    let contents = snapshot::read(&store.platform(), &ownership.shard)
        .await
        .unwrap();
    assert_eq!(contents.rows.len(), 0);
    assert_eq!(contents.records.len() as u64, 3 * rows / 2);
    assert!(store.counts().rows < rows);
}

#[tokio::test(start_paused = true)]
async fn a_late_snapshot_of_an_earlier_owner_changes_nothing() {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    let old = claim_shards(&store, 1).await.remove(0);
    let (journal_set, writer) = journal::Journals::new(store.platform(), timer.clone());
    tokio::spawn(writer.run());
    let journal = journal_set.open(old.clone());
    journal.accept(accepted_job(&old, 1)).await.unwrap();
    let tables = store.platform().tables;
    let known = session::Claim {
        session: Some(Session(1)),
        epoch: old.epoch,
    };
    let again = [(old.shard.clone(), Some((known, old.version)))];
    session::claim(&tables, Session(2), &again).await.unwrap();

    let taken = snapshot::take(&store.platform(), &old, timer.now()).await;
    let late = journal.accept(accepted_job(&old, 2)).await;

    assert!(taken.is_err());
    assert!(late.is_err());
    let contents = snapshot::read(&store.platform(), &old.shard).await.unwrap();
    assert_eq!(contents.records.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_shard_of_the_target_size_is_read_in_few_calls() {
    let timer = timer::Service::start();
    let store = Store::new(timer.clone());
    let ownership = claim_shards(&store, 1).await.remove(0);
    let (journal_set, writer) = journal::Journals::new(store.platform(), timer.clone());
    tokio::spawn(writer.run());
    let journal = journal_set.open(ownership.clone());
    let (running, queued) = (545, 2000);
    for number in 0..running + queued {
        journal
            .accept(accepted_job(&ownership, number))
            .await
            .unwrap();
    }
    let before = store.counts();
    let begin = Instant::now();

    let contents = snapshot::read(&store.platform(), &ownership.shard)
        .await
        .unwrap();

    let elapsed = begin.elapsed();
    let reads = store.counts().reads - before.reads;
    let rows = contents.rows.len();
    println!(
        "{} records, {rows} rows, {reads} reads, {elapsed:?}",
        contents.records.len()
    );
    assert_eq!(contents.records.len() as u64, running + queued);
    assert!(rows <= snapshot::ROWS_PER_SNAPSHOT as usize);
    assert!(reads <= 3);
}
