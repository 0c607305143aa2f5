//! The audit trail: all edits of the configuration, in a hash chain.
//!
//! Each entry contains the hash of the entry before it, so that altering, removing or inserting an
//! entry breaks the chain. See `docs/design/audit.md`.

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

/// One edit that was applied.
#[data]
pub struct Entry {
    /// The position in the trail, from one; equals the version of the configuration after the edit.
    pub sequence: Version,
    /// The time of the edit, by the clock of the VM that applied it.
    pub at: Millis,
    /// The fingerprint of the operator's key.
    pub operator: String,
    /// The id of the edit, and of the plan if it comes from one.
    pub id: Name,
    /// The file or command that the edit came from.
    pub intent: String,
    /// The items that changed.
    pub changes: Vec<Change>,
    /// The hash of the entry before this one.
    pub previous: Hash,
    /// The hash of all other fields.
    pub hash: Hash,
}

/// The end of the trail.
#[data]
pub struct Head {
    /// The position of the last entry.
    pub sequence: Version,
    /// The hash of the last entry.
    pub hash: Hash,
    /// The position of the first entry that is in the table; earlier ones are archived.
    pub first: Version,
}

/// Consecutive entries of the trail.
#[data]
pub struct Page {
    /// The entries; empty at the end of the trail.
    pub entries: Vec<Entry>,
    /// The end of the whole trail.
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

/// The position and hash of an entry, recorded outside of the table service.
///
/// Someone who can write to the table can replace the whole chain by a consistent one, but that
/// chain does not contain the recorded entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Anchor {
    /// The position of the entry.
    pub sequence: Version,
    /// The hash of the entry.
    pub hash: Hash,
}

impl Anchor {
    /// Checks that a trail contains the recorded entry.
    ///
    /// # Errors
    ///
    /// Returns [`VerifyError::Anchor`] if it does not.
    pub fn verify(&self, entries: &[Entry]) -> Result<(), VerifyError> {
        let mut entries = entries.iter();
        let found = entries.any(|entry| entry.sequence == self.sequence && entry.hash == self.hash);
        if found {
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

/// An inconsistency of an audit trail.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum VerifyError {
    /// Entries are missing, duplicated or out of order.
    #[error("expected entry {expected}, found entry {found}")]
    Order {
        /// The expected position.
        expected: u64,
        /// The position that was found.
        found: u64,
    },
    /// The previous hash of an entry does not match the entry before it.
    ///
    /// If the hash of the head does not match the last entry, this is the position after it.
    #[error("entry {0} is not chained to the entry before it")]
    Link(u64),
    /// The content of an entry does not match its hash.
    #[error("the content of entry {0} does not match its hash")]
    Content(u64),
    /// The trail does not contain the entry of an [`Anchor`].
    #[error("entry {0} is missing or differs from the anchor")]
    Anchor(u64),
    /// The last entry is not at the position of the head.
    #[error("the trail ends at entry {found}, but its head is at entry {expected}")]
    End {
        /// The position of the head.
        expected: u64,
        /// The position of the last entry.
        found: u64,
    },
}

impl Entry {
    /// Returns the entry with its hash computed.
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

    /// Checks the hash of this entry, and that it follows the entry at `sequence` with `hash`.
    ///
    /// # Errors
    ///
    /// Returns [`VerifyError::Order`], [`VerifyError::Link`] or [`VerifyError::Content`].
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

/// Checks a complete trail, from its first entry to its head.
///
/// # Errors
///
/// Returns the first inconsistency.
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
