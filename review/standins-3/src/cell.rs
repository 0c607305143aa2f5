//! Three entry VMs as processes of their own, the store and the workers.

use std::{
    env,
    fs::{
        self,
        File, //
    },
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        self,
        Child,
        Command,
        Stdio, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value,
    json, //
};
use tokio::time::{
    interval,
    sleep, //
};

use crate::{
    fleet::Fleet,
    http::{
        self,
        Response,
        Server, //
    },
    record::Record,
    store::Store,
};

const VMS: usize = 3;

/// `run` of the role `entry` in `deploy/system.toml`.
const PROGRAM: &str = "target/release/basilbridged";

/// The variable that holds the path of the settings file, as `DEPLOY.md` names it.
const SETTINGS_VARIABLE: &str = "BASILBRIDGE_CONFIG";

/// `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// `memoryMb`.
const MEMORY_MB: u64 = 260;

const FRONT_PORT: u16 = 8001;
const READY_PORT: u16 = 8002;

/// `Deadline-Ms` of all calls.
pub(crate) const DEADLINE: Duration = Duration::from_millis(3000);

pub(crate) const HOST: &str = "plans.example";
const KEY: &str = "key-of-the-workshop";

struct Vm {
    ip: String,
    settings: PathBuf,
    log: File,
    child: Option<Child>,
    /// When it was killed for its memory.
    kills: Vec<Instant>,
}

/// All that runs.
pub(crate) struct Cell {
    pub(crate) record: Arc<Record>,
    pub(crate) store: Arc<Store>,
    pub(crate) fleet: Arc<Fleet>,
    vms: Vec<Vm>,
    _stores: Vec<Server>,
    /// The first three numbers of all addresses.
    net: String,
    /// The addresses of the workers.
    worker_ip: String,
    folder: PathBuf,
}

