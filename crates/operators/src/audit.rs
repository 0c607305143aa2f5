//! The trail of all changes, chained by hash.
//!
//! Each entry holds the hash of the one before it, so that an entry that was altered, cut out or
//! put in breaks the chain. See `docs/design/audit.md`.

use std::str::FromStr;

use basilbridge_common::{
    id::{
        Malformed,
        Name,
        Version, //
    },
    unit::Millis,
};
use basilbridge_derives::data;

use crate::{
    change::Change,
    key::Hash, //
};

/// One change that took effect.
#[data]
pub struct Entry {
    /// The position in the trail, from one; it is the version of the configuration it led to.
    pub sequence: Version,
    /// When the change was made, by the clock of the VM that made it.
    pub at: Millis,
    /// The fingerprint of the operator's key.
    pub operator: String,
    /// The id of the edit, which a plan shares.
    pub id: Name,
    /// The file or command that the edit came from.
    pub intent: String,
    /// What changed.
    pub changes: Vec<Change>,
    /// The hash of the entry before.
    pub previous: Hash,
    /// The hash of all of the above.
    pub hash: Hash,
}

/// Where the trail stands.
#[data]
pub struct Head {
    /// The position of the last entry.
    pub sequence: Version,
    /// The hash of the last entry.
    pub hash: Hash,
    /// The position of the first entry that is still in the table.
    pub first: Version,
}

/// Some consecutive entries of the trail.
#[data]
pub struct Page {
    /// The entries; none means that the trail ends here.
    pub entries: Vec<Entry>,
    /// Where the whole trail stands.
    pub head: Head,
}

impl Default for Head {
    fn default() -> Self {
        Self {
            sequence: Version(0),
            hash: Hash::zero(),
            first: Version(1),
        }
    }
}

/// An entry that was noted down outside of the table service.
///
/// Whoever can write the table could write a whole new chain; it would lack the noted entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Anchor {
    /// The position of the entry.
    pub sequence: Version,
    /// The hash of the entry.
    pub hash: Hash,
}

impl Anchor {
    /// Checks that a trail holds the entry.
    pub fn verify(&self, entries: &[Entry]) -> Result<(), VerifyError> {
        let mut entries = entries.iter();
        let held = entries.any(|entry| entry.sequence == self.sequence && entry.hash == self.hash);
        if held {
            Ok(())
        } else {
            Err(VerifyError::Anchor(self.sequence.0))
        }
    }
}

impl FromStr for Anchor {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed {
            expected: "position and hash",
            text: text.to_owned(),
        };
        let (sequence, hash) = text.split_once(':').ok_or_else(malformed)?;
        Ok(Self {
            sequence: Version(sequence.parse().map_err(|_| malformed())?),
            hash: Hash::try_from(hash.to_owned())?,
        })
    }
}

/// What is wrong with a trail.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum VerifyError {
    /// Entries are missing, doubled or out of order.
    #[error("entry {found} stands where entry {expected} should")]
    Order {
        /// The position that should come.
        expected: u64,
        /// The position that came.
        found: u64,
    },
    /// An entry does not follow from the one before it.
    #[error("entry {0} does not follow from the entry before it")]
    Link(u64),
    /// The content of an entry does not match its hash.
    #[error("entry {0} does not match its hash")]
    Content(u64),
    /// The trail does not hold an entry that was noted down.
    #[error("entry {0} is not the one that was noted down")]
    Anchor(u64),
    /// The trail does not end where its head says.
    #[error("the trail ends at entry {found}, its head says {expected}")]
    End {
        /// The position of the head.
        expected: u64,
        /// The position of the last entry.
        found: u64,
    },
}

impl Entry {
    /// Fills in the hash.
    #[must_use]
    pub fn with_hash(mut self) -> Self {
        self.hash = self.content_hash();
        self
    }

    fn content_hash(&self) -> Hash {
        let changes = serde_json::to_vec(&self.changes).unwrap_or_default();
        Hash::of_bytes(&[
            &self.sequence.0.to_be_bytes(),
            &self.at.0.to_be_bytes(),
            self.operator.as_bytes(),
            self.id.as_bytes(),
            self.intent.as_bytes(),
            &changes,
            self.previous.to_string().as_bytes(),
        ])
    }

    /// Checks that this entry follows from what stands before it.
    pub fn verify(&self, sequence: Version, hash: &Hash) -> Result<(), VerifyError> {
        let expected = sequence.0 + 1;
        if self.sequence.0 != expected {
            return Err(VerifyError::Order {
                expected,
                found: self.sequence.0,
            });
        }
        if self.previous != *hash {
            return Err(VerifyError::Link(expected));
        }
        if self.hash != self.content_hash() {
            return Err(VerifyError::Content(expected));
        }
        Ok(())
    }
}

/// Checks a whole trail, from its first entry to its head.
pub fn verify(entries: &[Entry], head: &Head) -> Result<(), VerifyError> {
    let mut sequence = Version(0);
    let mut hash = Hash::zero();
    for entry in entries {
        entry.verify(sequence, &hash)?;
        sequence = entry.sequence;
        hash = entry.hash.clone();
    }
    if sequence != head.sequence {
        return Err(VerifyError::End {
            expected: head.sequence.0,
            found: sequence.0,
        });
    }
    if hash != head.hash {
        return Err(VerifyError::Link(sequence.0 + 1));
    }
    Ok(())
}
