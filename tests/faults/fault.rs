//! Injection of faults that are drawn by seed.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use basilbridge_common::{
    id::Name,
    unit::Millis, //
};
use basilbridge_standins::{
    store,
    worker, //
};

use crate::cell::{
    Cell,
    NetworkFaults, //
};

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A VM dies and a new one starts.
    VmDeath,
    /// A VM is paused for a while.
    VmPause,
    /// The store refuses all calls for a while.
    StoreOutage,
    /// The store executes some writes without an answer.
    LostWriteAnswers,
    /// A worker does not respond for a while.
    UnresponsiveWorker,
    /// A worker reboots and loses its tasks.
    WorkerReboot,
    /// All VMs die one after another, and a new one starts for each.
    ReplacedVms,
}

pub(crate) const ALL: [Fault; 7] = [
    Fault::VmDeath,
    Fault::VmPause,
    Fault::StoreOutage,
    Fault::LostWriteAnswers,
    Fault::UnresponsiveWorker,
    Fault::WorkerReboot,
    Fault::ReplacedVms,
];

/// Injects faults of these kinds until `end`. Then waits longer than any fault lasts and ends the
/// network faults.
pub(crate) async fn inject(cell: Cell, kinds: Vec<Fault>, end: Millis) {
    while cell.timer.now() < end && !kinds.is_empty() {
        let pause = Duration::from_millis(100 + cell.draw(1500));
        cell.timer.sleep(pause).await;
        let fault = kinds[cell.draw(kinds.len() as u64) as usize];
        tokio::spawn(inject_one(cell.clone(), fault));
    }
    cell.timer.sleep(Duration::from_secs(8)).await;
    cell.set_network_faults(NetworkFaults::default());
}

/// Injects one fault at a VM or worker drawn at random. A pause, an outage and an unresponsive
/// worker end after a random time.
async fn inject_one(cell: Cell, fault: Fault) {
    let duration = Duration::from_millis(100 + cell.draw(6000));
    let address = draw_vm(&cell);
    let worker = draw_worker(&cell);
    match fault {
        Fault::VmDeath => {
            cell.kill_vm(address);
            cell.start_vm();
        }
        Fault::VmPause => {
            cell.set_paused(address, true);
            cell.timer.sleep(duration).await;
            cell.set_paused(address, false);
        }
        Fault::StoreOutage => {
            set_store_down(&cell, true);
            cell.timer.sleep(duration).await;
            set_store_down(&cell, false);
        }
        Fault::LostWriteAnswers => {
            let lose_answers = 1 + cell.draw(8) as u32;
            let faults = store::FaultSettings {
                lose_answers,
                ..cell.store.faults()
            };
            cell.store.set_faults(faults);
        }
        Fault::UnresponsiveWorker => {
            set_unresponsive(&cell, &worker, true);
            cell.timer.sleep(duration).await;
            set_unresponsive(&cell, &worker, false);
        }
        Fault::WorkerReboot => cell.fleet.reboot(&worker),
        Fault::ReplacedVms => {
            for address in cell.addresses() {
                cell.kill_vm(address);
                cell.start_vm();
            }
        }
    }
}

fn draw_vm(cell: &Cell) -> SocketAddr {
    let addresses = cell.addresses();
    addresses[cell.draw(addresses.len() as u64) as usize]
}

fn draw_worker(cell: &Cell) -> Name {
    let workers = cell.fleet.workers();
    let number = cell.draw(workers.len() as u64) as usize;
    workers[number].name.clone()
}

fn set_store_down(cell: &Cell, down: bool) {
    let faults = store::FaultSettings {
        down,
        ..cell.store.faults()
    };
    cell.store.set_faults(faults);
}

fn set_unresponsive(cell: &Cell, worker: &Name, unresponsive: bool) {
    let faults = worker::FaultSettings {
        unresponsive,
        ..worker::FaultSettings::default()
    };
    cell.fleet.set_faults(worker, faults);
}
