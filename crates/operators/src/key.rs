//! Keys, of which only hashes are kept.

use std::fmt;

use basilbridge_common::id::Malformed;
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;

/// The SHA-256 hash of a key, in hexadecimal digits on the wire.
///
/// Keys are random and long, so that a plain hash can't be reversed by trying.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Hash([u8; 32]);

impl Hash {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two hashes in a time that does not depend on them.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Hash({self})")
    }
}

impl From<Hash> for String {
    fn from(hash: Hash) -> Self {
        hash.to_string()
    }
}

impl TryFrom<String> for Hash {
    type Error = Malformed;

    fn try_from(text: String) -> Result<Self, Malformed> {
        let malformed = || Malformed {
            wanted: "hash of a key",
            text: text.clone(),
        };
        let mut hash = [0; 32];
        if text.len() != 2 * hash.len() || !text.is_ascii() {
            return Err(malformed());
        }
        for (byte, digits) in hash.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).map_err(|_| malformed())?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed())?;
        }
        Ok(Self(hash))
    }
}
