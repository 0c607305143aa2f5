//! Owners that are cut off from the platform and from some workers, beside their successors.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use basilbridge_common::{
    call::Verb,
    id::Shard,
    job::Kind, //
};
use basilbridge_platform::vm::Vm;
use basilbridge_standins::observations::Violations;

use crate::{
    cell::{
        Cell,
        PLATFORM, //
    },
    work::{
        self,
        payload,
        request, //
    },
};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which an owner that gets no answers takes the leases of a worker for lapsed.
const LAPSE_TIME: Duration = Duration::from_secs(30);

/// A cell of one shard, in which a task runs on one of its two workers.
struct Partition {
    cell: Cell,
    /// The owner, which is to be cut off.
    first: SocketAddr,
    /// The VM that takes over.
    second: SocketAddr,
    /// The worker that runs the task, and the other one.
    busy: String,
    idle: String,
}

async fn start_partition(seed: u64) -> Partition {
    let cell = Cell::new(seed, 2).await;
    let first = cell.start_vm();
    cell.wait_until_recovered().await;
    let second = cell.start_vm();
    let shard = Shard {
        data_centre: "local".into(),
        number: 0,
    };
    let task = request(Kind::Batch, &payload("task", 120_000));
    let verb = Verb::Submit(shard, Box::new(task));
    work::call(&cell, verb, TIMEOUT).await.unwrap();
    cell.wait_until(|cell| cell.fleet.running().len() == 1)
        .await;
    let workers = cell.fleet.workers();
    let name = |is_busy: bool| {
        let mut workers = workers.iter();
        let found = workers.find(|worker| (cell.fleet.starts_on(&worker.name) > 0) == is_busy);
        found.unwrap().name.to_string()
    };
    let (busy, idle) = (name(true), name(false));
    Partition {
        cell,
        first,
        second,
        busy,
        idle,
    }
}

/// Removes a worker from the platform's list of VMs.
fn remove_from_list(cell: &Cell, gone: &str) {
    let mut workers = cell.fleet.workers();
    workers.retain(|worker| &*worker.name != gone);
    let vms = workers.into_iter().map(Vm::Worker).collect();
    cell.store.set_vms(vms);
}

/// The owner took the leases for lapsed that its successor extended, and started the task again.
#[tokio::test(start_paused = true)]
async fn an_owner_that_is_cut_off_starts_no_task_that_its_successor_has_found() {
    let Partition {
        cell,
        first,
        second,
        busy,
        idle,
    } = start_partition(1).await;

    cell.cut(first, PLATFORM);
    cell.cut(first, &busy);
    cell.cut(second, &idle);
    cell.timer.sleep(LAPSE_TIME * 2).await;

    assert_eq!(cell.fleet.violations(), Violations::default());
}

/// The successor took a worker for gone that the platform no longer listed, and whose leases the owner
/// before extended.
#[tokio::test(start_paused = true)]
async fn a_task_on_an_unlisted_worker_is_not_started_again_while_an_owner_extends_its_lease() {
    let Partition {
        cell,
        first,
        second,
        busy,
        idle,
    } = start_partition(2).await;

    cell.cut(first, PLATFORM);
    cell.cut(first, &idle);
    cell.cut(second, &busy);
    remove_from_list(&cell, &busy);
    cell.timer.sleep(LAPSE_TIME * 2).await;

    assert_eq!(cell.fleet.violations(), Violations::default());
}
