//! Answers to other entry VMs of a cell whose jobs are graphs of steps.

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
    generated::{
        Advice, Question,
        cell_server::{
            Cell,
            CellServer, //
        },
    },
    server::Server,
};

type Advise = Arc<dyn Fn(Question) -> BoxFuture<'static, Result<Advice>> + Send + Sync>;

/// What stands behind the protocol.
#[derive(Clone)]
pub struct App {
    /// Asks the advice service.
    pub advise: Advise,
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
}

/// Binds `address` and serves `app` there.
pub async fn start(address: SocketAddr, app: App) -> io::Result<Server> {
    Server::start_with(address, Routes::new(CellServer::new(app))).await
}
