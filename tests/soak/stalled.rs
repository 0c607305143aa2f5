//! Clients that stop short of the end of what they send, and stay connected.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    task::JoinSet,
};

use crate::{
    caller::{
        HOST,
        KEY,
        PREFIX, //
    },
    run::Crowd, //
};

/// The number of such clients of each VM.
const CLIENTS: usize = 20;

/// The length that they declare, and how much they send, in bytes.
const DECLARED: usize = 200_000;
const SENT: usize = 100_000;

/// The time between two tries of a client whose connection has ended.
const RETRY: Duration = Duration::from_millis(100);

impl Crowd {
    /// Keeps stalled clients connected to each VM until `length` is over.
    pub(crate) async fn press_stalled(&self, length: Duration) {
        let begun = Instant::now();
        let mut clients = JoinSet::new();
        for vm in self.vms.iter().flat_map(|vm| [*vm; CLIENTS]) {
            let timer = self.timer.clone();
            clients.spawn(async move {
                while begun.elapsed() < length {
                    // A VM that is away, or closes the connection, is tried again.
                    let left = length.saturating_sub(begun.elapsed());
                    let _ = timer.timeout(left, stall(vm)).await;
                    timer.sleep(RETRY).await;
                }
            });
        }
        while clients.join_next().await.is_some() {}
    }
}

/// Sends a part of a body and stays until the VM ends the connection.
async fn stall(vm: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(vm).await?;
    let head = format!(
        "POST {PREFIX}0000 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {DECLARED}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&[b' '; SENT]).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(())
}
