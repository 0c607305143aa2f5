//! A cell of real processes, with a store and workers behind proxies.

use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use basilbridge_adapter_standins::{
    documents,
    fleet::{
        Fleet,
        WORKER_CPU_MILLIS,
        WorkerMode, //
    },
    store::{
        SharedStoreMode,
        Store,
        StoreMode, //
    },
};
use basilbridge_server::listener::Server;
use rustix::process::Signal;

use crate::{
    caller::{
        HOST,
        KEY,
        PREFIX, //
    },
    fault::{
        Fault,
        Kind, //
    },
    proxy::{
        Mode,
        Proxy, //
    },
    vm::Vm,
};

const VMS: usize = 3;
const WORKERS: usize = 5;

/// The number of data centres, over which the workers are spread.
const ZONES: usize = 2;

/// How many times a worker may come back at another address after a crash.
const SPARE_PATHS: usize = 3;

/// How long the list names a worker that has crashed: three heartbeats of the users' settings.
const HEARTBEATS_MISSED: Duration = Duration::from_millis(4500);

/// Births are counted up from here, in Unix milliseconds.
const FIRST_BIRTH: u64 = 1_700_000_000_000;

struct Worker {
    name: String,
    path: Proxy,
    /// Paths to it at addresses that no worker has had.
    spare_paths: Vec<Proxy>,
    born: u64,
    cpu_millis: u64,
    is_draining: bool,
    /// Whether its entry has expired.
    is_unlisted: bool,
}

/// All that runs.
pub(crate) struct Cell {
    pub(crate) vms: Vec<Vm>,
    pub(crate) fleet: Arc<Fleet>,
    store: Arc<Store>,
    doors: Vec<SharedStoreMode>,
    paths: Vec<Proxy>,
    workers: Vec<Worker>,
    /// Workers that another has replaced, and since when.
    replaced: Vec<(Instant, String)>,
    /// Owners that stand still, and those that the store refuses.
    paused: Vec<usize>,
    refused: Vec<usize>,
    _servers: Vec<Server>,
}

fn any(ip: &str) -> SocketAddr {
    format!("{ip}:0").parse().expect("an address of loopback")
}

/// Returns the name of the data centre of a worker.
fn zone(worker: usize) -> String {
    format!("zone-{}", worker % ZONES)
}

impl Cell {
    /// Starts a cell on addresses of its own, so that several run beside each other.
    pub(crate) async fn start(number: u64, max_lease: Duration) -> io::Result<Self> {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{number}"));
        fs::create_dir_all(&folder)?;
        let net = format!("127.{}.{}", 20 + number / 250 % 200, number % 250);
        let (store, fleet) = (Arc::<Store>::default(), Arc::<Fleet>::default());
        let mut cell = Self {
            vms: Vec::new(),
            fleet,
            store,
            doors: Vec::new(),
            paths: Vec::new(),
            workers: Vec::new(),
            replaced: Vec::new(),
            paused: Vec::new(),
            refused: Vec::new(),
            _servers: Vec::new(),
        };
        cell.fleet.set_max_lease(max_lease);
        for index in 0..WORKERS {
            let name = format!("worker-{index}");
            let server = cell.fleet.serve(&name, any(&format!("{net}.1"))).await?;
            let path = Proxy::start(any(&format!("{net}.2")), server.address).await?;
            let mut spare_paths = Vec::new();
            for _ in 0..SPARE_PATHS {
                spare_paths.push(Proxy::start(any(&format!("{net}.2")), server.address).await?);
            }
            cell.workers.push(Worker {
                name,
                path,
                spare_paths,
                born: FIRST_BIRTH,
                cpu_millis: WORKER_CPU_MILLIS,
                is_draining: false,
                is_unlisted: false,
            });
            cell._servers.push(server);
            cell.boot_worker(index);
        }
        let configuration = documents::configuration(3, HOST, PREFIX, KEY);
        cell.store.write("op", "config", Some(&configuration));
        for index in 0..VMS {
            let door = SharedStoreMode::default();
            let address = any(&format!("{net}.1"));
            let server = cell.store.serve(address, Arc::clone(&door)).await?;
            let path = Proxy::start(any(&format!("{net}.2")), server.address).await?;
            let ip = format!("{net}.{}", 10 + index);
            let vm = Vm::start(
                &folder,
                &format!("vm-{index}"),
                &ip,
                path.address,
                max_lease,
            )?;
            cell.vms.push(vm);
            cell.doors.push(door);
            cell.paths.push(path);
            cell._servers.push(server);
        }
        Ok(cell)
    }

