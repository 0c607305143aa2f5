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
        Advice, Attendance, Question,
        cell_server::{
            Cell,
            CellServer, //
        },
    },
    server::Server,
};

type Attend = Arc<dyn Fn(u64) -> BoxFuture<'static, u64> + Send + Sync>;
type Advise = Arc<dyn Fn(Question) -> BoxFuture<'static, Result<Advice>> + Send + Sync>;

/// What stands behind the protocol.
#[derive(Clone)]
pub struct App {
    /// Asks the advice service.
    pub advise: Advise,
    /// Returns the number of this process, later if it is the one that was asked for.
    pub attend: Attend,
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

    async fn attend(
        &self,
        request: Request<Attendance>,
    ) -> std::result::Result<Response<Attendance>, tonic::Status> {
        let nonce = (self.attend)(request.into_inner().nonce).await;
        Ok(Response::new(Attendance { nonce }))
    }
}

/// Binds `address` and serves `app` there.
pub async fn start(address: SocketAddr, app: App) -> io::Result<Server> {
    Server::start_with(address, Routes::new(CellServer::new(app))).await
}
