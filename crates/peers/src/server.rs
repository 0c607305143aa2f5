//! The server for calls of other entry VMs.

use std::{
    io,
    net::SocketAddr,
    sync::Arc, //
};

use basilbridge_common::{
    call::Call,
    error::Result,
    job::Status, //
};
use futures_util::future::BoxFuture;
use tokio::{
    net::TcpListener,
    sync::oneshot,
    task::JoinHandle, //
};
use tonic::{
    Request,
    Response,
    transport::server::TcpIncoming, //
};

use crate::{
    convert,
    generated::{
        self, Configuration, News, Reply,
        peer_server::{
            Peer,
            PeerServer, //
        },
    },
};

type Forward = Arc<dyn Fn(Call) -> BoxFuture<'static, Result<Status>> + Send + Sync>;
type Exchange = Arc<dyn Fn(News) -> News + Send + Sync>;
type Configure = Arc<dyn Fn(Configuration) -> BoxFuture<'static, Configuration> + Send + Sync>;

/// The handlers of the `Peer` service.
#[derive(Clone)]
pub struct App {
    /// Handles a call for a shard that this VM owns.
    pub forward: Forward,
    /// Merges the gossip message of a peer and returns the one for it.
    pub exchange: Exchange,
    /// Catches up with the configuration of a peer and returns the state of this VM's own.
    pub configure: Configure,
}

#[tonic::async_trait]
impl Peer for App {
    async fn forward(
        &self,
        request: Request<generated::Call>,
    ) -> std::result::Result<Response<Reply>, tonic::Status> {
        let result = match convert::call_from_wire(request.into_inner()) {
            Ok(call) => (self.forward)(call).await,
            Err(error) => Err(error),
        };
        convert::reply_to_wire(&result)
            .map(Response::new)
            .map_err(|error| tonic::Status::internal(error.message))
    }

    async fn exchange(
        &self,
        request: Request<News>,
    ) -> std::result::Result<Response<News>, tonic::Status> {
        Ok(Response::new((self.exchange)(request.into_inner())))
    }

    async fn configure(
        &self,
        request: Request<Configuration>,
    ) -> std::result::Result<Response<Configuration>, tonic::Status> {
        Ok(Response::new((self.configure)(request.into_inner()).await))
    }
}

/// A gRPC server that runs in a background task.
#[derive(Debug)]
pub struct Server {
    /// The address on which the server listens.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves `app` there.
    ///
    /// Fails if the address can't be bound.
    pub async fn start(address: SocketAddr, app: App) -> io::Result<Self> {
        let routes = tonic::service::Routes::new(PeerServer::new(app));
        Self::start_with(address, routes).await
    }

    /// Binds `address` and serves `routes` there.
    ///
    /// Fails if the address can't be bound.
    pub(crate) async fn start_with(
        address: SocketAddr,
        routes: tonic::service::Routes,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let server = tonic::transport::Server::builder()
            .add_routes(routes)
            .serve_with_incoming_shutdown(
                TcpIncoming::from(listener).with_nodelay(Some(true)),
                async {
                    let _ = stopped.await;
                },
            );
        let task = tokio::spawn(async {
            // Only the listener can fail, in which case peers see a closed port.
            let _ = server.await;
        });
        Ok(Self {
            address,
            stop: Some(stop),
            task,
        })
    }

    /// Stops accepting calls and waits until those in flight are answered.
    pub async fn stop(&mut self) {
        // Both results are errors only if the server has already ended.
        let _ = self.stop.take().map(|stop| stop.send(()));
        let _ = (&mut self.task).await;
    }
}
