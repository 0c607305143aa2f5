//! Tests of workers that are about to leave.

use std::time::Duration;

use basilbridge_common::{
    call::Verb,
    id::{
        Name,
        Shard, //
    },
    job::Kind,
};
use basilbridge_platform::vm::Vm;

use crate::{
    cell::Cell,
    work::{
        self,
        payload,
        request, //
    },
};

/// Maximum time from the first report that a worker leaves until it gets no new tasks.
const MAX_TIME_TO_LAST_START: Duration = Duration::from_secs(3);

const TIMEOUT: Duration = Duration::from_secs(5);

/// Marks a worker as leaving in the platform's list of VMs.
fn set_leaving(cell: &Cell, name: &str) {
    let mut workers = cell.fleet.workers();
    for worker in &mut workers {
        worker.leaving |= *worker.name == *name;
    }
    let vms = workers.into_iter().map(Vm::Worker).collect();
    cell.store.set_vms(vms);
}

async fn submit(cell: &Cell, text: &str) {
    let shard = Shard {
        data_centre: "local".into(),
        number: 0,
    };
    let job = Box::new(request(Kind::Batch, &payload(text, 100)));
    work::call(cell, Verb::Submit(shard, job), TIMEOUT)
        .await
        .unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_leaving_worker_gets_nothing_new_three_seconds_after_the_list_says_so() {
    let cell = Cell::new(21, 2).await;
    cell.start_vm();
    cell.wait_until_recovered().await;
    let leaving = Name::from("local-worker-0");

    set_leaving(&cell, &leaving);
    cell.timer.sleep(MAX_TIME_TO_LAST_START).await;
    let before = cell.fleet.starts_on(&leaving);
    for number in 0..20 {
        submit(&cell, &format!("task {number}")).await;
    }
    cell.wait_until(|cell| cell.fleet.counts().starts >= 20)
        .await;

    assert_eq!(cell.fleet.starts_on(&leaving), before);
    assert_eq!(cell.fleet.starts_on(&"local-worker-1".into()), 20);
}
