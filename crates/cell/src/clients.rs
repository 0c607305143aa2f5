//! Clients of the services that an entry VM calls, as closures.
//!
//! An adapter provides the closures, so that this package does not depend on the names and formats
//! of a platform.

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
    unit::Millis, //
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

use crate::{
    configuration::Configuration,
    profile::Profile,
    traffic::Traffic, //
};

/// A range of rows of a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Range {
    /// The table, or a part of it as `TABLE/PART`.
    pub table: Name,
    /// The first key, inclusive; `None` for the start of the table.
    pub from: Option<String>,
    /// The end of the range, exclusive; `None` for the end of the table.
    pub to: Option<String>,
}

/// Rows as of one version of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Page {
    /// The version of the store.
    pub version: Version,
    /// The time of the store's steady clock; `None` if the store does not tell it.
    pub now: Option<Millis>,
    /// The rows in the order of their keys; one without a value was removed.
    pub rows: Vec<Row>,
    /// Whether the range has more rows after these.
    pub more: bool,
}

type Call<A, B> = Arc<dyn Fn(A) -> BoxFuture<'static, B> + Send + Sync>;
type Watch =
    Arc<dyn Fn(Name, Version, Duration) -> BoxFuture<'static, Result<Option<Page>>> + Send + Sync>;
type Command<A, B> = Arc<dyn Fn(u64, A) -> BoxFuture<'static, B> + Send + Sync>;

/// The client of the platform's store.
#[derive(Clone)]
pub struct Store {
    /// Applies a transaction. Fails with [`Kind::WriteUnknown`] if it may still be applied.
    ///
    /// [`Kind::WriteUnknown`]: basilbridge_common::error::Kind::WriteUnknown
    pub transact: Call<Transaction, Result<Outcome>>,
    /// Reads a range of rows.
    pub read: Call<Range, Result<Page>>,
    /// Waits up to a duration for changes of a table after a version. Returns `None` if the store
    /// no longer has the changes after that version.
    pub watch: Watch,
    /// The table with the operators' configuration.
    pub configuration_table: Name,
    /// The key of the configuration in it.
    pub configuration_key: Name,
    /// The table in which workers register.
    pub worker_table: Name,
}

/// The result of polling a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Polled {
    /// The worker reported its runs and ends.
    Answered(report::Inventory),
    /// The worker has seen a higher epoch.
    Fenced,
    /// Another worker answered at the address.
    OtherWorker,
    /// There was no usable answer, for the given reason.
    NoAnswer(String),
}

/// The client of the workers. The first argument of each call is the epoch of the owner.
#[derive(Clone)]
pub struct Workers {
    /// Polls a worker and renews its lease.
    pub poll: Command<Poll, Polled>,
    /// Starts a run of a task.
    pub start: Command<Start, StartResult>,
    /// Stops a run.
    pub stop: Command<Stop, StopResult>,
    /// Throttles a run to a percentage of its speed.
    pub throttle: Command<Throttle, StopResult>,
}

/// The client of the advice service.
pub type Advisor = Call<AdviceRequest, Result<AdviceReply>>;

type Decode<A, B> = Arc<dyn Fn(&A) -> Result<B> + Send + Sync>;
type DecodeEntry = Arc<dyn Fn(&str, &str) -> Option<WorkerInfo> + Send + Sync>;

type DecodeKey = Arc<dyn Fn(&str) -> Option<Name> + Send + Sync>;

/// The decoders and encoders of the platform's documents.
#[derive(Clone)]
pub struct Formats {
    /// Decodes the operators' configuration.
    pub configuration: Decode<str, Configuration>,
    /// Decodes the key of a row of the configuration table into the data centre that the row
    /// evacuates while it exists. Returns `None` for any other row.
    pub evacuation: DecodeKey,
    /// Decodes the row of a worker from its key and value. Returns `None` for a row of another
    /// writer.
    pub worker: DecodeEntry,
    /// Decodes the body of a job submission.
    pub job: Decode<[u8], Spec>,
    /// Encodes the state of a job.
    pub state: Arc<dyn Fn(State) -> serde_json::Value + Send + Sync>,
    /// Encodes the number of jobs of a queue that have not begun.
    pub waiting: Arc<dyn Fn(u64) -> serde_json::Value + Send + Sync>,
}

/// The clients of all services that an entry VM calls, with the formats of the platform.
#[derive(Clone)]
pub struct Clients {
    /// The client of the store.
    pub store: Store,
    /// The client of the workers.
    pub workers: Workers,
    /// The client of the advice service.
    pub advise: Advisor,
    /// The formats of the platform's documents.
    pub formats: Formats,
    /// The bytes that the clients exchange.
    pub traffic: Traffic,
    /// The processor time of the parts of this VM.
    pub profile: Profile,
}
