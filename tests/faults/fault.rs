//! Faults of the brief, drawn by seed.

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
    Weather, //
};

/// The kinds of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A VM dies and a new one starts.
    Death,
    /// A VM stands still.
    Pause,
    /// The store refuses all calls.
    Outage,
    /// The store loses the answers to some writes.
    LostWrites,
    /// A worker answers nothing.
    Silence,
    /// A worker starts anew.
    Reboot,
    /// All VMs die and new ones start.
    Replacement,
}

pub(crate) const ALL: [Fault; 7] = [
    Fault::Death,
    Fault::Pause,
    Fault::Outage,
    Fault::LostWrites,
    Fault::Silence,
    Fault::Reboot,
    Fault::Replacement,
];

/// Brings about faults of these kinds until the time is over, and heals all.
pub(crate) async fn bring(cell: Cell, kinds: Vec<Fault>, end: Millis) {
    while cell.timer.now() < end && !kinds.is_empty() {
        let pause = Duration::from_millis(100 + cell.draw(1500));
        cell.timer.sleep(pause).await;
        let fault = kinds[cell.draw(kinds.len() as u64) as usize];
        tokio::spawn(bring_one(cell.clone(), fault));
    }
    cell.timer.sleep(Duration::from_secs(8)).await;
    cell.set_weather(Weather::default());
}

async fn bring_one(cell: Cell, fault: Fault) {
    let duration = Duration::from_millis(100 + cell.draw(6000));
    let address = some_vm(&cell);
    let worker = some_worker(&cell);
    match fault {
        Fault::Death => {
            cell.kill(address);
            cell.start();
        }
        Fault::Pause => {
            cell.set_paused(address, true);
            cell.timer.sleep(duration).await;
            cell.set_paused(address, false);
        }
        Fault::Outage => {
            set_down(&cell, true);
            cell.timer.sleep(duration).await;
            set_down(&cell, false);
        }
        Fault::LostWrites => {
            let lose_answers = 1 + cell.draw(8) as u32;
            let switches = store::FaultSettings {
                lose_answers,
                ..cell.store.faults()
            };
            cell.store.set_faults(switches);
        }
        Fault::Silence => {
            set_silent(&cell, &worker, true);
            cell.timer.sleep(duration).await;
            set_silent(&cell, &worker, false);
        }
        Fault::Reboot => cell.fleet.reboot(&worker),
        Fault::Replacement => {
            for address in cell.addresses() {
                cell.kill(address);
                cell.start();
            }
        }
    }
}

fn some_vm(cell: &Cell) -> SocketAddr {
    let addresses = cell.addresses();
    addresses[cell.draw(addresses.len() as u64) as usize]
}

fn some_worker(cell: &Cell) -> Name {
    let workers = cell.fleet.workers();
    let number = cell.draw(workers.len() as u64) as usize;
    workers[number].name.clone()
}

fn set_down(cell: &Cell, down: bool) {
    let switches = store::FaultSettings {
        down,
        ..cell.store.faults()
    };
    cell.store.set_faults(switches);
}

fn set_silent(cell: &Cell, worker: &Name, silent: bool) {
    let switches = worker::FaultSettings {
        unresponsive: silent,
        ..worker::FaultSettings::default()
    };
    cell.fleet.set_faults(worker, switches);
}
