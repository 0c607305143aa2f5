//! The daemon with stand-ins in its own process, whose interface for callers is another one.

use std::{
    net::SocketAddr,
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration,
};

use bytes::Bytes;
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

use crate::{
    crowd::{
        self,
        Behaviour,
        Crowd, //
    },
    process::Meter,
};

const IP: &str = "127.18.60.10";

/// The memory that the daemon is told to keep to, in MiB.
const MEMORY_MIB: u64 = 96;

const CLIENTS: usize = 150;
const BODY_BYTES: usize = 1024 * 1024;
const ROUNDS: usize = 3;
const TRIES: u32 = 200;

/// The process of the daemon, which ends with it.
struct Daemon {
    process: Child,
    callers: SocketAddr,
}

impl Daemon {
    fn start() -> Self {
        let address = |port: u16| format!("{IP}:{port}");
        let process = Command::new(env!("CARGO_BIN_EXE_basilbridged"))
            .args(["--embedded", "--embedded-workers", "4"])
            .env("BASILBRIDGE_CALLERS", address(7400))
            .env("BASILBRIDGE_OPERATORS", address(7401))
            .env("BASILBRIDGE_PEERS", address(7402))
            .env("BASILBRIDGE_MEMORY_LIMIT", format!("{MEMORY_MIB}MiB"))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let callers = address(7400).parse().expect("an address");
        Self { process, callers }
    }

    /// Waits until an ordinary caller is served.
    async fn serve_ordinary_caller(&self) {
        for _ in 0..TRIES {
            let answer = timeout(Duration::from_secs(3), self.submit()).await;
            if answer.is_ok_and(|status| status == Some(202) || status == Some(200)) {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("no ordinary caller was served");
    }

    async fn submit(&self) -> Option<u16> {
        let body = r#"{"queue":"checks","kind":"interactive","payload":"glue","resources":{"cpu_millis":100,"memory_mib":16,"accelerators":0},"count":1,"repeatable":true}"#;
        let mut stream = TcpStream::connect(self.callers).await.ok()?;
        let request = format!("{}{body}", head(body.len()));
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn head(length: usize) -> String {
    let key = basilbridge::embedded::TEAM_KEY;
    format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: {IP}\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_short_of_their_end_use_bounded_memory_of_the_embedded_daemon() {
    let _alone = crowd::lock().await;
    let mut daemon = Daemon::start();
    daemon.serve_ordinary_caller().await;
    let meter = Meter::start(daemon.process.id(), daemon.callers);
    let body = Bytes::from(vec![b' '; BODY_BYTES - 1]);
    let behaviour = Behaviour {
        parts: vec![head(BODY_BYTES).into(), body],
        reads: true,
    };

    for _ in 0..ROUNDS {
        let crowd = Crowd::gather(daemon.callers, vec![behaviour.clone(); CLIENTS]).await;
        daemon.serve_ordinary_caller().await;
        drop(crowd);
        daemon.serve_ordinary_caller().await;
    }

    let most = meter.stop();
    println!("most: {most:?}");
    let ended = daemon.process.try_wait().expect("the daemon can be asked");
    assert_eq!(ended, None, "the daemon ended");
    assert!(
        most.memory <= MEMORY_MIB << 20,
        "{} bytes were used",
        most.memory
    );
}
