//! A cell of real processes, with a store and workers behind proxies.

use std::{
    fs::{
        self,
        File, //
    },
    io::{
        self,
        Write, //
    },
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{
        Duration,
        Instant,
        SystemTime, //
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
        Aliases,
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
    partition::{
        self,
        End,
        Partition, //
    },
    proxy::{
        Mode,
        Proxy, //
    },
    vm::Vm,
};

const VMS: usize = 3;
pub(crate) const WORKERS: usize = 5;

/// The number of data centres, over which the workers are spread.
const ZONES: usize = 2;

/// How many times a worker may come back at another address after a crash.
const SPARE_PATHS: usize = 3;

/// How long the list names a worker that has crashed: three heartbeats of the users' settings.
const HEARTBEATS_MISSED: Duration = Duration::from_millis(4500);

/// Births are counted up from here, in Unix milliseconds.
const FIRST_BIRTH: u64 = 1_700_000_000_000;

/// The paths of all VMs to one address.
struct Paths(Vec<Proxy>);

struct Worker {
    name: String,
    paths: Paths,
    /// Paths to it at addresses that no worker has had.
    spare_paths: Vec<Paths>,
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
    /// The paths of all VMs to each VM.
    peer_paths: Vec<Paths>,
    workers: Vec<Worker>,
    /// Workers that another has replaced, and since when.
    replaced: Vec<(Instant, String)>,
    /// Owners that stand still, and those that the store refuses.
    paused: Vec<usize>,
    refused: Vec<usize>,
    /// Partitions that last, by the time at which their fault has begun.
    partitions: Vec<(Duration, Partition)>,
    /// Partitions that wait for an owner.
    due: Vec<Fault>,
    log: File,
    _servers: Vec<Server>,
}

fn any(ip: &str) -> SocketAddr {
    format!("{ip}:0").parse().expect("an address of loopback")
}

/// Returns the address on which the VM at `ip` serves the others.
fn peers(ip: &str) -> SocketAddr {
    let address = format!("{ip}:{}", documents::PEERS_PORT);
    address.parse().expect("an address of loopback")
}

/// Returns the name of the data centre of a worker.
fn zone(worker: usize) -> String {
    format!("zone-{}", worker % ZONES)
}

impl Paths {
    async fn start(address: SocketAddr, far: SocketAddr) -> io::Result<Self> {
        let mut proxies = Vec::new();
        for _ in 0..VMS {
            proxies.push(Proxy::start(address, far).await?);
        }
        Ok(Self(proxies))
    }

    fn set(&self, mode: Mode) {
        for proxy in &self.0 {
            proxy.set(mode);
        }
    }

    fn reset(&self) {
        for proxy in &self.0 {
            proxy.reset();
        }
    }

    /// Cuts the paths that partitions separate.
    fn cut(&self, partitions: &[Partition], far: End) {
        for (vm, proxy) in self.0.iter().enumerate() {
            proxy.cut(partition::cut(partitions, vm, far));
        }
    }

    /// Returns the address that the store's rows give. Each VM has an alias for it.
    fn address(&self) -> SocketAddr {
        self.0[0].address
    }
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
            peer_paths: Vec::new(),
            workers: Vec::new(),
            replaced: Vec::new(),
            paused: Vec::new(),
            refused: Vec::new(),
            partitions: Vec::new(),
            due: Vec::new(),
            log: File::create(folder.join("faults.log"))?,
            _servers: Vec::new(),
        };
        cell.fleet.set_max_lease(max_lease);
        for index in 0..WORKERS {
            let name = format!("worker-{index}");
            let server = cell.fleet.serve(&name, any(&format!("{net}.1"))).await?;
            let paths = Paths::start(any(&format!("{net}.2")), server.address).await?;
            let mut spare_paths = Vec::new();
            for _ in 0..SPARE_PATHS {
                spare_paths.push(Paths::start(any(&format!("{net}.2")), server.address).await?);
            }
            cell.workers.push(Worker {
                name,
                paths,
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
        let ips: Vec<String> = (0..VMS).map(|vm| format!("{net}.{}", 10 + vm)).collect();
        for ip in &ips {
            let paths = Paths::start(any(&format!("{net}.2")), peers(ip)).await?;
            cell.peer_paths.push(paths);
        }
        for (index, ip) in ips.iter().enumerate() {
            let door = SharedStoreMode::default();
            let address = any(&format!("{net}.1"));
            let aliases = cell.aliases(index, &ips);
            let server = cell.store.serve(address, Arc::clone(&door), aliases);
            let server = server.await?;
            let path = Proxy::start(any(&format!("{net}.2")), server.address).await?;
            let vm = Vm::start(&folder, &format!("vm-{index}"), ip, path.address, max_lease)?;
            cell.vms.push(vm);
            cell.doors.push(door);
            cell.paths.push(path);
            cell._servers.push(server);
        }
        Ok(cell)
    }

    /// Returns the addresses of a VM's own paths.
    fn aliases(&self, vm: usize, ips: &[String]) -> Aliases {
        let own =
            |given: SocketAddr, paths: &Paths| (given.to_string(), paths.0[vm].address.to_string());
        let workers = self.workers.iter().flat_map(|worker| {
            let all = worker.spare_paths.iter().chain([&worker.paths]);
            all.map(|paths| own(paths.address(), paths))
        });
        let vms = ips.iter().zip(&self.peer_paths);
        workers
            .chain(vms.map(|(ip, paths)| own(peers(ip), paths)))
            .collect()
    }

    fn boot_worker(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.born += 1;
        worker.is_draining = false;
        worker.is_unlisted = false;
        // Connections end with the process.
        worker.paths.reset();
        let name = self.fleet.boot(&worker.name, worker.born);
        self.register(index, &name);
    }

    fn register(&self, index: usize, name: &str) {
        let worker = &self.workers[index];
        if worker.is_unlisted {
            return;
        }
        let zone = zone(index);
        let mut entry = documents::worker(
            worker.paths.address(),
            &zone,
            worker.born,
            worker.cpu_millis,
        );
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
        worker.paths.reset();
        if let Some(paths) = worker.spare_paths.pop() {
            let former = std::mem::replace(&mut worker.paths, paths);
            former.set(Mode::Silent);
        }
        self.cut_paths();
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

    /// Cuts the paths that partitions separate, and joins the others.
    fn cut_paths(&self) {
        let partitions: Vec<Partition> = self.partitions.iter().map(|(_, p)| p.clone()).collect();
        for (vm, path) in self.paths.iter().enumerate() {
            path.cut(partition::cut(&partitions, vm, End::Store));
        }
        for (vm, paths) in self.peer_paths.iter().enumerate() {
            paths.cut(&partitions, End::Vm(vm));
        }
        for (index, worker) in self.workers.iter().enumerate() {
            worker.paths.cut(&partitions, End::Worker(index));
        }
    }

    /// Writes a line to the log of the run.
    pub(crate) fn note(&mut self, what: &str) {
        let now = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let (seconds, millis) = (now.as_secs() % 86_400, now.subsec_millis());
        let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
        // A line that is missing fails no check.
        let _ = writeln!(
            self.log,
            "{hour:02}:{minute:02}:{second:02}.{millis:03} {what}"
        );
    }

    /// Writes the violations of which `noted` are not written yet to the log of the run.
    pub(crate) fn note_violations(&mut self, noted: &mut usize) {
        let violations = self.fleet.violations();
        for violation in &violations[*noted..] {
            self.note(violation);
        }
        *noted = violations.len();
    }

    /// Starts the processes that are due, and begins the partitions that are, if the owner of the
    /// workers runs.
    pub(crate) fn begin_due(&mut self) -> io::Result<()> {
        for vm in &mut self.vms {
            vm.boot_due()?;
        }
        let Some(owner) = self.owner().filter(|owner| self.vms[*owner].is_running()) else {
            return Ok(());
        };
        for fault in std::mem::take(&mut self.due) {
            if let Kind::Partition { kept, loss } = fault.kind {
                let workers = (0..kept).map(|next| (fault.place + next) % WORKERS);
                let kept = workers.collect();
                let partition = Partition { owner, kept, loss };
                self.note(&format!("{partition:?}"));
                self.partitions.push((fault.at, partition));
            }
        }
        self.cut_paths();
        Ok(())
    }

    /// Begins a fault.
    pub(crate) fn begin(&mut self, fault: &Fault) {
        self.note(&format!("begin {fault:?}"));
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
            Kind::WorkerPath(mode) => self.workers[worker].paths.set(mode),
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
            Kind::Partition { .. } => self.due.push(*fault),
            Kind::Shrink(percent) => self.resize(worker, WORKER_CPU_MILLIS * percent / 100),
        }
    }

    /// Ends a fault.
    pub(crate) fn end(&mut self, fault: &Fault) -> io::Result<()> {
        self.note(&format!("end {fault:?}"));
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
            Kind::WorkerPath(_) => self.workers[worker].paths.set(Mode::Open),
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
            Kind::Partition { .. } => {
                self.due.retain(|due| due.at != fault.at);
                self.partitions.retain(|(at, _)| *at != fault.at);
                self.cut_paths();
            }
            Kind::Reload | Kind::Compact | Kind::Reboot | Kind::Crash => {}
        }
        Ok(())
    }

    /// Ends all faults and starts what does not run.
    pub(crate) fn heal(&mut self) -> io::Result<()> {
        self.note("heal");
        for index in 0..VMS {
            self.vms[index].signal(Signal::CONT);
            self.vms[index].boot()?;
            self.paths[index].set(Mode::Open);
            self.set_door(index, StoreMode::Normal);
        }
        for index in 0..WORKERS {
            self.workers[index].paths.set(Mode::Open);
            let machine = &self.workers[index].name;
            self.fleet.set_mode(machine, WorkerMode::Normal);
            self.list_again(index);
        }
        Ok(())
    }
}