    fn boot_worker(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.born += 1;
        worker.is_draining = false;
        worker.is_unlisted = false;
        // Connections end with the process.
        worker.path.reset();
        let name = self.fleet.boot(&worker.name, worker.born);
        self.register(index, &name);
    }

    fn register(&self, index: usize, name: &str) {
        let worker = &self.workers[index];
        if worker.is_unlisted {
            return;
        }
        let zone = zone(index);
        let mut entry =
            documents::worker(worker.path.address, &zone, worker.born, worker.cpu_millis);
        if worker.is_draining {
            entry["state"] = "draining".into();
        }
        self.store.write("servers", name, Some(&entry));
    }

    /// Removes the entry of a worker.
    fn unlist(&mut self, index: usize) {
        self.workers[index].is_unlisted = true;
        let name = self.fleet.worker_of(&self.workers[index].name);
        self.store.write("servers", &name, None);
    }

    /// Writes the entry of a worker again, if it has expired and the worker has not ended.
    fn list_again(&mut self, index: usize) {
        let was_unlisted = std::mem::take(&mut self.workers[index].is_unlisted);
        let machine = &self.workers[index].name;
        if was_unlisted && self.fleet.is_up(machine) {
            self.register(index, &self.fleet.worker_of(machine));
        }
    }

    /// Returns the VM that owns the workers, by the stored claim.
    fn owner(&self) -> Option<usize> {
        let claim = self.store.value("title", "0", "claim")?;
        let holder = claim["holder"].as_str()?.strip_prefix("vm-")?;
        holder.parse().ok().filter(|index| *index < VMS)
    }

    /// Evacuates a data centre, or revokes that.
    fn evacuate(&mut self, place: usize, is_evacuated: bool) {
        let (key, value) = documents::evacuation(&zone(place));
        self.store.write("op", &key, is_evacuated.then_some(&value));
        let workers = self.workers.iter().enumerate();
        for (_, worker) in workers.filter(|(index, _)| zone(*index) == zone(place)) {
            self.fleet.set_evacuated(&worker.name, is_evacuated);
        }
    }

    /// Changes the capacity of a worker, which its entry shows at once.
    fn resize(&mut self, index: usize, cpu_millis: u64) {
        self.workers[index].cpu_millis = cpu_millis;
        let machine = &self.workers[index].name;
        self.fleet.resize(machine, cpu_millis);
        self.register(index, &self.fleet.worker_of(machine));
    }

    /// Crashes a worker. While there are addresses left, nothing answers at its address any more,
    /// and the next worker comes at another.
    fn crash(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        self.fleet.crash(&worker.name);
        worker.path.reset();
        if let Some(path) = worker.spare_paths.pop() {
            let former = std::mem::replace(&mut worker.path, path);
            former.set(Mode::Silent);
        }
    }

    /// Starts the workers that are due after a crash, and removes those that another has replaced
    /// from the list once they have missed their heartbeats.
    pub(crate) fn restart_crashed(&mut self) {
        for restart in self.fleet.take_restarts() {
            let mut workers = self.workers.iter();
            let Some(index) = workers.position(|worker| worker.name == restart.machine) else {
                continue;
            };
            if restart.before != restart.worker {
                self.replaced.push((Instant::now(), restart.before));
            }
            self.boot_worker(index);
        }
        let is_missed = |(since, _): &mut (Instant, String)| since.elapsed() >= HEARTBEATS_MISSED;
        for (_, name) in self.replaced.extract_if(.., is_missed) {
            self.store.write("servers", &name, None);
        }
    }

    fn set_door(&self, index: usize, access: StoreMode) {
        *self.doors[index].lock().expect("no holder has panicked") = access;
    }

