//! All that an entry VM reaches outside the system, as closures.
//!
//! An adapter fills them, so that nothing here knows a platform's names or formats.

use std::{
    sync::Arc,
    time::Duration, //
};

use basilbridge_common::{
    error::Result,
    id::{
        Name,
        Version, //
    },
};
use basilbridge_platform::table::{
    Outcome,
    Row,
    Transaction, //
};
use basilbridge_workflow::{
    advice_request::AdviceReply,
    job::{
        Spec,
        State, //
    },
    order::{
        AdviceRequest,
        Poll,
        Start,
        Stop,
        Throttle, //
    },
    report::{
        self,
        StartResult,
        StopResult,
        WorkerInfo, //
    },
};
use futures_util::future::BoxFuture;

use crate::configuration::Configuration;

/// Which rows of a table to read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Range {
    /// The table; `TABLE/PART` names a part of it.
    pub table: Name,
    /// The first key.
    pub from: Option<String>,
    /// The key before which the range ends.
    pub to: Option<String>,
}

/// Rows of one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Page {
    /// The version of the store at that moment.
    pub version: Version,
    /// The rows, by key; one without a value was removed.
    pub rows: Vec<Row>,
    /// Whether the range holds more rows than these.
    pub more: bool,
}

type Call<A, B> = Arc<dyn Fn(A) -> BoxFuture<'static, B> + Send + Sync>;
type Watch =
    Arc<dyn Fn(Name, Version, Duration) -> BoxFuture<'static, Result<Option<Page>>> + Send + Sync>;
type Command<A, B> = Arc<dyn Fn(u64, A) -> BoxFuture<'static, B> + Send + Sync>;

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    /// Applies a transaction; [`Kind::WriteUnknown`] stands for one that may still be applied.
    ///
    /// [`Kind::WriteUnknown`]: basilbridge_common::error::Kind::WriteUnknown
    pub transact: Call<Transaction, Result<Outcome>>,
    /// Reads rows.
    pub read: Call<Range, Result<Page>>,
    /// Waits for changes of a table after a version; nothing stands for a history that is gone.
    pub watch: Watch,
    /// The table that operators write.
    pub configuration_table: Name,
    /// The key of the configuration in it.
    pub configuration_key: Name,
    /// The table in which workers list themselves.
    pub worker_table: Name,
}

/// What came of a look at a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Polled {
    /// What the worker told.
    Answered(report::Inventory),
    /// The worker has seen a higher epoch.
    Fenced,
    /// There was no answer, or none that helps, and why.
    NoAnswer(String),
}

/// The orders that workers take, each under the epoch of its sender.
#[derive(Clone)]
pub struct Workers {
    /// Looks at a worker and renews its lease.
    pub poll: Command<Poll, Polled>,
    /// Starts a task.
    pub start: Command<Start, StartResult>,
    /// Stops a run.
    pub stop: Command<Stop, StopResult>,
    /// Changes the speed of a run.
    pub throttle: Command<Throttle, StopResult>,
}

/// The call of the advice service.
pub type Advisor = Call<AdviceRequest, Result<AdviceReply>>;

type Decode<A, B> = Arc<dyn Fn(&A) -> Result<B> + Send + Sync>;
type DecodeEntry = Arc<dyn Fn(&str, &str) -> Option<WorkerInfo> + Send + Sync>;

/// How documents are written on the platform.
#[derive(Clone)]
pub struct Formats {
    /// Decodes a configuration.
    pub configuration: Decode<str, Configuration>,
    /// Decodes what a worker says of itself, by its name; other writers' rows are nothing.
    pub worker: DecodeEntry,
    /// Decodes a job that a caller sends.
    pub job: Decode<[u8], Spec>,
    /// Encodes where a job stands.
    pub state: Arc<dyn Fn(State) -> serde_json::Value + Send + Sync>,
    /// Encodes how many jobs of a queue have not begun.
    pub waiting: Arc<dyn Fn(u64) -> serde_json::Value + Send + Sync>,
}

/// All that is outside.
#[derive(Clone)]
pub struct Clients {
    /// The store.
    pub store: Store,
    /// The workers.
    pub workers: Workers,
    /// The advice service.
    pub advise: Advisor,
    /// The formats.
    pub formats: Formats,
}
