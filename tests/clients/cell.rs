//! A daemon as a process of its own, with a store and workers in the process of the test.

use std::{
    fs::{
        self,
        File, //
    },
    io,
    net::SocketAddr,
    path::PathBuf,
    process::{
        Child,
        Command, //
    },
    sync::Arc,
    time::Duration,
};

use basilbridge_adapter_standins::{
    documents,
    fleet::{
        Fleet,
        SubmittedJob,
        WORKER_CPU_MILLIS, //
    },
    store::Store,
};
use basilbridge_server::listener::Server;
use bytes::Bytes;
use serde_json::Value;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};

use crate::process::{
    Meter,
    Usage, //
};

pub(crate) const HOST: &str = "clients.example";
pub(crate) const PREFIX: &str = "/clients/";
pub(crate) const KEY: &str = "clients-key";

const WORKERS: usize = 2;

/// How long a caller waits for an answer, as on the users' platform.
const DEADLINE: Duration = Duration::from_secs(3);

/// How often a caller tries, and the pause between two tries: a refused one may return.
const TRIES: u32 = 400;
const RETRY: Duration = Duration::from_millis(250);

/// The limits in the settings and in the configuration of the daemon.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    pub(crate) memory_mb: u64,
    pub(crate) max_fds: usize,
    pub(crate) body_bytes: usize,
}

/// All that runs; the process of the daemon ends with it.
pub(crate) struct Cell {
    pub(crate) callers: SocketAddr,
    limits: Limits,
    fleet: Arc<Fleet>,
    daemon: Child,
    _servers: Vec<Server>,
}

fn any(ip: &str) -> SocketAddr {
    format!("{ip}:0").parse().expect("an address of loopback")
}

impl Cell {
    /// Starts a cell on addresses of its own and waits until it takes jobs.
    pub(crate) async fn start(number: u8, limits: Limits) -> Self {
        Self::try_start(number, limits)
            .await
            .expect("the cell starts")
    }

    async fn try_start(number: u8, limits: Limits) -> io::Result<Self> {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("clients-{number}"));
        fs::create_dir_all(&folder)?;
        let net = format!("127.18.{number}");
        let (store, fleet) = (Arc::<Store>::default(), Arc::<Fleet>::default());
        let standins = any(&format!("{net}.1"));
        let mut servers = Vec::new();
        for index in 0..WORKERS {
            let name = format!("worker-{index}");
            let server = fleet.serve(&name, standins).await?;
            fleet.boot(&name, 1);
            let entry = documents::worker(server.address, "zone-a", 1, WORKER_CPU_MILLIS);
            store.write("servers", &name, Some(&entry));
            servers.push(server);
        }
        let mut configuration = documents::configuration(3, HOST, PREFIX, KEY);
        configuration["limits"]["maxBodyBytes"] = limits.body_bytes.into();
        store.write("op", "config", Some(&configuration));
        let server = store.serve(standins, Arc::default(), Default::default());
        let server = server.await?;

