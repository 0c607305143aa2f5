//! The client of the workers.
//!
//! [`command`] lists all that the scheduler needs of a worker. `docs/design/endpoints.md` weighs
//! what changes for workers that know no epoch.

pub mod command;
pub mod http;

use std::sync::Arc;

use basilbridge_common::{
    error::Result,
    worker::Worker, //
};
use futures_util::future::BoxFuture;

type Send = Arc<
    dyn Fn(Worker, command::Command) -> BoxFuture<'static, Result<command::Reply>>
        + std::marker::Send
        + Sync,
>;

/// A client of all workers, by the one call that it takes.
#[derive(Clone)]
pub struct Client {
    send: Send,
}

impl Client {
    /// Makes a client of its call.
    pub fn new(send: Send) -> Self {
        Self { send }
    }

    /// Sends `command` to `worker`.
    ///
    /// An error of a kind that answers [`Ran::Unknown`] may have taken effect.
    ///
    /// [`Ran::Unknown`]: basilbridge_common::error::Ran::Unknown
    pub async fn send(&self, worker: &Worker, command: command::Command) -> Result<command::Reply> {
        (self.send)(worker.clone(), command).await
    }
}
