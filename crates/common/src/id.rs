//! Identifiers of shards, jobs, tasks, sessions and versions.

use std::{
    fmt,
    str::FromStr,
    sync::Arc, //
};

use basilbridge_derives::id;
use serde::{
    Deserialize,
    Serialize, //
};

/// A name that is cheap to clone, such as that of a team, a queue or a data centre.
pub type Name = Arc<str>;

/// The number that increases with each new owner of a shard.
///
/// Workers refuse commands with a lower epoch than one that they have seen.
#[id]
#[derive(Default)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The version of a row in the table service; zero means that the row does not exist.
#[id]
#[derive(Default)]
pub struct Version(pub u64);

/// Identifies one run of an entry VM's process; a restarted process takes a new session.
#[id]
pub struct Session(pub u64);

/// Identifies one boot of a worker; a restarted worker has no record of its earlier tasks.
#[id]
pub struct Boot(pub u64);

/// A group of racks in one data centre, owned by one entry VM at a time.
///
/// Racks are numbered from zero in each data centre and each shard has the same number of racks, so
/// that the shard of a worker never depends on the list of VMs, which may be stale.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Shard {
    /// The data centre, whose name contains no dash.
    pub data_centre: Name,
    /// The number of this shard in its data centre.
    pub number: u32,
}

/// A piece of text that is not an identifier of the expected kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a valid {expected}")]
pub struct Malformed {
    /// The kind of identifier that was expected.
    pub expected: &'static str,
    /// The text that was given.
    pub text: String,
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.data_centre, self.number)
    }
}

impl FromStr for Shard {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed {
            expected: "shard",
            text: text.to_owned(),
        };
        let (data_centre, number) = text.rsplit_once('-').ok_or_else(malformed)?;
        if data_centre.is_empty() || data_centre.contains('.') {
            return Err(malformed());
        }
        Ok(Self {
            data_centre: data_centre.into(),
            number: number.parse().map_err(|_| malformed())?,
        })
    }
}

/// The id of a job: the shard that accepted it, the epoch of the owner at that time, and a number.
///
/// The shard is part of the id so that any entry VM can route a request without a lookup.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Job {
    /// The shard that accepted the job.
    pub shard: Shard,
    /// The epoch of the owner that accepted it.
    pub epoch: Epoch,
    /// The number of the job among those that this owner accepted, from one.
    pub number: u64,
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.shard, self.epoch.0, self.number)
    }
}

impl FromStr for Job {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed {
            expected: "job id",
            text: text.to_owned(),
        };
        let mut parts = text.rsplitn(3, '.');
        let number = parts.next().and_then(|field| field.parse().ok());
        let epoch = parts.next().and_then(|field| field.parse().ok());
        let shard = parts.next().and_then(|field| field.parse().ok());
        match (shard, epoch, number) {
            (Some(shard), Some(epoch), Some(number)) => Ok(Self {
                shard,
                epoch: Epoch(epoch),
                number,
            }),
            _ => Err(malformed()),
        }
    }
}

/// The id of one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Task {
    /// The job that the task belongs to.
    pub job: Job,
    /// The index of the task in its job, from zero.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for Task {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed {
            expected: "task id",
            text: text.to_owned(),
        };
        let (job, index) = text.rsplit_once('/').ok_or_else(malformed)?;
        Ok(Self {
            job: job.parse().map_err(|_| malformed())?,
            index: index.parse().map_err(|_| malformed())?,
        })
    }
}

macro_rules! impl_string_conversions {
    ($($id:ty),*) => {$(
        impl From<$id> for String {
            fn from(id: $id) -> Self {
                id.to_string()
            }
        }

        impl TryFrom<String> for $id {
            type Error = Malformed;

            fn try_from(text: String) -> Result<Self, Malformed> {
                text.parse()
            }
        }
    )*};
}

impl_string_conversions!(Shard, Job, Task);