        let ip = format!("{net}.10");
        let lease = Duration::from_secs(6);
        let settings = documents::settings("vm-0", &ip, server.address, lease);
        let limits_table = format!(
            "[limits]\nmemoryMb = {}\nmaxFds = {}",
            limits.memory_mb, limits.max_fds
        );
        let path = folder.join("vm-0.toml");
        fs::write(&path, settings.replace("[limits]", &limits_table))?;
        servers.push(server);
        let log = File::create(folder.join("vm-0.log"))?;
        let daemon = Command::new(env!("CARGO_BIN_EXE_basilbridged"))
            .arg("--cell")
            .arg(&path)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let callers = format!("{ip}:{}", documents::CALLERS_PORT);
        let cell = Self {
            callers: callers.parse().map_err(io::Error::other)?,
            limits,
            fleet,
            daemon,
            _servers: servers,
        };
        cell.run_ordinary_job("00000000000000ff").await;
        Ok(cell)
    }

    /// Starts to measure the daemon.
    pub(crate) fn measure(&self) -> Meter {
        Meter::start(self.daemon.id(), self.callers)
    }

    /// Checks that the daemon is alive, has stayed within its limits and run nothing twice.
    pub(crate) fn check(&mut self, most: Usage) {
        let limits = self.limits;
        println!("most: {most:?}, limits: {limits:?}");
        let ended = self.daemon.try_wait().expect("the daemon can be asked");
        assert_eq!(ended, None, "the daemon ended");
        assert_eq!(self.fleet.violations(), Vec::<String>::new());
        assert!(
            most.memory <= limits.memory_mb << 20,
            "{} bytes of memory were used, the limit is {} MB",
            most.memory,
            limits.memory_mb
        );
        assert!(
            most.descriptors <= limits.max_fds,
            "{} descriptors were open, the limit is {}",
            most.descriptors,
            limits.max_fds
        );
    }

    /// Tells the workers of a job that a crowd submits.
    pub(crate) fn expect_job(&self, id: &str, tasks_per_step: &[u32]) {
        let job = SubmittedJob {
            payload: "10".to_owned(),
            tasks_per_step: tasks_per_step.to_vec(),
            is_chained: false,
            cpu_millis: 1,
            is_deadly: false,
            is_lasting: false,
            max_per_worker: 0,
        };
        self.fleet.register_job(id, job);
    }

    /// Submits a small job as an ordinary caller and waits until it is completed.
    pub(crate) async fn run_ordinary_job(&self, id: &str) {
        self.expect_job(id, &[1]);
        self.run_job(id, &job(1)).await;
    }

    /// Submits a job and waits until it is shown as completed. Tries again as callers do.
    pub(crate) async fn run_job(&self, id: &str, body: &str) {
        let mut seen = None;
        for _ in 0..TRIES {
            seen = self.call("POST", id, body).await;
            match &seen {
                Some((200, _)) => break,
                _ => sleep(RETRY).await,
            }
        }
        assert!(matches!(seen, Some((200, _))), "POST {id}: {seen:?}");
        self.wait_completed(id).await;
    }

    /// Waits until a job is shown as completed.
    pub(crate) async fn wait_completed(&self, id: &str) {
        let mut seen = None;
        for _ in 0..TRIES {
            seen = self.call("GET", id, "").await;
            match &seen {
                Some((200, document)) if document["state"] == "completed" => return,
                _ => sleep(RETRY).await,
            }
        }
        panic!("GET {id}: {seen:?}");
    }

    /// Sends the parts of a request. Returns the status, or `None` without an answer in time.
    pub(crate) async fn send(&self, parts: &[Bytes]) -> Option<u16> {
        let answer = self.exchange(parts).await;
        answer.map(|(status, _)| status)
    }

    async fn call(&self, method: &str, id: &str, body: &str) -> Option<(u16, Value)> {
        let head = head(method, id, &format!("content-length: {}", body.len()));
        self.exchange(&[format!("{head}{body}").into()]).await
    }

    /// Sends a request on a connection of its own. Returns `None` without an answer in time.
    async fn exchange(&self, parts: &[Bytes]) -> Option<(u16, Value)> {
        let exchange = async {
            let mut stream = TcpStream::connect(self.callers).await.ok()?;
            for part in parts {
                stream.write_all(part).await.ok()?;
            }
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.ok()?;
            let answer = String::from_utf8(answer).ok()?;
            let (head, document) = answer.split_once("\r\n\r\n")?;
            let status = head.split(' ').nth(1)?.parse().ok()?;
            Some((status, serde_json::from_str(document).ok()?))
        };
        timeout(DEADLINE, exchange).await.ok().flatten()
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.daemon.kill();
        let _ = self.daemon.wait();
    }
}

/// Returns the head of a request of which the connection is not used again.
pub(crate) fn head(method: &str, id: &str, length: &str) -> String {
    format!(
        "{method} {PREFIX}{id} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\n{length}\r\n\r\n"
    )
}

/// Returns a job of so many steps with one task each.
pub(crate) fn job(steps: usize) -> String {
    let step = r#"{"count":1,"cpu":1}"#;
    format!(
        r#"{{"spec":"10","steps":[{}]}}"#,
        vec![step; steps].join(",")
    )
}
