//! Listening for connections.

use std::{
    io,
    net::SocketAddr, //
};

use futures_util::future;
use gotham::router::Router;
use tokio::{
    net::TcpListener,
    task::JoinHandle, //
};

/// A server that runs in the background.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves `router` there.
    pub async fn start(address: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            gotham::bind_server(listener, router, |stream| {
                let _ = stream.set_nodelay(true);
                future::ready(Ok(stream))
            })
            .await;
        });
        Ok(Self { address, task })
    }

    /// Takes no new connections; those that are open go on.
    pub fn stop_accepting(&self) {
        self.task.abort();
    }
}
