//! The rows that the entry VMs keep in the store. `docs/design/programs.md` lists them.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Name,
};
use basilbridge_derives::data;
use basilbridge_platform::table::Row;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use slog::Logger;

/// Who owns the workers, and what it has told of itself. All parts that an owner writes together
/// share one part of the store, since its transactions cover one part.
pub(crate) const TITLE_TABLE: &str = "title/0";

/// Jobs as they were accepted, and which of them are cancelled.
///
/// The store makes the transactions of one part one after the other, so jobs are spread over parts
/// by their names: a slow store then delays a job by its own write only.
pub(crate) const JOB_TABLE: &str = "jobs";

/// The parts of the table of jobs. At the sixtyfold slowness of the users' troubles a part makes
/// five transactions a second; 48 take the 80 jobs a second of their largest bursts with a third of
/// that, so that few wait for each other.
const JOB_PARTS: u32 = 48;

/// How far jobs are.
pub(crate) const PROGRESS_TABLE: &str = "progress/0";

/// The key of the claim.
pub(crate) const CLAIM_KEY: &str = "claim";

/// The key of the owner's sign of life.
pub(crate) const PULSE_KEY: &str = "pulse";

/// The key of the owner's list of workers.
pub(crate) const WORKERS_KEY: &str = "workers";

/// What the keys of entry VMs begin with.
pub(crate) const NODE_PREFIX: &str = "node-";

/// What the key of a cancellation ends in.
const CANCEL_SUFFIX: &str = "/cancel";

/// Who owns the workers.
#[data]
pub(crate) struct Claim {
    /// The entry VM.
    pub holder: Name,
    /// A number that only this process knows, which tells its own claim from an earlier one.
    pub nonce: u64,
    /// How many owners there were before.
    pub epoch: u32,
    /// Whether the owner has given the title back.
    #[serde(default)]
    pub released: bool,
}

/// An owner's sign of life.
#[data]
#[derive(Default)]
pub(crate) struct Pulse {
    /// How many signs there were before.
    pub beat: u64,
    /// The jobs that have not begun, by queue; none before the owner has read the jobs.
    #[serde(default)]
    pub unstarted: Option<BTreeMap<Name, u64>>,
}

/// Where an entry VM is reached by its peers, and what it can carry.
#[data]
pub(crate) struct Node {
    /// The address.
    pub peers: SocketAddr,
    /// Its processor time in thousandths of a core; zero where it is not known.
    #[serde(default)]
    pub cpu_millis: u32,
}

/// Returns the part of the table of jobs that holds a job.
pub(crate) fn job_table(id: &str) -> Name {
    let part = id.bytes().fold(0_u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    format!("{JOB_TABLE}/{}", part % JOB_PARTS).into()
}

/// Returns all parts of the table of jobs.
pub(crate) fn job_tables() -> Vec<Name> {
    let parts = (0..JOB_PARTS).map(|part| format!("{JOB_TABLE}/{part}").into());
    parts.collect()
}

/// Returns the key of the cancellation of a job.
pub(crate) fn cancel_key(id: &str) -> String {
    format!("{id}{CANCEL_SUFFIX}")
}

/// Returns the job that a key cancels, if it is such a key.
pub(crate) fn cancelled_job(key: &str) -> Option<&str> {
    key.strip_suffix(CANCEL_SUFFIX)
}

/// Decodes the value of a row, and logs where it can't be read; a row without a value is nothing.
pub(crate) fn read<T: DeserializeOwned>(log: &Logger, row: &Row) -> Option<T> {
    match decode(row.value.as_deref()?) {
        Ok(value) => Some(value),
        Err(error) => {
            slog::error!(log, "row can't be read"; "table" => %row.table, "key" => &row.key,
                "version" => row.version.0, "error" => %error);
            None
        }
    }
}

/// Encodes a row.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}

/// Decodes a row.
pub(crate) fn decode<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}