/// Returns the first three numbers of addresses that are free.
fn free_net() -> io::Result<String> {
    for attempt in 0..50 {
        let seed = process::id() + attempt * 7919;
        let net = format!("127.{}.{}", 64 + seed % 128, seed / 128 % 250 + 1);
        let is_free = (0..VMS).all(|vm| {
            let address = format!("{net}.{}:{FRONT_PORT}", 10 + vm);
            TcpListener::bind(address).is_ok()
        });
        if is_free {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free addresses"))
}

/// Returns the settings of a VM of a small deployment: the figures of the users' pages.
fn settings(name: &str, zone: usize, ip: &str, store: SocketAddr) -> String {
    format!(
        r#"
node = "{name}"
role = "entry"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-{zone}"
region = "local"
portRange = [7420, 7435]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform"]
orders = "invoke"
advice = ""
[listen]
front = "{ip}:{FRONT_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:8003"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
recoveryS = 12
holdMaxMs = 6000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 1.5
saveS = 2
restoreMs = 100
noticeMs = 4500
requireFence = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
[platform]
addr = "{store}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 3.0
partWritesS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"#
    )
}

/// A queue as the operator configures it.
pub(crate) fn queue(name: &str, priority: u32, attempts: usize) -> Value {
    json!({"name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "service": "planner",
        "priority": priority, "attempts": attempts, "stretch": 2.2, "sloMs": 1200})
}

/// A version of the configuration with these queues.
pub(crate) fn configuration(version: u64, queues: &[Value]) -> Value {
    json!({
        "version": version,
        "routes": queues,
        "services": [{"name": "planner", "enforcesCapacity": false}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262_144},
        "tenants": [{"name": "workshop", "apiKeys": [KEY], "weight": 100.0,
            "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}],
    })
}

impl Vm {
    fn boot(&mut self) -> io::Result<()> {
        let child = Command::new(env::current_dir()?.join(PROGRAM))
            .env_clear()
            .envs(env::var_os("PATH").map(|path| ("PATH", path)))
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(self.log.try_clone()?)
            .stderr(self.log.try_clone()?)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns how much memory the process holds that is in no file, in KB.
    fn memory(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            vm.kill();
        }
        self.record.flush();
        if env::var_os("KEEP_LOGS").is_none() {
            // A folder that stays does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends one call of a client.
pub(crate) async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<Response> {
    let (authorization, deadline) = (format!("Bearer {KEY}"), DEADLINE.as_millis().to_string());
    let headers = [
        ("host", HOST),
        ("authorization", authorization.as_str()),
        ("deadline-ms", deadline.as_str()),
    ];
    http::call(address, method, path, &headers, body, DEADLINE).await
}

impl Cell {
    /// Starts the store, `workers` workers of this size and the VMs, and waits until the VMs are
    /// ready.
    pub(crate) async fn start(
        record_path: &Path,
        configuration: &Value,
        workers: (usize, u64, u64),
    ) -> io::Result<Self> {
        Self::start_in(record_path, configuration, workers, |index| index % 3).await
    }

    /// As [`Cell::start`], with workers in the places that `place_of` tells by their index.
    pub(crate) async fn start_in(
        record_path: &Path,
        configuration: &Value,
        (workers, cpu, mem_mb): (usize, u64, u64),
        place_of: fn(usize) -> usize,
    ) -> io::Result<Self> {
        let record = Arc::new(Record::create(record_path)?);
        let folder = env::temp_dir().join(format!("review-3-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let net = free_net()?;
        let mut cell = Self {
            store: Store::new(),
            fleet: Fleet::new(&record, place_of),
            record,
            vms: Vec::new(),
            _stores: Vec::new(),
            worker_ip: format!("{net}.3"),
            net,
            folder,
        };
        cell.store.write("op", "config", Some(configuration));
        for _ in 0..workers {
            cell.fleet.add(&cell.worker_ip, cpu, mem_mb)?;
        }
        cell.beat(0);
        for index in 0..VMS {
            cell.add_vm(index)?;
        }
        cell.spawn_heartbeats();
        cell.wait_ready().await?;
        Ok(cell)
    }

    /// Adds a VM and starts it.
    fn add_vm(&mut self, index: usize) -> io::Result<()> {
        let name = format!("front-{index}");
        let ip = format!("{}.{}", self.net, 10 + index);
        let address = format!("{}.2:0", self.net);
        let address = address.parse().map_err(io::Error::other)?;
        let server = self.store.serve(index, address)?;
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings(&name, index % VMS, &ip, server.address))?;
        let mut vm = Vm {
            ip,
            settings: path,
            log: File::create(self.folder.join(format!("{name}.log")))?,
            child: None,
            kills: Vec::new(),
        };
        vm.boot()?;
        self.vms.push(vm);
        self._stores.push(server);
        Ok(())
    }

    fn spawn_heartbeats(&self) {
        let (store, fleet) = (Arc::clone(&self.store), Arc::clone(&self.fleet));
        tokio::spawn(async move {
            let mut beats = interval(HEARTBEAT);
            for sequence in 1.. {
                beats.tick().await;
                for index in 0..fleet.count() {
                    // The entry of a worker that is silent for three beats is removed; those here
                    // are back before.
                    if let (id, Some(entry)) = fleet.entry(index, sequence) {
                        store.write("servers", &id, Some(&entry));
                    }
                }
            }
        });
    }

    fn beat(&self, sequence: u64) {
        for index in 0..self.fleet.count() {
            let (id, entry) = self.fleet.entry(index, sequence);
            self.store.write("servers", &id, entry.as_ref());
        }
    }

    async fn wait_ready(&self) -> io::Result<()> {
        for _ in 0..100 {
            let mut ready = 0;
            for vm in &self.vms {
                let address = format!("{}:{READY_PORT}", vm.ip);
                let address = address.parse().map_err(io::Error::other)?;
                let limit = Duration::from_millis(500);
                let answer = http::call(address, "GET", "/ready", &[], "", limit).await;
                ready += usize::from(answer.is_some_and(|(status, _)| status == 200));
            }
            if ready == VMS {
                self.record.say("all VMs are ready");
                // Traffic starts later than the machines.
                sleep(Duration::from_secs(3)).await;
                return Ok(());
            }
            sleep(Duration::from_millis(100)).await;
        }
        Err(io::Error::other("the VMs are not ready"))
    }

    /// Returns where the VMs serve clients.
    pub(crate) fn fronts(&self) -> Vec<SocketAddr> {
        let address = |vm: &Vm| format!("{}:{FRONT_PORT}", vm.ip).parse().ok();
        self.vms.iter().filter_map(address).collect()
    }

    /// Sends one call of a client to a VM.
    pub(crate) async fn call(
        &self,
        vm: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Option<Response> {
        let fronts = self.fronts();
        let vm = vm % fronts.len();
        let text = match body {
            Value::Null => String::new(),
            body => body.to_string(),
        };
        let answer = send(fronts[vm], method, path, &text).await;
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {body}")
            });
        self.record
            .line(&format!("client: {method} {path} at front-{vm}: {shown}"));
        answer
    }

    /// Hands a job in until it is accepted, at one VM after the other.
    pub(crate) async fn submit(&self, path: &str, job: &Value) -> io::Result<()> {
        self.record.line(&format!("client: hands in {path}: {job}"));
        for attempt in 0..20 {
            if let Some((200..=299, _)) = self.call(attempt, "POST", path, job).await {
                self.record.say(&format!("{path} is accepted"));
                return Ok(());
            }
            sleep(Duration::from_millis(500)).await;
        }
        Err(io::Error::other("the job is not accepted"))
    }

    /// Asks for the state of a job, at one VM after the other until one answers.
    pub(crate) async fn state(&self, path: &str) -> String {
        for vm in 0..self.vms.len() {
            if let Some((status, body)) = self.call(vm, "GET", path, &Value::Null).await {
                return match body["state"].as_str() {
                    Some(state) => state.to_owned(),
                    None => status.to_string(),
                };
            }
        }
        "no answer".to_owned()
    }

    /// Kills the processes that exceed `memoryMb`, as the platform does, and starts those again that
    /// were killed `down` ago. Counts only memory that is in no file. Returns the memory in MB and the
    /// number of kills of each process.
    pub(crate) fn enforce_memory(&mut self, down: Duration) -> io::Result<Vec<(u64, usize)>> {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            let mega_bytes = vm.memory() / 1024;
            if mega_bytes > MEMORY_MB {
                vm.kill();
                vm.kills.push(Instant::now());
                self.record.say(&format!(
                    "front-{index} holds {mega_bytes} MB, over memoryMb, and is killed"
                ));
            }
            let is_due = vm.kills.last().is_some_and(|at| at.elapsed() >= down);
            if vm.child.is_none() && is_due {
                vm.boot()?;
                self.record.say(&format!("front-{index} is started again"));
            }
        }
        let of = |vm: &Vm| (vm.memory() / 1024, vm.kills.len());
        Ok(self.vms.iter().map(of).collect())
    }

    /// Kills the process that last wrote to the store under a condition. Returns which one it was.
    pub(crate) fn kill_leader_for_good(&mut self) -> io::Result<usize> {
        let leader = self.store.last_writer();
        let leader = leader.ok_or_else(|| io::Error::other("no VM has written"))?;
        self.record.say(&format!(
            "SIGKILL to front-{leader}, which last wrote under a condition"
        ));
        self.vms[leader].kill();
        Ok(leader)
    }

    /// Adds a VM at another address.
    pub(crate) fn replace_vm(&mut self) -> io::Result<()> {
        let index = self.vms.len();
        self.add_vm(index)?;
        self.record
            .say(&format!("front-{index} is started at another address"));
        Ok(())
    }

    /// Removes the entries of the workers that are down.
    pub(crate) fn remove_entries(&self) {
        for index in 0..self.fleet.count() {
            if let (id, None) = self.fleet.entry(index, 0) {
                self.store.write("servers", &id, None);
                self.record.line(&format!("the entry of {id} is removed"));
            }
        }
    }

    /// Kills the process that last wrote to the store under a condition, and starts it again `down`
    /// later.
    pub(crate) async fn kill_leader(&mut self, down: Duration) -> io::Result<()> {
        let leader = self.kill_leader_for_good()?;
        sleep(down).await;
        self.record.say(&format!("front-{leader} is started again"));
        self.vms[leader].boot()
    }
}
