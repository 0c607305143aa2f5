//! Keys, tables and encodings of the rows that entry VMs keep in the store.
//!
//! `docs/design/programs.md` lists the rows. Some tables, keys and fields are stored under earlier
//! names, so that rows written by an earlier version stay readable.

use std::net::SocketAddr;

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
use basilbridge_workflow::{
    job::{
        Accepted,
        State, //
    },
    packed::Packed,
    progress::Progress, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use slog::Logger;

use crate::{
    packing,
    segments::Head, //
};

/// The table with the ownership claim, the owner's heartbeat, its list of workers and the entries
/// of the VMs. It has a single part, since a transaction of the store covers one part only.
pub(crate) const OWNERSHIP_TABLE: &str = "title/0";

/// The table of accepted jobs and their cancellations.
///
/// The store applies the transactions of one part one after the other, so jobs are spread over
/// parts by a hash of their names: with a slow store, a job waits for its own write only.
pub(crate) const JOB_TABLE: &str = "jobs";

/// The number of parts of the job table. When the store is 60 times slower than normal, a part
/// applies five transactions per second. The largest bursts are 80 jobs per second, a third of what
/// 48 parts apply, so few jobs wait for each other.
const JOB_PARTS: u32 = 48;

/// The table with the progress of each job.
pub(crate) const PROGRESS_TABLE: &str = "progress/0";

/// The table with the segments of the progress of jobs that outgrow a row.
pub(crate) const SEGMENT_TABLE: &str = "segments/0";

/// The start of a row in [`PROGRESS_TABLE`] that names segments. An earlier version of this program
/// can't decode such a row, and does not start the job.
const HEAD_PREFIX: &str = "{\"segmented\":";

/// The key of the ownership claim.
pub(crate) const CLAIM_KEY: &str = "claim";

/// The key of the lineage of the owner, which is stored with its claim.
pub(crate) const LINEAGE_KEY: &str = "lineage";

/// The key of the completed succession of an owner.
pub(crate) const SUCCESSION_KEY: &str = "succession";

/// The key of the owners before the one that holds the claim which may act.
pub(crate) const PREDECESSORS_KEY: &str = "predecessors";

/// The key of the owner's heartbeat.
pub(crate) const HEARTBEAT_KEY: &str = "pulse";

/// The key of the owner's list of workers.
pub(crate) const WORKERS_KEY: &str = "workers";

/// The table with the owner's list of workers, if there are more than a row takes.
pub(crate) const ROSTER_TABLE: &str = "roster/0";

/// The key of those of them that don't count yet for the next owner.
pub(crate) const JOINED_KEY: &str = "joined";

/// The key of the owner's list of workers that are about to leave.
pub(crate) const LEAVING_KEY: &str = "leaving";

/// The key of the owner's record of workers that do not answer.
pub(crate) const SILENT_KEY: &str = "silent";

/// The key of the past use of teams.
pub(crate) const USAGE_KEY: &str = "usage";

/// The prefix of the keys under which entry VMs register.
pub(crate) const NODE_PREFIX: &str = "node-";

/// The suffix that turns the key of a job into the key of its cancellation.
const CANCEL_SUFFIX: &str = "/cancel";

/// A VM's claim to own the workers.
#[data]
pub(crate) struct Claim {
    /// The entry VM that made the claim.
    pub holder: Name,
    /// A random number of the claiming process, which tells its claim from one that an earlier
    /// process of the same VM made.
    pub nonce: u64,
    /// The number of earlier claims.
    pub epoch: u32,
    /// Whether the owner has released its ownership.
    #[serde(default)]
    pub released: bool,
    /// The number of claims in a row, up to this one, that were made without evidence that the
    /// owner before had ended.
    #[serde(default)]
    pub unproven: u32,
}

/// Says that an owner has outlived all owners before it: they start and extend nothing any more.
#[data]
pub(crate) struct Succession {
    /// The number of claims before that of the owner.
    pub epoch: u32,
}

/// The processes of the owners before a claim, since the last one that had outlived all before it.
#[data]
pub(crate) struct Predecessors {
    /// The number of claims before this one.
    pub epoch: u32,
    pub owners: Vec<Process>,
}

/// A process of an entry VM.
#[data]
pub(crate) struct Process {
    /// The entry VM.
    pub vm: Name,
    /// The random number that identifies the process.
    pub nonce: u64,
}

/// The entry of a VM: its address for peers and its processor time.
#[data]
pub(crate) struct NodeEntry {
    /// The address on which it serves the other VMs.
    pub peers: SocketAddr,
    /// Its processor time in thousandths of a core; zero if unknown.
    #[serde(default)]
    pub cpu_millis: u32,
}

/// Returns the part of the job table that holds the job `id`.
pub(crate) fn job_table(id: &str) -> Name {
    let part = id.bytes().fold(0_u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    format!("{JOB_TABLE}/{}", part % JOB_PARTS).into()
}

/// Returns all parts of the job table.
pub(crate) fn job_tables() -> Vec<Name> {
    let parts = (0..JOB_PARTS).map(|part| format!("{JOB_TABLE}/{part}").into());
    parts.collect()
}

/// Returns the key of the cancellation of the job `id`.
pub(crate) fn cancel_key(id: &str) -> String {
    format!("{id}{CANCEL_SUFFIX}")
}

/// Returns the job that `key` cancels, or `None` if `key` is not the key of a cancellation.
pub(crate) fn cancelled_job(key: &str) -> Option<&str> {
    key.strip_suffix(CANCEL_SUFFIX)
}

/// Decodes the value of a row.
///
/// Returns `None` for a row without a value, and logs an error for one that can't be decoded.
pub(crate) fn decode_row<T: DeserializeOwned>(log: &Logger, row: &Row) -> Option<T> {
    decode_row_with(log, row, decode)
}

/// Decodes the value of a row with `decode`; see [`decode_row`].
pub(crate) fn decode_row_with<T>(
    log: &Logger,
    row: &Row,
    decode: impl FnOnce(&str) -> Result<T>,
) -> Option<T> {
    match decode(row.value.as_deref()?) {
        Ok(value) => Some(value),
        Err(error) => {
            slog::error!(log, "row can't be decoded"; "table" => %row.table, "key" => &row.key,
                "version" => row.version.0, "error" => %error);
            None
        }
    }
}

/// Encodes the value of a row as JSON.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}

/// Encodes a job for a row that takes at most `max_bytes`.
pub(crate) fn encode_job(accepted: &Accepted, max_bytes: usize) -> Result<String> {
    packing::pack(encode(accepted)?, max_bytes)
}

/// Encodes the progress of a job for a row that takes at most `max_bytes`.
pub(crate) fn encode_progress(progress: &Progress, max_bytes: usize) -> Result<String> {
    let text = encode(progress)?;
    match text.len() <= max_bytes {
        true => Ok(text),
        false => packing::compress(&encode(&Packed::from(progress))?, max_bytes),
    }
}

/// The content of a row of the progress table.
pub(crate) enum Stored {
    /// All of the progress.
    Whole(Progress),
    /// Where the progress is.
    Segmented(Head),
}

impl Stored {
    /// Returns the state of the job.
    pub(crate) fn state(&self) -> State {
        match self {
            Self::Whole(progress) => progress.state,
            Self::Segmented(head) => head.state,
        }
    }
}

#[data]
struct Segmented {
    segmented: Head,
}

/// Encodes the row that names the segments of a job for a row that takes at most `max_bytes`.
pub(crate) fn encode_head(head: &Head, max_bytes: usize) -> Result<String> {
    let row = Segmented {
        segmented: head.clone(),
    };
    packing::pack(encode(&row)?, max_bytes)
}

/// Decodes the value of a row of the progress table.
pub(crate) fn decode_progress(text: &str) -> Result<Stored> {
    if packing::unpack(text)?.starts_with(HEAD_PREFIX) {
        return decode::<Segmented>(text).map(|row| Stored::Segmented(row.segmented));
    }
    let progress = match packing::is_packed(text) {
        true => decode::<Packed>(text).map(Progress::from),
        false => decode(text),
    };
    progress.map(Stored::Whole)
}

/// Decodes the value of a row from JSON, which may be compressed.
pub(crate) fn decode<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(&packing::unpack(text)?)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))
}
