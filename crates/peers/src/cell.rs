//! The server for calls of other entry VMs in a cell that runs jobs as graphs of steps.

use std::{
    io,
    net::SocketAddr,
    sync::Arc, //
};

use basilbridge_common::error::Result;
use futures_util::future::BoxFuture;
use tonic::{
    Request,
    Response,
    service::Routes, //
};

use crate::{
    convert,
    generated::{
        Advice, Announced, ClientReply, ClientRequest, Process, Question, Stored,
        cell_server::{
            Cell,
            CellServer, //
        },
    },
    server::Server,
};

type WatchProcess = Arc<dyn Fn(u64) -> BoxFuture<'static, u64> + Send + Sync>;
type HandOver = Arc<dyn Fn(u64) -> BoxFuture<'static, bool> + Send + Sync>;
type ForwardRequest = Arc<dyn Fn(ClientRequest) -> BoxFuture<'static, Forwarded> + Send + Sync>;
type Announce = Arc<dyn Fn(Stored) -> Vec<u8> + Send + Sync>;
type Advise = Arc<dyn Fn(Question) -> BoxFuture<'static, Result<Advice>> + Send + Sync>;

/// The answer to a request that was forwarded to another VM.
#[derive(Debug)]
pub struct Forwarded {
    /// The answer for the caller.
    pub result: Result<serde_json::Value>,
    /// The version of the configuration by which the request was judged; zero if it is unknown, as
    /// with a VM of an earlier version.
    pub configuration: u64,
}

/// The handlers of the `Cell` service.
#[derive(Clone)]
pub struct App {
    /// Queries the advice service.
    pub advise: Advise,
    /// Returns the nonce of this process, after a delay if it equals the argument.
    pub watch_process: WatchProcess,
    /// Takes over from the owner whose process has this nonce, and returns whether this VM does.
    pub hand_over: HandOver,
    /// Applies a job or a cancellation that another VM has stored, and returns the outlook as a
    /// JSON document; empty if there is none.
    pub announce: Announce,
    /// Answers a caller's request for a VM that does not reach the store.
    pub forward_request: ForwardRequest,
}

#[tonic::async_trait]
impl Cell for App {
    async fn advise(
        &self,
        request: Request<Question>,
    ) -> std::result::Result<Response<Advice>, tonic::Status> {
        let answer = (self.advise)(request.into_inner()).await;
        answer
            .map(Response::new)
            .map_err(|error| tonic::Status::unavailable(error.message))
    }

    async fn watch_process(
        &self,
        request: Request<Process>,
    ) -> std::result::Result<Response<Process>, tonic::Status> {
        let nonce = (self.watch_process)(request.into_inner().nonce).await;
        Ok(Response::new(Process { nonce }))
    }

    async fn hand_over(
        &self,
        request: Request<Process>,
    ) -> std::result::Result<Response<Process>, tonic::Status> {
        let owner = request.into_inner().nonce;
        let accepted = (self.hand_over)(owner).await;
        let nonce = if accepted { owner } else { 0 };
        Ok(Response::new(Process { nonce }))
    }

    async fn announce(
        &self,
        request: Request<Stored>,
    ) -> std::result::Result<Response<Announced>, tonic::Status> {
        let outlook = (self.announce)(request.into_inner());
        Ok(Response::new(Announced { outlook }))
    }

    async fn forward_request(
        &self,
        request: Request<ClientRequest>,
    ) -> std::result::Result<Response<ClientReply>, tonic::Status> {
        let forwarded = (self.forward_request)(request.into_inner()).await;
        convert::client_reply_to_wire(&forwarded)
            .map(Response::new)
            .map_err(|error| tonic::Status::internal(error.message))
    }
}

/// Binds `address` and serves `app` there.
///
/// Fails if the address can't be bound.
pub async fn start(address: SocketAddr, app: App) -> io::Result<Server> {
    Server::start_with(address, Routes::new(CellServer::new(app))).await
}
