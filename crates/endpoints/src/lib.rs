//! The client of the workers.
//!
//! [`command`] has all commands that the scheduler sends to a worker. `docs/design/endpoints.md`
//! describes what differs for workers without support for epochs.

pub mod command;
pub mod http;

use std::sync::Arc;

use basilbridge_common::{
    error::Result,
    worker::Worker, //
};
use futures_util::future::BoxFuture;

type SendCommand = Arc<
    dyn Fn(Worker, command::Command) -> BoxFuture<'static, Result<command::Reply>>
        + std::marker::Send
        + Sync,
>;

/// A client of all workers, as a closure for its one call.
#[derive(Clone)]
pub struct Client {
    send: SendCommand,
}

impl Client {
    /// Creates a client from its call.
    pub fn new(send: SendCommand) -> Self {
        Self { send }
    }

    /// Sends `command` to `worker`.
    ///
    /// After an error whose kind has [`Ran::Unknown`], the command may have been carried out.
    ///
    /// [`Ran::Unknown`]: basilbridge_common::error::Ran::Unknown
    pub async fn send(&self, worker: &Worker, command: command::Command) -> Result<command::Reply> {
        (self.send)(worker.clone(), command).await
    }
}