    /// Begins a fault.
    pub(crate) fn begin(&mut self, fault: &Fault) {
        let (vm, worker) = (fault.place % VMS, fault.place % WORKERS);
        if let Some(signal) = fault.kind.signal() {
            self.vms[vm].signal(signal);
        }
        match fault.kind {
            Kind::Kill | Kind::Terminate | Kind::Pause | Kind::Reload => {}
            Kind::StorePath(mode) => self.paths[vm].set(mode),
            Kind::Store { access, all } => {
                for index in (0..VMS).filter(|index| all || *index == vm) {
                    self.set_door(index, access);
                }
            }
            Kind::Compact => self.store.compact(),
            Kind::WorkerPath(mode) => self.workers[worker].path.set(mode),
            Kind::Worker(manner) => {
                self.fleet.set_mode(&self.workers[worker].name, manner);
            }
            Kind::Reboot => self.boot_worker(worker),
            Kind::Evacuate => self.evacuate(fault.place, true),
            Kind::Lapse { all } => {
                for index in (0..WORKERS).filter(|index| all || *index == worker) {
                    self.unlist(index);
                }
            }
            Kind::Drain => {
                self.workers[worker].is_draining = true;
                let name = self.fleet.worker_of(&self.workers[worker].name);
                self.register(worker, &name);
            }
            Kind::Depose(signal) => {
                if let Some(owner) = self.owner() {
                    self.vms[owner].signal(signal);
                    if signal == Signal::STOP {
                        self.paused.push(owner);
                    }
                }
            }
            Kind::Refuse => {
                if let Some(owner) = self.owner() {
                    self.set_door(owner, StoreMode::Unavailable);
                    self.refused.push(owner);
                }
            }
            Kind::Crash => self.crash(worker),
            Kind::Shrink(percent) => self.resize(worker, WORKER_CPU_MILLIS * percent / 100),
        }
    }

    /// Ends a fault.
    pub(crate) fn end(&mut self, fault: &Fault) -> io::Result<()> {
        let (vm, worker) = (fault.place % VMS, fault.place % WORKERS);
        match fault.kind {
            Kind::Kill | Kind::Terminate => self.vms[vm].boot()?,
            Kind::Pause => self.vms[vm].signal(Signal::CONT),
            Kind::StorePath(_) => self.paths[vm].set(Mode::Open),
            Kind::Store { all, .. } => {
                for index in (0..VMS).filter(|index| all || *index == vm) {
                    self.set_door(index, StoreMode::Normal);
                }
            }
            Kind::WorkerPath(_) => self.workers[worker].path.set(Mode::Open),
            Kind::Worker(_) => {
                self.fleet
                    .set_mode(&self.workers[worker].name, WorkerMode::Normal);
            }
            Kind::Evacuate => self.evacuate(fault.place, false),
            Kind::Lapse { all } => {
                for index in (0..WORKERS).filter(|index| all || *index == worker) {
                    self.list_again(index);
                }
            }
            Kind::Drain => {
                if self.fleet.is_up(&self.workers[worker].name) {
                    self.boot_worker(worker);
                }
            }
            Kind::Depose(_) => {
                for owner in std::mem::take(&mut self.paused) {
                    self.vms[owner].signal(Signal::CONT);
                }
                for vm in &mut self.vms {
                    vm.boot()?;
                }
            }
            Kind::Refuse => {
                for owner in std::mem::take(&mut self.refused) {
                    self.set_door(owner, StoreMode::Normal);
                }
            }
            Kind::Shrink(_) => self.resize(worker, WORKER_CPU_MILLIS),
            Kind::Reload | Kind::Compact | Kind::Reboot | Kind::Crash => {}
        }
        Ok(())
    }

    /// Ends all faults and starts what does not run.
    pub(crate) fn heal(&mut self) -> io::Result<()> {
        for index in 0..VMS {
            self.vms[index].signal(Signal::CONT);
            self.vms[index].boot()?;
            self.paths[index].set(Mode::Open);
            self.set_door(index, StoreMode::Normal);
        }
        for index in 0..WORKERS {
            self.workers[index].path.set(Mode::Open);
            let machine = &self.workers[index].name;
            self.fleet.set_mode(machine, WorkerMode::Normal);
            self.list_again(index);
        }
        Ok(())
    }
}
